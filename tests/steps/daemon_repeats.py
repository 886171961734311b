"""Steps for tests/daemon/repeats.feature."""

import re

from apricotlever import clock as clocks
from apricotlever.daemon import repeats
from behave import given
from behave import then
from behave import when

from tests.daemon import waits


@given("a repeated call to the platform")
def _call(context):
    context.clock = clocks.ManualClock()
    context.repeats = repeats.Repeats(context.clock)
    assert context.repeats.due


@when("the repeated call fails {count:d} times")
def _fails(context, count):
    context.news = []
    context.waits = []
    for _ in range(count):
        context.news.append(context.repeats.failed())
        context.waits.append(waits.waited_s(context.clock, context.repeats))


@when("the repeated call is answered {count:d} times")
def _answers(context, count):
    context.news = [context.repeats.answered() for _ in range(count)]


@then("the repeated call waited {seconds} s")
def _waited(context, seconds):
    wanted = [float(text) for text in re.split(", | and ", seconds)]
    assert context.waits == wanted, context.waits


@then("the repeated call is due at once")
def _due(context):
    assert context.repeats.due


@then("only failure {number:d} of the repeated call was news")
@then("only answer {number:d} of the repeated call was news")
def _news(context, number):
    wanted = [place == number for place in range(1, len(context.news) + 1)]
    assert context.news == wanted, context.news
