"""Messages between VMs about fragile runners, over UDP.

They share the socket of :mod:`.limit_protocol`, and are sent only while a
fragile runner is known. A VM asks the runner's keeper before each call to the
runner and tells it how the call has ended.
"""

import collections
import typing

from .. import validation
from ..runners import fragile_keeper
from ..runners import limit_keeper

from . import keeper_questions
from . import limit_protocol
from . import reading_exchange
from . import runner_limit_protocol

#: Kinds of messages: a question about a call, its answer, the end of a call,
#: and readings of fragility.
ASK = 17
ANSWER = 18
END = 19
READINGS = 20
#: The last admitted calls that are remembered, so that a repeated answer isn't
#: taken for one that came too late.
REMEMBERED_CALLS = 1024

_IS_ASK = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    runner_limit_protocol.IS_READING,
    validation.is_non_empty_string,
    validation.is_non_negative_number,
)
_IS_ANSWER = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    validation.is_bool,
    validation.is_non_negative_number,
    validation.is_non_negative_number,
    runner_limit_protocol.IS_READING,
)
_IS_END = validation.is_tuple_of(
    validation.is_non_negative_int,
    runner_limit_protocol.IS_READING,
    validation.is_non_empty_string,
    validation.is_non_negative_int,
    validation.is_bool,
)
_IS_READINGS = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_list_of(runner_limit_protocol.IS_READING),
)

ReadingRecord = reading_exchange.ReadingRecord


class Vm(typing.Protocol):
    """This VM's side of the messages."""

    def admit_for_peer(
        self,
        reading: ReadingRecord,
        call: fragile_keeper.CallKey,
        lease_s: float,
        source: str,
    ) -> tuple[limit_keeper.Admission, ReadingRecord]:
        """Decide on another VM's call, as the keeper of a fragile runner.

        :param reading: the fragility as the other VM knows it.
        :param lease_s: seconds until the call ends at the latest.
        :param source: IP address of the other VM.
        :returns: the decision, and the fragility as this VM knows it.
        """

    def end_for_peer(
        self,
        reading: ReadingRecord,
        call: fragile_keeper.CallKey,
        rejected: bool,
        source: str,
    ) -> None:
        """Record that another VM's call has ended, or was not sent.

        :param reading: the fragility as the other VM knows it.
        :param rejected: whether the runner had no room for it. Of such an end
            the keeper is told twice.
        :param source: IP address of the other VM.
        """

    def merge_readings(
        self, readings: typing.Iterable[ReadingRecord], source: str
    ) -> None:
        """Merge another VM's readings of fragility.

        :param source: IP address of the other VM.
        """


class FragileRunnerProtocol:
    """Sends and receives the messages about fragile runners.

    :param transport: the socket and the messages that share it.
    :param vm: decides on questions and merges readings.
    :param process: this VM's process, which calls are named by.
    """

    __slots__ = ("_admitted", "_process", "_questions", "_transport", "_vm")

    def __init__(
        self,
        transport: limit_protocol.LimitProtocol,
        vm: Vm,
        process: str,
    ) -> None:
        self._transport = transport
        self._vm = vm
        self._process = process
        self._questions = keeper_questions.KeeperQuestions[
            limit_keeper.Admission
        ](transport)
        #: The numbers of the questions that were last answered in time and
        #: with room.
        self._admitted: collections.deque[int] = collections.deque(
            maxlen=REMEMBERED_CALLS
        )
        for kind, is_valid, handler in (
            (ASK, _IS_ASK, self._receive_question),
            (ANSWER, _IS_ANSWER, self._receive_answer),
            (END, _IS_END, self._receive_end),
            (READINGS, _IS_READINGS, self._receive_readings),
        ):
            transport.add_handler(kind, is_valid, handler)

    async def ask(
        self,
        address: limit_protocol.Address,
        reading: ReadingRecord,
        lease_s: float,
    ) -> tuple[int, limit_keeper.Admission]:
        """Ask a runner's keeper to admit a call.

        :param reading: the runner's fragility as this VM knows it.
        :param lease_s: seconds until the call ends at the latest.
        :returns: the number by which the keeper knows the call, and the
            decision.
        :raises TimeoutError: if the keeper does not answer.
        """
        return await self._questions.ask(
            address, ASK, [reading, self._process, lease_s]
        )

    def send_end(
        self,
        address: limit_protocol.Address,
        reading: ReadingRecord,
        number: int,
        rejected: bool,
    ) -> None:
        """Tell a keeper that a call has ended, or was not sent.

        :param reading: the runner's fragility as this VM knows it.
        :param number: the call's number.
        :param rejected: whether the runner had no room for it.
        """
        self._transport.send(
            [END, reading, self._process, number, rejected], address
        )

    def send_readings(
        self,
        addresses: typing.Iterable[limit_protocol.Address],
        readings: typing.Sequence[ReadingRecord],
    ) -> None:
        """Pass on readings of fragility to other VMs."""
        some = list(readings[: runner_limit_protocol.MAX_READINGS])
        for address in addresses:
            self._transport.send([READINGS, some], address)

    def _receive_question(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        _, number, reading, process, lease_s = message
        admission, known = self._vm.admit_for_peer(
            tuple(reading), (process, number), lease_s, address[0]
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
        if admitted and is_awaited:
            self._admitted.append(number)
        elif admitted and number not in self._admitted:
            # The question was given up, so the room is not used.
            self.send_end(address, tuple(reading), number, False)

    def _receive_end(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        _, reading, process, number, rejected = message
        self._vm.end_for_peer(
            tuple(reading), (process, number), rejected, address[0]
        )

    def _receive_readings(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        self._vm.merge_readings(
            [tuple(reading) for reading in message[1]], address[0]
        )
