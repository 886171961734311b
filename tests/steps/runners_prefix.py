"""Steps for tests/runners/prefix.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever.runners import model as models
from apricotlever.runners import prefix
from tests.runners import naive

RUNNERS = ("a", "b", "c")
CHAINS = strategies.lists(
    strategies.integers(0, 3), min_size=1, max_size=6
).map(lambda path: tuple(hash(tuple(path[: n + 1])) for n in range(len(path))))
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("route", "store", "remove")),
        strategies.sampled_from(RUNNERS),
        CHAINS,
    ),
    max_size=40,
)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)


@then("two prompts share exactly the prefix hashes of their common blocks")
def _shared_hashes(context):
    @SETTINGS
    @hypothesis.given(
        strategies.binary(max_size=1200), strategies.integers(0, 1300)
    )
    def check(data, change):
        text = data.decode("latin-1")
        other = text[:change] + "#" + text[change + 1 :]
        ours = prefix.block_hashes("m", text)
        theirs = prefix.block_hashes("m", other)
        same = min(len(ours), len(theirs))
        for depth in range(same):
            end = (depth + 1) * prefix.BLOCK_BYTES
            equal = text.encode()[:end] == other.encode()[:end]
            assert (ours[depth] == theirs[depth]) == equal
        assert len(ours) == len(text.encode()) // prefix.BLOCK_BYTES

    check()
    long_text = "x" * 2 * prefix.BLOCK_BYTES
    first = prefix.block_hashes("m", long_text)
    assert not set(first) & set(prefix.block_hashes("n", long_text))


@then("prefix claims equal those of plain sets after any complete events")
def _equal_claims(context):
    @SETTINGS
    @hypothesis.given(STEPS, CHAINS)
    def check(steps, asked):
        index = prefix.PrefixIndex()
        plain = naive.PrefixSets()
        for runner in RUNNERS:
            index.add_runner(runner)
        numbers = dict.fromkeys(RUNNERS, 0)
        for kind, runner, blocks in steps:
            if kind == "route":
                index.claim(runner, blocks)
                plain.add(runner, blocks)
                continue
            event = models.CacheEvent(numbers[runner], kind == "store", blocks)
            numbers[runner] += 1
            index.observe(runner, models.CacheEvents((event,), event.seq))
            change = plain.add if event.stored else plain.remove
            change(runner, blocks)
        expected = index.expected(asked)
        for runner in RUNNERS:
            assert expected.get(runner, 0) == plain.depth(runner, asked)

    check()


@given("a prefix index of {blocks:d} blocks for each of 3 runners")
def _bounded_index(context, blocks):
    context.index = prefix.PrefixIndex(blocks)
    for runner in RUNNERS:
        context.index.add_runner(runner)


@when("{count:d} prompts of 8 blocks are routed to each of its runners")
def _route_many(context, count):
    for number in range(count):
        for runner in RUNNERS:
            context.index.claim(
                runner, tuple(range(number * 8, number * 8 + 8))
            )


@then("the prefix index holds at most {count:d} claims")
def _claim_limit(context, count):
    assert 0 < context.index.claims <= count


@given("a runner whose cache held {count:d} blocks of a prefix")
def _cached_prefix(context, count):
    context.blocks = tuple(range(1, count + 1))
    context.index = prefix.PrefixIndex()
    context.plain = naive.PrefixSets()
    context.index.add_runner("a")
    stored = models.CacheEvent(0, True, context.blocks)
    others = [
        models.CacheEvent(n, n % 2 == 0, (1000 + n,)) for n in range(1, 40)
    ]
    answer = models.CacheEvents((stored, *others), 39)
    context.index.observe("a", answer)
    context.plain.add("a", context.blocks)


@when("{count:d} of its cache events, half of them removals, are lost")
def _lost_events(context, count):
    event = models.CacheEvent(40 + count, True, (5000,))
    context.index.observe("a", models.CacheEvents((event,), event.seq))


@when("its cache events start again from the first number")
def _events_restart(context):
    event = models.CacheEvent(0, True, (5000,))
    context.index.observe("a", models.CacheEvents((event,), 0))


@then("the prefix index expects less than {count:d} of the blocks")
def _expects_less(context, count):
    assert context.index.expected(context.blocks)["a"] < count


@then("the plain sets still expect {count:d} of the blocks")
def _sets_expect(context, count):
    assert context.plain.depth("a", context.blocks) == count


@then("the prefix index expects none of the blocks")
def _expects_none(context):
    assert not context.index.expected(context.blocks)
