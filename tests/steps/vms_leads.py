"""Steps for tests/vms/leads.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.vms import leads

STEP_S = 0.1


@given("a VM that gives leads of {lead:g} seconds")
def _vm(context, lead):
    context.clock = clocks.ManualClock()
    context.leads = leads.Leads(context.clock)
    context.lead_s = lead
    context.asked = []


def _records(context, ahead, level):
    for peer in [*ahead, *level]:
        if context.leads.due("runners", peer, peer in ahead, context.lead_s):
            context.asked.append(peer)
    context.clock.advance(STEP_S)


@when("one peer is ahead and three are not for {seconds:g} seconds")
def _ahead(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        _records(context, ["one"], ["two", "three", "four"])


@when("one peer is ahead for {seconds:g} seconds and then no more")
def _then_no_more(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        _records(context, ["one"], ["two"])
    for _ in range(10):
        _records(context, [], ["one", "two"])


@then("the VM asks the one that is ahead")
def _asks(context):
    assert set(context.asked) == {"one"}, context.asked


@then("the VM asks nobody")
def _nobody(context):
    assert not context.asked
