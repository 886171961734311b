"""Builds virtual fleets of many data centres and measures their cost."""

import itertools
import typing

from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import rendezvous

from . import gossip_simulation

REGIONS = 6
GATEWAYS_PER_DATA_CENTRE = 3


def make_members(sizes: typing.Sequence[int]) -> list[pb.Member]:
    """Make member records for data centres of the given sizes."""
    return [
        gossip_simulation.make_member(
            f"d{dc}-v{i}", f"d{dc}", f"r{dc % REGIONS}"
        )
        for dc, size in enumerate(sizes)
        for i in range(size)
    ]


def split_evenly(members: int, data_centres: int) -> list[int]:
    """Split members over data centres as evenly as possible."""
    base, remainder = divmod(members, data_centres)
    return [base + (i < remainder) for i in range(data_centres)]


def start_with_known_members(
    fleet: gossip_simulation.Fleet, members: list[pb.Member]
) -> list[gossip_simulation.Node]:
    """Start VMs that already know their data centre and all summaries.

    This skips the phase in which the VMs discover each other.
    """
    nodes = [fleet.add(member) for member in members]
    by_data_centre = {
        name: list(group)
        for name, group in itertools.groupby(
            members, key=lambda member: member.data_centre
        )
    }
    summaries = [
        _summary(name, group) for name, group in by_data_centre.items()
    ]
    for node in nodes:
        group = by_data_centre[node.member.data_centre]
        other = group[0] if group[0] is not node.member else group[-1]
        message = pb.GossipMessage(sender=other)
        message.sync.members.extend(group)
        message.sync.summaries.extend(summaries)
        node.membership.receive_reply(message)
    return nodes


class Cost:
    """The resources that VMs used in a span of virtual time.

    All figures are per VM and second.

    :param seconds: the length of the span.
    :param call_s: processor time of one call on the real link, the sum of
        both ends.
    :param call_bytes: the bytes that one call adds to its messages on the
        wire.
    """

    def __init__(
        self,
        nodes: typing.Sequence[gossip_simulation.Node],
        seconds: float,
        call_s: float,
        call_bytes: float,
    ) -> None:
        node_seconds = len(nodes) * seconds
        self.calls = sum(node.calls for node in nodes) / node_seconds
        payload = sum(node.sent_bytes + node.received_bytes for node in nodes)
        # Both ends of a call spend resources. Summed over all VMs, each call
        # that a VM makes accounts for one caller's and one callee's half.
        self.payload_bytes = payload / node_seconds
        self.wire_bytes = self.payload_bytes + 2 * self.calls * call_bytes
        self.decisions = sum(node.processor_s for node in nodes) / node_seconds
        self.processor = self.decisions + self.calls * call_s

    @staticmethod
    def reset_counters(nodes: typing.Iterable[gossip_simulation.Node]) -> None:
        """Reset the counters of all nodes."""
        for node in nodes:
            node.sent_bytes = node.received_bytes = node.calls = 0
            node.processor_s = 0.0

    def as_fields(self) -> dict[str, float]:
        """The figures as fields of a JSON line; processor in % of a core."""
        return {
            "calls_per_s": round(self.calls, 2),
            "payload_bytes_per_s": round(self.payload_bytes),
            "wire_bytes_per_s": round(self.wire_bytes),
            "decisions_core_pct": round(100 * self.decisions, 3),
            "processor_core_pct": round(100 * self.processor, 3),
        }


def _summary(name: str, group: list[pb.Member]) -> pb.DataCentreSummary:
    by_name = {member.vm: member for member in group}
    gateways = rendezvous.rank(f"gateway/{name}", by_name)[
        :GATEWAYS_PER_DATA_CENTRE
    ]
    return pb.DataCentreSummary(
        data_centre=name,
        region=group[0].region,
        version=1,
        members=len(group),
        serving=len(group),
        gateways=[by_name[vm] for vm in gateways],
    )
