"""From a checked catalogue document to its typed values."""

import collections.abc
import typing

from . import difference
from . import model
from . import schema

Json = typing.Any
Touched = frozenset[tuple[str, str]]
T = typing.TypeVar("T")


class Parser:
    """Parses one version after the other, at the cost of what changed.

    Checking a document against its schema takes far longer than comparing
    it with the one before, and most edits change one entry of many.
    """

    __slots__ = ("_document", "_catalogue")

    def __init__(self) -> None:
        self._document: Json = model.EMPTY.document
        self._catalogue = model.EMPTY

    def parse(self, document: Json, version: int) -> model.Catalogue:
        """Check a document and turn it into a catalogue.

        After an error the next document is compared with the last valid
        one. A document must not be changed after it was given.

        :param document: parsed JSON.
        :param version: the version of the object that holds it.
        :raises CatalogueInvalid: names every field that is wrong.
        """
        touched = self._touched(document)
        schema.check_shape(_part(document, touched))
        schema.check_references(document)
        before = self._catalogue
        parsed = model.Catalogue(
            version,
            _values(document, "entries", touched, _entry, before.entries),
            _values(document, "classes", touched, _class, before.classes),
            _values(
                document, "customers", touched, _customer, before.customers
            ),
        )
        self._document, self._catalogue = document, parsed
        return parsed

    def _touched(self, document: Json) -> Touched | None:
        """What differs from the last document; None if it has no form."""
        if not isinstance(document, dict):
            return None
        sections = (document.get(name) for name in difference.SECTIONS)
        if not all(isinstance(section, dict) for section in sections):
            return None
        return difference.touched(self._document, document)


def parse(document: Json, version: int) -> model.Catalogue:
    """Check a document and turn it into a catalogue.

    :param document: parsed JSON.
    :param version: the version of the object that holds it.
    :raises CatalogueInvalid: names every field that is wrong.
    """
    return Parser().parse(document, version)


def filled_in(document: Json) -> Json:
    """A document with its defaults filled in; unchanged if it is invalid.

    Two documents are compared in this form, so that leaving out a default
    is no difference.
    """
    try:
        return parse(document, 0).document
    except schema.CatalogueInvalid:
        return document


def _part(document: Json, touched: Touched | None) -> Json:
    """A document with only the touched names in its sections."""
    if touched is None:
        return document
    sections = {
        section: {
            name: value
            for name, value in document[section].items()
            if (section, name) in touched
        }
        for section in difference.SECTIONS
    }
    return {**document, **sections}


def _values(
    document: Json,
    section: str,
    touched: Touched | None,
    make: typing.Callable[[str, Json], T],
    before: collections.abc.Mapping[str, T],
) -> dict[str, T]:
    """The typed values of a section; the untouched ones are kept."""
    changed = touched or frozenset()
    return {
        name: make(name, value) if (section, name) in changed else before[name]
        for name, value in document[section].items()
    }


def _customer(name: str, value: Json) -> model.Customer:
    weight = float(value.get("weight", 1.0))
    return model.Customer(name, value["key_sha256"], weight)


def _class(name: str, value: Json) -> model.ServiceClass:
    return model.ServiceClass(
        name,
        float(value["first_token_s"]),
        float(value["between_tokens_s"]),
        float(value["deadline_s"]),
        float(value["queue_s"]),
        int(value["shed_order"]),
        int(value["priority"]),
    )


def _entry(name: str, value: Json) -> model.Entry:
    calls = value.get("non_idempotent", ())
    customers = value.get("customers")
    return model.Entry(
        name,
        value["owner"],
        value["kind"],
        value["class"],
        value.get("model", ""),
        value.get("version", ""),
        value["upstreams"]["pool"],
        tuple(model.Call.from_text(text) for text in calls),
        None if customers is None else frozenset(customers),
        _limits(value.get("limits", {})),
        _capacity(value["capacity"]),
    )


def _limits(value: Json) -> model.Limits:
    return model.Limits(
        _whole(value.get("concurrent")),
        value.get("requests_per_s"),
        value.get("tokens_per_s"),
        value.get("spend_per_hour"),
    )


def _whole(value: Json) -> int | None:
    return None if value is None else int(value)


def _capacity(value: Json) -> model.Capacity:
    return model.Capacity(
        int(value["min_runners"]),
        int(value["max_runners"]),
        int(value["slots_per_runner"]),
        value["machine"],
    )
