"""Steps for tests/serving/modes.feature."""

import json

from behave import then
from behave import when

from apricotlever.serving import modes


@when("the setting modes is {value}")
def _read(context, value):
    try:
        context.modes = modes.PartModes.from_setting(json.loads(value))
    except modes.ModesInvalid as error:
        context.error = error


@then("slots is off, sizing is observe and notices is on")
def _is(context):
    assert context.modes.slots is modes.Mode.OFF
    assert context.modes.sizing is modes.Mode.OBSERVE
    assert context.modes.notices is modes.Mode.ON


@then("it is refused as {path}, and the error names {allowed}")
def _refused(context, path, allowed):
    assert context.error.path == path
    assert allowed in str(context.error)
