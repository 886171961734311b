"""Steps for leases with fencing."""

import random

import behave
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.vms import lease_objects
from apricotlever.vms import leases
from tests.vms import lease_world
from tests.vms import naive_leases

DURATION_S = 15.0
LONGEST_ORDER_S = 3.0
HELD_S = DURATION_S * (1 - leases.CLOCK_DRIFT_FRACTION)
CONTENDER_WAIT_S = DURATION_S * (1 + leases.CLOCK_DRIFT_FRACTION)
SOME = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    # Shrinking a failing example takes minutes and gives little insight.
    phases=(hypothesis.Phase.generate,),
)
FAULTS = strategies.builds(
    lease_world.Faults,
    strategies.floats(0, 0.5),
    strategies.floats(0, 0.5),
    strategies.floats(0, 60),
    strategies.floats(0, 0.8),
)


def _all_want(world):
    for lease in world.contenders:
        lease.want(True)
    return world


@behave.then(
    "no two VMs hold a lease at once under lost answers, pauses and moves"
)
def one_holder(context):
    """This is checked in many simulations."""
    context.ordered = 0

    @SOME
    @hypothesis.given(strategies.integers(0, 10_000), FAULTS)
    def check(seed, faults):
        world = _all_want(lease_world.World(seed, faults)).run(300.0)
        assert not world.double_holders()
        assert not world.order_races()
        context.ordered += len(world.applied)

    check()


@behave.then("no lease order takes effect after an order of a later holder")
def orders_in_sequence(context):
    """Checked in the same simulations; this asserts that orders were sent."""
    assert context.ordered > 1000


def _run_with_pause(context, make):
    world = _all_want(lease_world.World(5, lease_world.Faults(), make))
    world.run(60.0)
    (holder,) = world.holders[-1]
    world.pause(holder, 40.0)
    context.holder = holder
    context.world = world.run(120.0)


@behave.given("naive lease contenders, the holder paused for 40 s")
def naive_contenders(context):
    """They check the lease only when they renew it."""
    _run_with_pause(context, naive_leases.NaiveLease)


@behave.given("lease contenders, the holder paused for 40 s")
def contenders(context):
    """They check the lease before each order."""
    _run_with_pause(context, leases.Lease)


@behave.then("two VMs could have ordered at once under the lease")
def two_could_order(context):
    """The naive version does."""
    assert context.world.double_holders()


@behave.then("some lease order took effect after an order of a later holder")
def order_took_effect_late(context):
    """The naive version does."""
    assert context.world.order_races()


@behave.then("no two VMs could have ordered at once under the lease")
def no_two_could_order(context):
    """This holds at every step of the simulation."""
    assert not context.world.double_holders()


@behave.then(
    "every lease order took effect before the orders of later holders"
)
def every_order_in_sequence(context):
    """The upstream ignores fencing numbers."""
    assert context.world.applied and not context.world.order_races()


@behave.then("another VM holds the lease")
def has_new_holder(context):
    """Without a new holder the scenario would prove nothing."""
    assert context.world.holders[-1] not in (set(), {context.holder})


def _lease(context):
    context.clock = clocks.ManualClock()
    context.lease = leases.Lease(
        context.clock,
        random.Random(1),
        "leases/duty",
        "me",
        1,
        LONGEST_ORDER_S,
        DURATION_S,
    )
    context.lease.want(True)
    return context.lease


def _value(holder="me", fencing=1, incarnation=1):
    return {
        "holder": holder,
        "incarnation": incarnation,
        "fencing": fencing,
        "duration_s": DURATION_S,
    }


def _next_action(context, limit_s=60.0):
    """The next store call and the seconds until it was due."""
    start = context.clock.now()
    while context.clock.now() - start < limit_s:
        action = context.lease.tick()
        if action is not None:
            return action, context.clock.now() - start
        context.clock.advance(0.1)
    raise AssertionError("no store call")


def _next_write(context, value=None, version=1):
    """Read an unheld lease object and wait until a write is due."""
    _lease(context)
    context.lease.tick()
    context.lease.read(version, value or _value("", 0))
    return _next_action(context)


def _acquire_lease(context):
    write, _ = _next_write(context)
    context.lease.written(2)
    assert context.lease.may_order() == write.value["fencing"] == 1


@behave.given("a held lease whose renewal gets no answer")
def renewal_lost(context):
    """The call is sent and times out two seconds later."""
    _acquire_lease(context)
    context.taken_at = context.clock.now()
    context.write, _ = _next_action(context)
    context.sent_at = context.clock.now()
    assert context.write.value == _value()
    context.clock.advance(2.0)
    context.lease.ambiguous()
    assert context.lease.may_order() == 1
    action, _ = _next_action(context)
    assert isinstance(action, lease_objects.ReadLease)


@behave.when("the lease is read and shows that the renewal took effect")
def renewal_took_effect(context):
    """The object has a new version and the written value."""
    context.lease.read(3, _value())


@behave.when("the lease is read and shows the previous version")
def renewal_had_no_effect(context):
    """The renewal may still arrive later."""
    context.lease.read(2, _value())


