"""How an attempt to have a runner run a call has ended."""

import enum

from . import client_channel
from . import messages


class AttemptStatus(enum.Enum):
    """How far a call got in an attempt."""

    #: The complete response was received; the caller has none of it.
    ANSWERED = "answered"
    #: The runner ended its stream, whose events were forwarded.
    STREAM_ENDED = "stream_ended"
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


class StreamEnd:
    """A runner's word that a stream has no further events.

    Only an attempt that has read a runner's successful response to its end
    creates one. A response to a caller can't be ended as a complete stream
    without it.

    :param head: head of the runner's response.
    """

    __slots__ = ("head",)

    def __init__(self, head: messages.RunnerResponseHead) -> None:
        self.head = head


class AttemptOutcome:
    """The result of an attempt.

    :param head: head of the response; None unless ``ANSWERED``.
    :param body: body of the response.
    :param stream_end: the end of the stream; None unless ``STREAM_ENDED``.
    :param reason: why there is no response, for the log.
    :param reset: whether the runner closed or reset the connection midway.
    :param asks_for_rest: whether the runner asked this VM to stay away.
    :param turned_away: whether the runner itself did not take the call.
    :param unreachable: whether no connection to the runner could be opened.
    :param received: what came from the runner.

    A helper is another VM that had the call run. Then there also is:

    :ivar helper: its name; "" if this VM itself sent the call to a runner.
    :ivar retry_after_s: when callers may return by its word, in seconds; None
        without it.
    """

    __slots__ = (
        "helper",
        "retry_after_s",
        "status",
        "head",
        "body",
        "stream_end",
        "reason",
        "reset",
        "asks_for_rest",
        "turned_away",
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
        stream_end: StreamEnd | None = None,
        turned_away: bool = False,
    ) -> None:
        self.reset = reset
        self.asks_for_rest = asks_for_rest
        self.turned_away = turned_away
        self.unreachable = unreachable
        self.status = status
        self.head = head
        self.body = body
        self.reason = reason
        self.received = received
        self.stream_end = stream_end
        self.helper = ""
        self.retry_after_s: float | None = None

    @property
    def began_to_run(self) -> bool:
        """Whether a runner's response shows that it has run the call."""
        return self.status in (
            AttemptStatus.ANSWERED,
            AttemptStatus.STREAM_ENDED,
        )
