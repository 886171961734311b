"""Which requests the crashes of runners speak against.

A runner that dies takes all of its requests with it, and at most one of
them was the cause. The log keeps the deaths that any entry VM saw. What
they prove is worked out anew from the whole set each time, so reports may
come twice, late and in any order.
"""

import typing

from .. import clock as clocks

#: Reports of one runner within this time tell of one death.
SAME_DEATH_S = 3.0
#: Deaths within this time of each other may have a common cause.
WAVE_S = 10.0
#: This many other runners of the data centre make a death part of a wave,
#: or all others if it has fewer.
WAVE_OTHERS = 2
#: A single death stops to count against a request after this time.
EVIDENCE_S = 600.0
#: Two within that time of each other count for this long.
QUARANTINE_S = 1800.0
CRASHES_TO_QUARANTINE = 2
#: Deaths kept; past that the oldest go first.
MOST_DEATHS = 4096
MOST_CHARGES = 1024


class Charge:
    """A request that was in flight at a runner when it died.

    :param on_trial: whether a judge had sent it there as a suspect.
    """

    __slots__ = ("fingerprint", "request_id", "attempt", "on_trial")

    def __init__(
        self,
        fingerprint: str,
        request_id: str,
        attempt: int,
        on_trial: bool = False,
    ) -> None:
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.attempt = attempt
        self.on_trial = on_trial


class CrashSeen:
    """An entry VM saw a runner die.

    :param age_s: how long ago, so that clocks need not agree.
    :param noticed: whether the runner was known to be leaving.
    :param charges: the VM's own requests in flight there. A death without
        any is told as well: it may show that another one was part of a wave.
    """

    __slots__ = (
        "vm",
        "runner",
        "data_centre",
        "age_s",
        "noticed",
        "charges",
    )

    def __init__(
        self,
        vm: str,
        runner: str,
        data_centre: str,
        age_s: float,
        noticed: bool,
        charges: tuple[Charge, ...],
    ) -> None:
        self.vm = vm
        self.runner = runner
        self.data_centre = data_centre
        self.age_s = age_s
        self.noticed = noticed
        self.charges = charges


class Survived:
    """A request with this fingerprint was answered in full."""

    __slots__ = ("fingerprint", "age_s")

    def __init__(self, fingerprint: str, age_s: float) -> None:
        self.fingerprint = fingerprint
        self.age_s = age_s


class Death:
    """One death of one runner, put together from all reports of it."""

    __slots__ = ("runner", "data_centre", "at", "noticed", "charges")

    def __init__(self, runner: str, data_centre: str, at: float) -> None:
        self.runner = runner
        self.data_centre = data_centre
        self.at = at
        self.noticed = False
        #: Fingerprint to whether it was on trial.
        self.charges: dict[str, bool] = {}

    def repeats_one_of(self, others: "list[Death]") -> bool:
        """Whether a suspect on trial here was at another of the deaths."""
        tried = [name for name, on_trial in self.charges.items() if on_trial]
        return any(
            name in other.charges
            for name in tried
            for other in others
            if other is not self
        )


