"""Cuts a byte stream into server-sent events, within bounds."""

#: The bytes that end an event.
EVENT_END = b"\n\n"
#: Upper limit of an event in bytes. A runner that has gone wrong may send
#: bytes without an end.
MAX_EVENT_BYTES = 1048576
#: Upper limit of the digits of an event's id: those of a 64-bit number.
MAX_ID_DIGITS = 19


class EventTooLong(Exception):
    """An event has more bytes than :data:`MAX_EVENT_BYTES`."""


class EventBuffer:
    """Keeps the bytes of an event that isn't complete yet.

    Each byte is searched once for an event's end, however small the pieces
    are in which it comes.
    """

    __slots__ = ("_bytes", "_searched")

    def __init__(self) -> None:
        self._bytes = bytearray()
        #: How many bytes were searched for an event's end.
        self._searched = 0

    def __bool__(self) -> bool:
        return bool(self._bytes)

    def clear(self) -> None:
        """Drop the incomplete event."""
        self._bytes.clear()
        self._searched = 0

    def take(self, data: bytes) -> bytes:
        """Add received bytes, and take the events that are now complete."""
        kept = self._bytes
        kept += data
        # The first byte of an event's end may have come before.
        end = kept.rfind(EVENT_END, max(0, self._searched - 1))
        whole = b""
        if end >= 0:
            end += len(EVENT_END)
            whole = bytes(kept[:end])
            del kept[:end]
        self._searched = len(kept)
        return whole

    def check_length(self) -> None:
        """Check the event that isn't complete yet.

        :raises EventTooLong: if it is too long.
        """
        if len(self._bytes) > MAX_EVENT_BYTES:
            raise EventTooLong(f"an event of {len(self._bytes)} bytes or more")


def parse_id(digits: bytes) -> int | None:
    """The number that an event's id is; None if it isn't a sound one."""
    if not digits.isdigit() or len(digits) > MAX_ID_DIGITS:
        return None
    return int(digits)
