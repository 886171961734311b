"""The events of one answer: written by one thread, read by any number.

The writer is the thread that reads the runner. A caller that comes back,
here or after a handover, reads from any index and then follows the writer.
"""

import collections.abc
import threading
import typing

from ..links import openai_format

FOLLOW_WAIT_S = 1.0


class SentTokens(collections.abc.Sequence[str]):
    """The tokens of events, decoded only when they are looked at.

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
    """An answer so far, as SSE events, one for each token.

    Appending is cheap while nobody follows: the lock is taken only when a
    follower waits.

    :param events: the events known at the start, from token 0.
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
        """Whether no event will be added."""
        return self._ended

    @property
    def followed(self) -> bool:
        """Whether a caller reads along."""
        return self._followers > 0

    @property
    def outcome(self) -> str:
        """``done``, or the type of refusal; empty while running."""
        return self._outcome

    @property
    def size_bytes(self) -> int:
        """What the events take in memory, roughly."""
        return sum(map(len, self._events))

    def append(self, event: bytes) -> None:
        """Add the event of the next token; only the writer calls it.

        :param event: the whole SSE event.
        """
        self._events.append(event)
        if self._followers:
            self._wake()

    def end(self, outcome: str) -> None:
        """Say that no event will follow.

        :param outcome: ``done``, or the type of refusal.
        """
        self._outcome = outcome
        self._ended = True
        self._wake()

    def events(self, start: int = 0) -> list[bytes]:
        """The events from an index on, as they stand now.

        :param start: index of the first token wanted.
        """
        return self._events[start:]

    def tokens(self) -> "SentTokens":
        """The tokens so far, decoded when they are looked at."""
        return SentTokens(self._events[:])

    def follow(
        self, start: int, gone: typing.Callable[[], bool]
    ) -> typing.Iterator[bytes]:
        """Yield events from an index on until the answer ends.

        :param start: index of the first token wanted.
        :param gone: whether the reader has left.
        """
        position = start
        with self._changed:
            self._followers += 1
        try:
            while not gone():
                ended = self._ended
                fresh = self._events[position:]
                yield from fresh
                position += len(fresh)
                if ended and position >= len(self._events):
                    return
                self._wait(position)
        finally:
            with self._changed:
                self._followers -= 1

    def wait_ended(self, timeout_s: float) -> bool:
        """Wait until the answer has ended.

        :param timeout_s: the longest wait.
        :returns: whether it ended.
        """
        with self._changed:
            return self._changed.wait_for(lambda: self._ended, timeout_s)

    def _wait(self, position: int) -> None:
        def ready() -> bool:
            return self._ended or len(self._events) > position

        with self._changed:
            self._changed.wait_for(ready, FOLLOW_WAIT_S)

    def _wake(self) -> None:
        with self._changed:
            self._changed.notify_all()
