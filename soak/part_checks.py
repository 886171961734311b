"""Checks what becomes of calls with a bad prompt part, and of sound ones.

A VM is in touch if it was neither restarted, suspended nor cut off for some
seconds.
"""

import typing

from . import bad_parts
from . import callers
from . import cut_checks
from . import cuts
from . import statements

#: Crashes of a part after which its calls must be kept away from runners.
CRASHES_ALLOWED = 5
#: Calls with the part that may reach runners later, by VMs in touch.
LATE_ALLOWED = 3
#: From this crash and so long after it on, in seconds.
CONTACT_S = cut_checks.CONTACT_S
#: Sound calls are compared from so long after it on, in seconds.
SETTLED_S = 2 * CONTACT_S
MIN_SOUND = 20
MIN_RELATIVE_SHARE = 0.5


class Observations:
    """What a soak test saw of calls with parts.

    :param times: when calls with which bad part were sent.
    :param events: the events of all runners in the order of their times.
    :param sound: the sound calls.
    :param started_at: the start of the soak test, on the machine's clock.
    :param cut_periods: when which VMs were cut off from all runners.
    :param disturbances: when VMs and runners were disturbed.
    """

    def __init__(
        self,
        times: typing.Sequence[bad_parts.BadTime],
        events: typing.Sequence[statements.Event],
        sound: typing.Sequence[callers.Call],
        started_at: float,
        cut_periods: typing.Sequence[cuts.CutPeriod],
        disturbances: typing.Sequence[statements.Disturbance],
    ) -> None:
        self.times = times
        self.events = events
        self.sound = sound
        self.started_at = started_at
        self.cut_periods = cut_periods
        self.disturbances = disturbances


def find_violations(seen: Observations) -> list[str]:
    """Describe each part that went on crashing runners, and lost calls."""
    return [
        complaint
        for bad in seen.times
        for complaint in (*_late(seen, bad), *_lost(seen, bad))
    ]


def crash_times(seen: Observations, bad: bad_parts.BadTime) -> list[float]:
    """When runners crashed under a part."""
    return [
        event.at
        for event in seen.events
        if event.kind is statements.Kind.CRASHED and event.value == bad.part
    ]


def _late(seen: Observations, bad: bad_parts.BadTime) -> list[str]:
    crashes = crash_times(seen, bad)
    if len(crashes) < CRASHES_ALLOWED:
        return []
    since = crashes[CRASHES_ALLOWED - 1] + CONTACT_S
    late = [
        event
        for event in seen.events
        if event.kind is statements.Kind.GOT_BAD_PART
        and event.value == bad.part
        and event.at > since
        and _is_in_touch(seen, event.vm, event.at, event.at)
    ]
    if len(late) <= LATE_ALLOWED:
        return []
    return [
        f"{len(late)} calls with {bad.part} reached runners late, "
        f"{len(crashes)} crashed"
    ]


def _lost(seen: Observations, bad: bad_parts.BadTime) -> list[str]:
    crashes = crash_times(seen, bad)
    if not crashes:
        return []
    since = crashes[:CRASHES_ALLOWED][-1] + SETTLED_S
    during, outside = [], []
    for call in seen.sound:
        at = seen.started_at + call.sent_at
        if call.prefix != bad.prefix or not _is_in_touch(
            seen, call.vm, at, at + call.duration_s
        ):
            continue
        if since <= at <= bad.until:
            during.append(call.has_gone_on)
        elif all(at < t.since or t.until + SETTLED_S < at for t in seen.times):
            outside.append(call.has_gone_on)
    if min(len(during), len(outside)) < MIN_SOUND:
        return []
    share = sum(during) / len(during)
    other_share = sum(outside) / len(outside)
    if share >= MIN_RELATIVE_SHARE * other_share:
        return []
    return [
        f"beside {bad.part}, {share:.2f} of {len(during)} sound calls began, "
        f"{other_share:.2f} of {len(outside)} else"
    ]


def _is_in_touch(
    seen: Observations, vm: str, since: float, until: float
) -> bool:
    since -= CONTACT_S
    is_cut = any(
        vm in period.vms and period.since <= until and since <= period.until
        for period in seen.cut_periods
    )
    return not is_cut and not statements.is_disturbed(
        vm, since, until, seen.disturbances
    )
