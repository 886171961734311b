"""Steps for duties."""

import random

import behave

from apricotlever import clock as clocks
from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import duties
from apricotlever.vms import lease_objects
from apricotlever.vms import roster
from apricotlever.vms import view as views
from bench import fleets

NAMES = [f"capacity/d{i}" for i in range(3)]
DUTIES = [duties.Duty(name, name.partition("/")[2]) for name in NAMES] + [
    duties.Duty("status")
]


def _view_of(vm, members):
    return views.View(members[vm], members, {})


@behave.given("a duty view of {count:d} VMs in {places:d} data centres")
def duty_view(context, count, places):
    """The same for all."""
    sizes = fleets.even_sizes(count, places)
    context.members = {m.vm: m for m in fleets.members_of(sizes)}


def _holders(context, duty):
    return {
        duties.responsible_vm(duty, _view_of(vm, context.members))
        for vm in context.members
    }


@behave.then("each duty has one holder, in its own data centre")
def one_holder(context):
    """By every VM's view."""
    for duty in DUTIES:
        (holder,) = _holders(context, duty)
        place = context.members[holder].data_centre
        assert duty.data_centre in ("", place)


@behave.when('the duty view loses data centre "{place}"')
def loses(context, place):
    """All its VMs are dead."""
    context.members = {
        vm: member
        for vm, member in context.members.items()
        if member.data_centre != place
    }


@behave.then('each duty has one holder, also those of "{place}"')
def one_holder_left(context, place):
    """Among those left."""
    for duty in DUTIES:
        (holder,) = _holders(context, duty)
        assert holder in context.members


def _duty(name):
    return next(duty for duty in DUTIES if duty.name == name)


@behave.when('the holder of duty "{name}" leaves the view')
def leaves(context, name):
    """It announced so."""
    (context.holder,) = _holders(context, _duty(name))
    context.members[context.holder] = roster.changed(
        context.members[context.holder], leaving=True, state=pb.VM_LEAVING
    )


@behave.then('duty "{name}" has another holder')
def another(context, name):
    """At every VM."""
    (holder,) = _holders(context, _duty(name))
    assert holder != context.holder


class Store:
    """Lease objects; answers at once."""

    def __init__(self):
        self.objects = {}
        self.calls = 0

    def perform(self, lease, action):
        self.calls += 1
        version, value = self.objects.get(action.name, (None, None))
        if isinstance(action, lease_objects.ReadLease):
            lease.read(version, value)
        elif action.expected_version != version:
            lease.conflict()
        else:
            self.objects[action.name] = ((version or 0) + 1, action.value)
            lease.written((version or 0) + 1)


@behave.when("every VM of the duty view looks at it for {seconds:d} s")
def look(context, seconds):
    """Ticks of 0.1 s."""
    clock = clocks.ManualClock()
    context.store = Store()
    context.parts = {}
    for vm in context.members:
        part = duties.Duties(clock, random.Random(1), vm, 1)
        part.configure(DUTIES)
        context.parts[vm] = part
    for _ in range(seconds * 10):
        clock.advance(0.1)
        for vm, part in context.parts.items():
            part.look(_view_of(vm, context.members))
            for action in part.tick():
                context.store.perform(part.lease(action.name), action)


@behave.then("each duty is held by the VM named")
def held(context):
    """And by nobody else."""
    for duty in DUTIES:
        (holder,) = _holders(context, duty)
        assert [
            vm
            for vm, part in context.parts.items()
            if part.may_order(duty.name) is not None
        ] == [holder]


@behave.then(
    "the store saw {count:d} calls for each duty lease, and its renewals"
)
def few_calls(context, count):
    """A missing object is waited out for 15 s; then 45 s are left."""
    renewals = 45 / 5
    assert context.store.calls <= len(DUTIES) * (count + renewals)


@behave.when('the holder of duty "{name}" gives its duties back')
def gives_back(context, name):
    """It stops."""
    (context.holder,) = _holders(context, _duty(name))
    context.parts[context.holder].leave()


@behave.then('it orders nothing for duty "{name}" at once')
def no_orders(context, name):
    """And releases the lease object."""
    part = context.parts[context.holder]
    assert part.may_order(name) is None
    for action in part.tick():
        context.store.perform(part.lease(action.name), action)
    _, value = context.store.objects["leases/" + name]
    assert value["holder"] == ""
