"""HTTP responses whose end is never inferred from a cut connection.

``http.client`` is lenient: it takes the end of the connection for the end of
a line, so that a response which is cut within its head passes for a complete
one with an empty body. It also ignores a length that it can't read.
"""

from http import client as http
import typing

#: Upper limit of the bytes of lines in a row that lead to no body: heads, also
#: interim ones, and trailers.
MAX_LINES_BYTES = 262144
_CHUNKED = "chunked"
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200


class _WholeLines:
    """A file that raises an error for a line without its end.

    It does so, too, for lines without end: a peer that has gone wrong may send
    interim heads or trailers for ever.

    :param file: the file that the lines are read from.
    """

    __slots__ = ("_bytes", "_file")

    def __init__(self, file: typing.Any) -> None:
        self._file = file
        #: Bytes of lines since something else was read.
        self._bytes = 0

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._file, name)

    def read(self, size: int = -1) -> bytes:
        """Read bytes of a body."""
        self._bytes = 0
        return bytes(self._file.read(size))

    def read1(self, size: int = -1) -> bytes:
        """Read bytes of a body, by one call to the system at most."""
        self._bytes = 0
        return bytes(self._file.read1(size))

    def readinto(self, buffer: typing.Any) -> int:
        """Read bytes of a body into a buffer."""
        self._bytes = 0
        return int(self._file.readinto(buffer))

    def readline(self, limit: int = -1) -> bytes:
        """Read a line, with its end.

        :raises http.client.IncompleteRead: when the file ends before it, or
            the line is longer than the limit.
        :raises http.client.HTTPException: when there are too many lines.
        """
        line = bytes(self._file.readline(limit))
        self._bytes += len(line)
        if self._bytes > MAX_LINES_BYTES:
            raise http.HTTPException("lines without end")
        if not line.endswith(b"\n"):
            raise http.IncompleteRead(line)
        return line


class StrictResponse(http.HTTPResponse):
    """A response; the arguments are those of :class:`http.client`'s class."""

    def __init__(self, *arguments: typing.Any, **named: typing.Any) -> None:
        super().__init__(*arguments, **named)
        self.fp = typing.cast(typing.Any, _WholeLines(self.fp))

    def begin(self) -> None:
        """Read the head of the final response; interim ones are skipped.

        :raises http.client.HTTPException: when the head is cut, or where the
            body ends is unclear.
        """
        super().begin()
        while self.status < _FIRST_FINAL_STATUS:
            if self.status == _SWITCHING_PROTOCOLS:
                raise http.UnknownProtocol("an upgrade that nobody asked for")
            # Without it, the base class takes the head for read.
            self.headers = self.msg = typing.cast(typing.Any, None)
            super().begin()
        self._check_framing()

    def _check_framing(self) -> None:
        lengths = set(self.headers.get_all("Content-Length") or [])
        coding = self.headers.get("Transfer-Encoding")
        if coding is not None and (coding.lower() != _CHUNKED or lengths):
            raise http.UnknownTransferEncoding(coding)
        if len(lengths) > 1 or not all(map(_is_length, lengths)):
            raise http.HTTPException(f"unclear lengths: {sorted(lengths)}")


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit()
