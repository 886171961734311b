"""Sequences: the answers that an engine stand-in generates."""

import threading
import time
import typing

from . import _deterministic_tokens

WAITING = "waiting"
RUNNING = "running"
DONE = "done"
CANCELLED = "cancelled"
EXPORTED = "exported"
ACTIVE_STATES = (WAITING, RUNNING)


class GenerationRequest:
    """The parameters of a request; they can move to another engine.

    The names of the attributes are the keys of the exported state.
    """

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
        """The parameters as a JSON object, with the constructor's names."""
        return {name: getattr(self, name) for name in self.__slots__}


class Sequence:
    """The state of one answer: its tokens so far and its number of readers.

    Only the scheduler thread appends tokens.

    :param request: the generation request to answer.
    :param tokens: tokens of the answer that were generated before, here or at
        another engine.
    :param prefilled: whether the state of the prompt and those tokens was
        imported, so that no prefill is needed.
    """

    __slots__ = (
        "request",
        "tokens",
        "resumed_count",
        "answer_hash",
        "initial_blocks",
        "pinned_blocks",
        "state",
        "prefill_remaining",
        "prefilled",
        "is_repeat",
        "crash_after_tokens",
        "_condition",
        "_readers",
        "_unread_since",
    )

    def __init__(
        self,
        request: GenerationRequest,
        tokens: list[str],
        prefilled: bool = False,
    ) -> None:
        self.request = request
        self.tokens = list(tokens)
        self.resumed_count = len(tokens)
        self.answer_hash = _deterministic_tokens.answer_hash(
            request.prompt, request.seed
        )
        self.initial_blocks = self.current_blocks()
        self.pinned_blocks: list[int] = []
        self.state = WAITING
        self.prefill_remaining = 0
        self.prefilled = prefilled
        self.is_repeat = False
        self.crash_after_tokens: int | None = None
        self._condition = threading.Condition()
        self._readers = 0
        self._unread_since = time.monotonic()

    @property
    def prompt_token_count(self) -> int:
        """Number of tokens in the prompt."""
        return _deterministic_tokens.token_count(
            len(self.request.prompt.encode())
        )

    @property
    def is_complete(self) -> bool:
        """Whether all requested tokens are generated."""
        return len(self.tokens) >= self.request.max_tokens

    def current_blocks(self) -> list[int]:
        """Hashes of the full blocks of the prompt and the tokens so far."""
        text = self.request.prompt + "".join(self.tokens)
        return _deterministic_tokens.prefix_block_hashes(
            self.request.model, text
        )

    def generate_token(self) -> None:
        """Append the next token and wake the waiting readers."""
        self.tokens.append(
            _deterministic_tokens.answer_token(
                self.answer_hash, len(self.tokens)
            )
        )
        self.notify_readers()

    def end(self, state: str) -> None:
        """Set a final state and wake the waiting readers."""
        self.state = state
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake the readers that wait for tokens or for the end."""
        with self._condition:
            self._condition.notify_all()

    def wait_for_tokens(self, index: int, timeout_s: float) -> list[str]:
        """The tokens from an index on, after a wait for the first of them.

        :param timeout_s: maximum time to wait, in seconds.
        :returns: the tokens; empty after a timeout or without further tokens.
        """
        with self._condition:
            if len(self.tokens) <= index and self.state in ACTIVE_STATES:
                self._condition.wait(timeout_s)
        return self.tokens[index:]

    def add_reader(self) -> None:
        """Count one more reader, until :meth:`remove_reader`."""
        with self._condition:
            self._readers += 1

    def remove_reader(self) -> None:
        """Count one reader fewer."""
        with self._condition:
            self._readers -= 1
            self._unread_since = time.monotonic()

    def unread_s(self, now: float) -> float:
        """Seconds without a reader up to now; 0 while there is a reader."""
        return 0.0 if self._readers else now - self._unread_since

    def final_state(self) -> str | None:
        """The final state, or None while tokens may still be generated."""
        return None if self.state in ACTIVE_STATES else self.state
