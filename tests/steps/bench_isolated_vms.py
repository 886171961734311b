"""Steps for tests/bench/isolated_vms.feature."""

from behave import then
from behave import when

from bench import _isolation_simulation as simulation
from bench import isolated_vms

SEEDS = (1, 2, 3)


def _compare(vms, isolated, way):
    case = simulation.Case(vms, 2, isolated)
    return isolated_vms.compare(case, way, SEEDS)


@when("half of {vms:d} VMs are isolated and nothing is done about it")
def _nothing_done(context, vms):
    context.row = _compare(vms, "half", "none")


@when("half of {vms:d} VMs are isolated and their calls are forwarded")
def _forwarded(context, vms):
    context.row = _compare(vms, "half", "forwarding")


@when("all but one of {vms:d} VMs are isolated and leave the lists")
def _all_but_one(context, vms):
    context.row = _compare(vms, "all_but_one", "both")
    context.all_listed = _compare(vms, "all_but_one", "both_if_half_left")


@then("the rule for isolated VMs is broken in each play")
def _broken(context):
    assert context.row["breaks"] == len(SEEDS), context.row


@then("the rule for isolated VMs is kept in each play")
def _kept(context):
    assert context.row["breaks"] == 0, context.row


@then("nothing passes between VMs")
def _nothing_passes(context):
    assert context.row["forwarded_per_s"] == 0, context.row
    assert context.row["between_data_centres_per_s"] == 0, context.row


@then("first tries at isolated VMs are served as often as at the others")
def _as_often(context):
    row = context.row
    assert row["tried_there"] > 50, row
    assert row["served_there"] > 0.97 * row["served_elsewhere"], row


@then("its own callers are served less than half as often as with all listed")
def _drowned(context):
    drowned = context.row["served_elsewhere"]
    assert drowned < 0.5 * context.all_listed["served_elsewhere"], context.row
