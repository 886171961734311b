"""Messages between VMs about the slots of plain services, over UDP.

They share the socket of :mod:`.limit_protocol`. A VM asks the keeper of a
service for a slot before it sends a call, is told a runner, and releases the
slot when the call has ended. If a message is lost, the VM chooses a runner by
itself, and the keeper learns from a later request which leases have ended.
"""

import enum
import typing

from .. import validation
from ..runners import slot_requests

from . import limit_protocol

#: Kinds of messages: a request for a slot, its answer, and the end of a lease.
SLOT_ASK = 14
SLOT_GRANT = 15
SLOT_RELEASE = 16
#: Upper limits of the runners and of the calls that a request lists, so that
#: it fits in a datagram that is not fragmented.
MAX_EXCLUDED = 16
MAX_HELD = 32

_IS_ASK = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_empty_string,
    validation.is_non_negative_int,
    validation.is_non_empty_string,
    validation.is_list_of(validation.is_non_empty_string),
    validation.is_string,
    validation.is_non_negative_int,
    validation.is_non_negative_number,
    validation.is_non_negative_number,
    validation.is_none_or(
        validation.is_list_of(validation.is_non_negative_int)
    ),
)
_IS_GRANT = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    validation.is_string,
)
_IS_RELEASE = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_empty_string,
    validation.is_non_negative_int,
    validation.is_bool,
    validation.is_string,
    validation.is_non_negative_number,
)


class Answer(enum.IntEnum):
    """A keeper's answer to a request for a slot."""

    #: The call has the lease of a slot.
    GRANTED = 0
    #: No slot is free; a further answer follows if one becomes free in time.
    WAITING = 1
    #: No slot is free.
    NONE = 2


class Vm(typing.Protocol):
    """This VM's side of the messages."""

    def receive_ask(
        self,
        process: str,
        number: int,
        request: slot_requests.Request,
        held: frozenset[int] | None,
        address: limit_protocol.Address,
    ) -> None:
        """Decide on another VM's call, as the keeper of its service.

        :param process: the other VM's process.
        :param number: identifies the call there.
        :param held: the calls of the process that have not ended; None if
            they are too many to list.
        """

    def receive_grant(
        self,
        number: int,
        answer: Answer,
        runner: str,
        address: limit_protocol.Address,
    ) -> None:
        """Receive a keeper's answer.

        :param runner: the granted runner, else "".
        """

    def receive_release(
        self,
        process: str,
        number: int,
        rejected: bool,
        moved_to: str,
        lease_s: float,
    ) -> None:
        """End the lease of another VM's call.

        :param rejected: whether the runner rejected the call.
        :param moved_to: the runner that the VM has chosen for the call
            instead; "" if the call has ended.
        :param lease_s: seconds until the call ends there at the latest.
        """


class SlotProtocol:
    """Sends and receives the messages about slots.

    :param transport: the socket and the messages that share it.
    :param vm: decides on requests, and receives answers.
    """

    __slots__ = ("_transport", "_vm")

    def __init__(
        self, transport: limit_protocol.LimitProtocol, vm: Vm
    ) -> None:
        self._transport = transport
        self._vm = vm
        for kind, is_valid, handler in (
            (SLOT_ASK, _IS_ASK, self._receive_ask),
            (SLOT_GRANT, _IS_GRANT, self._receive_grant),
            (SLOT_RELEASE, _IS_RELEASE, self._receive_release),
        ):
            transport.add_handler(kind, is_valid, handler)

    def send_ask(
        self,
        address: limit_protocol.Address,
        process: str,
        number: int,
        request: slot_requests.Request,
        held: typing.Collection[int],
    ) -> None:
        """Ask a keeper for a slot.

        :param held: the calls of this VM that this keeper knows.
        """
        self._transport.send(
            [
                SLOT_ASK,
                process,
                number,
                request.service,
                list(request.excluded)[:MAX_EXCLUDED],
                request.data_centre,
                request.rank,
                request.wait_s,
                request.lease_s,
                list(held) if len(held) <= MAX_HELD else None,
            ],
            address,
        )

    def send_grant(
        self,
        address: limit_protocol.Address,
        number: int,
        answer: Answer,
        runner: str = "",
    ) -> None:
        """Answer a request."""
        self._transport.send(
            [SLOT_GRANT, number, int(answer), runner], address
        )

    def send_release(
        self,
        address: limit_protocol.Address,
        process: str,
        number: int,
        rejected: bool = False,
        moved_to: str = "",
        lease_s: float = 0.0,
    ) -> None:
        """Tell a keeper that a call has ended, or where it was sent instead.

        The parameters are those of :meth:`Vm.receive_release`.
        """
        self._transport.send(
            [SLOT_RELEASE, process, number, rejected, moved_to, lease_s],
            address,
        )

    def _receive_ask(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        _, process, number, service, excluded, *terms, held = message
        self._vm.receive_ask(
            process,
            number,
            slot_requests.Request(service, frozenset(excluded), *terms),
            None if held is None else frozenset(held),
            address,
        )

    def _receive_grant(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        _, number, answer, runner = message
        if answer in list(Answer):
            self._vm.receive_grant(number, Answer(answer), runner, address)

    def _receive_release(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        self._vm.receive_release(*message[1:])
