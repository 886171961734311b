"""Steps for tests/catalogue/edit.feature."""

import json

from apricotlever import catalogue
from apricotlever.catalogue import edit
from behave import given
from behave import then
from behave import when

from tests.catalogue import examples


@when("a catalogue edit merges the Consorzio's example into Procurador's")
def _merge(context):
    context.edited = edit.apply_overlay(
        examples.document(examples.PROCURADOR),
        examples.document(examples.CONSORZIO),
    )


@then("the edited catalogue equals the example of both")
def _equals_both(context):
    expected = examples.document(examples.BOTH)
    parse = catalogue.parse
    assert parse(context.edited, 1).document == parse(expected, 1).document


@then("the catalogue edits {mine} and {theirs} {verdict}")
def _collide(context, mine, theirs, verdict):
    base = examples.document()
    edited = [
        examples.changed(base, field, {"by": i})
        for i, field in enumerate((mine, theirs))
    ]
    assert edit.edits_conflict(base, *edited) == (verdict == "collide")


@when("a catalogue is edited {times:d} times")
def _edit_times(context, times):
    version = edit.NO_VERSION
    for number in range(1, times + 1):
        stamp = edit.EditStamp(0, f"edit-{number}", "operator", 0.0)
        value = edit.stored_value(version.document, version, stamp)
        version = edit.StoredVersion(number, value)
    context.catalogue_version = version


@then("its history holds the {count:d} versions before the last")
def _history(context, count):
    version = context.catalogue_version
    last = version.version
    versions = [stamp.version for stamp in version.history]
    assert versions == list(range(last - 1, last - 1 - count, -1))


@then(
    "the catalogue edit {kept:d} is still recognized "
    "and the edit {dropped:d} is not"
)
def _recognized(context, kept, dropped):
    assert context.catalogue_version.contains_edit(f"edit-{kept}")
    assert not context.catalogue_version.contains_edit(f"edit-{dropped}")


@then("the catalogue versions {a:d}, {b:d} and {c:d} are listed as expired")
def _expired(context, a, b, c):
    assert context.catalogue_version.expired == (a, b, c)


@given("a catalogue object whose edit is {record}")
def _invalid_edit(context, record):
    value = {**examples.document(), "edit": json.loads(record)}
    context.catalogue_version = edit.StoredVersion(7, value)


@then("the catalogue version has its document and no history")
def _no_history(context):
    version = context.catalogue_version
    assert version.document == examples.document()
    assert version.history == () and version.stamp.version == 7
