"""Edits of the catalogue: what is stored beside the document, and merges.

The stored object holds the catalogue's document and, under ``edit``, which
edit wrote it and which versions came before it. So the one conditional
write that puts a version in force also extends the history's index, and an
edit whose answer was lost can be recognised later.
"""

import typing

from .. import documents
from . import difference

Json = typing.Any

FIELD = "edit"
CURRENT_NAME = "catalogue/current"
HISTORY_PREFIX = "catalogue/history/"
HISTORY_KEPT = 50
EXPIRED_KEPT = 3

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


class Stamp:
    """Who wrote a version, and when.

    :param version: the object's version; 0 while it is being written.
    :param edit_id: unique to the edit.
    :param by: the operator, as the client was told.
    :param at: wall clock in seconds, for people only.
    """

    __slots__ = ("version", "edit_id", "by", "at")

    def __init__(self, version: int, edit_id: str, by: str, at: float) -> None:
        self.version = version
        self.edit_id = edit_id
        self.by = by
        self.at = at

    @classmethod
    def from_document(cls, value: Json) -> "Stamp":
        """Read a stamp; what is missing stays empty."""
        return cls(
            int(value.get("version", 0)),
            str(value.get("id", "")),
            str(value.get("by", "")),
            float(value.get("at", 0.0)),
        )

    @property
    def document(self) -> dict[str, Json]:
        """The stamp as JSON."""
        return {
            "version": self.version,
            "id": self.edit_id,
            "by": self.by,
            "at": self.at,
        }


class Version:
    """One version of the catalogue as it stands in the store.

    :param version: the object's version; 0 when there is none.
    :param value: the object's value.
    """

    __slots__ = ("version", "value", "stamp", "history", "expired")

    def __init__(self, version: int, value: Json) -> None:
        record = _record_of(value)
        self.version = version
        self.value = value
        self.stamp = Stamp.from_document({**record, "version": version})
        self.history = tuple(
            map(Stamp.from_document, record.get("history", ()))
        )
        self.expired = tuple(map(int, record.get("expired", ())))

    @property
    def document(self) -> dict[str, Json]:
        """The catalogue's document, without its edit."""
        return without_edit(self.value)

    def shows(self, edit_id: str) -> bool:
        """Whether an edit is in force here, or was before later edits."""
        stamps = (self.stamp, *self.history)
        return any(stamp.edit_id == edit_id for stamp in stamps)


def _record_of(value: Json) -> dict[str, Json]:
    """What stands under ``edit``, or nothing if it has another form.

    Another tool may have written the object. Its document counts all the
    same; only the history starts anew.
    """
    record = value.get(FIELD) if isinstance(value, dict) else None
    is_ours = isinstance(record, dict) and not documents.faults_of(
        record, _SCHEMA
    )
    return record if is_ours and record else {}


NONE = Version(0, {"customers": {}, "classes": {}, "entries": {}})


def stored_value(
    document: Json, replaced: Version, stamp: Stamp
) -> dict[str, Json]:
    """What to store to put a document in force.

    :param document: a catalogue document.
    :param replaced: the version in force, or ``NONE``.
    :param stamp: the new edit's.
    """
    history = (replaced.stamp, *replaced.history) if replaced.version else ()
    dropped = tuple(old.version for old in history[HISTORY_KEPT:])
    expired = (dropped + replaced.expired)[:EXPIRED_KEPT]
    record = {
        "id": stamp.edit_id,
        "by": stamp.by,
        "at": stamp.at,
        "history": [old.document for old in history[:HISTORY_KEPT]],
        "expired": list(expired),
    }
    return {**without_edit(document), FIELD: record}


def without_edit(value: Json) -> dict[str, Json]:
    """A document without what stands under ``edit``."""
    if not isinstance(value, dict):
        return {}
    return {name: part for name, part in value.items() if name != FIELD}


def history_name(version: int) -> str:
    """The name of the object that keeps a replaced version."""
    return f"{HISTORY_PREFIX}{version}"


def expected_version(document: Json) -> int | None:
    """The version that a shown document was made from; None if unknown."""
    record = document.get(FIELD) if isinstance(document, dict) else None
    version = record.get("version") if isinstance(record, dict) else None
    return version if isinstance(version, int) else None


def shown(version: Version) -> dict[str, Json]:
    """A document to edit, marked with the version that it is made from."""
    return {**version.document, FIELD: {"version": version.version}}


def merged(document: Json, overlay: Json) -> dict[str, Json]:
    """Replace what an overlay names and leave everything else.

    :param document: a whole catalogue document.
    :param overlay: some customers, classes and entries.
    """
    parts = without_edit(overlay)
    sections = {
        name: {**document.get(name, {}), **parts.get(name, {})}
        for name in difference.SECTIONS
    }
    return {**parts, **sections}


def without_entry(document: Json, name: str) -> dict[str, Json]:
    """Remove an entry; the same document if there is none."""
    entries = {
        other: entry
        for other, entry in document["entries"].items()
        if other != name
    }
    return {**document, "entries": entries}


def collide(base: Json, mine: Json, theirs: Json) -> bool:
    """Whether two edits of one base changed the same thing."""
    my_parts = difference.touched(base, mine)
    return bool(my_parts & difference.touched(base, theirs))
