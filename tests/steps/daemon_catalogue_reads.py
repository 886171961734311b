"""Steps for tests/daemon/catalogue_reads.feature."""

from apricotlever import clock as clocks
from apricotlever.daemon import catalogue_reads
from behave import given
from behave import then
from behave import when

from tests.daemon import waits


@given("a catalogue read that begins while version {version:d} is in force")
def _begins(context, version):
    context.clock = clocks.ManualClock()
    context.schedule = catalogue_reads.ReadSchedule(context.clock)
    context.schedule.read_started(version)


@when(
    "the catalogue read, started before a newer version, returns version "
    "{version:d}"
)
@when("the catalogue read returns version {version:d}")
def _returns(context, version):
    context.schedule.read_succeeded(version)


@when("a catalogue watch returns version {version:d}")
def _watch_returns(context, version):
    context.schedule.watch_returned(version)


@then("the store is not reported to have gone back")
def _not_reported(context):
    assert context.schedule.older_store_version is None


@then("the store is reported to have gone back to version {version:d}")
def _reported(context, version):
    assert context.schedule.older_store_version == version


@then("the next catalogue read is due after {seconds:f} s")
def _due(context, seconds):
    waited = waits.waited_s(context.clock, context.schedule)
    assert waited == seconds, waited


@when("the catalogue read fails {count:d} times")
def _fails(context, count):
    context.waits = []
    for _ in range(count):
        context.schedule.call_failed()
        context.waits.append(waits.waited_s(context.clock, context.schedule))


@then("the catalogue reads waited 0.25, 0.5, 1.0 and 1.0 s")
def _waited(context):
    assert context.waits == [0.25, 0.5, 1.0, 1.0], context.waits
