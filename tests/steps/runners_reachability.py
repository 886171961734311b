"""Steps for tests/runners/reachability.feature."""

from behave import given
from behave import step
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.runners import reachability
from tests.runners import cut_vms

PLAYS = 12
#: Time before a trouble begins, in seconds.
SETTLE_S = 10.0
#: Time in which a VM must find out, and its end, with a call each second.
FOUND_S = 2.4
ENDED_S = 0.9
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
REACH = reachability.Reach


@given(
    "VMs that call {runners:d} runners of {services:d} services in {zones:d} "
    "data centres"
)
def _layout(context, runners, services, zones):
    context.layout = (runners, services, zones)
    context.service = None


@given("they call one service only")
def _one_service(context):
    context.service = "s-0"


def _plays(context, interval_s, **options):
    """One VM in each play, as it is when the trouble begins."""
    context.vms = []
    for seed in range(PLAYS):
        world = cut_vms.World(*context.layout, seed)
        vm = cut_vms.Vm(
            world,
            reachability.Reachability,
            interval_s,
            service=context.service,
            **options,
        )
        world.run(SETTLE_S)
        vm.probes_before, vm.since = vm.probes, world.clock.now()
        context.vms.append(vm)


def _cut(context, kind, seconds):
    for vm in context.vms:
        vm.set_cut(kind)
        vm.world.run(seconds)
        vm.probes_cut, vm.ended = vm.probes, vm.now()
        vm.set_cut(None)
        vm.world.run(2.0)


@when("a VM with a call each {interval:f} seconds is cut by {kind:w}")
def _cut_vm(context, interval, kind):
    _plays(context, interval)
    for vm in context.vms:
        vm.set_cut(kind)
        while vm.reach.state is not REACH.ISOLATED:
            vm.world.run(0.02)
            assert vm.now() < vm.since + 10.0, vm.states
        vm.note()
        vm.probes_cut = vm.probes


@when(
    "a VM with a call each {interval:f} seconds is cut by {kind:w} for "
    "{seconds:d} seconds"
)
def _cut_vm_for(context, interval, kind, seconds):
    _plays(context, interval)
    _cut(context, kind, seconds)


@when(
    "a VM with a stream and a call each {interval:f} seconds is cut by "
    "{kind:w} for {seconds:d} seconds"
)
def _cut_vm_with_stream(context, interval, kind, seconds):
    _plays(context, interval)
    for vm in context.vms:
        vm.start_stream("r-7")
        vm.world.run(1.0)
        vm.since = vm.now()
    _cut(context, kind, seconds)


@when(
    "a VM with a stream of a byte each {pause:d} seconds is cut by {kind:w} "
    "for {seconds:d} seconds"
)
def _cut_vm_with_slow_stream(context, pause, kind, seconds):
    _plays(context, 1.0)
    for vm in context.vms:
        vm.start_stream("r-7", pause)
    _cut(context, kind, seconds)


@when(
    "{down} are down for {seconds:d} seconds, with a call each {interval:f} "
    "seconds"
)
def _down(context, down, seconds, interval):
    _plays(context, interval)
    for vm in context.vms:
        vm.world.down = {
            name
            for name, place in vm.world.places.items()
            if down == "all runners"
            or (down == "one runner" and name == "r-0")
            or (down.endswith("service") and place.service == "s-0")
            or (down.endswith("data centre") and place.data_centre == "dc-0")
        }
        assert vm.world.down
        vm.world.run(seconds)


@when(
    "a VM gets its answers after {answer:f} seconds, with a call each "
    "{interval:f} seconds, for {seconds:d} seconds"
)
def _slow_answers(context, answer, interval, seconds):
    _plays(context, interval, answer_s=answer)
    for vm in context.vms:
        vm.world.run(seconds)


@when(
    "all runners are silent for 1 second, with a call each {interval:f} "
    "seconds"
)
def _silence(context, interval):
    _plays(context, interval)
    for vm in context.vms:
        vm.world.silent = True
        vm.world.run(1.0)
        vm.world.silent = False
        vm.world.run(5.0)


