"""Validation of catalogue documents: JSON schema, then references."""

import collections
import collections.abc
import itertools
import typing

from .. import documents
from . import model

Json = typing.Any
Check = typing.Callable[[Json], collections.abc.Iterator[documents.Fault]]

SCHEMA_NAME = "catalogue.schema.json"

_SCHEMA = documents.load_schema("apricotlever.catalogue", SCHEMA_NAME)
_checks: list[Check] = []


class CatalogueInvalid(documents.DocumentInvalid):
    """A catalogue document is invalid; the version in force stays."""

    def __init__(
        self, faults: collections.abc.Sequence[documents.Fault]
    ) -> None:
        super().__init__("catalogue", faults)


def check(document: Json) -> None:
    """Validate a catalogue document: its schema, then its references.

    :param document: parsed JSON.
    :raises CatalogueInvalid: if fields are invalid; names the fields.
    """
    check_shape(document)
    check_references(document)


def check_shape(document: Json) -> None:
    """Validate a catalogue document against the JSON schema.

    :param document: parsed JSON.
    :raises CatalogueInvalid: if fields violate the schema; names the fields.
    """
    faults = documents.find_faults(document, _SCHEMA)
    if faults:
        raise CatalogueInvalid(faults)


def check_references(document: Json) -> None:
    """Check the rules of the catalogue that the JSON schema can't express.

    :param document: parsed JSON that conforms to the schema.
    :raises CatalogueInvalid: if fields are invalid; names the fields.
    """
    found = (check_one(document) for check_one in _checks)
    chained = itertools.chain.from_iterable(found)
    faults = list(itertools.islice(chained, documents.MAX_REPORTED_FAULTS))
    if faults:
        raise CatalogueInvalid(faults)


def reference_check(function: Check) -> Check:
    """Register a check of a rule that the JSON schema can't express.

    :param function: yields the faults that it finds in a catalogue document;
        it is called only with documents that conform to the schema.
    """
    _checks.append(function)
    return function


@reference_check
def _classes_exist(
    document: Json,
) -> collections.abc.Iterator[documents.Fault]:
    expected = "a name under classes"
    return (
        documents.Fault(f"entries.{name}.class", entry["class"], expected)
        for name, entry in document["entries"].items()
        if entry["class"] not in document["classes"]
    )


@reference_check
def _customers_exist(
    document: Json,
) -> collections.abc.Iterator[documents.Fault]:
    expected = "a name under customers"
    return (
        documents.Fault(f"entries.{name}.customers.{i}", customer, expected)
        for name, entry in document["entries"].items()
        for i, customer in enumerate(entry.get("customers", ()))
        if customer not in document["customers"]
    )


@reference_check
def _keys_are_unique(
    document: Json,
) -> collections.abc.Iterator[documents.Fault]:
    """Find customers that share a key.

    Each of them could read the requests and answers of the other, and the
    last one in the document would be billed for both.
    """
    customers = document["customers"].items()
    hashes = collections.Counter(value["key_sha256"] for _, value in customers)
    expected = "a key that no other customer has"
    return (
        documents.Fault(
            f"customers.{name}.key_sha256", value["key_sha256"], expected
        )
        for name, value in customers
        if hashes[value["key_sha256"]] > 1
    )


@reference_check
def _runner_counts_are_ordered(
    document: Json,
) -> collections.abc.Iterator[documents.Fault]:
    return (
        documents.Fault(
            f"entries.{name}.capacity.max_runners",
            entry["capacity"]["max_runners"],
            f"at least min_runners, {entry['capacity']['min_runners']}",
        )
        for name, entry in document["entries"].items()
        if entry["capacity"]["max_runners"] < entry["capacity"]["min_runners"]
    )


@reference_check
def _kinds_have_their_fields(
    document: Json,
) -> collections.abc.Iterator[documents.Fault]:
    entries = document["entries"].items()
    missing = (
        documents.Fault(
            f"entries.{name}.{field}", None, "a value, the kind is model"
        )
        for name, entry in entries
        for field in ("model", "version")
        if entry["kind"] == model.KIND_MODEL and field not in entry
    )
    misplaced = (
        documents.Fault(
            f"entries.{name}.{field}",
            entry[field],
            f"no such field, the kind is {entry['kind']}",
        )
        for name, entry in entries
        for field in _DISALLOWED_FIELDS[entry["kind"]]
        if field in entry
    )
    return itertools.chain(missing, misplaced)


_DISALLOWED_FIELDS = {
    model.KIND_MODEL: ("non_idempotent",),
    model.KIND_SERVICE: ("model", "version"),
}
