"""Compares ways to place calls on few slots from many VMs."""

import argparse
import asyncio
import itertools
import json
import socket
import time
import typing

import msgpack

from apricotlever import clock as clocks
from apricotlever import log_rate_limiter
from apricotlever.runners import slot_ledger
from apricotlever.runners import slot_requests
from apricotlever.serving import customer_limits
from apricotlever.serving import limit_protocol
from apricotlever.serving import slot_keepers
from apricotlever.serving import slot_leases
from bench import _slot_fleet

#: Runners of the deployments that the specification names.
LOADS = {
    "alike": _slot_fleet.Load((1.0, 1.0, 1.0), 0.045, 0.215, 0.8, False),
    "uneven": _slot_fleet.Load((0.6, 1.0, 1.6), 0.072, 0.355, 2.0, True),
}
#: Slots of each runner by the largest number of VMs: the service must have
#: fewer than the fleet has VMs.
SLOTS = ((18, 2), (1_000_000, 6))


class Today:
    """Each VM chooses by its router and the loads that others reported."""

    def __init__(self, fleet: _slot_fleet.Fleet) -> None:
        self._fleet = fleet

    def place(self, call: _slot_fleet.Call) -> None:
        """Choose by the router."""
        self._fleet.note_free_slots(call)
        self._fleet.send_call(call, self._fleet.choose_as_today(call))

    def ended(
        self, call: _slot_fleet.Call, runner: str, rejected: bool
    ) -> None:
        """Do nothing."""


class TwoChoices(Today):
    """The less loaded of two random runners, by the loads reported."""

    def place(self, call: _slot_fleet.Call) -> None:
        """Compare two runners that the call has not tried."""
        fleet = self._fleet
        left = [n for n in fleet.runners if n not in call.tried]
        pair = fleet.rng.sample(left, min(2, len(left)))
        fleet.note_free_slots(call)
        fleet.send_call(call, min(pair, key=fleet.reported_sum.__getitem__))


class JoinIdleQueue(Today):
    """Each free slot is announced to one VM, which uses it first.

    The VM whose call has ended announces the slot to a random VM.
    """

    def __init__(self, fleet: _slot_fleet.Fleet) -> None:
        super().__init__(fleet)
        self._free: list[list[str]] = [[] for _ in range(fleet.vm_count)]
        for runner in fleet.runners.values():
            for _ in range(runner.slots):
                fleet.rng.choice(self._free).append(runner.name)

    def place(self, call: _slot_fleet.Call) -> None:
        """Take an announced slot, or else a random runner."""
        fleet = self._fleet
        fleet.note_free_slots(call)
        free = self._free[call.vm]
        usable = [name for name in free if name not in call.tried]
        call.state = bool(usable)
        if usable:
            free.remove(usable[0])
            fleet.send_call(call, usable[0])
            return
        left = [n for n in fleet.runners if n not in call.tried]
        fleet.send_call(call, fleet.rng.choice(left))

    def ended(
        self, call: _slot_fleet.Call, runner: str, rejected: bool
    ) -> None:
        """Announce the slot that the call had taken."""
        if call.state:
            target = self._fleet.rng.randrange(self._fleet.vm_count)
            self._fleet.send(
                call.vm, target, lambda: self._free[target].append(runner)
            )