@when("{count:d} of 8 VMs are cut by {kind:w} for {seconds:d} seconds")
def _cut_some(context, count, kind, seconds):
    world = cut_vms.World(*context.layout)
    context.vms = [
        cut_vms.Vm(world, reachability.Reachability, 1.0) for _ in range(8)
    ]
    world.run(SETTLE_S)
    context.cut = context.vms[:count]
    for vm in context.cut:
        vm.set_cut(kind)
    for _ in range(seconds * 5):
        for vm in context.vms:
            others = [o for o in context.vms if o is not vm]
            isolated = sum(o.reach.is_isolated for o in others)
            vm.reach.set_peers(len(others) - isolated, isolated, 0.2)
        world.run(0.2)


@then("it is isolated within {within:f} seconds, in each play")
def _isolated_within(context, within):
    times = [vm.time_to(REACH.ISOLATED, vm.since) for vm in context.vms]
    assert all(at is not None and at <= within for at in times), times


@then("it has made at most {count:d} probes by then")
def _probes_by_then(context, count):
    found = [vm.probes_cut - vm.probes_before for vm in context.vms]
    assert max(found) <= count, found


@then("no VM has made a probe before")
def _no_probes_before(context):
    assert not any(vm.probes_before for vm in context.vms)


@then("it is connected within {within:f} seconds of the end, in each play")
@then("it is connected within {within:f} seconds of the end")
def _connected_within(context, within):
    times = [vm.time_to(REACH.CONNECTED, vm.ended) for vm in context.vms]
    states = [vm.states[-1][1] for vm in context.vms]
    assert not any(state is REACH.ISOLATED for state in states)
    assert all(at is not None and at <= within for at in times), times


@then("no VM is ever isolated, in each play")
@then("it is never isolated")
def _never_isolated(context):
    assert not any(vm.ever_isolated() for vm in context.vms)


@then("each VM has made at most {count:d} probes")
def _few_probes(context, count):
    found = [vm.probes for vm in context.vms]
    assert max(found) <= count, found


@then("no VM has made more probes than calls")
def _probe_for_call(context):
    found = [(vm.probes, vm.sent) for vm in context.vms]
    assert all(probes <= sent for probes, sent in found), found


@then("all VMs are isolated, in each play")
def _all_isolated(context):
    assert all(vm.reach.is_isolated for vm in context.vms)


@then("these and no others are isolated")
def _these(context):
    for vm in context.vms:
        assert vm.reach.is_isolated is (vm in context.cut), vm.states
        assert vm in context.cut or not vm.ever_isolated()


@then("it has no new connections within {within:f} seconds, in each play")
def _no_new(context, within):
    times = [
        vm.time_to(REACH.NO_NEW_CONNECTIONS, vm.since) for vm in context.vms
    ]
    assert all(at is not None and at <= within for at in times), times


@then("it becomes isolated at most {count:d} times")
def _isolated_times(context, count):
    found = [
        sum(state is REACH.ISOLATED for _, state in vm.states)
        for vm in context.vms
    ]
    assert max(found) <= count, found


@given("a VM without calls that knows {count:d} runners")
def _single(context, count):
    context.clock = clocks.ManualClock()
    context.reach = reachability.Reachability(context.clock)
    context.names = [f"r-{number}" for number in range(count)]
    context.reach.set_runners(context.names)


def _pass(context, seconds):
    context.probed = []
    for _ in range(round(seconds / cut_vms.TICK_S)):
        context.clock.advance(cut_vms.TICK_S)
        context.probed += context.reach.probes_due()


@when("{seconds:d} seconds pass for it")
def _time(context, seconds):
    _pass(context, seconds)


@when(
    "{isolated:d} of {peers:d} peers say that they are isolated and 1 second "
    "passes"
)
def _peers(context, isolated, peers):
    context.reach.set_peers(peers - isolated, isolated, 0.2)
    _pass(context, 1.0)


@when("a call waits for {seconds:d} seconds")
def _wait(context, seconds):
    context.reach.call_sent("r-0")
    _pass(context, seconds)


@when("a connection of a call fails at {count:d} runners")
def _fail_at_some(context, count):
    for name in context.names[:count]:
        context.reach.connection_failed(name)


@when("a connection of a call fails at each runner")
def _fail(context):
    for name in context.names:
        context.reach.connection_failed(name)


@when("it probes, and the runners that it probes leave the list")
def _probed_leave(context):
    _pass(context, 0.6)
    first, *others = context.probed
    assert others
    context.left = [n for n in context.names if n not in context.probed]
    context.reach.set_runners(context.left)
    context.reach.probe_dropped(first)


