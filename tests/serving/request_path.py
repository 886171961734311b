"""The request path of one entry VM with runner stand-ins, on one loop."""

import asyncio
import random

from apricotlever import clock as clocks
from apricotlever.contracts import retry_allowance
from apricotlever.contracts import usage_windows
from apricotlever.serving import call_relay
from apricotlever.serving import caller_server
from apricotlever.serving import configuration_model
from apricotlever.serving import customer_limits
from apricotlever.serving import dialects
from apricotlever.serving import helpers
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runners
from apricotlever.serving import upstreams
from standins import plain_dialect
from tests.serving import memory_store
from tests.serving import runner_standin

HOST = "shop.example"
KEY = "key-of-clerks"
OTHER_KEY = "key-of-guests"


class Reply:
    """A response as its caller received it.

    :param complete: whether the whole response was received.
    """

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


def _route(kind, **options):
    options.setdefault("max_attempts", 2)
    options.setdefault("timeout_s", 5.0)
    return configuration_model.Route(
        "r", HOST, "/s/", (("service", 1.0),), kind, **options
    )


class AlwaysConnected:
    """Takes a VM for one that reaches runners.

    Implements :class:`apricotlever.serving.helpers.Reachability`.
    """

    is_isolated = False
    is_connected = True
    lacks_new_connections = False


