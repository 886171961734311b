"""Steps for tests/vms/fleet_news.feature."""

import bisect

from behave import given
from behave import step
from behave import then
from behave import when

from bench import _news_world as news_world

#: Calls a second while a scenario is not about them.
FEW_CALLS = 40.0
CALLS_A_VM = 1.6
#: Restarts a second.
RESTARTS = 2.0


@given("{count:d} VMs in {places:d} data centres that start at once")
def _start(context, count, places):
    context.world = news_world.World(count, places)
    context.calls = news_world.Calls(context.world, 0.0)


@given("{count:d} VMs in {places:d} data centres that know each other")
def _know(context, count, places):
    _know_at(context, count, places, 1)


@given(
    "{count:d} VMs in {places:d} data centres that know each other, "
    "at seed {seed:d}"
)
def _know_at(context, count, places, seed):
    context.world = news_world.World(count, places, seed)
    context.world.run(3.0)
    _everybody(context)
    context.calls = news_world.Calls(context.world, FEW_CALLS)
    context.world.run(1.0, context.calls)
    context.calls.per_s = 0.0


@step("the fleet goes on for {seconds:g} seconds")
def _pass(context, seconds):
    context.world.run(seconds)


@when("{calls:g} calls a second begin and end for {seconds:g} seconds")
def _calls(context, calls, seconds):
    world = context.world
    world.forget_traffic()
    world.run(seconds)
    context.idle = world.bytes_a_second(seconds)
    context.calls.per_s = calls
    world.run(1.0, context.calls)
    world.forget_traffic()
    probe = news_world.Probe(world, context.calls)
    world.run(seconds, probe)
    context.loaded = world.bytes_a_second(seconds)
    context.ages_s = sorted(probe.ages_s)


@then(
    "loads that VMs know are older than {old_s:g} seconds at most "
    "{count:d} time in {of:d}"
)
def _fresh(context, old_s, count, of):
    ages_s = context.ages_s
    old = len(ages_s) - bisect.bisect_right(ages_s, old_s)
    assert old * of <= count * len(ages_s), (old, len(ages_s), ages_s[-1])


@then("a VM sends and receives at most {most:d} bytes a second on the mean")
def _loaded(context, most):
    assert context.loaded <= most, context.loaded


@then("without calls it is at most {most:d} bytes a second")
def _idle(context, most):
    assert context.idle <= most, context.idle


@then("each VM hears all others")
def _everybody(context):
    names = set(context.world.vms)
    wrong = {
        vm.name: vm.others ^ (names - {vm.name})
        for vm in context.world.vms.values()
        if vm.others != names - {vm.name}
    }
    assert not wrong, (len(wrong), next(iter(wrong.items())))


@then("each knows the loads of the others exactly")
def _exactly(context):
    world = context.world
    for vm in world.vms.values():
        known = vm.news.loads.in_flight
        known = {runner: count for runner, count in known.items() if count}
        truth = world.loads_of_others(vm)
        assert known == truth, (vm.name, known, truth)


def _aggregators(world, data_centre):
    return [
        vm
        for vm in world.vms.values()
        if vm.data_centre == data_centre and vm.news.is_aggregator
    ]


@when("all aggregators of a data centre end")
def _aggregators_end(context):
    for vm in _aggregators(context.world, context.world.places[0]):
        context.world.kill(vm)


@then("no living VM counts as dead")
def _nobody_dead(context):
    names = set(context.world.vms)
    for vm in context.world.vms.values():
        missed = names - {vm.name} - vm.others
        assert not missed, (vm.name, missed)


@when("a data centre is cut off for {seconds:g} seconds")
def _cut_off(context, seconds):
    world = context.world
    inside = {
        vm.name
        for vm in world.vms.values()
        if vm.data_centre == world.places[0]
    }
    outside = set(world.vms) - inside
    pairs = {(a, b) for a in inside for b in outside}
    world.cut = pairs | {(b, a) for a, b in pairs}
    world.run(seconds)
    for vm in world.vms.values():
        side = inside if vm.name in inside else outside
        assert vm.others == side - {vm.name}, (vm.name, len(vm.others))
    world.cut = set()


