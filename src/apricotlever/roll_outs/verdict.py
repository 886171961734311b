"""Decides whether a new version is worse than the old one.

Both are compared over the same period, since a burst, an outage or a slow
store affects both. A fault of a single runner is ignored, as it is not
evidence against its version.
"""

import math
import typing

from . import samples

#: Tolerated difference of failure rates.
FAILURE_MARGIN = 0.03
#: Tolerated ratio of response times.
SLOW_FACTOR = 1.6
#: Minimum number of times of each version for a comparison.
LEAST_TIMES = 8
#: Lower bound of the variance of the logarithms of times: a small sample may
#: underestimate it.
LEAST_VARIANCE = 0.04
#: Part of the thresholds that the other runners must reach without the worst
#: one, so that a single faulty runner does not fail its version.
LEAVE_ONE_OUT_PART = 0.3


class Thresholds:
    """Evidence required to consider a version bad.

    :param failures: log-likelihood ratio of different failure rates against a
        common one.
    :param times: excess of response times, in standard errors.
    """

    __slots__ = ("failures", "times")

    def __init__(self, failures: float, times: float) -> None:
        self.failures = failures
        self.times = times


#: For repeated checks; higher, as each check may raise a false alarm.
REPEATED_CHECK = Thresholds(8.0, 4.5)
#: For the single check before the takeover.
FINAL_CHECK = Thresholds(4.5, 3.2)


class Finding:
    """Why a version is considered bad.

    :param reason: ``failures``, ``first_answers`` or ``whole_answers``.
    :param route: the affected route; "" for all routes together.
    :param new: failure rate, or response time relative to the old version.
    :param old: failure rate, or 1 for response times.
    :param calls: number of calls of the new version that were evaluated.
    """

    __slots__ = ("reason", "route", "new", "old", "calls")

    def __init__(
        self, reason: str, route: str, new: float, old: float, calls: int
    ) -> None:
        self.reason = reason
        self.route = route
        self.new = new
        self.old = old
        self.calls = calls


def judge(
    old: typing.Mapping[str, samples.Sample],
    new: typing.Mapping[tuple[str, str], samples.Sample],
    thresholds: Thresholds = REPEATED_CHECK,
) -> Finding | None:
    """Compare the new version with the old one.

    :param old: samples of the old version by route.
    :param new: samples of the new version by runner and route.
    :returns: the first finding; None if there is none.
    """
    routes = sorted({route for _, route in new})
    runners = sorted({runner for runner, _ in new})
    by_route = {
        route: [
            new.get((runner, route)) or samples.Sample() for runner in runners
        ]
        for route in routes
    }
    all_routes = [
        samples.sum_samples(by_route[route][number] for route in routes)
        for number in range(len(runners))
    ]
    found = _compare("", _mix_adjusted(by_route, old), all_routes, thresholds)
    return found or next(
        filter(
            None,
            (
                _compare(
                    route,
                    old.get(route) or samples.Sample(),
                    by_route[route],
                    thresholds,
                )
                for route in routes
            ),
        ),
        None,
    )


def _mix_adjusted(
    by_route: typing.Mapping[str, list[samples.Sample]],
    old: typing.Mapping[str, samples.Sample],
) -> samples.Sample:
    """The old version's failures, reweighted to the new one's route mix.

    Routes have different failure rates and canary shares; without the
    adjustment the route mix alone could make the new version look worse.
    """
    ended = {
        route: samples.sum_samples(parts).ended
        for route, parts in by_route.items()
    }
    expected = sum(
        count * old[route].failed / old[route].ended
        for route, count in ended.items()
        if route in old and old[route].ended
    )
    found = samples.sum_samples(old.values())
    mean = expected / max(1, sum(ended.values()))
    return samples.Sample(found.calls, found.ended, round(mean * found.ended))


def _compare(
    route: str,
    old: samples.Sample,
    by_runner: list[samples.Sample],
    thresholds: Thresholds,
) -> Finding | None:
    whole = samples.sum_samples(by_runner)
    reduced = Thresholds(
        LEAVE_ONE_OUT_PART * thresholds.failures,
        LEAVE_ONE_OUT_PART * thresholds.times,
    )
    parts = [(whole, thresholds)]
    parts += [(part, reduced) for part in _leave_one_out(by_runner)]
    if all(_fails_more(old, part, least.failures) for part, least in parts):
        new_rate = whole.failed / whole.ended
        old_rate = old.failed / old.ended if old.ended else 0.0
        return Finding("failures", route, new_rate, old_rate, whole.ended)
    if not route:
        # Response times of different routes are not comparable.
        return None
    return _slow_finding(
        "first_answers",
        route,
        old.first_byte,
        [(part.first_byte, least) for part, least in parts],
    ) or _slow_finding(
        "whole_answers",
        route,
        old.last_byte,
        [(part.last_byte, least) for part, least in parts],
    )


def _slow_finding(
    reason: str,
    route: str,
    old: samples.TimeSums,
    parts: list[tuple[samples.TimeSums, Thresholds]],
) -> Finding | None:
    if not all(_is_slower(old, part, least.times) for part, least in parts):
        return None
    whole = parts[0][0]
    factor = math.exp(whole.mean - old.mean)
    return Finding(reason, route, factor, 1.0, whole.count)


def _leave_one_out(by_runner: list[samples.Sample]) -> list[samples.Sample]:
    """Sums that leave out the runner with the most failures or time."""
    used = [sample for sample in by_runner if sample.ended]
    if len(used) < 2:
        return []
    measures: tuple[typing.Callable[[samples.Sample], float], ...] = (
        lambda sample: sample.failed,
        lambda sample: sample.first_byte.total,
        lambda sample: sample.last_byte.total,
    )
    return [
        samples.sum_samples(
            sample for sample in used if sample is not max(used, key=measure)
        )
        for measure in measures
    ]


def _fails_more(
    old: samples.Sample, new: samples.Sample, least: float
) -> bool:
    if not new.failed:
        return False
    # Additive smoothing: the old version may have few calls.
    old_ended, old_failed = old.ended + 1, old.failed + 1
    new_rate, old_rate = new.failed / new.ended, old_failed / old_ended
    if new_rate < old_rate + FAILURE_MARGIN:
        return False
    common = (new.failed + old_failed) / (new.ended + old_ended)
    evidence = new.ended * _divergence(new_rate, common)
    evidence += old_ended * _divergence(old_rate, common)
    return evidence >= least


def _divergence(rate: float, other: float) -> float:
    """Kullback-Leibler divergence of two failure rates."""
    return sum(
        one * math.log(one / two)
        for one, two in ((rate, other), (1.0 - rate, 1.0 - other))
        if one > 0.0
    )


def _is_slower(
    old: samples.TimeSums, new: samples.TimeSums, errors: float
) -> bool:
    if min(old.count, new.count) < LEAST_TIMES:
        return False
    variance = max(LEAST_VARIANCE, new.variance) / new.count
    variance += max(LEAST_VARIANCE, old.variance) / old.count
    excess = new.mean - old.mean - math.log(SLOW_FACTOR)
    return excess >= errors * math.sqrt(variance)
