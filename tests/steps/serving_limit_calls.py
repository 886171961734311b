"""Steps for tests/serving/limit_calls.feature."""

import asyncio
import socket
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgpack

from apricotlever import clock as clocks
from apricotlever.serving import limit_calls
from apricotlever.serving import limits
from apricotlever.serving import log_limit
from apricotlever.serving import routes

HOST = "127.0.0.1"
#: Units a second and burst; so slow that nothing is refilled meanwhile.
RATE = 0.001
BURST = 100000.0
BAD = {
    "bytes of no form": b"\xc1\xff",
    "a list of other things": msgpack.packb([0, "x", 3, 4]),
    "units below zero": msgpack.packb([0, 1, "clerks", -5.0]),
    "an unknown kind": msgpack.packb([9, 1, "clerks", 5.0]),
    "a question of a stranger": msgpack.packb([0, 1, "clerks", 5.0]),
}


class _Vm:
    """One VM's limits, and what asks and answers for it."""

    def __init__(self, name, clock):
        self.name = name
        self.limits = limits.Limits(clock, 0.0, 0.0, f"{name}#1", name)
        self.calls = limit_calls.LimitCalls(
            self, self.is_peer, log_limit.LogLimit(clock)
        )
        self.silent = False
        self.late = None
        self.peers = True
        customer = routes.Customer(
            "clerks", frozenset({"k"}), rate=RATE, burst=BURST
        )
        self.limits.configure(
            routes.Configuration(1, [], [], [customer], routes.CallerLimits())
        )

    def take_for(self, customer, units):
        """Let a call of another VM in."""
        return self.limits.take_for(customer, units)

    def given_back(self, customer, units):
        """A call did not run."""
        self.limits.given_back(customer, units)

    def heard_total(self, process, customer, total):
        """Another VM has counted calls."""
        self.limits.heard_total(process, customer, total)

    def is_peer(self, host):
        """Whether it may ask."""
        return self.peers

    @property
    def counted(self):
        """Units that this VM let in."""
        return self.limits.admitted_units["clerks"]


def _keeper_of(names):
    """Who keeps the customer's limit."""
    found = limits.limit_keepers.LimitKeepers(clocks.ManualClock(), names[0])
    found.set_other_vms(names[1:])
    return found.keeper("clerks")


@given("two VMs of which the other one keeps a customer's limit")
def _two(context):
    context.clock = clocks.ManualClock()
    names = ["vm-1", "vm-2"]
    keeper = _keeper_of(names)
    asker = next(name for name in names if name != keeper)
    context.keeper = _Vm(keeper, context.clock)
    context.asker = _Vm(asker, context.clock)
    _learn(context, 50000.0)


def _learn(context, left):
    """Both know what is left, and hear another VM."""
    for vm in (context.keeper, context.asker):
        vm.limits.initialize_levels({"clerks": left})
        vm.limits.set_members(frozenset({"other#1"}))
        vm.limits.receive_totals("other#1", {})
    # In its first second a process counts on a part of the limit only.
    context.clock.advance(2.0)
    for vm in (context.keeper, context.asker):
        vm.limits.receive_totals("other#1", {})
        vm.limits.set_members(frozenset({"other#1"}))


def _play(context, work):
    async def play():
        keeper, asker = context.keeper, context.asker
        for vm in (keeper, asker):
            await vm.calls.listen(HOST, 0)
            vm.limits.enable_keepers(vm.calls)
        asker.limits.set_keepers({keeper.name: (HOST, keeper.calls.port)})
        try:
            await work()
            for _ in range(20):
                await asyncio.sleep(0.005)
        finally:
            keeper.calls.close()
            asker.calls.close()

    asyncio.run(play())


@when("{count:d} calls of {units:d} units come where the limit has {room}")
def _come(context, count, units, room):
    if room == "room":
        names = context.keeper.name, context.asker.name
        context.keeper, context.asker = (
            _Vm(name, context.clock) for name in names
        )
        _learn(context, BURST)
    context.before = 0.0
    context.level = context.keeper.limits.of(_customer()).level

    async def work():
        for _ in range(count):
            permit = await context.asker.limits.let_in("clerks", float(units))
            assert permit.wait_s == 0.0, permit.wait_s

    _play(context, work)


def _customer():
    return routes.Customer("clerks", frozenset({"k"}), rate=RATE, burst=BURST)


@when("a call that the keeper let in did not run")
def _not_run(context):
    context.before = 0.0

    async def work():
        permit = await context.asker.limits.let_in("clerks", 100.0)
        assert permit.keeper == context.keeper.name
        context.asker.limits.give_back(permit)

    _play(context, work)


@then("the keeper has counted {kept:d} units and the VM that asked none")
def _kept(context, kept):
    _counted(context, kept, 0)


@then("the keeper has counted {kept:d} units and the VM that asked {own:d}")
def _counted(context, kept, own):
    found = (
        context.keeper.counted,
        context.asker.counted - getattr(context, "before", 0.0),
    )
    assert found == (kept, own), found


@then("the VM that asked has counted {own:d} units")
def _own(context, own):
    assert context.asker.counted == own, context.asker.counted


@when("the keeper says nothing and a call of {units:d} units comes")
def _nothing(context, units):
    async def work():
        context.keeper.peers = False
        permit = await context.asker.limits.let_in("clerks", float(units))
        assert permit.wait_s == 0.0 and not permit.keeper
        context.again = await context.asker.limits.let_in("clerks", 0.0)

    _play(context, work)


@then("it asks another one next time")
def _another(context):
    assert context.asker.calls.request_count == 1 and not context.again.keeper


@when("the keeper has just started and a call of {units:d} units comes")
def _started(context, units):
    context.keeper.limits = limits.Limits(
        context.clock, 0.0, 0.0, "new#2", context.keeper.name
    )

    context.keeper.calls._keeper = mock.Mock(wraps=context.keeper.limits)

    async def work():
        permit = await context.asker.limits.let_in("clerks", float(units))
        assert not permit.keeper

    _play(context, work)


@when("the keeper's answer comes late")
def _late(context):
    context.before = 0.0

    async def work():
        keeper, asker = context.keeper, context.asker
        keeper.peers = False
        permit = await asker.limits.let_in("clerks", 100.0)
        assert not permit.keeper
        keeper.peers = True
        question = msgpack.packb([limit_calls.ASK, 0, "clerks", 100.0])
        keeper.calls.datagram_received(question, (HOST, asker.calls.port))

    _play(context, work)


@when("the keeper is sent {what}")
def _sent(context, what):
    async def work():
        context.keeper.peers = what != "a question of a stranger"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(BAD[what], (HOST, context.keeper.calls.port))
        for _ in range(10):
            await asyncio.sleep(0.005)
        context.wrongly = context.keeper.counted
        context.keeper.peers = True
        context.permit = await context.asker.limits.let_in("clerks", 100.0)

    _play(context, work)


@then("it has counted nothing and goes on answering")
def _goes_on(context):
    assert context.wrongly == 0.0
    assert context.permit.keeper == context.keeper.name


@then("the keeper is told of the {units:d} before any record comes")
def _told(context, units):
    context.keeper.calls._keeper.heard_total.assert_called_once_with(
        f"{context.asker.name}#1", "clerks", units
    )
