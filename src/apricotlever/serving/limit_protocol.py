"""Protocol by which VMs ask the keeper of a limit to admit calls, over UDP.

The keeper of a limit is the VM that admits calls against the limit for all VMs
that can reach it; each call uses a number of units of the limit. If a datagram
is lost, the asking VM decides by itself, and the caller has only waited for
the timeout.
"""

import asyncio
import itertools
import typing

import msgpack

from .. import log_rate_limiter
from .. import logs
from .. import validation
from ..contracts import return_slots

#: How long a VM waits for a keeper's answer, in seconds: several round trips,
#: and less than callers notice.
ANSWER_TIMEOUT_S = 0.02
#: How long after its request an answer is still processed, in seconds. An
#: answer after the timeout may admit a call that the asking VM has counted
#: already; the units of that call must be refunded.
LATE_ANSWER_S = 2.0
#: How long a request to a VM has no hash after requests with one were not
#: answered, in seconds. VMs of builds that know no hash ignore such requests.
NO_HASH_S = 10.0
#: Kinds of messages, the first field of each message: a request to admit a
#: call, its answer, a refund, and the units that the sender has admitted.
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
_IS_ASK_OF_RETURNING_CALL = validation.is_tuple_of(
    validation.is_non_negative_int,
    validation.is_non_negative_int,
    validation.is_non_empty_string,
    validation.is_non_negative_number,
    validation.is_non_negative_number,
    validation.is_hash,
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


def _is_ask(message: typing.Any) -> bool:
    """Check a request, which may end with the fields of a returning call.

    They are the longest retry time that the caller is assumed to wait for, in
    seconds, and the call's hash.
    """
    return _IS_ASK(message) or _IS_ASK_OF_RETURNING_CALL(message)


#: IP address and UDP port.
Address = tuple[str, int]
#: Processes a valid message, given with its sender's address.
Handler = typing.Callable[[list[typing.Any], Address], None]


class Keeper(typing.Protocol):
    """Decides on calls of other VMs, for the limits that this VM keeps."""

    def admit_for_peer(
        self,
        customer: str,
        units: float,
        call: return_slots.ReturningCall | None = None,
    ) -> float | None:
        """Admit a call of another VM if the customer's limit allows it.

        :param units: the units of the call.
        :param call: how the call's retry is recognised; None if the other VM
            does not tell.
        :returns: 0 if the call was admitted, else the seconds until it may
            be admitted; None if this VM does not know the level of the limit,
            the units left.
        """

    def refund_units(self, customer: str, units: float) -> None:
        """Refund the units of an admitted call that did not run."""

    def receive_early_total(
        self, process: str, customer: str, total: float
    ) -> None:
        """Receive a total of another VM that is newer than its status records.

        :param process: the other VM's process.
        :param total: units that the process has admitted for the customer
            since it started.
        """


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


class LimitProtocol(asyncio.DatagramProtocol):
    """Sends requests to keepers of limits, and answers those of other VMs.

    :param keeper: decides on calls of other VMs against this VM's limits.
    :param is_peer: whether an IP address may belong to a VM of the fleet;
        messages from other addresses are refused.
    :param refusals: limits the log lines about refused messages.
    """

    __slots__ = (
        "_handlers",
        "_hash_aware",
        "_is_peer",
        "_keeper",
        "_no_hash_until",
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
        refusals: log_rate_limiter.LogRateLimiter,
    ) -> None:
        self._keeper = keeper
        self._is_peer = is_peer
        self._refusals = refusals
        self._transport: asyncio.DatagramTransport | None = None
        self._numbers = itertools.count()
        #: Requests by number, until they are answered in time or
        #: LATE_ANSWER_S have passed.
        self._pending: dict[int, _PendingRequest] = {}
        #: Keepers that have answered a request with a hash since they last
        #: left one unanswered.
        self._hash_aware: set[Address] = set()
        #: Until when requests to a keeper have no hash.
        self._no_hash_until: dict[Address, float] = {}
        #: How many requests were sent, and how many of them were not answered
        #: in time.
        self.request_count = 0
        self.timeout_count = 0
        #: The check and the handler of each kind of message.
        self._handlers: dict[int, tuple[validation.Predicate, Handler]] = {
            ASK: (_is_ask, self._receive_request),
            ANSWER: (_IS_ANSWER, self._receive_answer),
            REFUND: (_IS_REFUND, self._receive_refund),
            LOCAL_TOTAL: (_IS_LOCAL_TOTAL, self._receive_local_total),
        }

    @property
    def port(self) -> int:
        """Local port of the socket, 0 while the socket is closed."""
        if self._transport is None:
            return 0
        return int(self._transport.get_extra_info("sockname")[1])

    def add_handler(
        self, kind: int, is_valid: validation.Predicate, handler: Handler
    ) -> None:
        """Process a further kind of message that arrives at the socket.

        :param kind: the first field of these messages.
        :param is_valid: checks a message; others are refused.
        """
        self._handlers[kind] = (is_valid, handler)

    async def listen(self, host: str, port: int) -> None:
        """Open the socket for requests and answers."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def request_admission(
        self,
        address: Address,
        customer: str,
        units: float,
        call: return_slots.ReturningCall | None = None,
    ) -> float | None:
        """Ask the keeper of a customer's limit to admit a call.

        :param address: the keeper's address.
        :param units: the units of the call.
        :param call: how the call's retry is recognised; None if it need not
            be.
        :returns: as :meth:`Keeper.admit_for_peer`.
        :raises TimeoutError: if the keeper did not answer in time.
        """
        loop = asyncio.get_running_loop()
        self._discard_expired(loop.time())
        number = next(self._numbers)
        request = _PendingRequest(
            customer, units, loop.time(), loop.create_future()
        )
        self._pending[number] = request
        self.request_count += 1
        message = [ASK, number, customer, units]
        has_hash = call is not None and (
            self._no_hash_until.get(address, 0.0) <= loop.time()
        )
        if has_hash and call is not None:
            message += [call.patience_s, call.call_hash]
        self.send(message, address)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                wait_s = await request.answer
        except TimeoutError:
            self.timeout_count += 1
            if has_hash:
                self._record_unanswered_hash(address, loop.time())
            raise
        self._pending.pop(number, None)
        if has_hash:
            self._hash_aware.add(address)
        return wait_s

    def _record_unanswered_hash(self, address: Address, now: float) -> None:
        """Omit the hash for a while if the keeper may not know it.

        A single lost answer of a keeper that knows it changes nothing.
        """
        if address in self._hash_aware:
            self._hash_aware.remove(address)
            return
        self._no_hash_until = {
            each: until
            for each, until in self._no_hash_until.items()
            if until > now
        }
        self._no_hash_until[address] = now + NO_HASH_S

    def send_refund(
        self, address: Address, customer: str, units: float
    ) -> None:
        """Tell a keeper that a call which it admitted did not run.

        :param units: the units of the call.
        """
        self.send([REFUND, customer, units], address)

    def send_local_total(
        self, address: Address, process: str, customer: str, total: float
    ) -> None:
        """Tell a keeper the units that this VM has admitted by itself.

        This VM's status records contain the total as well, but arrive later.
        Until then the keeper would admit calls that exceed the limit.

        :param process: this VM's process.
        :param total: units that this process has admitted for the customer
            since it started.
        """
        self.send([LOCAL_TOTAL, process, customer, total], address)

    def send(self, message: list[typing.Any], address: Address) -> None:
        """Send a message, if the socket is open."""
        if self._transport is not None:
            self._transport.sendto(msgpack.packb(message), address)

    # Methods of asyncio.DatagramProtocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the open socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Process a request, an answer or another message of another VM."""
        if not self._is_peer(addr[0]):
            self._log_refusal(addr[0], "stranger")
            return
        try:
            message = msgpack.unpackb(data)
        except (ValueError, TypeError) as error:
            self._log_refusal(addr[0], type(error).__name__)
            return
        kind = message[0] if isinstance(message, list) and message else None
        known = self._handlers.get(kind) if isinstance(kind, int) else None
        if known is None or not known[0](message):
            self._log_refusal(addr[0], "no_such_message")
        else:
            known[1](message, addr)

    def _receive_request(
        self, message: list[typing.Any], address: Address
    ) -> None:
        _, number, customer, units, *more = message
        if more:
            patience_s, call_hash = more
            call = return_slots.ReturningCall(call_hash, patience_s)
            wait_s = self._keeper.admit_for_peer(customer, units, call)
        else:
            wait_s = self._keeper.admit_for_peer(customer, units)
        self.send([ANSWER, number, wait_s], address)

    def _receive_refund(
        self, message: list[typing.Any], address: Address
    ) -> None:
        self._keeper.refund_units(message[1], message[2])

    def _receive_local_total(
        self, message: list[typing.Any], address: Address
    ) -> None:
        self._keeper.receive_early_total(*message[1:])

    def _receive_answer(
        self, message: list[typing.Any], address: Address
    ) -> None:
        _, number, wait_s = message
        request = self._pending.get(number)
        if request is None:
            return
        if not request.answer.done():
            request.answer.set_result(wait_s)
            return
        del self._pending[number]
        if wait_s == 0.0:
            # After the timeout, this VM counted the call itself. Without the
            # refund, the call would count twice.
            self.send_refund(address, request.customer, request.units)

    def _discard_expired(self, now: float) -> None:
        """Drop requests whose answers would no longer be processed."""
        while self._pending:
            number = next(iter(self._pending))
            if now - self._pending[number].asked_at < LATE_ANSWER_S:
                return
            del self._pending[number]

    def _log_refusal(self, host: str, reason: str) -> None:
        if self._refusals.allows(host):
            logs.event("peer_refused", peer=host, reason=reason)
