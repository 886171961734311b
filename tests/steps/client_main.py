"""Steps for tests/client/main.feature."""

import pathlib
import tempfile

from apricotlever.client import exit_codes
from apricotlever import refusals
from behave import given
from behave import then
from behave import when
from standins import object_api

from tests.client import command_runner
from tests.client import fake_entry_vm
from tests.standins import scenario_server
from tests.support import operator_pages


@given("an operator's command line with an object API")
def _connect_to_object_api(context):
    address = scenario_server.serve_in_scenario(
        context, object_api.ObjectApi()
    )
    context.operator_connection = ["--objects", f"http://{address}"]


@given("an operator's command line for that fleet")
def _connect_to_fleet(context):
    running = context.scene.fleet
    context.operator_connection = [
        "--objects",
        running.platform_urls["objects"],
    ]
    context.operator_connection += ["--entry", running.entry_addresses[0]]


@when("the operator waits until that version is in force")
def _wait_until_in_force(context):
    version = context.printed.rpartition("version=")[2].strip()
    command_runner.run_in_scenario(context, ["in-force", "--wait", version])


@given("the operator has applied an example and saved the shown document")
def _save_shown_document(context):
    command_runner.run_in_scenario(
        context, ["catalogue", "apply", "examples/procurador.json"]
    )
    command_runner.run_in_scenario(context, ["catalogue", "show"])
    directory = tempfile.TemporaryDirectory()
    context.closers.append(directory.cleanup)
    context.saved = pathlib.Path(directory.name, "saved.json")
    context.saved.write_text(context.printed)


@when("the operator applies the saved document")
def _apply_saved_document(context):
    command_runner.run_in_scenario(
        context, ["catalogue", "apply", str(context.saved)]
    )


@when('the operator runs "{command}"')
def _run_command(context, command):
    command_runner.run_in_scenario(context, command.split())


@then('the command exits with {code:d} and prints "{text}"')
def _check_stdout(context, code, text):
    assert context.exit_code == code, context.complaint
    assert text in context.printed, context.printed


@then('the command exits with {code:d} and complains "{text}"')
def _check_stderr(context, code, text):
    assert context.exit_code == code, (context.exit_code, context.complaint)
    assert text in context.complaint, context.complaint


@given("entry VMs a, b and c with catalogue versions {a:d}, {b:d} and {c:d}")
def _start_entry_vms(context, a, b, c):
    versions = {"a": a, "b": b, "c": c}
    context.entry_vms = {
        vm: fake_entry_vm.FakeEntryVm(vm, version)
        for vm, version in versions.items()
    }
    addresses = {
        vm: scenario_server.serve_in_scenario(context, standin)
        for vm, standin in context.entry_vms.items()
    }
    peers = [
        {"vm": vm, "address": address, "state": "alive"}
        for vm, address in addresses.items()
    ]
    for standin in context.entry_vms.values():
        standin.peer_lists = [peers]
    context.operator_connection = ["--entry", addresses["a"]]


@when("entry VM c stops answering")
def _stop_entry_vm(context):
    context.entry_vms["c"].faults.set({"down": True})


@given("entry VM c dies and its peers detect the failure during the wait")
def _stop_entry_vm_during_wait(context):
    _stop_entry_vm(context)
    first = context.entry_vms["a"]
    (before,) = first.peer_lists
    after = [
        {**peer, "state": "dead"} if peer["vm"] == "c" else peer
        for peer in before
    ]
    first.peer_lists = [before, before, after]


@then("the operators' page lists exactly the exit codes")
def _check_exit_code_page(context):
    listed = operator_pages.table_rows("refusals.md", "Exit codes")
    known = [(str(c), m) for c, m in exit_codes.MEANINGS.items()]
    assert listed == known


@then("the operators' page lists exactly the types of refusals")
def _check_refusal_types(context):
    known = [
        (f"`{name}`", str(kind.status), kind.meaning)
        for name, kind in refusals.kinds().items()
    ]
    assert operator_pages.table_rows("refusals.md", "Types") == known
