"""Callers of a soak test, which record each call and its answer."""

import asyncio
import itertools
import random
import re
import time
import typing
import urllib.request

from . import fleet
from . import runner

#: Time after which a caller looks the VMs up again, in seconds.
LOOKUP_TTL_S = 1.0
LOOKUP_TIMEOUT_S = 1.0
MAX_PAUSE_S = 0.05
#: The deadline that a caller declares in each call, in seconds.
CALL_TIMEOUT_S = 5.0
#: Probability that a connection is kept open after a call.
KEEP_ALIVE_PROBABILITY = 0.7
#: Probability that a caller leaves before the end of a long call, where
#: callers do, and the shortest and longest time after which it does.
LEAVE_PROBABILITY = 0.15
LEAVE_AFTER_S = (0.1, 0.6)
TRAILING_READ_BYTES = 4096
#: Call id, customer and path of each execution on a runner.
Executions = typing.Sequence[typing.Sequence[str]]
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: (\d+) of (\S+) at (\S+)\n\n")
#: Probability that a caller drops the connection of a stream that may be
#: resumed, where callers resume streams, and after how many events.
DROP_PROBABILITY = 0.4
DROP_AFTER_EVENTS = (1, 4)
#: How often a caller takes a broken stream up again, and how long it waits
#: before, in seconds.
MAX_RESUMPTIONS = 2
RESUME_AFTER_S = (0.0, 0.3)
RESUMABLE_PREFIX = "/stream-on/"


class Call:
    """One call and its answer.

    :param prefix: path prefix of the route.
    :param vm: name of the VM that the call is sent to.
    :param sent_at: seconds since the start of the soak test.
    :param after: number of the last event that the caller has of the stream
        that the call resumes; 0 for a new one.
    """

    def __init__(
        self,
        call_id: str,
        prefix: str,
        vm: str,
        sent_at: float,
        after: int = 0,
    ) -> None:
        self.after = after
        self.call_id = call_id
        self.prefix = prefix
        self.vm = vm
        self.sent_at = sent_at
        #: Seconds from sending the call to the end of its answer, or to the
        #: loss of its connection.
        self.duration_s = 0.0
        #: HTTP status; 0 unless the head of an answer was read.
        self.status = 0
        self.body = b""
        #: Whether the answer was read up to its declared end.
        self.complete = False
        #: Seconds from sending the call until the caller gave it up; None if
        #: it didn't.
        self.left_after_s: float | None = None
        #: After how many events the caller drops the connection, to take the
        #: stream up again; 0 if it doesn't.
        self.drop_after = 0
        #: Bytes received after the end of the answer.
        self.trailing_bytes = b""
        #: The body of the request.
        self.request_body = "hi"
        #: The names of the prompt's parts, separated by commas; "" without a
        #: prompt.
        self.parts = ""
        #: The version at which the stream began that the call resumes.
        self.version = ""

    @property
    def served(self) -> bool:
        """Whether a complete answer with status 200 was received."""
        return self.status == 200 and self.complete

    @property
    def has_gone_on(self) -> bool:
        """Whether an event came, or the end of a stream with none left."""
        return self.served or bool(parse_events(self.body))


class Connection:
    """Keep-alive connection to one VM."""

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

    async def send(self, call: Call, wait_s: float = CALL_TIMEOUT_S) -> None:
        """Send a call and store its answer in it.

        :param wait_s: the deadline that the call declares, in seconds.
        """
        lines = [
            f"POST {call.prefix}x HTTP/1.1",
            f"Host: {fleet.ROUTE_HOST}",
            f"Call-Id: {call.call_id}",
            f"Key: {fleet.API_KEY}",
            f"Wait-S: {wait_s}",
            f"Content-Length: {len(call.request_body)}",
        ]
        if call.parts:
            lines.append(f"Parts: {call.parts}")
        if call.after:
            lines.append(f"After: {call.after}")
            lines.append(f"Resumes: {stream_id(call.call_id)}")
        request = "\r\n".join([*lines, "", call.request_body])
        self.writer.write(request.encode())
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
            await self._read_chunks(call)
        else:
            length = int(headers["content-length"])
            call.body = await self.reader.readexactly(length)
        call.complete = True

    async def _read_chunks(self, call: Call) -> None:
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            call.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if 0 < call.drop_after <= len(parse_events(call.body)):
                raise ConnectionAbortedError("the caller has dropped it")
        await self.reader.readexactly(2)

    async def read_trailing_bytes(self) -> bytes:
        """Return bytes received after the last answer, without waiting."""
        try:
            async with asyncio.timeout(0):
                return await self.reader.read(TRAILING_READ_BYTES)
        except (TimeoutError, OSError):
            return b""

    def close(self) -> None:
        """Close the connection without waiting for unsent data."""
        self.writer.transport.abort()