@then("it goes on probing others")
def _check_others(context):
    _pass(context, cut_vms.TICK_S)
    assert context.probed
    assert set(context.probed) <= set(context.left), context.probed


@when("its probes fail")
def _probes_fail(context):
    _pass(context, 0.1)
    assert context.probed
    for name in context.probed:
        context.reach.connection_failed(name)


@step("it is isolated by failed probes")
def _isolate(context):
    _pass(context, 1.0)
    _fail(context)
    _probes_fail(context)
    assert context.reach.is_isolated


@when("a byte arrives")
def _byte(context):
    context.clock.advance(0.01)
    context.reach.bytes_received("r-0")


@when("it is suspended for {seconds:d} seconds")
def _suspend(context, seconds):
    context.clock.advance(seconds)


@then("it has made no probe")
def _no_probe(context):
    assert not context.probed, context.probed


@then("it has made a probe")
def _probe(context):
    assert len(context.probed) == 1, context.probed


@then(
    "its evidence names {reaching:d} peers that reach runners and "
    "{isolated:d} that don't"
)
def _evidence(context, reaching, isolated):
    found = context.reach.evidence
    assert found.peers_reaching == reaching
    assert found.peers_isolated == isolated
    assert found.peers_age_s is not None
    assert 1.0 < found.peers_age_s < 1.5


@then("its evidence names no failure")
def _no_failure(context):
    found = context.reach.evidence
    assert not found.failed and not found.failures
    assert found.bytes_age_s is None


@then("it is suspected")
def _suspected(context):
    assert context.reach.state is REACH.SUSPECTED, context.reach.state


@then("it is isolated")
def _isolated(context):
    assert context.reach.is_isolated


@then("it is not isolated")
def _not_isolated(context):
    assert not context.reach.is_isolated


@then("it can't say anything bad of a runner")
def _no_vouching(context):
    assert not context.reach.vouches_since(context.clock.now() - 1.0)


@then("it can say something bad of a runner")
def _vouching(context):
    assert context.reach.vouches_since(context.clock.now() - 1.0)
    assert not context.reach.vouches_since(context.clock.now())


PLAY = strategies.tuples(
    strategies.integers(0, 1000),
    strategies.integers(4, 40),
    strategies.integers(2, 5),
    strategies.integers(1, 3),
    strategies.sampled_from((1.0, 0.3, 0.05)),
    strategies.sampled_from(("hang", "reset", "service", "runner", "silence")),
)


def _is_right(decider, play):
    """Whether a decider is right, and in time, in one play."""
    seed, runners, services, zones, interval_s, trouble = play
    world = cut_vms.World(runners, services, zones, seed)
    vm = cut_vms.Vm(world, decider, interval_s)
    world.run(5.0)
    since = world.clock.now()
    if vm.ever_isolated():
        return False
    if trouble in ("hang", "reset"):
        vm.set_cut(trouble)
        world.run(6.0)
        found_s = vm.time_to(REACH.ISOLATED, since)
        ended = world.clock.now()
        vm.set_cut(None)
        world.run(ENDED_S)
        freed = vm.reach.state is not REACH.ISOLATED
        world.run(2.0)
        steady = not vm.ever_isolated(ended + 1e-6)
        return found_s is not None and found_s <= FOUND_S and freed and steady
    world.silent = trouble == "silence"
    world.down = {
        name
        for name, place in world.places.items()
        if (trouble == "service" and place.service == "s-0")
        or (trouble == "runner" and name == "r-0")
    }
    world.run(1.0 if world.silent else 6.0)
    world.silent, world.down = False, set()
    world.run(2.0)
    return not vm.ever_isolated()


@then("random VMs are isolated only while cut, and find it out in time")
def _random_plays(context):
    context.plays = []

    @SETTINGS
    @hypothesis.given(PLAY)
    def check(play):
        context.plays.append(play)
        assert _is_right(reachability.Reachability, play), play

    check()


@then("a count of failures gets at least one in {part:d} of these wrong")
def _rival(context, part):
    wrong = [
        play
        for play in context.plays
        if not _is_right(cut_vms.FailureCount, play)
    ]
    assert len(wrong) * part >= len(context.plays), len(wrong)
