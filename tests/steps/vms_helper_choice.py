"""Steps for tests/vms/helper_choice.feature."""

import collections
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.vms import helper_choice
from apricotlever.vms import vm_records

HERE = "dc-1"
ELSEWHERE = "dc-2"
PAUSE_S = 1.0


def _record(number, data_centre, ready=True, leaving=False, **more):
    return vm_records.VmRecord(
        f"vm-{number}",
        1,
        1,
        f"10.0.0.1:{number}",
        "",
        data_centre,
        ready,
        leaving,
        **more,
    )


def _choice(clock, seed=1):
    return helper_choice.HelperChoice(clock, random.Random(seed), "vm", HERE)


@given(
    "an isolated VM, {near:d} others in its data centre and {far:d} elsewhere"
)
def _fleet(context, near, far):
    context.clock = clocks.ManualClock(100.0)
    context.choice = _choice(context.clock)
    context.excluded = set()
    context.records = [
        _record(number, HERE if number < near else ELSEWHERE)
        for number in range(near + far)
    ]
    context.choice.set_records(context.records)


@given("the first other VM {state}")
def _state(context, state):
    first = context.records[0]
    if state == "is silent":
        context.records.pop(0)
    elif state == "has just failed":
        context.choice.pause(first.vm, PAUSE_S)
    elif state == "is excluded":
        context.excluded.add(first.vm)
    else:
        first.ready = state != "is not ready"
        first.leaving = state == "leaves"
        first.isolated = state == "is isolated"
    context.choice.set_records(context.records)


@when("{count:d} helpers are chosen")
def _choose(context, count):
    context.chosen = [
        context.choice.choose(context.excluded) for _ in range(count)
    ]


@when("{count:d} calls are forwarded that don't end")
def _forward(context, count):
    context.chosen = []
    for _ in range(count):
        helper = context.choice.choose(())
        context.choice.call_started(helper.vm)
        context.chosen.append(helper)


@when("the pause of the VM is over")
def _end_pause(context):
    context.clock.advance(PAUSE_S)


@when(
    "{count:d} helpers are chosen and records are counted that are looked at"
)
def _count_looks(context, count):
    context.choice.choose(())
    with mock.patch.object(
        helper_choice.HelperChoice,
        "_may_help",
        autospec=True,
        side_effect=helper_choice.HelperChoice._may_help,
    ) as look:
        for _ in range(count):
            context.choice.choose(())
    context.looks = look.call_count / count


@then("at most {count:d} records were looked at for a choice")
def _check_looks(context, count):
    assert context.looks <= count, context.looks


def _count_by_vm(context):
    return collections.Counter(helper.vm for helper in context.chosen)


@then("all are in its data centre and each of {count:d} was chosen")
def _check_near(context, count):
    assert {helper.data_centre for helper in context.chosen} == {HERE}
    assert len(_count_by_vm(context)) == count


@then("none is in its data centre and each of {count:d} was chosen")
def _check_far(context, count):
    assert {helper.data_centre for helper in context.chosen} == {ELSEWHERE}
    assert len(_count_by_vm(context)) == count


@then("both data centres run some, and no helper runs more than {most:d}")
def _check_both(context, most):
    assert {helper.data_centre for helper in context.chosen} == {
        HERE,
        ELSEWHERE,
    }
    counts = _count_by_vm(context)
    assert max(counts.values()) <= most, counts


@then("each helper runs from {least:d} to {most:d}")
def _check_even(context, least, most):
    counts = _count_by_vm(context).values()
    assert least <= min(counts) <= max(counts) <= most, counts


@then("all are the first other VM")
def _check_first(context):
    assert set(_count_by_vm(context)) == {"vm-0"}


@then("all are the second other VM")
def _check_second(context):
    assert set(_count_by_vm(context)) == {"vm-1"}


@then("there is none")
def _check_none(context):
    assert context.chosen == [None], context.chosen


_RECORDS = strategies.lists(
    strategies.builds(
        _record,
        strategies.integers(0, 9),
        strategies.sampled_from([HERE, ELSEWHERE]),
        strategies.booleans(),
        strategies.booleans(),
        isolated=strategies.booleans(),
        in_flight=strategies.dictionaries(
            strategies.just("r"), strategies.integers(0, 99)
        ),
    ),
    max_size=10,
    unique_by=lambda record: record.vm,
)
_NAMES = strategies.sets(
    strategies.sampled_from([f"vm-{n}" for n in range(9)])
)


@then("it holds for any fleet and any calls in flight")
def _check_property(context):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=500
    )
    @hypothesis.given(
        _RECORDS,
        _NAMES,
        _NAMES,
        strategies.lists(strategies.sampled_from("abcdefghi"), max_size=50),
        strategies.integers(0, 1000),
    )
    def check(records, excluded, failed, started, seed):
        choice = _choice(clocks.ManualClock(100.0), seed)
        choice.set_records(records)
        for letter in started:
            choice.call_started(f"vm-{ord(letter) - ord('a')}")
        for name in failed:
            choice.pause(name, PAUSE_S)
        able = {
            record.vm
            for record in records
            if record.ready and not record.leaving and not record.isolated
        }
        able -= excluded | failed
        chosen = choice.choose(excluded)
        if able:
            assert chosen is not None and chosen.vm in able
        else:
            assert chosen is None

    check()


@when(
    "the other VM refuses for {pause:g} s whatever it is asked for {span:d} "
    "seconds"
)
def _refuse(context, pause, span):
    context.asked_at = []
    for eighth in range(8 * span):
        if context.choice.choose(()) is not None:
            context.asked_at.append(eighth / 8)
            # Two calls that were in flight at once.
            context.choice.refused("vm-0", pause)
            context.choice.refused("vm-0", pause)
        context.clock.advance(0.125)


@then("it was asked after {times} s")
def _check_asked(context, times):
    expected = [float(time) for time in times.split(", ")]
    assert context.asked_at == expected, context.asked_at


@when("the other VM takes a call and refuses the next one")
def _take_and_refuse(context):
    context.clock.advance(helper_choice.MAX_REFUSAL_PAUSE_S)
    context.choice.accepted("vm-0")
    context.choice.refused("vm-0", 0.25)


@then("its pause is {pause:g} s again")
def _check_pause(context, pause):
    assert context.choice.choose(()) is None
    context.clock.advance(pause)
    assert context.choice.choose(()) is not None
