"""A simulated fleet whose calls go to runners that fall over.

VMs exchange messages and status records on a manual clock.
"""

import heapq
import itertools
import random
import typing

from apricotlever import clock as clocks
from bench import _brittle_runner

#: How long messages, calls and responses are on the way, in seconds.
DELAY_S = (0.0002, 0.0009)
#: Part of the calls that need a new connection, and how long it takes at most.
CONNECT_PART, CONNECT_S = 0.02, 0.015
#: Time between two status records of a VM, and until they are known.
RECORD_S, RECORD_DELAY_S = 0.2, 0.05
#: Time between the end or cut of a VM and its absence from the others' lists.
DETECTION_S = 1.2
#: How long a runner that fell over takes no calls, in seconds.
FALL_S = 3.0
#: How long a VM avoids a runner whose call broke, in seconds.
DOWN_S = 1.0
#: Attempts of a call until it is refused.
MAX_ATTEMPTS = 3
#: The part of the VMs that is cut off, and the lateness of late messages.
CUT_PART, LATE_S = 0.3, (0.2, 1.0)
#: Part of the VMs that gets a hot customer's calls, and its part of all calls.
HOT_VMS, HOT_CALLS = 0.1, 0.8
#: Part of the messages that is lost when any are.
LOSS = 0.01
#: Part of the room that must be free for a refusal to count as a wrong one.
FREE_PART = 0.1
Handler = typing.Callable[[], None]


