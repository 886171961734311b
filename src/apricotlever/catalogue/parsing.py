"""Parsing of catalogue documents into the typed model."""

import collections.abc
import typing

from . import difference
from . import model
from . import schema

Json = typing.Any
ChangedItems = frozenset[tuple[str, str]]
T = typing.TypeVar("T")


class Parser:
    """An incremental parser of successive versions of the catalogue.

    It validates and parses only the items that changed. Validating a
    document against its schema takes far longer than comparing it with the
    previous one, and most edits change one entry of many.
    """

    __slots__ = ("_document", "_catalogue")

    def __init__(self) -> None:
        self._document: Json = model.EMPTY.document
        self._catalogue = model.EMPTY

    def parse(self, document: Json, version: int) -> model.Catalogue:
        """Validate a catalogue document and convert it to the typed model.

        After an error, the next document is compared with the last valid
        one. The parser keeps a reference to the document, which the caller
        must not modify afterwards.

        :param document: parsed JSON.
        :param version: the version of the stored object.
        :raises CatalogueInvalid: if fields are invalid; names the fields.
        """
        changed = self._changed_items(document)
        schema.check_shape(_changed_part(document, changed))
        schema.check_references(document)
        before = self._catalogue
        parsed = model.Catalogue(
            version,
            _parse_section(
                document, "entries", changed, _parse_entry, before.entries
            ),
            _parse_section(
                document, "classes", changed, _parse_class, before.classes
            ),
            _parse_section(
                document,
                "customers",
                changed,
                _parse_customer,
                before.customers,
            ),
        )
        self._document, self._catalogue = document, parsed
        return parsed

    def _changed_items(self, document: Json) -> ChangedItems | None:
        """The items that differ from the last valid document.

        :returns: pairs of section and name, or None if the document is not
            an object or has an invalid section.
        """
        if not isinstance(document, dict):
            return None
        sections = (document.get(name) for name in difference.SECTIONS)
        if not all(isinstance(section, dict) for section in sections):
            return None
        return difference.changed_items(self._document, document)


def parse(document: Json, version: int) -> model.Catalogue:
    """Validate a catalogue document and convert it to the typed model.

    :param document: parsed JSON.
    :param version: the version of the stored object.
    :raises CatalogueInvalid: if fields are invalid; names the fields.
    """
    return Parser().parse(document, version)


def filled_in(document: Json) -> Json:
    """Fill in the defaults of a catalogue document.

    An invalid document is returned as it is.

    Two documents are compared in this form, so that an omitted default does
    not count as a difference.
    """
    try:
        return parse(document, 0).document
    except schema.CatalogueInvalid:
        return document


def _changed_part(document: Json, changed: ChangedItems | None) -> Json:
    """Reduce the sections of a catalogue document to the changed items."""
    if changed is None:
        return document
    sections = {
        section: {
            name: value
            for name, value in document[section].items()
            if (section, name) in changed
        }
        for section in difference.SECTIONS
    }
    return {**document, **sections}


def _parse_section(
    document: Json,
    section: str,
    changed: ChangedItems | None,
    parse_item: typing.Callable[[str, Json], T],
    before: collections.abc.Mapping[str, T],
) -> dict[str, T]:
    """Parse the changed items of a section and reuse all others.

    :param section: a name in ``difference.SECTIONS``.
    :param changed: pairs of section and name of the changed items.
    :param parse_item: parses one item, given its name and value.
    :param before: the items of the same section of the last catalogue.
    """
    items = changed or frozenset()
    return {
        name: (
            parse_item(name, value)
            if (section, name) in items
            else before[name]
        )
        for name, value in document[section].items()
    }


def _parse_customer(name: str, value: Json) -> model.Customer:
    weight = float(value.get("weight", 1.0))
    return model.Customer(name, value["key_sha256"], weight)


def _parse_class(name: str, value: Json) -> model.ServiceClass:
    return model.ServiceClass(
        name,
        float(value["first_token_s"]),
        float(value["between_tokens_s"]),
        float(value["deadline_s"]),
        float(value["queue_s"]),
        int(value["shed_order"]),
        int(value["priority"]),
    )


def _parse_entry(name: str, value: Json) -> model.Entry:
    patterns = value.get("non_idempotent", ())
    customers = value.get("customers")
    return model.Entry(
        name,
        value["owner"],
        value["kind"],
        value["class"],
        value.get("model", ""),
        value.get("version", ""),
        value["upstreams"]["pool"],
        tuple(model.CallPattern.from_text(text) for text in patterns),
        None if customers is None else frozenset(customers),
        _parse_limits(value.get("limits", {})),
        _parse_capacity(value["capacity"]),
    )


def _parse_limits(value: Json) -> model.Limits:
    return model.Limits(
        _optional_int(value.get("concurrent")),
        value.get("requests_per_s"),
        value.get("tokens_per_s"),
        value.get("spend_per_hour"),
    )


def _optional_int(value: Json) -> int | None:
    return None if value is None else int(value)


def _parse_capacity(value: Json) -> model.Capacity:
    return model.Capacity(
        int(value["min_runners"]),
        int(value["max_runners"]),
        int(value["slots_per_runner"]),
        value["machine"],
    )
