"""Transcripts: the events of an answer, as received so far.

One thread appends to a transcript and any number of threads read it.
The writer is the thread that reads the runner. A caller that reconnects, at
this VM or after a handover, reads from any index and then follows the writer.
"""

import collections.abc
import threading
import typing

from ..links import openai_format

FOLLOW_WAIT_S = 1.0


class SentTokens(collections.abc.Sequence[str]):
    """The texts of an answer's tokens, decoded from its events on access.

    :param events: SSE events, one for each token.
    """

    __slots__ = ("_events",)

    def __init__(self, events: list[bytes]) -> None:
        self._events = events

    def __len__(self) -> int:
        return len(self._events)

    @typing.overload
    def __getitem__(self, index: int) -> str: ...

    @typing.overload
    def __getitem__(self, index: slice) -> "SentTokens": ...

    def __getitem__(self, index: int | slice) -> "str | SentTokens":
        if isinstance(index, slice):
            return SentTokens(self._events[index])
        return openai_format.extract_token(self._events[index])


class Transcript:
    """The part of an answer received so far, as one SSE event for each token.

    Appending is cheap while no caller follows: the lock is taken only if there
    are followers.

    :param events: the initial events, from token 0.
    """

    __slots__ = ("_events", "_changed", "_followers", "_ended", "_outcome")

    def __init__(self, events: typing.Iterable[bytes] = ()) -> None:
        self._events = list(events)
        self._changed = threading.Condition()
        self._followers = 0
        self._ended = False
        self._outcome = ""

    def __len__(self) -> int:
        return len(self._events)

    @property
    def ended(self) -> bool:
        """Whether the answer has ended, so that no event will be added."""
        return self._ended

    @property
    def followed(self) -> bool:
        """Whether a caller follows the transcript."""
        return self._followers > 0

    @property
    def outcome(self) -> str:
        """``done`` or the type of the refusal; empty while the answer runs."""
        return self._outcome

    @property
    def size_bytes(self) -> int:
        """Approximate memory size of the events."""
        return sum(map(len, self._events))

    def append(self, event: bytes) -> None:
        """Append the event of the next token; only the writer may call this.

        :param event: the complete SSE event.
        """
        self._events.append(event)
        if self._followers:
            self._notify_followers()

    def end(self, outcome: str) -> None:
        """Mark the answer as ended.

        :param outcome: ``done`` or the type of the refusal.
        """
        self._outcome = outcome
        self._ended = True
        self._notify_followers()

    def events(self, start: int = 0) -> list[bytes]:
        """The events received so far, from an index on.

        :param start: index of the first token to return.
        """
        return self._events[start:]

    def tokens(self) -> "SentTokens":
        """The tokens received so far, decoded on access."""
        return SentTokens(self._events[:])

    def follow(
        self, start: int, is_disconnected: typing.Callable[[], bool]
    ) -> typing.Iterator[bytes]:
        """Yield events from an index on until the answer ends.

        :param start: index of the first token to yield.
        :param is_disconnected: whether the reader has disconnected.
        """
        position = start
        with self._changed:
            self._followers += 1
        try:
            while not is_disconnected():
                ended = self._ended
                new_events = self._events[position:]
                yield from new_events
                position += len(new_events)
                if ended and position >= len(self._events):
                    return
                self._wait_for_event(position)
        finally:
            with self._changed:
                self._followers -= 1

    def wait_ended(self, timeout_s: float) -> bool:
        """Wait until the answer has ended.

        :param timeout_s: longest wait, in seconds.
        :returns: whether the answer has ended.
        """
        with self._changed:
            return self._changed.wait_for(lambda: self._ended, timeout_s)

    def _wait_for_event(self, position: int) -> None:
        def ready() -> bool:
            return self._ended or len(self._events) > position

        with self._changed:
            self._changed.wait_for(ready, FOLLOW_WAIT_S)

    def _notify_followers(self) -> None:
        with self._changed:
            self._changed.notify_all()
