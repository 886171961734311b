"""A simulated fleet whose calls go to one limited runner.

Calls that would go to the runner arrive at the VMs of a fleet, most of them at
few. The runner names its limit, halves it, lifts it and names it again, while
VMs end and start, are cut off, and messages are lost. Calls without room are
assumed to go to other runners.
"""

import heapq
import itertools
import random
import typing

from apricotlever import clock as clocks
from apricotlever.contracts import limit_keepers
from apricotlever.contracts import token_bucket
from apricotlever.runners import full_runners
from apricotlever.runners import limit_keeper
from apricotlever.runners import stated_limits
from apricotlever.serving import reading_exchange
from apricotlever.serving import runner_limits

RUNNER = "runner"
#: Calls that would go to the runner, as a multiple of its limit.
DEMAND = 3.0
#: The exponent of the VMs' shares of the calls by rank: the first VM gets the
#: most.
SKEW = 0.8
#: Shortest and longest time that a message or a call takes to arrive, and the
#: longest for a call on a new connection.
DELAY_S = (0.0005, 0.003)
CONNECT_S = 0.05
#: How long a runner takes for a response's head, in seconds.
RESPONSE_S = (0.05, 0.4)
#: Time between a VM's records, by which counts are shared in one of the ways.
RECORD_INTERVAL_S = 0.2
#: Time until a VM that ended is no longer considered alive, in seconds.
DETECTION_S = 1.2
DURATION_S = 72.0
#: The runner's limit from each time on, as a multiple of the first one; None
#: while it names none.
LIMIT_STEPS: tuple[tuple[float, float | None], ...] = (
    (2.0, 1.0),
    (20.0, 0.5),
    (26.0, None),
    (28.0, 1.0),
)
#: When the keeper ends and starts again, and when a part of the fleet is cut
#: off from the rest.
KEEPER_ENDS_S, KEEPER_STARTS_S = 8.0, 11.0
CUT_S = (13.0, 16.0)
#: The part of the VMs that is cut off.
CUT_PART = 0.3
Handler = typing.Callable[[], None]
#: Decides on one call of a VM.
Way = typing.Callable[["Fleet", "Vm"], None]


class Network:
    """Runs handlers at their times on a manual clock, and loses messages."""

    def __init__(self, rng: random.Random, loss: float) -> None:
        self.clock = clocks.ManualClock(0.0)
        self.rng = rng
        self._loss = loss
        self._queue: list[tuple[float, int, Handler]] = []
        self._numbers = itertools.count()
        self.messages = 0

    def at(self, when: float, handler: Handler) -> None:
        """Run a handler at a time."""
        heapq.heappush(self._queue, (when, next(self._numbers), handler))

    def after(self, delay_s: float, handler: Handler) -> None:
        """Run a handler after a delay."""
        self.at(self.clock.now() + delay_s, handler)

    def send(self, sender: "Vm", receiver: "Vm", handler: Handler) -> None:
        """Deliver a message to a VM, unless it is lost or can't arrive."""
        self.messages += 1
        if self.rng.random() < self._loss or sender.is_cut != receiver.is_cut:
            return
        delay_s = self.rng.uniform(*DELAY_S)
        self.after(delay_s, lambda: receiver.alive and handler())

    def run(self, until: float) -> None:
        """Run all handlers up to a time."""
        while self._queue and self._queue[0][0] <= until:
            when, _, handler = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, when - self.clock.now()))
            handler()


class Vm:
    """An entry VM: it knows limits, and decides on calls in one way."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.name = name
        self.fleet = fleet
        self.alive = True
        self.is_cut = False
        self.start()

    def start(self) -> None:
        """Begin without any knowledge, as a new process does."""
        clock = self.fleet.network.clock
        self.stated = stated_limits.StatedLimits(clock)
        self.stated.keep_only([RUNNER])
        self.keeper = limit_keeper.LimitKeeper(clock)
        self.keepers = limit_keepers.LimitKeepers(clock, self.name)
        self.full = full_runners.FullRunners(clock)
        self.bucket: token_bucket.TokenBucket | None = None
        self.sent = 0
        self.known_totals: dict[str, int] = {}

    def update_fleet(self) -> None:
        """Learn which other VMs are alive."""
        heard = [
            vm
            for vm in self.fleet.vms
            if vm.is_cut == self.is_cut and vm.seems_alive
        ]
        self.keepers.set_other_vms(vm.name for vm in heard if vm is not self)
        self.keeper.set_share(len(heard) / len(self.fleet.vms))

    @property
    def seems_alive(self) -> bool:
        """Whether the other VMs consider this one alive."""
        ended_at = self.fleet.ended_at.get(self.name)
        now = self.fleet.network.clock.now()
        return self.alive or (
            ended_at is not None and now - ended_at < DETECTION_S
        )

    def learn(self, limit: float | None, age_s: float) -> None:
        """Merge another VM's reading, and pass on a change."""
        if self.stated.merge(RUNNER, limit, age_s, "peer") is not None:
            self.pass_on(reading_exchange.CHANGE_FANOUT)

    def pass_on(self, count: int) -> None:
        """Send the latest reading to some other VMs."""
        reading = self.stated.readings.get(RUNNER)
        if reading is None:
            return
        network = self.fleet.network
        limit, read_at = reading.limit_per_s, reading.read_at
        for peer in network.rng.sample(
            self.fleet.vms, min(count, len(self.fleet.vms))
        ):
            age_s = network.clock.now() - read_at
            network.send(self, peer, lambda p=peer, a=age_s: p.learn(limit, a))

    def receive_response(self, limit: float | None, sent_at: float) -> None:
        """Read what the runner says in a response."""
        if limit is not None:
            change = self.stated.record_named(RUNNER, limit)
        else:
            change = self.stated.record_unnamed(RUNNER, sent_at)
        if change is not None:
            self.pass_on(reading_exchange.CHANGE_FANOUT)


