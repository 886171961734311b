"""Steps for tests/daemon/call_backoff.feature."""

import re

from apricotlever import clock as clocks
from apricotlever.daemon import call_backoff
from behave import given
from behave import then
from behave import when

from tests.daemon import waits


@given("a periodic call to the platform")
def _call(context):
    context.clock = clocks.ManualClock()
    context.backoff = call_backoff.CallBackoff(context.clock)
    assert context.backoff.due


@when("the periodic call fails {count:d} times")
def _fails(context, count):
    context.first_in_row = []
    context.waits = []
    for _ in range(count):
        context.first_in_row.append(context.backoff.record_failure())
        context.waits.append(waits.waited_s(context.clock, context.backoff))


@when("the periodic call succeeds {count:d} times")
def _answers(context, count):
    context.first_in_row = [
        context.backoff.record_success() for _ in range(count)
    ]


@then("the periodic call waited {seconds} s")
def _waited(context, seconds):
    expected = [float(text) for text in re.split(", | and ", seconds)]
    assert context.waits == expected, context.waits


@then("the periodic call is due at once")
def _due(context):
    assert context.backoff.due


@then("only failure {number:d} of the periodic call was reported as new")
@then("only success {number:d} of the periodic call was reported as new")
def _first_reported(context, number):
    expected = [
        position == number
        for position in range(1, len(context.first_in_row) + 1)
    ]
    assert context.first_in_row == expected, context.first_in_row
