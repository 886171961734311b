"""The catalogue in force at one VM, and how it gives it to others."""

import json
import typing

from . import deltas
from ..links import peer_pb2 as pb

Document = deltas.Document

RUMOUR_LIFETIME_MS = 30_000
# A change up to this size rides on the rumour; a larger one is fetched.
DELTA_BYTES_MAX = 600


class InForce:
    """The catalogue that this VM goes by."""

    __slots__ = ("version", "digest", "document")

    def __init__(self, version: int, digest: int, document: Document) -> None:
        self.version = version
        self.digest = digest
        self.document = document


NOTHING = InForce(0, 0, {})


class Versions:
    """The document in force and the last changes that led to it."""

    __slots__ = ("_in_force", "_steps")

    def __init__(self) -> None:
        self._in_force = NOTHING
        self._steps = deltas.Steps()

    @property
    def in_force(self) -> InForce:
        """What this VM goes by; version 0: nothing yet."""
        return self._in_force

    def adopt(
        self, version: int, digest: int, document: Document
    ) -> pb.Rumour:
        """Put a document in force.

        :returns: a rumour of it, with the change when that is small.
        """
        old = self._in_force
        self._in_force = InForce(version, digest, document)
        return self._rumour(old, self._remember_step(old, document))

    def serve(self, request: pb.FetchCatalogue) -> pb.CatalogueDocument:
        """The answer to a peer's fetch."""
        ours = self._in_force
        answer = pb.CatalogueDocument(version=ours.version, digest=ours.digest)
        has = (request.have_version, request.have_digest)
        if has == (ours.version, ours.digest) or not ours.version:
            return answer
        changes = self._steps.since(*has)
        whole = deltas.canonical(ours.document)
        if changes is not None and _size(changes) < len(whole):
            answer.base_version, answer.base_digest = has
            answer.changes.extend(changes)
        else:
            answer.whole = whole
        return answer

    def decode(self, heard: pb.CatalogueDocument) -> Document | None:
        """The document that a peer gave.

        :returns: None for a delta against a version that is not ours.
        :raises ValueError: not readable.
        """
        ours = self._in_force
        if heard.whole:
            document = json.loads(heard.whole)
            if not isinstance(document, dict):
                raise ValueError("not a JSON object")
            return document
        base = (heard.base_version, heard.base_digest)
        if not heard.base_version or base != (ours.version, ours.digest):
            return None
        return deltas.patched(ours.document, heard.changes)

    def _remember_step(
        self, old: InForce, document: Document
    ) -> list[pb.CatalogueChange] | None:
        if not old.version or not deltas.comparable(old.document, document):
            self._steps.clear()
            return None
        changes = deltas.difference(old.document, document)
        self._steps.add(old.version, old.digest, changes)
        return changes

    def _rumour(
        self, old: InForce, changes: list[pb.CatalogueChange] | None
    ) -> pb.Rumour:
        # For this data centre only: each has watchers of its own, and its
        # gateways hear of the version from others when those are cut off.
        ours = self._in_force
        rumour = pb.Rumour(
            scope=pb.SCOPE_DATA_CENTRE,
            lifetime_ms=RUMOUR_LIFETIME_MS,
            replaces_key="catalogue",
        )
        rumour.catalogue.version = ours.version
        rumour.catalogue.digest = ours.digest
        if changes is not None and _size(changes) <= DELTA_BYTES_MAX:
            delta = rumour.catalogue.delta
            delta.version, delta.digest = ours.version, ours.digest
            delta.base_version, delta.base_digest = old.version, old.digest
            delta.changes.extend(changes)
        return rumour


def _size(changes: typing.Iterable[pb.CatalogueChange]) -> int:
    return sum(change.ByteSize() for change in changes)
