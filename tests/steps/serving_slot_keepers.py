"""Steps for tests/serving/slot_keepers.feature."""

import asyncio
import random

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.serving import call_placement
from apricotlever.serving import configuration_model
from apricotlever.serving import messages
from apricotlever.serving import modes
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runners
from apricotlever.serving import slot_protocol
from apricotlever.serving import upstreams
from tests.serving import slot_fleet

#: Longer than any scenario, in seconds.
WAIT_S = 30.0


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, WAIT_S))


def _start_loop(context):
    context.loop = asyncio.Runner(loop_factory=slot_fleet.VirtualTimeLoop)
    context.closers.append(context.loop.close)


@given("{vms:d} VMs that share {count:d} runners with {slots:d} slots")
def _start(context, vms, count, slots):
    _start_loop(context)
    context.fleet = slot_fleet.Fleet(
        context.loop.get_loop(), vms, count, slots
    )


@given("the keeper {fault}")
def _break_keeper(context, fault):
    fleet = context.fleet
    keeper = fleet.keeper
    if fault in ("is dead", "is cut off"):
        fleet.cut(keeper)
    elif fault == "is slow":
        fleet.slow(keeper, 0.05)
    elif fault == "gets requests late":
        # The request arrives after the message that cancels it.
        fleet.delay(slot_fleet.ASK, fleet.keeper, 0.03)
    else:
        assert fault == "has its answers lost", fault
        fleet.lose(slot_fleet.GRANT)


@given("the VMs grant slots, and the runners {fault}")
def _grant_slots(context, fault):
    context.fleet.grant_slots()
    for runner in context.fleet.runners:
        if fault == "are gone":
            runner.stop()
        else:
            runner.behaviour_names = [fault]


@given("the VMs are split in two parts")
def _split(context):
    fleet = context.fleet
    sides = {fleet.addresses[n]: i % 2 for i, n in enumerate(fleet.names)}
    fleet.network.delays = lambda message, source, target: (
        [slot_fleet.DELAY_S] if sides[source] == sides[target] else []
    )
    fleet.set_parts([fleet.names[::2], fleet.names[1::2]])


@given("a third of the messages is lost, repeated or late")
def _disturb(context):
    rng = random.Random(1)
    faults = [[], [0.0005, 0.004], [0.03]] + 6 * [[0.0005]]
    context.fleet.network.delays = lambda *_: rng.choice(faults)


@when("the parts see each other again")
def _join(context):
    context.fleet.heal()
    context.fleet.set_parts([context.fleet.names])


@when("the network is as before")
def _heal(context):
    # Keepers that seemed to be silent are asked again after a second.
    _run(context, asyncio.sleep(1.1))
    context.fleet.heal()
    context.fleet.set_parts([context.fleet.names])


@when("all VMs send a call")
def _call_all(context):
    _run(context, context.fleet.call_many(9, 0.1, 0.001))


@when(
    "{count:d} calls arrive within {seconds:g} seconds and take {each:g} "
    "seconds each"
)
def _call_many(context, count, seconds, each):
    context.calls = count
    _run(context, context.fleet.call_many(count, seconds, each))


@when("a call arrives at another VM")
def _call_other(context):
    context.name = context.fleet.others[0]
    _run(context, context.fleet.call(context.name, 0.001))


@when("each VM gets a call whose caller waits for {seconds:g} seconds")
def _call_each(context, seconds):
    fleet = context.fleet

    async def call():
        _, pending = await asyncio.wait(
            [
                asyncio.ensure_future(fleet.call_at(index))
                for index in range(len(fleet.vms))
            ],
            timeout=seconds,
        )
        for task in pending:
            task.cancel()
        await asyncio.sleep(0.2)

    _run(context, call())


@then("slots were granted, and none is kept for a call")
def _check_all_released(context):
    parts = [vm.upstreams.slots for vm in context.fleet.vms]
    assert sum(part.grant_count for part in parts)
    assert not any(part.ledger.call_count for part in parts)


