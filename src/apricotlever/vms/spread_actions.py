"""What :class:`~.spread.ConfigurationSpread` asks its owner to do."""

from . import deltas
from ..links import peer_pb2 as pb


class SpreadAction:
    """Any of the below."""

    __slots__ = ()


class Watch(SpreadAction):
    """Read the object, then watch it; report by ``stored``."""

    __slots__ = ()


class StopWatching(SpreadAction):
    """This VM watches no longer."""

    __slots__ = ()


class FetchFrom(SpreadAction):
    """Call Fetch at a peer; report by ``answered`` or ``fetch_failed``."""

    __slots__ = ("vm", "address", "message")

    def __init__(
        self, vm: str, address: str, message: pb.FetchCatalogue
    ) -> None:
        self.vm = vm
        self.address = address
        self.message = message


class Apply(SpreadAction):
    """This is in force from now on.

    Its version and digest also go to ``Membership.set_catalogue``.
    """

    __slots__ = ("version", "digest", "document")

    def __init__(
        self, version: int, digest: int, document: deltas.Document
    ) -> None:
        self.version = version
        self.digest = digest
        self.document = document


class Announce(SpreadAction):
    """Give the rumour to membership's ``announce``."""

    __slots__ = ("rumour",)

    def __init__(self, rumour: pb.Rumour) -> None:
        self.rumour = rumour


class Fault(SpreadAction):
    """Something an operator has to know of; nothing was taken over.

    :param version: the version that came.
    :param source: "store" or the VM that sent it.
    :param detail: one sentence.
    """

    __slots__ = ("version", "source", "detail")

    def __init__(self, version: int, source: str, detail: str) -> None:
        self.version = version
        self.source = source
        self.detail = detail


class StoreBehind(Fault):
    """The store went back to an older version, as after a restore.

    What is in force stays.
    """

    __slots__ = ()


class DigestClash(Fault):
    """Two documents carry one version number; the one in force stays."""

    __slots__ = ()


class Invalid(Fault):
    """A document of a newer version is of bad form; the old one stays."""

    __slots__ = ()
