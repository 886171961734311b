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
#: A rest must be kept from this time after it was asked for, but for some
#: calls.
REST_KEPT_AFTER_S = 0.5
REST_CALLS = 2
#: A VM sends no call later than this after a runner told it that it leaves.
LEAVING_KEPT_AFTER_S = 2.0
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
            check(runner_events, disturbances)
            for runner_events in by_runner.values()
            for check in (_check_limits, _check_rests, _check_leavings)
        )
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
            if statements.is_disturbed(
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
                and not statements.is_disturbed(
                    event.vm, since, event.at, disturbances
                )
                and not statements.is_disturbed(
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


def _check_rests(
    events: list[statements.Event],
    disturbances: list[statements.Disturbance],
) -> list[str]:
    """Check that each VM kept away for the rests that it was asked for."""
    violations = []
    for index, asked in enumerate(events):
        if asked.kind is not statements.Kind.ASKED_REST:
            continue
        until = asked.at + float(asked.value)
        calls = [
            event.at
            for event in _same_process(events[index:])
            if event.kind is statements.Kind.ARRIVED
            and event.vm == asked.vm
            and asked.at + REST_KEPT_AFTER_S < event.at < until
        ]
        if len(calls) > REST_CALLS and not any(
            statements.is_disturbed(
                name, asked.at - BACKLOG_S, until, disturbances
            )
            for name in (asked.vm, asked.runner)
        ):
            violations.append(
                f"{asked.runner} asked {asked.vm} for {asked.value} s of rest "
                f"and got {len(calls)} calls, {REST_CALLS} allowed"
            )
    return violations


def _check_leavings(
    events: list[statements.Event],
    disturbances: list[statements.Disturbance],
) -> list[str]:
    """Check that no VM sent calls long after it was told of a leaving."""
    violations = []
    told_at: dict[str, float] = {}
    for event in events:
        if event.kind is statements.Kind.STARTED:
            told_at.clear()
        elif event.kind is statements.Kind.TOLD_LEAVING:
            told_at.setdefault(event.vm, event.at)
        elif event.kind is statements.Kind.ARRIVED and event.vm in told_at:
            since = told_at[event.vm]
            if event.at - since > LEAVING_KEPT_AFTER_S and not any(
                statements.is_disturbed(name, since, event.at, disturbances)
                for name in (event.vm, event.runner)
            ):
                violations.append(
                    f"{event.runner} told {event.vm} that it leaves and got a "
                    f"call {event.at - since:.1f} s later"
                )
    return violations


def _same_process(
    events: typing.Iterable[statements.Event],
) -> typing.Iterator[statements.Event]:
    """The events until the runner starts again."""
    return itertools.takewhile(
        lambda event: event.kind is not statements.Kind.STARTED, events
    )