@behave.when("the next renewal gets no answer either")
def next_renewal_lost(context):
    """The second renewal writes the same value."""
    action, _ = _next_action(context)
    assert action.value == context.write.value
    context.clock.advance(2.0)
    context.lease.ambiguous()
    action, _ = _next_action(context)
    assert isinstance(action, lease_objects.ReadLease)


def _ends_at(context):
    for _ in range(int(10 * DURATION_S / 0.01)):
        if context.lease.may_order() is None:
            return context.clock.now()
        context.clock.advance(0.01)
    raise AssertionError("the lease does not end")


@behave.then(
    "the lease duration is measured from before that renewal was sent"
)
def measured_from_sending(context):
    """The time of the answer does not matter."""
    assert abs(_ends_at(context) - context.sent_at - HELD_S) < 0.02


@behave.then("the lease ends when it would have without that renewal")
def unchanged_end(context):
    """The duration is still measured from the first write."""
    assert abs(_ends_at(context) - context.taken_at - HELD_S) < 0.02


@behave.given("a lease whose first write was answered after 10 s")
def slow_answer(context):
    """The store takes 10 s to answer."""
    _next_write(context)
    context.clock.advance(10.0)
    context.lease.written(2)


@behave.then("the lease stays valid for less than 5 s")
def not_extended(context):
    """A successor measures the duration from the write's effect."""
    assert context.lease.may_order() == 1
    start = context.clock.now()
    assert _ends_at(context) - start < 5.0


@behave.given("a lease that another VM acquired later")
def acquired_by_other(context):
    """This VM held it before."""
    _acquire_lease(context)
    context.clock.advance(60.0)
    context.lease.tick()
    context.lease.conflict()
    _next_action(context)
    context.lease.read(9, _value("other", 2))
    context.clock.advance(CONTENDER_WAIT_S + LONGEST_ORDER_S + 1)
    assert isinstance(context.lease.tick(), lease_objects.ReadLease)


@behave.when("the lease is read as it was when this VM held it")
def restored(context):
    """The value has this VM's name and incarnation, with a new version."""
    context.lease.read(4, _value())


@behave.then("the lease is not held until its duration has passed")
def acquired_after_duration(context):
    """It is then acquired with a number above all observed ones."""
    assert context.lease.may_order() is None
    action, waited_s = _next_action(context)
    assert waited_s >= CONTENDER_WAIT_S + LONGEST_ORDER_S - 0.1
    context.lease.read(4, _value())
    write, _ = _next_action(context)
    assert write.value["fencing"] == 3


@behave.given("a held lease with fencing number 1")
def held_with_number_one(context):
    """This VM holds the lease."""
    _acquire_lease(context)


@behave.when("an upstream that has seen fencing number 7 refuses an order")
def refused(context):
    """The number 7 dates from before the store lost the object."""
    context.lease.fencing_rejected(7)


@behave.then("no order is sent until the lease is written with number 8")
def written_with_number_eight(context):
    """A read before that shows that this VM still holds the lease."""
    assert context.lease.may_order() is None
    action, _ = _next_action(context)
    assert isinstance(action, lease_objects.ReadLease)
    context.lease.read(2, _value())
    assert context.lease.may_order() is None
    write, _ = _next_action(context)
    assert write.value == _value(fencing=8)
    context.lease.written(3)
    assert context.lease.may_order() == 8


@behave.given("a lease that was last renewed by another VM")
def held_by_other(context):
    """This VM observes the object for the first time."""
    _lease(context)
    context.lease.tick()
    context.lease.read(5, _value("other", 4))


@behave.then(
    "the lease is acquired after its duration and the longest order, "
    "not before"
)
def acquired_late(context):
    """A read comes first, as the holder has most likely renewed it."""
    action, waited_s = _next_action(context)
    assert isinstance(action, lease_objects.ReadLease)
    assert 0 <= waited_s - CONTENDER_WAIT_S - LONGEST_ORDER_S < 0.2
    context.lease.read(5, _value("other", 4))
    write, _ = _next_action(context)
    assert write.expected_version == 5 and write.value == _value(fencing=5)


@behave.given("a lease that another VM released")
def released(context):
    """The last order of that VM may still be on its way."""
    context.write, context.waited_s = _next_write(context, _value("", 4), 5)


@behave.then("the lease is acquired after the longest order")
def acquired_early(context):
    """The next fencing number is written."""
    assert 0 <= context.waited_s - LONGEST_ORDER_S < 0.2
    assert context.write.value == _value(fencing=5)


@behave.given("a lease object with a value that is not a lease")
def not_a_lease(context):
    """Somebody may have edited it by hand."""
    _lease(context)
    context.lease.tick()
    context.lease.read(5, {"hello": "world"})


@behave.then("the lease object is not overwritten")
def not_overwritten(context):
    """It is read again after a while."""
    action, _ = _next_action(context)
    assert isinstance(action, lease_objects.ReadLease)
    assert context.lease.may_order() is None
