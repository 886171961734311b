"""What differs between two catalogue documents, field by field."""

import collections.abc
import itertools
import json
import typing

Json = typing.Any

SECTIONS = ("customers", "classes", "entries")
ABSENT: typing.Final = None

ADDED = "added"
REMOVED = "removed"
CHANGED = "changed"


class Change:
    """One field that differs.

    :param field: dotted path.
    :param kind: ``ADDED``, ``REMOVED`` or ``CHANGED``.
    :param before: None when added.
    :param after: None when removed.
    """

    __slots__ = ("field", "kind", "before", "after")

    def __init__(
        self, field: str, kind: str, before: Json, after: Json
    ) -> None:
        self.field = field
        self.kind = kind
        self.before = before
        self.after = after

    @property
    def document(self) -> dict[str, Json]:
        """The change as JSON."""
        return {name: getattr(self, name) for name in Change.__slots__}


def changes(before: Json, after: Json) -> tuple[Change, ...]:
    """Every field that differs, in the order of the paths.

    :param before: a catalogue document, or part of one.
    :param after: the same part of another.
    """
    return tuple(_changes("", before, after))


def touched(before: Json, after: Json) -> frozenset[tuple[str, str]]:
    """Which customers, classes and entries differ.

    :returns: pairs of section and name.
    """
    return frozenset(
        (section, name)
        for section in SECTIONS
        for name in {**before.get(section, {}), **after.get(section, {})}
        if not _same(
            _named(before, section, name), _named(after, section, name)
        )
    )


def _same(before: Json, after: Json) -> bool:
    """Whether two values are the same JSON.

    Python holds ``True`` equal to ``1``. A weight of ``true`` would be
    taken for the valid ``1`` that stood there before, and not be checked.
    """
    if before != after:
        return False
    return json.dumps(before, sort_keys=True) == json.dumps(
        after, sort_keys=True
    )


def _named(document: Json, section: str, name: str) -> Json:
    return document.get(section, {}).get(name, ABSENT)


def _changes(
    path: str, before: Json, after: Json
) -> collections.abc.Iterator[Change]:
    if _same(before, after):
        return iter(())
    if not (isinstance(before, dict) and isinstance(after, dict)):
        return iter((Change(path, CHANGED, before, after),))
    fields = sorted({**before, **after})
    return itertools.chain.from_iterable(
        _field_changes(
            f"{path}.{field}" if path else field, field, before, after
        )
        for field in fields
    )


def _field_changes(
    path: str, field: str, before: Json, after: Json
) -> collections.abc.Iterator[Change]:
    if field not in before:
        return iter((Change(path, ADDED, None, after[field]),))
    if field not in after:
        return iter((Change(path, REMOVED, before[field], None),))
    return _changes(path, before[field], after[field])
