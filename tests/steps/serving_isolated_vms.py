"""Steps for tests/serving/isolated_vms.feature."""

from behave import then
from behave import when

from tests.serving import isolated_vms

#: VMs without runners serve callers badly if they serve a smaller share of
#: their first tries than this part of the others' share ...
MIN_RELATIVE_SHARE = 2 / 3
#: ... and if more fail there than so many, and so many of all first tries.
FAILURES_ALLOWED = 10
FAILED_SHARE_ALLOWED = 1 / 50


@when(
    "one VM of three, and elsewhere two, lose all runners by {cut} for {s:g} s"
)
def _cut_some(context, cut, s):
    context.plays = isolated_vms.run_plays((1, 2), cut, s)


@when("all three VMs lose all runners by {cut} for {s:g} s")
def _cut_all(context, cut, s):
    context.plays = isolated_vms.run_plays((3,), cut, s)


@then(
    "from {s:g} s on, first tries there are served nearly as often as "
    "elsewhere"
)
def _check_served(context, s):
    found = [_compare(play, s) for play in context.plays]
    assert all(well for well, _ in found), [text for _, text in found]


def _compare(play, after_s):
    """Whether VMs without runners served well, and the figures."""
    there = play.calls_at(True, after_s)
    others = play.calls_at(False, after_s)
    served_there = sum(call.served for call in there)
    served_others = sum(call.served for call in others)
    share_there = served_there / len(there)
    share_others = served_others / len(others)
    failed = len(there) - served_there
    allowed = FAILURES_ALLOWED + FAILED_SHARE_ALLOWED * (
        len(there) + len(others)
    )
    well = share_there >= MIN_RELATIVE_SHARE * share_others
    return (
        share_others > 0.5 and (well or failed <= allowed),
        f"{served_there} of {len(there)} served, "
        f"{served_others} of {len(others)} at others",
    )


@then(
    "from {s:g} s on, calls that fail are refused with 503 within {most:g} s"
)
def _check_refused(context, s, most):
    calls = [c for c in context.plays[0].calls_at(True, s) if not c.served]
    bad = [
        f"{call.status} after {call.duration_s:.2f} s"
        for call in calls
        if call.status != 503 or call.duration_s > most
    ]
    assert not bad, f"{len(bad)} of {len(calls)}: {bad[:8]}"


@then("each lookup lists VMs")
def _check_lookups(context):
    lookups = context.plays[0].lookups
    assert lookups and all(lookups), lookups
