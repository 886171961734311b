"""Edits of the catalogue: their metadata in the stored object, and merging.

The stored object contains the catalogue document and, under the key
``edit``, the edit that wrote it and the history of earlier versions. A
single conditional write thus both puts a version in force and extends the
history, and an edit whose response was lost can be recognized later.
"""

import typing

from .. import documents
from . import difference

Json = typing.Any

EDIT_FIELD = "edit"
CURRENT_OBJECT_NAME = "catalogue/current"
HISTORY_PREFIX = "catalogue/history/"
MAX_HISTORY_LENGTH = 50
MAX_EXPIRED_VERSIONS = 3

_STAMP_FIELDS: dict[str, Json] = {
    "version": {"type": "integer"},
    "id": {"type": "string"},
    "by": {"type": "string"},
    "at": {"type": "number"},
}
_SCHEMA: dict[str, Json] = {
    "type": "object",
    "properties": {
        **_STAMP_FIELDS,
        "history": {
            "type": "array",
            "items": {"type": "object", "properties": _STAMP_FIELDS},
        },
        "expired": {"type": "array", "items": {"type": "integer"}},
    },
}


class EditStamp:
    """The author, time and ID of the edit that wrote a catalogue version.

    :param version: the version of the stored object; 0 before it is
        written.
    :param edit_id: the unique ID of the edit.
    :param by: the operator, as named to the client.
    :param at: the time in seconds since the Unix epoch; informational only.
    """

    __slots__ = ("version", "edit_id", "by", "at")

    def __init__(self, version: int, edit_id: str, by: str, at: float) -> None:
        self.version = version
        self.edit_id = edit_id
        self.by = by
        self.at = at

    @classmethod
    def from_document(cls, value: Json) -> "EditStamp":
        """Read a stamp from JSON; missing fields become 0 or empty."""
        return cls(
            int(value.get("version", 0)),
            str(value.get("id", "")),
            str(value.get("by", "")),
            float(value.get("at", 0.0)),
        )

    @property
    def document(self) -> dict[str, Json]:
        """The stamp as a JSON object, as :meth:`from_document` reads it."""
        return {
            "version": self.version,
            "id": self.edit_id,
            "by": self.by,
            "at": self.at,
        }


class StoredVersion:
    """One version of the catalogue in the store.

    :param version: the version of the stored object; 0 if there is none.
    :param value: the value of the stored object.

    ``stamp`` belongs to the edit that wrote the version. ``history`` holds
    the stamps of earlier versions, the latest first, and ``expired`` the
    numbers of versions that were dropped from the history.
    """

    __slots__ = ("version", "value", "stamp", "history", "expired")

    def __init__(self, version: int, value: Json) -> None:
        record = _edit_record(value)
        self.version = version
        self.value = value
        self.stamp = EditStamp.from_document({**record, "version": version})
        self.history = tuple(
            map(EditStamp.from_document, record.get("history", ()))
        )
        self.expired = tuple(map(int, record.get("expired", ())))

    @property
    def document(self) -> dict[str, Json]:
        """The catalogue document, without the metadata of the edit."""
        return without_edit(self.value)

    def contains_edit(self, edit_id: str) -> bool:
        """Whether an edit wrote this version or one in its history.

        This tells whether an edit whose response was lost took effect.
        """
        stamps = (self.stamp, *self.history)
        return any(stamp.edit_id == edit_id for stamp in stamps)


def _edit_record(value: Json) -> dict[str, Json]:
    """The metadata of the edit in a stored catalogue.

    It is empty if missing or invalid.

    Another tool may have written the object. Its document is used all the
    same; only the history starts again.
    """
    record = value.get(EDIT_FIELD) if isinstance(value, dict) else None
    is_valid = isinstance(record, dict) and not documents.find_faults(
        record, _SCHEMA
    )
    return record if is_valid and record else {}


NO_VERSION = StoredVersion(0, {"customers": {}, "classes": {}, "entries": {}})


def stored_value(
    document: Json, replaced: StoredVersion, stamp: EditStamp
) -> dict[str, Json]:
    """The value to store in order to put a catalogue document in force.

    :param document: a catalogue document.
    :param replaced: the version in force, or ``NO_VERSION``.
    :param stamp: the stamp of the new edit.
    :returns: the document with the metadata of the edit: its stamp, the
        stamps of the ``MAX_HISTORY_LENGTH`` versions before it, and the last
        ``MAX_EXPIRED_VERSIONS`` versions dropped from that history.
    """
    history = (replaced.stamp, *replaced.history) if replaced.version else ()
    dropped = tuple(old.version for old in history[MAX_HISTORY_LENGTH:])
    expired = (dropped + replaced.expired)[:MAX_EXPIRED_VERSIONS]
    record = {
        "id": stamp.edit_id,
        "by": stamp.by,
        "at": stamp.at,
        "history": [old.document for old in history[:MAX_HISTORY_LENGTH]],
        "expired": list(expired),
    }
    return {**without_edit(document), EDIT_FIELD: record}


def without_edit(value: Json) -> dict[str, Json]:
    """Remove the metadata of the edit from a stored catalogue.

    :returns: the catalogue document; empty if the value is not an object.
    """
    if not isinstance(value, dict):
        return {}
    return {name: part for name, part in value.items() if name != EDIT_FIELD}


def history_object_name(version: int) -> str:
    """The name of the store's object that keeps a replaced version.

    :param version: the replaced version of the catalogue.
    """
    return f"{HISTORY_PREFIX}{version}"


def expected_version(document: Json) -> int | None:
    """The catalogue version from which an operator made a document.

    :param document: a document that :func:`editable_document` may have
        marked with the version.
    :returns: the version, or None if the document names none.
    """
    record = document.get(EDIT_FIELD) if isinstance(document, dict) else None
    version = record.get("version") if isinstance(record, dict) else None
    return version if isinstance(version, int) else None


def editable_document(version: StoredVersion) -> dict[str, Json]:
    """The catalogue document for an operator to edit.

    It is marked with its version, which :func:`expected_version` reads.
    """
    return {**version.document, EDIT_FIELD: {"version": version.version}}


def apply_overlay(document: Json, overlay: Json) -> dict[str, Json]:
    """Add the items of an overlay to a catalogue document.

    An item of the same name is replaced; all others are kept.

    :param document: a complete catalogue document.
    :param overlay: some customers, classes and entries.
    :returns: the resulting catalogue document.
    """
    parts = without_edit(overlay)
    sections = {
        name: {**document.get(name, {}), **parts.get(name, {})}
        for name in difference.SECTIONS
    }
    return {**parts, **sections}


def without_entry(document: Json, name: str) -> dict[str, Json]:
    """A copy of a catalogue document without the entry of a name."""
    entries = {
        other: entry
        for other, entry in document["entries"].items()
        if other != name
    }
    return {**document, "entries": entries}


def edits_conflict(base: Json, mine: Json, theirs: Json) -> bool:
    """Whether two edits of the catalogue change the same item.

    An item is a customer, a service class or an entry. Edits of different
    items can be merged.

    :param base: the catalogue document that both edits started from.
    :param mine: the document after one edit.
    :param theirs: the document after the other edit.
    """
    my_items = difference.changed_items(base, mine)
    return bool(my_items & difference.changed_items(base, theirs))
