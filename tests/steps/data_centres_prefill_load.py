"""Steps for tests/data_centres/prefill_load.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.data_centres import prefill_load

STEP_S = 0.2


@given(
    "{vms:d} VMs that each send {rate:d} tokens per second, prefilled at "
    "{speed:d} per second"
)
def _load_of_vms(context, vms, rate, speed):
    context.clock = clocks.ManualClock()
    context.demand = prefill_load.PrefillLoad(context.clock)
    context.totals = [0] * vms
    context.rate, context.speed = rate, speed


def _advance(context, seconds, silent_vm=None, pressure=0.0):
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        for vm in range(len(context.totals)):
            context.totals[vm] += round(context.rate * STEP_S)
            if vm != silent_vm:
                context.demand.receive_report(
                    f"vm-{vm}",
                    context.totals[vm],
                    context.speed,
                    pressure,
                )


@when(
    "{seconds:d} seconds pass while answers take {part:f} of their time "
    "objective"
)
def _late_answers(context, seconds, part):
    _advance(context, seconds, pressure=part)


@then("the load requires {count:d} runners")
def _required_runners(context, count):
    assert context.demand.required_runners(0, 96) == count


@when("{seconds:d} seconds pass")
def _time_passes(context, seconds):
    _advance(context, seconds)


@when(
    "{seconds:d} seconds pass, then {silent_s:d} seconds without reports of "
    "VM 1"
)
def _reports_missing(context, seconds, silent_s):
    _advance(context, seconds)
    _advance(context, silent_s, silent_vm=0)


@then("about 1 runner is required for each {tokens:d} tokens per second")
def _runners_per_rate(context, tokens):
    rate = context.rate * len(context.totals)
    usable_speed = prefill_load.TARGET_PREFILL_UTILIZATION * context.speed
    expected = -(-rate // usable_speed)
    assert context.demand.required_runners(0, 96) == max(1, expected)
    assert usable_speed > 0 and tokens


@then("the rate is about {tokens:d} tokens per second")
def _rate(context, tokens):
    assert abs(context.demand.tokens_per_s - tokens) < 0.1 * tokens


@then("the prefill speed is that of the prompts that did not wait")
def _speed_of_idle_runners(context):
    counter = prefill_load.PrefillMeter()
    for number in range(60):
        # Every fourth prompt reached an idle runner, and the others waited.
        took_s = 0.1 if number % 4 == 0 else 0.9
        counter.record_first_answer(4000, took_s)
    assert abs(counter.prefill_speed - 40000) < 1


TOKENS = 2500


def _send_prompts(context, count, speed):
    for _ in range(count):
        context.counter.record_sent(TOKENS)
        context.counter.record_first_answer(TOKENS, TOKENS / speed)


@given("prompts with a prefill speed of {speed:d} tokens per second")
def _prompts_without_wait(context, speed):
    context.counter = prefill_load.PrefillMeter()
    context.speed = speed
    _send_prompts(context, prefill_load.SPEED_SAMPLES, speed)


@given(
    "{count:d} prompts with an apparent prefill speed of {speed:d} tokens per "
    "second"
)
def _cached_prompts(context, count, speed):
    context.counter = prefill_load.PrefillMeter()
    _send_prompts(context, count, speed)


@when("{count:d} prompts have a prefill speed of {speed:d} tokens per second")
def _prompts_at_speed(context, count, speed):
    _send_prompts(context, count, speed)


@when("{count:d} prompts wait until they take five times as long")
def _prompts_wait(context, count):
    _send_prompts(context, count, context.speed / 5)


@then("the prefill speed is still above {speed:d} tokens per second")
def _speed_above(context, speed):
    assert context.counter.prefill_speed > speed, context.counter.prefill_speed


@then("the prefill speed is below {speed:d} tokens per second")
def _speed_below(context, speed):
    assert context.counter.prefill_speed < speed, context.counter.prefill_speed


@then(
    "after {count:d} such prompts the prefill speed is below {speed:d} tokens "
    "per second"
)
def _speed_falls(context, count, speed):
    _prompts_wait(context, count)
    _speed_below(context, speed)
