"""Intervals, timeouts and sizes of the membership protocol."""

TICK_S = 0.1


class MembershipTiming:
    """Settings of :class:`~.membership.Membership`; times in seconds.

    :param probe_interval_s: each VM sends one direct probe per interval.
    :param probe_timeout_s: without an ack after this time, other VMs are
        asked to probe the target.
    :param indirect_probes: the number of VMs asked to probe the target.
    :param suspicion_factor: the shortest suspicion lasts this many probe
        intervals for each factor of ten in the number of members.
    :param suspicion_max_factor: an unconfirmed suspicion lasts this many
        times the shortest one.
    :param pause_s: a longer gap between ticks is taken as a pause of this
        process.
    :param sync_interval_s: time between two exchanges of the whole view.
    :param reconnect_interval_s: time between two attempts to reach a VM
        that is not in the view.
    :param tombstone_s: how long the record of a dead VM is kept.
    :param summary_interval_s: time between two summaries of a data centre.
    :param summary_stale_s: older summaries are ignored.
    :param full_view_max: in fleets of at most this many members, each VM's
        view has all members.
    :param gateways: the number of VMs in a data centre that exchange
        messages with the other data centres.
    :param gateway_fanout: the number of data centres to which a gateway
        pushes urgent news.
    :param push_fanout: the number of peers to which a VM pushes urgent news.
    :param packet_bytes: the most bytes of piggybacked members and rumours
        in a message; the summaries in a gateway's message have a limit of
        the same size.
    """

    __slots__ = (
        "probe_interval_s",
        "probe_timeout_s",
        "indirect_probes",
        "suspicion_factor",
        "suspicion_max_factor",
        "pause_s",
        "sync_interval_s",
        "reconnect_interval_s",
        "tombstone_s",
        "summary_interval_s",
        "summary_stale_s",
        "full_view_max",
        "gateways",
        "gateway_fanout",
        "push_fanout",
        "packet_bytes",
    )

    def __init__(
        self,
        *,
        probe_interval_s: float = 1.0,
        probe_timeout_s: float = 0.4,
        indirect_probes: int = 3,
        suspicion_factor: float = 3.0,
        suspicion_max_factor: float = 4.0,
        pause_s: float = 1.5,
        sync_interval_s: float = 30.0,
        reconnect_interval_s: float = 5.0,
        tombstone_s: float = 600.0,
        summary_interval_s: float = 10.0,
        summary_stale_s: float = 60.0,
        full_view_max: int = 64,
        gateways: int = 3,
        gateway_fanout: int = 4,
        push_fanout: int = 4,
        packet_bytes: int = 1200,
    ) -> None:
        self.probe_interval_s = probe_interval_s
        self.probe_timeout_s = probe_timeout_s
        self.indirect_probes = indirect_probes
        self.suspicion_factor = suspicion_factor
        self.suspicion_max_factor = suspicion_max_factor
        self.pause_s = pause_s
        self.sync_interval_s = sync_interval_s
        self.reconnect_interval_s = reconnect_interval_s
        self.tombstone_s = tombstone_s
        self.summary_interval_s = summary_interval_s
        self.summary_stale_s = summary_stale_s
        self.full_view_max = full_view_max
        self.gateways = gateways
        self.gateway_fanout = gateway_fanout
        self.push_fanout = push_fanout
        self.packet_bytes = packet_bytes
