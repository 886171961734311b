"""Steps for tests/vms/record_exchange.feature."""

import bisect

from behave import given
from behave import step
from behave import then
from behave import when

from bench import _record_exchange_simulation as news_world

#: Calls a second in scenarios that don't set a rate.
FEW_CALLS = 40.0
#: Calls a second for each VM in the scenario of a rolling restart.
CALLS_PER_VM = 1.6
#: Mean number of restarts a second.
RESTARTS_PER_S = 2.0


@given("{count:d} VMs in {places:d} data centres that start at once")
def _start_at_once(context, count, places):
    context.world = news_world.FleetSimulation(count, places)
    context.calls = news_world.CallGenerator(context.world, 0.0)


@given("{count:d} VMs in {places:d} data centres that know each other")
def _start_complete(context, count, places):
    _start_complete_with_seed(context, count, places, 1)


@given(
    "{count:d} VMs in {places:d} data centres that know each other, "
    "at seed {seed:d}"
)
def _start_complete_with_seed(context, count, places, seed):
    context.world = news_world.FleetSimulation(count, places, seed)
    context.world.run(3.0)
    _all_alive(context)
    context.calls = news_world.CallGenerator(context.world, FEW_CALLS)
    context.world.run(1.0, context.calls)
    context.calls.per_s = 0.0


@step("the fleet runs for {seconds:g} seconds")
def _run(context, seconds):
    context.world.run(seconds)


@when("{calls:g} calls a second begin and end for {seconds:g} seconds")
def _run_with_calls(context, calls, seconds):
    world = context.world
    world.reset_traffic()
    world.run(seconds)
    context.idle = world.mean_bytes_per_s(seconds)
    context.calls.per_s = calls
    world.run(1.0, context.calls)
    world.reset_traffic()
    probe = news_world.LoadAgeProbe(world, context.calls)
    world.run(seconds, probe)
    context.loaded = world.mean_bytes_per_s(seconds)
    context.ages_s = sorted(probe.ages_s)


@then(
    "known loads are older than {old_s:g} seconds in at most {count:d} of "
    "{of:d} samples"
)
def _loads_are_recent(context, old_s, count, of):
    ages_s = context.ages_s
    old = len(ages_s) - bisect.bisect_right(ages_s, old_s)
    assert old * of <= count * len(ages_s), (old, len(ages_s), ages_s[-1])


@then("a VM sends and receives at most {most:d} bytes a second on average")
def _traffic_with_calls(context, most):
    assert context.loaded <= most, context.loaded


@then("without calls the average is at most {most:d} bytes a second")
def _traffic_without_calls(context, most):
    assert context.idle <= most, context.idle


@then("each VM considers all others alive")
def _all_alive(context):
    names = set(context.world.vms)
    wrong = {
        vm.name: vm.live_peers ^ (names - {vm.name})
        for vm in context.world.vms.values()
        if vm.live_peers != names - {vm.name}
    }
    assert not wrong, (len(wrong), next(iter(wrong.items())))


@then("each VM has the exact loads of the others")
def _loads_are_exact(context):
    world = context.world
    for vm in world.vms.values():
        known = vm.exchange.loads.in_flight
        known = {runner: count for runner, count in known.items() if count}
        truth = world.actual_peer_loads(vm)
        assert known == truth, (vm.name, known, truth)


def _aggregators(world, data_centre):
    return [
        vm
        for vm in world.vms.values()
        if vm.data_centre == data_centre and vm.exchange.is_aggregator
    ]


@when("all aggregators of a data centre end")
def _end_aggregators(context):
    for vm in _aggregators(context.world, context.world.data_centres[0]):
        context.world.kill(vm)


@then("no live VM counts as dead")
def _none_dead(context):
    names = set(context.world.vms)
    for vm in context.world.vms.values():
        missed = names - {vm.name} - vm.live_peers
        assert not missed, (vm.name, missed)


@when("a data centre is partitioned from the others for {seconds:g} seconds")
def _partition(context, seconds):
    world = context.world
    inside = {
        vm.name
        for vm in world.vms.values()
        if vm.data_centre == world.data_centres[0]
    }
    outside = set(world.vms) - inside
    pairs = {(a, b) for a in inside for b in outside}
    world.dropped_links = pairs | {(b, a) for a, b in pairs}
    world.run(seconds)
    for vm in world.vms.values():
        side = inside if vm.name in inside else outside
        assert vm.live_peers == side - {vm.name}, (vm.name, len(vm.live_peers))
    world.dropped_links = set()


def _served_vm(world):
    """Pick a VM that uses another one as its aggregator."""
    return next(
        vm for vm in world.vms.values() if not vm.exchange.is_aggregator
    )


