"""Steps for tests/serving/limit_protocol.feature."""

import asyncio
import random
import socket
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgpack

from apricotlever import clock as clocks
from apricotlever.contracts import fleet_rate_limit
from apricotlever.contracts import return_slots
from apricotlever import log_rate_limiter
from apricotlever.serving import configuration_model
from apricotlever.serving import customer_limits
from apricotlever.serving import limit_protocol
from apricotlever.serving import modes

#: The largest hash of a call.
LARGEST_HASH = 2**64 - 1

HOST = "127.0.0.1"
#: The limit in units per second and its burst in units. The rate is so low
#: that no units are refilled during a scenario.
RATE = 0.001
BURST = 100000.0
BAD = {
    "malformed bytes": b"\xc1\xff",
    "a list with wrong types": msgpack.packb([0, "x", 3, 4]),
    "negative units": msgpack.packb([0, 1, "clerks", -5.0]),
    "a hash that is no number": msgpack.packb([0, 1, "clerks", 5.0, 1, "x"]),
    "an unknown kind of message": msgpack.packb([9, 1, "clerks", 5.0]),
    "a request of a stranger": msgpack.packb([0, 1, "clerks", 5.0]),
}


class _Vm:
    """One VM's limits and protocol."""

    def __init__(self, name, clock, mode=modes.Mode.ON):
        self.name = name
        self.limits = customer_limits.CustomerLimits(
            clock, 0.0, 0.0, f"{name}#1", name, mode
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

    def admit_for_peer(self, customer, units, call=None):
        """Admit a call of another VM."""
        return self.limits.admit_for_peer(customer, units, call)

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


def _sent_requests(context, work):
    """Run the work and return the requests that were sent."""
    with mock.patch.object(
        limit_protocol.msgpack, "packb", wraps=msgpack.packb
    ) as packb:
        _run(context, work)
    messages = [call.args[0] for call in packb.call_args_list]
    return [each for each in messages if each[0] == limit_protocol.ASK]


@when("a call of {units:d} units without a hash arrives")
def _without_hash(context, units):
    async def work():
        context.permit = await context.asker.limits.admit("clerks", units)

    context.requests = _sent_requests(context, work)


@then("the request on the wire has 4 fields and is answered")
def _four_fields(context):
    assert context.requests == [[limit_protocol.ASK, 0, "clerks", 100]]
    assert context.permit.keeper == context.keeper.name


@when("a refused call returns at its time, behind a new call, in mode {mode}")
def _return_in_mode(context, mode):
    keeper = context.keeper.name
    context.keeper = _Vm(keeper, context.clock, modes.Mode(mode))
    _initialize(context, 0.0)
    call = return_slots.ReturningCall(LARGEST_HASH, 1e6)
    admit = context.asker.limits.admit

    async def work():
        permit = await admit("clerks", 100.0, call)
        assert permit.wait_s > 0.0 and permit.keeper == keeper
        context.clock.advance(permit.wait_s)
        # The last record of the third VM is old by now.
        context.keeper.limits.receive_totals("other#1", {})
        level = context.keeper.limits.rate_limit(_customer()).level
        context.permits = {
            "new one": await admit(
                "clerks",
                level,
                return_slots.ReturningCall(LARGEST_HASH - 1, 1e6),
            ),
            "returning one": await admit("clerks", 100.0, call),
        }

    _run(context, work)


@then(
    "the {first} is admitted by the keeper, which counts {given:d} retry times"
)
def _first_admitted(context, first, given):
    admitted = {k for k, v in context.permits.items() if v.wait_s == 0.0}
    assert admitted == {first}, admitted
    assert {v.keeper for v in context.permits.values()} == {
        context.keeper.name
    }
    metrics = context.keeper.limits.return_metrics
    assert metrics["return_times_given_total"] >= given
    assert given or not any(metrics.values())


@then(
    "{count:d} calls and retries in modes off and observe get the limit's "
    "answers"
)
def _same_decisions(context, count):
    rng = random.Random(5)
    clock = clocks.ManualClock()
    vms = [_Vm("vm", clock, modes.Mode(mode)) for mode in ("off", "observe")]
    plain = fleet_rate_limit.FleetRateLimit(clock, 100.0, 100.0)
    rates = [vm.limits.rate_limit(_customer()) for vm in vms]
    clock.advance(20.0)
    for rate in [plain, *rates]:
        rate.set_limit(100.0, 100.0)
        rate.tick()
    # The buckets fill, as all processes use the whole limit by now.
    clock.advance(20.0)
    for _ in range(count):
        clock.advance(rng.expovariate(30.0))
        units, key = rng.uniform(1.0, 20.0), rng.randrange(40)
        call = return_slots.ReturningCall(key, rng.choice([0.5, 5.0]))
        wait_s = plain.take(units, for_all=True)
        for vm in vms:
            got = vm.admit_for_peer("clerks", units, call)
            assert got == wait_s, (got, wait_s)
    observed = vms[1].limits.return_metrics
    assert observed["return_times_given_total"] > 100, observed


@when("two calls with a hash arrive while the keeper knows no hashes")
def _old_keeper(context):
    keeper, asker = context.keeper, context.asker
    keeper.calls.add_handler(
        limit_protocol.ASK,
        limit_protocol._IS_ASK,
        keeper.calls._receive_request,
    )
    call = return_slots.ReturningCall(LARGEST_HASH, 1e6)
    context.permits = []

    async def work():
        for _ in range(2):
            context.permits.append(
                await asker.limits.admit("clerks", 100.0, call)
            )
            # A keeper that did not answer is skipped for a second.
            context.clock.advance(limit_protocol.ANSWER_TIMEOUT_S + 1.0)
            asker.limits.set_keepers({keeper.name: (HOST, keeper.calls.port)})

    _run(context, work)


@then("the first is decided by the asking VM and the second by the keeper")
def _decided_by(context):
    names = [permit.keeper for permit in context.permits]
    assert names == ["", context.keeper.name], names


@when("a keeper that has answered leaves a request with a hash unanswered")
def _one_lost(context):
    keeper, calls = context.keeper, context.asker.calls
    call = return_slots.ReturningCall(LARGEST_HASH, 1.0)

    async def work():
        address = (HOST, keeper.calls.port)
        for accepts in (True, False, True):
            keeper.accepts_peers = accepts
            try:
                await calls.request_admission(address, "clerks", 1.0, call)
            except TimeoutError:
                assert not accepts

    context.requests = _sent_requests(context, work)


@then("the next request has 6 fields")
def _six_fields(context):
    assert context.requests[-1] == [0, 2, "clerks", 1.0, 1.0, LARGEST_HASH]


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