def _user(world):
    """A VM that uses another one as its aggregator."""
    return next(vm for vm in world.vms.values() if not vm.news.is_aggregator)


@when("a VM hears nothing from its aggregator for {seconds:g} seconds")
def _deaf(context, seconds):
    world = context.world
    vm = _user(world)
    world.cut = {(vm.news.aggregator, vm.name)}
    context.fewest = len(world.vms)

    def look(now):
        context.fewest = min(context.fewest, len(vm.others))

    world.run(seconds, look)


@then("it hears all others all the while")
def _all_the_while(context):
    assert context.fewest == len(context.world.vms) - 1, context.fewest


@when("an aggregator stands still for {seconds:g} seconds")
def _still(context, seconds):
    world = context.world
    still, *_ = _aggregators(world, world.places[0])
    used_it = [
        v for v in world.vms.values() if v.news.aggregator == still.name
    ]
    used_it.remove(still)
    assert used_it
    still.slow_until = world.clock.now() + seconds
    context.fewest = len(world.vms)

    def look(now):
        fewest = min(len(vm.others - {still.name}) for vm in used_it)
        context.fewest = min(context.fewest, fewest)

    world.run(seconds, look)


@then("the VMs that used it hear all others but it all the while")
def _but_it(context):
    assert context.fewest == len(context.world.vms) - 2, context.fewest


@when("{count:d} VMs join at once")
def _join(context, count):
    first = len(context.world.vms) + 1
    for number in range(first, first + count):
        context.world.add(number)


@when("a third of the VMs end")
def _third(context):
    vms = list(context.world.vms.values())
    for vm in context.world.rng.sample(vms, len(vms) // 3):
        context.world.kill(vm)


@when(
    "for {seconds:g} seconds each {pause_s:g} seconds a VM restarts and a "
    "runner changes"
)
def _in_turn(context, seconds, pause_s):
    world = context.world
    world.forget_traffic()
    context.seconds = seconds
    context.calls.per_s = CALLS_A_VM * len(world.vms)
    turns = list(world.vms.values())
    world.rng.shuffle(turns)
    #: Those that have not been restarted.
    context.sound = set(turns)
    context.missed = {}
    restarts = []
    context.next_at = world.clock.now()

    def load(now):
        context.calls(now)
        if now >= context.next_at:
            context.next_at += pause_s
            world.revision += 1
            vm = turns.pop()
            context.sound.discard(vm)
            world.kill(vm)
            restarts.append((now + pause_s, vm))
        while restarts and restarts[0][0] <= now:
            _, vm = restarts.pop(0)
            world.add(vm.number, vm.incarnation + 1)
        names = {vm.name for vm in context.sound}
        for vm in context.sound:
            missed = names - vm.others - {vm.name}
            if missed:
                context.missed[(round(now, 2), vm.name)] = missed

    world.run(seconds, load)


@then("no VM that ran on ever counted as dead")
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
def _trouble(context, seconds, percent):
    world = context.world
    world.loss = percent / 100.0
    context.calls.per_s = FEW_CALLS

    def load(now):
        context.calls(now)
        if world.rng.random() < RESTARTS * news_world.STEP_S:
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


@then("no total was told that was never true")
def _true_totals(context):
    for vm in context.world.vms.values():
        for process, used in vm.heard_used.items():
            truth = context.processes[process].used
            for customer, units in used.items():
                assert units <= truth[customer], (vm.name, process, customer)


@when("the network is sound again for {seconds:g} seconds")
def _sound(context, seconds):
    context.world.loss = 0.0
    context.world.run(seconds)


@then("each knows all totals of the others")
def _totals(context):
    vms = context.world.vms.values()
    for vm in vms:
        for other in vms:
            if other is not vm:
                heard = vm.heard_used.get(other.process, {})
                assert heard == other.used, (vm.name, other.process)
