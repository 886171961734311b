"""Steps for tests/adapter/lookups.feature."""

import asyncio
import collections
import json
import random

from behave import given
from behave import then
from behave import when

from apricotlever.serving import caller_channel
from apricotlever.serving import status_handlers
from apricotlever.vms import caller_addresses
from apricotlever.vms import vm_records

from adapter import callers

SEED = 5


class _Node:
    """A VM that knows all others of its fleet."""

    ready = True

    def __init__(self, own, addresses):
        self._own = own
        self._addresses = addresses

    def caller_addresses(self):
        """The addresses of all VMs."""
        peers = [
            vm_records.VmRecord(each, 1, 1, each, each, "dc", ready=True)
            for each in self._addresses
            if each != self._own
        ]
        return caller_addresses.listed(self._own, True, False, peers)


class _Reply:
    """Keeps the body of an answer."""

    def __init__(self, caller_host):
        self.caller_host = caller_host

    def send_whole(self, status, headers, body=b""):
        """Decode the list."""
        assert status == 200, status
        self.addresses = json.loads(body)["addresses"]


def _look_up(context, caller, own):
    dialect = callers.AdapterCallerDialect()
    node = _Node(own, context.addresses)
    handlers = status_handlers.StatusHandlers(node, dialect)
    raw = caller_channel.RawRequest(0.0)
    raw.target = dialect.lookup_path + "?name=a&zone=b"
    reply = _Reply(caller)
    asyncio.run(handlers.lookup(raw, reply))
    return reply.addresses


def _random_host(rng):
    return ".".join(str(rng.randrange(1, 255)) for _ in range(4))


@given("a fleet of {count:d} VMs")
def _create_fleet(context, count):
    context.rng = random.Random(SEED)
    context.addresses = [f"10.1.{n // 40}.{n % 40}:80" for n in range(count)]


@when("each of {count:d} callers looks VMs up at a VM of its own choice")
def _look_up_each(context, count):
    rng = context.rng
    context.lists = [
        _look_up(context, _random_host(rng), rng.choice(context.addresses))
        for _ in range(count)
    ]


@then("each list has {count:d} different addresses")
def _check_sizes(context, count):
    sizes = {len(set(each)) for each in context.lists}
    assert sizes == {count}, sizes


@then("each VM is in {least:g} to {most:g} times as many lists as the mean VM")
def _check_spread(context, least, most):
    counts = collections.Counter()
    for each in context.lists:
        counts.update(each)
    mean = counts.total() / len(context.addresses)
    found = [counts[each] / mean for each in context.addresses]
    assert least <= min(found) and max(found) <= most, (min(found), max(found))


@when("a caller looks VMs up at {count:d} VMs")
def _look_up_at(context, count):
    context.lists = [
        _look_up(context, "10.9.0.1", own)
        for own in context.rng.sample(context.addresses, count)
    ]


@then("all lists have the same addresses")
def _check_same(context):
    assert len({frozenset(each) for each in context.lists}) == 1


@when("a VM of a caller's list ends")
def _end_vm(context):
    own = context.addresses[0]
    context.before = set(_look_up(context, "10.9.0.1", own))
    ended = context.rng.choice(sorted(context.before - {own}))
    context.addresses.remove(ended)
    context.before.remove(ended)
    context.after = set(_look_up(context, "10.9.0.1", own))


@then("the caller's list has one new address, and the others stay")
def _check_stable(context):
    assert context.before < context.after, context.before - context.after
    assert len(context.after - context.before) == 1