class Fleet:
    """A fleet that sends calls in one of the ways."""

    def __init__(
        self,
        case: _brittle_runner.Case,
        create_way: typing.Callable[["Fleet"], _brittle_runner.Way],
    ) -> None:
        self.case = case
        self.kind = _brittle_runner.KINDS[case.kind]
        self.clock = clocks.ManualClock(0.0)
        self.rng = random.Random(case.seed)
        #: A source of the calls, which are the same for all ways.
        self._call_rng = random.Random(f"{case.seed} calls")
        self._queue: list[tuple[float, int, Handler]] = []
        self._numbers = itertools.count()
        self._call_numbers = itertools.count()
        self.runners = [
            _brittle_runner.Runner(n, case.slots) for n in range(case.runners)
        ]
        self.messages = self.arrived = self.in_time = 0
        self.refused = self.refused_with_room = 0
        vms = range(case.vms)
        #: Calls in flight by VM and runner, and as last reported.
        self.in_flight: list[dict[int, int]] = [{} for _ in vms]
        self.reported: list[dict[int, int]] = [{} for _ in vms]
        self._reports_due: set[int] = set()
        self._phases = [self.rng.random() * RECORD_S for _ in vms]
        self.down: list[dict[int, float]] = [{} for _ in vms]
        self.cut_vms = frozenset(vms[: int(CUT_PART * case.vms)])
        self.is_cut = self.knows_cut = False
        self.ended_vms: set[int] = set()
        self.known_ended: set[int] = set()
        #: Reported calls by whether the VM is one that is cut, and runner.
        self._sums = [[0] * case.runners for _ in range(2)]
        self._hot = range(max(1, int(HOT_VMS * case.vms)))
        mean_s = sum(self.kind.call_s) / 2.0
        self._per_s = case.runners * case.slots / mean_s
        self.way = create_way(self)

    @property
    def falls(self) -> int:
        """How often runners fell over by calls of VMs that were not cut."""
        return sum(runner.falls for runner in self.runners)

    @property
    def breaks_rule(self) -> bool:
        """Whether the runners fell over too often."""
        return self.falls > 2 + len(self.runners) / 10

    def run(self) -> None:
        """Run the fleet."""
        span_s = self.kind.span_s
        self.after(_brittle_runner.FRAGILE_FROM * span_s, self._become_fragile)
        self.after(
            _brittle_runner.TROUBLE_FROM * span_s, lambda: self._trouble(True)
        )
        self.after(
            _brittle_runner.TROUBLE_TO * span_s, lambda: self._trouble(False)
        )
        self._arrive()
        queue, clock = self._queue, self.clock
        while queue[0][0] <= span_s:
            when, _, handler = heapq.heappop(queue)
            clock.advance(max(0.0, when - clock.now()))
            handler()

    def after(self, delay_s: float, handler: Handler) -> None:
        """Run a handler after a delay."""
        heapq.heappush(
            self._queue,
            (self.clock.now() + delay_s, next(self._numbers), handler),
        )

    def send(
        self, source: int, target: int, handler: Handler, may_be_late: bool
    ) -> None:
        """Send a message from a VM to another one, where it may be lost.

        :param may_be_late: whether the trouble of late ends is for it.
        """
        if source == target:
            handler()
            return
        self.messages += 1
        if not self.hears(source, target) or (
            self._is_on("lossy") and self.rng.random() < LOSS
        ):
            return
        delay_s = self.rng.uniform(*DELAY_S)
        if may_be_late and self._is_on("late_ends"):
            delay_s += self.rng.uniform(*LATE_S)

        def receive() -> None:
            if target not in self.ended_vms:
                handler()

        self.after(delay_s, receive)

    def hears(self, vm: int, other: int) -> bool:
        """Whether messages of a VM arrive at another one."""
        return not self.is_cut or self._is_in_cut(vm) == self._is_in_cut(other)

    def seems_alive(self, vm: int, other: int) -> bool:
        """Whether a VM has the other one in its list."""
        if other in self.known_ended:
            return False
        return not self.knows_cut or (
            self._is_in_cut(vm) == self._is_in_cut(other)
        )

    def heard_share(self, vm: int) -> float:
        """The part of the fleet that a VM hears from."""
        if not self.knows_cut:
            return 1.0 - len(self.known_ended) / self.case.vms
        cut = len(self.cut_vms) / self.case.vms
        return cut if self._is_in_cut(vm) else 1.0 - cut

    def known_calls(self, vm: int, runner: int) -> int:
        """The calls at a runner as a VM knows them."""
        own = self.in_flight[vm].get(runner, 0)
        return (
            self.reported_calls(vm, runner)
            - self.reported[vm].get(runner, 0)
            + own
        )

    def reported_calls(self, vm: int, runner: int) -> int:
        """The calls at a runner by the last records that a VM knows."""
        if self.knows_cut:
            return self._sums[self._is_in_cut(vm)][runner]
        return self._sums[0][runner] + self._sums[1][runner]

    def usable(self, call: _brittle_runner.Call) -> list[int]:
        """The runners that a call may be sent to."""
        now, down = self.clock.now(), self.down[call.vm]
        return [
            n
            for n in range(self.case.runners)
            if n not in call.tried and down.get(n, 0.0) <= now
        ]

    def send_call(self, call: _brittle_runner.Call, number: int) -> None:
        """Send a call to a runner."""
        call.attempts += 1
        call.tried.add(number)
        self._count_in_flight(call.vm, number, 1)
        delay_s = self.rng.uniform(*DELAY_S)
        if self.rng.random() < CONNECT_PART:
            delay_s += self.rng.random() * CONNECT_S
        runner = self.runners[number]
        self.after(delay_s, lambda: self._receive(call, runner))

    def refuse(self, call: _brittle_runner.Call) -> None:
        """Refuse a call for good."""
        if not self._counts(call):
            return
        self.refused += 1
        now = self.clock.now()
        up = [r for r in self.runners if r.down_until <= now]
        free = sum(max(0, r.room - len(r.running)) for r in up)
        room = sum(runner.room for runner in up)
        self.refused_with_room += free > max(1.0, FREE_PART * room)

    def is_fragile(self, number: int) -> bool:
        """Whether VMs know a runner as fragile."""
        case = self.case
        return case.is_fragile and (
            number == 0 or case.trouble != "one_fragile"
        )

    def _is_in_cut(self, vm: int) -> bool:
        return vm in self.cut_vms

    def _is_on(self, trouble: str) -> bool:
        if self.case.trouble != trouble:
            return False
        since = self.clock.now() / self.kind.span_s
        return (
            _brittle_runner.TROUBLE_FROM <= since < _brittle_runner.TROUBLE_TO
        )

    def _counts(self, call: _brittle_runner.Call) -> bool:
        return (
            call.arrived_at >= _brittle_runner.FRAGILE_FROM * self.kind.span_s
        )

    def _is_in_time(self, call: _brittle_runner.Call) -> bool:
        waited_s = call.started_at - call.arrived_at
        return self._counts(call) and waited_s <= self.kind.objective_s

    # The runners.

    def _become_fragile(self) -> None:
        for runner in self.runners:
            if self.is_fragile(runner.number):
                runner.bears = self.case.bears
                runner.queue_size = 0
                while runner.queue:
                    self._respond(runner.queue.popleft(), runner, "broken")

    def _receive(
        self, call: _brittle_runner.Call, runner: _brittle_runner.Runner
    ) -> None:
        now = self.clock.now()
        if runner.down_until > now:
            self._respond(call, runner, "broken")
        elif len(runner.running) < runner.room:
            self._start(call, runner)
        elif len(runner.queue) < runner.queue_size:
            runner.queue.append(call)
        else:
            self._respond(call, runner, "rejected")
            if runner.reject(now, self.is_cut and self._is_in_cut(call.vm)):
                self._fall(runner)

    def _start(
        self, call: _brittle_runner.Call, runner: _brittle_runner.Runner
    ) -> None:
        runner.running[call.number] = call
        call.started_at = self.clock.now()

        def finish() -> None:
            if runner.running.get(call.number) is not call:
                return
            del runner.running[call.number]
            if runner.queue and len(runner.running) < runner.room:
                self._start(runner.queue.popleft(), runner)
            self._respond(call, runner, "done")

        self.in_time += self._is_in_time(call)
        self.after(call.duration_s, finish)

    def _fall(self, runner: _brittle_runner.Runner) -> None:
        runner.down_until = self.clock.now() + FALL_S
        broken = [*runner.running.values(), *runner.queue]
        self.in_time -= sum(map(self._is_in_time, runner.running.values()))
        runner.running.clear()
        runner.queue.clear()
        for call in broken:
            self._respond(call, runner, "broken")

    def _respond(
        self,
        call: _brittle_runner.Call,
        runner: _brittle_runner.Runner,
        outcome: str,
    ) -> None:
        delay_s = self.rng.uniform(*DELAY_S)
        self.after(delay_s, lambda: self._end(call, runner.number, outcome))

    # The VMs.

    def _end(
        self, call: _brittle_runner.Call, number: int, outcome: str
    ) -> None:
        vm = call.vm
        self._count_in_flight(vm, number, -1)
        if vm in self.ended_vms:
            return
        self.way.ended(call, number, outcome == "rejected")
        if outcome == "done":
            return
        if outcome == "broken":
            self.down[vm][number] = self.clock.now() + DOWN_S
        waited_s = self.clock.now() - call.arrived_at
        if call.attempts < MAX_ATTEMPTS and waited_s < self.kind.timeout_s:
            self.way.place(call)
        else:
            self.refuse(call)

    def _arrive(self) -> None:
        rng = self._call_rng
        vm = rng.randrange(self.case.vms)
        is_hot = rng.random() < HOT_CALLS
        if self.case.trouble == "hot" and is_hot:
            vm = rng.choice(self._hot)
        duration_s = rng.uniform(*self.kind.call_s)
        wait_s = rng.expovariate(1.0)
        if vm not in self.ended_vms:
            now = self.clock.now()
            call = _brittle_runner.Call(
                next(self._call_numbers), vm, now, duration_s
            )
            self.arrived += self._counts(call)
            self.way.place(call)
        use = 2.0 if self._is_on("burst") else self.case.use
        self.after(wait_s / (use * self._per_s), self._arrive)

    def _count_in_flight(self, vm: int, number: int, change: int) -> None:
        counts = self.in_flight[vm]
        counts[number] = counts.get(number, 0) + change
        if vm in self._reports_due:
            return
        self._reports_due.add(vm)
        now = self.clock.now()
        self.after(
            RECORD_S - (now - self._phases[vm]) % RECORD_S,
            lambda: self._report(vm),
        )

    def _report(self, vm: int) -> None:
        """Send a VM's status record."""
        self._reports_due.discard(vm)
        counts = {n: c for n, c in self.in_flight[vm].items() if c}
        delay_s = RECORD_DELAY_S
        if self._is_on("late_records"):
            delay_s += self.rng.uniform(*LATE_S)

        def learn() -> None:
            before = self.reported[vm]
            sums = self._sums[self._is_in_cut(vm)]
            for number in before.keys() | counts.keys():
                sums[number] += counts.get(number, 0) - before.get(number, 0)
            self.reported[vm] = counts

        self.after(delay_s, learn)

    # The troubles.

    def _trouble(self, begins: bool) -> None:
        trouble = self.case.trouble
        if trouble == "halved":
            for runner in self.runners:
                runner.room = self.case.slots // (2 if begins else 1)
        elif trouble == "neighbour" and begins:
            self._fall(self.runners[0])
        elif trouble == "cut":
            self.is_cut = begins
            self.after(DETECTION_S, lambda: setattr(self, "knows_cut", begins))
        elif trouble == "keeper_gone":
            self._end_keeper(begins)

    def _end_keeper(self, begins: bool) -> None:
        vm = first_keeper(self.case, 0)
        if begins:
            self.ended_vms.add(vm)
            self.after(DETECTION_S, lambda: self.known_ended.add(vm))
            return
        self.ended_vms.discard(vm)
        self.after(DETECTION_S, lambda: self.known_ended.discard(vm))
        restart = getattr(self.way, "restart", None)
        if restart is not None:
            restart(vm)


def first_keeper(case: _brittle_runner.Case, runner: int) -> int:
    """The VM that is the first keeper of a runner."""
    return keeper_order(case, runner)[0]


def keeper_order(case: _brittle_runner.Case, runner: int) -> list[int]:
    """The VMs that are asked for a runner, the first one first."""
    rng = random.Random(f"{case.seed} keepers {runner}")
    return rng.sample(range(case.vms), min(case.vms, 40))
