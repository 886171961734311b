"""Runner process of a soak test.

Usage: ``python -m soak.runner NAME PORT JOURNAL STATEMENTS VERSION``

A request for the path ``/say`` sets what the runner says of itself from then
on: the limit in its header Limit-Per-S, the rest for which it asks the VMs of
every second call in Rest-S, or that it leaves in Leaving. Without a header it
says nothing of the kind. Apart from that, Rejections-Per-S makes it
fragile for as long as For-S says: it names that number in all responses, takes
Later-Room calls at a time later on, and falls over as it must reject more.

Answers and events contain the id of the call, so that an answer delivered to
the wrong caller is detectable, and events the version of the runner. The
runner records each call in its journal
before it sends the first byte of the answer.
"""

import asyncio
import contextlib
import hashlib
import pathlib
import sys
import time
import typing

from . import bad_answers
from . import fragility
from . import prompt_parts
from . import statements

HOST = "127.0.0.1"
MAX_CONCURRENT_CALLS = 24
#: Upper limit of the number of events in a stream, exclusive.
EVENT_COUNT_END = 40
EVENT_INTERVAL_S = 0.02
ANSWER_DELAY_S = 0.03
#: Prefix of the ids of calls that run long: so many events, and an answer
#: after so many seconds.
LONG_CALL_PREFIX = "long-"
LONG_EVENT_COUNT = 90
LONG_ANSWER_DELAY_S = 1.8
#: Prefix of the ids of calls with a large answer, and its size.
LARGE_CALL_PREFIX = "large-"
LARGE_ANSWER_BYTES = 8 * 1024 * 1024
#: How often a runner looks whether the VM has left, in seconds.
LEFT_CHECK_INTERVAL_S = 0.05
#: How long the proxies may take to refuse connections once a runner does, and
#: how often it looks, in seconds.
DOWN_TIMEOUT_S = 3.0
DOWN_CHECK_INTERVAL_S = 0.02

Headers = dict[str, str]


def answer_text(call_id: str) -> str:
    """Return the text that every runner answers to a call."""
    return (
        f"answer to {call_id} {hashlib.sha256(call_id.encode()).hexdigest()}"
    )


def event_count(call_id: str) -> int:
    """Return the number of events in the stream of a call.

    A call that resumes a stream has the id of the first one and a dot before
    its own number.
    """
    call_id = call_id.partition(".")[0]
    if call_id.startswith(LONG_CALL_PREFIX):
        return LONG_EVENT_COUNT
    return 5 + int(hashlib.sha256(call_id.encode()).hexdigest(), 16) % (
        EVENT_COUNT_END - 5
    )


def format_event(call_id: str, number: int, version: str = "v1") -> bytes:
    """Encode one event of a call's stream."""
    data = f"{number} of {call_id} at {version}"
    return f"id: {number}\ndata: {data}\n\n".encode()


