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


@when(
    "one peer is ahead for {seconds:g} seconds while another fetch is running"
)
def _ahead_while_busy(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        assert not context.leads.should_ask(
            "runners", "one", True, context.tolerated_s, may_ask=False
        )
        context.clock.advance(STEP_S)


@given("a VM that fetches {what} from one")
def _fetches(context, what):
    context.clock = clocks.ManualClock()
    context.fetches = catch_up.RunningFetches(context.clock)
    context.subject, context.limit = {
        "changes of runners": ("runners", 3),
        "a configuration": ("configuration", 1),
    }[what]
    context.fetches.begin(context.subject, "one")


def _may_fetch(context, peer):
    return context.fetches.may_begin(context.subject, peer, context.limit)


@then("it may fetch {_} from {peer}")
def _may(context, _, peer):
    assert _may_fetch(context, peer)


@then("it may not fetch {_} from {peer}")
def _may_not(context, _, peer):
    assert not _may_fetch(context, peer)


@when("{seconds:g} seconds pass without an answer")
def _no_answer(context, seconds):
    context.clock.advance(seconds)


@when("one fails and two begins")
def _fails(context):
    context.fetches.end(context.subject, "one", False)
    context.fetches.begin(context.subject, "two")


@when("the fetch from one {result}")
def _ends(context, result):
    context.fetches.end(context.subject, "one", result == "succeeds")
