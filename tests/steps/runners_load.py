"""Steps for tests/runners/load.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.runners import load
from apricotlever.runners import model as models
from tests.runners import naive

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)


def _report(running, age_s):
    return models.LoadReport(running, 0, 16, age_s=age_s)


@then("a lagged load report is corrected by any own requests since")
def _corrected(context):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.booleans(), max_size=60),
        strategies.integers(0, 30),
        strategies.integers(0, 60),
    )
    def check(steps, others, lag_steps):
        clock = clocks.ManualClock()
        estimate = load.RunnerLoad(clock, 16)
        own = 0
        history = [(clock.now(), 0)]
        for start in steps:
            clock.advance(0.1)
            if start:
                estimate.started()
                own += 1
            elif own:
                estimate.finished()
                own -= 1
            history.append((clock.now(), own))
        then = clock.now() - lag_steps * 0.1 + 0.05
        own_then = [n for at, n in history if at <= then][-1:] or [0]
        age_s = clock.now() - then
        # The peers' ratio is learned from the report itself, so only the
        # part of this VM is compared when the own count changed.
        estimate.observe(_report(others + own_then[0], age_s))
        peers = load.PeerRatio()
        peers.observe(others, own_then[0])
        grown = load.HERD_PART * peers.ratio * (own - own_then[0])
        expected = own + max(0.0, others + grown)
        assert abs(estimate.in_flight(clock.now()) - expected) < 1e-6

    check()


@given("a runner's load with {own:d} own requests sent 1 second ago")
def _own(context, own):
    context.clock = clocks.ManualClock()
    context.load = load.RunnerLoad(context.clock, 16)
    context.naive = naive.ReportedLoad()
    for _ in range(own):
        context.load.started()
    context.clock.advance(1.0)


@given("a runner's load that others use 6 times as much as this VM")
def _shared(context):
    _own(context, 2)
    for _ in range(200):
        context.load.observe(_report(14, 0.0))
    context.before = context.load.in_flight(context.clock.now())


@when("a load report of {age_s:d} seconds ago says that it was idle")
def _idle(context, age_s):
    _running(context, age_s, 0)


@when("a load report of {age_s:d} seconds ago says that {n:d} were running")
def _running(context, age_s, n):
    context.load.observe(_report(n, age_s))
    context.naive.observe(_report(n, age_s))


@when("no load report comes for {seconds:d} seconds")
def _silence(context, seconds):
    context.clock.advance(seconds)


@when("this VM sends 4 more requests there after the last load report")
def _send(context):
    context.clock.advance(0.1)
    for _ in range(4):
        context.load.started()


@then("its load counts {count:d} in flight")
def _counts(context, count):
    assert context.load.in_flight(context.clock.now()) == count


@then("the load as reported counts {count:d} in flight")
def _naive_counts(context, count):
    assert context.naive.in_flight() == count


@then("its load counts more than 4 requests more than before")
def _more(context):
    now = context.load.in_flight(context.clock.now())
    assert now > context.before + 4
