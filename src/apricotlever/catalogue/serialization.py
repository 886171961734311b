"""Serialization of the typed model of the catalogue to JSON."""

import collections.abc
import typing

if typing.TYPE_CHECKING:
    from . import model

Json = typing.Any
T = typing.TypeVar("T")

KIND_MODEL = "model"
LIMIT_FIELDS = (
    "concurrent",
    "requests_per_s",
    "tokens_per_s",
    "spend_per_hour",
)
CAPACITY_FIELDS = ("min_runners", "max_runners", "slots_per_runner", "machine")
CLASS_FIELDS = (
    "first_token_s",
    "between_tokens_s",
    "deadline_s",
    "queue_s",
    "shed_order",
    "priority",
)
CUSTOMER_FIELDS = ("key_sha256", "weight")


def document(
    customers: "collections.abc.Mapping[str, model.Customer]",
    classes: "collections.abc.Mapping[str, model.ServiceClass]",
    entries: "collections.abc.Mapping[str, model.Entry]",
) -> dict[str, Json]:
    """Convert a catalogue to the JSON document that operators edit.

    The items of each section are sorted by name.

    :param customers: the customers by name.
    :param classes: the service classes by name.
    :param entries: the entries by name.
    """
    return {
        "customers": _sorted_documents(
            customers, lambda c: _set_fields(c, CUSTOMER_FIELDS)
        ),
        "classes": _sorted_documents(
            classes, lambda c: _set_fields(c, CLASS_FIELDS)
        ),
        "entries": _sorted_documents(entries, _entry_document),
    }


def _sorted_documents(
    items: collections.abc.Mapping[str, T],
    document_of: typing.Callable[[T], dict[str, Json]],
) -> dict[str, Json]:
    return {name: document_of(items[name]) for name in sorted(items)}


def _set_fields(value: object, names: tuple[str, ...]) -> dict[str, Json]:
    """The named fields of an object that are not None."""
    found = {name: getattr(value, name) for name in names}
    return {name: field for name, field in found.items() if field is not None}


def _entry_document(entry: "model.Entry") -> dict[str, Json]:
    written: dict[str, Json] = {
        "owner": entry.owner,
        "kind": entry.kind,
        "class": entry.class_name,
        "upstreams": {"pool": entry.pool},
        "limits": _set_fields(entry.limits, LIMIT_FIELDS),
        "capacity": _set_fields(entry.capacity, CAPACITY_FIELDS),
    }
    if entry.kind == KIND_MODEL:
        written["model"] = entry.model
        written["version"] = entry.model_version
    if entry.non_idempotent:
        written["non_idempotent"] = [
            str(pattern) for pattern in entry.non_idempotent
        ]
    if entry.customers is not None:
        written["customers"] = sorted(entry.customers)
    return written
