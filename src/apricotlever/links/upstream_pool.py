"""Connections to upstreams, and where clean ones wait for their next use."""

from http import client as http
import queue
import socket

from .. import clock as clocks

POOLED_AGE_S = 20.0
POOLED_PER_UPSTREAM = 32
KEEPALIVE_IDLE_S = 5
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MS = 6000
#: Between two times that an upstream's kept connections may be taken to have
#: fallen silent together, in seconds. An upstream that is too slow to answer
#: looks the same; so seldom, the repeats add little to its load.
SILENT_AGAIN_S = 30.0


class Connection(http.HTTPConnection):
    """A connection whose death is noticed sooner than TCP would.

    A path that lost track of the connection drops packets both ways without
    a reset. Keepalive shows it while we listen, the user timeout while we
    send; the deadlines of each phase are the first line of defence.
    """

    def connect(self) -> None:
        super().connect()
        sock = self.sock
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class StreamConnection(Connection):
    """A connection whose answer comes unframed, until it is closed.

    A stream of events marks its own end, so the chunks of HTTP/1.1 would
    only add work to each event.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


class Pooled:
    """A clean connection and when it was opened."""

    __slots__ = ("connection", "opened_at")

    def __init__(self, connection: Connection, opened_at: float) -> None:
        self.connection = connection
        self.opened_at = opened_at


class Pool:
    """Connections that ended their last exchange cleanly.

    A connection's age is bounded, because one that the network has lost
    track of looks alive until it is used.

    :param clock: tells ages.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._idle: dict[str, queue.LifoQueue[Pooled]] = {}
        #: When connections to an upstream were last found silent.
        self._silent_at: dict[str, float] = {}
        self._prune_at = clock.now() + POOLED_AGE_S

    def __len__(self) -> int:
        """Connections that are kept."""
        return sum(idle.qsize() for idle in list(self._idle.values()))

    def now(self) -> float:
        """The clock's reading in seconds."""
        return self._clock.now()

    def take(self, address: str) -> Pooled | None:
        """A connection young enough, or None.

        :param address: ``host:port`` of the upstream.
        """
        idle = self._idle.get(address)
        while idle is not None:
            try:
                pooled = idle.get_nowait()
            except queue.Empty:
                return None
            if self._clock.now() - pooled.opened_at < POOLED_AGE_S:
                return pooled
            pooled.connection.close()
        return None

    def put(
        self, address: str, connection: Connection, opened_at: float
    ) -> None:
        """Keep a connection for the next exchange.

        :param address: ``host:port`` of the upstream.
        :param connection: an idle connection.
        :param opened_at: when it was opened, by this pool's clock.
        """
        self._keep(address, Pooled(connection, opened_at))
        self._prune()

    def _prune(self) -> None:
        """Close the connections that are too old, from time to time.

        Runners come and go; those of one that is gone would stay open on
        this side, and the process would run out of descriptors.
        """
        now = self._clock.now()
        if now < self._prune_at:
            return
        self._prune_at = now + POOLED_AGE_S
        self._silent_at = {
            address: found_at
            for address, found_at in list(self._silent_at.items())
            if now - found_at < SILENT_AGAIN_S
        }
        for address in list(self._idle):
            idle = self._idle.pop(address, None)
            kept = _drained(idle) if idle is not None else []
            for pooled in reversed(kept):
                if now - pooled.opened_at < POOLED_AGE_S:
                    self._keep(address, pooled)
                else:
                    pooled.connection.close()

    def _keep(self, address: str, pooled: Pooled) -> None:
        fresh: queue.LifoQueue[Pooled] = queue.LifoQueue(POOLED_PER_UPSTREAM)
        try:
            self._idle.setdefault(address, fresh).put_nowait(pooled)
        except queue.Full:
            pooled.connection.close()

    def fell_silent(self, address: str, opened_at: float) -> bool:
        """A call on a kept connection got no answer.

        :param address: ``host:port`` of the upstream.
        :param opened_at: when the connection was opened, by this clock.
        :returns: whether the connections that were kept then are to blame,
            and not the upstream. It is said once in ``SILENT_AGAIN_S``, of
            all that were opened before they were found silent.
        """
        now = self._clock.now()
        found_at = self._silent_at.get(address)
        if found_at is None or now - found_at >= SILENT_AGAIN_S:
            self._silent_at[address] = found_at = now
        return opened_at <= found_at

    def forget(self, address: str) -> None:
        """Close what is kept for an upstream that failed.

        :param address: ``host:port`` of the upstream.
        """
        idle = self._idle.pop(address, None)
        for pooled in _drained(idle) if idle is not None else []:
            pooled.connection.close()


def _drained(idle: "queue.LifoQueue[Pooled]") -> list[Pooled]:
    """Take everything out, the latest first."""
    found: list[Pooled] = []
    while True:
        try:
            found.append(idle.get_nowait())
        except queue.Empty:
            return found
