"""Cache of grpclib channels to the other entry VMs.

A middlebox may drop the state of an open connection while new ones work.
Calls over that connection then time out although other VMs reach the peer. So
a channel takes no new call after a failed one or past a maximum age, and the
next call opens a new channel.
"""

import collections

from .. import clock as clocks
from . import peer_connections

MAX_CHANNEL_AGE_S = 300.0
MAX_CHANNELS = 256


class CachedChannel:
    """A channel to a peer, its opening time and its number of active calls.

    A retired channel takes no new call and is closed after its last one.
    """

    __slots__ = ("channel", "opened_at", "active_calls", "is_retired")

    def __init__(
        self, channel: peer_connections.Channel, opened_at: float
    ) -> None:
        self.channel = channel
        self.opened_at = opened_at
        self.active_calls = 0
        self.is_retired = False


class ChannelCache:
    """Keeps at most one channel for new calls to each address.

    It may be used only on the event loop's thread.

    :param clock: measures the age of channels.
    :param max_age_s: maximum age in seconds of a channel for a new call.
    :param max_channels: how many channels take new calls; beyond it, the
        least recently used one takes no more.
    """

    __slots__ = (
        "_clock",
        "_max_age_s",
        "_max_channels",
        "_by_address",
        "_open_channels",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        max_age_s: float = MAX_CHANNEL_AGE_S,
        max_channels: int = MAX_CHANNELS,
    ) -> None:
        self._clock = clock
        self._max_age_s = max_age_s
        self._max_channels = max_channels
        self._by_address: collections.OrderedDict[str, CachedChannel] = (
            collections.OrderedDict()
        )
        self._open_channels: set[CachedChannel] = set()

    @property
    def open_count(self) -> int:
        """The number of open channels, also those that take no new call."""
        return len(self._open_channels)

    def acquire(self, address: str) -> CachedChannel:
        """Return a channel for one call, to be released when it ends.

        :param address: "host:port".
        :raises ValueError: when the address has no valid port.
        """
        cached = self._by_address.get(address)
        if cached is not None and self._is_expired(cached):
            self._retire(address, cached)
            cached = None
        if cached is None:
            cached = self._open(address)
        self._by_address.move_to_end(address)
        cached.active_calls += 1
        return cached

    def release(
        self, address: str, cached: CachedChannel, healthy: bool
    ) -> None:
        """Release a channel at the end of a call.

        :param address: the address that the channel was acquired for.
        :param cached: the acquired channel.
        :param healthy: False when the call failed or timed out; the channel
            then takes no new call, and is closed when its last call ends.
        """
        cached.active_calls -= 1
        if not healthy:
            self._retire(address, cached)
        elif cached.is_retired and not cached.active_calls:
            self._close(cached)

    def close(self) -> None:
        """Close all channels at once; calls in progress fail."""
        for cached in list(self._open_channels):
            self._close(cached)
        self._by_address.clear()

    def _is_expired(self, cached: CachedChannel) -> bool:
        return self._clock.now() - cached.opened_at > self._max_age_s

    def _open(self, address: str) -> CachedChannel:
        host, _, port = address.rpartition(":")
        cached = CachedChannel(
            peer_connections.Channel(host, int(port)), self._clock.now()
        )
        self._by_address[address] = cached
        self._open_channels.add(cached)
        while len(self._by_address) > self._max_channels:
            self._retire(*next(iter(self._by_address.items())))
        return cached

    def _retire(self, address: str, cached: CachedChannel) -> None:
        cached.is_retired = True
        if self._by_address.get(address) is cached:
            del self._by_address[address]
        if not cached.active_calls:
            self._close(cached)

    def _close(self, cached: CachedChannel) -> None:
        self._open_channels.discard(cached)
        cached.channel.close()
