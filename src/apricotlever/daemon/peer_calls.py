"""Tracks calls to other entry VMs, to cancel those to a VM declared dead."""

from concurrent import futures
import functools
import typing

from ..links import peer_link
from ..links import peer_pb2 as pb

from . import future_chaining

Call = futures.Future[typing.Any]


class PeerCalls:
    """The calls in progress, by the VM and incarnation that were called."""

    __slots__ = ("_in_progress",)

    def __init__(self) -> None:
        self._in_progress: dict[tuple[str, int], list[Call]] = {}

    def track(self, member: pb.Member, call: Call, future: Call) -> None:
        """Track a call and complete a future when the call ends.

        :param member: the peer that was called.
        :param call: the call.
        :param future: gets the result or the error of the call.
        """
        process = (member.vm, member.incarnation)
        in_progress = [
            c for c in self._in_progress.get(process, ()) if not c.done()
        ]
        self._in_progress[process] = [*in_progress, call]
        call.add_done_callback(functools.partial(_complete, future, member.vm))

    def cancel(self, member: pb.Member) -> None:
        """Cancel the calls that a VM declared dead has not answered.

        A paused VM sends neither an answer nor an error. Without the
        cancellation, the caller would wait until the deadline of its request
        to learn that the outcome is unknown.

        :param member: the VM that was declared dead.
        """
        process = (member.vm, member.incarnation)
        for call in self._in_progress.pop(process, ()):
            call.cancel()


def _complete(future: Call, vm: str, call: Call) -> None:
    if call.cancelled():
        error = peer_link.PeerUnavailable(
            vm, "declared dead during the call", True
        )
        future.set_exception(error)
    else:
        future_chaining.copy_result(future, call)
