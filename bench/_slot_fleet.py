"""A simulated fleet whose calls go to a few plain runners.

A runner runs as many calls as it has slots, queues as many more, and rejects
further ones. Calls arrive at random VMs. VMs tell each other their calls in
flight by status records.
"""

import heapq
import itertools
import random
import typing

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.runners import routing
from apricotlever.vms import vm_records

SERVICE = "plain"
DATA_CENTRES = 3
#: Time that a message takes within a data centre and between two, in seconds.
LOCAL_DELAY_S, REMOTE_DELAY_S = 0.0002, 0.0009
#: Time between two updates of a VM's view of the others' calls, in seconds.
VIEW_INTERVAL_S = 0.1
#: Range of a call's duration as a multiple of the mean one.
DURATION_RANGE = (0.8, 1.2)
#: Runners that may reject a call before it is refused.
MAX_REJECTIONS = 3
#: Moments of slowness: factor, mean length in seconds, and their part of time.
SLOW_FACTOR, SLOW_S, SLOW_PART = 2.5, 0.3, 0.15
Handler = typing.Callable[[], None]


class Load:
    """What a service and its calls are like.

    :param speeds: the speed of each runner.
    :param call_s: mean duration of a call at speed 1.
    :param has_moments: whether the runners are at times slower.
    """

    __slots__ = (
        "speeds",
        "call_s",
        "objective_s",
        "timeout_s",
        "has_moments",
    )

    def __init__(
        self,
        speeds: tuple[float, ...],
        call_s: float,
        objective_s: float,
        timeout_s: float,
        has_moments: bool,
    ) -> None:
        self.speeds = speeds
        self.call_s = call_s
        self.objective_s = objective_s
        self.timeout_s = timeout_s
        self.has_moments = has_moments

    def capacity_per_s(self, slots: int) -> float:
        """Calls a second that the runners can run.

        :param slots: of each runner.
        """
        mean = 1.0
        if self.has_moments:
            mean += SLOW_PART * (SLOW_FACTOR - 1.0)
        return sum(self.speeds) * slots / (self.call_s * mean)


class Call:
    """A call and what became of it.

    :param vm: the VM that received it.
    :param work: its duration as a multiple of the mean one.
    """

    __slots__ = (
        "number",
        "vm",
        "arrived_at",
        "work",
        "rejections",
        "tried",
        "had_to_queue",
        "free_elsewhere",
        "state",
    )

    def __init__(
        self, number: int, vm: int, arrived_at: float, work: float
    ) -> None:
        self.number = number
        self.vm = vm
        self.arrived_at = arrived_at
        self.work = work
        self.rejections = 0
        self.tried: set[str] = set()
        self.had_to_queue = False
        #: Whether a runner had a free slot while the call was held, queued or
        #: rejected.
        self.free_elsewhere = False
        #: What the way of choosing needs to remember.
        self.state: typing.Any = None


class Runner:
    """A runner with its slots and its queue."""

    __slots__ = (
        "name",
        "data_centre",
        "slots",
        "speed",
        "running",
        "queue",
        "slow_until",
        "next_slow_at",
        "_rng",
    )

    def __init__(
        self, number: int, slots: int, speed: float, seed: int
    ) -> None:
        #: Its own source, so that all ways meet the same moments.
        self._rng = rng = random.Random(f"{seed} {number}")
        self.name = f"runner-{number}"
        self.data_centre = number % DATA_CENTRES
        self.slots = slots
        self.speed = speed
        self.running = 0
        self.queue: list[Call] = []
        self.slow_until = 0.0
        self.next_slow_at = rng.expovariate(SLOW_PART / SLOW_S)

    def slowness(self, now: float) -> float:
        """How much slower a call that starts now is."""
        rng = self._rng
        while now >= self.next_slow_at:
            self.slow_until = self.next_slow_at + rng.expovariate(1 / SLOW_S)
            pause_s = SLOW_S * (1 - SLOW_PART) / SLOW_PART
            self.next_slow_at = self.slow_until + rng.expovariate(1 / pause_s)
        return SLOW_FACTOR if now < self.slow_until else 1.0


