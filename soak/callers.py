"""Callers of a soak: they look VMs up, keep connections, and remember."""

import asyncio
import itertools
import random
import re
import typing
import urllib.request

from . import fleet

#: A caller's list of VMs is read anew after this time, in seconds.
TTL_S = 1.0
LOOKUP_S = 1.0
PAUSE_S = 0.05
#: How long a caller waits, and says that it waits, in seconds.
PATIENCE_S = 5.0
KEEP_PART = 0.7
LEFTOVER_BYTES = 4096
#: Call id, customer and path of each run.
Ran = typing.Sequence[typing.Sequence[str]]
EVENT = re.compile(rb"id: (\d+)\ndata: (\d+) of (\S+)\n\n")


class Call:
    """One call and what came back.

    :param sent_at: seconds since the soak began.
    :param status: 0 when no whole head came.
    :param complete: whether the answer looked whole.
    """

    def __init__(
        self, call_id: str, prefix: str, vm: str, sent_at: float
    ) -> None:
        self.call_id = call_id
        self.prefix = prefix
        self.vm = vm
        self.sent_at = sent_at
        self.status = 0
        self.body = b""
        self.complete = False
        #: Bytes that followed the answer on its connection.
        self.unasked = b""

    @property
    def served(self) -> bool:
        """Whether a whole success came."""
        return self.status == 200 and self.complete


class Connection:
    """A connection to one VM."""

    def __init__(
        self,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.port = port
        self.reader = reader
        self.writer = writer
        self.closing = False

    async def call(self, call: Call) -> None:
        """Send a call and read its answer into it."""
        self.writer.write(
            f"POST {call.prefix}x HTTP/1.1\r\nHost: {fleet.ROUTE_HOST}\r\n"
            f"Call-Id: {call.call_id}\r\nKey: {fleet.KEY}\r\n"
            f"Wait-S: {PATIENCE_S}\r\nContent-Length: 2\r\n\r\nhi".encode()
        )
        await self.writer.drain()
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {
            name.lower(): value
            for name, _, value in (line.partition(": ") for line in lines[1:])
        }
        call.status = int(lines[0].split()[1])
        self.closing = headers.get("connection", "").lower() == "close"
        if headers.get("transfer-encoding") == "chunked":
            await self._chunks(call)
        else:
            length = int(headers["content-length"])
            call.body = await self.reader.readexactly(length)
        call.complete = True

    async def _chunks(self, call: Call) -> None:
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            call.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)

    async def leftover(self) -> bytes:
        """What has come after the last answer, without waiting."""
        try:
            async with asyncio.timeout(0):
                return await self.reader.read(LEFTOVER_BYTES)
        except (TimeoutError, OSError):
            return b""

    def close(self) -> None:
        """Close at once."""
        self.writer.transport.abort()


class Callers:
    """Some callers that call one after the other, each for itself.

    :param running: the fleet that they call.
    """

    def __init__(self, running: fleet.Fleet, rng: random.Random) -> None:
        self._fleet = running
        self._rng = rng
        self._numbers = itertools.count(1)
        self._began = asyncio.get_running_loop().time()
        self._stopped = False
        self.calls: list[Call] = []

    @property
    def now(self) -> float:
        """Seconds since the soak began."""
        return asyncio.get_running_loop().time() - self._began

    def stop(self) -> None:
        """Let each caller end after its call."""
        self._stopped = True

    async def run(self) -> None:
        """One caller, until all are stopped."""
        ports: list[int] = []
        read_at = float("-inf")
        connection: Connection | None = None
        while not self._stopped:
            if self.now - read_at > TTL_S or not ports:
                ports = await asyncio.to_thread(self._look_up) or ports
                read_at = self.now
            if connection is not None and connection.port not in ports:
                connection.close()
                connection = None
            if ports:
                connection = await self._call(ports, connection)
            await asyncio.sleep(PAUSE_S * self._rng.random())
        if connection is not None:
            connection.close()

    async def _call(
        self, ports: list[int], connection: Connection | None
    ) -> Connection | None:
        prefix = self._rng.choice(fleet.ROUTES)[0]
        port = connection.port if connection else self._rng.choice(ports)
        name = self._vm_at(port)
        call = Call(f"c-{next(self._numbers)}", prefix, name, self.now)
        self.calls.append(call)
        keep = self._rng.random() < KEEP_PART
        try:
            async with asyncio.timeout(PATIENCE_S + 1.0):
                if connection is None:
                    pair = await asyncio.open_connection(fleet.HOST, port)
                    connection = Connection(port, *pair)
                await connection.call(call)
        except (OSError, EOFError, ValueError, TimeoutError):
            if connection is not None:
                connection.close()
            return None
        call.unasked = await connection.leftover()
        if not keep or connection.closing or call.unasked:
            connection.close()
            return None
        return connection

    def _look_up(self) -> list[int]:
        """Ask VMs, in any order, until one answers."""
        for vm in self._rng.sample(self._fleet.vms, len(self._fleet.vms)):
            url = f"http://{fleet.HOST}:{vm.ports['lookups']}/vms"
            try:
                with urllib.request.urlopen(url, timeout=LOOKUP_S) as answer:
                    text = answer.read().decode()
            except OSError:
                continue
            return [int(line.rpartition(":")[2]) for line in text.split()]
        return []

    def _vm_at(self, port: int) -> str:
        names = (v.name for v in self._fleet.vms if v.ports["callers"] == port)
        return next(names, "")


def events_in(body: bytes) -> list[tuple[int, str]]:
    """Number and call of each whole event."""
    return [
        (int(number), call_id.decode())
        for number, _, call_id in EVENT.findall(body)
    ]