class Keeper:
    """One VM is asked before each attempt, and keeps all leases."""

    def __init__(self, fleet: _slot_fleet.Fleet) -> None:
        self._fleet = fleet
        self._keeper = fleet.rng.randrange(fleet.vm_count)
        load = fleet.load
        median = sorted(load.speeds)[len(load.speeds) // 2]
        self._ledger = slot_ledger.SlotLedger(
            fleet.clock,
            lambda name: median / fleet.runners[name].speed,
            lambda name: fleet.reported_sum[name],
        )
        self._ledger.set_runners(
            slot_requests.Slots(
                runner.name,
                _slot_fleet.SERVICE,
                runner.slots,
                f"dc-{runner.data_centre}",
            )
            for runner in fleet.runners.values()
        )
        self._numbers = itertools.count()
        self._calls: dict[int, _slot_fleet.Call] = {}
        #: The calls of each VM that the keeper knows.
        self._held: list[set[int]] = [set() for _ in range(fleet.vm_count)]
        #: CPU time and number of the keeper's decisions.
        self.cpu_s = 0.0
        self.decisions = 0

    def place(self, call: _slot_fleet.Call) -> None:
        """Ask the keeper, and choose by the router without its answer."""
        fleet = self._fleet
        number = next(self._numbers)
        call.state = [number, ""]
        self._calls[number] = call
        fleet.note_free_slots(call)
        waited_s = fleet.clock.now() - call.arrived_at
        wait_s = slot_leases.WAIT_OBJECTIVE_SHARE * fleet.load.objective_s
        request = slot_requests.Request(
            _slot_fleet.SERVICE,
            frozenset(call.tried),
            f"dc-{call.vm % _slot_fleet.DATA_CENTRES}",
            0,
            max(0.0, wait_s - waited_s),
            max(0.0, fleet.load.timeout_s - waited_s),
        )
        held = frozenset(self._held[call.vm])
        self._held[call.vm].add(number)
        fleet.send(
            call.vm,
            self._keeper,
            lambda: self._decide(number, call.vm, request, held),
        )
        timeout_s = min(limit_protocol.ANSWER_TIMEOUT_S, wait_s)
        fleet.after(timeout_s, lambda: self._give_up(number, False))
        fleet.after(request.wait_s, lambda: self._give_up(number, True))

    def ended(
        self, call: _slot_fleet.Call, runner: str, rejected: bool
    ) -> None:
        """Release the lease."""
        number = call.state[0]
        if number in self._held[call.vm]:
            self._held[call.vm].discard(number)
            self._tell(
                call.vm,
                lambda: self._ledger.release(
                    f"vm-{call.vm}", number, rejected
                ),
            )

    def _decide(
        self,
        number: int,
        vm: int,
        request: slot_requests.Request,
        held: frozenset[int],
    ) -> None:
        started = time.thread_time()
        runner, waits = self._ledger.ask(f"vm-{vm}", number, request, held)
        self.cpu_s += time.thread_time() - started
        self.decisions += 1
        answer = "waiting" if waits else "none"
        self._fleet.send(
            self._keeper, vm, lambda: self._answer(number, runner, answer)
        )
        self._pass_grants_on()

    def _answer(self, number: int, runner: str | None, answer: str) -> None:
        call = self._calls.get(number)
        if call is None:
            return
        if runner is not None:
            del self._calls[number]
            call.state[1] = runner
            self._fleet.send_call(call, runner)
        elif answer == "waiting":
            call.state[1] = answer
        else:
            self._choose_alone(number)

    def _give_up(self, number: int, is_last: bool) -> None:
        call = self._calls.get(number)
        if call is None or (call.state[1] == "waiting" and not is_last):
            return
        if is_last or call.state[1] != "waiting":
            self._choose_alone(number)

    def _choose_alone(self, number: int) -> None:
        call = self._calls.pop(number)
        fleet = self._fleet
        runner = fleet.choose_as_today(call)
        fleet.send_call(call, runner)
        left_s = fleet.load.timeout_s + call.arrived_at - fleet.clock.now()
        self._tell(
            call.vm,
            lambda: self._ledger.move(
                f"vm-{call.vm}", number, runner, max(0.0, left_s)
            ),
        )

    def _tell(self, vm: int, change: _slot_fleet.Handler) -> None:
        def apply() -> None:
            change()
            self._pass_grants_on()

        self._fleet.send(vm, self._keeper, apply)

    def _pass_grants_on(self) -> None:
        for grant in self._ledger.take_grants():
            vm = int(grant.process.removeprefix("vm-"))
            self._fleet.send(
                self._keeper,
                vm,
                lambda g=grant: self._answer(g.number, g.runner, ""),
            )


#: The compared ways.
WAYS: dict[str, typing.Callable[[_slot_fleet.Fleet], _slot_fleet.Way]] = {
    "today": Today,
    "two_choices": TwoChoices,
    "join_idle_queue": JoinIdleQueue,
    "keeper": Keeper,
}


def simulate(
    way: str,
    load: str,
    vms: int,
    use: float,
    seed: int = 1,
    loss: float = 0.0,
    seconds: float = 20.0,
) -> _slot_fleet.Fleet:
    """Run a fleet for some seconds.

    :param way: a name in :data:`WAYS`.
    :param load: a name in :data:`LOADS`.
    :param use: calls as a part of the runners' capacity.
    """
    slots = next(count for most, count in SLOTS if vms <= most)
    fleet = _slot_fleet.Fleet(
        WAYS[way], LOADS[load], vms, slots, use, seed, loss
    )
    fleet.run(seconds)
    return fleet


class _Sink:
    """A UDP socket to which the keeper's messages are sent."""

    def __init__(self) -> None:
        self._target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._target.bind(("127.0.0.1", 0))
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sent_bytes = 0

    def sendto(self, data: bytes, address: typing.Any) -> None:
        """Send a message; what the full buffer drops is not missed."""
        self.sent_bytes += len(data)
        self._socket.sendto(data, self._target.getsockname())


def keeper_cost(vms: int, calls: int = 20_000) -> dict[str, float]:
    """Measure what a call costs the keeper, without reading the socket.

    :returns: CPU time in microseconds, and bytes received and sent with 28 of
        headers for each message.
    """
    clock = clocks.SystemClock()
    transport = limit_protocol.LimitProtocol(
        customer_limits.CustomerLimits(clock),
        lambda host: True,
        log_rate_limiter.LogRateLimiter(clock),
    )
    sink = _Sink()
    transport.connection_made(typing.cast(asyncio.BaseTransport, sink))
    keeper = slot_keepers.SlotKeepers(clock, "vm-0", "vm-0#1", "dc-0")
    keeper.enable_protocol(transport)
    keeper.set_runners(
        [
            slot_requests.Slots(f"i-{n:010x}@{n}", "plain", 6, f"dc-{n}")
            for n in range(3)
        ]
    )
    others = {f"vm-{n}": ("127.0.0.1", 1) for n in range(1, vms)}
    keeper.set_fleet(others, others, [f"{n}#1" for n in others], True, vms)
    first = int(clock.now() * 1e6)
    data = []
    for number in range(first, first + calls):
        process = f"edge-sala-a-{number % vms}#1790000000000"
        ask = [14, process, number, "plain", [], "sala-a", 2, 0.027, 0.8, []]
        release = [16, process, number, False, "", 0.0]
        data += [msgpack.packb(ask), msgpack.packb(release)]
    started = time.thread_time()
    for each in data:
        transport.datagram_received(each, ("127.0.0.1", 1))
    cpu_s = time.thread_time() - started
    return {
        "vms": vms,
        "keeper_cpu_us_per_call": round(1e6 * cpu_s / calls, 1),
        "bytes_in_per_call": sum(map(len, data)) / calls + 56,
        "bytes_out_per_call": sink.sent_bytes / calls + 28,
    }


def run(arguments: typing.Sequence[str]) -> int:
    """Compare the ways at several sizes and loads."""
    parser = argparse.ArgumentParser(prog="python -m bench slots")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--vms", type=int, nargs="+", default=[7, 61, 195])
    parser.add_argument(
        "--use", type=float, nargs="+", default=[0.3, 0.6, 0.85, 1.1]
    )
    parser.add_argument("--ways", nargs="+", default=list(WAYS))
    parser.add_argument(
        "--cost", action="store_true", help="measure a keeper's cost only"
    )
    options = parser.parse_args(arguments)
    if options.cost:
        for vms in options.vms:
            print(json.dumps(keeper_cost(vms)), flush=True)
        return 0
    for load, vms, use, way in itertools.product(
        LOADS, options.vms, options.use, options.ways
    ):
        fleets = [
            simulate(way, load, vms, use, seed, options.loss, options.seconds)
            for seed in range(options.seeds)
        ]
        calls = sum(fleet.finished for fleet in fleets)
        line: dict[str, typing.Any] = {
            "runners": load,
            "vms": vms,
            "use": use,
            "way": way,
            "bad": round(sum(f.bad for f in fleets) / calls, 4),
            "in_time": round(sum(f.in_time for f in fleets) / calls, 4),
            "messages_per_call": round(
                sum(f.messages for f in fleets) / calls, 2
            ),
        }
        keepers = [f.way for f in fleets if isinstance(f.way, Keeper)]
        if keepers:
            line["decision_us"] = round(
                1e6
                * sum(keeper.cpu_s for keeper in keepers)
                / sum(keeper.decisions for keeper in keepers),
                1,
            )
        print(json.dumps(line), flush=True)
    return 0