class Way(typing.Protocol):
    """A way to choose runners."""

    def place(self, call: Call) -> None:
        """Choose a runner, now or later, and send the call to it."""

    def ended(self, call: Call, runner: str, rejected: bool) -> None:
        """Process the end of a call at its runner, as seen by its VM."""


class Fleet:
    """A fleet whose calls go to runners in one of the ways.

    :param create_way: creates the way.
    :param vm_count: number of VMs.
    :param slots: of each runner.
    :param use: calls as a part of the capacity.
    :param loss: part of the messages between VMs that is lost.
    """

    def __init__(
        self,
        create_way: typing.Callable[["Fleet"], Way],
        load: Load,
        vm_count: int,
        slots: int,
        use: float,
        seed: int,
        loss: float,
    ) -> None:
        self.rng = random.Random(seed)
        #: A source of the calls, which are the same for all ways.
        self._call_rng = random.Random(f"{seed} calls")
        self.clock = clocks.ManualClock(0.0)
        self.load = load
        self.vm_count = vm_count
        self.loss = loss
        self.messages = 0
        self._queue: list[tuple[float, int, Handler]] = []
        self._numbers = itertools.count()
        self._per_s = use * load.capacity_per_s(slots)
        self.runners = {
            runner.name: runner
            for runner in (
                Runner(number, slots, speed, seed)
                for number, speed in enumerate(load.speeds)
            )
        }
        #: Calls in flight by VM and runner, and as last reported.
        self.in_flight = [
            dict.fromkeys(self.runners, 0) for _ in range(vm_count)
        ]
        self._reported = [dict(counts) for counts in self.in_flight]
        self.reported_sum = dict.fromkeys(self.runners, 0)
        self.routers = [self._create_router(vm) for vm in range(vm_count)]
        self.finished = self.bad = self.in_time = 0
        self.way = create_way(self)

    def run(self, seconds: float) -> None:
        """Run the fleet."""
        for vm in range(self.vm_count):
            at = self.rng.random() * vm_records.RECORD_INTERVAL_S
            self.after(at, lambda vm=vm: self._report(vm))
            at = self.rng.random() * VIEW_INTERVAL_S
            self.after(at, lambda vm=vm: self._view(vm))
        self._arrive()
        while self._queue[0][0] <= seconds:
            when, _, handler = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, when - self.clock.now()))
            handler()

    def after(self, delay_s: float, handler: Handler) -> None:
        """Run a handler after a delay."""
        heapq.heappush(
            self._queue,
            (self.clock.now() + delay_s, next(self._numbers), handler),
        )

    def send(self, source: int, target: int, handler: Handler) -> None:
        """Send a message from a VM to another one."""
        if source == target:
            handler()
            return
        self.messages += 1
        if self.rng.random() >= self.loss:
            self.after(_delay_s(source, target), handler)

    def choose_as_today(self, call: Call) -> str:
        """Choose a runner by the router of the call's VM."""
        query = models.Query(
            "route",
            SERVICE,
            "",
            excluded=frozenset(call.tried),
            wanted_first_token_s=self.load.objective_s,
        )
        choice = self.routers[call.vm].choose(query)
        if isinstance(choice, models.NoRunner):
            return self.rng.choice(list(self.runners))
        return choice.runner.name

    def send_call(self, call: Call, name: str) -> None:
        """Send a call to a runner."""
        call.tried.add(name)
        self.in_flight[call.vm][name] += 1
        query = models.Query("route", SERVICE, "")
        self.routers[call.vm].request_started(str(call.number), name, query)
        runner = self.runners[name]
        self.after(
            _delay_s(call.vm, runner.data_centre),
            lambda: self._receive(call, runner),
        )

    def note_free_slots(self, call: Call) -> None:
        """Note whether a slot is free while a call is not run."""
        if any(r.running < r.slots for r in self.runners.values()):
            call.free_elsewhere = True

    def _receive(self, call: Call, runner: Runner) -> None:
        if runner.running < runner.slots:
            self._start(call, runner)
            return
        self.note_free_slots(call)
        if len(runner.queue) < runner.slots:
            call.had_to_queue = True
            runner.queue.append(call)
            return
        self._respond(call, runner, rejected=True)

    def _start(self, call: Call, runner: Runner) -> None:
        runner.running += 1
        duration_s = self.load.call_s * call.work
        if self.load.has_moments:
            duration_s *= runner.slowness(self.clock.now())
        self.after(
            duration_s / runner.speed, lambda: self._finish(call, runner)
        )

    def _finish(self, call: Call, runner: Runner) -> None:
        runner.running -= 1
        if runner.queue:
            self._start(runner.queue.pop(0), runner)
        self._respond(call, runner, rejected=False)

    def _respond(self, call: Call, runner: Runner, rejected: bool) -> None:
        self.after(
            _delay_s(call.vm, runner.data_centre),
            lambda: self._end(call, runner, rejected),
        )

    def _end(self, call: Call, runner: Runner, rejected: bool) -> None:
        self.in_flight[call.vm][runner.name] -= 1
        router = self.routers[call.vm]
        if rejected:
            outcome = models.Outcome.CANCELLED
        else:
            outcome = models.Outcome.DONE
            router.first_token(str(call.number))
        router.request_finished(str(call.number), outcome)
        self.way.ended(call, runner.name, rejected)
        if not rejected:
            self._count(call, served=True)
            return
        call.rejections += 1
        if call.rejections < MAX_REJECTIONS:
            self.way.place(call)
        else:
            self._count(call, served=False)

    def _count(self, call: Call, served: bool) -> None:
        took_s = self.clock.now() - call.arrived_at
        late = took_s > self.load.objective_s
        self.finished += 1
        self.in_time += served and not late
        missed = call.rejections or (late and call.had_to_queue)
        self.bad += bool(missed and call.free_elsewhere)

    def _arrive(self) -> None:
        rng = self._call_rng
        vm = rng.randrange(self.vm_count)
        work = rng.uniform(*DURATION_RANGE)
        call = Call(next(self._numbers), vm, self.clock.now(), work)
        self.way.place(call)
        self.after(rng.expovariate(self._per_s), self._arrive)

    def _report(self, vm: int) -> None:
        """Send a VM's status record, which takes no time here."""
        for name, count in self.in_flight[vm].items():
            self.reported_sum[name] += count - self._reported[vm][name]
            self._reported[vm][name] = count
        self.after(vm_records.RECORD_INTERVAL_S, lambda: self._report(vm))

    def _view(self, vm: int) -> None:
        """Let a VM see what the others have reported."""
        own = self._reported[vm]
        for name, runner in self.runners.items():
            others = self.reported_sum[name] - own[name]
            total = others + self.in_flight[vm][name]
            self.routers[vm].observe_load(
                name, models.LoadReport(total, 0, runner.slots)
            )
        self.after(VIEW_INTERVAL_S, lambda: self._view(vm))

    def _create_router(self, vm: int) -> routing.Router:
        router = routing.Router(
            self.clock,
            random.Random(self.rng.random()),
            f"vm-{vm}",
            f"dc-{vm % DATA_CENTRES}",
            "home_or_faster",
        )
        router.set_runners(
            models.Runner(
                runner.name,
                runner.name,
                f"dc-{runner.data_centre}",
                SERVICE,
                "on_demand",
                "",
                1.0,
                runner.slots,
            )
            for runner in self.runners.values()
        )
        return router


def _delay_s(source: int, target: int) -> float:
    """Time from one VM or data centre to another, in seconds."""
    if source % DATA_CENTRES == target % DATA_CENTRES:
        return LOCAL_DELAY_S
    return REMOTE_DELAY_S
