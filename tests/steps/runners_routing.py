"""Steps for tests/runners/routing.feature."""

import collections
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.runners import routing
from tests.runners import naive

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
POOL = "pool"


def _runner(number, price=1.0, slots=16):
    return models.Runner(
        f"r{number}",
        f"127.0.0.1:{number}",
        "a",
        POOL,
        "reclaimable",
        "m",
        price,
        slots,
    )


def _query(blocks=(), tokens=1000, excluded=frozenset(), target_s=1.2):
    return models.Query(
        "entry", POOL, "model", blocks, tokens, 100, 5, excluded, target_s
    )


def _routers(count, runners, policy=routing.DEFAULT_POLICY):
    routers = [
        routing.Router(
            clocks.ManualClock(), random.Random(n), f"vm{n}", "a", policy
        )
        for n in range(count)
    ]
    for router in routers:
        router.set_runners(runners)
    return routers


@given(
    "{count:d} runners that have cached a prompt of 50 blocks and 20 tokens"
)
def _short_parts(context, count):
    context.runners = [_runner(n) for n in range(count)]
    context.query = _query(tuple(range(50)), tokens=20)


@then('the policy "{policy}" finds a runner for it')
def _finds_runner(context, policy):
    (router,) = _routers(1, context.runners, policy)
    events = [models.CacheEvent(0, True, context.query.blocks)]
    for runner in context.runners:
        router.observe_cache(runner.name, models.CacheEvents(events, 0))
    assert router.choose(context.query).expected_first_token_s >= 0.0


@then("each route agrees with a plain calculation over all runners")
def _agrees_with_calculation(context):
    runner = strategies.tuples(
        strategies.sampled_from((1.0, 1.05, 1.5, 2.0)),
        strategies.integers(1, 8),
        strategies.integers(0, 12),
        strategies.integers(0, 20),
    )

    @SETTINGS
    @hypothesis.given(
        strategies.lists(runner, min_size=1, max_size=8),
        strategies.sampled_from((0.05, 0.5, 2.0, 10.0)),
    )
    def check(described, target_s):
        runners = [
            _runner(n, price, slots)
            for n, (price, slots, _, _) in enumerate(described)
        ]
        (router,) = _routers(1, runners)
        blocks = tuple(range(20))
        query = _query(blocks, 64 * 20, target_s=target_s)
        figures = {}
        for runner_, (_, _, own, cached) in zip(runners, described):
            for number in range(own):
                name = f"{runner_.name}/{number}"
                router.request_started(name, runner_.name, _query(tokens=0))
            event = models.CacheEvent(0, True, blocks[:cached])
            router.observe_cache(runner_.name, models.CacheEvents((event,), 0))
            figures[runner_.name] = naive.Estimate(runner_, query, own, cached)
        route = router.choose(query)
        assert naive.is_valid_choice(route.runner.name, figures, target_s)
        figure = figures[route.runner.name]
        assert abs(figure.first_s - route.expected_first_token_s) < 1e-9

    check()


@then("own requests at each runner equal a plain count after any steps")
def _agrees_with_count(context):
    step = strategies.tuples(
        strategies.sampled_from(("start", "first", *models.Outcome)),
        strategies.integers(0, 5),
        strategies.integers(0, 2),
    )

    @SETTINGS
    @hypothesis.given(strategies.lists(step, max_size=50))
    def check(steps):
        (router,) = _routers(1, [_runner(n) for n in range(3)])
        at = {}
        for kind, request, runner in steps:
            if kind == "start":
                router.request_started(str(request), f"r{runner}", _query())
                at[request] = f"r{runner}"
            elif kind == "first":
                router.first_token(str(request))
            else:
                router.request_finished(str(request), kind, 10)
                at.pop(request, None)
        counts = collections.Counter(at.values())
        for number in range(3):
            name = f"r{number}"
            assert router.own_in_flight(name) == counts[name]

    check()


@given("{routers:d} independent routers and {n:d} runners of one price")
def _several_routers(context, routers, n):
    context.runners = [_runner(number) for number in range(n)]
    context.routers = _routers(routers, context.runners)
    context.router = context.routers[0]


@given("1 router and {n:d} runners of one price")
def _one_router(context, n):
    _several_routers(context, 1, n)


@when("router 1 sends a prompt of {count:d} blocks")
def _send_prompt(context, count):
    query = _query(tuple(range(count)), 64 * count)
    context.sent = context.router.choose(query).runner.name
    context.router.request_started("first", context.sent, query)


@then("router 1 sends a prompt with the same beginning to the same runner")
def _same(context):
    blocks = tuple(range(40)) + (1000, 1001)
    route = context.router.choose(_query(blocks, 64 * 42))
    assert route.runner.name == context.sent
    assert route.cached_blocks == 40


def _agreements(routers):
    cold = [_query((n, n + 1000), 128) for n in range(100)]
    return [
        len({router.choose(query).runner.name for router in routers}) == 1
        for query in cold
    ]


@then("all routers agree on the runner of each of 100 cold prefixes")
def _routers_agree(context):
    assert all(_agreements(context.routers))


@then('with the policy "random" they disagree')
def _routers_disagree(context):
    assert not all(_agreements(_routers(5, context.runners, "random")))


@when(
    "each router has seen {least:d} to {most:d} requests of {slots:d} at each "
    "runner"
)
def _light_loads(context, least, most, slots):
    for number, router in enumerate(context.routers):
        rng = random.Random(number)
        for runner in context.runners:
            running = rng.randint(least, most)
            report = models.LoadReport(running, 0, slots, 0)
            router.observe_load(runner.name, report)


