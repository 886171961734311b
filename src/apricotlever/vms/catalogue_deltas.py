"""Deltas between catalogue documents, and digests of documents.

A catalogue document has sections, such as customers, each of which maps names
to items. A delta lists the items that were set or removed, so that a peer
with an older version need not be sent the whole document.
"""

import collections
import itertools
import json
import typing

import xxhash

from ..links import peer_pb2 as pb

Document = dict[str, typing.Any]

DELTAS_KEPT = 16


def canonical_json(value: typing.Any) -> bytes:
    """Encode as canonical JSON: equal values give equal bytes."""
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return text.encode()


def compute_digest(document: Document) -> int:
    """The 64-bit hash by which copies of a catalogue version are compared."""
    return xxhash.xxh64_intdigest(canonical_json(document))


def compute_changes(old: Document, new: Document) -> list[pb.CatalogueChange]:
    """List the items that differ between two catalogue documents.

    :returns: changes by which :func:`apply_changes` turns the old document
        into the new one, if :func:`can_express_change` holds.
    """
    sections = sorted(set(old) | set(new))
    return list(
        itertools.chain.from_iterable(
            _section_changes(name, old.get(name, {}), new.get(name, {}))
            for name in sections
        )
    )


def apply_changes(
    document: Document, changes: typing.Iterable[pb.CatalogueChange]
) -> Document:
    """Apply changes of items to a copy of a catalogue document.

    Unchanged items are shared with the original.

    :raises ValueError: when a value is not JSON.
    """
    copy = {name: dict(section) for name, section in document.items()}
    for change in changes:
        section = copy.setdefault(change.section, {})
        if change.value:
            section[change.name] = json.loads(change.value)
        else:
            section.pop(change.name, None)
    return copy


def can_express_change(old: Document, new: Document) -> bool:
    """Whether changes of items express the whole difference of two documents.

    A change names an item of a section. It can't express that a section was
    added or removed, nor a section that is not a mapping.
    """
    sections = itertools.chain(old.values(), new.values())
    mappings = all(isinstance(section, dict) for section in sections)
    return mappings and set(old) == set(new)


class _Delta:
    """Changes from one catalogue version in force at this VM to the next.

    :param version: version that the changes start from.
    :param digest: digest of that version.
    """

    __slots__ = ("version", "digest", "changes")

    def __init__(
        self, version: int, digest: int, changes: list[pb.CatalogueChange]
    ) -> None:
        self.version = version
        self.digest = digest
        self.changes = changes


class DeltaHistory:
    """The last changes of the catalogue in force at this VM.

    A peer that is only a few versions behind can be sent these changes, not
    the whole document.
    """

    __slots__ = ("_deltas",)

    def __init__(self) -> None:
        self._deltas: collections.deque[_Delta] = collections.deque(
            maxlen=DELTAS_KEPT
        )

    def add(
        self, version: int, digest: int, changes: list[pb.CatalogueChange]
    ) -> None:
        """Add the changes from a version to its successor.

        :param version: version that the changes start from.
        :param digest: digest of that version.
        """
        self._deltas.append(_Delta(version, digest, changes))

    def clear(self) -> None:
        """Drop all deltas, when changes can't express the next version."""
        self._deltas.clear()

    def changes_since(
        self, version: int, digest: int
    ) -> list[pb.CatalogueChange] | None:
        """The changes that lead from a version to the one in force.

        :param version: the older version.
        :param digest: digest of the older version.
        :returns: the last change of each item; None when the history does not
            reach back to that version.
        """
        deltas = list(
            itertools.dropwhile(
                lambda delta: (delta.version, delta.digest)
                != (version, digest),
                self._deltas,
            )
        )
        if not deltas:
            return None
        changes = itertools.chain.from_iterable(s.changes for s in deltas)
        last = {(c.section, c.name): c for c in changes}
        return list(last.values())


def _section_changes(
    section: str, old: Document, new: Document
) -> list[pb.CatalogueChange]:
    removed = [
        pb.CatalogueChange(section=section, name=name)
        for name in sorted(set(old) - set(new))
    ]
    return removed + [
        pb.CatalogueChange(
            section=section, name=name, value=canonical_json(value)
        )
        for name, value in sorted(new.items())
        if name not in old or old[name] != value
    ]
