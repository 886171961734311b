"""Checks what callers and runners saw while VMs were cut off.

All times are seconds on the machine's monotonic clock.
"""

import typing

from . import callers
from . import cuts
from . import statements

#: A VM must serve its callers, and a leaving caller's run end, only if it has
#: been as it is, cut off or not, for so long, in seconds.
CONTACT_S = 3.0
#: VMs that are cut off serve badly if they serve a smaller share of their
#: first tries than this part of the others' share ...
MIN_RELATIVE_SHARE = 2 / 3
#: ... and if more fail there than so many, and so many of all first tries.
FAILURES_ALLOWED = 10
FAILED_SHARE_ALLOWED = 1 / 50
#: Fewer first tries at the others tell nothing.
MIN_OTHER_TRIES = 10
#: How long after its caller left a call may still reach a runner or run, in
#: seconds.
LEFT_KEPT_AFTER_S = 0.5
#: How many calls may reach a runner later than that.
LATE_ARRIVALS_ALLOWED = 3
#: How many may still run, and which share of those that would.
LATE_RUNS_ALLOWED = 3
LATE_RUNS_SHARE_ALLOWED = 1 / 4
#: The faults that excuse all VMs, as one is gone or the store is.
EXCUSING_FAULTS = frozenset(
    ("vm_kill", "vm_stop", "vm_pause", "store_pause", "store_link")
)


class Observations:
    """What was seen in a soak test with cuts.

    :param calls: all calls of the callers.
    :param started_at: the time that the calls' times count from.
    :param periods: the cuts.
    :param faults: the names and times of the other faults.
    :param events: the events at the runners in the order of their times.
    :param disturbances: the times in which VMs and runners are excused.
    :param empty_lookups: when a VM's list of VMs was empty.
    """

    __slots__ = (
        "calls",
        "started_at",
        "periods",
        "faults",
        "events",
        "disturbances",
        "empty_lookups",
    )

    def __init__(
        self,
        calls: list[callers.Call],
        started_at: float,
        periods: list[cuts.CutPeriod],
        faults: list[statements.Disturbance],
        events: list[statements.Event],
        disturbances: list[statements.Disturbance],
        empty_lookups: list[float],
    ) -> None:
        self.calls = calls
        self.started_at = started_at
        self.periods = periods
        self.faults = faults
        self.events = events
        self.disturbances = disturbances
        self.empty_lookups = empty_lookups


def find_violations(seen: Observations) -> list[str]:
    """Describe each broken promise."""
    return [
        *_check_service(seen),
        *_check_left_calls(seen),
        *_check_lookups(seen),
    ]


def describe_poor_service(
    tries: typing.Iterable[tuple[bool, bool]],
) -> str | None:
    """Say whether VMs that are cut off serve their callers badly.

    :param tries: for each first try, in the order in which they were sent,
        whether its VM was cut off and whether it was served.
    :returns: the figures at the moment from which on they served badly; None
        if they never did.
    """
    sent, served = {True: 0, False: 0}, {True: 0, False: 0}
    for cut_off, well in tries:
        sent[cut_off] += 1
        served[cut_off] += well
        failed = sent[True] - served[True]
        allowed = FAILURES_ALLOWED + FAILED_SHARE_ALLOWED * sum(sent.values())
        if (
            failed > allowed
            and sent[False] >= MIN_OTHER_TRIES
            and served[True] * sent[False]
            < MIN_RELATIVE_SHARE * served[False] * sent[True]
        ):
            return (
                f"VMs without runners served {served[True]} of {sent[True]} "
                f"first tries, the others {served[False]} of {sent[False]}"
            )
    return None


def _check_service(seen: Observations) -> list[str]:
    """Check each cut that spares some VMs."""
    complaints = (
        describe_poor_service(_first_tries(seen, period))
        for period in seen.periods
    )
    return [text for text in complaints if text is not None]


def _first_tries(
    seen: Observations, period: cuts.CutPeriod
) -> typing.Iterator[tuple[bool, bool]]:
    """The tries that count in a cut; see :func:`describe_poor_service`."""
    for call in sorted(seen.calls, key=lambda call: call.sent_at):
        at = seen.started_at + call.sent_at
        if (
            not period.since + CONTACT_S <= at <= period.until
            or call.left_after_s is not None
            or _is_excused(seen, at - CONTACT_S, at + call.duration_s)
        ):
            continue
        if call.vm in period.vms:
            yield True, call.served
        elif not _is_cut_off(seen, call.vm, at - CONTACT_S, at):
            yield False, call.served


