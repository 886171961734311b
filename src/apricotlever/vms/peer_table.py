"""Whom an entry VM hears, by their latest records.

Whoever is heard is alive, by its own record or by an aggregator's word.
"""

import random
import typing

from .. import clock as clocks

from . import digests

#: A VM is taken out of the answers to callers after this silence: five
#: records in a row are hardly lost by chance.
ALIVE_S = 1.1
#: The same where VMs are told of by an aggregator: their records come more
#: rarely, how long ago each was heard is told every third time, and it takes
#: a moment to use another aggregator.
ALIVE_SUMMED_S = 2.4
#: Mean seconds between two signs of life of a VM there.
BETWEEN_SUMMED_S = 0.8
#: A VM that was heard is still counted as a member, and told, for so long.
MEMBER_S = 30.0
#: Receivers of one record. In a fleet of more VMs each record goes to some,
#: to all in turn.
FANOUT = 24
#: Addresses in one record, so that it fits into a datagram.
MOST_KNOWN = 24


class _Peer:
    __slots__ = ("digest", "heard_at")

    def __init__(self, digest: digests.Digest, heard_at: float) -> None:
        self.digest = digest
        self.heard_at = heard_at


class PeerTable:
    """The other VMs, by their latest records.

    :param vm: this VM's name.
    :param address: where this VM hears the others.
    :param seeds: peer addresses from the settings; may be stale.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_hints",
        "_peers",
        "_rng",
        "_seeds",
        "_turn",
        "_vm",
        "summed",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        address: str,
        seeds: typing.Iterable[str],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._address = address
        self._seeds = frozenset(seeds) - {address}
        #: Addresses heard of to when that was.
        self._hints: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}
        #: Where among all addresses the last record's receivers began. VMs
        #: that began alike would all tell the same ones at once.
        self._turn = rng.randrange(FANOUT * FANOUT)
        #: Whether this VM hears of the others by an aggregator.
        self.summed = False

    @property
    def address(self) -> str:
        """Where this VM hears the others."""
        return self._address

    @property
    def between_s(self) -> float:
        """Mean seconds between two signs of life of one peer."""
        if self.summed:
            return BETWEEN_SUMMED_S
        return digests.INTERVAL_S * self._rounds

    @property
    def is_large(self) -> bool:
        """Whether there are more members than receivers of a record."""
        return len(self.everybody()) > FANOUT

    @property
    def _rounds(self) -> float:
        """Records that a peer sends for each one that comes here.

        With more members than receivers of a record that is more than one.
        """
        return max(1.0, len(self._peers) / FANOUT)

    def set_seeds(self, seeds: typing.Iterable[str]) -> None:
        """Take over changed settings."""
        self._seeds = frozenset(seeds) - {self._address}

    def hint(self, addresses: typing.Iterable[str]) -> None:
        """Addresses at which there may be members."""
        now = self._clock.now()
        for address in addresses:
            if address != self._address:
                self._hints.setdefault(address, now)

    def heard(
        self, digest: digests.Digest, age_s: float = 0.0
    ) -> digests.Digest | None:
        """Take in a record.

        :param age_s: how long ago its VM told it.
        :returns: the last record of the VM's former process, if the VM has
            restarted since, else None.
        """
        known = self._peers.get(digest.vm)
        if digest.vm == self._vm:
            return None
        former = None
        if known is not None:
            old = known.digest
            if not digest.supersedes(old):
                return None
            former = old if old.incarnation != digest.incarnation else None
        heard_at = self._clock.now() - age_s
        if known is not None and former is None:
            heard_at = max(heard_at, known.heard_at)
        self._peers[digest.vm] = _Peer(digest, heard_at)
        self.hint([digest.peer_address])
        self.hint(digest.known)
        return former

    def heard_of(self, vm: str, age_s: float) -> None:
        """An aggregator has heard a VM so long ago, in seconds."""
        peer = self._peers.get(vm)
        if peer is not None:
            heard_at = self._clock.now() - age_s
            peer.heard_at = max(peer.heard_at, heard_at)

    def addresses(self, vms: typing.Iterable[str]) -> list[str]:
        """Where VMs hear the others, of those that are known."""
        peers = map(self._peers.get, vms)
        return [peer.digest.peer_address for peer in peers if peer is not None]

    def data_centre(self, vm: str) -> str:
        """Where a VM is; "" when it is not known."""
        peer = self._peers.get(vm)
        return peer.digest.data_centre if peer is not None else ""

    def processes(self, vms: typing.Iterable[str]) -> list[str]:
        """The processes of VMs, of those that are known."""
        peers = map(self._peers.get, vms)
        return [peer.digest.process for peer in peers if peer is not None]

    def unheard(self) -> list[str]:
        """Addresses at which there may be members that are not heard."""
        alive = {digest.peer_address for digest in self.alive()}
        return [a for a in self.everybody() if a not in alive]

    def receivers(self) -> list[str]:
        """Addresses to which the next record goes; all come in turn.

        With receivers drawn at random some VMs of a large fleet would not hear
        of another one for so long that they take it for silent, and set its
        part of each customer's limit aside.
        """
        everybody = self.everybody()
        if len(everybody) <= FANOUT:
            return everybody
        self._turn = (self._turn + FANOUT) % len(everybody)
        return (everybody + everybody)[self._turn : self._turn + FANOUT]

    def is_member(self, host: str) -> bool:
        """Whether an IP number may be a member's.

        All that are known count: who is merely not among the receivers that
        were drawn last would else be turned away as a stranger.
        """
        return any(
            address.rpartition(":")[0] == host for address in self.everybody()
        )

    def everybody(self) -> list[str]:
        """Addresses at which there may be members."""
        now = self._clock.now()
        members = {
            peer.digest.peer_address
            for peer in self._peers.values()
            if now - peer.heard_at < MEMBER_S
        }
        self._hints = {
            address: since
            for address, since in self._hints.items()
            if now - since < MEMBER_S
        }
        return sorted(members | set(self._hints) | self._seeds)

    def known(self) -> list[str]:
        """Addresses of living members to tell others."""
        addresses = [digest.peer_address for digest in self.alive()]
        if len(addresses) <= MOST_KNOWN:
            return addresses
        return self._rng.sample(addresses, MOST_KNOWN)

    def alive(self) -> list[digests.Digest]:
        """Records of the VMs that were heard just now."""
        since = self._clock.now() - self._alive_s()
        return [p.digest for p in self._peers.values() if p.heard_at > since]

    def members(self) -> list[digests.Digest]:
        """Records of VMs that may be alive, heard or not.

        One that said that it leaves and fell silent has ended.
        """
        now = self._clock.now()
        alive_s = self._alive_s()
        return [
            peer.digest
            for peer in self._peers.values()
            if now - peer.heard_at < MEMBER_S
            and not (peer.digest.leaving and now - peer.heard_at > alive_s)
        ]

    def silence(self) -> None:
        """This VM stood still: nobody has been heard since."""
        long_ago = self._clock.now() - self._alive_s()
        for peer in self._peers.values():
            peer.heard_at = min(peer.heard_at, long_ago)

    def _alive_s(self) -> float:
        return ALIVE_SUMMED_S if self.summed else ALIVE_S * self._rounds
