"""One answer that an engine stand-in generates."""

import threading
import time
import typing

from . import _tokens

WAITING = "waiting"
RUNNING = "running"
DONE = "done"
CANCELLED = "cancelled"
EXPORTED = "exported"
LIVE = (WAITING, RUNNING)


class Work:
    """What a caller asked for, fit to be moved to another engine."""

    __slots__ = (
        "request_id",
        "attempt",
        "priority",
        "model",
        "prompt",
        "seed",
        "max_tokens",
        "chat",
    )

    def __init__(
        self,
        request_id: str,
        attempt: int,
        priority: int,
        model: str,
        prompt: str,
        seed: int,
        max_tokens: int,
        chat: bool,
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.priority = priority
        self.model = model
        self.prompt = prompt
        self.seed = seed
        self.max_tokens = max_tokens
        self.chat = chat

    def payload(self) -> dict[str, typing.Any]:
        """The work as JSON; keys as the constructor's parameters."""
        return {name: getattr(self, name) for name in self.__slots__}


class Sequence:
    """The state of one answer: its tokens so far and who reads them.

    Tokens are appended by the scheduler's thread alone.

    :param work: what to answer.
    :param tokens: the tokens that it starts with.
    :param prefilled: whether the state of prompt and tokens is at hand.
    """

    __slots__ = (
        "work",
        "tokens",
        "resumed",
        "base",
        "blocks",
        "held",
        "state",
        "prefill_left",
        "prefilled",
        "seen_before",
        "crash_at",
        "_condition",
        "_readers",
        "_unread_since",
    )

    def __init__(
        self, work: Work, tokens: list[str], prefilled: bool = False
    ) -> None:
        self.work = work
        self.tokens = list(tokens)
        self.resumed = len(tokens)
        self.base = _tokens.answer_base(work.prompt, work.seed)
        self.blocks = self.all_blocks()
        self.held: list[int] = []
        self.state = WAITING
        self.prefill_left = 0
        self.prefilled = prefilled
        self.seen_before = False
        self.crash_at: int | None = None
        self._condition = threading.Condition()
        self._readers = 0
        self._unread_since = time.monotonic()

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt."""
        return _tokens.tokens_in(len(self.work.prompt.encode()))

    @property
    def finished(self) -> bool:
        """Whether each token asked for is there."""
        return len(self.tokens) >= self.work.max_tokens

    def all_blocks(self) -> list[int]:
        """The blocks of the prompt and the tokens so far."""
        text = self.work.prompt + "".join(self.tokens)
        return _tokens.blocks_of(self.work.model, text)

    def grow(self) -> None:
        """Append the next token and wake who waits for it."""
        self.tokens.append(_tokens.token(self.base, len(self.tokens)))
        self.wake()

    def end(self, state: str) -> None:
        """Enter a state without further tokens."""
        self.state = state
        self.wake()

    def wake(self) -> None:
        """Make the readers look again."""
        with self._condition:
            self._condition.notify_all()

    def wait_beyond(self, index: int, timeout_s: float) -> list[str]:
        """The tokens from an index on, waiting for the first of them."""
        with self._condition:
            if len(self.tokens) <= index and self.state in LIVE:
                self._condition.wait(timeout_s)
        return self.tokens[index:]

    def attach(self) -> None:
        """Note one more reader."""
        with self._condition:
            self._readers += 1

    def detach(self) -> None:
        """Note that a reader has gone."""
        with self._condition:
            self._readers -= 1
            self._unread_since = time.monotonic()

    def unread_for(self, now: float) -> float:
        """Seconds for which nobody has been reading."""
        return 0.0 if self._readers else now - self._unread_since

    def ended_as(self) -> str | None:
        """The final state, or None while tokens may still come."""
        return None if self.state in LIVE else self.state
