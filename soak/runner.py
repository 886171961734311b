"""A runner as a process: ``python -m soak.runner NAME PORT JOURNAL``.

It answers plain calls and streams with text that names the call, so that an
answer that reached the wrong caller shows. Each call that it begins to run
stands in its journal before the first byte of the answer.
"""

import asyncio
import contextlib
import hashlib
import sys
import typing

HOST = "127.0.0.1"
SLOTS = 24
EVENTS_MOST = 40
PAUSE_S = 0.02
WORK_S = 0.03

Headers = dict[str, str]


def text_of(call_id: str) -> str:
    """What every runner answers to a call."""
    return (
        f"answer to {call_id} {hashlib.sha256(call_id.encode()).hexdigest()}"
    )


def events_of(call_id: str) -> int:
    """How many events the stream of a call has."""
    return 5 + int(hashlib.sha256(call_id.encode()).hexdigest(), 16) % (
        EVENTS_MOST - 5
    )


def event(call_id: str, number: int) -> bytes:
    """One event of a call's stream."""
    return f"id: {number}\ndata: {number} of {call_id}\n\n".encode()


class Runner:
    """Serves one port.

    :param name: its id in the store.
    :param journal: gets a line for each call that is run.
    """

    def __init__(self, name: str, journal: typing.TextIO) -> None:
        self._name = name
        self._journal = journal
        self._running = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                path, headers = await _read(reader)
                await self._answer(path, headers, writer)
                await writer.drain()
        writer.close()

    async def _answer(
        self, path: str, headers: Headers, writer: asyncio.StreamWriter
    ) -> None:
        call_id = headers["call-id"]
        if headers["for-runner"] != self._name:
            writer.write(_whole(421, call_id, "", "Other-Runner: yes"))
            return
        if self._running >= SLOTS:
            writer.write(_whole(503, call_id, "", "Not-Run: yes"))
            return
        self._running += 1
        try:
            customer = headers.get("customer", "")
            print(f"{call_id} {customer} {path}", file=self._journal)
            self._journal.flush()
            if path.startswith("/stream"):
                after = int(headers.get("after", 0))
                await _stream(call_id, after, writer)
            else:
                await asyncio.sleep(WORK_S)
                writer.write(_whole(200, call_id, text_of(call_id)))
        finally:
            self._running -= 1


async def _read(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {
        name.lower(): value
        for name, _, value in (line.partition(": ") for line in head[1:])
    }
    await reader.readexactly(int(headers["content-length"]))
    return head[0].split()[1], headers


def _whole(status: int, call_id: str, body: str, *more: str) -> bytes:
    return _head(status, call_id, f"Content-Length: {len(body)}", *more) + (
        body.encode()
    )


def _head(status: int, call_id: str, *more: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Call-Id: {call_id}", "Signed: yes"]
    return "\r\n".join([*lines, *more, "", ""]).encode()


async def _stream(
    call_id: str, after: int, writer: asyncio.StreamWriter
) -> None:
    writer.write(_head(200, call_id, "Transfer-Encoding: chunked"))
    for number in range(after + 1, events_of(call_id) + 1):
        data = event(call_id, number)
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
    writer.write(b"0\r\n\r\n")


async def _main(name: str, port: int, journal: str) -> None:
    with open(journal, "a", encoding="utf-8") as file:
        runner = Runner(name, file)
        server = await asyncio.start_server(runner.serve, HOST, port)
        print(f"listening host={HOST} port={port}", flush=True)
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
