"""The messages that admission receives and returns.

A ticket asks for the admission of one request. Its verdict says whether the
request may be sent to a runner.
"""

import enum
import typing


class Ticket:
    """What admission knows of a request that is to be sent to a runner.

    :param request_id: the ID of the request.
    :param customer: the name of the customer that sent it.
    :param entry: the name of the catalogue entry.
    :param service_class: the name of the entry's service class.
    :param tokens: tokens of the prompt and of the expected answer; a call of
        a plain service counts 1.
    :param arrived: when the request arrived, in monotonic seconds.
    :param deadline: when it must be answered, in monotonic seconds.
    """

    __slots__ = (
        "request_id",
        "customer",
        "entry",
        "service_class",
        "tokens",
        "arrived",
        "deadline",
    )

    def __init__(
        self,
        request_id: str,
        customer: str,
        entry: str,
        service_class: str,
        tokens: float,
        arrived: float,
        deadline: float,
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.entry = entry
        self.service_class = service_class
        self.tokens = tokens
        self.arrived = arrived
        self.deadline = deadline


class RefusalReason(enum.Enum):
    """Why a request was refused; it was sent to no upstream."""

    #: The catalogue has no such entry or service class.
    UNKNOWN_ENTRY = "unknown_entry"
    #: The pool had no room for the request within its class's ``queue_s``.
    OVERLOAD = "overload"
    #: The request could not have started before its deadline.
    DEADLINE = "deadline"
    #: This VM's share of one of the entry's limits had no room in time.
    CONCURRENCY = "concurrency_limit"
    RATE = "rate_limit"
    TOKENS = "token_limit"
    SPEND = "spend_limit"


class Admitted:
    """The verdict that the request may be sent now."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


class Refused:
    """The verdict that the request was not sent and will not be.

    :param request_id: the ID of the request.
    :param reason: why it was refused.
    :param retry_after_s: seconds after which the caller should retry. By
        then, the backlog is expected to have room.
    """

    __slots__ = ("request_id", "reason", "retry_after_s")

    def __init__(
        self, request_id: str, reason: RefusalReason, retry_after_s: float
    ) -> None:
        self.request_id = request_id
        self.reason = reason
        self.retry_after_s = retry_after_s


Verdict = typing.Union[Admitted, Refused]
