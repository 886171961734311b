"""Steps for the rumours in tests/vms/membership.feature."""

import collections

import behave
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import rumour_buffer

#: Upper bound of the bytes that a message has besides its updates.
FRAME_BYTES = 400


@behave.when('gossip VM "{vm}" announces a runner that leaves to the fleet')
def announces_leaving(context, vm):
    """Announce a rumour that is urgent."""
    context.world.fleet.nodes[vm].membership.announce(
        pb.Rumour(
            scope=pb.SCOPE_FLEET,
            lifetime_ms=60_000,
            runner_leaving=pb.RunnerLeaving(runner="r1", deadline_s=20),
        )
    )


@behave.when('gossip VM "{vm}" announces a runner\'s load to its data centre')
def announces_load(context, vm, runner="r1"):
    """Announce a rumour that is not urgent."""
    context.world.fleet.nodes[vm].membership.announce(
        pb.Rumour(
            scope=pb.SCOPE_DATA_CENTRE,
            lifetime_ms=60_000,
            replaces_key=f"load/{runner}",
            load=pb.LoadDigest(runner=runner, running=1),
        )
    )


@behave.when(
    'gossip VM "{vm}" announces {count:d} loads and a runner that leaves'
)
def announces_flood(context, vm, count):
    """The loads are announced before the urgent rumour."""
    for i in range(count):
        announces_load(context, vm, f"r{i}")
    announces_leaving(context, vm)


def _counts(world, body):
    """Number of deliveries of such rumours, by VM."""
    return collections.Counter(
        node.vm
        for _, node, action in world.actions_by_type[actions.RumourDelivered]
        if action.rumour.WhichOneof("body") == body
    )


def _reaches(context, seconds, count, body):
    world = context.world
    world.wait_until(seconds, lambda: len(_counts(world, body)) == count)
    world.fleet.run(20.0)
    counts = _counts(world, body)
    assert len(counts) == count and set(counts.values()) == {1}, counts


@behave.then(
    "within {seconds:d} s the leaving runner is known at {count:d} gossip "
    "VMs, once each"
)
def leaving_known(context, seconds, count):
    """Check that it is delivered at just that many VMs."""
    _reaches(context, seconds, count, "runner_leaving")


@behave.then(
    "within {seconds:d} s the load is known at {count:d} gossip VMs, once each"
)
def load_known(context, seconds, count):
    """Check that it is delivered at just that many VMs."""
    _reaches(context, seconds, count, "load")


@behave.when('gossip VMs "{one}" and "{other}" announce the same catalogue')
def announce_alike(context, one, other):
    """Announce a catalogue as two watchers of a data centre do."""
    rumour = pb.Rumour(scope=pb.SCOPE_DATA_CENTRE, lifetime_ms=30_000)
    rumour.catalogue.version, rumour.catalogue.digest = 5, 55
    for vm in (one, other):
        context.world.fleet.nodes[vm].membership.announce(rumour)


@behave.then(
    "within {seconds:d} s the gossip catalogue is known at {count:d} VMs of "
    '"d0", once each'
)
def catalogue_known(context, seconds, count):
    """Check the deliveries, which leave out the announcing VMs."""
    _reaches(context, seconds, count, "catalogue")


@behave.then(
    "no gossip message carried more than {count:d} bytes beside its frame"
)
def messages_are_bounded(context, count):
    """Check all messages but those with a full view."""
    sizes = [
        action.message.ByteSize()
        for _, _, action in context.world.actions_by_type[actions.Send]
        if action.message.WhichOneof("kind") != "sync"
    ]
    assert max(sizes) <= count + FRAME_BYTES, max(sizes)


@behave.then(
    "with any loss and order every rumour comes at most once and ages"
)
def exactly_once(context):
    """Deliver copies in any order, some after the lifetime has ended."""
    lifetime_s = 5.0
    steps = strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4), strategies.floats(0.0, 2.0)
        ),
        min_size=1,
        max_size=30,
    )

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=100
    )
    @hypothesis.given(steps)
    def check(copies):
        clock = clocks.ManualClock()
        source = rumour_buffer.RumourBuffer(clock, "a", 1)
        receiver = rumour_buffer.RumourBuffer(clock, "b", 1)
        start = clock.now()
        made = [
            source.add_own(
                pb.Rumour(
                    lifetime_ms=int(lifetime_s * 1000),
                    runner_gone=pb.RunnerGone(runner=f"r{i}"),
                )
            )
            for i in range(5)
        ]
        taken = collections.Counter()
        for number, wait_s in copies:
            clock.advance(wait_s)
            copy = pb.Rumour()
            copy.CopyFrom(made[number])
            copy.age_ms = int((clock.now() - start) * 1000)
            taken[number] += receiver.receive(copy, "a")
            receiver.drop_expired()
            for passed_on in receiver.pick(10_000, 99, "c"):
                age_s = clock.now() - start
                assert abs(passed_on.age_ms / 1000 - age_s) < 0.01
                assert age_s < lifetime_s
        assert all(count <= 1 for count in taken.values())

    check()
