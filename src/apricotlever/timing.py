"""Configurable times and sizes, with their defaults.

The JSON schema of the settings contains the same defaults; a test compares
them.
"""


class Timing:
    """Configurable intervals and timeouts, all in seconds.

    :param probe_interval_s: the interval between two probes of peers.
    :param probe_timeout_s: the time without an answer after which a peer is
        probed indirectly, through other peers.
    :param sync_interval_s: the interval between two exchanges of the whole
        membership view with a peer.
    :param peer_timeout_s: the timeout of a call to another entry VM.
    :param connect_timeout_s: the timeout for opening a connection.
    :param platform_timeout_s: the timeout of a call to the platform, other
        than a watch.
    :param watch_s: the time for which a watch waits for an event.
    :param lease_s: the duration of the lease of a duty, which is a task that
        one VM at a time performs for the fleet.
    :param order_timeout_s: the timeout of an order to a runner.
    :param load_poll_s: the interval between two readings of the load of a
        runner.
    :param entries_ttl_s: the time for which callers may cache the list of
        entry VMs.
    :param stop_s: the maximum duration of a graceful shutdown.
    :param connection_age_s: the maximum age of a connection that is reused.
    """

    __slots__ = (
        "probe_interval_s",
        "probe_timeout_s",
        "sync_interval_s",
        "peer_timeout_s",
        "connect_timeout_s",
        "platform_timeout_s",
        "watch_s",
        "lease_s",
        "order_timeout_s",
        "load_poll_s",
        "entries_ttl_s",
        "stop_s",
        "connection_age_s",
    )

    def __init__(
        self,
        probe_interval_s: float = 1.0,
        probe_timeout_s: float = 0.4,
        sync_interval_s: float = 15.0,
        peer_timeout_s: float = 2.0,
        connect_timeout_s: float = 1.0,
        platform_timeout_s: float = 2.0,
        watch_s: float = 20.0,
        lease_s: float = 10.0,
        order_timeout_s: float = 5.0,
        load_poll_s: float = 0.5,
        entries_ttl_s: float = 10.0,
        stop_s: float = 120.0,
        connection_age_s: float = 60.0,
    ) -> None:
        self.probe_interval_s = probe_interval_s
        self.probe_timeout_s = probe_timeout_s
        self.sync_interval_s = sync_interval_s
        self.peer_timeout_s = peer_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.platform_timeout_s = platform_timeout_s
        self.watch_s = watch_s
        self.lease_s = lease_s
        self.order_timeout_s = order_timeout_s
        self.load_poll_s = load_poll_s
        self.entries_ttl_s = entries_ttl_s
        self.stop_s = stop_s
        self.connection_age_s = connection_age_s


class Sizes:
    """Configurable sizes, retention and rates.

    :param caller_threads: the maximum number of requests and streams served
        concurrently.
    :param body_bytes_max: the maximum size of a request body in bytes.
    :param header_bytes_max: the maximum size of a request's headers in
        bytes.
    :param answer_bytes_max: the maximum size in bytes of an answer that is
        buffered whole.
    :param keep_outcomes_s: the time in seconds for which the outcome of an
        ended request is kept.
    :param keep_outcomes_bytes_max: the maximum memory in bytes for the
        outcomes of ended requests.
    :param store_reads_per_s: the maximum rate of reads from the object API
        by the whole fleet.
    :param store_writes_per_s: the maximum rate of writes to the object API
        by the whole fleet.
    """

    __slots__ = (
        "caller_threads",
        "body_bytes_max",
        "header_bytes_max",
        "answer_bytes_max",
        "keep_outcomes_s",
        "keep_outcomes_bytes_max",
        "store_reads_per_s",
        "store_writes_per_s",
    )

    def __init__(
        self,
        caller_threads: int = 256,
        body_bytes_max: int = 8 * 1024 * 1024,
        header_bytes_max: int = 64 * 1024,
        answer_bytes_max: int = 16 * 1024 * 1024,
        keep_outcomes_s: float = 600.0,
        keep_outcomes_bytes_max: int = 32 * 1024 * 1024,
        store_reads_per_s: float = 2000.0,
        store_writes_per_s: float = 300.0,
    ) -> None:
        self.caller_threads = caller_threads
        self.body_bytes_max = body_bytes_max
        self.header_bytes_max = header_bytes_max
        self.answer_bytes_max = answer_bytes_max
        self.keep_outcomes_s = keep_outcomes_s
        self.keep_outcomes_bytes_max = keep_outcomes_bytes_max
        self.store_reads_per_s = store_reads_per_s
        self.store_writes_per_s = store_writes_per_s
