"""Steps for tests/vms/caller_memory.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever.vms import caller_memory

KB = 1000


class _Connection:
    """A connection that holds some memory."""

    def __init__(self, memory, held):
        self.memory = memory
        self.held_bytes = held
        self.first = held
        self.stage = caller_memory.Stage.UNFINISHED
        memory.add(self)
        memory.change(held)

    def give_way(self):
        """Free what it holds."""
        self.memory.change(-self.held_bytes)
        self.held_bytes = 0


@given("a machine of {size:d} MB, of which callers may hold {limit:d}")
def _machine(context, size, limit):
    context.memory = caller_memory.CallerMemory(size * KB * KB)
    assert context.memory.limit == limit * KB * KB


@when("connections hold {sizes} KB of calls not read to their end")
def _hold(context, sizes):
    context.connections = [
        _Connection(context.memory, int(size) * KB) for size in sizes.split()
    ]


@when("calls that hold {size:d} KB are being answered")
def _answered(context, size):
    context.memory.change(size * KB)


@when("a call of {size:d} KB is read to its end")
def _read(context, size):
    context.admitted = context.memory.admits(size * KB)


@then("that call is admitted")
def _is_admitted(context):
    assert context.admitted


@then("the connections of {size:d} KB alone have given way")
def _gave_way(context, size):
    gone = [c.first for c in context.connections if not c.held_bytes]
    assert set(gone) == {size * KB}, gone


@then("a call of {size:d} KB is refused")
def _refused(context, size):
    assert not context.memory.admits(size * KB)


@then("a call of {size:d} KB is admitted")
def _admitted(context, size):
    assert context.memory.admits(size * KB)
