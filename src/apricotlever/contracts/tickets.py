"""The messages that admission takes and returns."""

import enum
import typing


class Ticket:
    """A request that wants to be admitted.

    :param customer: the name of the customer that sent it.
    :param entry: the name of the catalogue entry.
    :param service_class: the name of the entry's class.
    :param tokens: of the prompt and the answer expected; a call of a plain
        service counts 1.
    :param arrived: monotonic time in seconds.
    :param deadline: monotonic time in seconds.
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


class Reason(enum.Enum):
    """Why a request was refused; no upstream has seen it."""

    UNKNOWN_ENTRY = "unknown_entry"
    #: It could not have started within its class's ``queue_s``.
    OVERLOAD = "overload"
    #: It could not have started before its own deadline.
    DEADLINE = "deadline"
    CONCURRENCY = "concurrency_limit"
    RATE = "rate_limit"
    TOKENS = "token_limit"
    SPEND = "spend_limit"


class Admitted:
    """The request may be sent now."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


class Refused:
    """The request was not sent and will not be.

    :param retry_after_s: when the backlog is expected to have room.
    """

    __slots__ = ("request_id", "reason", "retry_after_s")

    def __init__(
        self, request_id: str, reason: Reason, retry_after_s: float
    ) -> None:
        self.request_id = request_id
        self.reason = reason
        self.retry_after_s = retry_after_s


Verdict = typing.Union[Admitted, Refused]
