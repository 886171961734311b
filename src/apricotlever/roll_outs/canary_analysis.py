"""Decides whether the new version of a service is worse than the old one.

The inputs are counts of calls and failures, and response times, by runner and
route of each version. The result is a finding if there is enough evidence.

Both versions are compared over the same period, since a burst, an outage or a
slow store affects both. A fault of a single runner is ignored: it is not
evidence against the runner's version.
"""

import math
import typing

from . import samples

#: Tolerated excess of the new version's failure rate.
FAILURE_MARGIN = 0.03
#: Tolerated ratio of the new version's response times to the old one's.
SLOW_FACTOR = 1.6
#: Minimum number of response times of each version for a comparison.
MIN_TIMES = 8
#: Lower bound of the variance of the logarithms of times: a small sample may
#: underestimate it.
MIN_VARIANCE = 0.04
#: Fraction of the thresholds that the runners without the worst one must
#: reach, so that a single faulty runner does not fail its version.
LEAVE_ONE_OUT_FRACTION = 0.3


class Thresholds:
    """Evidence required to consider the new version of a service bad.

    :param failures: log-likelihood ratio of different failure rates to a
        common failure rate.
    :param times: excess of the mean logarithm of response times, in standard
        errors.
    """

    __slots__ = ("failures", "times")

    def __init__(self, failures: float, times: float) -> None:
        self.failures = failures
        self.times = times


#: Thresholds of repeated checks. They are higher than those of a single check,
#: as each check may raise a false alarm.
REPEATED_CHECK = Thresholds(8.0, 4.5)
#: Thresholds of the single check before the takeover.
FINAL_CHECK = Thresholds(4.5, 3.2)


class Finding:
    """The evidence for which the new version of a service is considered bad.

    :param reason: what is worse: ``failures`` for the failure rate, or
        ``first_answers`` or ``whole_answers`` for the time to the first or
        the last byte of the answers.
    :param route: the affected route; "" for all routes together.
    :param new: failure rate of the new version, or its response time relative
        to the old version's.
    :param old: failure rate of the old version, or 1 for response times.
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


def compare_versions(
    old: typing.Mapping[str, samples.Sample],
    new: typing.Mapping[tuple[str, str], samples.Sample],
    thresholds: Thresholds = REPEATED_CHECK,
) -> Finding | None:
    """Compare the calls of a service's new version with those of the old one.

    Failures are compared over all routes together and for each route,
    response times for each route only.

    :param old: samples of the old version by route.
    :param new: samples of the new version by runner and route.
    :param thresholds: the evidence required for a finding.
    :returns: the first finding; None if there is not enough evidence.
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
    finding = _compare(
        "", _adjust_route_mix(by_route, old), all_routes, thresholds
    )
    return finding or next(
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


def _adjust_route_mix(
    by_route: typing.Mapping[str, list[samples.Sample]],
    old: typing.Mapping[str, samples.Sample],
) -> samples.Sample:
    """The old version's calls, with the failures of the new route mix.

    The failures are those that the old version would have had, had its calls
    been spread over the routes like those of the new version.

    Routes have different failure rates and canary shares; without the
    adjustment the route mix alone could make the new version look worse.
    """
    ended = {
        route: samples.sum_samples(parts).ended
        for route, parts in by_route.items()
    }
    expected_failures = sum(
        count * old[route].failed / old[route].ended
        for route, count in ended.items()
        if route in old and old[route].ended
    )
    totals = samples.sum_samples(old.values())
    mean_rate = expected_failures / max(1, sum(ended.values()))
    return samples.Sample(
        totals.calls, totals.ended, round(mean_rate * totals.ended)
    )


def _compare(
    route: str,
    old: samples.Sample,
    by_runner: list[samples.Sample],
    thresholds: Thresholds,
) -> Finding | None:
    total = samples.sum_samples(by_runner)
    reduced_thresholds = Thresholds(
        LEAVE_ONE_OUT_FRACTION * thresholds.failures,
        LEAVE_ONE_OUT_FRACTION * thresholds.times,
    )
    parts = [(total, thresholds)]
    parts += [
        (sample, reduced_thresholds) for sample in _leave_one_out(by_runner)
    ]
    if all(
        _fails_more(old, sample, limit.failures) for sample, limit in parts
    ):
        new_rate = total.failed / total.ended
        old_rate = old.failed / old.ended if old.ended else 0.0
        return Finding("failures", route, new_rate, old_rate, total.ended)
    if not route:
        # Response times of different routes are not comparable.
        return None
    return _slow_finding(
        "first_answers",
        route,
        old.first_byte,
        [(sample.first_byte, limit) for sample, limit in parts],
    ) or _slow_finding(
        "whole_answers",
        route,
        old.last_byte,
        [(sample.last_byte, limit) for sample, limit in parts],
    )


def _slow_finding(
    reason: str,
    route: str,
    old: samples.TimeSums,
    parts: list[tuple[samples.TimeSums, Thresholds]],
) -> Finding | None:
    if not all(
        _is_slower(old, sample, limit.times) for sample, limit in parts
    ):
        return None
    total = parts[0][0]
    factor = math.exp(total.mean - old.mean)
    return Finding(reason, route, factor, 1.0, total.count)


def _leave_one_out(by_runner: list[samples.Sample]) -> list[samples.Sample]:
    """Add up the samples of all runners but the worst, for each measure.

    The measures are failures and the times to the first and the last byte. A
    version is bad only if it is so without its worst runner too.

    :returns: one sum for each measure; none if fewer than two runners ended
        calls.
    """
    active = [sample for sample in by_runner if sample.ended]
    if len(active) < 2:
        return []
    measures: tuple[typing.Callable[[samples.Sample], float], ...] = (
        lambda sample: sample.failed,
        lambda sample: sample.first_byte.total,
        lambda sample: sample.last_byte.total,
    )
    return [
        samples.sum_samples(
            sample
            for sample in active
            if sample is not max(active, key=measure)
        )
        for measure in measures
    ]


def _fails_more(
    old: samples.Sample, new: samples.Sample, min_evidence: float
) -> bool:
    if not new.failed:
        return False
    # Additive smoothing, since the old version may have few calls.
    old_ended, old_failed = old.ended + 1, old.failed + 1
    new_rate, old_rate = new.failed / new.ended, old_failed / old_ended
    if new_rate < old_rate + FAILURE_MARGIN:
        return False
    common = (new.failed + old_failed) / (new.ended + old_ended)
    evidence = new.ended * _divergence(new_rate, common)
    evidence += old_ended * _divergence(old_rate, common)
    return evidence >= min_evidence


def _divergence(rate: float, other: float) -> float:
    """Kullback-Leibler divergence of two failure rates."""
    return sum(
        p * math.log(p / q)
        for p, q in ((rate, other), (1.0 - rate, 1.0 - other))
        if p > 0.0
    )


def _is_slower(
    old: samples.TimeSums, new: samples.TimeSums, min_errors: float
) -> bool:
    if min(old.count, new.count) < MIN_TIMES:
        return False
    variance = max(MIN_VARIANCE, new.variance) / new.count
    variance += max(MIN_VARIANCE, old.variance) / old.count
    log_excess = new.mean - old.mean - math.log(SLOW_FACTOR)
    return log_excess >= min_errors * math.sqrt(variance)
