"""Keepers of fragile runners that let refused calls wait."""

import collections

from bench import _brittle_fleet
from bench import _brittle_keepers
from bench import _brittle_runner


class QueueingKeeper(_brittle_keepers.Keeper):
    """The keepers let refused calls wait, and tell them of room.

    A call asks each runner's keeper once, and takes the first room.
    """

    def __init__(self, fleet: _brittle_fleet.Fleet) -> None:
        super().__init__(fleet)
        self._waiting: dict[
            tuple[int, int],
            collections.deque[tuple[_brittle_runner.Call, int]],
        ] = collections.defaultdict(collections.deque)
        #: The runners that each call has asked about since it looks for room.
        self._asked: dict[int, set[int]] = {}

    def place(self, call: _brittle_runner.Call) -> None:
        """Ask about some runners, and wait for the first room."""
        self._asked[call.number] = set()
        ends_at = (
            call.arrived_at
            + _brittle_keepers.WAIT_PART * self.fleet.kind.objective_s
        )
        wait_s = max(0.0, ends_at - self.fleet.clock.now())
        attempts = call.attempts

        def give_up() -> None:
            if call.number in self._asked and call.attempts == attempts:
                del self._asked[call.number]
                self.fleet.refuse(call)

        self.fleet.after(wait_s, give_up)
        self._try(call, _brittle_keepers.RUNNERS_ASKED)

    def _try(self, call: _brittle_runner.Call, asks_left: int) -> None:
        asked = self._asked.get(call.number)
        if asked is None or not asks_left:
            return
        free = [n for n in self.usable(call) if n not in asked]
        if not free:
            return
        pair = self.fleet.rng.sample(free, min(2, len(free)))
        runner = self.least_loaded(call.vm, pair)
        asked.add(runner)
        if self.fleet.is_fragile(runner):
            self._ask(call, runner, asks_left - 1, _brittle_keepers.KEEPERS)
        else:
            self._send(call, runner, None)

    def _send(
        self,
        call: _brittle_runner.Call,
        runner: int,
        state: tuple[int, int] | None,
    ) -> None:
        if call.number in self._asked:
            for other in self._asked.pop(call.number) - {runner}:
                self._withdraw(call, other)
            super()._send(call, runner, state)
        elif state is not None:
            self._cancel(call, state[0], runner, state[1])

    def _queue(
        self,
        keeper: int,
        runner: int,
        call: _brittle_runner.Call,
        attempt: int,
    ) -> None:
        self._waiting[keeper, runner].append((call, attempt))

    def _end(
        self, keeper: int, runner: int, key: tuple[str, int], rejected: bool
    ) -> None:
        super()._end(keeper, runner, key, rejected)
        waiting = self._waiting[keeper, runner]
        now = self.fleet.clock.now()
        wait_s = _brittle_keepers.WAIT_PART * self.fleet.kind.objective_s
        while waiting:
            call, attempt = waiting[0]
            if call.arrived_at + wait_s <= now:
                waiting.popleft()
                continue
            admission = self._admit(keeper, runner, call, attempt)
            if not admission.admitted:
                return
            waiting.popleft()
            self._grant(call, runner, (keeper, attempt))

    def _withdraw(self, call: _brittle_runner.Call, runner: int) -> None:
        """Tell the keeper of a runner that a call waits no longer."""
        keeper = self._orders[runner][0]

        def remove() -> None:
            waiting = self._waiting[keeper, runner]
            for entry in list(waiting):
                if entry[0] is call:
                    waiting.remove(entry)

        self.fleet.send(call.vm, keeper, remove, False)

    def _grant(
        self, call: _brittle_runner.Call, runner: int, state: tuple[int, int]
    ) -> None:
        # Not at once: what it leads to may end another call here.
        self.fleet.after(
            0.0,
            lambda: self.fleet.send(
                state[0],
                call.vm,
                lambda: self._send(call, runner, state),
                False,
            ),
        )
