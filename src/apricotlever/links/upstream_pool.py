"""HTTP connections to upstreams, and a pool that keeps idle ones for reuse."""

from http import client as http
import queue
import select

from .. import clock as clocks
from .. import socket_options

from . import strict_responses

MAX_POOLED_AGE_S = 20.0
MAX_POOLED_PER_UPSTREAM = 32
#: Minimum time in seconds between two reports that the pooled connections to
#: an upstream have stopped carrying packets. An overloaded upstream can't be
#: told from that; at this interval, the repeated calls add little to its load.
SILENCE_REPORT_INTERVAL_S = 30.0


class Connection(http.HTTPConnection):
    """A connection that detects an unreachable peer sooner than TCP would.

    A middlebox that dropped the connection's state discards packets both
    ways without a reset. Keepalive detects this while the connection waits
    for data, and TCP_USER_TIMEOUT while it sends. Both only back up the
    deadlines of each phase of an exchange.
    """

    response_class = strict_responses.StrictResponse

    def connect(self) -> None:
        super().connect()
        socket_options.UPSTREAMS.apply(self.sock)


class StreamConnection(Connection):
    """A connection that requests with HTTP/1.0, for an unframed response.

    A stream of events marks its own end, so the chunked encoding of HTTP/1.1
    would only add work to each event.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


class PooledConnection:
    """An idle connection to an upstream and when it was opened."""

    __slots__ = ("connection", "opened_at")

    def __init__(self, connection: Connection, opened_at: float) -> None:
        self.connection = connection
        self.opened_at = opened_at

    @property
    def is_readable(self) -> bool:
        """Whether the upstream has closed it, or sent what nobody asked for.

        Such bytes would be read as the answer to the next request.
        """
        poll = select.poll()
        poll.register(self.connection.sock, select.POLLIN | select.POLLHUP)
        return bool(poll.poll(0))


class ConnectionPool:
    """Pool of idle connections whose last exchange ended cleanly.

    A connection's age is limited, because one whose state a middlebox has
    dropped looks open until it is used.

    :param clock: measures the age of connections.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._idle: dict[str, queue.LifoQueue[PooledConnection]] = {}
        #: Upstream address to the time of the last report of silence.
        self._silence_reported_at: dict[str, float] = {}
        self._prune_at = clock.now() + MAX_POOLED_AGE_S

    def __len__(self) -> int:
        """The number of connections in the pool."""
        return sum(idle.qsize() for idle in list(self._idle.values()))

    def now(self) -> float:
        """The current time of the pool's clock, in seconds."""
        return self._clock.now()

    def take(self, address: str) -> PooledConnection | None:
        """Take the latest connection that is young and silent, or None.

        :param address: ``host:port`` of the upstream.
        """
        idle = self._idle.get(address)
        while idle is not None:
            try:
                pooled = idle.get_nowait()
            except queue.Empty:
                return None
            young = self._clock.now() - pooled.opened_at < MAX_POOLED_AGE_S
            if young and not pooled.is_readable:
                return pooled
            pooled.connection.close()
        return None

    def put(
        self, address: str, connection: Connection, opened_at: float
    ) -> None:
        """Add a connection to the pool for a later exchange.

        :param address: ``host:port`` of the upstream.
        :param connection: an idle connection.
        :param opened_at: when it was opened, by this pool's clock.
        """
        self._store(address, PooledConnection(connection, opened_at))
        self._prune()

    def _prune(self) -> None:
        """Periodically close the connections that are too old.

        Connections to a runner that has gone are never taken again. They
        would stay open, and the process would run out of file descriptors.
        """
        now = self._clock.now()
        if now < self._prune_at:
            return
        self._prune_at = now + MAX_POOLED_AGE_S
        self._silence_reported_at = {
            address: reported_at
            for address, reported_at in list(self._silence_reported_at.items())
            if now - reported_at < SILENCE_REPORT_INTERVAL_S
        }
        for address in list(self._idle):
            idle = self._idle.pop(address, None)
            kept = _drain(idle) if idle is not None else []
            for pooled in reversed(kept):
                if now - pooled.opened_at < MAX_POOLED_AGE_S:
                    self._store(address, pooled)
                else:
                    pooled.connection.close()

    def _store(self, address: str, pooled: PooledConnection) -> None:
        new_queue: queue.LifoQueue[PooledConnection] = queue.LifoQueue(
            MAX_POOLED_PER_UPSTREAM
        )
        try:
            self._idle.setdefault(address, new_queue).put_nowait(pooled)
        except queue.Full:
            pooled.connection.close()

    def record_silence(self, address: str, opened_at: float) -> bool:
        """Record that a call on a reused connection got no answer.

        :param address: ``host:port`` of the upstream.
        :param opened_at: when the connection was opened, by this pool's
            clock.
        :returns: whether the failure is blamed on the pooled connections
            and not on the upstream: True for connections that were opened
            before the latest report of silence. A call makes a new report
            only if the latest is ``SILENCE_REPORT_INTERVAL_S`` old.
        """
        now = self._clock.now()
        reported_at = self._silence_reported_at.get(address)
        if (
            reported_at is None
            or now - reported_at >= SILENCE_REPORT_INTERVAL_S
        ):
            self._silence_reported_at[address] = reported_at = now
        return opened_at <= reported_at

    def close_idle(self, address: str) -> None:
        """Close the pooled connections to an upstream that failed.

        :param address: ``host:port`` of the upstream.
        """
        idle = self._idle.pop(address, None)
        for pooled in _drain(idle) if idle is not None else []:
            pooled.connection.close()


def _drain(
    idle: "queue.LifoQueue[PooledConnection]",
) -> list[PooledConnection]:
    """Take all connections out of a queue, the latest first."""
    drained: list[PooledConnection] = []
    while True:
        try:
            drained.append(idle.get_nowait())
        except queue.Empty:
            return drained
