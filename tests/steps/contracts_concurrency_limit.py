"""Steps for tests/contracts/concurrency_limit.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import concurrency_limit
from tests.contracts import naive

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
STEP_S = 0.1


@then("the concurrency limit stays within its bounds after any samples")
def _bounds(context):
    step = strategies.tuples(
        strategies.floats(0.0, 5.0),
        strategies.integers(0, 80),
        strategies.integers(1, 60),
        strategies.booleans(),
    )

    @SETTINGS
    @hypothesis.given(strategies.lists(step, max_size=60))
    def check(steps):
        clock = clocks.ManualClock()
        limit = concurrency_limit.ConcurrencyLimit(clock, 2, 40, 10)
        for first_token_s, used, ceiling, resize in steps:
            clock.advance(STEP_S)
            limit.record_in_flight(used)
            for _ in range(8):
                limit.record_first_token(clock.now(), first_token_s, 1.0)
            if resize:
                limit.set_bounds(2, ceiling)
            clock.advance(concurrency_limit.MIN_WINDOW_S)
            limit.update()
            assert limit.floor <= limit.limit <= limit.ceiling

    check()


class _Runners:
    """Runners whose first tokens are delayed by the load above capacity."""

    def __init__(self, capacity, baseline=0.2):
        self.capacity = capacity
        self.baseline = baseline

    def first_token_s(self, in_flight):
        over = max(0.0, in_flight / self.capacity - 1.0)
        return self.baseline + 2.0 * over


def _run_load(context, limit, seconds, most=1000):
    """Admit all that the limit allows; return the percentage late."""
    clock = context.clock
    waiting = []
    late = total = 0
    for _ in range(int(seconds / STEP_S)):
        clock.advance(STEP_S)
        in_flight = min(limit.limit, most)
        limit.record_in_flight(in_flight)
        first_s = context.runners.first_token_s(in_flight)
        waiting.append((clock.now() + first_s, clock.now(), first_s))
        for due, at, took_s in [w for w in waiting if w[0] <= clock.now()]:
            waiting.remove((due, at, took_s))
            for _ in range(max(1, in_flight // 10)):
                limit.record_first_token(at, took_s, 1.0)
                total += 1
                late += took_s > 1.0
        limit.update()
    return 100.0 * late / max(1, total)


@given("runners that answer up to {count:d} concurrent requests in time")
def _runners(context, count):
    context.clock = clocks.ManualClock()
    context.runners = _Runners(count)
    context.limit = concurrency_limit.ConcurrencyLimit(context.clock, 1, 64, 8)


@given(
    "runners whose first token takes {part:f} of the target without queueing"
)
def _high_baseline(context, part):
    _runners(context, 20)
    context.runners.baseline = part


@given("an adaptive limit of {limit:d} with a ceiling of {ceiling:d}")
def _limit_at_ceiling(context, limit, ceiling):
    context.limit = concurrency_limit.ConcurrencyLimit(
        clocks.ManualClock(), 1, ceiling, limit
    )


@when("the adaptive limit admits all it may for {seconds:d} seconds")
def _run_saturated(context, seconds):
    context.late = _run_load(context, context.limit, seconds)


@when("the capacity of the runners becomes {count:d}")
def _change_capacity(context, count):
    context.runners.capacity = count


@when(
    "the adaptive limit is {limit:d} and {most:d} requests are in flight"
    " for {seconds:d} seconds"
)
def _run_low_load(context, limit, most, seconds):
    context.limit = concurrency_limit.ConcurrencyLimit(
        context.clock, 1, 64, limit
    )
    _run_load(context, context.limit, seconds, most)


@when("the bounds become {floor:d} and {ceiling:d}")
def _change_bounds(context, floor, ceiling):
    context.limit.set_bounds(floor, ceiling)


@then("the adaptive limit ends between {least:d} and {most:d}")
def _final_limit(context, least, most):
    assert least <= context.limit.limit <= most, context.limit.limit


@then("less than {part:d} of 100 requests are late under the adaptive limit")
def _few_late(context, part):
    assert context.late < part, context.late


@then(
    "more than {part:d} of 100 requests are late under a fixed limit"
    " of {limit:d}"
)
def _many_late(context, part, limit):
    assert _run_load(context, naive.FixedLimit(limit), 30) > part
