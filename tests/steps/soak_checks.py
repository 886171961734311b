"""Steps for tests/soak/soak.feature."""

import asyncio
import pathlib
import random
import tempfile

from behave import given
from behave import then
from behave import when

from soak import __main__ as soak_main
from soak import callers
from soak import checks
from soak import cut_checks
from soak import cuts
from soak import faults
from soak import fleet
from soak import proxy
from soak import runner
from soak import statement_checks
from soak import statements

OTHER_CALL_ID = "c-other"


@when(
    "a soak test with seed {seed:d} injects faults into {vms:d} VMs "
    "and {runners:d} runners for {seconds:f} s"
)
def _run_soak(context, seed, vms, runners, seconds):
    assert (vms, runners) == (soak_main.VM_COUNT, soak_main.RUNNER_COUNT)
    with tempfile.TemporaryDirectory() as folder:
        context.result = asyncio.run(
            soak_main.run_soak_test(seed, seconds, pathlib.Path(folder))
        )


@then("it made over {count:d} calls and violated no guarantee")
def _check_result(context, count):
    assert not context.result.violations, context.result.summary
    assert len(context.result.calls) > count


def _served_call(prefix):
    call = callers.Call("c-1", prefix, "vm-0", 1.0)
    call.status = 200
    call.complete = True
    call.body = runner.answer_text("c-1").encode()
    return call


def _stream_call(numbers, call_id="c-1"):
    call = _served_call("/stream/")
    call.body = b"".join(runner.format_event(call_id, n) for n in numbers)
    return call


def _stream_with_gap():
    call = _stream_call([1, 2, 4])
    call.complete = False
    return call


def _call_with_status(prefix, status):
    call = _served_call(prefix)
    call.status = status
    call.body = b""
    return call


def _all_event_numbers():
    return range(1, runner.event_count("c-1") + 1)


def _call_with_wrong_body():
    call = _served_call("/safe/")
    call.body = runner.answer_text(OTHER_CALL_ID).encode()
    return call


def _call_with_trailing_bytes():
    call = _served_call("/safe/")
    call.trailing_bytes = b"more"
    return call


def _failed_quiet_call():
    call = _call_with_status("/safe/", 502)
    call.sent_at = 11.0
    return call


#: The recorded call and how often it ran, by scenario; the call is None
#: when only its execution is recorded.
SCENARIOS = {
    "to /once/ that ran twice": lambda: (_served_call("/once/"), 2),
    "to /safe/ that ran twice": lambda: (_served_call("/safe/"), 2),
    "to /once/ that was refused and ran": lambda: (
        _call_with_status("/once/", 503),
        1,
    ),
    "to /stream/ whose answer lacks an event": lambda: (_stream_with_gap(), 1),
    "to /stream/ that is complete too early": lambda: (
        _stream_call([1, 2]),
        1,
    ),
    "to /stream/ with events of another call": lambda: (
        _stream_call(_all_event_numbers(), OTHER_CALL_ID),
        1,
    ),
    "to /safe/ with the answer to another call": lambda: (
        _call_with_wrong_body(),
        1,
    ),
    "to /safe/ with bytes after its answer": lambda: (
        _call_with_trailing_bytes(),
        1,
    ),
    "to /safe/ that was refused with 404": lambda: (
        _call_with_status("/safe/", 404),
        0,
    ),
    "to /safe/ in the quiet period, not served": lambda: (
        _failed_quiet_call(),
        1,
    ),
    "that was never sent": lambda: (None, 1),
}


@given("a recorded call {what}")
def _check_call(context, what):
    call, execution_count = SCENARIOS[what]()
    quiet_call = callers.Call("c-2", "/safe/", "vm-0", 12.0)
    quiet_call.status, quiet_call.complete = 200, True
    quiet_call.body = runner.answer_text("c-2").encode()
    calls = [quiet_call] if call is None else [call, quiet_call]
    prefix = call.prefix if call is not None else "/safe/"
    executions = [["c-2", fleet.CUSTOMER, "/safe/x"]]
    executions += [["c-1", fleet.CUSTOMER, f"{prefix}x"]] * execution_count
    context.violations = checks.find_violations(calls, executions, 10.0)


