"""Actions that the catalogue replicator asks its owner to take."""

from . import catalogue_deltas
from ..links import peer_pb2 as pb


class ReplicationAction:
    """Base class of the actions."""

    __slots__ = ()


class StartWatching(ReplicationAction):
    """Read the object from the store, then watch it.

    Each result is passed to ``receive_stored``.
    """

    __slots__ = ()


class StopWatching(ReplicationAction):
    """Stop watching the store."""

    __slots__ = ()


class FetchFromPeer(ReplicationAction):
    """Call Fetch at a peer.

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
    """Put a document in force.

    Its version and digest are also passed to ``Membership.set_catalogue``.
    """

    __slots__ = ("version", "digest", "document")

    def __init__(
        self, version: int, digest: int, document: catalogue_deltas.Document
    ) -> None:
        self.version = version
        self.digest = digest
        self.document = document


class AnnounceRumour(ReplicationAction):
    """Pass a rumour to ``Membership.announce``."""

    __slots__ = ("rumour",)

    def __init__(self, rumour: pb.Rumour) -> None:
        self.rumour = rumour


class Fault(ReplicationAction):
    """A fault reported to operators; the catalogue in force is unchanged.

    :param version: version that was received.
    :param source: "store" or the name of the VM that sent it.
    :param detail: description of the fault in one sentence.
    """

    __slots__ = ("version", "source", "detail")

    def __init__(self, version: int, source: str, detail: str) -> None:
        self.version = version
        self.source = source
        self.detail = detail


class StoreBehind(Fault):
    """The store holds an older version, as after a restore of a backup.

    The catalogue in force stays.
    """

    __slots__ = ()


class DigestClash(Fault):
    """Two documents have one version number; the one in force stays."""

    __slots__ = ()


class Invalid(Fault):
    """The document of a newer version is invalid; the old one stays."""

    __slots__ = ()
