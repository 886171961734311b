"""Messages between VMs about the limits that runners name, over UDP.

They share the socket of :mod:`.limit_protocol`. A VM asks the keeper of a
runner's limit before each call to the runner, and passes on what it learns of
limits to some other VMs.
"""

import typing

from .. import validation
from ..runners import limit_keeper

from . import keeper_questions
from . import limit_protocol
from . import reading_exchange

#: Kinds of messages: a question about a call, its answer, the refund of a call
#: that was not sent, and readings of limits.
ASK = 10
ANSWER = 11
REFUND = 12
READINGS = 13
#: Upper limit of the readings in one message, so that it fits in a datagram
#: that is not fragmented.
MAX_READINGS = 24

#: Checks a reading that another VM passes on.
IS_READING = validation.is_tuple_of(
    validation.is_non_empty_string,
    validation.is_none_or(validation.is_non_negative_number),
    validation.is_non_negative_number,
)
_IS_ASK = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    IS_READING,
    validation.is_non_negative_number,
)
_IS_ANSWER = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    validation.is_bool,
    validation.is_non_negative_number,
    validation.is_non_negative_number,
    IS_READING,
)
_IS_REFUND = validation.is_tuple_of(
    validation.is_non_negative_int, validation.is_non_empty_string
)
_IS_READINGS = validation.is_tuple_of(
    validation.is_non_negative_int, validation.is_list_of(IS_READING)
)

ReadingRecord = reading_exchange.ReadingRecord


class Vm(typing.Protocol):
    """This VM's side of the messages."""

    def admit_for_peer(
        self, reading: ReadingRecord, patience_s: float, source: str
    ) -> tuple[limit_keeper.Admission, ReadingRecord]:
        """Decide on another VM's call, as the keeper of a runner's limit.

        :param reading: the limit as the other VM knows it.
        :param patience_s: how long the call can wait for its turn.
        :param source: IP address of the other VM.
        :returns: the decision, and the limit as this VM knows it.
        """

    def refund_for_peer(self, runner: str) -> None:
        """Give back the room of an admitted call that was not sent."""

    def merge_readings(
        self, readings: typing.Iterable[ReadingRecord], source: str
    ) -> None:
        """Merge another VM's readings of limits.

        :param source: IP address of the other VM.
        """


class RunnerLimitProtocol:
    """Sends and receives the messages about runners' limits.

    :param transport: the socket and the messages that share it.
    :param vm: decides on questions and merges readings.
    """

    __slots__ = ("_questions", "_transport", "_vm")

    def __init__(
        self, transport: limit_protocol.LimitProtocol, vm: Vm
    ) -> None:
        self._transport = transport
        self._vm = vm
        self._questions = keeper_questions.KeeperQuestions[
            limit_keeper.Admission
        ](transport)
        for kind, is_valid, handler in (
            (ASK, _IS_ASK, self._receive_question),
            (ANSWER, _IS_ANSWER, self._receive_answer),
            (REFUND, _IS_REFUND, self._receive_refund),
            (READINGS, _IS_READINGS, self._receive_readings),
        ):
            transport.add_handler(kind, is_valid, handler)

    async def ask(
        self,
        address: limit_protocol.Address,
        reading: ReadingRecord,
        patience_s: float,
    ) -> limit_keeper.Admission:
        """Ask a runner's keeper to admit a call.

        :param reading: the runner's limit as this VM knows it.
        :param patience_s: how long the call can wait for its turn.
        :raises TimeoutError: if the keeper does not answer.
        """
        _, admission = await self._questions.ask(
            address, ASK, [reading, patience_s]
        )
        return admission

    def send_refund(
        self, address: limit_protocol.Address, runner: str
    ) -> None:
        """Tell a keeper that a call which it admitted was not sent."""
        self._transport.send([REFUND, runner], address)

    def send_readings(
        self,
        addresses: typing.Iterable[limit_protocol.Address],
        readings: typing.Sequence[ReadingRecord],
    ) -> None:
        """Pass on readings of limits to other VMs."""
        for address in addresses:
            self._transport.send(
                [READINGS, list(readings[:MAX_READINGS])], address
            )

    def _receive_question(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        _, number, reading, patience_s = message
        admission, known = self._vm.admit_for_peer(
            tuple(reading), patience_s, address[0]
        )
        self._transport.send(
            [
                ANSWER,
                number,
                admission.admitted,
                admission.wait_s,
                admission.ask_again_s,
                known,
            ],
            address,
        )

    def _receive_answer(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        _, number, admitted, wait_s, ask_again_s, reading = message
        self._vm.merge_readings([tuple(reading)], address[0])
        is_awaited = self._questions.answer(
            number, limit_keeper.Admission(admitted, wait_s, ask_again_s)
        )
        if admitted and not is_awaited:
            # The question was repeated or given up, so the room is not used.
            self.send_refund(address, reading[0])

    def _receive_refund(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        self._vm.refund_for_peer(message[1])

    def _receive_readings(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        self._vm.merge_readings(
            [tuple(reading) for reading in message[1]], address[0]
        )
