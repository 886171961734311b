"""Deltas between catalogue documents, and digests of documents."""

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
    """The 64-bit hash by which two copies of a version are compared."""
    return xxhash.xxh64_intdigest(canonical_json(document))


def compute_changes(old: Document, new: Document) -> list[pb.CatalogueChange]:
    """List the items of all sections that were set or removed."""
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
    """Apply changes to a copy of a document; unchanged items are shared.

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
    """Whether a list of changes can express the whole difference.

    A change names an item of a section. It can't express a section that is
    added, removed or not a mapping.
    """
    sections = itertools.chain(old.values(), new.values())
    mappings = all(isinstance(section, dict) for section in sections)
    return mappings and set(old) == set(new)


class _Delta:
    """Changes from one version in force here to the next one."""

    __slots__ = ("version", "digest", "changes")

    def __init__(
        self, version: int, digest: int, changes: list[pb.CatalogueChange]
    ) -> None:
        self.version = version
        self.digest = digest
        self.changes = changes


class DeltaHistory:
    """The last deltas, to update peers that are a few versions behind."""

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
        """Drop all deltas, as no changes lead to the next version."""
        self._deltas.clear()

    def changes_since(
        self, version: int, digest: int
    ) -> list[pb.CatalogueChange] | None:
        """All changes after a version; None when that version is not kept."""
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
