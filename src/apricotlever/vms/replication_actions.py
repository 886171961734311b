"""Actions that the catalogue replicator asks its caller to take.

They are returned by :class:`~.catalogue_replicator.CatalogueReplicator`, which
does no I/O.
"""

from . import catalogue_deltas
from ..links import peer_pb2 as pb


class ReplicationAction:
    """Base class of the actions of the catalogue replicator."""

    __slots__ = ()


class StartWatching(ReplicationAction):
    """Read the catalogue's object from the store, then watch it.

    Each result is passed to ``receive_stored``.
    """

    __slots__ = ()


class StopWatching(ReplicationAction):
    """Stop watching the catalogue's object in the store."""

    __slots__ = ()


class FetchFromPeer(ReplicationAction):
    """Fetch a newer catalogue from a peer by the Fetch call.

    The result is passed to ``receive_answer`` or ``fetch_failed``.
    """

    __slots__ = ("vm", "address", "message")

    def __init__(
        self, vm: str, address: str, message: pb.FetchCatalogue
    ) -> None:
        self.vm = vm
        self.address = address
        self.message = message


class ApplyCatalogue(ReplicationAction):
    """Put a catalogue document in force at this VM.

    Its version and digest are also passed to ``Membership.set_catalogue``,
    which advertises them to peers.
    """

    __slots__ = ("version", "digest", "document")

    def __init__(
        self, version: int, digest: int, document: catalogue_deltas.Document
    ) -> None:
        self.version = version
        self.digest = digest
        self.document = document


class AnnounceRumour(ReplicationAction):
    """Announce a new version: pass a rumour to ``Membership.announce``."""

    __slots__ = ("rumour",)

    def __init__(self, rumour: pb.Rumour) -> None:
        self.rumour = rumour


class Fault(ReplicationAction):
    """A fault reported to operators; the catalogue in force is unchanged.

    :param version: catalogue version that was received.
    :param source: "store" or the name of the VM that sent it.
    :param detail: description of the fault in one sentence.
    """

    __slots__ = ("version", "source", "detail")

    def __init__(self, version: int, source: str, detail: str) -> None:
        self.version = version
        self.source = source
        self.detail = detail


class StoreBehind(Fault):
    """The store holds an older catalogue version than the one in force.

    It may do so after a restore of a backup, and may also hold none. The
    catalogue in force stays.
    """

    __slots__ = ()


class DigestClash(Fault):
    """Another document has the version in force; the one in force stays."""

    __slots__ = ()


class Invalid(Fault):
    """The document of a newer version is invalid; the one in force stays."""

    __slots__ = ()
