"""Splits a stream of server-sent events and checks its order."""


class StreamDisorder(Exception):
    """An event is missing, comes twice or has no id."""


class EventSplitter:
    """Cuts a byte stream into whole events with ids that rise by one.

    Only whole events are passed on: a runner may end in the middle of one,
    and a stream that goes on elsewhere goes on after a whole event. Without
    the check of the ids, a stream joined from two runs could leave an event
    out or bring it twice, and nobody would notice.

    :param last_id: the event after which the stream goes on; None at its
        start.
    """

    __slots__ = ("_buffer", "_last_id")

    def __init__(self, last_id: int | None = None) -> None:
        self._buffer = b""
        self._last_id = last_id

    @property
    def last_id(self) -> int | None:
        """The id of the last whole event, None before the first one."""
        return self._last_id

    @property
    def partial(self) -> bool:
        """Whether the bytes end in the middle of an event."""
        return bool(self._buffer)

    def restart(self) -> None:
        """Another run goes on; what is left of an event is dropped."""
        self._buffer = b""

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Take bytes.

        :returns: the bytes of whole events, and how many events they are.
        :raises StreamDisorder: when the ids don't follow each other.
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
            raise StreamDisorder("an event has no id")
        if self._last_id is not None and number != self._last_id + 1:
            raise StreamDisorder(f"event {number} after {self._last_id}")
        self._last_id = number


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            digits = line[3:].strip()
            return int(digits) if digits.isdigit() else None
    return None
