"""Steps for tests/runners/vouched_counts.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import vouched_counts


class Witness:
    """What a VM knows of its paths to the runners."""

    def __init__(self):
        self.is_isolated = False
        self.is_connected = True
        self.heard_at = 0.0

    def vouches_since(self, at):
        """Whether a runner was heard from after a time."""
        return self.heard_at > at


@given("a VM that counts its failed calls")
def _vm(context):
    context.clock = clocks.ManualClock(100.0)
    context.counts = vouched_counts.VouchedCounts(context.clock)
    context.witness = Witness()


@when("a call to r1 gets no answer")
def _no_answer(context):
    context.counts.call_unanswered("r1")
    context.counts.update(context.witness)


@when("{count:d} calls to r1 get no answer, one each {gap_s:g} seconds")
def _no_answers(context, count, gap_s):
    for _ in range(count):
        _no_answer(context)
        context.clock.advance(gap_s)


@when("r1 answers a call with an error")
def _error(context):
    context.counts.call_answered("r1", True)


@when("another runner is heard {seconds:g} seconds later")
def _heard(context, seconds):
    context.clock.advance(seconds)
    context.witness.heard_at = context.clock.now()
    context.witness.is_isolated = False
    context.counts.update(context.witness)


@when("the VM finds that it reaches no runner")
def _isolated(context):
    context.witness.is_isolated = True
    context.counts.update(context.witness)


@when("the VM suspects that it lost its runners")
def _suspects(context):
    context.witness.is_connected = False


@when("the VM is connected again")
def _connected(context):
    context.witness.is_connected = True
    context.counts.update(context.witness)


@then("{count:d} failures of r1 are reported")
def _check_reported(context, count):
    assert context.counts.counts.get("r1", (0, 0))[0] == count


@then("{count:d} failures were dropped")
def _check_dropped(context, count):
    assert context.counts.dropped == count
