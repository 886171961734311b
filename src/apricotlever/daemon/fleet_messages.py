"""What other tasks ask of the task that speaks to the entry VMs."""

import typing

from ..links import peer_pb2 as pb
from ..vms import membership


class CatalogueKnown:
    """This VM has a catalogue in force; peers are to hear of it."""

    __slots__ = ("version", "digest")

    def __init__(self, version: int, digest: int) -> None:
        self.version = version
        self.digest = digest


class Hints:
    """Entry VMs on the platform's lagging list."""

    __slots__ = ("hints",)

    def __init__(self, hints: tuple[membership.Hint, ...]) -> None:
        self.hints = hints


class ViewWanted:
    """Ask for the view as it is now."""

    __slots__ = ()


class Leave:
    """Tell the others that this VM takes no new work."""

    __slots__ = ()


class Depart:
    """Tell the others that this process ends; the last message."""

    __slots__ = ()


class CallPeer:
    """Call a method of another entry VM by its name.

    Answered with the peer's answer; raises what the peer link raises.

    :param incarnation: only this one is meant; 0 for any.
    """

    __slots__ = ("vm", "incarnation", "method", "message", "timeout_s")

    def __init__(
        self,
        vm: str,
        incarnation: int,
        method: str,
        message: typing.Any,
        timeout_s: float,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.method = method
        self.message = message
        self.timeout_s = timeout_s


class Announce:
    """Spread a rumour."""

    __slots__ = ("rumour",)

    def __init__(self, rumour: pb.Rumour) -> None:
        self.rumour = rumour
