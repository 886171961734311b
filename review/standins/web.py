"""A small HTTP/1.1 server and the parsing of messages, on asyncio."""

import asyncio
import contextlib
import json
import typing

REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Request:
    """One request.

    :param target: path and query as sent.
    :param headers: values by lower-case name.
    """

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        pairs = self.target.partition("?")[2].split("&")
        return {
            name: value
            for name, _, value in (pair.partition("=") for pair in pairs)
        }


def parse_head(data: bytes) -> tuple[str, dict[str, str]]:
    """The first line and the headers of a message."""
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """The head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode_json(status: int, document: typing.Any) -> bytes:
    """A whole response with a JSON body.

    A text that is no valid one, as another program may have written it, is
    sent as the bytes that it was stored as.
    """
    text = json.dumps(document, ensure_ascii=False)
    body = text.encode("utf-8", "surrogatepass")
    headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
    }
    return encode_head(status, headers) + body


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request.

    :raises asyncio.IncompleteReadError: when the connection ends before.
    """
    first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    method, target, _ = first.split(" ")
    length = int(headers.get("content-length", "0"))
    return Request(method, target, headers, await reader.readexactly(length))


Handler = typing.Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter],
    typing.Awaitable[None],
]


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    async def listen(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            with contextlib.suppress(
                OSError,
                asyncio.IncompleteReadError,
                asyncio.CancelledError,
            ):
                while True:
                    request = await read_request(reader)
                    await self._handler(request, reader, writer)
                    await writer.drain()
                    if writer.is_closing():
                        break
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()
