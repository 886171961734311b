"""What changed between two catalogue documents, and their digests."""

import collections
import itertools
import json
import typing

import xxhash

from ..links import peer_pb2 as pb

Document = dict[str, typing.Any]

STEPS_KEPT = 16


def canonical(value: typing.Any) -> bytes:
    """JSON with sorted keys and no blanks: equal values, equal bytes."""
    text = json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    )
    return text.encode()


def digest_of(document: Document) -> int:
    """The 64-bit digest by which two copies of a version are compared."""
    return xxhash.xxh64_intdigest(canonical(document))


def difference(old: Document, new: Document) -> list[pb.CatalogueChange]:
    """Named items of the sections that were set or removed."""
    sections = sorted(set(old) | set(new))
    return list(
        itertools.chain.from_iterable(
            _section_difference(name, old.get(name, {}), new.get(name, {}))
            for name in sections
        )
    )


def patched(
    document: Document, changes: typing.Iterable[pb.CatalogueChange]
) -> Document:
    """A copy with the changes made; unchanged items are shared.

    :raises ValueError: a value is not JSON.
    """
    copy = {name: dict(section) for name, section in document.items()}
    for change in changes:
        section = copy.setdefault(change.section, {})
        if change.value:
            section[change.name] = json.loads(change.value)
        else:
            section.pop(change.name, None)
    return copy


def comparable(old: Document, new: Document) -> bool:
    """Whether a delta can tell the whole difference.

    It names items of sections; a section that comes, goes or is no mapping
    it cannot tell.
    """
    sections = itertools.chain(old.values(), new.values())
    mappings = all(isinstance(section, dict) for section in sections)
    return mappings and set(old) == set(new)


class _Step:
    """From one version to the next one that was in force here."""

    __slots__ = ("version", "digest", "changes")

    def __init__(
        self, version: int, digest: int, changes: list[pb.CatalogueChange]
    ) -> None:
        self.version = version
        self.digest = digest
        self.changes = changes


class Steps:
    """The last changes, to bring those up to date who lag a little."""

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps: collections.deque[_Step] = collections.deque(
            maxlen=STEPS_KEPT
        )

    def add(
        self, version: int, digest: int, changes: list[pb.CatalogueChange]
    ) -> None:
        """Remember how the version given was changed into the next."""
        self._steps.append(_Step(version, digest, changes))

    def clear(self) -> None:
        """Forget: the next version did not come about by changes."""
        self._steps.clear()

    def since(
        self, version: int, digest: int
    ) -> list[pb.CatalogueChange] | None:
        """All changes after a version, or None when it is not known."""
        steps = list(
            itertools.dropwhile(
                lambda step: (step.version, step.digest) != (version, digest),
                self._steps,
            )
        )
        if not steps:
            return None
        changes = itertools.chain.from_iterable(s.changes for s in steps)
        last = {(c.section, c.name): c for c in changes}
        return list(last.values())


def _section_difference(
    section: str, old: Document, new: Document
) -> list[pb.CatalogueChange]:
    removed = [
        pb.CatalogueChange(section=section, name=name)
        for name in sorted(set(old) - set(new))
    ]
    return removed + [
        pb.CatalogueChange(section=section, name=name, value=canonical(value))
        for name, value in sorted(new.items())
        if name not in old or old[name] != value
    ]
