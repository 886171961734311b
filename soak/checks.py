"""Checks the records of callers and runners after a soak test."""

import collections
import itertools
import pathlib
import typing

from . import callers
from . import fleet
from . import runner

#: Statuses that guarantee that a call has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Share of the calls in the final quiet period that have to be served.
MIN_SERVED_SHARE = 0.9
#: Path prefixes of the routes whose calls may run more than once.
REPEATABLE_PREFIXES = ("/safe/", "/stream-on/")


def find_violations(
    calls: list[callers.Call],
    executions: callers.Executions,
    quiet_since_s: float,
    resumptions: typing.Sequence[callers.Call] = (),
) -> list[str]:
    """Describe each violated guarantee.

    :param resumptions: calls that resume streams of other calls.
    :param executions: call id, customer and path of each execution.
    :param quiet_since_s: start of the final quiet period, in seconds since
        the start of the soak test.
    """
    execution_counts = collections.Counter(each[0] for each in executions)
    return [
        *_check_executions(
            [*calls, *resumptions], executions, execution_counts
        ),
        *itertools.chain.from_iterable(
            map(_check_answer, [*calls, *resumptions])
        ),
        *_check_refusals(calls, execution_counts),
        *check_recovery(calls, quiet_since_s),
    ]


def find_failed_tasks(logs: typing.Iterable[pathlib.Path]) -> list[str]:
    """Describe the first failed task in each VM's log.

    :param logs: the logs of the VMs.
    """
    violations = []
    for log in logs:
        lines = log.read_text(errors="replace").splitlines()
        failed = [line for line in lines if "event=task_failed" in line]
        if failed:
            violations.append(f"{log.name}: {len(failed)} times {failed[0]}")
    return violations


def _check_executions(
    calls: list[callers.Call],
    executions: callers.Executions,
    execution_counts: dict[str, int],
) -> list[str]:
    """Check that each execution was requested and none wrongly repeated."""
    sent = {call.call_id: call for call in calls}
    violations = []
    for call_id, customer, path in executions:
        if call_id not in sent or path != sent[call_id].prefix + "x":
            violations.append(f"{call_id} {path} ran but was never sent")
        elif customer != fleet.CUSTOMER:
            violations.append(f"{call_id} ran for customer {customer!r}")
    for call in calls:
        executed = execution_counts.get(call.call_id, 0)
        if executed > 1 and call.prefix not in REPEATABLE_PREFIXES:
            violations.append(
                f"{call.call_id} {call.prefix} ran {executed} times"
            )
    return violations


def _check_answer(call: callers.Call) -> list[str]:
    """Check that an answer is unaltered or recognizably incomplete."""
    violations = []
    if call.trailing_bytes:
        violations.append(f"{call.call_id}: bytes after the answer")
    if call.status in (401, 403, 404):
        violations.append(f"{call.call_id}: refused with {call.status}")
    if call.status != 200:
        return violations
    if call.prefix.startswith("/stream"):
        return [*violations, *_check_events(call)]
    if call.complete and call.body.decode() != runner.answer_text(
        call.call_id
    ):
        violations.append(
            f"{call.call_id}: wrong answer body, {call.body[:60]!r}"
        )
    return violations


def _check_events(call: callers.Call) -> list[str]:
    events = callers.parse_events(call.body)
    numbers = [number for number, _ in events]
    violations = []
    if any(call_id != call.call_id for _, call_id in events):
        violations.append(f"{call.call_id}: events of another call")
    expected = range(call.after + 1, call.after + len(numbers) + 1)
    if numbers != list(expected):
        violations.append(
            f"{call.call_id}: unexpected event numbers {numbers}"
        )
    last = call.after + len(numbers)
    if call.complete and last != runner.event_count(call.call_id):
        violations.append(
            f"{call.call_id}: complete answer with {len(numbers)} events"
        )
    return violations


def _check_refusals(
    calls: list[callers.Call], execution_counts: dict[str, int]
) -> list[str]:
    """Check that no call refused as not run has run."""
    return [
        f"{call.call_id} {call.prefix}: {call.status}, but it ran"
        for call in calls
        if call.status in NOT_RUN_STATUSES
        and call.prefix not in REPEATABLE_PREFIXES
        and execution_counts.get(call.call_id)
    ]


def check_recovery(
    calls: list[callers.Call],
    quiet_since_s: float,
    quiet_until_s: float = float("inf"),
) -> list[str]:
    """Check that calls are served in a quiet period.

    The times are seconds since the start of the soak test.
    """
    quiet_calls = [
        call
        for call in calls
        if quiet_since_s <= call.sent_at < quiet_until_s
        and call.left_after_s is None
    ]
    served = sum(call.served for call in quiet_calls)
    if not quiet_calls:
        return ["no call was sent in the quiet period"]
    if served < MIN_SERVED_SHARE * len(quiet_calls):
        failed = [(c.call_id, c.status) for c in quiet_calls if not c.served]
        return [
            f"served {served} of {len(quiet_calls)} in the quiet period: "
            f"{failed[:5]}"
        ]
    return []
