"""Finds the prompt parts that explain why runners crashed.

A crash ends all calls at its runner, so that what all calls have in common,
as a system prompt, is at every crash. Four things tell a bad part from it:

- no call with the part is answered in full after a crash;
- calls that differ as a whole crash runners with it;
- no second call with the part is at the runner, as the first one ends it;
- it explains crashes that no other part explains. The part that explains the
  most is taken first, one that was never answered before any other, and what
  it explains speaks against no other part.

What accompanies a part at all of its crashes, and was not answered since,
belongs to the cause: calls with only some of it may run, and show more.
"""

import typing

from . import crashes

#: Crashes that a part must explain to be a cause, and if it was answered
#: before them.
MIN_CRASHES = 2.0
MIN_CRASHES_IF_ANSWERED = 3.0
#: The least share of these crashes that must be left if each counts divided
#: among the calls with the part that it ended.
MIN_CONTRAST_SHARE = 0.6
#: Crashes of a part that was answered before must be spread over this time, in
#: seconds: those of one moment have a cause of that moment.
MIN_SPREAD_S = 0.5
#: A part at so many crashes by as many calls is their cause, even if other
#: runners of the data centre crashed without it.
STRONG_CRASHES = 3.0
#: So many times as many, if it was answered before.
ANSWERED_FACTOR = 2.0
#: What a crash counts if its runner was fragile, or had announced its end.
WEAK_CRASH = 0.5

#: Tells whether crashes of other runners explain a crash that is held against
#: a feature, apart from the crashes that have causes.
IsWave = typing.Callable[
    [crashes.RunnerCrash, str, frozenset[crashes.RunnerCrash]], bool
]


class Evidence:
    """What speaks against one part.

    :param name: the name of the feature.
    :param held_crashes: the crashes at which it was in flight since its last
        answer.
    :param was_answered: whether it was answered before.
    """

    __slots__ = ("held_crashes", "name", "was_answered")

    def __init__(
        self,
        name: str,
        held_crashes: typing.Iterable[crashes.RunnerCrash],
        was_answered: bool,
    ) -> None:
        self.name = name
        self.held_crashes = tuple(held_crashes)
        self.was_answered = was_answered

    @property
    def needed(self) -> float:
        """How many crashes make it a cause."""
        return MIN_CRASHES_IF_ANSWERED if self.was_answered else MIN_CRASHES

    def without(
        self, others: typing.Container[crashes.RunnerCrash]
    ) -> "Evidence":
        """The evidence apart from other crashes."""
        held = (c for c in self.held_crashes if c not in others)
        return Evidence(self.name, held, self.was_answered)

    @property
    def weight(self) -> float:
        """The number of crashes; weak ones count less."""
        return sum(map(_weight, self.held_crashes))

    @property
    def is_sufficient(self) -> bool:
        """Whether it makes the part a cause.

        One call at all the crashes would be a simpler cause.
        """
        return (
            self.weight >= self.needed
            and self._contrast >= MIN_CONTRAST_SHARE * self.needed
            and (not self.was_answered or self._spread_s >= MIN_SPREAD_S)
            and not self._one_call_explains
        )

    @property
    def is_strong(self) -> bool:
        """Whether the crashes of other runners don't matter."""
        needed = STRONG_CRASHES
        if self.was_answered:
            needed *= ANSWERED_FACTOR
        return self.weight >= needed and len(self._calls) >= needed

    @property
    def rank(self) -> tuple[bool, float, int, str]:
        """Sorts the likeliest cause first, equally at all VMs."""
        # Of equal parts, the one of a single customer has a longer name.
        name = self.name
        return self.was_answered, -self._contrast, len(name), name

    @property
    def _contrast(self) -> float:
        """The number of crashes, each divided among the calls there."""
        return sum(
            _weight(crash) / len(crash.suspects_with(self.name))
            for crash in self.held_crashes
        )

    @property
    def _spread_s(self) -> float:
        """Seconds from the first to the last crash."""
        times = [crash.at for crash in self.held_crashes]
        return max(times) - min(times)

    @property
    def _calls(self) -> set[str]:
        """Fingerprints of the calls with the part."""
        return {
            suspect.fingerprint
            for crash in self.held_crashes
            for suspect in crash.suspects_with(self.name)
        }

    @property
    def _one_call_explains(self) -> bool:
        first, *others = self.held_crashes
        return any(
            all(suspect.fingerprint in crash.suspects for crash in others)
            for suspect in first.suspects_with(self.name)
        )


class CrashCause:
    """Features that together identify the calls that crash runners.

    :param key: the feature that explains the crashes; equal at all VMs.
    :param names: all features that a call must have to be blocked.
    :param explained: the crashes that it explains.
    :param was_answered: whether the feature was answered before.
    """

    __slots__ = ("explained", "key", "names", "was_answered")

    def __init__(
        self,
        key: str,
        names: frozenset[str],
        explained: tuple[crashes.RunnerCrash, ...],
        was_answered: bool,
    ) -> None:
        self.key = key
        self.names = names
        self.explained = explained
        self.was_answered = was_answered

    @property
    def last_crash_at(self) -> float:
        """When the last of its crashes was, in monotonic seconds."""
        return max(crash.at for crash in self.explained)

    @property
    def crashed_on_trial(self) -> bool:
        """Whether one of the crashes ended a trial of it."""
        return any(
            suspect.on_trial
            for crash in self.explained
            for suspect in crash.suspects_with(self.key)
        )


def find(
    evidence: typing.Iterable[Evidence],
    answered_since: typing.Callable[[str, float], bool],
    is_wave: IsWave,
) -> tuple[CrashCause, ...]:
    """Find the parts that explain crashes, the likeliest first.

    :param evidence: what speaks against each part.
    :param answered_since: tells whether a feature was answered later than a
        monotonic time.
    """
    causes: list[CrashCause] = []
    explained: frozenset[crashes.RunnerCrash] = frozenset()
    open_ = [each for each in evidence if each.is_sufficient]
    while open_:
        best = min(open_, key=lambda each: each.rank)
        open_.remove(best)
        if not best.is_strong:
            wave = {
                crash
                for crash in best.held_crashes
                if is_wave(crash, best.name, explained)
            }
            best = best.without(wave)
        if not best.is_sufficient:
            continue
        causes.append(_make_cause(best, answered_since))
        explained |= frozenset(best.held_crashes)
        remaining = (each.without(explained) for each in open_)
        open_ = [each for each in remaining if each.is_sufficient]
    return tuple(causes)


def _weight(crash: crashes.RunnerCrash) -> float:
    return WEAK_CRASH if crash.fragile or crash.noticed else 1.0


def _make_cause(
    evidence: Evidence, answered_since: typing.Callable[[str, float], bool]
) -> CrashCause:
    held = evidence.held_crashes
    first_at = min(crash.at for crash in held)
    common = frozenset.intersection(
        *(
            suspect.names
            for crash in held
            for suspect in crash.suspects_with(evidence.name)
        )
    )
    accompanying = (n for n in common if not answered_since(n, first_at))
    return CrashCause(
        evidence.name,
        frozenset((evidence.name, *accompanying)),
        held,
        evidence.was_answered,
    )
