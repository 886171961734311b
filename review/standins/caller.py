"""Stand-in for a caller."""

import asyncio
import itertools
import re

from . import record
from . import vm as vms
from . import web

HOST = "review.example"
KEY = "i9n73hh2b9wu3fexd9dn"
EVENT = re.compile(rb"id: (\d+)\ndata: \d+ (\S*)\n\n")


class Answer:
    """What a caller has received of an answer.

    :ivar is_whole: whether the end of the answer was received.
    :ivar error: why it was not.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.error = ""

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number and version of each complete event."""
        return [
            (int(number), version.decode())
            for number, version in EVENT.findall(self.body)
        ]


class Caller:
    """Sends requests, each on a new connection."""

    def __init__(self, log: record.Record, prefix: str = "c") -> None:
        self._log = log
        self._prefix = prefix
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        """A new id of a request."""
        return f"{self._prefix}{next(self._numbers):06x}"

    async def send(
        self,
        host: str,
        method: str,
        path: str,
        request_id: str,
        deadline_s: float,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request to a VM and read the answer."""
        answer = Answer()
        self._log.write(f"caller sends {request_id} {method} {path} to {host}")
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {int(1000 * deadline_s)}",
            f"Authorization: Token {KEY}",
        ]
        if method == "POST":
            lines.append("Content-Length: 2")
        lines += [
            f"{name}: {value}" for name, value in (headers or {}).items()
        ]
        data = "\r\n".join([*lines, "", ""]).encode()
        if method == "POST":
            data += b"{}"
        writer = None
        try:
            async with asyncio.timeout(deadline_s):
                reader, writer = await asyncio.open_connection(
                    host, vms.FRONTEND
                )
                writer.write(data)
                await _read(reader, answer)
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            answer.error = type(error).__name__
        finally:
            if writer is not None:
                writer.transport.abort()
        numbers = ",".join(f"{n}@{v}" for n, v in answer.events)
        self._log.write(
            f"caller gets {request_id}: {answer.status}"
            f" {'whole' if answer.is_whole else 'broken ' + answer.error}"
            f" {len(answer.body)} bytes events [{numbers}]"
        )
        return answer


async def _read(reader: asyncio.StreamReader, answer: Answer) -> None:
    first, answer.headers = web.parse_head(await reader.readuntil(b"\r\n\r\n"))
    answer.status = int(first.split()[1])
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            chunk = await reader.readexactly(size + 2)
            answer.body += chunk[:-2]
        await reader.readexactly(2)
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_whole = True
