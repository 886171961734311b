"""Splits a stream of server-sent events and checks the order of their ids.

A stream is a runner's response that consists of such events. If the runner
fails, another runner may resume the stream after the last event sent on.
"""

import typing

from ..streams import event_buffer

#: Takes the bytes of complete events and their number; returns False when the
#: receiver has enough for now.
Write = typing.Callable[[bytes, int], bool]


class BadEvent(Exception):
    """An event of a stream is missing, repeated, too long or has no id."""


class Passed:
    """What became of a piece of a stream.

    :param count: the number of events that were written.
    :param taken: False when the receiver has enough for now.
    """

    __slots__ = ("count", "taken")

    def __init__(self, count: int, taken: bool) -> None:
        self.count = count
        self.taken = taken


class EventSplitter:
    """Passes on the complete events of a byte stream with ids in order.

    Only complete events are passed on, because a runner may fail in the
    middle of an event, and a stream is resumed at another runner after a
    complete one. Without the check of the ids, a stream joined from two
    runners could omit or repeat an event unnoticed.

    The splitter itself writes the events: an event counts as passed on only
    once it was written, so a stream is never resumed after an event that its
    caller hasn't got.

    :param last_id: id of the event after which the caller resumes a stream;
        None for a stream from its start.
    """

    __slots__ = ("_buffer", "_last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self._buffer = event_buffer.EventBuffer()
        self._last_id = last_id

    @property
    def last_id(self) -> int | None:
        """The id of the last event that was written; None before the first.

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
        self._buffer.clear()

    def pass_on(self, data: bytes, write: Write) -> Passed:
        """Add received bytes, and write the events that are now complete.

        The events before a bad one are written, too.

        :raises BadEvent: when an event is too long, or its id is missing or
            out of order. Nothing after it is written.
        """
        whole = self._buffer.take(data)
        end, count, last_id, error = self._check(whole)
        taken = True
        if count:
            taken = write(whole[:end], count)
            self._last_id = last_id
        if error is not None:
            self.discard_partial()
            raise error
        try:
            self._buffer.check_length()
        except event_buffer.EventTooLong as too_long:
            self.discard_partial()
            raise BadEvent(str(too_long)) from too_long
        return Passed(count, taken)

    def _check(
        self, whole: bytes
    ) -> tuple[int, int, int | None, BadEvent | None]:
        """Find the events that may be written.

        :returns: the end of their bytes, their number, the id of the last
            one, and what is wrong with the next one.
        """
        end = count = 0
        last_id = self._last_id
        for event in whole.split(event_buffer.EVENT_END)[:-1]:
            number = _event_id(event)
            if number is None:
                return end, count, last_id, BadEvent("an event has no id")
            if last_id is not None and number != last_id + 1:
                error = BadEvent(f"event {number} after {last_id}")
                return end, count, last_id, error
            end += len(event) + len(event_buffer.EVENT_END)
            count += 1
            last_id = number
        return end, count, last_id, None


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return event_buffer.parse_id(line[3:].strip())
    return None
