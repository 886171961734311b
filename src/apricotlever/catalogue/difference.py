"""Differences between two catalogue documents, field by field."""

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
    """One field that differs between two catalogue documents.

    :param field: the dotted path of the field.
    :param kind: ``ADDED``, ``REMOVED`` or ``CHANGED``.
    :param before: the old value; None if the field was added.
    :param after: the new value; None if the field was removed.
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
        """The change as a JSON object with these attributes."""
        return {name: getattr(self, name) for name in Change.__slots__}


def changes(before: Json, after: Json) -> tuple[Change, ...]:
    """List every field that differs between two catalogue documents.

    :param before: a catalogue document, or part of one.
    :param after: the same part of another catalogue document.
    :returns: the changes, with the fields of each object in alphabetical
        order.
    """
    return tuple(_value_changes("", before, after))


def changed_items(before: Json, after: Json) -> frozenset[tuple[str, str]]:
    """List the items that differ between two catalogue documents.

    An item is a customer, a service class or an entry.

    :param before: a catalogue document.
    :param after: another catalogue document.
    :returns: pairs of section and name.
    """
    return frozenset(
        (section, name)
        for section in SECTIONS
        for name in {**before.get(section, {}), **after.get(section, {})}
        if not _is_same_json(
            _find_item(before, section, name), _find_item(after, section, name)
        )
    )


def _is_same_json(before: Json, after: Json) -> bool:
    """Whether two values are the same JSON.

    In Python ``True == 1``. With that comparison alone, a weight changed
    from ``1`` to ``true`` would count as unchanged and would not be
    validated.
    """
    if before != after:
        return False
    return json.dumps(before, sort_keys=True) == json.dumps(
        after, sort_keys=True
    )


def _find_item(document: Json, section: str, name: str) -> Json:
    return document.get(section, {}).get(name, ABSENT)


def _value_changes(
    path: str, before: Json, after: Json
) -> collections.abc.Iterator[Change]:
    if _is_same_json(before, after):
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
    return _value_changes(path, before[field], after[field])