class CallerGroup:
    """Independent callers; each sends one call at a time.

    :param test_fleet: the fleet that the callers call.
    :param rng: source of all random choices of the callers.
    :param leave_rng: source of the choices which calls the callers give up;
        None if they give none up.
    :param resume_rng: source of the choices how streams are taken up again;
        None if they are not.
    """

    def __init__(
        self,
        test_fleet: fleet.Fleet,
        rng: random.Random,
        leave_rng: random.Random | None = None,
        resume_rng: random.Random | None = None,
    ) -> None:
        self._resume_rng = resume_rng
        self._drops = True
        self._leave_rng = leave_rng
        self._fleet = test_fleet
        self._rng = rng
        self._call_numbers = itertools.count(1)
        self._started_at = asyncio.get_running_loop().time()
        self._stopped = False
        self.calls: list[Call] = []
        #: The calls that resume a stream.
        self.resumptions: list[Call] = []
        #: When a VM's list of VMs was empty, on the machine's monotonic clock.
        self.empty_lookups: list[float] = []

    @property
    def started_at(self) -> float:
        """The start of the soak test, on the event loop's clock."""
        return self._started_at

    @property
    def elapsed_s(self) -> float:
        """Seconds since the start of the soak test."""
        return asyncio.get_running_loop().time() - self._started_at

    def stop(self) -> None:
        """Let each caller end after its current call."""
        self._stopped = True

    async def run(self, vm: fleet.VmProcess | None = None) -> None:
        """Run one caller until :meth:`stop` is called.

        It keeps using a connection until the VM closes it.

        :param vm: the only VM that the caller calls; None for those that the
            lookups name.
        """
        ports = [vm.ports["callers"]] if vm else []
        looked_up_at_s = float("-inf")
        connection: Connection | None = None
        while not self._stopped:
            if vm is None and (
                self.elapsed_s - looked_up_at_s > LOOKUP_TTL_S or not ports
            ):
                ports = await asyncio.to_thread(self._look_up) or ports
                looked_up_at_s = self.elapsed_s
            if ports:
                connection = await self._send_call(ports, connection, vm)
            await asyncio.sleep(MAX_PAUSE_S * self._rng.random())
        if connection is not None:
            connection.close()

    async def _send_call(
        self,
        ports: list[int],
        connection: Connection | None,
        vm: fleet.VmProcess | None,
    ) -> Connection | None:
        prefix = self._rng.choice(fleet.ROUTES)[0]
        port = connection.port if connection else self._rng.choice(ports)
        vm_name = self._vm_name(port)
        leave_after_s = self._draw_leaving()
        kind = "c-" if leave_after_s is None else runner.LONG_CALL_PREFIX
        call = Call(
            f"{kind}{next(self._call_numbers)}",
            prefix,
            vm_name,
            self.elapsed_s,
        )
        self.calls.append(call)
        if leave_after_s is None:
            call.drop_after = self._draw_drop(prefix)
        keep = self._rng.random() < KEEP_ALIVE_PROBABILITY
        limit_s = leave_after_s or CALL_TIMEOUT_S + 1.0
        try:
            async with asyncio.timeout(limit_s):
                if connection is None:
                    streams = await asyncio.open_connection(fleet.HOST, port)
                    connection = Connection(port, *streams)
                await connection.send(call)
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            call.duration_s = self.elapsed_s - call.sent_at
            left = leave_after_s is not None and isinstance(
                error, TimeoutError
            )
            if left or isinstance(error, ConnectionAbortedError):
                call.left_after_s = call.duration_s
            if connection is not None:
                connection.close()
            await self._resume(call, vm)
            return None
        call.duration_s = self.elapsed_s - call.sent_at
        call.trailing_bytes = await connection.read_trailing_bytes()
        if not keep or connection.closing or call.trailing_bytes:
            connection.close()
            return None
        return connection

    def stop_dropping(self) -> None:
        """Let callers read all streams to their ends from now on."""
        self._drops = False

    def _draw_drop(self, prefix: str) -> int:
        """Draw after how many events a stream is dropped; 0 if it is not."""
        rng = self._resume_rng
        if rng is None or prefix != RESUMABLE_PREFIX or not self._drops:
            return 0
        dropped = rng.random() < DROP_PROBABILITY
        return rng.randint(*DROP_AFTER_EVENTS) if dropped else 0

    async def _resume(self, call: Call, vm: fleet.VmProcess | None) -> None:
        """Take a broken stream up again at any VM."""
        rng = self._resume_rng
        if rng is None or call.prefix != RESUMABLE_PREFIX:
            return
        first, received = call, call.body
        for number in range(1, MAX_RESUMPTIONS + 1):
            events = parse_events(received)
            left = first.left_after_s is not None and not first.drop_after
            if call.served or left or not events:
                return
            await asyncio.sleep(rng.uniform(*RESUME_AFTER_S))
            port = (vm or rng.choice(self._fleet.vms)).ports["callers"]
            call = Call(
                f"{first.call_id}.{number}",
                first.prefix,
                self._vm_name(port),
                self.elapsed_s,
                events[-1][0],
            )
            call.version = versions(received)[-1]
            self.resumptions.append(call)
            await self.send_alone(call, port)
            received += call.body

    async def send_alone(self, call: Call, port: int) -> None:
        """Send a call on a connection of its own."""
        connection: Connection | None = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + 1.0):
                streams = await asyncio.open_connection(fleet.HOST, port)
                connection = Connection(port, *streams)
                await connection.send(call)
        except (OSError, EOFError, ValueError, TimeoutError):
            # What came until then stays in the call.
            pass
        finally:
            call.duration_s = self.elapsed_s - call.sent_at
            if connection is not None:
                connection.close()

    def _draw_leaving(self) -> float | None:
        """Draw after how many seconds a caller leaves; None if it stays."""
        rng = self._leave_rng
        if rng is None or rng.random() >= LEAVE_PROBABILITY:
            return None
        return rng.uniform(*LEAVE_AFTER_S)

    def _look_up(self) -> list[int]:
        """Ask the VMs in random order until one answers.

        :returns: ports of the VMs to call; empty when no VM answered.
        """
        for vm in self._rng.sample(self._fleet.vms, len(self._fleet.vms)):
            url = f"http://{fleet.HOST}:{vm.ports['lookups']}/vms"
            try:
                with urllib.request.urlopen(
                    url, timeout=LOOKUP_TIMEOUT_S
                ) as answer:
                    text = answer.read().decode()
            except OSError:
                continue
            if not text.split():
                self.empty_lookups.append(time.monotonic())
            return [int(line.rpartition(":")[2]) for line in text.split()]
        return []

    def _vm_name(self, port: int) -> str:
        names = (v.name for v in self._fleet.vms if v.ports["callers"] == port)
        return next(names, "")


def stream_id(call_id: str) -> str:
    """The id of the call that began a call's stream."""
    return call_id.partition(".")[0]


def parse_events(body: bytes) -> list[tuple[int, str]]:
    """Return number and call id of each complete event."""
    return [
        (int(number), call_id.decode())
        for number, _, call_id, _ in EVENT_PATTERN.findall(body)
    ]


def versions(body: bytes) -> list[str]:
    """Return the version of the runner that wrote each complete event."""
    return [match[3].decode() for match in EVENT_PATTERN.findall(body)]