class CrashLog:
    """The deaths of runners, and what they say of each fingerprint."""

    __slots__ = (
        "_by_fingerprint",
        "_clock",
        "_deaths",
        "_sizes",
        "_survived",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._deaths: list[Death] = []
        self._by_fingerprint: dict[str, list[Death]] = {}
        self._sizes: dict[str, int] = {}
        self._survived: dict[str, float] = {}

    @property
    def deaths(self) -> tuple[Death, ...]:
        """The deaths that are still kept."""
        return tuple(self._deaths)

    def set_sizes(self, sizes: typing.Mapping[str, int]) -> None:
        """Tell how many runners each data centre has.

        Runners that have just died count, as they do in a list that lags.
        """
        self._sizes = dict(sizes)

    def add(self, report: CrashSeen) -> None:
        """Merge a report; a second copy of it changes nothing."""
        at = self._clock.now() - report.age_s
        if report.age_s > QUARANTINE_S:
            return
        death = self._find(report.runner, at)
        if death is None:
            death = Death(report.runner, report.data_centre, at)
            self._deaths.append(death)
        death.noticed = death.noticed or report.noticed
        for charge in report.charges[:MOST_CHARGES]:
            self._charge(death, charge)
        if len(self._deaths) > MOST_DEATHS:
            self._forget(self._deaths[0])

    def survived(self, report: Survived) -> None:
        """What came before a full answer speaks against it no more."""
        fingerprint = report.fingerprint
        if fingerprint not in self._by_fingerprint:
            return
        at = self._clock.now() - report.age_s
        known = self._survived.get(fingerprint, at)
        self._survived[fingerprint] = max(known, at)

    def died_lately(self, within_s: float) -> set[str]:
        """Data centres in which a runner died within a time."""
        since = self._clock.now() - within_s
        return {
            death.data_centre for death in self._deaths if death.at > since
        }

    def expire(self) -> None:
        """Drop the deaths that are too old to matter."""
        oldest = self._clock.now() - QUARANTINE_S
        for death in [d for d in self._deaths if d.at < oldest]:
            self._forget(death)

    def against(self, fingerprint: str) -> list[Death]:
        """The deaths that a fingerprint may have caused."""
        charged = self._by_fingerprint.get(fingerprint)
        if not charged:
            return []
        now = self._clock.now()
        since = self._survived.get(fingerprint, float("-inf"))
        since = max(since, now - QUARANTINE_S)
        held = [
            death
            for death in charged
            if death.at > since and not self._excused(death, fingerprint)
        ]
        latest = max((death.at for death in held), default=now)
        together = [d for d in held if d.at >= latest - EVIDENCE_S]
        if len(together) >= CRASHES_TO_QUARANTINE:
            return together
        return [death for death in held if death.at >= now - EVIDENCE_S]

    def reports(self, vm: str) -> list[CrashSeen]:
        """All that is known, for a VM that has just started.

        :param vm: the VM that tells it.
        """
        now = self._clock.now()
        return [
            CrashSeen(
                vm,
                death.runner,
                death.data_centre,
                now - death.at,
                death.noticed,
                tuple(
                    Charge(name, "", 0, on_trial)
                    for name, on_trial in death.charges.items()
                    if death.at > self._survived.get(name, float("-inf"))
                ),
            )
            for death in self._deaths
        ]

    def _excused(self, death: Death, fingerprint: str) -> bool:
        """Whether something else explains a death better.

        A notice explains a death, and so do the deaths of other runners of
        the data centre at about the same time, at which this request was not
        in flight. Two deaths that one suspect may have caused count as one:
        two requests that crash runners at the same time would excuse each
        other.
        """
        if death.noticed:
            return True
        near = [
            other
            for other in self._deaths
            if other.data_centre == death.data_centre
            and abs(other.at - death.at) <= WAVE_S
            and fingerprint not in other.charges
        ]
        others = {
            other.runner for other in near if not other.repeats_one_of(near)
        }
        size = self._sizes.get(death.data_centre, WAVE_OTHERS + 1)
        return len(others) >= max(1, min(WAVE_OTHERS, size - 1))

    def _find(self, runner: str, at: float) -> Death | None:
        matching = (
            death
            for death in self._deaths
            if death.runner == runner and abs(death.at - at) <= SAME_DEATH_S
        )
        return next(matching, None)

    def _charge(self, death: Death, charge: Charge) -> None:
        fingerprint = charge.fingerprint
        if fingerprint not in death.charges:
            charged = self._by_fingerprint.setdefault(fingerprint, [])
            charged.append(death)
        on_trial = death.charges.get(fingerprint, False) or charge.on_trial
        death.charges[fingerprint] = on_trial

    def _forget(self, death: Death) -> None:
        self._deaths.remove(death)
        for fingerprint in death.charges:
            charged = self._by_fingerprint[fingerprint]
            charged.remove(death)
            if not charged:
                del self._by_fingerprint[fingerprint]
                self._survived.pop(fingerprint, None)


Report = typing.Union[CrashSeen, Survived]
