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


@then("the modes are those, sizing observe, returns off, and on for the rest")
def _is(context):
    found = {
        part: getattr(context.modes, part)
        for part in modes.PartModes.__slots__
    }
    assert found == {
        "performance": modes.Mode.OBSERVE,
        "sizing": modes.Mode.OBSERVE,
        "priorities": modes.Mode.ON,
        "slots": modes.Mode.OFF,
        "returns": modes.Mode.OFF,
        "notices": modes.Mode.ON,
    }


@then("all parts are on")
def _all_on(context):
    for part in modes.PartModes.__slots__:
        assert getattr(context.modes, part) is modes.Mode.ON, part


@then("it is refused as {path}, and the error names {allowed}")
def _refused(context, path, allowed):
    assert context.error.path == path
    assert allowed in str(context.error)
