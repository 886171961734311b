"""What :class:`~.membership.Membership` asks its owner to do, or tells it."""

from ..links import peer_pb2 as pb


class Action:
    """Any of the below."""

    __slots__ = ()


class Send(Action):
    """Call Gossip at a peer; hand its answer to ``Membership.receive``.

    An answer that does not come needs no report.

    :param vm: whom it is meant for; empty when only the address is known.
    :param address: "host:port".
    """

    __slots__ = ("vm", "address", "message")

    def __init__(
        self, vm: str, address: str, message: pb.GossipMessage
    ) -> None:
        self.vm = vm
        self.address = address
        self.message = message


class Reply(Action):
    """The answer to the call whose message was just received."""

    __slots__ = ("message",)

    def __init__(self, message: pb.GossipMessage) -> None:
        self.message = message


class Changed(Action):
    """What is known of a VM changed.

    A death here is a judgement, not a proof: the VM may turn out to have
    been paused or cut off, and come back in the same incarnation.

    :param before: None for a VM that was not known.
    """

    __slots__ = ("before", "after")

    def __init__(self, before: pb.Member | None, after: pb.Member) -> None:
        self.before = before
        self.after = after


class IncarnationEnded(Action):
    """Proof that a process is gone: its VM runs a newer one, or it left."""

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation


class Delivered(Action):
    """A rumour, once.

    :param rumour: its ``age_ms`` tells how long ago it was announced.
    :param via: the VM that passed it on.
    """

    __slots__ = ("rumour", "via")

    def __init__(self, rumour: pb.Rumour, via: str) -> None:
        self.rumour = rumour
        self.via = via


class Paused(Action):
    """This process stood still; whatever it held by time may have lapsed."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class Refuted(Action):
    """Others took this VM for silent or dead; it has denied that."""

    __slots__ = ("suspected_by",)

    def __init__(self, suspected_by: str) -> None:
        self.suspected_by = suspected_by


class Superseded(Action):
    """A newer process runs under this VM's name; this one has to stop."""

    __slots__ = ("incarnation",)

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation


class CatalogueHeard(Action):
    """A peer mentioned a catalogue version greater than any heard before."""

    __slots__ = ("version", "digest", "via")

    def __init__(self, version: int, digest: int, via: str) -> None:
        self.version = version
        self.digest = digest
        self.via = via
