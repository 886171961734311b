"""Steps for tests/vms/fleet_size.feature."""

import asyncio
import random

from behave import given
from behave import then

from apricotlever import clock as clocks
from apricotlever.serving import fleet_size_record
from apricotlever.serving import store
from apricotlever.vms import fleet_size
from apricotlever.vms import peer_table
from apricotlever.vms import vm_records
from tests.serving import memory_store


@given(
    "a process that {read} and has heard from {heard:d} VMs after {uptime:d} s"
)
def _process(context, read, heard, uptime):
    clock = clocks.ManualClock()
    size = context.size = fleet_size.FleetSize(clock)
    if read == "has found none":
        size.set_stored(None)
    elif read.startswith("has read a size "):
        size.set_stored(int(read.rpartition(" ")[2]))
    size.set_counted(heard)
    clock.advance(float(uptime))


@then("the size of its fleet is {size}")
def _size(context, size):
    expected = None if size == "unknown" else int(size)
    assert context.size.size == expected, context.size.size


@then("it wants the store to name {size}")
def _to_store(context, size):
    expected = None if size == "nothing" else int(size)
    assert context.size.size_to_store == expected, context.size.size_to_store


@given("a VM that hears from 6 others, of which 2 fall silent and 1 leaves")
def _table(context):
    context.clock = clocks.ManualClock()
    context.peers = peer_table.PeerTable(
        context.clock, random.Random(1), "me", "10.0.0.1:1", []
    )
    context.number = 0
    _hear(context, range(6))


def _hear(context, numbers, leaving=()):
    context.number += 1
    for each in numbers:
        context.peers.receive_record(
            vm_records.VmRecord(
                f"vm-{each}",
                1,
                context.number,
                f"10.0.1.{each}:1",
                "",
                "dc",
                leaving=each in leaving,
            )
        )


@then(
    "after {first_s:d} s it counts {first:d} others, and after {last_s:d} s 3"
)
def _counts(context, first_s, first, last_s):
    _hear(context, range(6), leaving=(5,))
    for second in range(1, last_s + 1):
        context.clock.advance(1.0)
        _hear(context, range(3))
        if second == first_s:
            assert _count(context) == first, _count(context)
    assert _count(context) == 3, _count(context)


def _count(context):
    return context.peers.count_heard(
        fleet_size.REMEMBER_S, fleet_size.REMEMBER_ENDED_S
    )


@given("two processes of a fleet with a store that fails at first")
def _two(context):
    context.clock = clocks.ManualClock()
    context.store = memory_store.MemoryStore()
    context.sizes = [fleet_size.FleetSize(context.clock) for _ in range(2)]
    context.records = [
        fleet_size_record.FleetSizeRecord(
            random.Random(n), size, context.store, lambda n=n: n == 0
        )
        for n, size in enumerate(context.sizes)
    ]
    for size in context.sizes:
        size.set_counted(1)


@then("neither knows the size before the store answers")
def _unknown(context):
    context.store.errors = [store.NotDone, store.Unanswered]
    for record in context.records:
        assert not asyncio.run(record.read())
    context.clock.advance(5.0)
    for record, size in zip(context.records, context.sizes, strict=True):
        assert not asyncio.run(record.write())
        assert size.size is None


@then("both know it once one has written it")
def _known(context):
    first, second = context.records
    assert not asyncio.run(first.read())
    assert asyncio.run(first.write())
    assert asyncio.run(second.read())
    assert [size.size for size in context.sizes] == [2, 2]


@then("a spoiled record is written anew")
def _anew(context):
    first, _ = context.records
    for spec in ("x", {}, {"vms": -1}, {"vms": 10**9}, {"vms": True}):
        found = context.store.objects["fleet", "size"]
        asyncio.run(
            context.store.replace("fleet", "size", spec, found.revision)
        )
        assert not asyncio.run(first.read()), spec
        assert asyncio.run(first.write()), spec
        assert context.sizes[0].size == 2
