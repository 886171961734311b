"""Steps for tests/run.feature."""

import pathlib
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from tests import run

KNOWN = "tests/daemon/quarantine.feature:33"
OTHER = "tests/somewhere.feature:3"
CAUSE = "ASSERT FAILED: three engines"
OUTPUTS = {
    "all passed": (0, [], "5 passed, 0 failed"),
    "a known one failed": (1, [KNOWN], "4 passed, 1 failed"),
    "another one failed": (1, [OTHER], "4 passed, 1 failed"),
    "a known and another": (1, [KNOWN, OTHER], "3 passed, 2 failed"),
    "nothing that counts": (1, [], "Traceback"),
}


@given("a feature whose process printed {name}")
def _printed(context, name):
    code, failed, last = OUTPUTS[name]
    lines = [f"{run.FAILED_LINE}{location}" for location in failed]
    if failed:
        lines.insert(0, CAUSE)
    output = "\n".join([*lines, last, ""])
    context.result = run.Result(
        "a.feature", code, output, 1.0, frozenset({KNOWN})
    )


@then("it counts {passed:d} passed, {failed:d} failed and {known:d} known red")
def _counts(context, passed, failed, known):
    result = context.result
    found = (result.passed, result.failed, len(result.known))
    assert found == (passed, failed, known), found


@when("a feature with a failing scenario is run")
def _run(context):
    with tempfile.TemporaryDirectory(dir="tests") as folder:
        context.feature = pathlib.Path(folder, "red.feature")
        context.feature.write_text(
            "Feature: Red\n\n  Scenario: Red\n    Given no such step\n"
        )
        done = subprocess.run(
            [sys.executable, "-m", "tests.run", str(context.feature)],
            capture_output=True,
            text=True,
        )
    context.output = done.stdout


@then("its name and line are printed")
def _named(context):
    line = f"{run.FAILED_LINE}{context.feature}:3"
    assert line in context.output.splitlines(), context.output


@then('the end of the run names "{location}" and its cause')
def _complains(context, location):
    assert context.result.complaints[1:] == [
        CAUSE,
        f"{run.FAILED_LINE}{location}",
    ], context.result.complaints


@then("the end of the run says nothing of it")
def _silent(context):
    assert not context.result.complaints