@when("releases are lost for 2 calls of a VM")
def _lose_releases(context):
    context.name = context.fleet.others[0]
    context.fleet.lose(slot_fleet.RELEASE)
    for _ in range(2):
        _run(context, context.fleet.call(context.name, 0.001))
    assert context.fleet.vms[context.fleet.keeper].ledger.call_count == 1
    context.fleet.heal()


@when("a call has the slot, and {count:d} more wait")
def _occupy(context, count):
    fleet = context.fleet

    async def occupy():
        context.lease = await fleet.ask(fleet.others[0])
        context.waiting = [
            asyncio.ensure_future(fleet.ask(fleet.others[number]))
            for number in range(1, count + 1)
        ]
        await asyncio.sleep(0.01)

    _run(context, occupy())
    assert context.lease.runner
    assert not any(task.done() for task in context.waiting)


@when("the caller of the first waiting call goes away")
def _cancel(context):
    context.waiting[0].cancel()
    _run(context, asyncio.sleep(0.005))


@when("the call that has the slot ends")
def _end(context):
    async def end():
        context.fleet.vms[context.fleet.others[0]].release(context.lease)

    _run(context, end())


@when("a VM has the slot for a call of {seconds:g} seconds and {fate}")
def _suffer(context, seconds, fate):
    fleet = context.fleet
    name = fleet.others[0]
    lease = _run(context, fleet.ask(name, left_s=seconds))
    assert lease.runner == "runner-1"
    if fate == "is frozen":
        fleet.cut(name)
        _run(context, asyncio.sleep(seconds + 0.01))
    elif fate == "ends":
        fleet.ended.add(name)
        fleet.set_parts([fleet.names])
    else:
        assert fate == "the runner is restarted", fate
        fleet.set_runners(["runner-1@2"], 1)


@when("the runner of a granted call rejects it")
def _reject(context):
    fleet = context.fleet
    name = fleet.others[0]
    context.lease = _run(context, fleet.ask(name))

    async def reject():
        fleet.vms[name].release(context.lease, rejected=True)
        await asyncio.sleep(0.002)

    _run(context, reject())


@then("no runner ever has more than {most:d} granted calls")
def _check_most(context, most):
    found = context.fleet.most
    assert found and max(found.values()) <= most, found


@then("all calls were granted a slot, some of them after a wait")
def _check_all_granted(context):
    results = context.fleet.results
    assert all(runner for runner, _, _ in results), results
    assert any(waited_s > 0.01 for _, waited_s, _ in results)


@then("no lease is left")
def _check_leases(context):
    _run(context, asyncio.sleep(0.06))
    assert not context.fleet.lease_counts(), context.fleet.lease_counts()


@then(
    "no lease is left, and 3 messages were sent for each call that did not "
    "wait"
)
def _check_messages(context):
    _check_leases(context)
    fleet = context.fleet
    local = [r for r in fleet.results if r[2].address is None]
    kinds = [message[0] for message in fleet.network.sent]
    remote = context.calls - len(local)
    assert kinds.count(slot_fleet.ASK) == remote
    assert kinds.count(slot_fleet.RELEASE) == remote
    waits = [
        message
        for message in fleet.network.sent
        if message[0] == slot_fleet.GRANT
        and message[2] == slot_protocol.Answer.WAITING
    ]
    assert kinds.count(slot_fleet.GRANT) == remote + len(waits)


@then("within {seconds:g} seconds the VM chooses a runner by itself")
def _check_alone(context, seconds):
    runner, waited_s, lease = context.fleet.results[0]
    assert lease is None and not runner
    assert waited_s <= seconds, waited_s
    assert context.fleet.vms[context.name].unanswered_count == 1


@then("its next call is granted by another VM")
def _check_next(context):
    if (
        context.fleet.network.delays([slot_fleet.GRANT], ("", 0), ("", 0))
        == []
    ):
        context.fleet.heal()
    _run(context, context.fleet.call(context.name, 0.001))
    runner, _, lease = context.fleet.results[-1]
    assert runner and lease.keeper != context.fleet.keeper


@then("the next calls of that VM are granted a slot")
def _check_made_up(context):
    for _ in range(3):
        _run(context, context.fleet.call(context.name, 0.001))
        assert context.fleet.results[-1][0]


