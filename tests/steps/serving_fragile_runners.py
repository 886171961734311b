"""Steps for tests/serving/fragile_runners.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever.runners import statements
from apricotlever.serving import configuration_model
from apricotlever.serving import fragile_runner_protocol as protocols
from tests.serving import fragile_fleet
from tests.serving import slot_fleet

#: Longer than any scenario, in seconds of the virtual loop.
WAIT_S = 60.0


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, WAIT_S))


def _start(context, vms, runners):
    context.loop = asyncio.Runner(loop_factory=slot_fleet.VirtualTimeLoop)
    context.closers.append(context.loop.close)
    context.fleet = fragile_fleet.Fleet(context.loop.get_loop(), vms, runners)
    context.runner = runners[0]
    context.seconds = 0.0


@given(
    "{vms:d} VMs that share a runner that takes {room:d} calls and is sound"
)
def _start_sound(context, vms, room):
    _start(context, vms, [fragile_fleet.Runner("runner-1", room, None)])


@given(
    "{vms:d} VMs that share a runner that takes {room:d} calls and bears "
    "{bears:d}"
)
def _start_fragile(context, vms, room, bears):
    _start(context, vms, [fragile_fleet.Runner("runner-1", room, bears)])


@given(
    "{vms:d} VMs that share {count:d} runners that take {room:d} calls and "
    "bear {bears:d}"
)
def _start_several(context, vms, count, room, bears):
    names = [f"runner-{number}" for number in range(1, count + 1)]
    _start(
        context,
        vms,
        [fragile_fleet.Runner(name, room, bears) for name in names],
    )


@given("news arrives {late:g} seconds late")
def _delay_news(context, late):
    context.fleet.delay(protocols.READINGS, late)


@given("its keeper knows that it is fragile, and has admitted a call")
def _tell_keeper(context):
    fleet, runner = context.fleet, context.runner
    context.keeper = fleet.vms[fleet.keeper(runner)].fragile

    async def tell():
        fleet.delay(protocols.READINGS, WAIT_S)
        fleet.read(fleet.keeper(runner), runner, 0.0)
        assert await context.keeper.admit(runner.name)
        await asyncio.sleep(1.5)

    _run(context, tell())
    assert len(fleet.knowing(runner)) == 1


@given("of each two messages about an end {outcome}")
def _lose_ends(context, outcome):
    ends = []

    def delays(message, source, target):
        if message[0] == protocols.END:
            ends.append(message)
            if outcome == "the first is lost" and len(ends) % 2:
                return []
        late = message[0] == protocols.READINGS
        return [WAIT_S if late else slot_fleet.DELAY_S]

    context.fleet.network.delays = delays


@when("a VM that does not know it sends a call")
def _send_unknowing(context):
    fleet, runner = context.fleet, context.runner
    name = next(n for n in fleet.names if n not in fleet.knowing(runner))

    async def send():
        await fleet.call(name, runner)
        await asyncio.sleep(0.1)

    before = context.keeper.heard_rejections.get(runner.name, 0)
    _run(context, send())
    after = context.keeper.heard_rejections.get(runner.name, 0)
    context.counted = after - before


@then("the keeper counts {count:d} rejection more")
def _check_counted(context, count):
    assert context.counted == count, context.counted


@when("the VMs send {rate:d} calls a second for {seconds:g} seconds")
def _send(context, rate, seconds):
    context.runner.taken = 0
    context.seconds = seconds
    _run(context, context.fleet.call_steadily(rate, seconds))


@when("its room shrinks to {room:d} calls")
def _shrink(context, room):
    context.runner.room = room


@when("a VM other than the keeper is cut off")
def _cut(context):
    fleet = context.fleet
    keeper = fleet.keeper(context.runner)
    name = next(each for each in fleet.names if each != keeper)
    fleet.cut(name)
    fleet.set_parts([[name], [each for each in fleet.names if each != name]])


@when("its keeper ends, which the others learn {seconds:g} second later")
def _end_keeper(context, seconds):
    fleet = context.fleet
    keeper = fleet.keeper(context.runner)
    fleet.cut(keeper)
    context.others = [each for each in fleet.names if each != keeper]
    context.loop.get_loop().call_later(
        seconds, fleet.set_parts, [context.others]
    )


@when("the others send {rate:d} calls a second for {seconds:g} seconds")
def _send_others(context, rate, seconds):
    context.runner.taken = 0
    context.seconds = seconds
    _run(
        context,
        context.fleet.call_steadily(rate, seconds, context.others),
    )


@when("it restarts with room for {room:d} calls")
def _restart(context, room):
    runner = fragile_fleet.Runner("runner-1@2", room, context.runner.bears)
    context.runner = runner
    context.fleet.runners[:] = [runner]
    context.fleet.list_runners()


@when("it is sound again")
def _recover(context):
    context.runner.bears = None


@when("the first runner falls, and its calls go to the others")
def _fall(context):
    del context.fleet.runners[0]


@then("no message was sent, and the runner has rejected calls")
def _check_silence(context):
    assert not context.fleet.network.sent, context.fleet.network.sent
    assert context.runner.rejections


@then(
    "the runner has fallen {falls:d} times, and has taken at least "
    "{share:g} of {rate:d} calls a second"
)
def _check_falls(context, falls, share, rate):
    runner = context.runner
    assert runner.falls == falls, (runner.falls, runner.rejections)
    least = share * rate * context.seconds
    assert runner.taken >= least, (runner.taken, least)


@then("none of the others has fallen")
def _check_none_fallen(context):
    falls = [runner.falls for runner in context.fleet.runners]
    assert not any(falls), falls
    taken = [runner.taken for runner in context.fleet.runners]
    assert all(taken), taken


@then("no VM knows that it is fragile")
def _check_none_knows(context):
    assert not context.fleet.knowing(context.runner)


@then("all VMs know that it is fragile")
def _check_all_know(context):
    known = context.fleet.knowing(context.runner)
    assert known == context.fleet.names, known


@given("runner {number:d} {fault} and bears {bears:d} rejections")
def _make_fragile(context, number, fault, bears):
    runner = context.fleet.runners[number - 1]
    runner.behaviour_names = [fault]
    runner.statements = [f"Rejections-Per-S: {bears}"]


def _fragile(context):
    return context.fleet.vms[0].upstreams.runner_limits.fragile


@when("VM 1 gets {kind} while it knows that they are fragile")
def _call_knowing(context, kind):
    vm = context.fleet.vms[0]
    if kind == "a stream":
        vm.configure(configuration_model.CallKind.STREAM, resumable=True)
    statement = statements.Statement(rejections_per_s=9)
    for runner in context.fleet.runners:
        _fragile(context).local.record(runner.name, statement, 0.0)
    _run(context, context.fleet.call_at_once(1))


@when("the runners are gone")
def _stop_runners(context):
    async def cut():
        for runner in context.fleet.runners:
            runner.cut()

    _run(context, cut())


@then("VM 1 knows that it bears {bears:d} rejections")
def _check_known(context, bears):
    in_force = _fragile(context).local.stated.in_force
    assert in_force == {"runner-1": bears}, in_force


@then("VM 1 knows nothing of its fragility")
def _check_unknown(context):
    assert not _fragile(context).local.stated.in_force


@then(
    "their callers are told times that are spread, and the runners got "
    "{count:d} call each"
)
def _check_refusals(context, count):
    times = [float(r.headers["retry-after"]) for r in context.refused]
    # They are 0.05 s apart and rounded, so two may be alike by chance.
    assert len(set(times)) >= len(times) - 2, times
    assert max(times) - min(times) >= 0.05 * (len(times) - 2), times
    got = [len(r.arrived_at) for r in context.fleet.runners]
    assert got == [count] * len(got), got


@then(
    "it has asked about each of at least {least:d} sends, and none is running"
)
def _check_asked(context, least):
    sends = sum(len(r.arrived_at) for r in context.fleet.runners)
    assert sends >= least, sends
    fragile = _fragile(context)
    assert fragile.ask_count == sends, (fragile.ask_count, sends)
    for runner in context.fleet.runners:
        assert not fragile.local.keeper.running(runner.name)


@then("no call is running at the runner, and no rejection is counted")
def _check_nothing_runs(context):
    fragile = _fragile(context)
    assert fragile.ask_count >= 2, fragile.ask_count
    assert not fragile.local.keeper.running("runner-1")
    assert not fragile.heard_rejections, fragile.heard_rejections


@given("{whose} messages about ends arrive {late:g} seconds late")
def _delay_ends(context, whose, late):
    fleet = context.fleet
    keeper = fleet.keeper(context.runner)
    one = next(each for each in fleet.names if each != keeper)
    fleet.network.delays = lambda message, source, target: [
        (
            late
            if message[0] == protocols.END
            and (source[0] == one or whose == "all VMs'")
            else slot_fleet.DELAY_S
        )
    ]


@when("all messages between VMs are {late:g} seconds late")
def _delay_all(context, late):
    context.fleet.network.delays = lambda message, source, target: [late]


@when(
    "VM 1 knows that, and that it takes {limit:g} calls a second, and gets "
    "{count:d} calls"
)
def _call_limited(context, limit, count):
    vm = context.fleet.vms[0]
    vm.configure(
        configuration_model.CallKind.IDEMPOTENT, timeout_s=0.4, objective_s=0.1
    )
    limits = vm.upstreams.runner_limits
    statement = statements.Statement(limit, rejections_per_s=0)
    limits.local.record("runner-1", statement, 0.0)
    limits.fragile.local.record("runner-1", statement, 0.0)

    async def call():
        # The bucket is made with the first call that is counted.
        limits.refund(await limits.admit("runner-1"))
        await asyncio.sleep(0.5)
        calls = asyncio.ensure_future(context.fleet.call_at_once(count))
        await asyncio.sleep(0.1)
        context.left = 0
        while await limits.admit("runner-1"):
            context.left += 1
        await calls

    _run(context, call())


@then("1 call is sent, and room for {left:d} calls is left under the limit")
def _check_both(context, left):
    arrived = context.fleet.runners[0].arrived_at
    assert len(arrived) == 1, arrived
    assert context.left >= left, context.left
