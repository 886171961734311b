"""Summaries of data centres, for a fleet too large for a full view.

In a large fleet a VM knows the members of its own data centre one by one. Of
each other data centre it has a summary: the number of members, and the
gateways, which are the VMs that exchange messages with other data centres. The
first gateway of a data centre issues its summary. Gateways exchange summaries
with each other; the other VMs get a few with each gossip message and more with
the exchange of views.
"""

import random
import typing

from .. import clock as clocks
from ..links import peer_pb2 as pb
from . import rendezvous
from . import roster as rosters
from . import rumour_buffer
from . import timing as timings

OWN_GATEWAYS_MAX = 16
_MS = 1000.0


class _ReceivedSummary:
    """A data centre's summary, as this VM received or issued it.

    ``issued_at`` is the time of its issue by the local clock; ``sent`` counts
    the messages of this VM that included the summary.
    """

    __slots__ = ("summary", "issued_at", "sent")

    def __init__(self, summary: pb.DataCentreSummary, now: float) -> None:
        self.summary = summary
        self.issued_at = now - summary.age_ms / _MS
        self.sent = 0

    def copy(self, now: float) -> pb.DataCentreSummary:
        """Copy the summary with its current age, and count it as sent."""
        self.sent += 1
        copy = pb.DataCentreSummary()
        copy.CopyFrom(self.summary)
        copy.age_ms = int((now - self.issued_at) * _MS)
        return copy


class DataCentreSummaries:
    """Latest summary of each data centre, and VMs by which to contact it.

    :param data_centre: data centre of this VM.
    :param region: region of this VM.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_timing",
        "_data_centre",
        "_region",
        "_known",
        "_contacts",
        "_own_gateways",
        "_remaining_round",
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
        self._known: dict[str, _ReceivedSummary] = {}
        self._contacts: dict[str, pb.Member] = {}
        self._own_gateways: dict[str, pb.Member] = {}
        self._remaining_round: list[str] = []

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
    def other_data_centres(self) -> list[str]:
        """Names of all other data centres seen so far."""
        names = set(self._known) | set(self._contacts)
        return sorted(names - {self._data_centre})

    @property
    def own_gateways(self) -> list[pb.Member]:
        """Gateways that received summaries name for the own data centre.

        VMs of one data centre that do not know each other yet each issue a
        summary of it. They discover each other by these gateways.
        """
        return list(self._own_gateways.values())

    def count_remote_members(self) -> int:
        """Number of members in other data centres, by fresh summaries."""
        return sum(
            summary.members
            for name, summary in self.fresh.items()
            if name != self._data_centre
        )

    def merge(self, summary: pb.DataCentreSummary) -> bool:
        """Store a data centre's summary if it is newer than the known one.

        :returns: whether it was newer.
        """
        if summary.data_centre == self._data_centre:
            newest = {gateway.vm: gateway for gateway in summary.gateways}
            kept = list({**self._own_gateways, **newest}.items())
            self._own_gateways = dict(kept[-OWN_GATEWAYS_MAX:])
        known = self._known.get(summary.data_centre)
        if known is not None and known.summary.version >= summary.version:
            return False
        self._known[summary.data_centre] = _ReceivedSummary(
            summary, self._clock.now()
        )
        return True

    def note_contact(self, member: pb.Member) -> None:
        """Note a VM of another data centre that has sent a message.

        That data centre may be contacted by it when its summary is stale.
        """
        self._contacts[member.data_centre] = member

    def rank_gateways(self, live: typing.Iterable[pb.Member]) -> list[str]:
        """Names of this data centre's gateways, in order of rank.

        VMs that know the same members agree on the gateways.

        :param live: its live members that are not leaving, this VM included.
        """
        names = [member.vm for member in live]
        key = f"gateway/{self._data_centre}"
        return rendezvous.rank(key, names)[: self._timing.gateways]

    def issue_if_due(
        self, members: list[pb.Member], gateways: list[str]
    ) -> None:
        """Issue a new summary of this data centre if one is due.

        This is so when the last one has reached a certain age, or when the
        gateways have changed.

        :param members: live members of this data centre, this VM included.
        :param gateways: names of its gateways.
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
        """Select summaries for a message and count them as sent.

        The summary of this VM's data centre comes first, then the others,
        beginning with those sent least often.

        :param room_bytes: upper bound of their total size.
        """
        ordered = sorted(self._by_send_count(), key=self._is_of_other)
        return self._fit(ordered, room_bytes)

    def pick_least_sent(self, count: int) -> list[pb.DataCentreSummary]:
        """Select the summaries sent least often and count them as sent.

        :param count: the most summaries to select.
        """
        now = self._clock.now()
        return [known.copy(now) for known in self._by_send_count()[:count]]

    def _is_of_other(self, known: _ReceivedSummary) -> bool:
        return known.summary.data_centre != self._data_centre

    def _by_send_count(self) -> list[_ReceivedSummary]:
        return sorted(
            (self._known[name] for name in self.fresh),
            key=lambda known: (known.sent, -known.issued_at),
        )

    def _fit(
        self, ordered: list[_ReceivedSummary], room_bytes: int
    ) -> list[pb.DataCentreSummary]:
        now = self._clock.now()
        picked = []
        for known in ordered:
            room_bytes -= rumour_buffer.embedded_size_bytes(known.summary)
            if room_bytes < 0:
                break
            picked.append(known.copy(now))
        return picked

    def next_data_centre(self) -> str | None:
        """The next other data centre to contact; None when none is known.

        All of them come in turn, in rounds of shuffled order.
        """
        if not self._remaining_round:
            self._remaining_round = self.other_data_centres
            self._rng.shuffle(self._remaining_round)
        return self._remaining_round.pop() if self._remaining_round else None

    def gateway_of(self, data_centre: str) -> pb.Member | None:
        """Pick a VM by which a data centre can be contacted.

        All gateways of a stale summary may have ended. The VM of that data
        centre that last sent a message is then a candidate, too.

        :returns: one of the candidates, chosen at random; None when no VM
            there is known.
        """
        known = self._known.get(data_centre)
        candidates = list(known.summary.gateways) if known is not None else []
        contact = self._contacts.get(data_centre)
        if contact is not None and (data_centre not in self.fresh):
            candidates.append(contact)
        return self._rng.choice(candidates) if candidates else None

    def _issue_due(self, known: _ReceivedSummary, gateways: list[str]) -> bool:
        age_s = self._clock.now() - known.issued_at
        listed = [member.vm for member in known.summary.gateways]
        return age_s >= self._timing.summary_interval_s or listed != gateways
