"""Steps for tests/catalogue/schema.feature."""

import json
import pathlib

from apricotlever import catalogue
from apricotlever.catalogue import schema
from apricotlever import documents
from behave import then
from behave import when

from tests.catalogue import examples
from tests.support import operator_pages


def _parse_invalid(context, document):
    try:
        catalogue.parse(document, 1)
    except catalogue.CatalogueInvalid as error:
        context.catalogue_error = error


@then(
    "the catalogue file {file} has {entries:d} entries "
    "and {customers:d} customers"
)
def _valid(context, file, entries, customers):
    document = examples.document(pathlib.Path(file))
    parsed = catalogue.parse(document, 1)
    assert len(parsed.entries) == entries
    assert len(parsed.customers) == customers


@when("the example catalogue is changed so that {field} is {value}")
def _changed(context, field, value):
    document = examples.document()
    _parse_invalid(
        context, examples.changed(document, field, json.loads(value))
    )


@when("the example catalogue gives two customers one key")
def _one_key(context):
    document = examples.document()
    customers = document["customers"]
    customers["belem"]["key_sha256"] = customers["alfama"]["key_sha256"]
    _parse_invalid(context, document)


@when("the example catalogue's entry {name} is replaced by an empty object")
def _emptied(context, name):
    document = examples.document()
    _parse_invalid(context, examples.changed(document, f"entries.{name}", {}))


@then('the catalogue is rejected at {field}, expecting "{expected}"')
def _rejected_at(context, field, expected):
    found = [
        fault
        for fault in context.catalogue_error.faults
        if fault.field.startswith(field) and expected in fault.expected
    ]
    assert found, context.catalogue_error.message
    assert field in context.catalogue_error.message


@then("the catalogue's faults name {fields}")
def _fault_fields(context, fields):
    found = {
        fault.field.rpartition(".")[2]
        for fault in context.catalogue_error.faults
    }
    assert found == set(fields.split(", "))


@then("the catalogue's page lists exactly the schema's fields")
def _page(context):
    loaded = documents.load_schema(
        "apricotlever.catalogue", schema.SCHEMA_NAME
    )
    assert operator_pages.table_rows(
        "catalogue.md", "Fields"
    ) == operator_pages.schema_field_rows(loaded)