class Runner:
    """HTTP server of one runner.

    :param name: the runner's name in the store.
    :param journal: receives a line for each call that runs.
    :param record: receives what the runner says and to whom.
    :param version: the version of its software.
    """

    def __init__(
        self,
        name: str,
        journal: typing.TextIO,
        record: statements.Record,
        version: str = "v1",
    ) -> None:
        self._version = version
        self._name = name
        self._journal = journal
        self._record = record
        self._running = 0
        self._says: Headers = {}
        self._arrivals = 0
        self._fragility: fragility.Fragility | None = None
        self._bad = bad_answers.BadAnswers(0, "", 0.0)
        self._port = 0
        self._server: asyncio.Server | None = None
        #: The connections with the tasks that serve them.
        self._connections: dict[
            asyncio.StreamWriter, asyncio.Task[typing.Any]
        ] = {}
        self._getting_up: asyncio.Task[None] | None = None
        record.write(name, statements.Kind.STARTED)

    async def listen(self, port: int) -> None:
        """Take connections at a port."""
        self._port = port
        self._server = await asyncio.start_server(self._serve, HOST, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection, until the runner falls over."""
        task = asyncio.current_task()
        assert task is not None
        self._connections[writer] = task
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                path, headers = await _read_request(reader)
                await self._answer(path, headers, reader, writer)
                await writer.drain()
        self._connections.pop(writer, None)
        writer.close()

    async def _answer(
        self,
        path: str,
        headers: Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if path == "/say":
            self._say(headers)
            writer.write(_response(200, "", ""))
            return
        call_id = headers["call-id"]
        if headers["for-runner"] != self._name:
            says = ["Other-Runner: yes", *self._fragility_headers()]
            writer.write(_response(421, call_id, "", *says))
            return
        vm = headers["sent-by"]
        self._record.write(self._name, statements.Kind.ARRIVED, vm, call_id)
        self._arrivals += 1
        bad_part = prompt_parts.find_bad(headers.get("parts", ""))
        if bad_part:
            kind = statements.Kind.GOT_BAD_PART
            self._record.write(self._name, kind, vm, bad_part)
        if self._lacks_room:
            self._reject(vm)
        if self._lacks_room or self._wants_rest:
            says = [*self._tell(vm), *self._ask_for_rest(vm)]
            writer.write(_response(503, call_id, "", "Not-Run: yes", *says))
            return
        self._running += 1
        self._record.write(self._name, statements.Kind.BEGAN, vm, call_id)
        try:
            customer = headers.get("customer", "")
            print(f"{call_id} {customer} {path}", file=self._journal)
            self._journal.flush()
            if bad_part:
                await self._crash(bad_part, path, call_id, writer)
            if self._bad.loses_next():
                await asyncio.sleep(ANSWER_DELAY_S)
                raise ConnectionAbortedError("the answer is lost")
            if self._bad.endless in bad_answers.IN_PLACE_OF_HEAD:
                await bad_answers.send_endless(writer, self._bad.endless)
            if path.startswith("/stream"):
                after = int(headers.get("after", 0))
                await _send_stream(
                    call_id,
                    after,
                    writer,
                    self._tell(vm),
                    self._version,
                    self._bad,
                )
            else:
                await _work(call_id, reader)
                says = self._tell(vm)
                text = answer_text(call_id)
                if call_id.startswith(LARGE_CALL_PREFIX):
                    text = "x" * LARGE_ANSWER_BYTES
                writer.write(_response(200, call_id, text, *says))
        finally:
            self._running -= 1
            self._record.write(self._name, statements.Kind.ENDED, vm, call_id)

    def _say(self, headers: Headers) -> None:
        fragile = fragility.read_fragility(headers, time.monotonic())
        if fragile is not None:
            self._fragility = fragile
            value = str(fragile.rejections_per_s)
            kind = statements.Kind.SAYS_FRAGILE
            self._record.write(self._name, kind, value=value)
            return
        bad = bad_answers.read_bad_answers(headers, time.monotonic())
        if bad is not None:
            self._bad = bad
            return
        self._says = headers
        limit = headers.get("limit-per-s", "-")
        self._record.write(self._name, statements.Kind.SAYS, value=limit)

    @property
    def _fragile(self) -> fragility.Fragility | None:
        """The present time of fragility; None while the runner is sound."""
        fragile = self._fragility
        if fragile is None or time.monotonic() >= fragile.until:
            return None
        return fragile

    @property
    def _lacks_room(self) -> bool:
        fragile, room = self._fragile, MAX_CONCURRENT_CALLS
        if fragile is not None:
            room = fragile.room(time.monotonic(), self._running, room)
        return self._running >= room

    def _reject(self, vm: str) -> None:
        """Count a call that is rejected for want of room.

        :raises ConnectionAbortedError: the runner falls over by it.
        """
        self._record.write(self._name, statements.Kind.REJECTED, vm)
        fragile = self._fragile
        if fragile is not None and fragile.reject(time.monotonic()):
            fragile.fall(time.monotonic())
            self._fall()
            raise ConnectionAbortedError("the runner has fallen over")

    async def _crash(
        self,
        part: str,
        path: str,
        call_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Begin to answer on a bad part, in one of several ways, and crash.

        :raises ConnectionAbortedError: always.
        """
        await asyncio.sleep(ANSWER_DELAY_S)
        assert self._server is not None
        if not self._server.is_serving():
            # Another call crashes the runner.
            await asyncio.Event().wait()
        self._record.write(self._name, statements.Kind.CRASHED, value=part)
        self._server.close()
        way = int(hashlib.sha256(call_id.encode()).hexdigest(), 16) % 3
        if way:
            writer.write(_response_head(200, call_id))
        if way == 2:
            writer.write(format_event(call_id, 1)[:-5])
        await self._wait_until_down()
        self._lose_all(prompt_parts.DOWN_S)
        raise ConnectionAbortedError("the runner has crashed")

    async def _wait_until_down(self) -> None:
        """Wait until the proxies refuse connections, too."""
        path = self._record.path.with_name(
            self._name + prompt_parts.DOWN_SUFFIX
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DOWN_TIMEOUT_S):
                while not path.exists():
                    await asyncio.sleep(DOWN_CHECK_INTERVAL_S)
        path.unlink(missing_ok=True)

    def _fall(self) -> None:
        """Fall over under too many calls, and get up later."""
        self._record.write(self._name, statements.Kind.FELL)
        self._lose_all(fragility.FALL_S)

    def _lose_all(self, down_s: float) -> None:
        """Lose all calls and connections, and get up later."""
        assert self._server is not None
        self._server.close()
        for writer, task in list(self._connections.items()):
            writer.transport.abort()
            if task is not asyncio.current_task():
                task.cancel()
        if self._getting_up is None or self._getting_up.done():
            self._getting_up = asyncio.ensure_future(self._get_up(down_s))

    async def _get_up(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.listen(self._port)
        self._record.write(self._name, statements.Kind.GOT_UP)

    @property
    def _wants_rest(self) -> bool:
        return "rest-s" in self._says and self._arrivals % 2 == 0

    def _ask_for_rest(self, vm: str) -> list[str]:
        """The header by which a VM that is turned away is asked for rest."""
        rest = self._says.get("rest-s")
        if rest is None:
            return []
        self._record.write(self._name, statements.Kind.ASKED_REST, vm, rest)
        return [f"Rest-S: {rest}"]

    def _tell(self, vm: str) -> list[str]:
        """The headers by which a VM is told what the runner says."""
        told = []
        if "limit-per-s" in self._says:
            self._record.write(self._name, statements.Kind.TOLD_LIMIT, vm)
            told.append(f"Limit-Per-S: {self._says['limit-per-s']}")
        if "leaving" in self._says:
            self._record.write(self._name, statements.Kind.TOLD_LEAVING, vm)
            told.append("Leaving: 1")
        fragile = self._fragility_headers()
        if fragile:
            self._record.write(self._name, statements.Kind.TOLD_FRAGILE, vm)
        return [*told, *fragile]

    def _fragility_headers(self) -> list[str]:
        """The header by which a fragile runner says so."""
        fragile = self._fragile
        if fragile is None:
            return []
        fragile.tell(time.monotonic())
        return [f"Rejections-Per-S: {fragile.rejections_per_s}"]


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {
        name.lower(): value
        for name, _, value in (line.partition(": ") for line in head[1:])
    }
    await reader.readexactly(int(headers["content-length"]))
    return head[0].split()[1], headers


def _response(
    status: int, call_id: str, body: str, *extra_headers: str
) -> bytes:
    return _response_head(
        status, call_id, f"Content-Length: {len(body)}", *extra_headers
    ) + (body.encode())


def _response_head(status: int, call_id: str, *extra_headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Call-Id: {call_id}", "Signed: yes"]
    return "\r\n".join([*lines, *extra_headers, "", ""]).encode()


async def _work(call_id: str, reader: asyncio.StreamReader) -> None:
    """Take the time for an answer, while the VM waits for it.

    :raises OSError: the VM closed the connection meanwhile.
    """
    if not call_id.startswith(LONG_CALL_PREFIX):
        await asyncio.sleep(ANSWER_DELAY_S)
        return
    ends_at = asyncio.get_running_loop().time() + LONG_ANSWER_DELAY_S
    while asyncio.get_running_loop().time() < ends_at:
        await asyncio.sleep(LEFT_CHECK_INTERVAL_S)
        if reader.at_eof():
            raise ConnectionAbortedError("the VM closed the connection")


async def _send_stream(
    call_id: str,
    after: int,
    writer: asyncio.StreamWriter,
    headers: typing.Sequence[str],
    version: str,
    bad: bad_answers.BadAnswers,
) -> None:
    writer.write(
        _response_head(200, call_id, "Transfer-Encoding: chunked", *headers)
    )
    pieces = [
        format_event(call_id, number, version)
        for number in range(after + 1, event_count(call_id) + 1)
    ]
    if bad.spoils_next():
        pieces = bad_answers.spoil(pieces)
    if bad.endless:
        pieces = pieces[: len(pieces) // 2]
    for data in pieces:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    if bad.endless:
        await bad_answers.send_endless(writer, bad.endless)
    writer.write(b"0\r\n\r\n")


async def _main(
    name: str, port: int, journal: str, record: str, version: str
) -> None:
    with open(journal, "a", encoding="utf-8") as file:
        runner = Runner(
            name, file, statements.Record(pathlib.Path(record)), version
        )
        await runner.listen(port)
        print(f"listening host={HOST} port={port}", flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2]), *sys.argv[3:6]))
