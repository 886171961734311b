"""Finds runners whose speed has changed, to be logged."""

import typing

from . import performance as performances
from . import performance_samples

#: Relative change of a slowness that is reported.
REPORTED_CHANGE = 1.25
#: Decayed number of samples from which a first change is reported; fewer may
#: show a change by chance.
REPORTED_SAMPLES = 6.0


class SlownessChange(typing.NamedTuple):
    """A runner's slowness that differs from the one reported before."""

    runner: str
    phase: str
    slowness: float
    before: float
    samples: float


class SlownessChanges:
    """Remembers which slownesses were reported.

    :param performance: what is known of the runners.
    """

    __slots__ = ("_performance", "_reported")

    def __init__(self, performance: performances.RunnerPerformance) -> None:
        self._performance = performance
        self._reported: dict[tuple[str, performance_samples.Phase], float] = {}

    def take(self) -> list[SlownessChange]:
        """Slownesses that have changed by a quarter since they were reported.

        :returns: the changes, which count as reported from now on.
        """
        known = self._performance
        runners = frozenset(known.runners)
        self._reported = {
            key: value
            for key, value in self._reported.items()
            if key[0] in runners
        }
        found = []
        for runner in runners:
            for phase in performance_samples.PHASES:
                key = runner, phase
                before = self._reported.get(key, 1.0)
                slowness = known.slowness(runner, phase)
                ratio = max(slowness / before, before / slowness)
                if ratio < REPORTED_CHANGE:
                    continue
                samples = known.confidence(runner, phase)
                if samples >= REPORTED_SAMPLES or key in self._reported:
                    self._reported[key] = slowness
                    found.append(
                        SlownessChange(
                            runner, phase.value, slowness, before, samples
                        )
                    )
        return found
