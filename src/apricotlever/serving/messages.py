"""A caller's call, and what a runner says to it, in the product's types."""

import typing

Headers = typing.Sequence[tuple[bytes, bytes]]


class PromptPart:
    """A part of a prompt that other calls may share.

    :param part_id: equal for equal text.
    """

    __slots__ = ("part_id", "tokens")

    def __init__(self, part_id: str, tokens: int) -> None:
        self.part_id = part_id
        self.tokens = tokens


class Prompt:
    """What a call declares of the work it asks of a language model.

    :param tokens_in: tokens of the prompt.
    :param tokens_out: the most tokens that may be generated.
    :param parts: the prompt's parts in order; the last one is the call's
        own.
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
    def shared_key(self) -> str:
        """The deepest part that other calls share; "" when none does."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""


class CallerCall:
    """One call of a caller, read whole.

    :param target: path and query as sent.
    :param headers: as sent, without those of one connection.
    :param request_id: the caller's name for this attempt.
    :param patience_s: how long the caller will wait; None if unsaid.
    :param key: the API key, "" when none came.
    :param last_event_id: the stream goes on after this event; None for a
        call from the start.
    :param received_at: on the loop's clock, when the first byte came.
    """

    __slots__ = (
        "method",
        "target",
        "host",
        "headers",
        "body",
        "request_id",
        "patience_s",
        "key",
        "prompt",
        "last_event_id",
        "received_at",
    )

    def __init__(
        self,
        method: str,
        target: str,
        host: str,
        headers: Headers,
        body: bytes,
        request_id: str,
        patience_s: float | None,
        key: str,
        prompt: Prompt | None,
        last_event_id: int | None,
        received_at: float,
    ) -> None:
        self.method = method
        self.target = target
        self.host = host
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.patience_s = patience_s
        self.key = key
        self.prompt = prompt
        self.last_event_id = last_event_id
        self.received_at = received_at

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class Errand:
    """What is sent to a runner beside the caller's call.

    :param runner: the name of the runner that is meant.
    :param customer: whose key the call bore; None for a public route.
    :param left_s: how long the runner may work.
    :param priority: of the engine's queue, 0 first; None for plain ones.
    :param resume_after: the last event that the caller has; None to start.
    :param copy_from: ``host:port`` of a runner whose cached tokens of the
        prompt the runner may copy; None to read all itself.
    """

    __slots__ = (
        "runner",
        "customer",
        "left_s",
        "priority",
        "resume_after",
        "copy_from",
    )

    def __init__(
        self,
        runner: str,
        customer: str | None,
        left_s: float,
        priority: int | None,
        resume_after: int | None,
        copy_from: str | None = None,
    ) -> None:
        self.runner = runner
        self.customer = customer
        self.left_s = left_s
        self.priority = priority
        self.resume_after = resume_after
        self.copy_from = copy_from


class RunnerHead:
    """Status and headers of a runner's answer.

    :param not_run: the runner promises that the call has not run there.
    :param other_runner: another runner has the address by now.
    :param signed: whether the answer bears the mark of a runner.
    :param request_id: which call it answers; "" if unsaid.
    :param closing: the runner closes the connection after the answer.
    :param keep_alive_s: how long it keeps the connection; None if unsaid.
    :param retry_after_s: when to come back; None if unsaid.
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
        "retry_after_s",
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
        retry_after_s: float | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.not_run = not_run
        self.other_runner = other_runner
        self.signed = signed
        self.request_id = request_id
        self.closing = closing
        self.keep_alive_s = keep_alive_s
        self.retry_after_s = retry_after_s