def _is_excused(seen: Observations, since: float, until: float) -> bool:
    disturbed = _disturbed_names(seen.faults, since, until)
    return bool(disturbed & EXCUSING_FAULTS)


def _is_cut_off(
    seen: Observations, vm: str, since: float, until: float
) -> bool:
    return any(
        vm in period.vms and period.since <= until and since <= period.until
        for period in seen.periods
    )


class _Run:
    """A call's run at a runner.

    :param ended_at: infinite if its end was not seen.
    """

    __slots__ = ("runner", "vm", "began_at", "ended_at")

    def __init__(self, runner: str, vm: str, began_at: float) -> None:
        self.runner = runner
        self.vm = vm
        self.began_at = began_at
        self.ended_at = float("inf")


def _find_runs(
    events: typing.Iterable[statements.Event],
) -> dict[str, list[_Run]]:
    """The runs of each call; a run ends with its runner's process."""
    runs: dict[str, list[_Run]] = {}
    for event in events:
        if event.kind is statements.Kind.BEGAN:
            run = _Run(event.runner, event.vm, event.at)
            runs.setdefault(event.value, []).append(run)
        elif event.kind is statements.Kind.ENDED:
            for run in runs.get(event.value, ()):
                if run.runner == event.runner:
                    run.ended_at = min(run.ended_at, event.at)
    return runs


def _check_left_calls(seen: Observations) -> list[str]:
    """Check that no call goes on whose caller has left."""
    runs_by_call = _find_runs(seen.events)
    arrived, at_work, checked = [], [], 0
    for call in seen.calls:
        if call.left_after_s is None:
            continue
        left_at = seen.started_at + call.sent_at + call.left_after_s
        late_from = left_at + LEFT_KEPT_AFTER_S
        for run in runs_by_call.get(call.call_id, ()):
            if _is_run_excused(seen, call.vm, run, late_from):
                continue
            checked += 1
            if run.began_at > late_from:
                arrived.append(call.call_id)
            elif run.ended_at > late_from:
                at_work.append(call.call_id)
    violations = []
    if len(arrived) > LATE_ARRIVALS_ALLOWED:
        violations.append(
            f"{len(arrived)} calls reached a runner after their callers had "
            f"left: {arrived[:5]}"
        )
    allowed = max(LATE_RUNS_ALLOWED, LATE_RUNS_SHARE_ALLOWED * checked)
    if len(at_work) > allowed:
        violations.append(
            f"{len(at_work)} of {checked} calls ran on after their callers "
            f"had left: {at_work[:5]}"
        )
    return violations


def _is_run_excused(
    seen: Observations, vm: str, run: _Run, late_from: float
) -> bool:
    """Whether a run may go on after its caller has left.

    A call that waits on a path that is cut arrives later, and its end can't be
    told to the runner. A runner whose process ended writes down no ends.

    :param vm: the VM that the caller called.
    """
    since = min(run.began_at, late_from) - CONTACT_S
    until = max(run.began_at, late_from)
    disturbed = _disturbed_names(seen.disturbances, since, until)
    return (
        run.ended_at == float("inf")
        or run.runner in disturbed
        or _is_excused(seen, since, until)
        or _is_cut_off(seen, run.vm, since, until)
    )


def _check_lookups(seen: Observations) -> list[str]:
    """Check that callers find VMs while VMs are cut off."""
    empty = [
        at
        for at in seen.empty_lookups
        if any(period.since <= at <= period.until for period in seen.periods)
        and not _is_excused(seen, at - CONTACT_S, at)
    ]
    if not empty:
        return []
    return [f"{len(empty)} lists of VMs were empty during cuts"]


def _disturbed_names(
    disturbances: typing.Iterable[statements.Disturbance],
    since: float,
    until: float,
) -> set[str]:
    """The names that are disturbed at some time of a span."""
    return {
        each.name
        for each in disturbances
        if each.since <= until and since <= each.until
    }
