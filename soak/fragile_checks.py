"""Checks how the VMs treat the fragile runners of a soak test.

The clock and the count are those of the runner. A VM is in touch with a runner
from half a second after it was told that the runner is fragile, unless it was
restarted, suspended or cut off since; then it has to be told again.
"""

import collections
import datetime
import pathlib
import re
import time
import typing

from . import fragile_times
from . import fragility
from . import statement_checks
from . import statements

#: How often a service's runners may fall in one fragile time: so many times,
#: and this share of their number.
FALLS_ALLOWED = 2
FALLS_SHARE_ALLOWED = 1 / 10
#: Connections that broke so long before may make a VM count a crash of a
#: runner, in seconds.
BROKEN_CALLS_S = 6.0
_CRASH_PATTERN = re.compile(
    r"time=(\S+) .*event=runner_crashed vm=(\S+) runner=([^@\s]+)"
)


class CountedCrash:
    """A crash of a runner that a VM blames on calls.

    :param at: when it was logged, on the machine's monotonic clock.
    """

    __slots__ = ("at", "vm", "runner")

    def __init__(self, at: float, vm: str, runner: str) -> None:
        self.at = at
        self.vm = vm
        self.runner = runner


class _Fall:
    """A fall of a runner.

    :param in_touch: the VMs that were in touch with the runner.
    :param rejected: for each call that the runner rejected in the second
        before, whether its VM was in touch then.
    """

    __slots__ = ("at", "runner", "got_up_at", "in_touch", "rejected")

    def __init__(
        self, at: float, runner: str, in_touch: set[str], rejected: list[bool]
    ) -> None:
        self.at = at
        self.runner = runner
        #: None if it never did, or its process was restarted.
        self.got_up_at: float | None = None
        self.in_touch = in_touch
        self.rejected = rejected


def read_crashes(logs: typing.Iterable[pathlib.Path]) -> list[CountedCrash]:
    """Read from the VMs' logs which crashes of runners they counted."""
    offset = time.monotonic() - time.time()
    lines = (
        line
        for log in logs
        for line in log.read_text(errors="replace").splitlines()
    )
    return [
        CountedCrash(
            datetime.datetime.fromisoformat(found[1]).timestamp() + offset,
            found[2],
            found[3],
        )
        for found in map(_CRASH_PATTERN.search, lines)
        if found is not None
    ]


def find_violations(
    events: list[statements.Event],
    disturbances: list[statements.Disturbance],
    times: list[fragile_times.FragileTime],
    crashes: list[CountedCrash],
) -> list[str]:
    """Describe each broken promise.

    :param events: the events of all runners in the order of their times.
    :param disturbances: the times in which VMs and runners are excused.
    :param times: when runners were fragile.
    :param crashes: the crashes of runners that VMs counted.
    """
    by_runner = collections.defaultdict(list)
    for event in events:
        by_runner[event.runner].append(event)
    violations = []
    for each in times:
        falls = [
            fall
            for runner in sorted(each.runners)
            for fall in _falls(by_runner[runner], each.since, disturbances)
            if fall.at <= each.until
        ]
        violations += _check_count(each, falls, disturbances)
        violations += _check_crashes(falls, crashes, disturbances)
    return violations


def _falls(
    events: typing.Iterable[statements.Event],
    since: float,
    disturbances: list[statements.Disturbance],
) -> list[_Fall]:
    """The falls of one runner from a time on."""
    told_at: dict[str, float] = {}
    rejections: list[tuple[float, bool]] = []
    falls: list[_Fall] = []

    def in_touch(vm: str, at: float) -> bool:
        told = told_at.get(vm)
        return (
            told is not None
            and at - told >= statement_checks.TOLD_FOR_S
            and not statements.is_disturbed(vm, told, at, disturbances)
        )

    for event in events:
        if event.at < since:
            continue
        if event.kind is statements.Kind.STARTED:
            told_at.clear()
        elif event.kind is statements.Kind.TOLD_FRAGILE:
            told = told_at.setdefault(event.vm, event.at)
            if statements.is_disturbed(event.vm, told, event.at, disturbances):
                told_at[event.vm] = event.at
        elif event.kind is statements.Kind.REJECTED:
            rejections.append((event.at, in_touch(event.vm, event.at)))
        elif event.kind is statements.Kind.FELL:
            began = event.at - fragility.REJECTIONS_SPAN_S
            falls.append(
                _Fall(
                    event.at,
                    event.runner,
                    {vm for vm in told_at if in_touch(vm, event.at)},
                    [known for at, known in rejections if at > began],
                )
            )
            rejections.clear()
        elif event.kind is statements.Kind.GOT_UP and falls:
            falls[-1].got_up_at = event.at
    return falls


def _check_count(
    fragile: fragile_times.FragileTime,
    falls: list[_Fall],
    disturbances: list[statements.Disturbance],
) -> list[str]:
    """Check how often a service's runners fell in one fragile time.

    A fall counts if most of the rejections before it were of VMs in touch, and
    the runner was not disturbed shortly before, as calls arrive together then.
    """
    counted = [
        fall
        for fall in falls
        if 2 * sum(fall.rejected) > len(fall.rejected)
        and not statements.is_disturbed(
            fall.runner,
            fall.at - statement_checks.BACKLOG_S,
            fall.at,
            disturbances,
        )
    ]
    allowed = FALLS_ALLOWED + FALLS_SHARE_ALLOWED * fragile.runner_count
    if len(counted) <= allowed:
        return []
    names = " ".join(fall.runner for fall in counted)
    return [
        f"{len(counted)} falls of fragile runners of {fragile.service} by "
        f"calls of VMs in touch, {allowed:g} allowed: {names}"
    ]


def _check_crashes(
    falls: list[_Fall],
    crashes: list[CountedCrash],
    disturbances: list[statements.Disturbance],
) -> list[str]:
    """Check that no VM in touch blames a fall on the calls it broke.

    Falls after which the process didn't go on tell nothing.
    """
    blamed = [
        f"{crash.vm} {crash.runner}"
        for fall in falls
        for crash in crashes
        if fall.got_up_at is not None
        and crash.runner == fall.runner
        and fall.at <= crash.at <= fall.got_up_at
        and crash.vm in fall.in_touch
        and not any(
            statements.is_disturbed(
                name, fall.at - BROKEN_CALLS_S, crash.at, disturbances
            )
            for name in (crash.vm, crash.runner)
        )
    ]
    if not blamed:
        return []
    return [f"VMs took falls for crashes by calls: {', '.join(blamed)}"]
