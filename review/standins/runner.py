"""Stand-in for a runner."""

import asyncio
import hashlib
import typing

from . import record
from . import web

EVENT_COUNT = 12


def event(request: str, number: int, version: str) -> bytes:
    """One event of the stream of a request."""
    return f"id: {number}\ndata: {number} {version}\n\n".encode()


#: Gives the bytes that are sent in place of some events, for a faulty answer.
Spoiler = typing.Callable[[int, list[bytes]], list[bytes]]


class Runner:
    """One runner, which answers all requests with success.

    :param burst: number of events that are written at a time.
    :param pause_s: time between two bursts.
    :param framing: "chunked" or "close".
    :param spoil: changes the events of the answer with a number, from 1 on.
    """

    def __init__(
        self,
        name: str,
        version: str,
        log: record.Record,
        burst: int = 1,
        pause_s: float = 0.02,
        framing: str = "chunked",
        event_count: int = EVENT_COUNT,
        work_s: float = 0.01,
        spoil: Spoiler | None = None,
    ) -> None:
        self.name = name
        self.version = version
        self.log = log
        self.burst = burst
        self.pause_s = pause_s
        self.framing = framing
        self.event_count = event_count
        self.work_s = work_s
        self.spoil = spoil
        self.sequence = 0
        #: Number of answers begun.
        self.answers = 0
        #: Requests that began to run, with the first event's number.
        self.runs: list[tuple[str, int]] = []
        self._server = web.Server(self.handle)

    async def listen(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        await self._server.listen(host, port)

    async def stop(self) -> None:
        """End as by a kill."""
        await self._server.stop()

    def entry(
        self, service: str, zone: str, state: str = "ready"
    ) -> dict[str, typing.Any]:
        """The entry in the store."""
        self.sequence += 1
        return {
            "service": service,
            "address": f"{self.host}:{self.port}",
            "zone": zone,
            "version": self.version,
            "concurrency": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }

    async def handle(
        self,
        request: web.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        if request.path == "/healthz":
            head = {"Instance-Id": self.name, "Content-Length": "0"}
            writer.write(web.encode_head(200, head))
            return
        expected = request.headers.get("expect-instance", self.name)
        request_id = request.headers["request-id"]
        if expected != self.name:
            head = {"Instance-Id": self.name, "Content-Length": "0"}
            writer.write(web.encode_head(421, head))
            return
        after = int(request.headers.get("last-event-id", "0"))
        self.answers += 1
        self.runs.append((request_id, after + 1))
        self.log.write(
            f"runner {self.name} ({self.version}) runs {request_id}"
            f" {request.method} {request.target} after event {after}"
        )
        if "/stream" in request.path:
            await self._stream(request_id, after, writer)
        else:
            await self.answer(request_id, writer)

    async def answer(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Work on a request that is no stream, and send a whole answer."""
        await asyncio.sleep(self.work_s)
        body = f"answer to {request_id}".encode()
        head = self.head(request_id)
        head["Content-Length"] = str(len(body))
        writer.write(web.encode_head(200, head) + body)

    async def _stream(
        self, request_id: str, after: int, writer: asyncio.StreamWriter
    ) -> None:
        head = self.head(request_id)
        head["Content-Type"] = "text/event-stream"
        chunked = self.framing == "chunked"
        head["Transfer-Encoding" if chunked else "Connection"] = self.framing
        writer.write(web.encode_head(200, head))
        events = [
            event(request_id, number, self.version)
            for number in range(after + 1, self.event_count + 1)
        ]
        if self.spoil is not None:
            events = self.spoil(self.answers, events)
        for start in range(0, len(events), self.burst):
            await asyncio.sleep(self.pause_s)
            data = b"".join(events[start : start + self.burst])
            if chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\n\r\n")
        else:
            await writer.drain()
            writer.close()

    def head(self, request_id: str) -> dict[str, str]:
        """Headers of each answer to a request that has run."""
        digest = hashlib.sha256(request_id.encode()).hexdigest()[:8]
        return {
            "Request-Id": request_id,
            "Server-Signature": f"{self.name}.{digest}",
        }
