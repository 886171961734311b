"""A VM's view of the fleet at one moment."""

import typing

from ..links import peer_pb2 as pb
from . import roster as rosters


class View:
    """Members that are not dead, this VM included.

    In a small fleet that is all of it. In a large one it is this VM's own
    data centre, and ``summaries`` tell of the others.

    :param me: this VM's own record.
    :param members: records by name.
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
        """Members of the whole fleet that are not dead."""
        return len(self.members) + sum(
            summary.members
            for name, summary in self.summaries.items()
            if name != self.me.data_centre
        )

    @property
    def data_centres(self) -> list[str]:
        """Those with at least one live member that is known."""
        return sorted(
            {member.data_centre for member in self.members.values()}
            | set(self.summaries)
        )

    def serving(self, data_centre: str | None = None) -> list[pb.Member]:
        """Members that take new work, by name.

        :param data_centre: only there; None for all that are seen.
        """
        return [
            member
            for _, member in sorted(self.members.items())
            if rosters.accepts_work(member)
            and data_centre in (None, member.data_centre)
        ]

    def names(self, data_centre: str | None = None) -> list[str]:
        """Names of the members that take new work."""
        return [member.vm for member in self.serving(data_centre)]

    def entries(self) -> list[pb.Member]:
        """Members to name to callers.

        All seen that take new work, and the gateways of the data centres
        that are seen by summary only.
        """
        here = self.serving()
        seen = {member.data_centre for member in self.members.values()}
        beyond = [
            gateway
            for name, summary in sorted(self.summaries.items())
            if name not in seen
            for gateway in summary.gateways
        ]
        return here + beyond