@when("runner {number:d} is leaving and the list still shows it")
def _runner_leaving(context, number):
    context.router.mark_leaving(f"r{number}", 30.0)
    context.router.set_runners(context.runners)


@when("runner {number:d} is gone and the list still shows it")
def _runner_gone(context, number):
    context.router.remove_runner(f"r{number}")
    context.router.set_runners(context.runners)


@when("the list omits and then shows runner {number:d} again")
def _list_flaps(context, number):
    rest = [r for r in context.runners if r.name != f"r{number}"]
    context.router.set_runners(rest)
    context.router.set_runners(context.runners)


@then("no route leads to runner {number:d}")
def _no_route(context, number):
    for seed in range(50):
        route = context.router.choose(_query((seed,), 64))
        assert route.runner.name != f"r{number}"


@then("there is no route because all are leaving")
def _all_leaving(context):
    answer = context.router.choose(_query())
    assert answer.reason is models.NoRunnerReason.ALL_LEAVING
    assert answer.retry_after_s > 0


@then("a query that excludes all but runner 1 goes to runner 1")
def _exclude_all_but_one(context):
    excluded = frozenset({"r0", "r2"})
    for seed in range(20):
        route = context.router.choose(_query((seed,), 64, excluded))
        assert route.runner.name == "r1"


@then("a query that excludes all runners has no route")
def _exclude_all(context):
    excluded = frozenset(r.name for r in context.runners)
    answer = context.router.choose(_query(excluded=excluded))
    assert answer.reason is models.NoRunnerReason.ALL_EXCLUDED


@when("runner 3 refuses each request and 200 requests come in 10 seconds")
def _refusing_runner(context):
    context.went = collections.Counter()
    router = context.router
    for number in range(200):
        name = router.choose(_query((number,), 64)).runner.name
        context.went[name] += 1
        router.request_started(str(number), name, _query())
        if name == "r3":
            router.request_finished(str(number), models.Outcome.FAILED)
        router.request_finished(str(number - 30), models.Outcome.DONE, 100)
        router._clock.advance(0.05)


@then("at most {count:d} of them went to runner 3")
def _few_requests(context, count):
    assert 0 < context.went["r3"] <= count


def _report_idle(router, number):
    for runner in router.runners:
        running = 0 if runner.name == f"r{number}" else 10
        report = models.LoadReport(running, 0, 16, age_s=2.0)
        for _ in range(50):
            router.observe_load(runner.name, report)


def _share_of(routers, name):
    sent = collections.Counter()
    for number in range(10):
        for router in routers:
            runner = router.choose(_query()).runner.name
            router.request_started(str(number), runner, _query())
            router._clock.advance(0.01)
            sent[runner] += 1
    return sent[name]


@when("an old report shows runner {number:d} idle and the others half full")
def _old_report(context, number):
    for router in context.routers:
        for n, runner in enumerate(context.runners):
            router.request_started(f"old{n}", runner.name, _query(tokens=0))
        router._clock.advance(3.0)
        _report_idle(router, number)


@then(
    "of 70 prompts sent before the next report at most {most:d} go to runner 4"
)
def _limited_herding(context, most):
    assert _share_of(context.routers, "r4") <= most


@then('with the policy "test_reported_idlest" all of them do')
def _naive_herding(context):
    routers = _routers(7, context.runners, "test_reported_idlest")
    for router in routers:
        router._policy.reports = {f"r{n}": 10.0 for n in range(9)}
        router._policy.reports["r4"] = 0.0
    assert _share_of(routers, "r4") == 70


@given("a router of data centre a, and {n:d} runners in each of a, b and c")
def _three_data_centres(context, n):
    context.clock = clocks.ManualClock()
    context.router = routing.Router(
        context.clock, random.Random(1), "vm", "a", "home_or_faster"
    )
    context.by_name = {}
    for place in "abc":
        for number in range(n):
            runner = _runner(f"{place}{number}")
            runner.data_centre = place
            context.by_name[runner.name] = runner
    context.router.set_runners(context.by_name.values())
    context.went = collections.Counter()


def _send_prompts(context, count):
    """Send prompts, each of which ends before the next one starts."""
    for number in range(count):
        route = context.router.choose(_query(tokens=500))
        name = route.runner.name
        context.went[context.by_name[name].data_centre] += 1
        context.router.request_started(str(number), name, _query(tokens=500))
        context.clock.advance(0.1)
        context.router.first_token(str(number))
        context.router.request_finished(str(number), models.Outcome.DONE)


@when("{count:d} prompts come while all runners are idle")
def _idle_runners(context, count):
    _send_prompts(context, count)


@when(
    "{count:d} prompts come while runners in a have {tokens:d} tokens to read"
)
def _busy_runners(context, count, tokens):
    context.router.observe_pending(
        {
            name: tokens
            for name, runner in context.by_name.items()
            if runner.data_centre == "a"
        }
    )
    _send_prompts(context, count)


@when("{count:d} prompts come after all runners in a but one have gone")
def _gone_runners(context, count):
    left = [
        runner
        for name, runner in context.by_name.items()
        if runner.data_centre != "a" or name == "ra0"
    ]
    context.router.set_runners(left)
    _send_prompts(context, count)


@then("all of them went to runners in a")
def _all_local(context):
    assert set(context.went) == {"a"}, context.went


@then("at least {least:d} of them went to runners in b or c")
def _most_remote(context, least):
    assert context.went["b"] + context.went["c"] >= least, context.went


@then("runners in b and c got calls, and so did the one in a")
def _all_data_centres(context):
    assert all(context.went[place] for place in "abc"), context.went
