"""Steps for tests/serving/drain.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.serving import drain

STEP_S = 0.1


class Draining:
    """A VM whose time passes each time that it is asked for its calls."""

    def __init__(self, shutdown_s):
        self.clock = clocks.ManualClock(0.0)
        self.shutdown_s = shutdown_s
        self.busy_until = 0.0
        self.stopped_taking_at = None

    def busy(self):
        """Calls being answered; time passes."""
        now = self.clock.advance(STEP_S)
        return int(now < self.busy_until)

    def stop_taking(self):
        """No more calls."""
        assert self.stopped_taking_at is None
        self.stopped_taking_at = self.clock.now()

    def run(self):
        """Wait for the end."""
        asyncio.run(
            drain.wait_until_idle(
                self.clock, self.busy, self.shutdown_s, self.stop_taking, 0.0
            )
        )


@given("a VM with {seconds:d} seconds to stop")
def _vm(context, seconds):
    context.draining = Draining(seconds)


@when("it has no calls")
def _no_calls(context):
    context.draining.run()


@when("a call is answered for {seconds:d} seconds")
def _call(context, seconds):
    context.draining.busy_until = seconds
    context.draining.run()


def _ended(context, least, most):
    assert (
        least <= context.draining.clock.now() <= most
    ), context.draining.clock.now()


@then("it ends within {least:f} to {most:f} seconds, still taking calls")
def _taking(context, least, most):
    _ended(context, least, most)
    assert context.draining.stopped_taking_at is None


@then(
    "it ends within {least:f} to {most:f} seconds, taking no calls after "
    "{seconds:d} seconds"
)
def _not_taking(context, least, most, seconds):
    _ended(context, least, most)
    at = context.draining.stopped_taking_at
    assert seconds <= at <= seconds + 2 * STEP_S, at
