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


@then("an old load report is corrected by any own requests sent since")
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
        # The ratio of the peers is learned from this report too, so the
        # expected value is computed with a ratio that observed only it.
        estimate.observe(_report(others + own_then[0], age_s))
        peers = load.PeerRatio()
        peers.observe(others, own_then[0])
        others_change = (
            load.PEER_CHANGE_SHARE * peers.ratio * (own - own_then[0])
        )
        expected = own + max(0.0, others + others_change)
        assert abs(estimate.in_flight(clock.now()) - expected) < 1e-6

    check()


@given("a runner's load with {own:d} own requests sent 1 second ago")
def _own_requests(context, own):
    context.clock = clocks.ManualClock()
    context.load = load.RunnerLoad(context.clock, 16)
    context.naive = naive.ReportedLoad()
    for _ in range(own):
        context.load.started()
    context.clock.advance(1.0)


@given("a runner to which other VMs send 6 times as much as this VM")
def _busy_peers(context):
    _own_requests(context, 2)
    for _ in range(200):
        context.load.observe(_report(14, 0.0))
    context.before = context.load.in_flight(context.clock.now())


@when("a load report of {age_s:d} seconds ago says that it was idle")
def _idle_report(context, age_s):
    _load_report(context, age_s, 0)


@when("a load report of {age_s:d} seconds ago says that {n:d} were running")
def _load_report(context, age_s, n):
    context.load.observe(_report(n, age_s))
    context.naive.observe(_report(n, age_s))


@when("no load report comes for {seconds:d} seconds")
def _no_report(context, seconds):
    context.clock.advance(seconds)


@when("this VM sends the runner 4 more requests after the last load report")
def _more_requests(context):
    context.clock.advance(0.1)
    for _ in range(4):
        context.load.started()


@then("its load counts {count:d} in flight")
def _estimated_load(context, count):
    assert context.load.in_flight(context.clock.now()) == count


@then("the load as reported counts {count:d} in flight")
def _reported_load(context, count):
    assert context.naive.in_flight() == count


@then("its load counts more than 4 requests more than before")
def _increased(context):
    now = context.load.in_flight(context.clock.now())
    assert now > context.before + 4