@then('the checks report "{complaint}"')
def _one_violation(context, complaint):
    assert len(context.violations) == 1, context.violations
    assert complaint in context.violations[0], context.violations


@then("the checks report no violation")
def _no_violation(context):
    assert not context.violations, context.violations


@then(
    "the plans of seed {first_seed:d} are equal "
    "and that of seed {other_seed:d} differs"
)
def _compare_plans(context, first_seed, other_seed):
    plans = [
        faults.plan_faults(random.Random(s), 12.0)
        for s in (first_seed, first_seed, other_seed)
    ]
    assert plans[0] == plans[1] != plans[2]


@given("a VM's log with a failed task")
def _write_log(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.log = pathlib.Path(folder.name) / "vm-0.log"
    context.log.write_text("event=started\nevent=task_failed error=no\n")


@then("the failed task is reported")
def _check_failed_task(context):
    found = checks.find_failed_tasks([context.log])
    assert found == ["vm-0.log: 1 times event=task_failed error=no"], found


@when(
    "a soak test with seed {seed:d} injects faults and statements for {s:f} s"
)
def _run_soak_with_statements(context, seed, s):
    with tempfile.TemporaryDirectory() as folder:
        context.result = asyncio.run(
            soak_main.run_soak_test(seed, s, pathlib.Path(folder), True)
        )


def _event(at, kind, vm="-", value="-"):
    return statements.Event(at, "r-1", kind, vm, value)


@given("a soak runner whose limit of {limit:g} calls a second a VM was told")
def _name_limit(context, limit):
    context.disturbances = []
    context.events = [
        _event(0.0, statements.Kind.STARTED),
        _event(1.0, statements.Kind.SAYS, value=f"{limit:g}"),
        _event(1.1, statements.Kind.TOLD_LIMIT, "vm-1"),
    ]


def _send_calls(context, count, seconds, vm="vm-1", since=10.0):
    context.events += [
        _event(since + n * seconds / count, statements.Kind.ARRIVED, vm)
        for n in range(count)
    ]


@given("the VM sends {count:d} calls in {seconds:g} seconds")
def _send(context, count, seconds):
    _send_calls(context, count, seconds)


@given("another VM sends {count:d} calls in {seconds:g} seconds")
def _send_from_other(context, count, seconds):
    _send_calls(context, count, seconds, "vm-2")


@given("the VM sends {count:d} calls in {seconds:g} seconds within 3 seconds")
def _send_early(context, count, seconds):
    _send_calls(context, count, 2.0, since=2.0)


@given("the VM sends {count:d} calls in {seconds:g} seconds after a restart")
def _send_after_restart(context, count, seconds):
    context.disturbances = [statements.Disturbance("vm-1", 9.0, 9.5)]
    _send_calls(context, count, seconds)


@then("the checks find that limit kept")
def _check_kept(context):
    found = statement_checks.find_violations(
        context.events, context.disturbances
    )
    assert not found, found


@then("the checks find that limit broken")
def _check_broken(context):
    found = statement_checks.find_violations(
        context.events, context.disturbances
    )
    assert len(found) == 1 and "takes 2 calls a second" in found[0], found


@given("a soak runner that {said} a VM")
def _say_to_vm(context, said):
    kind, value = {
        "asked rest of": (statements.Kind.ASKED_REST, "3"),
        "told of its leaving": (statements.Kind.TOLD_LEAVING, "-"),
    }[said]
    context.disturbances = []
    context.events = [
        _event(0.0, statements.Kind.STARTED),
        _event(10.0, kind, "vm-1", value),
    ]


@given("{count:d} calls of {vm} arrive {at:g} seconds later")
def _arrive_later(context, count, vm, at):
    name = "vm-1" if vm == "that VM" else "vm-2"
    context.events += [
        _event(10.0 + at + 0.001 * n, statements.Kind.ARRIVED, name)
        for n in range(count)
    ]


@then("the checks find that word {outcome}")
def _check_word(context, outcome):
    found = statement_checks.find_violations(
        context.events, context.disturbances
    )
    assert bool(found) == (outcome == "broken"), found


@then("the plans of cuts of seed 7 are equal and that of seed 8 differs")
def _check_cut_plans(context):
    def plan(seed):
        return cuts.plan(random.Random(seed), 30.0)

    assert plan(7) == plan(7) != plan(8)


@when("a soak test with seed {seed:d} injects faults and cuts for {s:f} s")
def _run_soak_with_cuts(context, seed, s):
    with tempfile.TemporaryDirectory() as folder:
        context.result = asyncio.run(
            soak_main.run_soak_test(
                seed, s, pathlib.Path(folder), with_cuts=True
            )
        )


#: When the soak test and the cut in it began.
STARTED_AT = 1000.0
CUT_AT = 1010.0
CUT_S = 10.0


def _cut_period(vm):
    return cuts.CutPeriod([vm], proxy.Cut.HANG, CUT_AT, CUT_AT + CUT_S)


def _observations(periods):
    return cut_checks.Observations([], STARTED_AT, periods, [], [], [], [])


def _call_at(at, vm, served):
    call = callers.Call(f"c-{vm}-{at}", "/safe/", vm, CUT_AT + at - STARTED_AT)
    call.status, call.complete = (200, True) if served else (503, True)
    return call


@given("a soak test in which VM vm-0 of two was cut off for 10 seconds")
def _cut_one_of_two(context):
    context.seen = _observations([_cut_period("vm-0")])


@given(
    "from {at:g} s after the cut began {served:d} of {count:d} calls to it "
    "were served"
)
def _serve_there(context, at, served, count):
    context.at = at
    context.seen.calls += [
        _call_at(at + 0.03 * n, "vm-0", n < served) for n in range(count)
    ]


@given("{served:d} of {count:d} calls to the other VM were served")
def _serve_others(context, served, count):
    context.seen.calls += [
        _call_at(context.at + 0.03 * n, "vm-1", n < served)
        for n in range(count)
    ]


def _add_fault(context, name):
    context.seen.faults.append(
        statements.Disturbance(name, CUT_AT + 1.0, CUT_AT + 2.0)
    )


#: What else happened in a soak test with a cut.
BESIDE = {
    "nothing else happened": lambda context: None,
    "the other VM was killed": lambda context: _add_fault(context, "vm_kill"),
    "the VMs were reloaded": lambda context: _add_fault(context, "vm_reload"),
    "the other VM was cut off": lambda context: (
        context.seen.periods.append(_cut_period("vm-1"))
    ),
    "a list of VMs was empty": lambda context: (
        context.seen.empty_lookups.append(CUT_AT + 1.0)
    ),
}


@given("beside the cut {what}")
def _happen(context, what):
    BESIDE[what](context)


@given("a soak test in which {count:d} callers left after {s:g} seconds")
def _leave(context, count, s):
    context.seen = _observations([])
    for number in range(count):
        call = _call_at(number, "vm-0", False)
        call.left_after_s = s
        context.seen.calls.append(call)


@given("their calls ran from {began:g} to {ended:g} s after they were sent")
def _run_on(context, began, ended):
    for call in context.seen.calls:
        context.seen.events += [
            statements.Event(
                STARTED_AT + call.sent_at + at,
                "r-1",
                kind,
                "vm-1",
                call.call_id,
            )
            for at, kind in (
                (began, statements.Kind.BEGAN),
                (ended, statements.Kind.ENDED),
            )
        ]


@given("the sending VM {state}")
def _set_sender(context, state):
    if state == "was cut off":
        context.seen.periods.append(_cut_period("vm-1"))


@then('the checks of cuts report "{complaint}"')
def _check_cut_complaint(context, complaint):
    found = cut_checks.find_violations(context.seen)
    if complaint == "nothing":
        assert not found, found
    else:
        assert len(found) == 1 and complaint in found[0], found