class LoopTasks:
    """Starts tasks on a loop, also between two of its runs."""

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._tasks = set()

    def spawn(self, work):
        """Start a task."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _warm_allowance(min_retries):
    """The allowance of retries of a VM that has run for a while."""
    clock = clocks.ManualClock()
    allowance = retry_allowance.RetryAllowance(clock, 0.2, min_retries, 10.0)
    allowance.set_fleet_size(1)
    clock.advance(100.0)
    return allowance


class RequestPath:
    """The request path, its runner stand-ins and a caller."""

    def __init__(
        self,
        name="vm",
        part_modes=None,
        callers=None,
        clock=None,
        reach=None,
        min_retries=20.0,
        data_centre="dc",
        store=None,
    ):
        self.name = name
        self._store = store or memory_store.MemoryStore()
        self.clock = clocks.ManualClock()
        self.directory = directories.RunnerDirectory(self.clock)
        self.directory.confirm()
        self.upstreams = upstreams.Upstreams(
            clock or clocks.SystemClock(),
            random.Random(1),
            name,
            data_centre,
            self.directory,
            part_modes=part_modes,
            paths_changed=self._tell,
        )
        #: Whether the VM lacked paths at each time that others were told.
        self.told = []
        self.limits = customer_limits.CustomerLimits(clocks.SystemClock())
        self.reach = reach or AlwaysConnected()
        self.usage = usage_windows.UsageWindows(self.clock, "vm#1", 5.0)
        self.budget = _warm_allowance(min_retries)
        self.relay = call_relay.CallRelay(
            dialects.Dialect(
                callers or plain_dialect.PlainCallerDialect(),
                plain_dialect.PlainRunnerDialect(name),
                None,
            ),
            self.upstreams,
            self.limits,
            self.budget,
            self.usage,
            random.Random(2),
            helpers.Helpers(
                clocks.SystemClock(), random.Random(3), name, "dc", self.reach
            ),
        )
        self.server = caller_server.CallerServer(self.relay.answer)
        self.standins = []
        self.port = 0
        self.connection = None

    def _tell(self):
        self.told.append(self.upstreams.reach.lacks_paths)

    async def start(self):
        """Start the server for callers."""
        self.port = await self.server.listen("127.0.0.1", 0)
        self.sweeper = asyncio.ensure_future(self.server.sweep_forever())
        self.upstreams.origins.enable_records(
            random.Random(7),
            self._store,
            LoopTasks(),
            self.upstreams.refresh,
            lambda: True,
        )

    async def add_runner(self, behaviour_names, version=""):
        """Start a runner stand-in.

        :param behaviour_names: names of the runner's behaviours.
        :param version: the version of its software.
        """
        name = f"runner-{len(self.standins) + 1}"
        standin = runner_standin.RunnerStandIn(name, behaviour_names)
        standin.version = version
        await standin.start()
        self.standins.append(standin)
        self.directory.apply_entry(
            runners.Runner(
                name,
                "service",
                "127.0.0.1",
                standin.port,
                "dc",
                4,
                revision=1,
                version=version,
            )
        )
        return standin

    def configure(self, kind, limits=None, rate=0.0, **more):
        """Activate a configuration with one route."""
        self.configuration = configuration = configuration_model.Configuration(
            1,
            [_route(kind, **more)],
            [configuration_model.Service("service", 100)],
            [
                configuration_model.Customer(
                    "clerks", frozenset({KEY}), rate=rate, burst=1
                ),
                configuration_model.Customer("guests", frozenset({OTHER_KEY})),
            ],
            limits or configuration_model.CallerLimits(),
        )
        self.limits.configure(configuration)
        self.upstreams.configure(configuration)
        self.relay.configure(configuration)
        self.server.limits = configuration.limits

    async def connect(self):
        """Open a caller's connection."""
        self.connection = await asyncio.open_connection("127.0.0.1", self.port)
        return self.connection

    async def send(self, call_id="call-1", key=KEY, path="/s/x", more=""):
        """Send a call on the open connection."""
        if self.connection is None:
            await self.connect()
        _, writer = self.connection
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nCall-Id: {call_id}\r\n"
            f"Key: {key}\r\n{more}Content-Length: 5\r\n\r\nhello".encode()
        )
        await writer.drain()

    async def receive(self):
        """Read one response."""
        reader, _ = self.connection
        try:
            return await self._read_reply(reader)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.connection = None
            partial = getattr(error, "partial", b"")
            return Reply(0, {}, partial, False)

    async def call(self, **more):
        """Send a call and read its response."""
        await self.send(**more)
        return await self.receive()

    async def call_alone(self, call_id):
        """Send a call on a connection of its own and read its response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /s/x HTTP/1.1\r\nHost: {HOST}\r\nCall-Id: {call_id}\r\n"
            f"Key: {KEY}\r\nContent-Length: 5\r\n\r\nhello".encode()
        )
        try:
            return await self._read_reply(reader)
        finally:
            writer.close()

    async def call_by_http_1_0(self):
        """Send a call by HTTP/1.0 and read until the connection ends.

        :returns: the head, the body, and whether the connection was reset.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /s/x HTTP/1.0\r\nHost: {HOST}\r\nCall-Id: call-1\r\n"
            f"Key: {KEY}\r\nContent-Length: 5\r\n\r\nhello".encode()
        )
        received, was_reset = b"", False
        try:
            while data := await reader.read(4096):
                received += data
        except ConnectionResetError:
            was_reset = True
        finally:
            writer.close()
        head, _, body = received.partition(b"\r\n\r\n")
        return head, body, was_reset

    async def call_with_parts(self, call_id, parts, body=None):
        """Send a call with a prompt on a connection of its own.

        :param parts: the names of the prompt's parts, separated by commas.
        :param body: the call's body; None for the names of the parts.
        """
        body = parts if body is None else body
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /s/x HTTP/1.1\r\nHost: {HOST}\r\nCall-Id: {call_id}\r\n"
            f"Key: {KEY}\r\nParts: {parts}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        try:
            return await self._read_reply(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Reply(0, {}, b"", False)
        finally:
            writer.close()

    async def _read_reply(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = dict(
            line.lower().split(": ", 1) for line in lines[1:] if line
        )
        status = int(lines[0].split()[1])
        if headers.get("transfer-encoding") != "chunked":
            length = int(headers.get("content-length", 0))
            return Reply(
                status, headers, await reader.readexactly(length), True
            )
        body, complete = await self._read_chunks(reader)
        return Reply(status, headers, body, complete)

    async def _read_chunks(self, reader):
        body = bytearray()
        try:
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    return bytes(body), True
                body += data[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            self.connection = None
            return bytes(body), False

    async def stop(self):
        """Stop the server and all runner stand-ins."""
        self.sweeper.cancel()
        self.server.close()
        for standin in self.standins:
            standin.stop()
        await asyncio.sleep(0)
