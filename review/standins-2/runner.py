"""Stand-in for a runner: a model engine or a plain service."""

import asyncio
import json
import time

from http_server import read_request


class Run:
    """One run of a request at a runner."""

    def __init__(self, runner, request, at):
        self.runner = runner
        self.request = request
        self.request_id = request.header("request-id")
        self.at = at
        self.ended = None
        self.result = ""


class Runner:
    """A sound runner.

    :param work_s: time of a plain request, in seconds.
    :param events: number of events of a stream; 0 for a plain service.
    :param gap_s: time between two events, in seconds.
    """

    def __init__(self, name, service, zone, work_s=0.03, events=0, gap_s=0.05,
                 concurrency=32, version="v1", born=None):
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self.events, self.gap_s = work_s, events, gap_s
        self.concurrency, self.version = concurrency, version
        self.state = "ready"
        self.sequence = 0
        self.born = born if born is not None else int(time.time() * 1000)
        self.runs = []
        self.rejected = 0
        self.running = 0
        self.accepts = True
        #: Replaces how a request runs: async f(run, writer) -> keep open.
        self.behaviour = None
        self._server = None
        self.host = self.port = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    @property
    def entry(self):
        """What the runner writes into the store."""
        entry = {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": self.version,
            "concurrency": self.concurrency, "state": self.state,
            "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born,
        }
        if self.events:
            entry["phase"] = "prefill_decode"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def start(self, host, port=0):
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 23, backlog=512
        )
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    def stop(self):
        """End as a killed process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                request.reader = reader
                if not await self._handle(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request, writer):
        path = request.target
        if path == "/healthz":
            ok = self.state == "ready"
            self.send(writer, 200 if ok else 503, [("Instance-Id", self.name)])
            return True
        if path == "/-/report":
            body = json.dumps({
                "phase": "prefill_decode", "busy": False,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence, "queued": 0,
                "running": self.running, "kv_in_use": 0,
                "kv_capacity": 353624, "handles": 0, "born": self.born,
            }).encode()
            self.send(writer, 200, [("Content-Type", "application/json")],
                      body)
            return True
        if path.startswith("/-/"):
            self.send(writer, 404, [])
            return True
        expected = request.header("expect-instance")
        if expected is not None and expected != self.name:
            self.send(writer, 421, [("Instance-Id", self.name)])
            return True
        if self.running >= self.concurrency:
            self.rejected += 1
            self.send(writer, 503, [
                ("Not-Executed", "1"),
                ("Request-Id", request.header("request-id") or ""),
            ])
            return True
        run = Run(self, request, time.time())
        self.runs.append(run)
        self.running += 1
        try:
            if self.behaviour is not None:
                return await self.behaviour(run, writer)
            return await self.serve(run, writer)
        finally:
            self.running -= 1
            run.ended = time.time()

    def left(self, run, writer):
        """Whether the caller of a run has closed its channel."""
        return writer.transport.is_closing() or run.request.reader.at_eof()

    def answer_headers(self, run):
        return [
            ("Request-Id", run.request_id or ""),
            ("Server-Signature", f"{run.request_id}.{self.name}"),
            ("Keep-Alive", "timeout=10"),
        ]

    async def serve(self, run, writer):
        """Run a request as a sound runner does."""
        if self.events:
            return await self.stream(run, writer)
        await asyncio.sleep(self.work_s)
        body = f"{run.request_id} by {self.name}\n".encode() * 8
        self.send(writer, 200, self.answer_headers(run), body)
        await writer.drain()
        run.result = "whole"
        return True

    async def stream(self, run, writer):
        last = int(run.request.header("last-event-id") or 0)
        await asyncio.sleep(self.work_s)
        head = [*self.answer_headers(run), ("Weight-Versions", "1"),
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked")]
        lines = "".join(f"{k}: {v}\r\n" for k, v in head)
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(last + 1, self.events + 1):
            if self.left(run, writer):
                run.result = "caller gone"
                return False
            event = f"id: {number}\ndata: {run.request_id} {number}\n\n"
            data = event.encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.result = "whole"
        return True

    def send(self, writer, status, headers, body=b""):
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers)
        writer.write(
            f"HTTP/1.1 {status} X\r\n{lines}"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
