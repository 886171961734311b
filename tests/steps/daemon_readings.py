"""Steps for tests/daemon/readings.feature."""

from apricotlever import clock as clocks
from apricotlever.daemon import readings
from behave import given
from behave import then
from behave import when

STEP_S = 0.25


@given("a catalogue reading that begins while version {version:d} is in force")
def _begins(context, version):
    context.clock = clocks.ManualClock()
    context.readings = readings.Readings(context.clock)
    context.readings.begin(version)


@when("the catalogue reading, overtaken, gives version {version:d}")
@when("the catalogue reading gives version {version:d}")
def _gives(context, version):
    context.readings.read(version)


@when("a catalogue watch shows version {version:d}")
def _shows(context, version):
    context.readings.seen(version)


@then("the catalogue reading does not tell that the store went back")
def _not_back(context):
    assert context.readings.behind is None


@then("the catalogue reading tells that the store is at version {version:d}")
def _back(context, version):
    assert context.readings.behind == version


def _wait_s(context):
    waited = 0.0
    while not context.readings.due:
        context.clock.advance(STEP_S)
        waited += STEP_S
    return waited


@then("the next catalogue reading is due after {seconds:f} s")
def _due(context, seconds):
    waited = _wait_s(context)
    assert waited == seconds, waited


@when("the catalogue reading fails {count:d} times")
def _fails(context, count):
    context.waits = []
    for _ in range(count):
        context.readings.failed()
        context.waits.append(_wait_s(context))


@then("the catalogue readings waited 0.25, 0.5, 1.0 and 1.0 s")
def _waited(context):
    assert context.waits == [0.25, 0.5, 1.0, 1.0], context.waits
