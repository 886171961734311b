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
    """Naive baseline: each VM takes the next part of the runner list."""
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


@when("one of the VMs leaves")
def _vm_leaves(context):
    context.gone = context.vms[17]
    context.before = _pairs(context.subsets)
    left = [vm for vm in context.vms if vm != context.gone]
    del context.subsets[context.gone]
    for kept in context.subsets.values():
        kept.set_vms(left)


@then("each runner is in {count:d} subsets")
def _equal_counts(context, count):
    counts = collections.Counter(r for _, r in _pairs(context.subsets))
    assert set(counts) == set(context.runners)
    assert set(counts.values()) == {count}


@then("the subsets have between {least:d} and {most:d} runners")
def _size_range(context, least, most):
    sizes = [len(kept.runners) for kept in context.subsets.values()]
    assert least <= min(sizes) and max(sizes) <= most


def _changed_percent(before, after, gone):
    kept = {pair for pair in before if pair[0] != gone}
    return 100 * len(kept ^ after) / len(kept)


@then("at most {percent:d} of 100 pairs of VM and runner changed")
def _few_changes(context, percent):
    after = _pairs(context.subsets)
    assert _changed_percent(context.before, after, context.gone) <= percent


@then("with subsets by position more than {percent:d} of 100 pairs changed")
def _many_changes_by_position(context, percent):
    left = [vm for vm in context.vms if vm != context.gone]
    before = _by_position(context.vms, context.runners, 20)
    after = _by_position(left, context.runners, 20)
    assert _changed_percent(before, after, context.gone) > percent


@then("a subset after any changes equals a newly computed one")
def _equals_recomputed(context):
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
        recomputed = subset.Subset("vm0", 4)
        recomputed.set_runners(runners)
        recomputed.set_vms(vms)
        assert kept.runners == recomputed.runners

    check()
