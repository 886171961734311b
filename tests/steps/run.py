"""Steps for tests/run.feature."""

import pathlib
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from tests import run

KNOWN_LOCATION = "tests/daemon/quarantine.feature:33"
NEW_LOCATION = "tests/somewhere.feature:3"
CAUSE = "ASSERT FAILED: three engines"
OUTPUTS = {
    "no failure": (0, [], "5 passed, 0 failed"),
    "a known failure": (1, [KNOWN_LOCATION], "4 passed, 1 failed"),
    "a new failure": (1, [NEW_LOCATION], "4 passed, 1 failed"),
    "a known and a new failure": (
        1,
        [KNOWN_LOCATION, NEW_LOCATION],
        "3 passed, 2 failed",
    ),
    "no totals": (1, [], "Traceback"),
}


@given("the output of a feature with {name}")
def _feature_output(context, name):
    code, failed, last_line = OUTPUTS[name]
    lines = [f"{run.FAILED_SCENARIO_PREFIX}{location}" for location in failed]
    if failed:
        lines.insert(0, CAUSE)
    output = "\n".join([*lines, last_line, ""])
    context.result = run.FeatureResult(
        "a.feature", code, output, 1.0, frozenset({KNOWN_LOCATION})
    )


@then(
    "the result counts {passed:d} passed, {failed:d} failed and "
    "{known:d} known failures"
)
def _check_counts(context, passed, failed, known):
    result = context.result
    counts = (result.passed, result.failed, len(result.known_failures))
    assert counts == (passed, failed, known), counts


@when("a feature with a failing scenario is run")
def _run_failing_feature(context):
    with tempfile.TemporaryDirectory(dir="tests") as folder:
        context.feature = pathlib.Path(folder, "red.feature")
        context.feature.write_text(
            "Feature: Red\n\n  Scenario: Red\n    Given no such step\n"
        )
        process = subprocess.run(
            [sys.executable, "-m", "tests.run", str(context.feature)],
            capture_output=True,
            text=True,
        )
    context.output = process.stdout


@then("the scenario's file and line are printed")
def _location_printed(context):
    line = f"{run.FAILED_SCENARIO_PREFIX}{context.feature}:3"
    assert line in context.output.splitlines(), context.output


@then('the failure summary names the cause and "{location}"')
def _summary_names(context, location):
    assert context.result.failure_summary[1:] == [
        CAUSE,
        f"{run.FAILED_SCENARIO_PREFIX}{location}",
    ], context.result.failure_summary


@then("the failure summary is empty")
def _summary_is_empty(context):
    assert not context.result.failure_summary
