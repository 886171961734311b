"""Entry VMs that share runners of several software versions, on one loop."""

import asyncio
import itertools

from apricotlever import clock as clocks
from apricotlever import log_rate_limiter
from apricotlever.serving import configuration_model
from apricotlever.serving import limit_protocol
from apricotlever.serving import stream_origins
from tests.serving import memory_store
from tests.serving import request_path

HOST = "127.0.0.1"
#: Retries that are always allowed; enough for each stream to break once.
MIN_RETRIES = 100.0
DATA_CENTRES = 3
#: Events of a whole stream.
EVENTS = 6


class Stream:
    """What the caller of one stream received, over all its tries.

    :param call_id: the id of the call that began it.
    """

    def __init__(self, call_id):
        self.call_id = call_id
        #: Number and version of each event.
        self.events = []
        self.complete = False
        #: Status of each try.
        self.statuses = []
        #: Duration of the last try, in seconds.
        self.took_s = 0.0

    @property
    def versions(self):
        """The versions whose events it holds."""
        return {version for _, version in self.events}

    @property
    def is_whole(self):
        """Whether all events came once and in order, with the end."""
        numbers = [number for number, _ in self.events]
        return self.complete and numbers == list(range(1, EVENTS + 1))

    @property
    def last_id(self):
        """Number of the last event."""
        return self.events[-1][0]


