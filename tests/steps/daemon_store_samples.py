"""Steps that sample versions for tests/daemon/store_outages.feature."""

import time

from behave import given
from behave import then
from behave import when
from standins import object_api

from tests.daemon import edits
from tests.daemon import followers
from tests.daemon import naive_follower
from tests.daemon import outages
from tests.standins import scenario_server
from tests.support import http


@given("the versions at each entry VM are sampled")
def _sampled(context):
    _sample(context, outages.addresses(context.scene))


def _sample(context, addresses):
    context.sampler = followers.Sampler(
        addresses, edits.edits_by_version(context)
    )
    context.closers.append(context.sampler.stop)


@then("no version decreased and none was partly in force")
def _no_problem(context):
    samples = context.sampler.stop()
    assert all(samples.values()), samples
    with_keys = [
        sample
        for vm_samples in samples.values()
        for sample in vm_samples
        if sample.accepted
    ]
    assert with_keys
    found = followers.problems(samples)
    assert not found, found


@given("a naive follower of a store with edit {edit:d}")
def _naive(context, edit):
    context.naive_address = scenario_server.serve_in_scenario(
        context, object_api.ObjectApi()
    )
    _store_naive(context, edit)
    context.follower = naive_follower.Follower(context.naive_address)
    context.closers.append(context.follower.close)


def _store_naive(context, edit):
    reply = http.call(
        context.naive_address,
        "PUT",
        f"/v1/objects/{outages.CURRENT}",
        {"value": followers.edited_catalogue(edit)},
    )
    edits.edits_by_version(context)[reply.payload["version"]] = edit


@given("the versions at the naive follower are sampled")
def _naive_sampled(context):
    address = scenario_server.serve_in_scenario(context, context.follower)
    _sample(context, {"naive": address})


@when("{count:d} edits are stored in a row")
def _in_a_row(context, count):
    for edit in range(2, count + 2):
        _store_naive(context, edit)
        time.sleep(0.05)


@when("the naive follower's store is restored with edit {edit:d}")
def _naive_restored(context, edit):
    restored = scenario_server.serve_in_scenario(
        context, object_api.ObjectApi()
    )
    context.naive_address = restored
    _store_naive(context, edit)
    context.follower.poll(restored)
    time.sleep(0.3)


@then("a version decreased and one was partly in force")
def _decreased(context):
    found = followers.problems(context.sampler.stop())
    assert any("after" in problem for problem in found), found
    assert any("with keys" in problem for problem in found), found
