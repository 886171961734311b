"""Steps for tests/runners/stream_origins.feature."""

import random

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.runners import routing

SERVICE = "service"
SLOTS = 16
BLOCKS = tuple(range(40))
FAILURES = 20
TRIES = 60


def _query():
    return models.Query(
        "entry",
        SERVICE,
        "model",
        BLOCKS,
        64 * len(BLOCKS),
        100,
        shared_blocks=len(BLOCKS) - 1,
        can_copy=True,
    )


def _continuation(version):
    origin = models.StreamOrigin(SERVICE, "" if version == "?" else version)
    return models.ContinuationQuery(_query(), origin)


def _chosen(router, query):
    """The numbers of all runners that the router chooses by turns."""
    found = set()
    for _ in range(TRIES):
        query.excluded = frozenset(f"r{number}" for number in found)
        route = router.choose(query)
        if isinstance(route, models.NoRunner):
            break
        found.add(int(route.runner.name[1:]))
    return found


def _numbers(text):
    return {int(number) for number in text.split()}


@given('a router with runners "{versions}"')
@given(
    'a router with runners "{versions}" of which "{outside}" are in no pool'
)
def _create(context, versions, outside=""):
    context.router = routing.Router(
        clocks.ManualClock(), random.Random(1), "vm", "a"
    )
    context.router.set_runners(
        models.Runner(
            f"r{number}",
            f"127.0.0.1:{number}",
            "a",
            "" if number in _numbers(outside) else SERVICE,
            "reclaimable",
            "m",
            1.0,
            SLOTS,
            _continuation(version).origin,
        )
        for number, version in enumerate(versions.split())
    )


@when("runner {number:d} fails often")
def _fail(context, number):
    for _ in range(FAILURES):
        context.router.record_failure(f"r{number}")


@when("runner {number:d} has a prompt cached")
def _cache(context, number):
    event = models.CacheEvent(0, True, BLOCKS)
    context.router.observe_cache(f"r{number}", models.CacheEvents((event,), 0))


@when("each runner has {count:d} requests in its 16 slots")
def _load(context, count):
    for runner in context.router.runners:
        for n in range(count):
            context.router.request_started(
                f"{runner.name}/{n}", runner.name, _query()
            )


@then('streams of {version} continue at runners "{numbers}"')
def _check_continues(context, version, numbers):
    version = "?" if version == "an unknown version" else version
    found = _chosen(context.router, _continuation(version))
    assert found == _numbers(numbers), found


@then("streams of {version} continue nowhere")
def _check_continues_nowhere(context, version):
    version = "?" if version == "an unknown version" else version
    assert _chosen(context.router, _continuation(version)) == set()


@then('requests begin at runners "{numbers}"')
def _check_begins(context, numbers):
    found = _chosen(context.router, _query())
    assert found == _numbers(numbers), found


@then("runner {number:d} copies it from nowhere")
def _check_no_source(context, number):
    assert context.router.fetch_source(_query(), f"r{number}") is None


@then("runner {number:d} copies it from runner {source:d}")
def _check_source(context, number, source):
    found = context.router.fetch_source(_query(), f"r{number}")
    assert found.name == f"r{source}", found


@then('the room of runners "{numbers}" is reserved')
@then('the room of runners "" is reserved')
def _check_reserved(context, numbers=""):
    found = context.router.reserved(_query())
    assert found == {f"r{number}" for number in _numbers(numbers)}, found
    assert not context.router.reserved(_continuation("v1"))
