"""Steps for tests/contracts/usage_windows.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.contracts import usage_windows


@given("two VMs that count for windows of {seconds:d} seconds")
def _two(context, seconds):
    context.clock = clocks.ManualClock(1000.0)
    context.one, context.other = (
        usage_windows.UsageWindows(context.clock, name, seconds)
        for name in ("one#1", "other#1")
    )
    context.window = context.one.window


@when("each counts {count:d} calls of a customer and they exchange counts")
def _exchange_counts(context, count):
    for vm in (context.one, context.other):
        for _ in range(count):
            vm.record_call("customer")
    context.one.merge_counts("other#1", context.other.own_counts())
    context.other.merge_counts("one#1", context.one.own_counts())


@when("one sends {first:d}, then {second:d}, then {third:d} again")
def _send_repeatedly(context, first, second, third):
    for count in (first, second, third):
        context.other.merge_counts(
            "one#1", {context.window: {"customer": count}}
        )


@when("one sends {first:d} as its first process and {second:d} as its second")
def _send_two_processes(context, first, second):
    context.other.merge_counts("one#1", {context.window: {"customer": first}})
    context.other.merge_counts("one#2", {context.window: {"customer": second}})


@when("one counts a call in each of {count:d} windows")
def _count_windows(context, count):
    for _ in range(count):
        context.one.record_call("customer")
        context.clock.advance(5.0)


@then("both give a total of {count:d} for that window")
def _both_totals(context, count):
    for vm in (context.one, context.other):
        assert vm.total(context.window) == {"customer": count}


@then("the other gives a total of {count:d} for that window")
def _other_total(context, count):
    assert context.other.total(context.window) == {"customer": count}


@then("it keeps {count:d} of them")
def _kept_windows(context, count):
    assert len(context.one.own_counts()) == count


@then("it sends the {count:d} windows after the fourth")
def _unreported_windows(context, count):
    fourth = sorted(context.one.own_counts())[3]
    assert len(context.one.own_counts(fourth)) == count
