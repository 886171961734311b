"""Actions and events that the membership protocol returns to its caller.

:class:`~.membership.Membership` does no I/O: its caller sends the messages
and handles the events. A member record is what a VM knows of one VM: its
addresses, its process and its state.
"""

from ..links import peer_pb2 as pb


class Action:
    """Base class of the membership actions and events."""

    __slots__ = ()


class Send(Action):
    """Asks the caller to send a message to a peer by the Gossip call.

    The answer goes to :meth:`~.membership.Membership.receive_reply`. A missing
    answer need not be reported: the probes have timeouts of their own.

    :param vm: the intended recipient; empty when only the address is known.
    :param address: the recipient's "host:port".
    :param message: the message to send.
    """

    __slots__ = ("vm", "address", "message")

    def __init__(
        self, vm: str, address: str, message: pb.GossipMessage
    ) -> None:
        self.vm = vm
        self.address = address
        self.message = message


class Reply(Action):
    """Asks the caller to answer the Gossip call that it is handling.

    :param message: the answer to the message that the call carried.
    """

    __slots__ = ("message",)

    def __init__(self, message: pb.GossipMessage) -> None:
        self.message = message


class MemberChanged(Action):
    """The member record that this VM keeps of another VM has changed.

    A VM recorded as dead is not certain to be so: it may have been paused
    or disconnected, and can return in the same incarnation.

    :param before: the previous record; None for a VM that was not known.
    :param after: the new record.
    """

    __slots__ = ("before", "after")

    def __init__(self, before: pb.Member | None, after: pb.Member) -> None:
        self.before = before
        self.after = after


class IncarnationEnded(Action):
    """An entry VM's process has certainly ended.

    Its VM runs a newer process, or the process announced its end.

    :param vm: the VM that ran the process.
    :param incarnation: the incarnation of the ended process.
    """

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation


class RumourDelivered(Action):
    """A rumour that is new to this VM has arrived from a peer.

    Each rumour is delivered once, however many peers pass it on.

    :param rumour: its ``age_ms`` is the time since it was announced.
    :param via: the VM that forwarded it.
    """

    __slots__ = ("rumour", "via")

    def __init__(self, rumour: pb.Rumour, via: str) -> None:
        self.rumour = rumour
        self.via = via


class PauseDetected(Action):
    """This process was paused; leases and timeouts may have expired.

    :param seconds: the gap in this process's activity that showed the pause.
    """

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class SuspicionRefuted(Action):
    """Others suspected this VM or declared it dead; it has refuted that.

    Its own member record now takes precedence over theirs, and is spread.

    :param suspected_by: the VM that raised the suspicion.
    """

    __slots__ = ("suspected_by",)

    def __init__(self, suspected_by: str) -> None:
        self.suspected_by = suspected_by


class Superseded(Action):
    """A newer process runs under this VM's name; this process must stop.

    :param incarnation: the incarnation of the newer process.
    """

    __slots__ = ("incarnation",)

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation


class CatalogueAdvertised(Action):
    """A peer advertised a catalogue that this VM may have to fetch.

    Its version is greater than the one in force here, or the same version
    has another digest.

    :param via: the VM that advertised it.
    """

    __slots__ = ("version", "digest", "via")

    def __init__(self, version: int, digest: int, via: str) -> None:
        self.version = version
        self.digest = digest
        self.via = via
