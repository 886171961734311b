"""Keeps a call that crashes its runners away from a third one.

A crash shows at an entry VM as connections that break at once, and then as a
runner that takes no connection, or whose entry goes without a word of leaving.
Until then a broken connection says nothing: runners break off single answers
too. The calls that broke off at a runner just before its death are charged
with it; :mod:`.quarantine` works out what the charges prove.

The VMs tell each other what they know in the records that they send anyway.
"""

import collections
import typing

from .. import clock as clocks
from .. import shapes
from . import crashes
from . import quarantine

#: A call that broke off so long before its runner's death was seen, in
#: seconds, is charged with it. An entry goes after three missed heartbeats,
#: about four seconds.
BROKEN_S = 6.0
#: For how long each record tells of a death or of an answer, in seconds: a
#: record in five may be lost, 15 of them hardly are.
TOLD_S = 3.0
#: Charges of one death, and deaths, in one record, so that it stays a small
#: datagram: 4 KB at most, of 18 bytes for each charge.
MOST_CHARGES = 48
MOST_DEATHS = 4
#: Calls that are kept away, in one record.
MOST_BARRED = 32

#: A death as records tell it: runner, data centre, age in seconds, whether
#: it had said that it leaves, and the fingerprints of the calls charged.
ToldDeath = tuple[str, str, float, bool, list[str]]
#: What a record tells: deaths, suspected calls that were answered, and calls
#: that are kept away with the seconds left.
Told = tuple[list[ToldDeath], list[str], dict[str, float]]
#: Whether a value that came over a wire has that form.
is_told = shapes.is_row(
    shapes.is_list(
        shapes.is_row(
            shapes.is_text,
            shapes.is_any_text,
            shapes.is_number,
            shapes.is_flag,
            shapes.is_list(shapes.is_any_text),
        )
    ),
    shapes.is_list(shapes.is_any_text),
    shapes.is_map(shapes.is_any_text, shapes.is_number),
)


class _Broken:
    __slots__ = ("at", "fingerprint")

    def __init__(self, at: float, fingerprint: str) -> None:
        self.at = at
        self.fingerprint = fingerprint


class _Death:
    __slots__ = ("at", "data_centre", "noticed")

    def __init__(self, at: float, data_centre: str, noticed: bool) -> None:
        self.at = at
        self.data_centre = data_centre
        self.noticed = noticed


class _News:
    __slots__ = ("until", "report")

    def __init__(self, until: float, report: crashes.CrashSeen) -> None:
        self.until = until
        self.report = report


