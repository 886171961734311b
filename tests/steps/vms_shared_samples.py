"""Steps for tests/vms/shared_samples.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever.vms import aggregates
from apricotlever.vms import shared_samples
from apricotlever.vms import vm_records

TOPIC = "calls"


@when("each VM counts {count:d} calls at one runner")
def _count(context, count):
    context.aggregators = {
        vm.name: vm.exchange.aggregator for vm in context.world.vms.values()
    }
    for vm in context.world.vms.values():
        vm.exchange.samples.add(TOPIC, "runner-1", [count, -count])


@then(
    "each VM that kept its aggregator has received {count:d} calls of every "
    "other VM"
)
def _all_received(context, count):
    size = len(context.world.vms)
    kept = [
        vm
        for vm in context.world.vms.values()
        if vm.exchange.aggregator == context.aggregators[vm.name]
    ]
    assert len(kept) >= 0.9 * size, (len(kept), size)
    for vm in kept:
        calls, negative = vm.received_samples.take(1)[TOPIC]["runner-1"]
        assert calls == -negative
        # In a large fleet, a VM's own counts come back to it.
        assert calls in (count * (size - 1), count * size), (vm.name, calls)


@given("a buffer with counts of {keys:d} key")
@given("a buffer with counts of {keys:d} keys")
def _buffer(context, keys):
    context.buffer = shared_samples.SampleBuffer()
    for number in range(keys):
        context.buffer.add(TOPIC, f"runner-{number}", [1])


@then("it gives 64, 64 and 22 keys in turn, and none after them")
def _take_in_turn(context):
    most = shared_samples.MAX_KEYS_PER_RECORD
    taken = [context.buffer.take(most).get(TOPIC, {}) for _ in range(4)]
    assert [len(keys) for keys in taken] == [64, 64, 22, 0]


@when("3 counts of the same key are added")
def _add_others(context):
    context.buffer.add(TOPIC, "runner-0", [4, 5, 6])


@then("it gives the 3 counts")
def _take_others(context):
    assert context.buffer.take(1) == {TOPIC: {"runner-0": [4, 5, 6]}}


@when("the record without samples, notices and refusals is encoded")
def _encode_record(context):
    context.message = vm_records.VmRecord(
        "vm", 1, 1, "10.0.0.1:1", "", "dc", trials={}
    )


@when("the aggregate without samples, notices and refusals is encoded")
def _encode_aggregate(context):
    context.message = aggregates.Aggregate("vm", 1, 1, "10.0.0.1:1", True)


@when("it has samples and nothing after them")
def _add_samples(context):
    context.message.samples = {TOPIC: {"runner-1": [1, 2]}}


@then("it ends with the field {name}")
def _last_field(context, name):
    fields = type(context.message).__slots__
    encoded = context.message.to_record()
    assert len(encoded) == fields.index(name) + 1, encoded


@then("decoding it gives the same message")
def _decode(context):
    encoded = context.message.to_record()
    decoded = type(context.message).from_record(encoded)
    assert decoded.to_record() == encoded
    assert not decoded.notices and not decoded.refused
