"""Steps for the timers that decide when to ask a peer for newer data."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.vms import catch_up

STEP_S = 0.1


@given("a VM that tolerates peers being ahead for {seconds:g} seconds")
def _vm(context, seconds):
    context.clock = clocks.ManualClock()
    context.leads = catch_up.CatchUpTimers(context.clock)
    context.tolerated_s = seconds
    context.asked = []


def _receive_records(context, ahead, not_ahead):
    for peer in [*ahead, *not_ahead]:
        if context.leads.should_ask(
            "runners", peer, peer in ahead, context.tolerated_s
        ):
            context.asked.append(peer)
    context.clock.advance(STEP_S)


@when("one peer is ahead and three are not for {seconds:g} seconds")
def _stays_ahead(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        _receive_records(context, ["one"], ["two", "three", "four"])


@when("one peer is ahead for {seconds:g} seconds and then no more")
def _stops_being_ahead(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        _receive_records(context, ["one"], ["two"])
    for _ in range(10):
        _receive_records(context, [], ["one", "two"])


@then("the VM asks the peer that is ahead")
def _asks_peer_ahead(context):
    assert set(context.asked) == {"one"}, context.asked


@then("the VM asks no peer")
def _asks_no_peer(context):
    assert not context.asked
