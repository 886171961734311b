"""Calls made to other entry VMs on behalf of other tasks."""

from concurrent import futures
import functools
import typing

from ..links import peer_link
from ..links import peer_pb2 as pb

from . import future_chaining

Call = futures.Future[typing.Any]


class PeerCalls:
    """Calls under way, by the process that is to answer them."""

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: dict[tuple[str, int], list[Call]] = {}

    def follow(self, member: pb.Member, call: Call, future: Call) -> None:
        """Settle a future as a call ends.

        :param member: whom the call was made to.
        """
        process = (member.vm, member.incarnation)
        running = [c for c in self._running.get(process, ()) if not c.done()]
        self._running[process] = [*running, call]
        call.add_done_callback(functools.partial(_settle, future, member.vm))

    def give_up(self, member: pb.Member) -> None:
        """End the calls that a VM held to be dead has not answered.

        One that stands still gives neither an answer nor an error. The
        caller would wait out the whole deadline of its request to hear
        that the outcome is unknown.
        """
        process = (member.vm, member.incarnation)
        for call in self._running.pop(process, ()):
            call.cancel()


def _settle(future: Call, vm: str, call: Call) -> None:
    if call.cancelled():
        gone = peer_link.PeerUnavailable(vm, "gone while it was asked", True)
        future.set_exception(gone)
    else:
        future_chaining.copy(future, call)
