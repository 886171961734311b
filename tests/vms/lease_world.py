"""A simulation of VMs that contend for one lease in an unreliable store."""

import heapq
import itertools
import random
import typing

from apricotlever import clock as clocks
from apricotlever.vms import lease_objects
from apricotlever.vms import leases

STEP_S = 0.1
DURATION_S = 15.0
LONGEST_ORDER_S = 3.0
CALL_TIMEOUT_S = 2.0
LATE_S = 8.0
ORDER_EVERY_S = 0.5


class Faults:
    """Probabilities and durations of the simulated faults.

    :param lost: the fraction of answers that are lost, and of requests that
        arrive late.
    :param dropped: the fraction of requests that never arrive.
    :param pause_s: the longest pause of a VM, in seconds; each VM is paused
        about once a minute.
    :param away: the fraction of time in which another VM should be the
        holder.
    """

    def __init__(
        self,
        lost: float = 0.0,
        dropped: float = 0.0,
        pause_s: float = 0.0,
        away: float = 0.0,
    ) -> None:
        self.lost = lost
        self.dropped = dropped
        self.pause_s = pause_s
        self.away = away


class World:
    """Contenders, a store and one upstream that ignores fencing numbers.

    :param make: the lease class of the contenders.
    :param count: the number of contenders.
    """

    def __init__(
        self,
        seed: int,
        faults: Faults,
        make: typing.Any = leases.Lease,
        count: int = 3,
    ) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.faults = faults
        self.version = 0
        self.value: dict[str, typing.Any] | None = None
        self.applied: list[tuple[int, int]] = []
        self.holders: list[set[int]] = []
        self.writes = 0
        self.reads = 0
        self._events: list[typing.Any] = []
        self._order = itertools.count()
        self._paused = [0.0] * count
        self._order_at = [0.0] * count
        self.contenders = [
            make(
                self.clock,
                random.Random(seed + i),
                "leases/duty",
                f"v{i}",
                1,
                LONGEST_ORDER_S,
                DURATION_S,
            )
            for i in range(count)
        ]

    def run(self, seconds: float) -> "World":
        """Simulate a time span in steps of ``STEP_S``."""
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.now()
            while self._events and self._events[0][0] <= now:
                heapq.heappop(self._events)[2]()
            for i in range(len(self.contenders)):
                self._step_contender(i, now)
            self.holders.append(
                {
                    i
                    for i, lease in enumerate(self.contenders)
                    if lease.may_order() is not None
                }
            )
        return self

    def pause(self, i: int, seconds: float) -> None:
        """Pause the process of one VM."""
        self._paused[i] = self.clock.now() + seconds

    def order_races(self) -> int:
        """The number of orders applied after an order of a later holder."""
        highest = itertools.accumulate(
            (fencing for fencing, _ in self.applied), max
        )
        return sum(
            fencing < high for (fencing, _), high in zip(self.applied, highest)
        )

    def double_holders(self) -> int:
        """The number of steps in which two VMs could have ordered."""
        return sum(len(holders) > 1 for holders in self.holders)

    def _schedule(self, delay_s: float, work: typing.Any) -> None:
        at = self.clock.now() + delay_s
        heapq.heappush(self._events, (at, next(self._order), work))

    def _step_contender(self, i: int, now: float) -> None:
        if now < self._paused[i]:
            return
        if self.faults.pause_s and self.rng.random() < STEP_S / 60:
            self.pause(i, self.rng.uniform(0, self.faults.pause_s))
            return
        lease = self.contenders[i]
        # The order precedes the tick, as in a VM that wakes up from a pause.
        self._send_order(i, lease, now)
        if self.rng.random() < STEP_S / 20:
            lease.want(self.rng.random() >= self.faults.away)
        action = lease.tick()
        if action is not None:
            self._call(i, lease, action)

    def _send_order(self, i: int, lease: typing.Any, now: float) -> None:
        fencing = lease.may_order()
        if fencing is None or now < self._order_at[i]:
            return
        self._order_at[i] = now + ORDER_EVERY_S
        self._schedule(
            self.rng.uniform(0, LONGEST_ORDER_S),
            lambda: self.applied.append((fencing, i)),
        )

    def _call(
        self, i: int, lease: typing.Any, action: lease_objects.LeaseAction
    ) -> None:
        done: list[bool] = []

        def answer(report: typing.Callable[[], None]) -> None:
            if done:
                return
            wait_s = self._paused[i] - self.clock.now()
            if wait_s > 0:
                self._schedule(wait_s, lambda: answer(report))
                return
            done.append(True)
            report()

        if self.rng.random() >= self.faults.dropped:
            # Some requests arrive long after the caller gave up on them.
            late = self.rng.random() < self.faults.lost
            self._schedule(
                self.rng.uniform(0.0, LATE_S if late else 0.5),
                lambda: self._arrive(lease, action, answer),
            )
        is_write = isinstance(action, lease_objects.WriteLease)
        no_answer = lease.ambiguous if is_write else lease.failed
        self._schedule(CALL_TIMEOUT_S, lambda: answer(no_answer))

    def _arrive(
        self,
        lease: typing.Any,
        action: lease_objects.LeaseAction,
        answer: typing.Any,
    ) -> None:
        report = self._apply(lease, action)
        if self.rng.random() >= self.faults.lost:
            self._schedule(self.rng.uniform(0.0, 0.5), lambda: answer(report))

    def _apply(
        self, lease: typing.Any, action: lease_objects.LeaseAction
    ) -> typing.Callable[[], None]:
        if not isinstance(action, lease_objects.WriteLease):
            self.reads += 1
            value, version = self.value, self.version or None
            return lambda: lease.read(version, value)
        self.writes += 1
        if (action.expected_version or 0) != self.version:
            return lease.conflict
        self.version += 1
        self.value = action.value
        version = self.version
        return lambda: lease.written(version)
