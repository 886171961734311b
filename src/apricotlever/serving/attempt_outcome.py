"""How an attempt to have a runner run a call has ended."""

import enum

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


class AttemptOutcome:
    """The result of an attempt.

    :param head: head of the response; None unless ``ANSWERED``.
    :param body: body of the response; empty for a stream, whose events are
        already forwarded.
    :param reason: why there is no response, for the log.
    :param reset: whether the runner closed or reset the connection midway.
    :param asks_for_rest: whether the runner asked this VM to stay away.
    :param unreachable: whether no connection could be opened.
    """

    __slots__ = (
        "status",
        "head",
        "body",
        "reason",
        "reset",
        "asks_for_rest",
        "unreachable",
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
    ) -> None:
        self.reset = reset
        self.asks_for_rest = asks_for_rest
        self.unreachable = unreachable
        self.status = status
        self.head = head
        self.body = body
        self.reason = reason
