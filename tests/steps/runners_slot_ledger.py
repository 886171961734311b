"""Steps for tests/runners/slot_ledger.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.runners import slot_ledger
from apricotlever.runners import slot_requests

SERVICE = "service"
HERE = "dc-1"
PROCESS = "vm-1#1"
LEASE_S = 0.8
#: What may happen to a ledger: the event, a call's number and a runner's.
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["ask", "ask", "ask", "wait", "release", "reject", "move"]
            + ["time", "unlist", "list", "restart", "gone", "held"]
        ),
        strategies.integers(0, 9),
        strategies.integers(1, 2),
    ),
    max_size=60,
)


def _slots(number, count, data_centre="dc-2", start=""):
    return slot_requests.Slots(
        f"runner-{number}{start}", SERVICE, count, data_centre
    )


def _request(rank=0, wait_s=0.0, excluded=()):
    return slot_requests.Request(
        SERVICE, frozenset(excluded), HERE, rank, wait_s, LEASE_S
    )


@given("runners with {counts} slots")
def _make(context, counts):
    context.clock = clocks.ManualClock()
    context.slowness = {}
    context.reported = {}
    context.ledger = slot_ledger.SlotLedger(
        context.clock,
        lambda runner: context.slowness.get(runner, 1.0),
        lambda runner: context.reported.get(runner, 0),
    )
    context.slots = [
        _slots(number, int(count))
        for number, count in enumerate(counts.split(","), 1)
    ]
    context.ledger.set_runners(context.slots)
    context.granted = {}
    context.next_call = 100


@given("runner {number:d} is {times:g} times slower")
def _slow(context, number, times):
    context.slowness[f"runner-{number}"] = times


@given("runner {number:d} is in the data centre of the asking VMs")
def _move_near(context, number):
    context.slots[number - 1].data_centre = HERE
    context.ledger.set_runners(context.slots)


@given("the VMs report {first:d} calls at runner 1 and {second:d} at runner 2")
def _report(context, first, second):
    context.reported = {"runner-1": first, "runner-2": second}


def _take_grants(context):
    for grant in context.ledger.take_grants():
        assert grant.number not in context.granted
        context.granted[grant.number] = grant.runner


def _ask(context, number, **terms):
    runner, context.waits = context.ledger.ask(
        PROCESS, number, _request(**terms)
    )
    _take_grants(context)
    if runner is not None:
        context.granted[number] = runner


@when("{count:d} calls ask for a slot")
def _ask_many(context, count):
    for _ in range(count):
        context.next_call += 1
        _ask(context, context.next_call)


@when("call {number:d} asks with rank {rank:d} and can wait {wait_s:g} s")
def _ask_one(context, number, rank, wait_s):
    _ask(context, number, rank=rank, wait_s=wait_s)


@when("{count:d} calls ask, wait and are cancelled")
def _ask_and_cancel(context, count):
    for _ in range(count):
        context.next_call += 1
        _ask(context, context.next_call, wait_s=0.03)
        context.ledger.release(PROCESS, context.next_call)


@then("call 2 waits")
def _waits(context):
    assert context.waits


@when("call {number:d} asks with rank {rank:d} without runner 1")
def _ask_without(context, number, rank):
    _ask(context, number, rank=rank, wait_s=0.03, excluded=["runner-1"])


@when("call {number:d} is released")
def _release(context, number):
    context.ledger.release(PROCESS, number)
    _take_grants(context)


@when("the call at runner 1 is released")
def _release_there(context):
    numbers = [n for n, r in context.granted.items() if r == "runner-1"]
    _release(context, numbers[0])


@when("the runner of call {number:d} rejects it")
def _reject(context, number):
    context.ledger.release(PROCESS, number, rejected=True)


@when("call {number:d} was sent to runner {runner:d} instead")
def _move(context, number, runner):
    context.ledger.move(PROCESS, number, f"runner-{runner}", LEASE_S)


@when("{seconds:g} s pass on the ledger's clock")
def _pass(context, seconds):
    context.clock.advance(seconds)


@when("its VM is no longer a member")
def _leave(context):
    context.ledger.keep_processes({"vm-2#1"})


@when("its VM asks for call 9 and says that it ended")
def _ask_with_held(context):
    # The runner is excluded, so call 9 itself takes no slot.
    context.ledger.ask(
        PROCESS, 9, _request(excluded=["runner-1"]), held=frozenset()
    )


@when("the runner starts anew under its name")
def _restart(context):
    context.ledger.set_runners([_slots(1, 1, start="@2")])


@then("runner {first:d} has {count:d} leases")
def _check_one(context, first, count):
    assert context.ledger.in_use(f"runner-{first}") == count


@then("runner 1 has {first:d} leases and runner 2 has {second:d}")
def _check_two(context, first, second):
    found = [context.ledger.in_use(f"runner-{n}") for n in (1, 2)]
    assert found == [first, second], found


@then("the granted calls are {numbers}")
def _check_granted(context, numbers):
    expected = [int(number) for number in numbers.split(",")]
    assert sorted(context.granted) == expected, context.granted


@then("{count:d} slots were granted")
def _check_count(context, count):
    assert len(context.granted) == count, context.granted


@then("call {number:d} got no slot and does not wait")
def _check_none(context, number):
    assert number not in context.granted and not context.waits


@then("the runner of call 1 has {count} lease")
def _check_rejecting(context, count):
    found = context.ledger.in_use(context.granted[1])
    assert (found > 0) == (count == "a"), found


def _apply(ledger, clock, event, number, runner):
    name = f"runner-{runner}"
    if event in ("ask", "wait"):
        wait_s = 0.03 if event == "wait" else 0.0
        ledger.ask(PROCESS, number, _request(number % 3, wait_s))
    elif event in ("release", "reject"):
        ledger.release(PROCESS, number, event == "reject")
    elif event == "move":
        ledger.move(PROCESS, number, name, LEASE_S)
    elif event == "time":
        clock.advance(0.02 * (number + 1))
    elif event == "unlist":
        ledger.set_runners([_slots(3 - runner, runner)])
    elif event == "list":
        ledger.set_runners([_slots(1, 2), _slots(2, 1)])
    elif event == "restart":
        ledger.set_runners([_slots(1, 2), _slots(2, 1, start="@2")])
    elif event == "gone":
        ledger.keep_processes(set())
    else:
        ledger.ask("vm-2#1", number, _request(), held=frozenset({number}))


@then("after any events the counts are right, and all leases end in time")
def _fuzz(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(EVENTS)
    def check(events):
        clock = clocks.ManualClock()
        ledger = slot_ledger.SlotLedger(clock)
        ledger.set_runners([_slots(1, 2), _slots(2, 1)])
        for event, number, runner in events:
            before = ledger.in_use("runner-1"), ledger.in_use("runner-2")
            _apply(ledger, clock, event, number, runner)
            grants = ledger.take_grants()
            uses = ledger.in_use("runner-1"), ledger.in_use("runner-2")
            assert min(uses) >= 0
            assert sum(uses) <= ledger.call_count
            if event != "move":
                # A grant never exceeds the slots, whatever has happened.
                for use, was, count in zip(uses, before, (2, 1)):
                    assert use <= max(was, count), (event, uses, before)
            assert all(grant.runner for grant in grants)
        clock.advance(LEASE_S)
        ledger.keep_processes({PROCESS, "vm-2#1"})
        assert ledger.call_count == 0
        assert ledger.in_use("runner-1") == ledger.in_use("runner-2") == 0

    check()
