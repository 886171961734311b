"""Steps for tests/settings.feature."""

import json
import pathlib
import tempfile

from apricotlever import documents
from apricotlever import settings
from behave import then
from behave import when

from tests.support import operator_pages

EXAMPLE = "examples/settings.json"


def _read_invalid(context, read):
    try:
        read()
    except settings.SettingsInvalid as error:
        context.settings_error = error


@when("settings are read from the example")
def _example(context):
    context.settings = settings.load(EXAMPLE)


@when("settings are read with {field} set to {value}")
def _with_field(context, field, value):
    document = json.loads(pathlib.Path(EXAMPLE).read_text())
    *parents, last = field.split(".")
    parent = document
    for name in parents:
        parent = parent[name]
    parent[last] = json.loads(value)
    _read_invalid(context, lambda: settings.parse(document))


@when("settings are read from the text {text}")
def _text(context, text):
    with tempfile.NamedTemporaryFile("w") as file:
        file.write(text)
        file.flush()
        _read_invalid(context, lambda: settings.load(file.name))


@then('the settings have the VM "{vm}" and the caller address "{address}"')
def _named(context, vm, address):
    assert context.settings.vm == vm
    assert str(context.settings.callers) == address


@then("the settings' timing and sizes have the schema's defaults")
def _defaults(context):
    schema = documents.load_schema("apricotlever", settings.SCHEMA_NAME)
    parts = {"timing": settings.Timing(), "sizes": settings.Sizes()}
    for part, values in parts.items():
        properties = schema["properties"][part]["properties"]
        defaults = {name: p["default"] for name, p in properties.items()}
        actual = {name: getattr(values, name) for name in values.__slots__}
        assert actual == defaults, (actual, defaults)


@then('the settings are rejected at {field}, expecting "{expected}"')
def _rejected_at(context, field, expected):
    error = context.settings_error
    assert error.field.startswith(field), error.field
    assert expected in error.expected, error.expected
    assert field in error.message


@then('the settings are rejected with "{reason}"')
def _rejected_with(context, reason):
    assert reason in context.settings_error.message


@then("the settings' page lists exactly the schema's fields")
def _page(context):
    schema = documents.load_schema("apricotlever", settings.SCHEMA_NAME)
    assert operator_pages.table_rows(
        "settings.md", "Fields"
    ) == operator_pages.schema_field_rows(schema)
