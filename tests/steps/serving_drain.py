"""Steps for tests/serving/drain.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.serving import drain

STEP_S = 0.1


class Draining:
    """A stopping VM whose clock advances at each check for open calls."""

    def __init__(self, shutdown_s):
        self.clock = clocks.ManualClock(0.0)
        self.shutdown_s = shutdown_s
        self.busy_until = 0.0
        self.refusing_since = None

    def busy(self):
        """Advance the clock, and return the number of open calls."""
        now = self.clock.advance(STEP_S)
        return int(now < self.busy_until)

    def stop_taking(self):
        """Record when new calls began to be refused."""
        assert self.refusing_since is None
        self.refusing_since = self.clock.now()

    def run(self):
        """Wait until the VM may end."""
        asyncio.run(
            drain.wait_until_idle(
                self.clock, self.busy, self.shutdown_s, self.stop_taking, 0.0
            )
        )


@given("a VM with {seconds:d} seconds to stop")
def _vm(context, seconds):
    context.draining = Draining(seconds)


@when("it has no calls to answer")
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


@then("it ends within {least:f} to {most:f} seconds, still accepting calls")
def _accepting(context, least, most):
    _ended(context, least, most)
    assert context.draining.refusing_since is None


@then(
    "it ends within {least:f} to {most:f} seconds, refusing calls after "
    "{seconds:d} seconds"
)
def _refusing(context, least, most, seconds):
    _ended(context, least, most)
    at = context.draining.refusing_since
    assert seconds <= at <= seconds + 2 * STEP_S, at
