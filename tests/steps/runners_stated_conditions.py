"""Steps for tests/runners/stated_conditions.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import local_fragility
from apricotlever.runners import local_limits
from apricotlever.runners import stated_conditions
from apricotlever.runners import statements

RUNNER = "runner-1"


def _make(context):
    context.clock = clocks.ManualClock()
    context.limits = local_limits.LocalLimits(context.clock)
    context.conditions = stated_conditions.StatedConditions(
        context.clock,
        context.limits,
        local_fragility.LocalFragility(context.clock),
    )
    context.conditions.keep_only([RUNNER])


@given(
    "a runner that names a limit of {limit:g} call a second to this VM alone"
)
def _name_limit(context, limit):
    _make(context)
    changes = context.conditions.record(
        RUNNER, statements.Statement(limit), context.clock.now()
    )
    assert changes.limit.limit_per_s == limit


@when("this VM has sent it calls until there is no room")
def _fill(context):
    while context.limits.admit(RUNNER):
        pass


@then(
    "it may take a call again after {least:g} to {most:g} seconds, and is "
    "passed over"
)
def _check_full(context, least, most):
    context.wait_s = context.conditions.wait_s(RUNNER)
    assert least <= context.wait_s <= most, context.wait_s
    assert context.conditions.unavailable == {RUNNER}


@when("that time has passed")
def _wait(context):
    # The pause until the next question is a little longer than the wait.
    context.clock.advance(context.wait_s + 0.1)


@then("it may take a call at once, and is not passed over")
def _check_room(context):
    assert context.conditions.wait_s(RUNNER) == 0.0
    assert not context.conditions.unavailable
    assert context.limits.admit(RUNNER)


@when("the limit is lifted")
def _lift(context):
    changes = context.conditions.record(
        RUNNER, statements.NOTHING, context.clock.advance(0.1)
    )
    assert changes.limit.limit_per_s is None


@then("nothing is said of when it takes a call")
def _check_unlimited(context):
    assert context.conditions.wait_s(RUNNER) is None


@when(
    "a runner says something unreadable {count:d} times in {period_s:d} "
    "seconds"
)
def _say_unreadable(context, count, period_s):
    _make(context)
    context.logged = 0
    statement = statements.read_statement([b"many"])
    for _ in range(count):
        changes = context.conditions.record(RUNNER, statement, 0.0)
        context.logged += len(changes.unreadable)
        context.clock.advance(period_s / count)


@then("it is to be logged {count:d} times")
def _check_logged(context, count):
    assert context.logged == count, context.logged