class Fleet:
    """A fleet that sends calls to one limited runner in one of the ways.

    :param way: decides on each call of a VM that knows the limit.
    :param count: number of VMs.
    :param limit: calls a second that the runner takes.
    :param loss: part of the messages that is lost.
    """

    def __init__(
        self, way: Way, count: int, limit: float, seed: int, loss: float
    ) -> None:
        rng = random.Random(seed)
        self.network = Network(rng, loss)
        self._way = way
        self.limit_per_s = limit
        self.ended_at: dict[str, float] = {}
        self.vms: list[Vm] = []
        self.vms = [Vm(f"vm-{n}", self) for n in range(count)]
        self.by_name = {vm.name: vm for vm in self.vms}
        weights = [1.0 / (n + 1) ** SKEW for n in range(count)]
        self._cumulative = list(itertools.accumulate(weights))
        #: Arrival times at the runner, and those that the rule counts.
        self.arrived: list[float] = []
        self.counted: list[float] = []
        self.asks = 0
        self._told_at: dict[str, float] = {}

    def named_limit(self, at: float) -> float | None:
        """The limit that the runner names at a time."""
        factor = None
        for since, each in LIMIT_STEPS:
            if at >= since:
                factor = each
        return None if factor is None else factor * self.limit_per_s

    def run(self) -> None:
        """Play the whole scenario."""
        network = self.network
        keeper = limit_keepers.LimitKeepers(network.clock, self.vms[0].name)
        keeper.set_other_vms(vm.name for vm in self.vms[1:])
        first = next(vm for vm in self.vms if vm.name == keeper.keeper(RUNNER))
        network.at(KEEPER_ENDS_S, lambda: self._end(first))
        network.at(KEEPER_STARTS_S, lambda: self._restart(first))
        network.at(CUT_S[0], lambda: self._cut(True))
        network.at(CUT_S[1], lambda: self._cut(False))
        self._schedule_call()
        for vm in self.vms:
            network.after(
                network.rng.random() * RECORD_INTERVAL_S,
                lambda vm=vm: self._exchange(vm),
            )
        network.run(DURATION_S)

    def send_call(self, vm: Vm) -> None:
        """Send a call from a VM to the runner."""
        network = self.network
        sent_at = network.clock.now()
        vm.sent += 1
        network.after(
            network.rng.uniform(DELAY_S[0], CONNECT_S),
            lambda: self._arrive(vm, sent_at),
        )

    def _arrive(self, vm: Vm, sent_at: float) -> None:
        network = self.network
        now = network.clock.now()
        self.arrived.append(now)
        told_at = self._told_at.get(vm.name)
        if told_at is not None and now - told_at > 0.5 and not vm.is_cut:
            self.counted.append(now)
        response_s = network.rng.uniform(*RESPONSE_S)
        network.after(response_s, lambda: self._respond(vm, sent_at))

    def _respond(self, vm: Vm, sent_at: float) -> None:
        limit = self.named_limit(self.network.clock.now())
        if not vm.alive:
            return
        if limit is not None:
            self._told_at.setdefault(vm.name, self.network.clock.now())
        vm.receive_response(limit, sent_at)

    def _schedule_call(self) -> None:
        network = self.network
        wait_s = network.rng.expovariate(DEMAND * self.limit_per_s)
        network.after(wait_s, self._receive_call)

    def _receive_call(self) -> None:
        vm = self.network.rng.choices(self.vms, cum_weights=self._cumulative)[
            0
        ]
        if vm.alive:
            if vm.stated.reading(RUNNER) is None:
                self.send_call(vm)
            else:
                self._way(self, vm)
        self._schedule_call()

    def _exchange(self, vm: Vm) -> None:
        if vm.alive:
            vm.pass_on(reading_exchange.EXCHANGE_FANOUT)
        self.network.after(
            runner_limits.EXCHANGE_INTERVAL_S, lambda: self._exchange(vm)
        )

    def _end(self, vm: Vm) -> None:
        vm.alive = False
        self.ended_at[vm.name] = self.network.clock.now()

    def _restart(self, vm: Vm) -> None:
        vm.alive = True
        self._told_at.pop(vm.name, None)
        vm.start()

    def _cut(self, is_cut: bool) -> None:
        for vm in self.vms[: int(CUT_PART * len(self.vms))]:
            vm.is_cut = is_cut
