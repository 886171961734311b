"""What has to hold after a soak, from what callers and runners saw."""

import collections
import itertools

from . import callers
from . import fleet
from . import runner

#: Statuses that promise that a call has not run and never will.
PROMISES = (408, 421, 429, 503)
#: Calls of the calm time at the end that have to be served.
LEAST_SERVED_PART = 0.9
REPEATABLE = ("/safe/", "/stream-on/")


def broken(
    calls: list[callers.Call], ran: callers.Ran, calm_from: float
) -> list[str]:
    """All promises that were not kept, in words.

    :param ran: call id, customer and path of each run.
    :param calm_from: from when on nothing was disturbed any more.
    """
    runs = collections.Counter(each[0] for each in ran)
    return [
        *_runs(calls, ran, runs),
        *itertools.chain.from_iterable(map(_answer, calls)),
        *_refusals(calls, runs),
        *_calm(calls, calm_from),
    ]


def _runs(
    calls: list[callers.Call], ran: callers.Ran, runs: dict[str, int]
) -> list[str]:
    """Each run was asked for, by its caller and as often as allowed."""
    sent = {call.call_id: call for call in calls}
    found = []
    for call_id, customer, path in ran:
        if call_id not in sent or path != sent[call_id].prefix + "x":
            found.append(f"{call_id} {path} ran and nobody had sent it")
        elif customer != fleet.CUSTOMER:
            found.append(f"{call_id} ran for {customer!r}")
    for call in calls:
        often = runs.get(call.call_id, 0)
        if often > 1 and call.prefix not in REPEATABLE:
            found.append(f"{call.call_id} {call.prefix} ran {often} times")
    return found


def _answer(call: callers.Call) -> list[str]:
    """An answer is the runner's own, whole or visibly cut."""
    found = []
    if call.unasked:
        found.append(f"{call.call_id}: bytes after the answer")
    if call.status in (401, 403, 404):
        found.append(f"{call.call_id}: refused with {call.status}")
    if call.status != 200:
        return found
    if call.prefix.startswith("/stream"):
        return [*found, *_events(call)]
    if call.complete and call.body.decode() != runner.text_of(call.call_id):
        found.append(f"{call.call_id}: another answer, {call.body[:60]!r}")
    return found


def _events(call: callers.Call) -> list[str]:
    events = callers.events_in(call.body)
    numbers = [number for number, _ in events]
    found = []
    if any(call_id != call.call_id for _, call_id in events):
        found.append(f"{call.call_id}: events of another call")
    if numbers != list(range(1, len(numbers) + 1)):
        found.append(f"{call.call_id}: events {numbers}")
    if call.complete and len(numbers) != runner.events_of(call.call_id):
        found.append(f"{call.call_id}: looks whole after {len(numbers)}")
    return found


def _refusals(calls: list[callers.Call], runs: dict[str, int]) -> list[str]:
    """What was promised not to have run has not."""
    return [
        f"{call.call_id} {call.prefix}: {call.status}, and it ran"
        for call in calls
        if call.status in PROMISES
        and call.prefix not in REPEATABLE
        and runs.get(call.call_id)
    ]


def _calm(calls: list[callers.Call], calm_from: float) -> list[str]:
    """When nothing is disturbed any more, calls are served again."""
    late = [call for call in calls if call.sent_at >= calm_from]
    served = sum(call.served for call in late)
    if not late:
        return ["no call was made in the calm time"]
    if served < LEAST_SERVED_PART * len(late):
        failed = [(c.call_id, c.status) for c in late if not c.served]
        return [f"served {served} of {len(late)} in the calm: {failed[:5]}"]
    return []
