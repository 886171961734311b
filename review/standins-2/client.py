"""Stand-in for requesters."""

import asyncio
import itertools
import os
import time

_numbers = itertools.count(1)
_run = os.urandom(3).hex()


def new_id():
    return f"{_run}{next(_numbers):010x}"


class Answer:
    """What a requester saw of one attempt.

    :ivar status: None if no head came.
    :ivar complete: whether the whole answer came.
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.sent_at = time.time()
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.ended_at = None

    @property
    def took_s(self):
        return (self.ended_at or time.time()) - self.sent_at

    @property
    def line(self):
        return (
            f"{self.sent_at:.3f} answer {self.request_id} status={self.status}"
            f" complete={self.complete} took_s={self.took_s:.3f}"
            f" error={self.error or '-'}"
            f" retry_after={self.headers.get('retry-after', '-')}"
        )


def encode(method, path, host, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{k}: {v}" for k, v in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Connection:
    """A kept channel to one VM."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.open = True

    @classmethod
    async def to(cls, address, timeout_s=1.0):
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader, writer)

    async def exchange(self, request, answer):
        """Send a request and read its answer into ``answer``."""
        self.writer.write(request)
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split(" ")[1])
            for line in lines[1:]:
                if line:
                    name, _, value = line.partition(":")
                    answer.headers[name.lower()] = value.strip()
            await self._read_body(answer)
            answer.complete = True
            if answer.headers.get("connection") == "close":
                self.close()
        except asyncio.IncompleteReadError as error:
            answer.error = f"closed after {len(error.partial)} bytes"
            self.close()
        except (ConnectionError, OSError) as error:
            answer.error = type(error).__name__
            self.close()
        finally:
            answer.ended_at = time.time()

    async def _read_body(self, answer):
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                line = await self.reader.readuntil(b"\r\n")
                size = int(line, 16)
                data = await self.reader.readexactly(size + 2)
                answer.body += data[:-2]
                if not size:
                    return
        length = int(answer.headers.get("content-length", 0))
        answer.body = await self.reader.readexactly(length)

    def close(self):
        self.open = False
        self.writer.transport.abort()


async def call(address, method, path, host, headers, body=b"",
               timeout_s=5.0, request_id=None):
    """One attempt on a new channel; a requester closes at its time limit."""
    answer = Answer(request_id or new_id())
    headers = [
        ("Request-Id", answer.request_id),
        ("Deadline-Ms", str(int(timeout_s * 1000))),
        *headers,
    ]
    try:
        connection = await Connection.to(address, min(1.0, timeout_s))
    except (OSError, TimeoutError) as error:
        answer.error = f"not connected: {type(error).__name__}"
        answer.ended_at = time.time()
        return answer
    try:
        left_s = answer.sent_at + timeout_s - time.time()
        async with asyncio.timeout(max(0.01, left_s)):
            await connection.exchange(
                encode(method, path, host, headers, body), answer
            )
    except TimeoutError:
        answer.error = "time limit"
        answer.ended_at = time.time()
    finally:
        connection.close()
    return answer
