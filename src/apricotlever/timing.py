"""Times and sizes that settings may change, with their defaults.

The same defaults stand in the settings' schema; a test compares them.
"""


class Timing:
    """How long things last; all in seconds.

    :param probe_interval_s: between two probes of peers.
    :param probe_timeout_s: until a probe is tried through other peers.
    :param sync_interval_s: between two exchanges of the whole view.
    :param peer_timeout_s: for a call to another entry VM.
    :param connect_timeout_s: for opening a connection.
    :param platform_timeout_s: for a call to the platform, no watch.
    :param watch_s: how long a watch waits for an event.
    :param lease_s: how long a duty's lease lasts.
    :param order_timeout_s: the longest that an order to a runner may take.
    :param load_poll_s: between two readings of a runner's load.
    :param entries_ttl_s: how long callers may keep the list of entry VMs.
    :param stop_s: the longest that a graceful shutdown waits.
    :param connection_age_s: the oldest connection that is used again.
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
    """How much is taken, kept and asked for.

    :param caller_threads: requests and streams served at once.
    :param body_bytes_max: the largest request body.
    :param header_bytes_max: the largest request head.
    :param answer_bytes_max: the largest answer that is read whole.
    :param keep_outcomes_s: how long an ended request's outcome is kept.
    :param keep_outcomes_bytes_max: memory for ended requests' outcomes.
    :param store_reads_per_s: the object API's rate for the whole fleet.
    :param store_writes_per_s: the object API's rate for the whole fleet.
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
