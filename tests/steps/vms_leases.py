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
WAITED_S = DURATION_S * (1 + leases.CLOCK_DRIFT_FRACTION)
SOME = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    # Making a failing world smaller takes minutes and tells little.
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


@behave.then("with lost answers, pauses and moves no two hold a lease at once")
def one_holder(context):
    """In many worlds."""
    context.ordered = 0

    @SOME
    @hypothesis.given(strategies.integers(0, 10_000), FAULTS)
    def check(seed, faults):
        world = _all_want(lease_world.World(seed, faults)).run(300.0)
        assert not world.double_holders()
        assert not world.order_races()
        context.ordered += len(world.applied)

    check()


@behave.then("no lease order takes effect after one of a later holder")
def no_races(context):
    """Checked in the same worlds; there were orders to check."""
    assert context.ordered > 1000


def _paused_world(context, make):
    world = _all_want(lease_world.World(5, lease_world.Faults(), make))
    world.run(60.0)
    (holder,) = world.holders[-1]
    world.pause(holder, 40.0)
    context.holder = holder
    context.world = world.run(120.0)


@behave.given("naive lease contenders, the holder paused for 40 s")
def naive_contenders(context):
    """They look when they renew."""
    _paused_world(context, naive_leases.NaiveLease)


@behave.given("lease contenders, the holder paused for 40 s")
def contenders(context):
    """They ask before each order."""
    _paused_world(context, leases.Lease)


@behave.then("two would have ordered at once under the lease")
def two_ordered(context):
    """The naive version does."""
    assert context.world.double_holders()


@behave.then("some lease order took effect after one of a later holder")
def raced(context):
    """The naive version does."""
    assert context.world.order_races()


@behave.then("at no time would two have ordered under the lease")
def never_two(context):
    """At no step."""
    assert not context.world.double_holders()


@behave.then("every lease order took effect before those of later holders")
def in_order(context):
    """At an upstream that ignores the numbers."""
    assert context.world.applied and not context.world.order_races()


@behave.then("the lease has moved to another holder")
def moved(context):
    """Else nothing would have been proved."""
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
    """The next store call, and the seconds until it was due."""
    start = context.clock.now()
    while context.clock.now() - start < limit_s:
        action = context.lease.tick()
        if action is not None:
            return action, context.clock.now() - start
        context.clock.advance(0.1)
    raise AssertionError("no store call")


def _take(context, value=None, version=1):
    """Read a free object, wait, write it."""
    _lease(context)
    context.lease.tick()
    context.lease.read(version, value or _value("", 0))
    return _next_action(context)


def _held(context):
    write, _ = _take(context)
    context.lease.written(2)
    assert context.lease.may_order() == write.value["fencing"] == 1


@behave.given("a held lease whose renewal gets no answer")
def renewal_lost(context):
    """The call goes out and times out two seconds later."""
    _held(context)
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
def took_effect(context):
    """Another version, the value that was written."""
    context.lease.read(3, _value())


@behave.when("the lease is read and shows the version before")
def no_effect(context):
    """It may still arrive later."""
    context.lease.read(2, _value())


@behave.when("its next renewal gets no answer either")
def lost_again(context):
    """It writes the same value."""
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


@behave.then("the lease counts from before that renewal was sent")
def from_sent(context):
    """Not from the answer."""
    assert abs(_ends_at(context) - context.sent_at - HELD_S) < 0.02


@behave.then("the lease ends when it would have without that renewal")
def unchanged_end(context):
    """The first write counts on."""
    assert abs(_ends_at(context) - context.taken_at - HELD_S) < 0.02


@behave.given("a lease whose first write was answered after 10 s")
def slow_answer(context):
    """The store was slow."""
    _take(context)
    context.clock.advance(10.0)
    context.lease.written(2)


@behave.then("the lease holds for less than 5 s more")
def not_longer(context):
    """The successor counts from when the write took effect."""
    assert context.lease.may_order() == 1
    start = context.clock.now()
    assert _ends_at(context) - start < 5.0


@behave.given("a lease that another VM took over")
def taken_over(context):
    """After this one held it."""
    _held(context)
    context.clock.advance(60.0)
    context.lease.tick()
    context.lease.conflict()
    _next_action(context)
    context.lease.read(9, _value("other", 2))
    context.clock.advance(WAITED_S + LONGEST_ORDER_S + 1)
    assert isinstance(context.lease.tick(), lease_objects.ReadLease)


@behave.when("the lease is read as it was when this VM held it")
def restored(context):
    """Its name and its incarnation, under a new version."""
    context.lease.read(4, _value())


@behave.then("the lease is not held and is waited out")
def waited_out(context):
    """Then it is taken with a number above all seen."""
    assert context.lease.may_order() is None
    action, waited_s = _next_action(context)
    assert waited_s >= WAITED_S + LONGEST_ORDER_S - 0.1
    context.lease.read(4, _value())
    write, _ = _next_action(context)
    assert write.value["fencing"] == 3


@behave.given("a held lease with fencing number 1")
def held_one(context):
    """Valid."""
    _held(context)


@behave.when("an upstream refuses it as it has seen fencing number 7")
def refused(context):
    """From before the store lost the object."""
    context.lease.fenced_off(7)


@behave.then("no order goes out until the lease is written with number 8")
def raised(context):
    """After a read that shows it is still ours."""
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
def others(context):
    """Seen now for the first time."""
    _lease(context)
    context.lease.tick()
    context.lease.read(5, _value("other", 4))


@behave.then(
    "it is taken after its duration and the longest order, not before"
)
def taken_late(context):
    """A read comes first, as the holder has most likely renewed."""
    action, waited_s = _next_action(context)
    assert isinstance(action, lease_objects.ReadLease)
    assert 0 <= waited_s - WAITED_S - LONGEST_ORDER_S < 0.2
    context.lease.read(5, _value("other", 4))
    write, _ = _next_action(context)
    assert write.expected_version == 5 and write.value == _value(fencing=5)


@behave.given("a lease that another VM released")
def released(context):
    """Its last order may still be on its way."""
    context.write, context.waited_s = _take(context, _value("", 4), 5)


@behave.then("it is taken after the longest order")
def taken_soon(context):
    """With the next number."""
    assert 0 <= context.waited_s - LONGEST_ORDER_S < 0.2
    assert context.write.value == _value(fencing=5)


@behave.given("a lease object that holds something else")
def no_lease(context):
    """Written by hand, say."""
    _lease(context)
    context.lease.tick()
    context.lease.read(5, {"hello": "world"})


@behave.then("nothing is written over it")
def untouched(context):
    """It is read again now and then."""
    action, _ = _next_action(context)
    assert isinstance(action, lease_objects.ReadLease)
    assert context.lease.may_order() is None
