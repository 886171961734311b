"""How often members probe each other and how long they wait."""

TICK_S = 0.1


class MembershipTiming:
    """Settings of :class:`~.membership.Membership`; times in seconds.

    :param probe_interval_s: one probe is made in each interval.
    :param probe_timeout_s: without an ack by then, others are asked.
    :param indirect_probes: how many others are asked.
    :param suspicion_factor: the shortest suspicion lasts this many
        intervals for each factor of ten in the count of members.
    :param suspicion_max_factor: an unconfirmed suspicion lasts this many
        times the shortest.
    :param pause_s: a gap between ticks beyond this is a pause of our own.
    :param sync_interval_s: between two exchanges of the whole view.
    :param reconnect_interval_s: between two tries to reach a lost VM.
    :param tombstone_s: how long the dead are remembered.
    :param summary_interval_s: between two summaries of a data centre.
    :param summary_stale_s: past this a summary says nothing any more.
    :param full_view_max: fleets up to this size see all members.
    :param gateways: VMs of a data centre that speak to the others.
    :param gateway_fanout: data centres that a gateway tells at once.
    :param push_fanout: peers that an urgent rumour is sent to at once.
    :param packet_bytes: piggybacked members and rumours in a message.
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
