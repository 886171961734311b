"""The runners that the platform lists, as this VM believes them to be."""

import typing

import xxhash

from .. import clock as clocks

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


class Runner:
    """One incarnation of a runner.

    :param runner_id: new with each start.
    :param leaving: it takes no new work.
    :param leaves_s: how long it serves on; None if unsaid.
    :param reclaimable: it may be taken away at short notice.
    :param revision: the store's, of the last change of the entry.
    """

    __slots__ = (
        "runner_id",
        "service",
        "host",
        "port",
        "data_centre",
        "concurrency",
        "leaving",
        "leaves_s",
        "reclaimable",
        "revision",
    )

    def __init__(
        self,
        runner_id: str,
        service: str,
        host: str,
        port: int,
        data_centre: str,
        concurrency: int,
        leaving: bool = False,
        leaves_s: float | None = None,
        reclaimable: bool = False,
        revision: int = 0,
    ) -> None:
        self.runner_id = runner_id
        self.service = service
        self.host = host
        self.port = port
        self.data_centre = data_centre
        self.concurrency = concurrency
        self.leaving = leaving
        self.leaves_s = leaves_s
        self.reclaimable = reclaimable
        self.revision = revision

    @property
    def address(self) -> str:
        """``host:port``."""
        return f"{self.host}:{self.port}"

    def to_record(self) -> list[typing.Any]:
        """The fields in order, for another entry VM."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def from_record(cls, record: list[typing.Any]) -> "Runner":
        """The reverse of :meth:`to_record`."""
        return cls(*record)


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

    News comes from the store and from peers, in any order; of two entries
    of one runner the one with the higher revision counts.

    :param drain_s: how soon a runner that has left must get no more work.
    """

    __slots__ = (
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
        self._runners: dict[str, Runner] = {}
        #: Runners to the revision at which they were gone.
        self._gone: dict[str, int] = {}
        #: Runners that may only have lapsed.
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
            states = sorted(
                f"{runner.runner_id}{int(runner.leaving)}"
                for runner in self._runners.values()
            )
            text = " ".join(states).encode()
            self._checksum = xxhash.xxh32_intdigest(text)
        return self._checksum

    @property
    def runners(self) -> list[Runner]:
        """All that live, leaving ones included."""
        return list(self._runners.values())

    def of_service(self, service: str) -> list[Runner]:
        """Runners of a service that take new work."""
        return [
            runner
            for runner in self._runners.values()
            if runner.service == service and not runner.leaving
        ]

    def get(self, runner_id: str) -> Runner | None:
        """A runner, None when it is unknown or gone."""
        return self._runners.get(runner_id)

    def store_returned(self) -> None:
        """The store answers again after an outage."""
        self._lenient_until = self._clock.now() + REAPPEAR_S

    def listed(
        self, entries: typing.Iterable[Runner], revision: int
    ) -> list[str]:
        """Take over the store's whole list.

        :returns: runners that are leaving or gone since.
        """
        ended = []
        present = set()
        for runner in entries:
            present.add(runner.runner_id)
            ended += self.changed(runner)
        missing = [
            runner_id
            for runner_id, runner in self._runners.items()
            if runner_id not in present and runner.revision <= revision
        ]
        for runner_id in missing:
            ended += self.removed(runner_id, revision)
        return ended

    def changed(self, runner: Runner) -> list[str]:
        """Take over one entry.

        :returns: the runner's id if it began to leave.
        """
        known = self._runners.get(runner.runner_id)
        if known is not None and known.revision >= runner.revision:
            # Not even the same revision is a sign of life: a peer that has
            # not heard of a removal sends what stood there before it.
            return []
        if self._gone.get(runner.runner_id, -1) >= runner.revision:
            return []
        self._gone.pop(runner.runner_id, None)
        self._doubted.pop(runner.runner_id, None)
        self._runners[runner.runner_id] = runner
        self._revision = max(self._revision, runner.revision)
        self._checksum = None
        began = runner.leaving and not (known is not None and known.leaving)
        return [runner.runner_id] if began else []

    def removed(self, runner_id: str, revision: int) -> list[str]:
        """An entry is not there any more.

        Just after an outage the runner may live and only have failed to
        write; it is doubted for a while and not yet gone.

        :returns: the runner's id if it is gone now.
        """
        runner = self._runners.get(runner_id)
        if runner is None or runner.revision > revision:
            # A peer has told of an entry that was written since.
            return []
        if runner.leaving:
            return self._bury(runner_id, revision)
        now = self._clock.now()
        until = max(self._lenient_until, now + SETTLE_S)
        self._doubted.setdefault(runner_id, _Doubt(now, until, revision))
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
        """Somebody else answers at the runner's address."""
        runner = self._runners.get(runner_id)
        if runner is None:
            return []
        return self._bury(runner_id, runner.revision)

    def tick(self) -> list[str]:
        """Bury runners whose time to reappear is over.

        :returns: their ids.
        """
        now = self._clock.now()
        late = [
            (runner_id, doubt.revision)
            for runner_id, doubt in self._doubted.items()
            if doubt.until <= now
        ]
        return [
            name
            for runner_id, revision in late
            for name in self._bury(runner_id, revision)
        ]

    def news_after(self, revision: int) -> tuple[list[Runner], dict[str, int]]:
        """Entries and removals newer than a revision, for a peer."""
        entries = [r for r in self._runners.values() if r.revision > revision]
        gone = {name: at for name, at in self._gone.items() if at > revision}
        return entries, gone

    def heard(
        self, entries: typing.Iterable[Runner], gone: typing.Mapping[str, int]
    ) -> list[str]:
        """Take over a peer's news.

        :returns: runners that are leaving or gone since.
        """
        ended = [name for runner in entries for name in self.changed(runner)]
        for runner_id, revision in gone.items():
            known = self._runners.get(runner_id)
            if known is not None and known.revision <= revision:
                ended += self._bury(runner_id, revision)
            elif known is None:
                # Kept although nothing changes: this VM would else seem to
                # be behind for ever, and ask again with each record.
                before = self._gone.get(runner_id, revision)
                self._gone[runner_id] = max(before, revision)
                self._revision = max(self._revision, revision)
        return ended

    def _bury(self, runner_id: str, revision: int) -> list[str]:
        self._doubted.pop(runner_id, None)
        runner = self._runners.pop(runner_id, None)
        if runner is None:
            return []
        self._gone[runner_id] = max(revision, runner.revision)
        self._revision = max(self._revision, revision)
        self._checksum = None
        while len(self._gone) > MOST_TOMBSTONES:
            self._gone.pop(next(iter(self._gone)))
        return [runner_id]
