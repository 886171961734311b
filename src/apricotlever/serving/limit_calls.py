"""What VMs ask each other of limits, by datagrams.

A datagram that is lost costs a caller nothing but the wait for its answer:
the VM that asked decides by itself then.
"""

import asyncio
import itertools
import typing

import msgpack

from .. import logs
from .. import validation

from . import log_limit

#: How long an answer is waited for, in seconds: some times the way there and
#: back, and less than callers notice.
ANSWER_TIMEOUT_S = 0.02
#: Answers that come later than that are still understood for so long.
LATE_ANSWER_S = 2.0
#: Kinds of messages, the first field of each.
ASK = 0
ANSWER = 1
REFUND = 2
LOCAL_TOTAL = 3

_IS_ASK = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    validation.is_non_empty_string,
    validation.is_non_negative_number,
)
_IS_ANSWER = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    validation.is_none_or(validation.is_non_negative_number),
)
_IS_REFUND = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_empty_string,
    validation.is_non_negative_number,
)
_IS_LOCAL_TOTAL = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_empty_string,
    validation.is_non_empty_string,
    validation.is_non_negative_number,
)
_VALIDATORS = {
    ASK: _IS_ASK,
    ANSWER: _IS_ANSWER,
    REFUND: _IS_REFUND,
    LOCAL_TOTAL: _IS_LOCAL_TOTAL,
}

Address = tuple[str, int]


class Keeper(typing.Protocol):
    """Decides for other VMs."""

    def take_for(self, customer: str, units: float) -> float | None:
        """Let a call of another VM in.

        :returns: 0 if it was let in, else the seconds until it may be; None
            when this VM can't tell.
        """

    def given_back(self, customer: str, units: float) -> None:
        """A call that was let in did not run."""

    def heard_total(self, process: str, customer: str, total: float) -> None:
        """Another VM has counted calls by itself."""


class _PendingRequest:
    __slots__ = ("answer", "asked_at", "customer", "units")

    def __init__(
        self,
        customer: str,
        units: float,
        asked_at: float,
        answer: "asyncio.Future[float | None]",
    ) -> None:
        self.customer = customer
        self.units = units
        self.asked_at = asked_at
        self.answer = answer


class LimitCalls(asyncio.DatagramProtocol):
    """Asks other VMs, and answers them.

    :param keeper: this VM's counts.
    :param is_peer: whether an IP number is a member's.
    """

    __slots__ = (
        "_is_peer",
        "_keeper",
        "_numbers",
        "_pending",
        "_refusals",
        "_transport",
        "request_count",
        "timeout_count",
    )

    def __init__(
        self,
        keeper: Keeper,
        is_peer: typing.Callable[[str], bool],
        refusals: log_limit.LogLimit,
    ) -> None:
        self._keeper = keeper
        self._is_peer = is_peer
        self._refusals = refusals
        self._transport: asyncio.DatagramTransport | None = None
        self._numbers = itertools.count()
        #: Questions by number, until it is too late for an answer.
        self._pending: dict[int, _PendingRequest] = {}
        #: Questions so far, and those without an answer in time.
        self.request_count = 0
        self.timeout_count = 0

    @property
    def port(self) -> int:
        """Where the others ask, 0 for nowhere."""
        if self._transport is None:
            return 0
        return int(self._transport.get_extra_info("sockname")[1])

    async def listen(self, host: str, port: int) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def take(
        self, address: Address, customer: str, units: float
    ) -> float | None:
        """Ask a keeper to let a call in.

        :returns: as :meth:`Keeper.take_for`; None also without an answer.
        :raises TimeoutError: when none came in time.
        """
        loop = asyncio.get_running_loop()
        self._discard_expired(loop.time())
        number = next(self._numbers)
        question = _PendingRequest(
            customer, units, loop.time(), loop.create_future()
        )
        self._pending[number] = question
        self.request_count += 1
        self._send([ASK, number, customer, units], address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                wait_s = await question.answer
        except TimeoutError:
            self.timeout_count += 1
            raise
        self._pending.pop(number, None)
        return wait_s

    def send_refund(
        self, address: Address, customer: str, units: float
    ) -> None:
        """Tell a keeper that a call which it let in did not run."""
        self._send([REFUND, customer, units], address)

    def send_local_total(
        self, address: Address, process: str, customer: str, total: float
    ) -> None:
        """Tell a keeper what this VM has counted by itself.

        Records tell it too, but late: until then the keeper would let calls
        in for which there is no room.

        :param total: units of the customer since this process started.
        """
        self._send([LOCAL_TOTAL, process, customer, total], address)

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is open."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """A message of another VM."""
        if not self._is_peer(addr[0]):
            self._log_refusal(addr[0], "stranger")
            return
        try:
            message = msgpack.unpackb(data)
        except (ValueError, TypeError) as error:
            self._log_refusal(addr[0], type(error).__name__)
            return
        kind = message[0] if isinstance(message, list) and message else None
        form = _VALIDATORS.get(kind) if isinstance(kind, int) else None
        if form is None or not form(message):
            self._log_refusal(addr[0], "no_such_message")
        elif kind == ASK:
            _, number, customer, units = message
            wait_s = self._keeper.take_for(customer, units)
            self._send([ANSWER, number, wait_s], addr)
        elif kind == ANSWER:
            self._receive_answer(message[1], message[2], addr)
        elif kind == REFUND:
            self._keeper.given_back(message[1], message[2])
        else:
            self._keeper.heard_total(*message[1:])

    def _receive_answer(
        self, number: int, wait_s: float | None, address: Address
    ) -> None:
        question = self._pending.get(number)
        if question is None:
            return
        if not question.answer.done():
            question.answer.set_result(wait_s)
            return
        del self._pending[number]
        if wait_s == 0.0:
            # Too late: this VM has counted the call itself meanwhile.
            self.send_refund(address, question.customer, question.units)

    def _discard_expired(self, now: float) -> None:
        """Drop questions to which no answer comes any more."""
        while self._pending:
            number = next(iter(self._pending))
            if now - self._pending[number].asked_at < LATE_ANSWER_S:
                return
            del self._pending[number]

    def _send(self, message: list[typing.Any], address: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(msgpack.packb(message), address)

    def _log_refusal(self, host: str, reason: str) -> None:
        if self._refusals.allows(host):
            logs.event("peer_refused", peer=host, reason=reason)
