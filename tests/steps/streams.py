"""Steps for tests/streams."""

import collections

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.streams import keeper_ring
from apricotlever.streams import origin_table
from apricotlever.streams import version_history


def _key(name, customer="customer"):
    return origin_table.stream_key(customer, name)


def _origins(text):
    return [models.StreamOrigin(*each.split("@")) for each in text.split()]


@given("a table of origins")
@given("a table of origins with room for {count:d} records")
def _create_table(context, count=100):
    context.clock = clocks.ManualClock()
    context.origins = origin_table.OriginTable(context.clock, count)


@when('stream "{name}" is recorded at {version} for {life_s:d} seconds')
@when(
    'stream "{name}" is recorded at {version} for {life_s:d} seconds, '
    "{age_s:d} seconds ago"
)
def _record(context, name, version, life_s, age_s=0):
    origin = models.StreamOrigin("service", version)
    context.origins.add(_key(name), origin, life_s, age_s)


@when('streams "{names}" are recorded')
def _record_all(context, names):
    for name in names.split():
        _record(context, name, "v1", 10)


@when("{seconds:d} seconds go by")
def _wait(context, seconds):
    context.clock.advance(seconds)
    if "history" in context:
        context.history.expire()


@then('stream "{name}" began at {version}')
def _check_known(context, name, version):
    record = context.origins.get(_key(name))
    assert record.origin == models.StreamOrigin("service", version)


@then('nothing is known of stream "{name}"')
def _check_unknown(context, name):
    assert context.origins.get(_key(name)) is None


@then("the table has {count:d} records")
def _check_count(context, count):
    assert len(context.origins) == count, len(context.origins)


@then("the table has {count:d} records after it expired")
def _check_expired(context, count):
    context.origins.expire()
    _check_count(context, count)


@then('the keys of customers "{one}" and "{other}" for "{call}" differ')
def _check_customers(context, one, other, call):
    assert _key(call, one) != _key(call, other)


@then('the keys of customers "{one}" with "{call}" and "{other}" differ')
def _check_joined(context, one, call, other):
    name, rest = other.split(" with ")
    assert _key(call, one) != _key(rest, name)


@given("a history of versions")
def _create_history(context):
    context.clock = clocks.ManualClock()
    context.history = version_history.VersionHistory(context.clock)


@when('runners "{origins}" serve')
def _serve(context, origins):
    context.history.observe(_origins(origins))


@then(
    'streams of "{service}" of the last {seconds:d} seconds began at '
    '"{origins}"'
)
def _check_seen(context, service, seconds, origins):
    seen = context.history.seen([service], seconds)
    assert seen == frozenset(_origins(origins)), seen


@then('"{service}" may have streams of several versions')
def _check_several(context, service):
    assert context.history.has_several(service)


@then('"{service}" may not have streams of several versions')
def _check_sole(context, service):
    assert not context.history.has_several(service)


@given("a fleet of {count:d} VMs in {data_centres:d} data centres")
def _create_ring(context, count, data_centres):
    context.vms = {f"vm-{n}": f"dc-{n % data_centres}" for n in range(count)}
    context.ring = keeper_ring.KeeperRing()
    context.ring.set_vms(context.vms)


@then(
    "each of {count:d} keys has {keepers:d} keepers in {data_centres:d} data "
    "centres"
)
def _check_keepers(context, count, keepers, data_centres):
    for n in range(count):
        found = context.ring.keepers(_key(str(n)), "")
        assert len(set(found)) == keepers, found
        assert len({context.vms[vm] for vm in found}) == data_centres, found


@then("no VM keeps the records of its own streams")
def _check_own(context):
    for vm in context.vms:
        for n in range(100):
            assert vm not in context.ring.keepers(_key(str(n)), vm)


@then("no key has a keeper")
def _check_none(context):
    assert context.ring.keepers(_key("a"), "") == []
    assert context.ring.candidates(_key("a")) == []


@then("each of {count:d} keys is found after any VM is {change}")
def _check_views(context, count, change):
    changed = keeper_ring.KeeperRing()
    changes = context.vms if change == "lost" else [f"n-{n}" for n in range(9)]
    for name in changes:
        vms = dict(context.vms)
        if change == "lost":
            del vms[name]
        else:
            vms[name] = "dc-0"
        changed.set_vms(vms)
        for n in range(count):
            key = _key(str(n))
            sender = f"vm-{n % len(context.vms)}"
            kept = set(context.ring.keepers(key, sender)) | {sender}
            kept.discard(name)
            assert kept & set(changed.candidates(key)), (name, n)


@then("no VM keeps more than {factor:d} times the mean of {count:d} records")
def _check_even(context, factor, count):
    kept = collections.Counter(
        vm
        for n in range(count)
        for vm in context.ring.keepers(_key(str(n)), "")
    )
    mean = sum(kept.values()) / len(context.vms)
    assert max(kept.values()) <= factor * mean, kept.most_common(3)
