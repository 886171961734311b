"""A small HTTP/1.1 server for stand-ins."""

import asyncio
import json


class Request:
    """One request, read completely."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name):
        """The value of a header, by its lower-case name; None without it."""
        return next((v for k, v in self.headers if k.lower() == name), None)


class Reply:
    """A reply with a JSON document as its body."""

    def __init__(self, status, document):
        self.status = status
        self.body = json.dumps(document).encode()


async def read_request(reader):
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    length = next(
        (int(v) for k, v in headers if k.lower() == "content-length"), 0
    )
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


class Server:
    """Answers each request of each connection by a handler.

    :param handle: returns a reply, or None to close the connection.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self.host = self.port = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 22, backlog=512
        )
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                reply = await self._handle(request)
                if reply is None:
                    writer.transport.abort()
                    return
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n"
                    % (reply.status, len(reply.body)) + reply.body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()
