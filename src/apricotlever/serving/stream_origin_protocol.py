"""Messages between VMs about where streams began, over UDP.

They share the socket of :mod:`.limit_protocol`. The VM that begins a stream
sends a record to the stream's keepers; a lost one is not repeated, as another
keeper has it. A VM at which a caller resumes a stream asks them.
"""

import asyncio
import itertools
import typing

from .. import validation
from ..runners import model as models
from ..streams import origin_table

from . import keeper_questions
from . import limit_protocol

#: Kinds of messages: a question, its answer, records, and a question before
#: whose answer the VM reads the store.
ASK = 21
ANSWER = 22
RECORDS = 23
READ = 24
#: Upper limit of the records in a message, so that its datagram is not
#: fragmented.
MAX_RECORDS = 16
#: How long an answer is waited for, in seconds, and how often the question is
#: sent. A caller would rather wait than lose its stream.
ANSWER_TIMEOUT_S = 0.05
TRIES = 4
#: The same for a question before whose answer the VM reads the store.
READ_TIMEOUT_S = 0.15
READ_TRIES = 2
#: Upper limit of the questions for which this VM reads the store at once.
MAX_READS = 256
#: Upper limit of the lifetime of a record, in seconds.
MAX_LIFETIME_S = 240.0


def _is_key(value: typing.Any) -> bool:
    return isinstance(value, bytes) and len(value) == origin_table.KEY_BYTES


_IS_ORIGIN = validation.is_tuple_of(
    validation.is_non_empty_string, validation.is_string
)
_IS_ASK = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    _is_key,
    validation.is_list_of(validation.is_non_empty_string),
    validation.is_non_negative_number,
)
_IS_READ = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    validation.is_none_or(_is_key),
    validation.is_list_of(validation.is_non_empty_string),
    validation.is_non_negative_number,
)
_IS_ANSWER = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    validation.is_none_or(
        validation.is_tuple_of(_IS_ORIGIN, validation.is_non_negative_number)
    ),
    validation.is_none_or(validation.is_list_of(_IS_ORIGIN)),
)
_IS_RECORDS = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_list_of(
        validation.is_tuple_of(
            _is_key,
            _IS_ORIGIN,
            validation.is_non_negative_number,
            validation.is_non_negative_number,
        )
    ),
)


class SentRecord:
    """A record as a VM sends it to a keeper.

    :param lifetime_s: for how long it is kept, from its beginning on.
    :param age_s: its age, in seconds.
    """

    __slots__ = ("key", "origin", "lifetime_s", "age_s")

    def __init__(
        self,
        key: bytes,
        origin: models.StreamOrigin,
        lifetime_s: float,
        age_s: float,
    ) -> None:
        self.key = key
        self.origin = origin
        self.lifetime_s = lifetime_s
        self.age_s = age_s

    def to_list(self) -> list[typing.Any]:
        """The record as a part of a message."""
        return [
            self.key,
            _encode_origin(self.origin),
            self.lifetime_s,
            self.age_s,
        ]


class KeeperAnswer:
    """What a VM knows of a stream.

    :param origin: where it began; None if the VM has no record of it.
    :param age_s: the age of the record, in seconds.
    :param seen: the origins that the stream may have by all that the VM
        knows; None if that may be out of date. Only after a read of the store
        does it show that there are no others.
    """

    __slots__ = ("origin", "age_s", "seen")

    def __init__(
        self,
        origin: models.StreamOrigin | None,
        age_s: float,
        seen: frozenset[models.StreamOrigin] | None,
    ) -> None:
        self.origin = origin
        self.age_s = age_s
        self.seen = seen


class Vm(typing.Protocol):
    """This VM's side of the messages."""

    def known_origin(
        self, key: bytes, services: typing.Collection[str], within_s: float
    ) -> KeeperAnswer:
        """Answer another VM's question.

        :param services: the services whose runners may have begun it.
        :param within_s: how long ago it may have begun, in seconds.
        """

    async def read_origin(
        self,
        key: bytes | None,
        services: typing.Collection[str],
        within_s: float,
    ) -> KeeperAnswer:
        """Read the store, and answer another VM's question after that.

        Parameters are those of :meth:`known_origin`.
        """

    def receive_record(self, record: SentRecord) -> None:
        """Keep a record of another VM."""


