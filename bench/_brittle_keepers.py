"""Ways in which keepers decide for all VMs on calls to fragile runners."""

import collections
import typing

from apricotlever import clock as clocks
from apricotlever.runners import fragile_keeper
from apricotlever.runners import limit_keeper
from bench import _brittle_fleet
from bench import _brittle_runner
from bench import _brittle_ways

#: How long a question to a keeper is waited for, and how often it is sent.
ANSWER_S, ASKS = 0.02, 2
#: Time after which the end of a call is told once more, in seconds.
REPEAT_S = 0.03
#: Keepers that are asked about one runner.
KEEPERS = 2
#: Runners that are asked about before a call waits.
RUNNERS_ASKED = 3
#: Part of a call's objective for which it may wait for room.
WAIT_PART = 0.25
#: Seconds for which a VM doesn't ask a keeper that didn't answer.
UNANSWERED_S = 1.0


class _Rejections:
    """A keeper that counts rejections and calls of unknown fate only."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._times: dict[int, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )
        self._sent: dict[int, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    def admit(self, runner: int, bears: float) -> limit_keeper.Admission:
        """Admit a call unless too many may be rejected."""
        now = self._clock.now()
        times, sent = self._times[runner], self._sent[runner]
        while times and times[0] <= now - 1.25:
            times.popleft()
        while sent and sent[0] <= now - 0.025:
            sent.popleft()
        if len(times) + len(sent) < bears:
            sent.append(now)
            return limit_keeper.Admission(True, 0.0)
        wait_s = times[0] + 1.25 - now if len(times) >= bears else 0.02
        return limit_keeper.Admission(False, wait_s, wait_s)

    def reject(self, runner: int) -> None:
        """Count a rejection."""
        self._times[runner].append(self._clock.now())


class Keeper(_brittle_ways.Today):
    """A VM is asked before each call, and told of its end.

    :param risk: what a call at a level that was seen before weighs.
    """

    #: Whether all ends are told, or rejections only.
    tells_ends = True

    def __init__(
        self,
        fleet: _brittle_fleet.Fleet,
        risk: float = fragile_keeper.PROVEN_RISK,
    ) -> None:
        super().__init__(fleet)
        self._risk = risk
        self._orders = [
            _brittle_fleet.keeper_order(fleet.case, n)
            for n in range(fleet.case.runners)
        ]
        self._keepers: dict[int, typing.Any] = {}
        #: When a VM may ask again, by itself and the runner or the keeper.
        self._full: dict[tuple[int, int], float] = {}
        self._silent: dict[tuple[int, int], float] = {}
        self.asks = 0
        self.admitted = 0

    def place(self, call: _brittle_runner.Call) -> None:
        """Ask about some runners, one after the other."""
        self._try(call, RUNNERS_ASKED)

    def ended(
        self, call: _brittle_runner.Call, runner: int, rejected: bool
    ) -> None:
        """Tell the keeper, and once more in case the message is lost."""
        if call.state is None or not (rejected or self.tells_ends):
            return
        keeper, attempt = call.state
        key = (f"vm-{call.vm}", attempt)

        def tell() -> None:
            self.fleet.send(
                call.vm,
                keeper,
                lambda: self._end(keeper, runner, key, rejected),
                may_be_late=True,
            )

        tell()
        if keeper != call.vm and (rejected or self.tells_ends):
            self.fleet.after(REPEAT_S, tell)

    def restart(self, vm: int) -> None:
        """Let a VM begin without any knowledge."""
        self._keepers.pop(vm, None)

    def _create_keeper(self, vm: int) -> typing.Any:
        fleet = self.fleet
        return fragile_keeper.FragileKeeper(
            fleet.clock,
            lambda name: fleet.reported_calls(vm, int(name)),
            self._risk,
        )

    def _admit(
        self,
        keeper: int,
        runner: int,
        call: _brittle_runner.Call,
        attempt: int,
    ) -> limit_keeper.Admission:
        fleet = self.fleet
        found = self._keepers.get(keeper)
        if found is None:
            found = self._keepers[keeper] = self._create_keeper(keeper)
        found.set_share(fleet.heard_share(keeper))
        waited_s = fleet.clock.now() - call.arrived_at
        order = self._orders[runner]
        first = next(
            (vm for vm in order if fleet.seems_alive(keeper, vm)), keeper
        )
        return typing.cast(
            limit_keeper.Admission,
            found.admit(
                str(runner),
                (f"vm-{call.vm}", attempt),
                self._terms(),
                max(0.1, fleet.kind.timeout_s - waited_s),
                is_deputy=keeper != first,
            ),
        )

    def _terms(self) -> fragile_keeper.Terms:
        case = self.fleet.case
        return fragile_keeper.Terms(case.bears, case.slots)

    def _end(
        self, keeper: int, runner: int, key: tuple[str, int], rejected: bool
    ) -> None:
        found = self._keepers.get(keeper)
        if found is not None:
            found.end(str(runner), key, rejected)

    def _try(self, call: _brittle_runner.Call, asks_left: int) -> None:
        fleet, vm = self.fleet, call.vm
        now = fleet.clock.now()
        usable = self.usable(call)
        free = [n for n in usable if self._full.get((vm, n), 0.0) <= now]
        if free and asks_left:
            pair = fleet.rng.sample(free, min(2, len(free)))
            runner = self.least_loaded(vm, pair)
            if not fleet.is_fragile(runner):
                self._send(call, runner, None)
                return
            self._ask(call, runner, asks_left - 1, KEEPERS)
            return
        ends_at = call.arrived_at + WAIT_PART * fleet.kind.objective_s
        again_at = min(
            (self._full.get((vm, n), 0.0) for n in usable), default=ends_at
        )
        if not usable or max(again_at, now) >= ends_at:
            fleet.refuse(call)
            return
        fleet.after(
            max(0.001, again_at - now), lambda: self._try(call, RUNNERS_ASKED)
        )

    def _send(
        self,
        call: _brittle_runner.Call,
        runner: int,
        state: tuple[int, int] | None,
    ) -> None:
        """Send a call; the state is its keeper and its number there."""
        call.state = state
        self.fleet.send_call(call, runner)

    def _ask(
        self,
        call: _brittle_runner.Call,
        runner: int,
        asks_left: int,
        keepers_left: int,
    ) -> None:
        fleet, vm = self.fleet, call.vm
        now = fleet.clock.now()
        keeper = next(
            (
                k
                for k in self._orders[runner]
                if fleet.seems_alive(vm, k)
                and self._silent.get((vm, k), 0.0) <= now
            ),
            vm,
        )
        attempt = call.number * 100 + call.attempts * 20 + asks_left
        attempt = attempt * 2 + keepers_left % 2
        answers: list[limit_keeper.Admission] = []

        def decide() -> None:
            self.asks += 1
            admission = self._admit(keeper, runner, call, attempt)
            if not admission.admitted:
                self._queue(keeper, runner, call, attempt)
            fleet.send(keeper, vm, lambda: answer(admission), False)

        def answer(admission: limit_keeper.Admission) -> None:
            if answers:
                if admission.admitted and not answers[0].admitted:
                    self._cancel(call, keeper, runner, attempt)
                return
            answers.append(admission)
            if admission.admitted:
                self.admitted += 1
                self._send(call, runner, (keeper, attempt))
                return
            again_at = fleet.clock.now() + admission.ask_again_s
            self._full[vm, runner] = again_at
            self._try(call, asks_left)

        def give_up() -> None:
            if answers:
                return
            answers.append(limit_keeper.Admission(False, 0.0))
            self._cancel(call, keeper, runner, attempt)
            self._silent[vm, keeper] = fleet.clock.now() + UNANSWERED_S
            if keepers_left > 1:
                self._ask(call, runner, asks_left, keepers_left - 1)
            else:
                self._full[vm, runner] = fleet.clock.now() + ANSWER_S
                self._try(call, asks_left)

        def ask_again() -> None:
            if not answers:
                fleet.send(vm, keeper, decide, False)

        if keeper == vm:
            decide()
            return
        for number in range(ASKS):
            fleet.after(number * ANSWER_S, ask_again)
        fleet.after(ASKS * ANSWER_S, give_up)

    def _queue(
        self,
        keeper: int,
        runner: int,
        call: _brittle_runner.Call,
        attempt: int,
    ) -> None:
        """Let a refused call wait at the keeper, in a way that does so."""

    def _cancel(
        self,
        call: _brittle_runner.Call,
        keeper: int,
        runner: int,
        attempt: int,
    ) -> None:
        """Tell a keeper that a call it admitted was not sent."""
        key = (f"vm-{call.vm}", attempt)
        self.fleet.send(
            call.vm,
            keeper,
            lambda: self._end(keeper, runner, key, False),
            may_be_late=True,
        )


class StrictKeeper(Keeper):
    """Each call of unknown fate counts as a rejection."""

    def __init__(self, fleet: _brittle_fleet.Fleet) -> None:
        super().__init__(fleet, 1.0)


class Permits(Keeper):
    """The keeper counts rejections and doesn't hear of other ends."""

    tells_ends = False

    def _create_keeper(self, vm: int) -> typing.Any:
        return _Rejections(self.fleet.clock)

    def _admit(
        self,
        keeper: int,
        runner: int,
        call: _brittle_runner.Call,
        attempt: int,
    ) -> limit_keeper.Admission:
        found = self._keepers.get(keeper)
        if found is None:
            found = self._keepers[keeper] = self._create_keeper(keeper)
        bears = self.fleet.case.bears * self.fleet.heard_share(keeper)
        return typing.cast(limit_keeper.Admission, found.admit(runner, bears))

    def _end(
        self, keeper: int, runner: int, key: tuple[str, int], rejected: bool
    ) -> None:
        found = self._keepers.get(keeper)
        if found is not None and rejected:
            found.reject(runner)


class CallsOnly(Keeper):
    """The keeper counts calls up to the slots, and learns no less room."""

    def _terms(self) -> fragile_keeper.Terms:
        return fragile_keeper.Terms(10**6, self.fleet.case.slots)

    def _end(
        self, keeper: int, runner: int, key: tuple[str, int], rejected: bool
    ) -> None:
        super()._end(keeper, runner, key, False)
