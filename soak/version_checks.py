"""Checks that streams go on at the version that began them, and that they do.

A stream is a call of a caller together with the calls by which the caller took
it up again.
"""

import typing

from . import callers
from . import cut_checks
from . import cuts
from . import fleet
from . import statements

#: Runners of a stream's version that have to serve before it must go on.
MIN_RUNNERS = 2
#: Resumed streams from which on their share is compared.
MIN_RESUMED = 12
#: The share of resumed streams that go on has to be at least this part of the
#: share of new streams that begin.
MIN_RELATIVE_SHARE = 0.5
#: How long before a call, in seconds, and after it, the runners must serve.
SETTLED_S = 1.0
RESUMABLE_PREFIX = "/stream-on/"


class Observations:
    """What a soak test saw of streams.

    :param calls: the first tries.
    :param resumptions: the later ones.
    :param started_at: the start of the soak test, on the machine's clock.
    :param spans: when which runners served.
    :param cut_periods: when which VMs were cut off from all runners.
    :param disturbances: when VMs and runners were disturbed.
    """

    def __init__(
        self,
        calls: typing.Sequence[callers.Call],
        resumptions: typing.Sequence[callers.Call],
        started_at: float,
        spans: typing.Sequence[fleet.RunnerSpan],
        cut_periods: typing.Sequence[cuts.CutPeriod],
        disturbances: typing.Sequence[statements.Disturbance],
    ) -> None:
        self.calls = calls
        self.resumptions = resumptions
        self.started_at = started_at
        self.spans = spans
        self.cut_periods = cut_periods
        self.disturbances = disturbances


def find_violations(seen: Observations) -> list[str]:
    """Describe each stream of two versions, and streams that were lost."""
    return [*_joined(seen), *_lost(seen)]


def _joined(seen: Observations) -> list[str]:
    versions: dict[str, dict[str, None]] = {}
    for call in [*seen.calls, *seen.resumptions]:
        found = versions.setdefault(callers.stream_id(call.call_id), {})
        found.update(dict.fromkeys(callers.versions(call.body)))
    return [
        f"{stream}: events of {' and '.join(found)}"
        for stream, found in versions.items()
        if len(found) > 1
    ]


def _lost(seen: Observations) -> list[str]:
    """Compare how many streams go on with how many begin."""
    resumed = [call for call in seen.resumptions if _must_go_on(seen, call)]
    begun = [
        call
        for call in seen.calls
        if call.prefix == RESUMABLE_PREFIX
        and call.left_after_s is None
        and _is_in_touch(seen, call)
    ]
    if len(resumed) < MIN_RESUMED or not begun:
        return []
    went_on = sum(call.has_gone_on for call in resumed) / len(resumed)
    began = sum(call.has_gone_on for call in begun) / len(begun)
    if went_on >= MIN_RELATIVE_SHARE * began:
        return []
    return [
        f"of {len(resumed)} resumed streams {went_on:.2f} went on, "
        f"of {len(begun)} new ones {began:.2f} began"
    ]


def _must_go_on(seen: Observations, call: callers.Call) -> bool:
    """Whether a VM in touch could send a resumed call to two runners."""
    at = seen.started_at + call.sent_at
    since, until = at - SETTLED_S, at + call.duration_s
    runners = {
        span.runner
        for span in seen.spans
        if span.version == call.version
        and span.since <= since
        and until <= span.until
        and not statements.is_disturbed(
            span.runner, since, until, seen.disturbances
        )
    }
    return len(runners) >= MIN_RUNNERS and _is_in_touch(seen, call)


def _is_in_touch(seen: Observations, call: callers.Call) -> bool:
    at = seen.started_at + call.sent_at
    since, until = at - cut_checks.CONTACT_S, at + call.duration_s
    is_cut = any(
        call.vm in period.vms
        and period.since <= until
        and since <= period.until
        for period in seen.cut_periods
    )
    return not is_cut and not statements.is_disturbed(
        call.vm, since, until, seen.disturbances
    )
