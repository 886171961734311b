"""The catalogue in force at one VM, and its encoding for peers."""

import json
import typing

from . import catalogue_deltas
from ..links import peer_pb2 as pb

Document = catalogue_deltas.Document

RUMOUR_LIFETIME_MS = 30_000
# Most bytes of a change that is sent with the rumour of a new version; peers
# fetch a larger change.
DELTA_BYTES_MAX = 600


class CatalogueInForce:
    """The catalogue in force at one VM.

    :param version: version of the catalogue's object in the store; 0 while no
        catalogue is in force.
    :param digest: hash by which copies of the version are compared.
    """

    __slots__ = ("version", "digest", "document")

    def __init__(self, version: int, digest: int, document: Document) -> None:
        self.version = version
        self.digest = digest
        self.document = document


NO_CATALOGUE = CatalogueInForce(0, 0, {})


class CatalogueVersions:
    """The catalogue in force at one VM and the last changes that led to it.

    It encodes the catalogue for peers, as a document or as changes, and
    decodes what peers send.
    """

    __slots__ = ("_in_force", "_deltas")

    def __init__(self) -> None:
        self._in_force = NO_CATALOGUE
        self._deltas = catalogue_deltas.DeltaHistory()

    @property
    def in_force(self) -> CatalogueInForce:
        """The catalogue in force; its version is 0 before the first one."""
        return self._in_force

    def adopt(
        self, version: int, digest: int, document: Document
    ) -> pb.Rumour:
        """Put a document in force.

        :returns: a rumour that announces the version to peers, with the
            change if that is small.
        """
        old = self._in_force
        self._in_force = CatalogueInForce(version, digest, document)
        return self._rumour(old, self._remember_delta(old, document))

    def answer_fetch(self, request: pb.FetchCatalogue) -> pb.CatalogueDocument:
        """Encode the catalogue in force for a peer that fetches it.

        :param request: names the version that the peer has.
        :returns: only version and digest when the peer has the same version;
            the changes since its version if they are known and smaller than
            the document; otherwise the whole document.
        """
        current = self._in_force
        answer = pb.CatalogueDocument(
            version=current.version, digest=current.digest
        )
        base = (request.have_version, request.have_digest)
        if base == (current.version, current.digest) or not current.version:
            return answer
        changes = self._deltas.changes_since(*base)
        whole = catalogue_deltas.canonical_json(current.document)
        if changes is not None and _size(changes) < len(whole):
            answer.base_version, answer.base_digest = base
            answer.changes.extend(changes)
        else:
            answer.whole = whole
        return answer

    def decode(self, received: pb.CatalogueDocument) -> Document | None:
        """Decode the document in a peer's message.

        :returns: the whole document, also when the message has only changes;
            None if these do not start from the version in force here.
        :raises ValueError: when the document can't be decoded.
        """
        current = self._in_force
        if received.whole:
            document = json.loads(received.whole)
            if not isinstance(document, dict):
                raise ValueError("not a JSON object")
            return document
        base = (received.base_version, received.base_digest)
        if not received.base_version or base != (
            current.version,
            current.digest,
        ):
            return None
        return catalogue_deltas.apply_changes(
            current.document, received.changes
        )

    def _remember_delta(
        self, old: CatalogueInForce, document: Document
    ) -> list[pb.CatalogueChange] | None:
        if not old.version or not catalogue_deltas.can_express_change(
            old.document, document
        ):
            self._deltas.clear()
            return None
        changes = catalogue_deltas.compute_changes(old.document, document)
        self._deltas.add(old.version, old.digest, changes)
        return changes

    def _rumour(
        self, old: CatalogueInForce, changes: list[pb.CatalogueChange] | None
    ) -> pb.Rumour:
        # The rumour stays in this data centre, as each data centre has its own
        # watchers. When those of a data centre are cut off from the store, its
        # gateways learn of the version from the gateways of other ones.
        current = self._in_force
        rumour = pb.Rumour(
            scope=pb.SCOPE_DATA_CENTRE,
            lifetime_ms=RUMOUR_LIFETIME_MS,
            replaces_key="catalogue",
        )
        rumour.catalogue.version = current.version
        rumour.catalogue.digest = current.digest
        if changes is not None and _size(changes) <= DELTA_BYTES_MAX:
            delta = rumour.catalogue.delta
            delta.version, delta.digest = current.version, current.digest
            delta.base_version, delta.base_digest = old.version, old.digest
            delta.changes.extend(changes)
        return rumour


def _size(changes: typing.Iterable[pb.CatalogueChange]) -> int:
    return sum(change.ByteSize() for change in changes)
