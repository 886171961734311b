"""Steps for the operator's edits in tests/daemon/store_outages.feature."""

import json
import subprocess
import sys

from behave import step
from behave import then
from behave import when

from tests.client import command_runner
from tests.daemon import edits
from tests.daemon import followers
from tests.daemon import outages
from tests.support import processes

COMMAND = [sys.executable, "-m", "apricotlever.client.main"]
RACE_CALL_S = 0.4


def _file(context, edit):
    folder = context.scene.fleet.folder
    return outages.write_document(
        folder, f"edit-{edit}", followers.edited_catalogue(edit)
    )


@step("the operator applies edit {edit:d}")
def _applies(context, edit):
    command_runner.run_in_scenario(
        context, ["catalogue", "apply", _file(context, edit)]
    )
    if context.exit_code == 0:
        context.version = _printed_version(context)
        edits.edits_by_version(context)[context.version] = edit


def _printed_version(context):
    return int(context.printed.rpartition("version=")[2])


@when("the operator waits {seconds:d} s for that version")
def _waits(context, seconds):
    version = str(context.version)
    arguments = ["in-force", "--wait", version, "--timeout", str(seconds)]
    command_runner.run_in_scenario(context, arguments)


@when(
    "the operator applies {count:d} edits and waits {seconds:d} s at most "
    "for each"
)
def _applies_many(context, count, seconds):
    context.waits = []
    for edit in range(1, count + 1):
        _applies(context, edit)
        assert context.exit_code == 0, context.complaint
        _waits(context, seconds)
        context.waits.append((context.exit_code, context.complaint))


@then("each edit was in force at every entry VM in time")
def _all_in_time(context):
    assert all(code == 0 for code, _ in context.waits), context.waits
    edits.check_contents(
        context, edits.edits_by_version(context)[context.version]
    )


@when("two operators apply edits of the same version at the same time")
def _apply_concurrently(context):
    base = outages.stored(context.scene)["version"]
    # The delay makes both commands read before either of them writes.
    context.scene.fleet.set_faults(outages.STORE, slow_s=RACE_CALL_S)
    command = [*COMMAND, "catalogue", "apply", "--expect", str(base)]
    runs = [
        subprocess.Popen(
            [*command, *context.operator_connection, _file(context, edit)],
            cwd=processes.ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        for edit in (1, 2)
    ]
    texts = [run.communicate(timeout=30.0) for run in runs]
    context.scene.fleet.set_faults(outages.STORE, slow_s=0.0)
    context.concurrent_results = [
        (run.returncode, *text) for run, text in zip(runs, texts)
    ]


@then("one command exits with 0 and the other with 4")
def _exit_codes(context):
    codes = sorted(code for code, _, _ in context.concurrent_results)
    assert codes == [0, 4], context.concurrent_results


@then("the failed command prints the difference")
def _difference(context):
    complaint = next(
        err for code, _, err in context.concurrent_results if code == 4
    )
    assert "another edit came first" in complaint, complaint
    assert "customers.left.key_sha256" in complaint, complaint


@then("the successful edit is in force at every entry VM within {seconds:d} s")
def _successful_edit(context, seconds):
    codes = [code for code, _, _ in context.concurrent_results]
    stored = outages.stored(context.scene)
    context.version = stored["version"]
    edits.edits_by_version(context)[context.version] = codes.index(0) + 1
    edits.check_in_force(context, seconds)


@then("the history contains that edit once")
def _once(context):
    command_runner.run_in_scenario(context, ["catalogue", "history", "--json"])
    kept = json.loads(context.printed)["versions"]
    ids = [row["id"] for row in kept if row["id"]]
    assert len(ids) == len(set(ids)) == 1, kept
