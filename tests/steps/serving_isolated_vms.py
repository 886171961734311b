"""Steps for tests/serving/isolated_vms.feature."""

from behave import then
from behave import when

from soak import cut_checks
from tests.serving import isolated_vms

#: The share of first tries that the other VMs have to serve.
MIN_SERVED_SHARE = 0.5


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
    found = [_complaint(play, s) for play in context.plays]
    assert not any(found), found


def _complaint(play, after_s):
    """What is wrong with the service of VMs without runners; None if well."""
    tries = play.calls_at(after_s)
    others = [call for call in tries if not play.was_cut_off(call)]
    served = sum(call.served for call in others)
    if served < MIN_SERVED_SHARE * len(others):
        return f"the other VMs served {served} of {len(others)}"
    return cut_checks.describe_poor_service(
        (play.was_cut_off(call), call.served) for call in tries
    )


@then(
    "from {s:g} s on, calls that fail are refused with 503 within {most:g} s"
)
def _check_refused(context, s, most):
    calls = [c for c in context.plays[0].calls_at(s) if not c.served]
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
