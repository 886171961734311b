"""From the catalogue's typed values back to its JSON document."""

import collections.abc
import typing

if typing.TYPE_CHECKING:
    from . import model

Json = typing.Any
T = typing.TypeVar("T")

KIND_MODEL = "model"
LIMITS = ("concurrent", "requests_per_s", "tokens_per_s", "spend_per_hour")
CAPACITY = ("min_runners", "max_runners", "slots_per_runner", "machine")
CLASS = (
    "first_token_s",
    "between_tokens_s",
    "deadline_s",
    "queue_s",
    "shed_order",
    "priority",
)
CUSTOMER = ("key_sha256", "weight")


def document(
    customers: "collections.abc.Mapping[str, model.Customer]",
    classes: "collections.abc.Mapping[str, model.ServiceClass]",
    entries: "collections.abc.Mapping[str, model.Entry]",
) -> dict[str, Json]:
    """The JSON document of a catalogue, each section sorted by name."""
    return {
        "customers": _sorted(customers, lambda c: _fields(c, CUSTOMER)),
        "classes": _sorted(classes, lambda c: _fields(c, CLASS)),
        "entries": _sorted(entries, _entry),
    }


def _sorted(
    items: collections.abc.Mapping[str, T],
    document_of: typing.Callable[[T], dict[str, Json]],
) -> dict[str, Json]:
    return {name: document_of(items[name]) for name in sorted(items)}


def _fields(value: object, names: tuple[str, ...]) -> dict[str, Json]:
    """The fields of a value that are set."""
    found = {name: getattr(value, name) for name in names}
    return {name: field for name, field in found.items() if field is not None}


def _entry(entry: "model.Entry") -> dict[str, Json]:
    written: dict[str, Json] = {
        "owner": entry.owner,
        "kind": entry.kind,
        "class": entry.class_name,
        "upstreams": {"pool": entry.pool},
        "limits": _fields(entry.limits, LIMITS),
        "capacity": _fields(entry.capacity, CAPACITY),
    }
    if entry.kind == KIND_MODEL:
        written["model"] = entry.model
        written["version"] = entry.model_version
    if entry.non_idempotent:
        written["non_idempotent"] = [
            str(call) for call in entry.non_idempotent
        ]
    if entry.customers is not None:
        written["customers"] = sorted(entry.customers)
    return written
