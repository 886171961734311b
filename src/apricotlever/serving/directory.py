"""Which runners the platform lists, as this VM believes."""

import typing

import xxhash

from .. import clock as clocks

from . import runners as runners_

#: How long after the store came back an entry may be missing although its
#: runner lives: entries that lapsed during an outage are written again
#: within about this time.
REAPPEAR_S = 2.0
#: How long a removal that no notice came before is held, in seconds, to see
#: whether it is one of many. A runner serves on for longer after its removal.
SETTLE_S = 0.4
#: So many removals at once, and such a part of all runners, without a notice
#: are entries that lapsed: the store was away, and a watch that waited all
#: the while has not shown it.
LAPSE_LEAST = 3
LAPSE_PART = 0.5
#: Part of the time within which a runner that has left must get no more work
#: for which such a lapse is waited out. Runners of a data centre that are
#: reclaimed without a notice look the same; the rest is for the way of news.
LAPSE_DRAIN_PART = 0.65
#: Removed runners remembered, so that late news can't bring one back.
MOST_TOMBSTONES = 4096


class _Doubt:
    """A removal that may be a lapse.

    :param until: when the runner counts as gone.
    :param revision: of the removal.
    """

    __slots__ = ("removed_at", "until", "revision")

    def __init__(self, removed_at: float, until: float, revision: int) -> None:
        self.removed_at = removed_at
        self.until = until
        self.revision = revision


