"""Steps for tests/runners/engine_priority.feature."""

import heapq
import itertools
import random
import statistics

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever.runners import engine_priority

#: Prompt tokens per second that a runner reads, by the users' data sheets.
READ_PER_S = 41400.0
#: Nine in twenty calls are short in the data sheets' mix.
SHORT_SHARE = 0.45
SHORT_OBJECTIVE_S = 0.4
ROUTE_OF_SHORT, ROUTE_OF_LONG = 2, 1


def _by_route(customer, route, tokens):
    """Naive baseline: the level without regard to prompt length."""
    return engine_priority.queue_level(
        customer, route, engine_priority.SHORT_PROMPT_TOKENS
    )


def _waits(rule, short, long, seconds, busy):
    """Simulate an engine that reads one prompt after the other.

    The engine reads prompts in the order of their levels, and in the order
    of arrival within a level.

    :param rule: computes the level of a call.
    :param short: mean tokens of short prompts.
    :param long: mean tokens of long prompts.
    :param seconds: simulated time.
    :param busy: share of the time for which the engine is busy.
    :returns: seconds until each prompt is read, by whether it is short.
    """
    rng = random.Random(5)
    mean = SHORT_SHARE * short + (1.0 - SHORT_SHARE) * long
    rate = busy * READ_PER_S / mean
    arrivals, at = [], 0.0
    while at < seconds:
        at += rng.expovariate(rate)
        is_short = rng.random() < SHORT_SHARE
        tokens = rng.expovariate(1.0 / (short if is_short else long))
        arrivals.append((at, is_short, tokens))
    waits = {True: [], False: []}
    queue, number, now = [], itertools.count(), 0.0
    coming = iter(arrivals)
    upcoming = next(coming)
    while upcoming is not None or queue:
        if not queue:
            now = max(now, upcoming[0])
        while upcoming is not None and upcoming[0] <= now:
            route = ROUTE_OF_SHORT if upcoming[1] else ROUTE_OF_LONG
            level = rule(None, route, int(upcoming[2]))
            heapq.heappush(queue, (level, next(number), upcoming))
            upcoming = next(coming, None)
        came_at, is_short, tokens = heapq.heappop(queue)[2]
        now += tokens / READ_PER_S
        waits[is_short].append(now - came_at)
    return waits


@then(
    "a prompt of {tokens:d} tokens of a customer of priority {customer} on a "
    "route of priority {route:d} has level {level:d}"
)
def _level(context, tokens, customer, route, level):
    priority = None if customer == "none" else int(customer)
    found = engine_priority.queue_level(priority, route, tokens)
    assert found == level, found


@when(
    "an engine reads prompts of {short:d} and of {long:d} tokens for "
    "{seconds:d} seconds, {busy:f} busy"
)
def _engine_reads(context, short, long, seconds, busy):
    load = (float(short), float(long), seconds, busy)
    context.ours = _waits(engine_priority.queue_level, *load)
    context.naive = _waits(_by_route, *load)


@then("short prompts are late at most half as often as by the route alone")
def _short_less_late(context):
    def late(waits):
        return sum(w > SHORT_OBJECTIVE_S for w in waits[True])

    assert 2 * late(context.ours) <= late(context.naive), (
        late(context.ours),
        late(context.naive),
    )


@then("long prompts wait at most {part:f} longer on average")
def _long_wait(context, part):
    ours = statistics.mean(context.ours[False])
    naive = statistics.mean(context.naive[False])
    assert ours <= (1.0 + part) * naive, (ours, naive)


@given("levels for customer priorities {priorities} and ranks {ranks}")
def _plan(context, priorities, ranks):
    context.plan = engine_priority.LevelPlan(
        map(int, priorities.split(",")), map(int, ranks.split(","))
    )


@then(
    "a prompt of {tokens:d} tokens, priority {priority} and rank {rank:d} has "
    "level {level:d}, and {behind:d} over its share"
)
def _planned_level(context, tokens, priority, rank, level, behind):
    customer = None if priority == "none" else int(priority)
    found = [
        context.plan.level(customer, rank, tokens, over)
        for over in (False, True)
    ]
    assert found == [level, behind], found


@then("levels of any configuration follow customer priority, rank and size")
def _plan_in_order(context):
    distinct = strategies.sets(strategies.integers(0, 9), min_size=1)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(distinct, distinct)
    def check(priorities, ranks):
        plan = engine_priority.LevelPlan(priorities, ranks)
        classes = list(itertools.product(sorted(priorities), sorted(ranks)))
        last = -1
        for priority, rank in classes:
            levels = [
                plan.level(priority, rank, tokens, over)
                for over in (False, True)
                for tokens in (700, 9000)
            ]
            # A full set of levels may end with shared ones; otherwise each
            # class begins behind the whole class before it.
            assert min(levels) > last or min(levels) == 9, levels
            assert levels[0] <= levels[1] and levels[2] <= levels[3]
            assert 0 <= min(levels) and max(levels) <= 9
            last = max(levels)

    check()


@then("levels by size of any configuration have the order of the usual levels")
def _usual_order(context):
    distinct = strategies.sets(strategies.integers(0, 9), min_size=1)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(distinct, distinct)
    def check(priorities, ranks):
        plan = engine_priority.LevelPlan(priorities, ranks)
        levels = {}
        for call in itertools.product(priorities, ranks, (700, 9000)):
            usual = engine_priority.queue_level(*call)
            found = [plan.level_by_size(*call, over) for over in (0, 1)]
            assert levels.setdefault(usual, found) == found, call
        spread = [levels[usual] for usual in sorted(levels)]
        for (_, behind), (following, _) in itertools.pairwise(spread):
            assert behind < following, spread
        has_room = 2 * len(spread) <= engine_priority.LOWEST_LEVEL + 1
        for level, behind in spread:
            assert 0 <= level <= behind <= engine_priority.LOWEST_LEVEL
            assert behind > level or not has_room, spread

    check()