@then("the last waiting call has the slot")
def _check_last(context):
    lease = _run(context, context.waiting[-1])
    assert lease.runner == "runner-1"


@then(
    "the waiting call ends without a slot after {least:g} to {most:g} seconds"
)
def _check_wait(context, least, most):
    lease = _run(context, context.waiting[0])
    waited_s = context.loop.get_loop().now() - lease.asked_at
    assert not lease.runner and least <= waited_s <= most, waited_s


@then("the slot is granted to another VM")
def _check_regranted(context):
    assert _run(context, context.fleet.ask(context.fleet.others[1])).runner


@then("the new process of the runner is granted to another VM")
def _check_new_process(context):
    lease = _run(context, context.fleet.ask(context.fleet.others[1]))
    assert lease.runner == "runner-1@2"


@then("the next {count:d} calls are granted the other runner")
def _check_passed_over(context, count):
    for _ in range(count):
        lease = _run(context, context.fleet.ask(context.fleet.others[1]))
        assert lease.runner and lease.runner != context.lease.runner


@then(
    "each part has a keeper that granted at most {most:d} calls at a time for "
    "a runner"
)
def _check_parts(context, most):
    _check_most(context, most)
    assert len({keeper for keeper, _ in context.fleet.most}) == 2


@then("nothing was sent")
def _check_silence(context):
    assert not context.fleet.network.sent


def _place_many(context, mode):
    """Place calls at one VM of nine, of which another one is the keeper.

    :param mode: None to exchange no messages.
    :returns: the runner of each call, and the sent messages.
    """
    clock = clocks.ManualClock()
    directory = directories.RunnerDirectory(clock)
    vm = upstreams.Upstreams(
        clock,
        random.Random(1),
        "vm-0",
        "dc",
        directory,
        "vm-0#1",
        part_modes=modes.PartModes(slots=mode or modes.Mode.ON),
    )
    for number in (1, 2, 3):
        directory.apply_entry(
            runners.Runner(
                f"r-{number}", "service", "h", number, "dc", 2, revision=1
            )
        )
    route = configuration_model.Route(
        "r",
        "h",
        "/",
        (("service", 1.0),),
        configuration_model.CallKind.IDEMPOTENT,
    )
    vm.configure(
        configuration_model.Configuration(
            1,
            [route],
            [configuration_model.Service("service", 100)],
            [],
            configuration_model.CallerLimits(),
        )
    )
    network = slot_fleet.Network()
    network.delays = lambda *_: []
    if mode is not None:
        vm.slots.enable_protocol(slot_fleet.Socket(network, ("vm-0", 1)))
    others = {f"vm-{n}": (f"vm-{n}", 1) for n in range(1, 9)}
    vm.slots.set_fleet(others, others, [], False, 9)

    async def place():
        chosen = []
        for number in range(40):
            call = messages.CallerCall(
                "POST", "/", "h", [], b"", "call", None, "", None, None, 0.0
            )
            placement = call_placement.CallPlacement(
                vm, call, route, "service"
            )
            found = await placement.place(frozenset(), 1.0)
            chosen.append(found.runner.runner_id)
            vm.call_started(f"{number}", found.runner, found.query)
            if number % 3:
                placement.end(found)
            clock.advance(0.001)
        return chosen

    return _run(context, place()), network.sent


@when("40 calls are placed in mode {mode}")
def _place(context, mode):
    _start_loop(context)
    context.chosen, context.sent = _place_many(context, modes.Mode(mode))


@then("they go to the same runners as without messages")
def _check_same(context):
    chosen, _ = _place_many(context, None)
    assert context.chosen == chosen


@then("{count:d} requests for slots were sent")
def _check_asks(context, count):
    asks = [m for m in context.sent if m[0] == slot_fleet.ASK]
    assert len(asks) == count, len(asks)
    moves = [
        message[4]
        for message in context.sent
        if message[0] == slot_fleet.RELEASE and message[4]
    ]
    # The keeper is told where a call went that was not granted a slot.
    assert moves == (context.chosen if count else []), moves
