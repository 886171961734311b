"""Splits a stream of server-sent events and checks the order of their ids.

A stream is a runner's response that consists of such events. If the runner
fails, another runner may resume the stream after the last event sent on.
"""


class EventOrderError(Exception):
    """An event of a stream is missing, is repeated or has no id."""


class EventSplitter:
    """Splits a byte stream into complete events whose ids increase by one.

    Only complete events are forwarded, because a runner may fail in the
    middle of an event, and a stream is resumed at another runner after a
    complete one. Without the check of the ids, a stream joined from two
    runners could omit or repeat an event unnoticed.

    :param last_id: id of the event after which the caller resumes a stream;
        None for a stream from its start.
    """

    __slots__ = ("_buffer", "_last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self._buffer = b""
        self._last_id = last_id

    @property
    def last_id(self) -> int | None:
        """The id of the last complete event; None before the first one.

        A stream that the caller resumes begins with the id that it gave.
        """
        return self._last_id

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return bool(self._buffer)

    def discard_partial(self) -> None:
        """Drop an incomplete event before another runner resumes the stream.

        That runner sends the event again as a whole.
        """
        self._buffer = b""

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Add received bytes; those of an incomplete event are kept.

        :returns: the bytes of the events that are now complete, and the
            number of these events.
        :raises EventOrderError: when an id is missing or out of order.
        """
        buffer = self._buffer + data
        end = buffer.rfind(b"\n\n")
        if end < 0:
            self._buffer = buffer
            return b"", 0
        whole, self._buffer = buffer[: end + 2], buffer[end + 2 :]
        events = whole[:-2].split(b"\n\n")
        for event in events:
            self._check(event)
        return whole, len(events)

    def _check(self, event: bytes) -> None:
        number = _event_id(event)
        if number is None:
            raise EventOrderError("an event has no id")
        if self._last_id is not None and number != self._last_id + 1:
            raise EventOrderError(f"event {number} after {self._last_id}")
        self._last_id = number


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            digits = line[3:].strip()
            return int(digits) if digits.isdigit() else None
    return None
