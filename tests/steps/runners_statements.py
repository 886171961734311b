"""Steps for tests/runners/statements.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import stated_leavings
from apricotlever.runners import stated_limits
from apricotlever.runners import stated_rests
from apricotlever.runners import statements

RUNNER = "runner-1"
TEXTS = {
    "a date": b"Thu, 03 Dec 2026 10:00:00 GMT",
    "no text": b"",
}


def _number(text):
    return None if text == "none" else float(text)


@when("a head names the limit {values}")
def _read_limit(context, values):
    context.statement = statements.read_statement(
        [TEXTS.get(each, each.encode()) for each in values.split(" and ")]
    )


@then("the limit is {limit} and the values are {clear}")
def _check_limit(context, limit, clear):
    statement = context.statement
    assert statement.limit_per_s == _number(limit), statement.limit_per_s
    is_unreadable = statements.Field.LIMIT in statement.unreadable
    assert is_unreadable == (clear == "unreadable"), statement.unreadable


@then("a head without a limit says so, and one with an unreadable limit not")
def _check_unnamed(context):
    assert statements.read_statement().names_no_limit
    assert not statements.read_statement([b"many"]).names_no_limit
    assert not statements.read_statement([b"2"]).names_no_limit


@when("a head asks for a rest of {values}")
def _read_rest(context, values):
    context.statement = statements.read_statement(
        [], [TEXTS.get(each, each.encode()) for each in values.split(" and ")]
    )


@then("the rest is {rest} and the values are {clear}")
def _check_rest(context, rest, clear):
    statement = context.statement
    assert statement.rest_s == _number(rest), statement.rest_s
    is_unreadable = statements.Field.REST in statement.unreadable
    assert is_unreadable == (clear == "unreadable"), statement.unreadable


@given("a VM that a runner asked for a rest of {rest_s:g} seconds")
def _rest(context, rest_s):
    context.clock = clocks.ManualClock()
    context.rests = stated_rests.StatedRests(context.clock)
    context.rests.record(RUNNER, rest_s)


@when("{seconds:g} seconds later it asks for a rest of {rest_s:g} seconds")
def _rest_again(context, seconds, rest_s):
    context.clock.advance(seconds)
    context.rests.record(RUNNER, rest_s)


@then("the runner rests for {seconds:g} seconds, and no longer")
def _check_end(context, seconds):
    context.clock.advance(seconds - 0.001)
    assert context.rests.rests(RUNNER) and RUNNER in context.rests.left_s
    context.clock.advance(0.002)
    assert not context.rests.rests(RUNNER) and not context.rests.left_s


@when("a head says of leaving {values}")
def _read_leaving(context, values):
    context.statement = statements.read_statement(
        [], [], [each.encode() for each in values.split(" and ")]
    )


@then("the runner {outcome} and the values are {clear}")
def _check_leaving(context, outcome, clear):
    statement = context.statement
    assert statement.leaves == (outcome == "leaves")
    is_unreadable = statements.Field.LEAVING in statement.unreadable
    assert is_unreadable == (clear == "unreadable"), statement.unreadable


@when("a head says that the runner bears {values} rejections")
def _read_fragility(context, values):
    context.statement = statements.read_statement(
        fragilities=[
            TEXTS.get(each, each.encode()) for each in values.split(" and ")
        ]
    )


@then("it bears {rejections} and the values are {clear}")
def _check_fragility(context, rejections, clear):
    statement = context.statement
    assert statement.rejections_per_s == _number(rejections)
    is_unreadable = statements.Field.FRAGILE in statement.unreadable
    assert is_unreadable == (clear == "unreadable"), statement.unreadable
    assert not statement.is_sound


@then("a head without fragility is sound, and one with an unreadable one not")
def _check_sound(context):
    assert statements.read_statement().is_sound
    assert statements.read_statement([b"2"]).is_sound
    assert not statements.read_statement(fragilities=[b"many"]).is_sound


@given("a VM that was told at heartbeat {number:d} that a runner leaves")
def _tell_leaving(context, number):
    context.leavings = stated_leavings.StatedLeavings()
    assert context.leavings.record(RUNNER, number)
    assert not context.leavings.record(RUNNER, number + 1)


@when("it is listed with heartbeat {number:d}")
def _list(context, number):
    context.leavings.keep_only({RUNNER: number})


@when("it is not listed")
def _list_none(context):
    context.leavings.keep_only({})


@then("the runner {outcome} by its word")
def _check_word(context, outcome):
    assert (RUNNER in context.leavings.names) == (outcome == "leaves")


@given("a VM that knows a runner")
def _add_runner(context):
    context.clock = clocks.ManualClock()
    context.limits = stated_limits.StatedLimits(context.clock)
    context.limits.keep_only([RUNNER])


@when("the runner names {limit:g} calls a second")
def _name(context, limit):
    context.clock.advance(0.1)
    context.change = context.limits.record_named(RUNNER, limit)


@when("a response names no limit to a call sent since")
def _lift(context):
    sent_at = context.clock.advance(0.1)
    context.clock.advance(0.1)
    context.change = context.limits.record_unnamed(RUNNER, sent_at)


@when("a response names no limit to a call sent before")
def _cross(context):
    sent_at = context.clock.now() - 0.05
    context.clock.advance(0.1)
    context.change = context.limits.record_unnamed(RUNNER, sent_at)


@when("another VM passes on {limit}, read {age:g} seconds ago, 1 second later")
def _merge(context, limit, age):
    context.clock.advance(1.0)
    context.change = context.limits.merge(RUNNER, _number(limit), age, "vm-2")


@when("the runner is gone")
def _remove(context):
    context.limits.keep_only([])


@then("the limit is {change}")
def _check_change(context, change):
    assert context.change is stated_limits.Change(change), context.change


@then("the limit stays")
def _check_unchanged(context):
    assert context.change is None, context.change


@when("{seconds:d} seconds pass for the limits")
def _pass(context, seconds):
    assert context.limits.has_readings
    context.clock.advance(seconds)
    context.limits.forget_lifted()


@then("no limit is known")
def _check_none(context):
    assert not context.limits.in_force and not context.limits.readings


@then("another VM's reading of it is ignored")
def _check_ignored(context):
    assert context.limits.merge(RUNNER, 1.0, 0.0, "vm-2") is None
    assert not context.limits.in_force
