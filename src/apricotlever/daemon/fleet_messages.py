"""Messages from other tasks to :class:`.fleet_link.FleetLink`."""

import typing

from ..links import peer_pb2 as pb
from ..vms import membership


class AdvertiseCatalogue:
    """Advertise to the peers the catalogue in force at this VM."""

    __slots__ = ("version", "digest")

    def __init__(self, version: int, digest: int) -> None:
        self.version = version
        self.digest = digest


class SetHints:
    """Set the entry VMs that the platform lists.

    The list lags, so it only serves as hints for finding members.
    """

    __slots__ = ("hints",)

    def __init__(self, hints: tuple[membership.Hint, ...]) -> None:
        self.hints = hints


class GetView:
    """Get the view: this VM's current snapshot of the fleet."""

    __slots__ = ()


class AnnounceLeave:
    """Announce to the peers that this VM takes no new work."""

    __slots__ = ()


class AnnounceExit:
    """Announce to the peers that this process ends.

    It is the last message. Its future is done when the calls to the peers
    have ended.
    """

    __slots__ = ()


class CallPeer:
    """Call a method of another entry VM.

    The result is the peer's reply, or the error of the peer link.

    :param vm: the name of the entry VM.
    :param incarnation: the incarnation to call; 0 for any.
    :param method: the name of the method of the peer service.
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


class AnnounceRumour:
    """Spread a rumour: a message that gossip carries to the other VMs."""

    __slots__ = ("rumour",)

    def __init__(self, rumour: pb.Rumour) -> None:
        self.rumour = rumour
