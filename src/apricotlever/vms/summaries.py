"""Data centres as seen from outside, in a fleet too large for one view.

The first gateway of a data centre issues its summary; gateways exchange
summaries among each other, and the rest get them with the whole view.
"""

import random
import typing

from .. import clock as clocks
from ..links import peer_pb2 as pb
from . import rendezvous
from . import roster as rosters
from . import rumours
from . import timing as timings

KIN_MAX = 16
_MS = 1000.0


class _Known:
    """A summary and when it was issued, by our own clock."""

    __slots__ = ("summary", "issued_at", "sent")

    def __init__(self, summary: pb.DataCentreSummary, now: float) -> None:
        self.summary = summary
        self.issued_at = now - summary.age_ms / _MS
        self.sent = 0

    def copy(self, now: float) -> pb.DataCentreSummary:
        """The summary with the age that it has by now; counts as sent."""
        self.sent += 1
        copy = pb.DataCentreSummary()
        copy.CopyFrom(self.summary)
        copy.age_ms = int((now - self.issued_at) * _MS)
        return copy


class Summaries:
    """Summaries of all data centres, and VMs to reach each by.

    :param data_centre: this VM's own.
    :param region: this VM's own.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_timing",
        "_data_centre",
        "_region",
        "_known",
        "_contacts",
        "_kin",
        "_round",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        timing: timings.MembershipTiming,
        data_centre: str,
        region: str,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._data_centre = data_centre
        self._region = region
        self._known: dict[str, _Known] = {}
        self._contacts: dict[str, pb.Member] = {}
        self._kin: dict[str, pb.Member] = {}
        self._round: list[str] = []

    @property
    def fresh(self) -> typing.Mapping[str, pb.DataCentreSummary]:
        """Summaries that are not stale, by data centre."""
        oldest = self._clock.now() - self._timing.summary_stale_s
        return {
            name: known.summary
            for name, known in self._known.items()
            if known.issued_at >= oldest
        }

    @property
    def others(self) -> list[str]:
        """Every other data centre ever heard of."""
        names = set(self._known) | set(self._contacts)
        return sorted(names - {self._data_centre})

    @property
    def kin(self) -> list[pb.Member]:
        """Gateways that some summary named for our own data centre.

        VMs of one data centre that do not know each other yet each issue a
        summary of it; by these names they find together.
        """
        return list(self._kin.values())

    def elsewhere(self) -> int:
        """Members in other data centres, by fresh summaries."""
        return sum(
            summary.members
            for name, summary in self.fresh.items()
            if name != self._data_centre
        )

    def merge(self, summary: pb.DataCentreSummary) -> bool:
        """Take in a summary.

        :returns: whether it was newer than the one known.
        """
        if summary.data_centre == self._data_centre:
            newest = {gateway.vm: gateway for gateway in summary.gateways}
            kept = list({**self._kin, **newest}.items())
            self._kin = dict(kept[-KIN_MAX:])
        known = self._known.get(summary.data_centre)
        if known is not None and known.summary.version >= summary.version:
            return False
        self._known[summary.data_centre] = _Known(summary, self._clock.now())
        return True

    def met(self, member: pb.Member) -> None:
        """A VM of another data centre spoke to us."""
        self._contacts[member.data_centre] = member

    def gateway_names(self, live: typing.Iterable[pb.Member]) -> list[str]:
        """The gateways of this data centre, first one first.

        :param live: its members that take work, this VM included.
        """
        names = [member.vm for member in live]
        key = f"gateway/{self._data_centre}"
        return rendezvous.rank(key, names)[: self._timing.gateways]

    def issue_if_due(
        self, members: list[pb.Member], gateways: list[str]
    ) -> None:
        """The first gateway renews its data centre's summary.

        :param members: live members here, this VM included.
        """
        known = self._known.get(self._data_centre)
        if known is not None and not self._issue_due(known, gateways):
            return
        by_name = {member.vm: member for member in members}
        version = int(self._clock.wall() * _MS)
        if known is not None:
            version = max(version, known.summary.version + 1)
        self.merge(
            pb.DataCentreSummary(
                data_centre=self._data_centre,
                region=self._region,
                version=version,
                members=len(members),
                serving=sum(map(rosters.accepts_work, members)),
                gateways=[by_name[vm] for vm in gateways],
            )
        )

    def pick(self, room_bytes: int) -> list[pb.DataCentreSummary]:
        """Our own summary and the least-sent others for one message."""
        order = sorted(self._least_sent(), key=self._is_elsewhere)
        return self._fitting(order, room_bytes)

    def pick_few(self, count: int) -> list[pb.DataCentreSummary]:
        """The least-sent ones."""
        now = self._clock.now()
        return [known.copy(now) for known in self._least_sent()[:count]]

    def _is_elsewhere(self, known: _Known) -> bool:
        return known.summary.data_centre != self._data_centre

    def _least_sent(self) -> list[_Known]:
        return sorted(
            (self._known[name] for name in self.fresh),
            key=lambda known: (known.sent, -known.issued_at),
        )

    def _fitting(
        self, order: list[_Known], room_bytes: int
    ) -> list[pb.DataCentreSummary]:
        now = self._clock.now()
        picked = []
        for known in order:
            room_bytes -= rumours.size_bytes(known.summary)
            if room_bytes < 0:
                break
            picked.append(known.copy(now))
        return picked

    def next_data_centre(self) -> str | None:
        """The data centre to speak to next, in shuffled rounds."""
        if not self._round:
            self._round = self.others
            self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def gateway_of(self, data_centre: str) -> pb.Member | None:
        """Some VM there to speak to.

        A stale summary's gateways may all be gone; the VM that spoke to us
        last is then another way in.
        """
        known = self._known.get(data_centre)
        ways = list(known.summary.gateways) if known is not None else []
        contact = self._contacts.get(data_centre)
        if contact is not None and (data_centre not in self.fresh):
            ways.append(contact)
        return self._rng.choice(ways) if ways else None

    def _issue_due(self, known: _Known, gateways: list[str]) -> bool:
        age_s = self._clock.now() - known.issued_at
        listed = [member.vm for member in known.summary.gateways]
        return age_s >= self._timing.summary_interval_s or listed != gateways
