"""Questions to keepers that wait for their answers."""

import asyncio
import itertools
import typing

from . import limit_protocol

#: How often a question is sent to a keeper before it counts as unavailable.
TRIES = 2

_Answer = typing.TypeVar("_Answer")


class KeeperQuestions(typing.Generic[_Answer]):
    """The questions of one kind that are not yet answered.

    :param transport: the socket for the questions.
    :param first_number: the number of the first question. An answer to the
        process that used this address before must not have a number of this
        one's, unless it does no harm.
    """

    __slots__ = ("_numbers", "_pending", "_transport")

    def __init__(
        self, transport: limit_protocol.LimitProtocol, first_number: int = 0
    ) -> None:
        self._transport = transport
        self._numbers = itertools.count(first_number)
        #: Questions by number, until they are answered or given up.
        self._pending: dict[int, asyncio.Future[_Answer]] = {}

    async def ask(
        self,
        address: limit_protocol.Address,
        kind: int,
        fields: typing.Sequence[typing.Any],
        timeout_s: float = limit_protocol.ANSWER_TIMEOUT_S,
        tries: int = TRIES,
    ) -> tuple[int, _Answer]:
        """Send a question until it is answered.

        :param kind: the kind of message.
        :param fields: what follows the question's number in the message.
        :param timeout_s: how long to wait after each time it is sent.
        :param tries: how often it is sent at most.
        :returns: the question's number, and the answer.
        :raises TimeoutError: if there is none.
        """
        number = next(self._numbers)
        answer: asyncio.Future[_Answer] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = answer
        try:
            for _ in range(tries):
                self._transport.send([kind, number, *fields], address)
                done, _ = await asyncio.wait({answer}, timeout=timeout_s)
                if done:
                    return number, answer.result()
        finally:
            del self._pending[number]
        raise TimeoutError

    def answer(self, number: int, answer: _Answer) -> bool:
        """Answer a question.

        :returns: whether somebody waits for the answer.
        """
        waiting = self._pending.get(number)
        if waiting is None or waiting.done():
            return False
        waiting.set_result(answer)
        return True
