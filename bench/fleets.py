"""Fleets of many data centres for the benchmarks, and their cost."""

import itertools
import typing

from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import rendezvous

from . import virtual

REGIONS = 6
GATEWAYS = 3


def members_of(sizes: typing.Sequence[int]) -> list[pb.Member]:
    """Records for data centres of the sizes given."""
    return [
        virtual.member_of(f"d{dc}-v{i}", f"d{dc}", f"r{dc % REGIONS}")
        for dc, size in enumerate(sizes)
        for i in range(size)
    ]


def even_sizes(members: int, data_centres: int) -> list[int]:
    """As equal as can be."""
    small, rest = divmod(members, data_centres)
    return [small + (i < rest) for i in range(data_centres)]


def start_known(
    fleet: virtual.Fleet, members: list[pb.Member]
) -> list[virtual.Node]:
    """Start VMs that know their data centre and all summaries already.

    It leaves out the time in which they would find each other.
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
        node.membership.answered(message)
    return nodes


class Cost:
    """What VMs spent over a span of virtual time, for each VM and second.

    :param call_s: processor time of one call on the real link, both ends.
    :param call_bytes: what one call adds to the messages on the wire.
    """

    def __init__(
        self,
        nodes: typing.Sequence[virtual.Node],
        seconds: float,
        call_s: float,
        call_bytes: float,
    ) -> None:
        spans = len(nodes) * seconds
        self.calls = sum(node.calls for node in nodes) / spans
        payload = sum(node.sent_bytes + node.received_bytes for node in nodes)
        # A call is paid for by both ends; summed over all VMs, each VM
        # pays one caller's and one callee's half for each call it makes.
        self.payload_bytes = payload / spans
        self.wire_bytes = self.payload_bytes + 2 * self.calls * call_bytes
        self.decisions = sum(node.processor_s for node in nodes) / spans
        self.processor = self.decisions + self.calls * call_s

    @staticmethod
    def reset(nodes: typing.Iterable[virtual.Node]) -> None:
        """Start counting anew."""
        for node in nodes:
            node.sent_bytes = node.received_bytes = node.calls = 0
            node.processor_s = 0.0

    def as_fields(self) -> dict[str, float]:
        """For a JSON line; processor in percent of a core."""
        return {
            "calls_per_s": round(self.calls, 2),
            "payload_bytes_per_s": round(self.payload_bytes),
            "wire_bytes_per_s": round(self.wire_bytes),
            "decisions_core_pct": round(100 * self.decisions, 3),
            "processor_core_pct": round(100 * self.processor, 3),
        }


def _summary(name: str, group: list[pb.Member]) -> pb.DataCentreSummary:
    by_name = {member.vm: member for member in group}
    first = rendezvous.rank(f"gateway/{name}", by_name)[:GATEWAYS]
    return pb.DataCentreSummary(
        data_centre=name,
        region=group[0].region,
        version=1,
        members=len(group),
        serving=len(group),
        gateways=[by_name[vm] for vm in first],
    )
