"""Checks of a catalogue document: its shape, then its references."""

import collections
import collections.abc
import itertools
import typing

from .. import documents
from . import model

Json = typing.Any
Check = typing.Callable[[Json], collections.abc.Iterator[documents.Fault]]

SCHEMA_NAME = "catalogue.schema.json"

_SCHEMA = documents.schema_of("apricotlever.catalogue", SCHEMA_NAME)
_checks: list[Check] = []


class CatalogueInvalid(documents.DocumentInvalid):
    """A catalogue document was refused; what was in force stays so."""

    def __init__(
        self, faults: collections.abc.Sequence[documents.Fault]
    ) -> None:
        super().__init__("catalogue", faults)


def check(document: Json) -> None:
    """Refuse a document that can't be put in force.

    :param document: parsed JSON.
    :raises CatalogueInvalid: names every field that is wrong.
    """
    check_shape(document)
    check_references(document)


def check_shape(document: Json) -> None:
    """Refuse a document that breaks the JSON schema.

    :raises CatalogueInvalid: names every field that is wrong.
    """
    faults = documents.faults_of(document, _SCHEMA)
    if faults:
        raise CatalogueInvalid(faults)


def check_references(document: Json) -> None:
    """Refuse a document of the right shape whose parts don't fit together.

    :raises CatalogueInvalid: names every field that is wrong.
    """
    found = (check_one(document) for check_one in _checks)
    chained = itertools.chain.from_iterable(found)
    faults = list(itertools.islice(chained, documents.FAULTS_SHOWN_MAX))
    if faults:
        raise CatalogueInvalid(faults)


def reference_check(function: Check) -> Check:
    """Register a check that a JSON schema can't express.

    It runs only on documents whose shape is right.
    """
    _checks.append(function)
    return function


@reference_check
def _classes_exist(
    document: Json,
) -> collections.abc.Iterator[documents.Fault]:
    wanted = "a name under classes"
    return (
        documents.Fault(f"entries.{name}.class", entry["class"], wanted)
        for name, entry in document["entries"].items()
        if entry["class"] not in document["classes"]
    )


@reference_check
def _customers_exist(
    document: Json,
) -> collections.abc.Iterator[documents.Fault]:
    wanted = "a name under customers"
    return (
        documents.Fault(f"entries.{name}.customers.{i}", customer, wanted)
        for name, entry in document["entries"].items()
        for i, customer in enumerate(entry.get("customers", ()))
        if customer not in document["customers"]
    )


@reference_check
def _keys_differ(
    document: Json,
) -> collections.abc.Iterator[documents.Fault]:
    """Refuse one key for two customers.

    Each could read the other's requests and answers, and whichever came
    last would be billed for both.
    """
    customers = document["customers"].items()
    hashes = collections.Counter(value["key_sha256"] for _, value in customers)
    wanted = "a key that no other customer has"
    return (
        documents.Fault(
            f"customers.{name}.key_sha256", value["key_sha256"], wanted
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
            f"entries.{name}.{field}", None, "a value, kind is model"
        )
        for name, entry in entries
        for field in ("model", "version")
        if entry["kind"] == model.KIND_MODEL and field not in entry
    )
    misplaced = (
        documents.Fault(
            f"entries.{name}.{field}",
            entry[field],
            f"no such field, kind is {entry['kind']}",
        )
        for name, entry in entries
        for field in _FIELDS_OF_THE_OTHER_KIND[entry["kind"]]
        if field in entry
    )
    return itertools.chain(missing, misplaced)


_FIELDS_OF_THE_OTHER_KIND = {
    model.KIND_MODEL: ("non_idempotent",),
    model.KIND_SERVICE: ("model", "version"),
}
