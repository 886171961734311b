"""Steps for tests/serving/limit_protocol.feature."""

import asyncio
import socket
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgpack

from apricotlever import clock as clocks
from apricotlever.serving import configuration_model
from apricotlever.serving import customer_limits
from apricotlever.serving import limit_protocol
from apricotlever.serving import log_rate_limiter

HOST = "127.0.0.1"
#: The limit in units per second and its burst in units. The rate is so low
#: that no units are refilled during a scenario.
RATE = 0.001
BURST = 100000.0
BAD = {
    "malformed bytes": b"\xc1\xff",
    "a list with wrong types": msgpack.packb([0, "x", 3, 4]),
    "negative units": msgpack.packb([0, 1, "clerks", -5.0]),
    "an unknown kind of message": msgpack.packb([9, 1, "clerks", 5.0]),
    "a request of a stranger": msgpack.packb([0, 1, "clerks", 5.0]),
}


class _Vm:
    """One VM's limits and protocol."""

    def __init__(self, name, clock):
        self.name = name
        self.limits = customer_limits.CustomerLimits(
            clock, 0.0, 0.0, f"{name}#1", name
        )
        self.calls = limit_protocol.LimitProtocol(
            self, self.is_peer, log_rate_limiter.LogRateLimiter(clock)
        )
        self.silent = False
        self.late = None
        self.accepts_peers = True
        customer = configuration_model.Customer(
            "clerks", frozenset({"k"}), rate=RATE, burst=BURST
        )
        self.limits.configure(
            configuration_model.Configuration(
                1, [], [], [customer], configuration_model.CallerLimits()
            )
        )

    def admit_for_peer(self, customer, units):
        """Admit a call of another VM."""
        return self.limits.admit_for_peer(customer, units)

    def refund_units(self, customer, units):
        """Refund the units of a call."""
        self.limits.refund_units(customer, units)

    def receive_early_total(self, process, customer, total):
        """Receive another VM's total."""
        self.limits.receive_early_total(process, customer, total)

    def is_peer(self, host):
        """Whether messages of a host are accepted."""
        return self.accepts_peers

    @property
    def counted(self):
        """Units that this VM has admitted."""
        return self.limits.admitted_units["clerks"]


def _keeper_of(names):
    """Name of the VM that keeps the customer's limit."""
    found = customer_limits.limit_keepers.LimitKeepers(
        clocks.ManualClock(), names[0]
    )
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
    _initialize(context, 50000.0)


def _initialize(context, left):
    """Let both VMs know the limit's level and hear from a third VM."""
    for vm in (context.keeper, context.asker):
        vm.limits.initialize_levels({"clerks": left})
        vm.limits.set_members(frozenset({"other#1"}))
        vm.limits.receive_totals("other#1", {})
    # In its first second, a process uses only a fraction of the limit.
    context.clock.advance(2.0)
    for vm in (context.keeper, context.asker):
        vm.limits.receive_totals("other#1", {})
        vm.limits.set_members(frozenset({"other#1"}))


def _run(context, work):
    async def run():
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

    asyncio.run(run())


@when("{count:d} calls of {units:d} units arrive where the limit has {room}")
def _arrive(context, count, units, room):
    if room == "room":
        names = context.keeper.name, context.asker.name
        context.keeper, context.asker = (
            _Vm(name, context.clock) for name in names
        )
        _initialize(context, BURST)
    context.before = 0.0
    context.level = context.keeper.limits.rate_limit(_customer()).level

    async def work():
        for _ in range(count):
            permit = await context.asker.limits.admit("clerks", float(units))
            assert permit.wait_s == 0.0, permit.wait_s

    _run(context, work)


def _customer():
    return configuration_model.Customer(
        "clerks", frozenset({"k"}), rate=RATE, burst=BURST
    )


@when("a call that the keeper admitted did not run")
def _not_run(context):
    context.before = 0.0

    async def work():
        permit = await context.asker.limits.admit("clerks", 100.0)
        assert permit.keeper == context.keeper.name
        context.asker.limits.refund(permit)

    _run(context, work)


@then("the keeper has counted {kept:d} units and the asking VM none")
def _kept(context, kept):
    _counted(context, kept, 0)


@then("the keeper has counted {kept:d} units and the asking VM {own:d}")
def _counted(context, kept, own):
    found = (
        context.keeper.counted,
        context.asker.counted - getattr(context, "before", 0.0),
    )
    assert found == (kept, own), found


@then("the asking VM has counted {own:d} units")
def _own(context, own):
    assert context.asker.counted == own, context.asker.counted


@when("a call of {units:d} units arrives while the keeper does not answer")
def _no_answer(context, units):
    async def work():
        context.keeper.accepts_peers = False
        permit = await context.asker.limits.admit("clerks", float(units))
        assert permit.wait_s == 0.0 and not permit.keeper
        context.again = await context.asker.limits.admit("clerks", 0.0)

    _run(context, work)


@then("it asks another VM next time")
def _another(context):
    assert context.asker.calls.request_count == 1 and not context.again.keeper


@when("a call of {units:d} units arrives while the keeper has just started")
def _started(context, units):
    context.keeper.limits = customer_limits.CustomerLimits(
        context.clock, 0.0, 0.0, "new#2", context.keeper.name
    )

    context.keeper.calls._keeper = mock.Mock(wraps=context.keeper.limits)

    async def work():
        permit = await context.asker.limits.admit("clerks", float(units))
        assert not permit.keeper

    _run(context, work)


@when("the keeper's answer arrives late")
def _late(context):
    context.before = 0.0

    async def work():
        keeper, asker = context.keeper, context.asker
        keeper.accepts_peers = False
        permit = await asker.limits.admit("clerks", 100.0)
        assert not permit.keeper
        keeper.accepts_peers = True
        request = msgpack.packb([limit_protocol.ASK, 0, "clerks", 100.0])
        keeper.calls.datagram_received(request, (HOST, asker.calls.port))

    _run(context, work)


@when("the keeper is sent {what}")
def _sent(context, what):
    async def work():
        context.keeper.accepts_peers = what != "a request of a stranger"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(BAD[what], (HOST, context.keeper.calls.port))
        for _ in range(10):
            await asyncio.sleep(0.005)
        context.counted_for_invalid = context.keeper.counted
        context.keeper.accepts_peers = True
        context.permit = await context.asker.limits.admit("clerks", 100.0)

    _run(context, work)


@then("it has counted nothing and still answers valid requests")
def _still_answers(context):
    assert context.counted_for_invalid == 0.0
    assert context.permit.keeper == context.keeper.name


@then("the keeper is told of the {units:d} units before any record arrives")
def _told(context, units):
    context.keeper.calls._keeper.receive_early_total.assert_called_once_with(
        f"{context.asker.name}#1", "clerks", units
    )
