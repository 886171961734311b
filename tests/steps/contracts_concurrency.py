"""Steps for tests/contracts/concurrency.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.contracts import concurrency
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
        limit = concurrency.ConcurrencyLimit(clock, 2, 40, 10)
        for first_token_s, used, ceiling, resize in steps:
            clock.advance(STEP_S)
            limit.record_in_flight(used)
            for _ in range(8):
                limit.record_first_token(clock.now(), first_token_s, 1.0)
            if resize:
                limit.set_bounds(2, ceiling)
            clock.advance(concurrency.MIN_WINDOW_S)
            limit.update()
            assert limit.floor <= limit.limit <= limit.ceiling

    check()


class _Runners:
    """First tokens come late in proportion to what is above capacity."""

    def __init__(self, capacity, undisturbed=0.2):
        self.capacity = capacity
        self.undisturbed = undisturbed

    def first_token_s(self, in_flight):
        over = max(0.0, in_flight / self.capacity - 1.0)
        return self.undisturbed + 2.0 * over


def _run(context, limit, seconds, most=1000):
    """Admit all that the limit allows; count late first tokens."""
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


@given("runners that answer {count:d} requests in time and more of them late")
def _runners(context, count):
    context.clock = clocks.ManualClock()
    context.runners = _Runners(count)
    context.limit = concurrency.ConcurrencyLimit(context.clock, 1, 64, 8)


@given("runners whose undisturbed first token takes {part:f} of the target")
def _slow(context, part):
    _runners(context, 20)
    context.runners.undisturbed = part


@given("a learned limit of {limit:d} of at most {ceiling:d}")
def _known(context, limit, ceiling):
    context.limit = concurrency.ConcurrencyLimit(
        clocks.ManualClock(), 1, ceiling, limit
    )


@when("the learned limit admits all it may for {seconds:d} seconds")
def _admits(context, seconds):
    context.late = _run(context, context.limit, seconds)


@when("the runners come to answer {count:d} in time")
def _change(context, count):
    context.runners.capacity = count


@when(
    "the learned limit is {limit:d} and {most:d} requests at a time come"
    " for {seconds:d} seconds"
)
def _idle(context, limit, most, seconds):
    context.limit = concurrency.ConcurrencyLimit(context.clock, 1, 64, limit)
    _run(context, context.limit, seconds, most)


@when("the bounds become {floor:d} and {ceiling:d}")
def _rebound(context, floor, ceiling):
    context.limit.set_bounds(floor, ceiling)


@then("the learned limit ends between {least:d} and {most:d}")
def _ends(context, least, most):
    assert least <= context.limit.limit <= most, context.limit.limit


@then("less than {part:d} of 100 requests are late under the learned limit")
def _few_late(context, part):
    assert context.late < part, context.late


@then(
    "more than {part:d} of 100 requests are late under a fixed limit"
    " of {limit:d}"
)
def _many_late(context, part, limit):
    assert _run(context, naive.FixedLimit(limit), 30) > part