class Culprits:
    """What this VM knows of crashes, by its own calls and by its peers.

    :param vm: this VM's name.
    """

    __slots__ = (
        "_barred",
        "_broken",
        "_clock",
        "_cleared",
        "_dead",
        "_log",
        "_news",
        "_vm",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._log = quarantine.Quarantine(clock)
        #: By runner, calls whose connection broke off lately.
        self._broken: dict[str, list[_Broken]] = {}
        #: Runners that died a moment ago.
        self._dead: dict[str, _Death] = {}
        #: By runner, the deaths that the next records tell.
        self._news: dict[str, _News] = {}
        #: By fingerprint, when an answer cleared it here.
        self._cleared: dict[str, float] = {}
        #: By fingerprint, until when a peer keeps it away.
        self._barred: dict[str, float] = {}

    @property
    def active(self) -> bool:
        """Whether any call may have to be kept away.

        While it is False no fingerprint need be worked out.
        """
        return bool(self._log.log.deaths or self._barred)

    def set_sizes(self, sizes: typing.Mapping[str, int]) -> None:
        """Tell how many runners each data centre has."""
        self._log.set_sizes(sizes)

    def broke(self, runner: str, fingerprint: str) -> None:
        """A call's connection to a runner ended before its answer did."""
        now = self._clock.now()
        known = self._broken.setdefault(runner, [])
        known.append(_Broken(now, fingerprint))
        death = self._dead.get(runner)
        if death is not None and now - death.at < crashes.SAME_DEATH_S:
            # Its calls end one after the other; this one broke off, too.
            self.died(runner, death.data_centre, death.noticed)

    def died(self, runner: str, data_centre: str, noticed: bool) -> int:
        """A runner takes no connection, or its entry is gone.

        :param noticed: whether it was known to be leaving.
        :returns: how many calls are charged with it.
        """
        now = self._clock.now()
        lately = [
            broken
            for broken in self._broken.pop(runner, ())
            if now - broken.at < BROKEN_S
        ]
        if not lately:
            return 0
        self._dead[runner] = _Death(now, data_centre, noticed)
        names = {broken.fingerprint for broken in lately}
        told = self._news.get(runner)
        if told is not None:
            # One death to tell, however late each of its calls broke off.
            names |= {charge.fingerprint for charge in told.report.charges}
        report = crashes.CrashSeen(
            self._vm,
            runner,
            data_centre,
            now - lately[-1].at,
            noticed,
            tuple(crashes.Charge(name, "", 1) for name in sorted(names)),
        )
        self._log.receive(report)
        self._news[runner] = _News(now + TOLD_S, report)
        return len(names)

    def answered(self, fingerprint: str) -> None:
        """A call was answered in full: nothing before speaks against it."""
        if self.retry_after_s(fingerprint) is None and not self._suspect(
            fingerprint
        ):
            return
        self._clear(fingerprint)
        self._cleared[fingerprint] = self._clock.now()

    def retry_after_s(self, fingerprint: str) -> float | None:
        """When a call that is kept away may come back; None if it may run."""
        now = self._clock.now()
        until = self._barred.get(fingerprint, now)
        standing = self._log.standing(fingerprint)
        if standing.state is quarantine.State.QUARANTINED or (
            # Two deaths, and it is not known yet whether others explain them.
            standing.retry_after_s
        ):
            until = max(until, now + standing.retry_after_s)
        return until - now if until > now else None

    def tick(self) -> None:
        """Forget what is too old to matter."""
        now = self._clock.now()
        self._log.tick()
        self._news = {
            runner: news
            for runner, news in self._news.items()
            if news.until > now
        }
        self._cleared = {
            name: at for name, at in self._cleared.items() if now - at < TOLD_S
        }
        self._barred = {
            name: until for name, until in self._barred.items() if until > now
        }
        self._dead = {
            runner: death
            for runner, death in self._dead.items()
            if now - death.at < crashes.SAME_DEATH_S
        }
        self._broken = {
            runner: kept
            for runner, broken in self._broken.items()
            if (kept := [b for b in broken if now - b.at < BROKEN_S])
        }

    def told(self, whole: bool) -> Told | None:
        """What the next record tells; None when there is nothing.

        :param whole: whether to tell what is kept away, too: a VM that has
            just started learns it from that.
        """
        now = self._clock.now()
        deaths: list[ToldDeath] = [
            (
                news.report.runner,
                news.report.data_centre,
                # From when it was seen, not from when the record is made.
                news.report.age_s + now - (news.until - TOLD_S),
                news.report.noticed,
                [c.fingerprint for c in news.report.charges[:MOST_CHARGES]],
            )
            for news in list(self._news.values())[-MOST_DEATHS:]
        ]
        barred = self._told_barred() if whole else {}
        if not (deaths or self._cleared or barred):
            return None
        return deaths, list(self._cleared), barred

    def heard(self, vm: str, told: Told) -> None:
        """Take in a peer's record; copies change nothing."""
        deaths, cleared, barred = told
        for runner, data_centre, age_s, noticed, names in deaths:
            charges = tuple(crashes.Charge(name, "", 1) for name in names)
            self._log.receive(
                crashes.CrashSeen(
                    vm, runner, data_centre, age_s, noticed, charges
                )
            )
        now = self._clock.now()
        for name, left_s in barred.items():
            # Only what is unknown: told back and forth it would never end.
            self._barred.setdefault(name, now + left_s)
        for name in cleared:
            self._clear(name)

    def _told_barred(self) -> dict[str, float]:
        charged = collections.Counter(
            name for death in self._log.log.deaths for name in death.charges
        )
        held = {
            name: wait_s
            for name, deaths in sorted(charged.items())
            # Most were at one death only; to work out what the others prove
            # takes a look at every death for each.
            if deaths >= crashes.CRASHES_TO_QUARANTINE
            and self._log.standing(name).state is quarantine.State.QUARANTINED
            and (wait_s := self.retry_after_s(name)) is not None
        }
        return dict(list(held.items())[:MOST_BARRED])

    def _suspect(self, fingerprint: str) -> bool:
        standing = self._log.standing(fingerprint)
        return standing.state is not quarantine.State.CLEAR

    def _clear(self, fingerprint: str) -> None:
        self._log.receive(crashes.Survived(fingerprint, 0.0))
        self._barred.pop(fingerprint, None)
