"""VMs that ask for slots over a network whose faults a test chooses."""

import asyncio

import msgpack

from apricotlever import clock as clocks
from apricotlever.contracts import limit_keepers
from apricotlever.runners import slot_requests
from apricotlever.serving import configuration_model
from apricotlever.serving import slot_grants
from apricotlever.serving import slot_keepers
from apricotlever.serving import slot_leases
from apricotlever.serving import slot_protocol

SERVICE = "service"
OBJECTIVE_S = 0.4
TIMEOUT_S = 0.8
#: Time that a message takes, in seconds.
DELAY_S = 0.0005


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time moves to the next timer without waiting.

    On a busy machine, a real one could let timers expire before answers.
    """

    def __init__(self):
        super().__init__()
        self._now = 1000.0

    def time(self):
        """The loop's time in seconds."""
        return self._now

    def now(self):
        """The same, as a clock of the product."""
        return self._now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


class Socket:
    """The socket of one VM, as the protocol uses it."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.handlers = {}
        network.sockets[address] = self

    def add_handler(self, kind, is_valid, handler):
        """Process a kind of message."""
        self.handlers[kind] = (is_valid, handler)

    def send(self, message, address):
        """Send a message as the faults of the network allow."""
        self.network.sent.append(message)
        data = msgpack.packb(message)
        loop = asyncio.get_running_loop()
        for delay_s in self.network.delays(message, self.address, address):
            loop.call_later(delay_s, self.network.deliver, data, self, address)


class Network:
    """Delivers messages, each after the delays that ``delays`` returns."""

    def __init__(self):
        self.sockets = {}
        self.sent = []
        self.delays = lambda message, source, target: [DELAY_S]

    def deliver(self, data, source, address):
        """Pass a message on to its receiver."""
        message = msgpack.unpackb(data)
        is_valid, handler = self.sockets[address].handlers[message[0]]
        assert is_valid(message), message
        handler(message, source.address)


class Fleet:
    """VMs that share the runners of one service."""

    def __init__(self, clock, count, runner_count, slots):
        self.network = Network()
        self.names = [f"vm-{number}" for number in range(count)]
        self.addresses = {name: (name, 1) for name in self.names}
        self.vms = {}
        self.ended = set()
        for name in self.names:
            vm = slot_keepers.SlotKeepers(clock, name, f"{name}#1", "dc")
            vm.enable_protocol(Socket(self.network, self.addresses[name]))
            self.vms[name] = vm
        self.set_runners(
            [f"runner-{n}" for n in range(1, runner_count + 1)], slots
        )
        self.set_parts([self.names])
        self.route = configuration_model.Route(
            "r",
            "host",
            "/",
            ((SERVICE, 1.0),),
            configuration_model.CallKind.NON_IDEMPOTENT,
            objective_s=OBJECTIVE_S,
        )
        #: Granted calls by runner, and the most at a time.
        self.running = {}
        self.most = {}
        self.results = []

    @property
    def keeper(self):
        """The name of the VM that all VMs find as the keeper."""
        keepers = limit_keepers.LimitKeepers(clocks.SystemClock(), "")
        keepers.set_other_vms(self.names, eligible=False)
        return keepers.keeper(slot_grants.keeper_key(SERVICE))

    @property
    def others(self):
        """The names of the VMs that are not the keeper."""
        return [name for name in self.names if name != self.keeper]

    def set_runners(self, runners, slots):
        """Set the runners of the service."""
        for vm in self.vms.values():
            vm.set_runners(
                [
                    slot_requests.Slots(runner, SERVICE, slots, "dc")
                    for runner in runners
                ]
            )

    def set_parts(self, parts):
        """Set which VMs are alive for each other."""
        for part in parts:
            alive = [name for name in part if name not in self.ended]
            for name in alive:
                others = {n: self.addresses[n] for n in alive if n != name}
                self.vms[name].set_fleet(
                    others,
                    others,
                    [f"{n}#1" for n in others],
                    True,
                    len(self.names),
                )

    async def ask(self, name, excluded=(), left_s=TIMEOUT_S):
        """Ask for a slot for a call at a VM."""
        call = slot_leases.SlotCall("call", SERVICE, self.route)
        return await self.vms[name].ask(call, frozenset(excluded), left_s)

    async def call(self, name, seconds):
        """Run a call of some seconds; it is sent somewhere without a slot."""
        asked_at = asyncio.get_running_loop().time()
        lease = await self.ask(name)
        runner = lease.runner if lease is not None else ""
        waited_s = asyncio.get_running_loop().time() - asked_at
        self.results.append((runner, waited_s, lease))
        self.vms[name].settle(lease, runner or "runner-1")
        if runner:
            running = self.running.get((lease.keeper, runner), 0) + 1
            self.running[lease.keeper, runner] = running
            self.most[lease.keeper, runner] = max(
                running, self.most.get((lease.keeper, runner), 0)
            )
        await asyncio.sleep(seconds)
        if runner:
            self.running[lease.keeper, runner] -= 1
        self.vms[name].release(lease)

    async def call_many(self, count, seconds, each_s):
        """Run calls at all VMs in turn, spread over some seconds."""
        tasks = []
        for number in range(count):
            name = self.names[number % len(self.names)]
            tasks.append(asyncio.ensure_future(self.call(name, each_s)))
            await asyncio.sleep(seconds / count)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.01)

    def lease_counts(self):
        """The leases that each VM has granted and that have not ended."""
        return {
            name: vm.ledger.call_count
            for name, vm in self.vms.items()
            if vm.ledger.call_count
        }

    def lose(self, *kinds):
        """Lose all messages of some kinds."""
        self.network.delays = lambda message, source, target: (
            [] if message[0] in kinds else [DELAY_S]
        )

    def cut(self, name):
        """Lose all messages from and to a VM."""
        address = self.addresses[name]
        self.network.delays = lambda message, source, target: (
            [] if address in (source, target) else [DELAY_S]
        )

    def slow(self, name, seconds):
        """Let a VM answer late."""
        address = self.addresses[name]
        self.network.delays = lambda message, source, target: [
            seconds if source == address else DELAY_S
        ]

    def delay(self, kind, name, seconds):
        """Let messages of one kind reach a VM late."""
        address = self.addresses[name]
        self.network.delays = lambda message, source, target: [
            seconds if (message[0], target) == (kind, address) else DELAY_S
        ]

    def heal(self):
        """Deliver all messages again."""
        self.network.delays = lambda message, source, target: [DELAY_S]


ASK, GRANT, RELEASE = (
    slot_protocol.SLOT_ASK,
    slot_protocol.SLOT_GRANT,
    slot_protocol.SLOT_RELEASE,
)