@when("a VM receives nothing from its aggregator for {seconds:g} seconds")
def _lose_aggregates(context, seconds):
    world = context.world
    vm = _served_vm(world)
    world.dropped_links = {(vm.exchange.aggregator, vm.name)}
    context.fewest = len(world.vms)

    def look(now):
        context.fewest = min(context.fewest, len(vm.live_peers))

    world.run(seconds, look)


@then("it considers all others alive throughout")
def _all_alive_throughout(context):
    assert context.fewest == len(context.world.vms) - 1, context.fewest


@when("an aggregator stalls for {seconds:g} seconds")
def _stall(context, seconds):
    world = context.world
    stalled, *_ = _aggregators(world, world.data_centres[0])
    used_it = [
        v for v in world.vms.values() if v.exchange.aggregator == stalled.name
    ]
    used_it.remove(stalled)
    assert used_it
    stalled.stalled_until = world.clock.now() + seconds
    context.fewest = len(world.vms)

    def look(now):
        fewest = min(len(vm.live_peers - {stalled.name}) for vm in used_it)
        context.fewest = min(context.fewest, fewest)

    world.run(seconds, look)


@then("the VMs that used it consider all VMs but it alive throughout")
def _others_alive_throughout(context):
    assert context.fewest == len(context.world.vms) - 2, context.fewest


@when("{count:d} VMs join at once")
def _join(context, count):
    first = len(context.world.vms) + 1
    for number in range(first, first + count):
        context.world.add(number)


@when("a third of the VMs end")
def _end_third(context):
    vms = list(context.world.vms.values())
    for vm in context.world.rng.sample(vms, len(vms) // 3):
        context.world.kill(vm)


@when(
    "for {seconds:g} seconds each {pause_s:g} seconds a VM restarts and a "
    "runner changes"
)
def _restart_in_turn(context, seconds, pause_s):
    world = context.world
    world.reset_traffic()
    context.seconds = seconds
    context.calls.per_s = CALLS_PER_VM * len(world.vms)
    turns = list(world.vms.values())
    world.rng.shuffle(turns)
    #: VMs that have not been restarted.
    context.running = set(turns)
    context.missed = {}
    restarts = []
    context.next_at = world.clock.now()

    def load(now):
        context.calls(now)
        if now >= context.next_at:
            context.next_at += pause_s
            world.revision += 1
            vm = turns.pop()
            context.running.discard(vm)
            world.kill(vm)
            restarts.append((now + pause_s, vm))
        while restarts and restarts[0][0] <= now:
            _, vm = restarts.pop(0)
            world.add(vm.number, vm.incarnation + 1)
        names = {vm.name for vm in context.running}
        for vm in context.running:
            missed = names - vm.live_peers - {vm.name}
            if missed:
                context.missed[(round(now, 2), vm.name)] = missed

    world.run(seconds, load)


@then("no VM that kept running ever counted as dead")
def _never_dead(context):
    assert not context.missed, (
        len(context.missed),
        list(context.missed.items())[:3],
    )


@then("a VM sends at most {most:d} bytes a second")
def _sends(context, most):
    found = max(context.world.sent.values()) / context.seconds
    assert found <= most, found


@when(
    "for {seconds:g} seconds {percent:g} in 100 datagrams are lost and VMs "
    "restart"
)
def _lose_and_restart(context, seconds, percent):
    world = context.world
    world.loss_rate = percent / 100.0
    context.calls.per_s = FEW_CALLS

    def load(now):
        context.calls(now)
        if world.rng.random() < RESTARTS_PER_S * news_world.STEP_S:
            vms = list(world.vms.values())
            world.restart(world.rng.choice(vms))

    context.processes = {vm.process: vm for vm in world.vms.values()}
    original = world.restart

    def restart(vm):
        new = original(vm)
        context.processes[new.process] = new
        return new

    world.restart = restart
    world.run(seconds, load)
    context.calls.per_s = 0.0


@then("no received total exceeds the true one")
def _true_totals(context):
    for vm in context.world.vms.values():
        for process, used in vm.received_used.items():
            truth = context.processes[process].used
            for customer, units in used.items():
                assert units <= truth[customer], (vm.name, process, customer)


@when("the network loses nothing for {seconds:g} seconds")
def _lose_nothing(context, seconds):
    context.world.loss_rate = 0.0
    context.world.run(seconds)


@then("each VM has all totals of the others")
def _all_totals(context):
    vms = context.world.vms.values()
    for vm in vms:
        for other in vms:
            if other is not vm:
                heard = vm.received_used.get(other.process, {})
                assert heard == other.used, (vm.name, other.process)
