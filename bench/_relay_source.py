"""Upstream of the relay benchmark: sends paced events and runs no model.

Implements the part of an engine's interface that an entry VM uses. The text
of each token is the time at which it was written, in microseconds of the
machine's monotonic clock, so that a client on the same machine can compute
the delay.

``python -m bench._relay_source --rate 15``
"""

import argparse
import asyncio
import json
import random
import sys
import time
import typing

HEAD_END = b"\r\n\r\n"
HOST = "127.0.0.1"
LOAD = {"running": 0, "waiting": 0, "slots": 4096, "blocks_used": 0}
LOAD_DETAILS = {"blocks": 0, "tokens_per_s": 0.0, "age_s": 0.0}
NO_CACHE_EVENTS = {"events": [], "seq": 0, "from": 0}


class _Connection(asyncio.Protocol):
    """Connection that serves one stream or small JSON responses."""

    def __init__(self, rate: float, rng: random.Random) -> None:
        self._period_s = 1.0 / rate
        self._rng = rng
        self._received = b""
        self._transport: typing.Any = None
        self._loop = asyncio.get_running_loop()
        self._event_prefix = ""
        self._chunked = False
        self._remaining = 0
        self._index = 0
        self._next_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, found, body = self._received.partition(HEAD_END)
        if not found:
            return
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        if len(body) < int(headers.get("content-length", "0")):
            return
        self._received = b""
        method, path, _ = lines[0].split(" ")
        if method == "POST" and path.endswith("/completions"):
            self._start_stream(lines, json.loads(body))
        else:
            self._send_json(path)

    def _send_json(self, path: str) -> None:
        answer = (
            NO_CACHE_EVENTS if "events" in path else {**LOAD, **LOAD_DETAILS}
        )
        body = json.dumps(answer).encode()
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._transport.write(head.encode() + body)

    def _start_stream(
        self, lines: list[str], body: dict[str, typing.Any]
    ) -> None:
        own_headers = [
            line for line in lines if line.lower().startswith("apricotlever-")
        ]
        echoed = "".join(f"{line}\r\n" for line in own_headers)
        request = next(
            (
                line.split(": ")[1]
                for line in own_headers
                if "-Request" in line
            ),
            "direct",
        )
        self._event_prefix = (
            f'data: {{"id":"{request}","choices":[{{"index":0,"text":" '
        )
        self._remaining = int(body["max_tokens"])
        self._chunked = lines[0].endswith("HTTP/1.1")
        framing = "Transfer-Encoding: chunked" if self._chunked else ""
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{echoed}"
        )
        self._transport.write(
            f"{head}{framing or 'Connection: close'}\r\n\r\n".encode()
        )
        # The second event is sent after a random fraction of a period.
        # Otherwise streams that are opened together would send their
        # events at the same times.
        self._next_at = self._loop.time() - self._rng.random() * self._period_s
        self._send_event()

    def _send_event(self) -> None:
        if self._transport.is_closing():
            return
        now_us = time.monotonic_ns() // 1000
        event = f'id: {self._index}\n{self._event_prefix}{now_us}"}}]}}\n\n'
        self._send(event)
        self._index += 1
        self._remaining -= 1
        if not self._remaining:
            self._send("data: [DONE]\n\n")
            if self._chunked:
                self._transport.write(b"0\r\n\r\n")
            self._transport.close()
            return
        self._next_at += self._period_s
        self._loop.call_at(self._next_at, self._send_event)

    def _send(self, text: str) -> None:
        framed = f"{len(text):x}\r\n{text}\r\n" if self._chunked else text
        self._transport.write(framed.encode())


async def _serve(rate: float, seed: int) -> None:
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: _Connection(rate, rng), HOST, 0, backlog=4096
    )
    port = server.sockets[0].getsockname()[1]
    print(f"listening host={HOST} port={port}", flush=True)
    await server.serve_forever()


def main(arguments: list[str]) -> int:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    asyncio.run(_serve(options.rate, options.seed))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
