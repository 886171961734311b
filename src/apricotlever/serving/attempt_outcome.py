"""How an attempt to have a runner run a call has ended."""

import enum

from . import client_channel
from . import messages


class AttemptStatus(enum.Enum):
    """How far a call got in an attempt."""

    #: The complete response was received or forwarded.
    ANSWERED = "answered"
    #: No byte of the call was sent.
    NOT_SENT = "not_sent"
    #: The runner guaranteed that it has not run the call and never will.
    NOT_RUN = "not_run"
    #: The call may have run, and no complete response will come.
    BROKEN = "broken"


class ReceivedResponse:
    """What an attempt received from its runner, for the log.

    :param status: HTTP status; None without a response.
    :param body_end: what showed the end of the body; None if it did not end.
    :param events: number of complete events of a stream.
    """

    __slots__ = ("status", "body_end", "events")

    def __init__(
        self,
        status: int | None = None,
        body_end: client_channel.BodyEnd | None = None,
        events: int = 0,
    ) -> None:
        self.status = status
        self.body_end = body_end
        self.events = events


#: What an attempt received that was not sent or got no response.
NO_RESPONSE = ReceivedResponse()


class AttemptOutcome:
    """The result of an attempt.

    :param head: head of the response; None unless ``ANSWERED``.
    :param body: body of the response; empty for a stream, whose events are
        already forwarded.
    :param reason: why there is no response, for the log.
    :param reset: whether the runner closed or reset the connection midway.
    :param asks_for_rest: whether the runner asked this VM to stay away.
    :param unreachable: whether no connection to the runner could be opened.
    :param received: what came from the runner.
    """

    __slots__ = (
        "status",
        "head",
        "body",
        "reason",
        "reset",
        "asks_for_rest",
        "unreachable",
        "received",
    )

    def __init__(
        self,
        status: AttemptStatus,
        head: messages.RunnerResponseHead | None = None,
        body: bytes = b"",
        reason: str = "",
        reset: bool = False,
        asks_for_rest: bool = False,
        unreachable: bool = False,
        received: ReceivedResponse = NO_RESPONSE,
    ) -> None:
        self.reset = reset
        self.asks_for_rest = asks_for_rest
        self.unreachable = unreachable
        self.status = status
        self.head = head
        self.body = body
        self.reason = reason
        self.received = received
