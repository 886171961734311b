"""Steps for duties."""

import random

import behave

from apricotlever import clock as clocks
from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import duties
from apricotlever.vms import fleet_view as views
from apricotlever.vms import lease_objects
from apricotlever.vms import roster
from bench import fleets

NAMES = [f"capacity/d{i}" for i in range(3)]
DUTIES = [duties.Duty(name, name.partition("/")[2]) for name in NAMES] + [
    duties.Duty("status")
]


def _view_of(vm, members):
    return views.FleetView(members[vm], members, {})


@behave.given("a duty view of {count:d} VMs in {places:d} data centres")
def duty_view(context, count, places):
    """All VMs have the same view."""
    sizes = fleets.split_evenly(count, places)
    context.members = {m.vm: m for m in fleets.make_members(sizes)}


def _responsible_vms(context, duty):
    return {
        duties.responsible_vm(duty, _view_of(vm, context.members))
        for vm in context.members
    }


@behave.then("each duty has one responsible VM, in its own data centre")
def one_responsible_vm(context):
    """All views agree on it."""
    for duty in DUTIES:
        (holder,) = _responsible_vms(context, duty)
        place = context.members[holder].data_centre
        assert duty.data_centre in ("", place)


@behave.when('the duty view loses data centre "{place}"')
def loses_data_centre(context, place):
    """Its VMs are missing from every view."""
    context.members = {
        vm: member
        for vm, member in context.members.items()
        if member.data_centre != place
    }


@behave.then('each duty has one responsible VM, also the duties of "{place}"')
def one_responsible_vm_remains(context, place):
    """It is one of the remaining VMs."""
    for duty in DUTIES:
        (holder,) = _responsible_vms(context, duty)
        assert holder in context.members


def _duty(name):
    return next(duty for duty in DUTIES if duty.name == name)


@behave.when('the VM responsible for duty "{name}" starts to leave')
def responsible_vm_leaves(context, name):
    """The view shows that it announced its leave."""
    (context.holder,) = _responsible_vms(context, _duty(name))
    context.members[context.holder] = roster.with_fields(
        context.members[context.holder], leaving=True, state=pb.VM_LEAVING
    )


@behave.then('another VM is responsible for duty "{name}"')
def another_responsible_vm(context, name):
    """All views agree on it."""
    (holder,) = _responsible_vms(context, _duty(name))
    assert holder != context.holder


class Store:
    """A store of lease objects that answers at once."""

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


@behave.when("every VM follows the duty view for {seconds:d} s")
def follow_view(context, seconds):
    """Time passes in ticks of 0.1 s."""
    clock = clocks.ManualClock()
    context.store = Store()
    context.duties_by_vm = {}
    for vm in context.members:
        vm_duties = duties.Duties(clock, random.Random(1), vm, 1)
        vm_duties.configure(DUTIES)
        context.duties_by_vm[vm] = vm_duties
    for _ in range(seconds * 10):
        clock.advance(0.1)
        for vm, vm_duties in context.duties_by_vm.items():
            vm_duties.update_view(_view_of(vm, context.members))
            for action in vm_duties.tick():
                context.store.perform(vm_duties.lease(action.name), action)


@behave.then("each duty lease is held by the responsible VM only")
def held_by_responsible_vm(context):
    """No other VM may order."""
    for duty in DUTIES:
        (holder,) = _responsible_vms(context, duty)
        assert [
            vm
            for vm, vm_duties in context.duties_by_vm.items()
            if vm_duties.may_order(duty.name) is not None
        ] == [holder]


@behave.then(
    "the store received {count:d} calls for each duty lease, and its renewals"
)
def few_calls(context, count):
    """A lease without an object is acquired after 15 s; 45 s remain."""
    renewals = 45 / 5
    assert context.store.calls <= len(DUTIES) * (count + renewals)


@behave.when('the VM responsible for duty "{name}" releases its duties')
def releases(context, name):
    """It does so because it stops."""
    (context.holder,) = _responsible_vms(context, _duty(name))
    context.duties_by_vm[context.holder].release_all()


@behave.then('that VM must not order for duty "{name}" any more')
def must_not_order(context, name):
    """It also writes the lease object without a holder."""
    vm_duties = context.duties_by_vm[context.holder]
    assert vm_duties.may_order(name) is None
    for action in vm_duties.tick():
        context.store.perform(vm_duties.lease(action.name), action)
    _, value = context.store.objects["leases/" + name]
    assert value["holder"] == ""