class VersionFleet:
    """The request paths of VMs that share runners.

    :param count: number of VMs.
    """

    def __init__(self, count):
        self._names = itertools.count(1)
        self.data_centres = {}
        self._stopped = []
        self._max_attempts = 1
        self._retired = []
        #: What outlives all VMs.
        self.store = memory_store.MemoryStore()
        self.vms = [self._new_vm() for _ in range(count)]
        #: Sockets for messages about streams, by VM.
        self.sockets = {}

    def _new_vm(self, number=None):
        number = number or next(self._names)
        data_centre = f"dc-{number % DATA_CENTRES}"
        vm = request_path.RequestPath(
            f"vm-{number}",
            min_retries=MIN_RETRIES,
            data_centre=data_centre,
            store=self.store,
        )
        self.data_centres[vm.name] = data_centre
        return vm

    async def start(self, max_attempts):
        """Start the VMs with a route for streams that may be resumed."""
        self._max_attempts = max_attempts
        for vm in self.vms:
            await self._start_vm(vm, max_attempts)
        self.connect(self.vms)

    async def _start_vm(self, vm, max_attempts):
        await vm.start()
        vm.configure(
            configuration_model.CallKind.STREAM,
            resumable=True,
            max_attempts=max_attempts,
        )
        socket = limit_protocol.LimitProtocol(
            vm.limits,
            lambda host: True,
            log_rate_limiter.LogRateLimiter(clocks.SystemClock()),
        )
        await socket.listen(HOST, 0)
        self.sockets[vm.name] = socket
        vm.upstreams.origins.enable_protocol(socket)

    async def kill_all(self):
        """End all VMs; the runners serve on."""
        for vm in self.vms:
            self._end(vm)

    async def restart(self, indices=None):
        """Start VMs again, which read the runners from the platform.

        :param indices: of the VMs, which end before; all by default.
        """
        listed = [
            runner
            for runner in self.vms[0].directory.runners
            if not runner.leaving
        ]
        everyone = range(len(self.vms))
        for index in everyone if indices is None else indices:
            old = self.vms[index]
            self._end(old)
            self._retired.append(old)
            self.vms[index] = vm = self._new_vm(index + 1)
            vm.standins = old.standins
            await self._start_vm(vm, self._max_attempts)
            vm.directory.apply_list(listed, 2)
            vm.upstreams.refresh()
        self.connect(self.vms)

    def _end(self, vm):
        self.sockets[vm.name].close()
        vm.sweeper.cancel()
        vm.server.close()

    async def wait_until_admitted(self):
        """Wait until streams may begin at all versions."""
        while any(vm.upstreams.origins.held for vm in self.vms):
            await asyncio.sleep(0.001)

    def remove_version(self, version):
        """Remove the entries of a version's runners, which serve on."""
        for vm in self.vms:
            for runner in vm.directory.runners:
                if runner.version == version:
                    vm.directory.mark_ended(runner.runner_id)
            vm.upstreams.refresh()

    def connect(self, alive):
        """Tell all VMs which ones are alive."""
        for vm in self.vms:
            peers = {
                other.name: stream_origins.Peer(
                    (HOST, self.sockets[other.name].port),
                    self.data_centres[other.name],
                )
                for other in self.vms
                if other in alive and other is not vm
            }
            vm.upstreams.origins.set_fleet(peers, True)

    def silence(self, indices):
        """Let VMs send and answer no message any more, as if killed."""
        for index in indices:
            self.sockets[self.vms[index].name].close()

    def stop_vm(self, index):
        """Let a VM hand its records over and end; the others are told."""
        vm = self.vms[index]
        vm.upstreams.origins.hand_over()
        self.sockets[vm.name].close()
        self._stopped.append(vm)
        self.connect([each for each in self.vms if each not in self._stopped])

    async def join(self, max_attempts):
        """Start one more VM, which knows the runners."""
        vm = self._new_vm()
        self.vms.append(vm)
        await self._start_vm(vm, max_attempts)
        for runner in self.vms[0].directory.runners:
            vm.directory.apply_entry(runner)
        vm.upstreams.refresh()
        self.connect(self.vms)

    async def add_runner(self, version, behaviour, without=None):
        """Start a runner of a version that all VMs know.

        :param without: index of a VM that doesn't learn of it; None for none.
        """
        standin = await self.vms[0].add_runner([behaviour], version)
        for index in range(len(self.vms)):
            if index != without:
                self.read_store(index)
        if without is None:
            await self.wait_until_admitted()
        return standin

    def read_store(self, index):
        """Let a VM learn of all runners."""
        vm = self.vms[index]
        vm.directory.apply_list(self.vms[0].directory.runners, 1)
        vm.upstreams.refresh()

    def leave(self, index):
        """Announce that a runner, given by its index, leaves."""
        for vm in self.vms:
            name = self.vms[0].standins[index].name
            entry = vm.directory.get(name).as_leaving()
            entry.revision += 1
            vm.directory.apply_entry(entry)
            vm.upstreams.refresh()

    async def call(self, index, call_id):
        """Make a call at one VM, given by its index, and read all of it."""
        stream = Stream(call_id)
        await self._try(stream, index, call_id, "", EVENTS + 1)
        return stream

    async def begin(self, index, call_id, events=3):
        """Make a call whose connection is closed after some events."""
        stream = Stream(call_id)
        await self._try(stream, index, call_id, "", events)
        return stream

    async def resume(self, stream, index, call_id, resumes=None, key=None):
        """Resume a stream at a VM.

        :param resumes: what the caller says of the call that began the
            stream; the truth by default.
        """
        resumes = stream.call_id if resumes is None else resumes
        more = f"After: {stream.last_id}\r\n"
        if resumes:
            more += f"Resumes: {resumes}\r\n"
        await self._try(stream, index, call_id, more, EVENTS + 1, key)

    async def _try(self, stream, index, call_id, more, events, key=None):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reader, writer = await asyncio.open_connection(
            HOST, self.vms[index].port
        )
        writer.write(
            f"POST /s/x HTTP/1.1\r\nHost: {request_path.HOST}\r\n"
            f"Call-Id: {call_id}\r\nKey: {key or request_path.KEY}\r\n{more}"
            "Content-Length: 5\r\n\r\nhello".encode()
        )
        try:
            await self._read(stream, reader, events)
        finally:
            writer.transport.abort()
            stream.took_s = loop.time() - started_at

    async def _read(self, stream, reader, events):
        head = await reader.readuntil(b"\r\n\r\n")
        stream.statuses.append(int(head.split()[1]))
        if stream.statuses[-1] != 200:
            return
        first = len(stream.events)
        try:
            while len(stream.events) - first < events:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    stream.complete = True
                    return
                stream.events += map(_decode, data.strip().split(b"\n\n"))
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    async def stop(self):
        """Stop all VMs and runners."""
        for socket in self.sockets.values():
            socket.close()
        for vm in self.vms:
            await vm.stop()
        await asyncio.sleep(0)


def _decode(event):
    number, data = event.split(b"\n")
    return (
        int(number.removeprefix(b"id: ")),
        data.removeprefix(b"data: ").decode(),
    )
