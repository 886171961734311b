"""Steps for tests/data_centres/demand.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.data_centres import demand

STEP_S = 0.2


@given(
    "{vms:d} VMs that each have {rate:d} tokens read a second at {speed:d} a "
    "second"
)
def _vms(context, vms, rate, speed):
    context.clock = clocks.ManualClock()
    context.demand = demand.Demand(context.clock)
    context.totals = [0] * vms
    context.rate, context.speed = rate, speed


def _pass(context, seconds, without=None, pressure=0.0):
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        for vm in range(len(context.totals)):
            context.totals[vm] += round(context.rate * STEP_S)
            if vm != without:
                context.demand.heard(
                    f"vm-{vm}",
                    context.totals[vm],
                    context.speed,
                    pressure,
                )


@when(
    "{seconds:d} seconds pass while answers take {part:f} of their objective"
)
def _late(context, seconds, part):
    _pass(context, seconds, pressure=part)


@then("{count:d} runners are needed")
def _count(context, count):
    assert context.demand.runners(0, 96) == count


@when("{seconds:d} seconds pass")
def _seconds(context, seconds):
    _pass(context, seconds)


@when("{seconds:d} seconds pass and VM 1 is not heard for {silent:d} seconds")
def _silent(context, seconds, silent):
    _pass(context, seconds)
    _pass(context, silent, without=0)


@then("about 1 runner's reading is used for each {tokens:d} tokens a second")
def _needed(context, tokens):
    rate = context.rate * len(context.totals)
    used = demand.TARGET_PREFILL_UTILIZATION * context.speed
    expected = -(-rate // used)
    assert context.demand.runners(0, 96) == max(1, expected)
    assert used > 0 and tokens


@then("the rate is about {tokens:d} tokens a second")
def _rate(context, tokens):
    assert abs(context.demand.rate - tokens) < 0.1 * tokens


@then("the speed is that of the prompts that did not wait")
def _speed(context):
    counter = demand.WorkCounter()
    for number in range(60):
        # Every fourth prompt met an idle runner, the others waited.
        took_s = 0.1 if number % 4 == 0 else 0.9
        counter.read(4000, took_s)
    assert abs(counter.speed - 40000) < 1


TOKENS = 2500


def _read(context, count, speed):
    for _ in range(count):
        context.counter.sent(TOKENS)
        context.counter.read(TOKENS, TOKENS / speed)


@given("prompts that a runner read at {speed:d} tokens a second")
def _idle(context, speed):
    context.counter = demand.WorkCounter()
    context.speed = speed
    _read(context, demand.SPEED_SAMPLES, speed)


@given("{count:d} prompts that seemed to be read at {speed:d} tokens a second")
def _seemed(context, count, speed):
    context.counter = demand.WorkCounter()
    _read(context, count, speed)


@when("{count:d} prompts are read at {speed:d} tokens a second")
def _then_read(context, count, speed):
    _read(context, count, speed)


@when("{count:d} prompts wait five times as long as they are read")
def _wait(context, count):
    _read(context, count, context.speed / 5)


@then("the speed is still above {speed:d} tokens a second")
def _above(context, speed):
    assert context.counter.speed > speed, context.counter.speed


@then("the speed is below {speed:d} tokens a second")
def _below(context, speed):
    assert context.counter.speed < speed, context.counter.speed


@then(
    "after {count:d} such prompts the speed is below {speed:d} tokens a second"
)
def _forgotten(context, count, speed):
    _wait(context, count)
    _below(context, speed)
