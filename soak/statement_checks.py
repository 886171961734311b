"""Checks that the VMs keep what the runners of a soak test said.

The clock and the count are those of the runner. A VM that was restarted,
suspended or cut off is excused until it has been told again.
"""

import collections
import itertools
import typing

from . import statements

#: A limit must be kept from this time after the runner first named it.
LIMIT_KEPT_AFTER_S = 3.0
#: The span in which calls are counted, and what is allowed in it: a multiple
#: of the limit, and some calls.
LIMIT_SPAN_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_CALLS = 5.0
#: A VM must keep what it was told from this time on.
TOLD_FOR_S = 0.5
#: Calls that wait at a disturbed runner or link arrive together up to this
#: time after its end.
BACKLOG_S = 1.0


def find_violations(
    events: list[statements.Event],
    disturbances: list[statements.Disturbance],
) -> list[str]:
    """Describe each broken promise.

    :param events: the events of all runners in the order of their times.
    :param disturbances: the times in which VMs and runners are excused.
    """
    by_runner = collections.defaultdict(list)
    for event in events:
        by_runner[event.runner].append(event)
    return list(
        itertools.chain.from_iterable(
            _check_limits(runner_events, disturbances)
            for runner_events in by_runner.values()
        )
    )


def _is_disturbed(
    name: str,
    since: float,
    until: float,
    disturbances: typing.Iterable[statements.Disturbance],
) -> bool:
    return any(
        each.name == name and each.since <= until and since <= each.until
        for each in disturbances
    )


def _check_limits(
    events: list[statements.Event],
    disturbances: list[statements.Disturbance],
) -> list[str]:
    """Check each period in which one runner named one limit."""
    changes = [
        index
        for index, event in enumerate(events)
        if event.kind in (statements.Kind.SAYS, statements.Kind.STARTED)
    ]
    violations = []
    for start, end in itertools.zip_longest(changes, changes[1:]):
        period = events[start:end]
        if period[0].value != "-":
            violations += _check_period(period, disturbances)
    return violations


def _check_period(
    period: list[statements.Event],
    disturbances: list[statements.Disturbance],
) -> list[str]:
    runner, limit = period[0].runner, float(period[0].value)
    told_at: dict[str, float] = {}
    named_at: float | None = None
    arrivals: list[float] = []
    for event in period:
        if event.kind is statements.Kind.TOLD_LIMIT:
            named_at = event.at if named_at is None else named_at
            told_at.setdefault(event.vm, event.at)
            if _is_disturbed(
                event.vm, told_at[event.vm], event.at, disturbances
            ):
                told_at[event.vm] = event.at
        elif event.kind is statements.Kind.ARRIVED:
            since = told_at.get(event.vm)
            if (
                since is not None
                and named_at is not None
                and event.at >= named_at + LIMIT_KEPT_AFTER_S
                and event.at - since >= TOLD_FOR_S
                and not _is_disturbed(event.vm, since, event.at, disturbances)
                and not _is_disturbed(
                    runner, event.at - BACKLOG_S, event.at, disturbances
                )
            ):
                arrivals.append(event.at)
    allowed = LIMIT_FACTOR * LIMIT_SPAN_S * limit + LIMIT_EXTRA_CALLS
    most = max(
        (
            sum(first <= at < first + LIMIT_SPAN_S for at in arrivals)
            for first in arrivals
        ),
        default=0,
    )
    if most <= allowed:
        return []
    return [
        f"{runner} takes {limit:g} calls a second and got {most} in "
        f"{LIMIT_SPAN_S:g} s, {allowed:g} allowed"
    ]
