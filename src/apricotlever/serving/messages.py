"""Data types of calls and responses, independent of any protocol.

A call is an HTTP request of a caller, which this VM forwards to a runner. A
stream is a response of numbered events; it can be resumed after one of them.
A dialect translates the messages on the wire into these types and back.
"""

import typing

from ..runners import statements

Headers = typing.Sequence[tuple[bytes, bytes]]


class PromptPart:
    """A part of a prompt; other calls' prompts may have the same part.

    :param part_id: identifier; parts with equal text have equal identifiers.
    :param tokens: length of the part in tokens.
    """

    __slots__ = ("part_id", "tokens")

    def __init__(self, part_id: str, tokens: int) -> None:
        self.part_id = part_id
        self.tokens = tokens


class Prompt:
    """Size and parts of a language model's prompt, as a call declares them.

    The text itself is in the call's body.

    :param tokens_in: length of the prompt in tokens.
    :param tokens_out: maximum number of generated tokens.
    :param parts: the prompt's parts in order; the last one belongs to this
        call only.
    """

    __slots__ = ("tokens_in", "tokens_out", "parts")

    def __init__(
        self,
        tokens_in: int,
        tokens_out: int,
        parts: tuple[PromptPart, ...] = (),
    ) -> None:
        self.tokens_in = tokens_in
        self.tokens_out = tokens_out
        self.parts = parts

    @property
    def shared_part_id(self) -> str:
        """ID of the last part that other calls may share; "" without one.

        The prompt's very last part belongs to this call only.
        """
        return self.parts[-2].part_id if len(self.parts) > 1 else ""


class CallerCall:
    """One call of a caller, received completely.

    :param target: path and query as sent.
    :param host: the host that the caller addresses.
    :param headers: headers as sent, without hop-by-hop headers.
    :param request_id: the caller's identifier of this attempt; "" without one.
    :param caller_timeout_s: how long the caller waits, in seconds; None if the
        call does not declare it.
    :param key: the API key, "" without one.
    :param prompt: the declared work for a language model; None without one.
    :param last_event_id: id of the event after which the caller resumes a
        stream; None for a new call.
    :param received_at: time of the call's first byte, on the event loop's
        clock.
    :param resumes: ``request_id`` of the caller's call whose response began
        the stream that is resumed; "" if the caller doesn't say.
    """

    __slots__ = (
        "method",
        "target",
        "host",
        "headers",
        "body",
        "request_id",
        "caller_timeout_s",
        "key",
        "prompt",
        "last_event_id",
        "received_at",
        "resumes",
    )

    def __init__(
        self,
        method: str,
        target: str,
        host: str,
        headers: Headers,
        body: bytes,
        request_id: str,
        caller_timeout_s: float | None,
        key: str,
        prompt: Prompt | None,
        last_event_id: int | None,
        received_at: float,
        resumes: str = "",
    ) -> None:
        self.method = method
        self.target = target
        self.host = host
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.caller_timeout_s = caller_timeout_s
        self.key = key
        self.prompt = prompt
        self.last_event_id = last_event_id
        self.received_at = received_at
        self.resumes = resumes

    @property
    def stream_id(self) -> str:
        """Id of the call that began this call's stream; "" if unknown."""
        return self.request_id if self.last_event_id is None else self.resumes

    @property
    def path(self) -> str:
        """The call's target without its query."""
        return self.target.partition("?")[0]


class RunnerCallParameters:
    """What a runner is told in addition to the caller's call.

    :param runner: name of the intended runner.
    :param customer: the customer to whom the call's API key belongs; None for
        a public route.
    :param remaining_s: how long the runner may work on the call, in seconds.
    :param priority: priority in the engine's queue, 0 first; None if the call
        declares no prompt.
    :param resume_after: id of the last event that the caller has received,
        after which the runner resumes the stream; None for a new stream.
    :param copy_from: ``host:port`` of a runner whose cached tokens of the
        prompt the runner may copy; None to compute all tokens.
    """

    __slots__ = (
        "runner",
        "customer",
        "remaining_s",
        "priority",
        "resume_after",
        "copy_from",
    )

    def __init__(
        self,
        runner: str,
        customer: str | None,
        remaining_s: float,
        priority: int | None,
        resume_after: int | None,
        copy_from: str | None = None,
    ) -> None:
        self.runner = runner
        self.customer = customer
        self.remaining_s = remaining_s
        self.priority = priority
        self.resume_after = resume_after
        self.copy_from = copy_from


class RunnerResponseHead:
    """Status and headers of a runner's response, and what they mean.

    :param not_run: whether the runner guarantees that it did not run the call.
    :param other_runner: whether another runner than the intended one now
        answers at the address.
    :param signed: whether the response has the header by which runners mark
        their responses.
    :param request_id: identifier of the call that is answered; "" if not sent.
    :param closing: whether the runner closes the connection after the
        response.
    :param keep_alive_s: how long the runner keeps an idle connection, in
        seconds; None if not sent.
    :param statement: what the runner says of itself.
    :ivar version: the version of the runner's software, as known to the VM
        that sent it the call; "" if unknown.
    """

    __slots__ = (
        "status",
        "headers",
        "not_run",
        "other_runner",
        "signed",
        "request_id",
        "closing",
        "keep_alive_s",
        "statement",
        "version",
    )

    def __init__(
        self,
        status: int,
        headers: Headers,
        not_run: bool = False,
        other_runner: bool = False,
        signed: bool = True,
        request_id: str = "",
        closing: bool = False,
        keep_alive_s: float | None = None,
        statement: statements.Statement = statements.NOTHING,
    ) -> None:
        self.status = status
        self.headers = headers
        self.not_run = not_run
        self.other_runner = other_runner
        self.signed = signed
        self.request_id = request_id
        self.closing = closing
        self.keep_alive_s = keep_alive_s
        self.statement = statement
        self.version = ""

    @property
    def is_success(self) -> bool:
        """Whether the status is that of a successful response."""
        return 200 <= self.status < 300