class Directory:
    """Which runners live, and which take new work.

    News comes from the store and from peers, in any order. Of two entries of
    one name that of the later start counts, and of one incarnation's that
    with the higher revision.

    :param drain_s: how soon a runner that has left must get no more work.
    """

    __slots__ = (
        "_by_id",
        "_checksum",
        "_clock",
        "_doubted",
        "_gone",
        "_lapse_s",
        "_lenient_until",
        "_revision",
        "_runners",
    )

    def __init__(
        self, clock: clocks.Clock, drain_s: float = REAPPEAR_S
    ) -> None:
        self._clock = clock
        self._lapse_s = min(REAPPEAR_S, LAPSE_DRAIN_PART * drain_s)
        #: By name.
        self._runners: dict[str, runners_.Runner] = {}
        #: The same by incarnation.
        self._by_id: dict[str, runners_.Runner] = {}
        #: Names to the revision at which they were gone.
        self._gone: dict[str, int] = {}
        #: Names of runners that may only have lapsed.
        self._doubted: dict[str, _Doubt] = {}
        self._checksum: int | None = None
        self._revision = 0
        self._lenient_until = float("-inf")

    @property
    def revision(self) -> int:
        """The highest revision of any news."""
        return self._revision

    @property
    def checksum(self) -> int:
        """Equal where the same runners live and take new work.

        Revisions alone don't show a removal that one VM holds back and then
        makes late: its peers have been told of later revisions by then.
        """
        if self._checksum is None:
            states = sorted(r.believed for r in self._runners.values())
            text = " ".join(states).encode()
            self._checksum = xxhash.xxh32_intdigest(text)
        return self._checksum

    @property
    def runners(self) -> list[runners_.Runner]:
        """All that live, leaving ones included."""
        return [r for r in self._runners.values() if not r.unread]

    def of_service(self, service: str) -> list[runners_.Runner]:
        """Runners of a service that take new work."""
        return [
            runner
            for runner in self._runners.values()
            if runner.service == service and not runner.leaving
        ]

    def get(self, runner_id: str) -> runners_.Runner | None:
        """An incarnation, None when it is unknown or gone."""
        return self._by_id.get(runner_id)

    def store_returned(self) -> None:
        """The store answers again after an outage."""
        self._lenient_until = self._clock.now() + REAPPEAR_S

    def listed(
        self, entries: typing.Iterable[runners_.Entry], revision: int
    ) -> list[str]:
        """Take over the store's whole list.

        :returns: incarnations that are leaving or gone since.
        """
        ended = []
        present = set()
        for entry in entries:
            present.add(entry.name)
            ended += self.changed(entry)
        missing = [
            name
            for name, runner in self._runners.items()
            if name not in present and runner.revision <= revision
        ]
        for name in missing:
            ended += self.removed(name, revision)
        return ended

    def changed(self, entry: runners_.Entry) -> list[str]:
        """Take over one entry.

        :returns: incarnations that are leaving or gone since.
        """
        if self._gone.get(entry.name, -1) >= entry.revision:
            return []
        self._revision = max(self._revision, entry.revision)
        known = self._runners.get(entry.name)
        runner = _read(known, entry)
        if known is not None and not _supersedes(known, runner):
            # Not even the same revision is a sign of life: a peer that has
            # not heard of a removal sends what stood there before it.
            return []
        self._gone.pop(entry.name, None)
        self._doubted.pop(entry.name, None)
        self._runners[entry.name] = runner
        self._by_id[runner.runner_id] = runner
        self._checksum = None
        ended = []
        if known is not None and known.runner_id != runner.runner_id:
            # It started again: nothing of the incarnation before lives on.
            del self._by_id[known.runner_id]
            ended.append(known.runner_id)
            known = None
        if runner.leaving and not (known is not None and known.leaving):
            ended.append(runner.runner_id)
        return ended

    def removed(self, name: str, revision: int) -> list[str]:
        """An entry is not there any more.

        Just after an outage the runner may live and only have failed to
        write; it is doubted for a while and not yet gone.

        :returns: the incarnation that is gone now, if one is.
        """
        runner = self._runners.get(name)
        if runner is None or runner.revision > revision:
            # A peer has told of an entry that was written since.
            return []
        if runner.leaving:
            return self._bury(name, revision)
        now = self._clock.now()
        until = max(self._lenient_until, now + SETTLE_S)
        self._doubted.setdefault(name, _Doubt(now, until, revision))
        self._notice_lapse()
        return []

    def _notice_lapse(self) -> None:
        ready = sum(not r.leaving for r in self._runners.values())
        if len(self._doubted) < max(LAPSE_LEAST, LAPSE_PART * ready):
            return
        for doubt in self._doubted.values():
            # From when each was removed: those that follow extend nothing.
            until = doubt.removed_at + self._lapse_s
            doubt.until = max(doubt.until, until)

    def gone(self, runner_id: str) -> list[str]:
        """Somebody else answers at an incarnation's address."""
        runner = self._by_id.get(runner_id)
        if runner is None:
            return []
        return self._bury(runner.name, runner.revision)

    def tick(self) -> list[str]:
        """Bury runners whose time to reappear is over.

        :returns: their incarnations.
        """
        now = self._clock.now()
        late = [
            (name, doubt.revision)
            for name, doubt in self._doubted.items()
            if doubt.until <= now
        ]
        return [
            runner_id
            for name, revision in late
            for runner_id in self._bury(name, revision)
        ]

    def news_after(
        self, revision: int
    ) -> tuple[list[runners_.Runner], dict[str, int]]:
        """Entries and removals newer than a revision, for a peer."""
        entries = [r for r in self._runners.values() if r.revision > revision]
        gone = {name: at for name, at in self._gone.items() if at > revision}
        return entries, gone

    def heard(
        self,
        entries: typing.Iterable[runners_.Runner],
        gone: typing.Mapping[str, int],
    ) -> list[str]:
        """Take over a peer's news.

        :returns: incarnations that are leaving or gone since.
        """
        ended = [name for runner in entries for name in self.changed(runner)]
        for name, revision in gone.items():
            known = self._runners.get(name)
            if known is not None and known.revision <= revision:
                ended += self._bury(name, revision)
            elif known is None:
                # Kept although nothing changes: this VM would else seem to
                # be behind for ever, and ask again with each record.
                before = self._gone.get(name, revision)
                self._gone[name] = max(before, revision)
                self._revision = max(self._revision, revision)
        return ended

    def _bury(self, name: str, revision: int) -> list[str]:
        self._doubted.pop(name, None)
        runner = self._runners.pop(name, None)
        if runner is None:
            return []
        del self._by_id[runner.runner_id]
        self._gone[name] = max(revision, runner.revision)
        self._revision = max(self._revision, revision)
        self._checksum = None
        while len(self._gone) > MOST_TOMBSTONES:
            self._gone.pop(next(iter(self._gone)))
        return [runner.runner_id]


def _read(
    known: runners_.Runner | None, entry: runners_.Entry
) -> runners_.Runner:
    """What an entry makes of the runner of its name."""
    if isinstance(entry, runners_.Unreadable):
        if known is None:
            return runners_.Runner.never_read(entry.name, entry.revision)
        return known.withdraw(entry.revision)
    if known is None:
        return entry
    if entry.withdrawn or (known.born and not entry.born):
        # Who has told its start once tells it always: somebody else wrote it.
        return known.withdraw(entry.revision)
    return entry


def _supersedes(known: runners_.Runner, news: runners_.Runner) -> bool:
    """Whether news of a name counts more than what is known.

    The store may carry out a write long after it was sent. A late heartbeat
    has a higher revision than what it was written over, so revisions alone
    would bring an incarnation back that has ended, or one to work that has
    said that it leaves.
    """
    later = news.revision > known.revision
    if news.withdrawn:
        return later
    if known.withdrawn:
        return later and news.born >= known.born
    if known.born != news.born:
        return news.born > known.born if known.born else later
    if known.leaving != news.leaving and known.sequence != news.sequence:
        return news.sequence > known.sequence
    return later