class StreamOriginProtocol:
    """Sends and receives the messages about where streams began.

    :param transport: the socket and the messages that share it.
    :param vm: answers questions, and keeps records.
    :param first_number: see :class:`.keeper_questions.KeeperQuestions`.
    """

    __slots__ = ("_questions", "_reads", "_transport", "_vm")

    def __init__(
        self,
        transport: limit_protocol.LimitProtocol,
        vm: Vm,
        first_number: int,
    ) -> None:
        self._transport = transport
        self._vm = vm
        self._questions = keeper_questions.KeeperQuestions[KeeperAnswer](
            transport, first_number
        )
        #: Answers that wait for the store, by address and number of the
        #: question, which may come again meanwhile.
        self._reads: dict[
            tuple[limit_protocol.Address, int], asyncio.Task[None]
        ] = {}
        for kind, is_valid, handler in (
            (ASK, _IS_ASK, self._receive_question),
            (READ, _IS_READ, self._receive_read),
            (ANSWER, _IS_ANSWER, self._receive_answer),
            (RECORDS, _IS_RECORDS, self._receive_records),
        ):
            transport.add_handler(kind, is_valid, handler)

    async def ask(
        self,
        address: limit_protocol.Address,
        key: bytes,
        services: typing.Collection[str],
        within_s: float,
        tries: int = TRIES,
    ) -> KeeperAnswer:
        """Ask a VM where a stream began.

        Further parameters are those of :meth:`Vm.known_origin`.

        :param tries: how often the question is sent at most.
        :raises TimeoutError: if it does not answer.
        """
        _, answer = await self._questions.ask(
            address,
            ASK,
            [key, sorted(services), within_s],
            ANSWER_TIMEOUT_S,
            tries,
        )
        return answer

    async def ask_to_read(
        self,
        address: limit_protocol.Address,
        key: bytes | None,
        services: typing.Collection[str],
        within_s: float,
    ) -> KeeperAnswer:
        """Ask a VM to read the store and tell where a stream began.

        Parameters are those of :meth:`Vm.read_origin`.

        :raises TimeoutError: if it does not answer.
        """
        _, answer = await self._questions.ask(
            address,
            READ,
            [key, sorted(services), within_s],
            READ_TIMEOUT_S,
            READ_TRIES,
        )
        return answer

    def send_records(
        self,
        address: limit_protocol.Address,
        records: typing.Iterable[SentRecord],
    ) -> None:
        """Send records to a keeper."""
        lists = [record.to_list() for record in records]
        for start in range(0, len(lists), MAX_RECORDS):
            some = list(itertools.islice(lists, start, start + MAX_RECORDS))
            self._transport.send([RECORDS, some], address)

    def _receive_question(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        _, number, key, services, within_s = message
        answer = self._vm.known_origin(key, services, within_s)
        self._send_answer(number, answer, address)

    def _receive_read(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        question = (address, message[1])
        if question in self._reads or len(self._reads) >= MAX_READS:
            return
        task = asyncio.ensure_future(self._answer_read(message, address))
        self._reads[question] = task
        task.add_done_callback(lambda _: self._reads.pop(question))

    async def _answer_read(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        _, number, key, services, within_s = message
        answer = await self._vm.read_origin(key, services, within_s)
        self._send_answer(number, answer, address)

    def _send_answer(
        self,
        number: int,
        answer: KeeperAnswer,
        address: limit_protocol.Address,
    ) -> None:
        found = None
        if answer.origin is not None:
            found = [_encode_origin(answer.origin), answer.age_s]
        seen = None
        if answer.seen is not None:
            seen = [_encode_origin(origin) for origin in answer.seen]
        self._transport.send([ANSWER, number, found, seen], address)

    def _receive_answer(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        _, number, found, seen = message
        origin, age_s = found if found is not None else (None, 0.0)
        self._questions.answer(
            number,
            KeeperAnswer(
                models.StreamOrigin(*origin) if origin is not None else None,
                age_s,
                (
                    frozenset(models.StreamOrigin(*each) for each in seen)
                    if seen is not None
                    else None
                ),
            ),
        )

    def _receive_records(
        self, message: list[typing.Any], address: limit_protocol.Address
    ) -> None:
        for key, origin, lifetime_s, age_s in message[1]:
            self._vm.receive_record(
                SentRecord(
                    key,
                    models.StreamOrigin(*origin),
                    min(MAX_LIFETIME_S, lifetime_s),
                    age_s,
                )
            )


def _encode_origin(origin: models.StreamOrigin) -> list[str]:
    return [origin.service, origin.version]
