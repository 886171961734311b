"""Entry VMs that forward calls to each other, on one loop."""

import asyncio

from apricotlever import addresses
from apricotlever.serving import forwarded_calls
from apricotlever.serving import forwarding_protocol
from apricotlever.serving import listening_sockets
from apricotlever.serving import peer_http
from apricotlever.serving import runners
from apricotlever.serving import servers
from apricotlever.vms import vm_records
from tests.serving import request_path
from tests.serving import runner_standin
from tests.support import ports

HOST = "127.0.0.1"
#: Calls in flight at VMs, so that helper stand-ins are tried before them.
VM_LOAD = 20


class Reach:
    """Whether a VM reaches runners, as a test decides."""

    def __init__(self):
        self.is_isolated = False
        self.is_connected = True
        self.lacks_new_connections = False


class Vm(request_path.RequestPath):
    """A VM with its server for other VMs."""

    def __init__(self, name):
        super().__init__(name, reach=Reach())
        self.leaving = False
        self.forwarded = forwarded_calls.ForwardedCalls(
            self.relay, self.reach, lambda: self.leaving
        )
        self.servers = servers.Servers(listening_sockets.ListeningSockets())
        self.peer_port = 0
        self.ports = ports.PortReservations()

    def is_peer(self, host):
        """Accept every host."""
        return True

    async def start(self):
        """Start the servers for callers and for other VMs."""
        await super().start()
        peer_server = peer_http.PeerServer(
            self, {forwarding_protocol.FORWARD_PATH: self.forwarded.answer}
        )
        for name, handler in (
            ("callers", self.relay.answer),
            ("peers", peer_server.answer),
        ):
            address = addresses.Address(HOST, self.ports.reserve())
            await self.servers.listen(name, address, handler)
        self.peer_port = address.port

    def configure(self, kind, limits=None, **more):
        """Activate a configuration with one route."""
        super().configure(kind, limits, **more)
        self.servers.set_limits(self.configuration.limits)

    def record(self, data_centre="dc"):
        """The status record of this VM."""
        return vm_records.VmRecord(
            self.name,
            1,
            1,
            f"{HOST}:{self.peer_port}",
            f"{HOST}:{self.port}",
            data_centre,
            ready=True,
            leaving=self.leaving,
            in_flight={"r": VM_LOAD},
            isolated=self.reach.is_isolated,
        )

    async def stop(self):
        """Stop all servers."""
        self.servers.close()
        self.ports.close()
        await super().stop()


class FirstVm(Vm):
    """The VM whose callers call; the other VMs share its runners.

    :param others: the other VMs.
    :param is_cut: whether its connections to runners are refused.
    """

    def __init__(self, others, is_cut):
        super().__init__("vm-1")
        self.others = others
        self.is_cut = is_cut
        self.helper_standins = []
        self.records = []
        self.data_centre = "dc"
        #: Duration of the last call, in seconds.
        self.took_s = 0.0

    async def start(self):
        """Start all VMs."""
        await super().start()
        for vm in self.others:
            await vm.start()
        self.tell()

    def tell(self):
        """Tell this VM the records of the others and of helper stand-ins."""
        self.records = [vm.record(self.data_centre) for vm in self.others]
        for load, standin in enumerate(self.helper_standins):
            self.records.append(
                vm_records.VmRecord(
                    standin.name,
                    1,
                    1,
                    f"{HOST}:{standin.port}",
                    "",
                    "dc",
                    ready=True,
                    in_flight={"r": load} if load else None,
                )
            )
        self.relay.helpers.set_records(self.records)

    def configure(self, kind, limits=None, **more):
        """Activate a configuration at all VMs."""
        super().configure(kind, limits, **more)
        for vm in self.others:
            vm.configure(kind, limits, **more)

    async def add_runner(self, behaviour_names, version=""):
        """Start a runner stand-in, which the other VMs reach."""
        standin = await super().add_runner(behaviour_names, version)
        (entry,) = (
            runner
            for runner in self.directory.runners
            if runner.name == standin.name
        )
        for vm in self.others:
            vm.directory.apply_entry(entry)
            vm.upstreams.refresh()
        if self.is_cut:
            self.directory.apply_entry(
                runners.Runner(
                    standin.name,
                    "service",
                    HOST,
                    self.ports.reserve(),
                    "dc",
                    4,
                    revision=2,
                    version=version,
                )
            )
        return standin

    async def call(self, **more):
        """Send a call, read its response and measure the time."""
        began_at = asyncio.get_running_loop().time()
        reply = await super().call(**more)
        self.took_s = asyncio.get_running_loop().time() - began_at
        return reply

    async def add_helper(self, behaviour_names):
        """Start a helper stand-in."""
        name = f"helper-{len(self.helper_standins) + 1}"
        standin = HelperStandIn(name, behaviour_names)
        await standin.start()
        self.helper_standins.append(standin)
        self.tell()
        return standin

    async def stop(self):
        """Stop all VMs and stand-ins."""
        for vm in self.others:
            await vm.stop()
        for standin in self.helper_standins:
            standin.stop()
        await super().stop()


class HelperStandIn(runner_standin.RunnerStandIn):
    """A VM to which calls are forwarded, and that does as a test specifies."""

    def __init__(self, name, behaviour_names):
        super().__init__(name, behaviour_names)
        self.forwarded = []

    async def _read_call(self, reader):
        call = await super()._read_call(reader)
        forwarded = forwarding_protocol.ForwardedCall.decode(call["body"])
        self.forwarded.append(forwarded)
        call["call-id"] = forwarded.request_id
        if forwarded.resume_after is not None:
            call["after"] = str(forwarded.resume_after)
        return call
