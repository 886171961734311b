"""Steps for tests/runners/subset.feature."""

import collections

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever.runners import subset

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)


def _by_position(vms, runners, size):
    """The naive way: each VM takes the next stretch of the list."""
    return {
        (vm, runners[(number * size + step) % len(runners)])
        for number, vm in enumerate(vms)
        for step in range(size)
    }


def _pairs(subsets):
    return {(vm, r) for vm, kept in subsets.items() for r in kept.runners}


@given("the subsets of {vms:d} VMs over {n:d} runners, of size {size:d}")
def _subsets(context, vms, n, size):
    context.vms = [f"vm{number}" for number in range(vms)]
    context.runners = [f"r{number}" for number in range(n)]
    context.subsets = {vm: subset.Subset(vm, size) for vm in context.vms}
    for kept in context.subsets.values():
        kept.set_vms(context.vms)
        kept.set_runners(context.runners)


@when("one VM of the subsets goes")
def _goes(context):
    context.gone = context.vms[17]
    context.before = _pairs(context.subsets)
    left = [vm for vm in context.vms if vm != context.gone]
    del context.subsets[context.gone]
    for kept in context.subsets.values():
        kept.set_vms(left)


@then("each runner is in {count:d} subsets")
def _even(context, count):
    counts = collections.Counter(r for _, r in _pairs(context.subsets))
    assert set(counts) == set(context.runners)
    assert set(counts.values()) == {count}


@then("the subsets have between {least:d} and {most:d} runners")
def _sizes(context, least, most):
    sizes = [len(kept.runners) for kept in context.subsets.values()]
    assert least <= min(sizes) and max(sizes) <= most


def _changed(before, after, gone):
    kept = {pair for pair in before if pair[0] != gone}
    return 100 * len(kept ^ after) / len(kept)


@then("at most {percent:d} of 100 pairs of VM and runner changed")
def _stable(context, percent):
    after = _pairs(context.subsets)
    assert _changed(context.before, after, context.gone) <= percent


@then("with subsets by position more than {percent:d} of 100 pairs changed")
def _unstable(context, percent):
    left = [vm for vm in context.vms if vm != context.gone]
    before = _by_position(context.vms, context.runners, 20)
    after = _by_position(left, context.runners, 20)
    assert _changed(before, after, context.gone) > percent


@then("a subset after any changes equals one made from scratch")
def _incremental(context):
    names = strategies.sets(strategies.integers(0, 30), min_size=1)
    change = strategies.tuples(strategies.booleans(), names)

    @SETTINGS
    @hypothesis.given(strategies.lists(change, max_size=8))
    def check(changes):
        kept = subset.Subset("vm0", 4)
        vms, runners = {"vm0"}, set()
        for of_vms, numbers in changes:
            if of_vms:
                vms = {f"vm{n}" for n in numbers}
                kept.set_vms(vms)
            else:
                runners = {f"r{n}" for n in numbers}
                kept.set_runners(runners)
        anew = subset.Subset("vm0", 4)
        anew.set_runners(runners)
        anew.set_vms(vms)
        assert kept.runners == anew.runners

    check()
