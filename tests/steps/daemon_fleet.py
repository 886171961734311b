"""Steps that several failure tests of the daemon use."""

import json
import threading
import time

from behave import given
from behave import then
from behave import when

from tests.daemon import direct_streams
from tests.daemon import fleet_fixture
from tests.support import fleet


def _start_fleet(context, engines, vms, services=0, **options):
    context.scene = fleet_fixture.FleetFixture(
        engines, services, vms, **options
    )
    context.closers.append(context.scene.close)


@given("a fleet of {engines:d} engines and {vms:d} entry VMs")
def _engines_and_vms(context, engines, vms):
    _start_fleet(context, engines, vms)


@given(
    "a fleet of {engines:d} engines, {services:d} services and "
    "{vms:d} entry VMs"
)
def _with_services(context, engines, services, vms):
    _start_fleet(context, engines, vms, services)


@given("{count:d} callers are streaming {tokens:d} tokens each")
def _streaming(context, count, tokens):
    context.scene.stream(count, tokens)
    context.scene.wait_running(count)


@given("{count:d} callers are streaming {tokens:d} tokens each at {vm}")
def _streaming_at(context, count, tokens, vm):
    context.scene.stream(count, tokens, vm=vm)
    context.scene.wait_running(count)


@given("exports take {seconds:f} s at the runners of {data_centre}")
def _exports_slow(context, seconds, data_centre):
    for name in context.scene.engines_in(data_centre):
        context.scene.fleet.set_faults(name, export_delay_s=seconds)


@given("imports fail at the runners of {data_centre}")
def _imports_fail(context, data_centre):
    for name in context.scene.engines_in(data_centre):
        context.scene.fleet.set_faults(name, import_fails=True)


@given("the platform's list lags by {seconds:f} s")
def _list_lags(context, seconds):
    context.scene.fleet.set_faults("cloud", lag_s=seconds)


@when("no VM can be bought")
def _no_vm_for_sale(context):
    context.scene.fleet.set_faults("cloud", no_capacity=True)


@when(
    "{count:d} callers stream {tokens:d} tokens directly from the runners "
    "of {data_centre}"
)
def _stream_directly(context, count, tokens, data_centre):
    address = context.scene.fleet.address(
        context.scene.engines_in(data_centre)[0]
    )
    context.direct_streams = direct_streams.DirectStreams(
        address, count, tokens
    )
    context.closers.append(context.direct_streams.close)


@when(
    "the runners of {data_centre} are reclaimed after a notice of "
    "{seconds:f} s"
)
def _reclaimed(context, data_centre, seconds):
    context.scene.fleet.reclaim(context.scene.engines_in(data_centre), seconds)


@when("the runners of {data_centre} get a reclaim notice of {seconds:f} s")
def _noticed(context, data_centre, seconds):
    names = context.scene.engines_in(data_centre)
    context.scene.fleet.reclaim(names, seconds, kill=False)


@when(
    "the runners of {data_centre} get a second reclaim notice of {seconds:f} s"
)
def _noticed_again(context, data_centre, seconds):
    time.sleep(0.1)
    _noticed(context, data_centre, seconds)


@when("the runners of {data_centre} are killed without a notice")
def _killed(context, data_centre):
    context.scene.fleet.kill_without_notice(
        context.scene.engines_in(data_centre)
    )


@when(
    "{seconds:f} s later the runners of {data_centre} are killed without a "
    "notice"
)
def _killed_later(context, seconds, data_centre):
    time.sleep(seconds)
    _killed(context, data_centre)


@when("{seconds:f} s later {count:d} callers stream {tokens:d} tokens each")
def _stream_later(context, seconds, count, tokens):
    time.sleep(seconds)
    context.scene.stream(count, tokens)


@when("{vm} is killed")
def _vm_killed(context, vm):
    context.scene.fleet.kill(vm)


@when("{vm} is asked to stop")
def _vm_terminated(context, vm):
    context.scene.fleet.terminate(vm)


@when("{vm} gets a reclaim notice of {seconds:f} s")
def _vm_reclaimed(context, vm, seconds):
    context.scene.fleet.reclaim([vm], seconds)


@then("an answer is broken")
def _some_answer_broken(context):
    assert any(answer.problem for answer in context.direct_streams.results())


def answers_of(context):
    """The answers of all callers; waits for the callers at the first use."""
    if not hasattr(context, "found"):
        context.found = context.scene.answers()
    return context.found


@then("every answer is whole and no token came twice")
def _answers_whole(context):
    received = answers_of(context)
    wrong = fleet_fixture.problems(received)
    assert received and not wrong, (wrong, logs_of(context))


def logs_of(context):
    """The ends of the entry VMs' logs, for the message of a failed check."""
    texts = (context.scene.fleet.log(vm) for vm in context.scene.vms)
    return "\n".join(text[-6000:] for text in texts)


@then("some streams were moved")
def _streams_moved(context):
    assert "event=stream_moved" in logs_of(context)


@then("no token was recomputed")
def _no_token_recomputed(context):
    recomputed = context.scene.recomputed_tokens()
    assert recomputed == 0, (recomputed, logs_of(context))


@then("no more tokens were recomputed than the killed runners had computed")
def _recomputed_at_most_lost(context):
    recomputed = context.scene.recomputed_tokens()
    lost = direct_streams.lost_tokens(logs_of(context))
    assert 0 < recomputed <= lost, (recomputed, lost)


@then("at most {seconds:f} s passed between two tokens")
def _token_gap_at_most(context, seconds):
    longest = max(
        max(a.token_gaps_s, default=0.0) for a in answers_of(context)
    )
    assert longest <= seconds, longest


@then("the runners of {data_centre} executed nothing")
def _executed_nothing(context, data_centre):
    for name in context.scene.engines_in(data_centre):
        assert not context.scene.fleet.execution_counts(name), name


@then("{vm} exits with {code:d}")
def _exits_with(context, vm, code):
    process = context.scene.fleet.process(vm)
    fleet.wait_for(lambda: not process.running)
    assert process.exit_code == code, (process.exit_code, process.log)


@then("some callers were redirected to another entry VM")
def _callers_redirected(context):
    assert any(answer.redirects for answer in answers_of(context))


def in_background(function):
    """Run a function concurrently with the scenario and return its thread."""
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    return thread


def pretty(document):
    """A document as JSON, for the message of a failed check."""
    return json.dumps(document, indent=1)[:4000]
