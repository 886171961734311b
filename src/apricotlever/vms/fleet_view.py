"""The view: a snapshot of the fleet as one VM knows it."""

import typing

from ..links import peer_pb2 as pb
from . import roster as rosters


class FleetView:
    """The members that one VM does not consider dead, itself included.

    In a small fleet these are all such members. In a large fleet they are
    those of this VM's data centre, and ``summaries`` describe the other data
    centres.

    :param me: this VM's own member record.
    :param members: member records by name.
    :param summaries: fresh summaries by data centre; empty in a small fleet.
    """

    __slots__ = ("me", "members", "summaries")

    def __init__(
        self,
        me: pb.Member,
        members: typing.Mapping[str, pb.Member],
        summaries: typing.Mapping[str, pb.DataCentreSummary],
    ) -> None:
        self.me = me
        self.members = members
        self.summaries = summaries

    @property
    def size(self) -> int:
        """Number of members of the whole fleet that are not dead."""
        return len(self.members) + sum(
            summary.members
            for name, summary in self.summaries.items()
            if name != self.me.data_centre
        )

    @property
    def data_centres(self) -> list[str]:
        """Data centres with at least one known live member."""
        return sorted(
            {member.data_centre for member in self.members.values()}
            | set(self.summaries)
        )

    def serving(self, data_centre: str | None = None) -> list[pb.Member]:
        """Members that take new work, ordered by name.

        :param data_centre: data centre to restrict to; None for all in view.
        """
        return [
            member
            for _, member in sorted(self.members.items())
            if rosters.accepts_work(member)
            and data_centre in (None, member.data_centre)
        ]

    def serving_names(self, data_centre: str | None = None) -> list[str]:
        """Names of the members that take new work, in order.

        :param data_centre: as for :meth:`serving`.
        """
        return [member.vm for member in self.serving(data_centre)]

    def members_for_callers(self) -> list[pb.Member]:
        """Members whose addresses are given to callers.

        These are all known members that take new work, and the gateways of the
        data centres known by summary only.
        """
        serving = self.serving()
        seen = {member.data_centre for member in self.members.values()}
        gateways = [
            gateway
            for name, summary in sorted(self.summaries.items())
            if name not in seen
            for gateway in summary.gateways
        ]
        return serving + gateways
