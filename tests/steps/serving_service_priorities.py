"""Steps for tests/serving/service_priorities.feature."""

import random

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import engine_priority
from apricotlever.runners import model as models
from apricotlever.runners import routing
from apricotlever.serving import configuration_model
from apricotlever.serving import modes
from apricotlever.serving import service_priorities
from apricotlever.vms import shared_samples

RUNNERS = [f"r-{number}" for number in range(3)]
TOKENS_PER_S = 90000.0


def _route(rank):
    return configuration_model.Route(
        f"route-{rank}",
        "h",
        "/",
        (("s", 1.0),),
        configuration_model.CallKind.STREAM,
        objective_s=0.5,
        priority=rank,
    )


@given("priorities in mode {mode} with {what}")
def _priorities(context, mode, what):
    context.clock = clocks.ManualClock(50.0)
    context.router = routing.Router(
        context.clock, random.Random(1), "vm", "dc", "home_or_faster"
    )
    context.router.set_runners(
        models.Runner(name, name, "dc", "s", "", "", 1.0, 24)
        for name in RUNNERS
    )
    context.priorities = service_priorities.ServicePriorities(
        context.clock,
        context.router,
        lambda service: 1.0 / TOKENS_PER_S,
        lambda runner: 1.0,
        modes.Mode(mode),
    )
    context.buffer = shared_samples.SampleBuffer()
    context.priorities.send_samples(context.buffer)
    engine = configuration_model.Engine(24, 100000)
    ranks = (0, 2) if "0" in what else (2,)
    context.priorities.configure(
        configuration_model.Configuration(
            1,
            [_route(rank) for rank in ranks],
            [
                configuration_model.Service(
                    "s", 100, None if "no engine" in what else engine
                )
            ],
            [
                configuration_model.Customer(name, frozenset({name}))
                for name in "ab"
            ],
            configuration_model.CallerLimits(),
        )
    )
    for rank in (0, 2):
        _level(context, "a", 700, rank)


def _level(context, customer, tokens, rank):
    return context.priorities.level(
        "s",
        _route(rank),
        configuration_model.Customer(customer, frozenset()),
        tokens,
    )


@when("every runner has {tokens:d} waiting tokens")
def _wait(context, tokens):
    context.router.observe_pending(dict.fromkeys(RUNNERS, tokens))
    context.priorities.update()


@when('customer "{customer}" sends a prompt of {tokens:d} tokens')
def _send(context, customer, tokens):
    query = models.Query("route-2", "s", "", prompt_tokens=tokens)
    context.priorities.record_sent("s", customer, query, tokens)


@when(
    'customer "{customer}" sends {shorts:d} prompts of 700 tokens and 1 of '
    "9000"
)
def _send_mix(context, customer, shorts):
    for _ in range(shorts):
        _send(context, customer, 700)
    _send(context, customer, 9000)


@when(
    'other VMs report {one:d} calls of customer "{first}" and {two:d} of '
    '"{second}" and "{third}"'
)
def _report(context, one, first, two, second, third):
    reports = {first: one, second: two, third: two}
    context.priorities.merge_samples(
        {
            service_priorities.TOPIC: {
                f"s/{name}": [calls, calls * 2000]
                for name, calls in reports.items()
            }
        }
    )


@then(
    "a prompt of {tokens:d} tokens and rank {rank:d} has level {level:d} "
    "because of {cause}"
)
def _check_level(context, tokens, rank, level, cause):
    found = _level(context, "a", tokens, rank)
    assert (found.level, found.cause or "none") == (level, cause), (
        found.level,
        found.cause,
    )


@then(
    'a prompt of "{customer}" of {tokens:d} tokens and rank {rank:d} has '
    "level {level:d}"
)
def _check_customer_level(context, customer, tokens, rank, level):
    assert _level(context, customer, tokens, rank).level == level


def _values(context, name):
    return {
        label: value
        for (metric, _), values in context.priorities.metrics().items()
        if metric == name
        for label, value in values.items()
    }


@then("{count:d} levels were counted as changed")
def _check_changed(context, count):
    changed = _values(context, "levels_changed_total")
    assert sum(changed.values()) == count, changed


@then("no counts are sent to other VMs, and there are no metrics of services")
def _check_nothing(context):
    assert not context.buffer.take(9)
    assert not any(context.priorities.metrics().values())


@then("prompts of any size, rank and customer priority have the usual level")
def _check_usual(context):
    for tokens in (1, 1999, 2000, 20000):
        for rank in range(4):
            for priority in (None, 0, 1, 5):
                found = context.priorities.level(
                    "s",
                    _route(rank),
                    configuration_model.Customer("a", frozenset(), priority),
                    tokens,
                )
                usual = engine_priority.queue_level(priority, rank, tokens)
                assert (found.level, found.cause) == (usual, None)


@then('the demand of "{customer}" is unknown')
def _check_unknown(context, customer):
    assert f"s/{customer}" not in _values(context, "demand_calls")


@then(
    'the counts of "{customer}" are {calls:d} call and {tokens:d} tokens, '
    "here and for the others"
)
def _check_counts(context, customer, calls, tokens):
    key = f"s/{customer}"
    assert context.buffer.take(9) == {
        service_priorities.TOPIC: {key: [calls, tokens]}
    }
    assert _values(context, "demand_calls") == {key: calls}
    assert _values(context, "demand_tokens") == {key: tokens}


@then(
    "a continued call of priority {priority:d} and level {usual:d} has level "
    "{level:d}"
)
def _check_continued(context, priority, usual, level):
    customer = configuration_model.Customer("c", frozenset(), priority)
    found = service_priorities.continued_level(
        customer, service_priorities.QueueLevel(usual, None)
    )
    assert found.level == level, found.level
