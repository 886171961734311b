"""Questions to keepers that wait for their answers."""

import asyncio
import itertools
import typing

from ..runners import limit_keeper

from . import limit_protocol

#: How often a question is sent to a keeper before it counts as unavailable.
TRIES = 2


class KeeperQuestions:
    """The questions of one kind that are not yet answered.

    :param transport: the socket for the questions.
    """

    __slots__ = ("_numbers", "_pending", "_transport")

    def __init__(self, transport: limit_protocol.LimitProtocol) -> None:
        self._transport = transport
        self._numbers = itertools.count()
        #: Questions by number, until they are answered or given up.
        self._pending: dict[int, asyncio.Future[limit_keeper.Admission]] = {}

    async def ask(
        self,
        address: limit_protocol.Address,
        kind: int,
        fields: typing.Sequence[typing.Any],
    ) -> tuple[int, limit_keeper.Admission]:
        """Send a question until it is answered.

        :param kind: the kind of message.
        :param fields: what follows the question's number in the message.
        :returns: the question's number, and the answer.
        :raises TimeoutError: if there is none.
        """
        number = next(self._numbers)
        answer: asyncio.Future[limit_keeper.Admission] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = answer
        try:
            for _ in range(TRIES):
                self._transport.send([kind, number, *fields], address)
                done, _ = await asyncio.wait(
                    {answer}, timeout=limit_protocol.ANSWER_TIMEOUT_S
                )
                if done:
                    return number, answer.result()
        finally:
            del self._pending[number]
        raise TimeoutError

    def answer(self, number: int, admission: limit_keeper.Admission) -> bool:
        """Answer a question.

        :returns: whether somebody waits for the answer.
        """
        answer = self._pending.get(number)
        if answer is None or answer.done():
            return False
        answer.set_result(admission)
        return True
