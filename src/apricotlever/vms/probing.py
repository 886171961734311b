"""One probe at a time: direct, then through others, then a suspicion."""

import random
import typing

from .. import clock as clocks
from ..links import peer_pb2 as pb
from . import suspicion
from . import timing as timings


class Step:
    """What the prober wants done next."""

    __slots__ = ("vm", "sequence")

    def __init__(self, vm: str, sequence: int) -> None:
        self.vm = vm
        self.sequence = sequence


class SendProbe(Step):
    """Probe the VM directly."""

    __slots__ = ()


class AskOthers(Step):
    """Have other VMs probe it."""

    __slots__ = ()


class Suspect(Step):
    """Nobody got an answer from it."""

    __slots__ = ()


class _Outstanding:
    """The probe in progress."""

    __slots__ = ("vm", "sequence", "sent_at", "asked", "denials", "acked")

    def __init__(self, vm: str, sequence: int, sent_at: float) -> None:
        self.vm = vm
        self.sequence = sequence
        self.sent_at = sent_at
        self.asked = 0
        self.denials = 0
        self.acked = False


class Prober:
    """Goes round the members in a shuffled order, one in each interval.

    A shuffled round bounds the time until a given VM is probed, which
    picking at random would not.

    :param health: stretches interval and timeout, and learns from results.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_timing",
        "_health",
        "_round",
        "_sequence",
        "_current",
        "_next_at",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        timing: timings.MembershipTiming,
        health: suspicion.LocalHealth,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._health = health
        self._round: list[str] = []
        self._sequence = 0
        self._current: _Outstanding | None = None
        # Spread over the interval, so that VMs started together don't
        # probe in step.
        self._next_at = clock.now() + rng.uniform(0, timing.probe_interval_s)

    def step(self, live: typing.Mapping[str, pb.Member]) -> list[Step]:
        """What is due now.

        :param live: members that may be probed.
        """
        now = self._clock.now()
        if now >= self._next_at:
            return self._end(live) + self._begin(now, live)
        if self._wants_others(now):
            assert self._current is not None
            return [AskOthers(self._current.vm, self._current.sequence)]
        return []

    def asked(self, count: int) -> None:
        """So many others were asked about the probe in progress.

        With nobody to ask, nobody can vouch for our own link, so that
        counts as one asked who stays silent.
        """
        if self._current is not None:
            self._current.asked = max(1, count)

    def acked(self, vm: str, sequence: int) -> None:
        """The VM itself, or another on its behalf, answered."""
        if self._matches(vm, sequence):
            assert self._current is not None
            self._current.acked = True

    def denied(self, vm: str, sequence: int) -> None:
        """Another VM got no answer from it either."""
        if self._matches(vm, sequence):
            assert self._current is not None
            self._current.denials += 1

    def abandon(self) -> None:
        """Forget the probe in progress: we were paused, not the other."""
        self._current = None

    def next_sequence(self) -> int:
        """A number for a probe on another VM's behalf."""
        self._sequence += 1
        return self._sequence

    def _matches(self, vm: str, sequence: int) -> bool:
        current = self._current
        return (
            current is not None
            and current.sequence == sequence
            and current.vm == vm
        )

    def _wants_others(self, now: float) -> bool:
        current = self._current
        if current is None or current.acked or current.asked:
            return False
        timeout_s = self._timing.probe_timeout_s * self._health.factor
        return now >= current.sent_at + timeout_s

    def _end(self, live: typing.Mapping[str, pb.Member]) -> list[Step]:
        current, self._current = self._current, None
        if current is None or current.vm not in live:
            return []
        if current.acked:
            self._health.better()
            return []
        # Those asked answer even when they got nothing. When they are
        # silent as well, it is our own link that fails.
        silent = max(0, current.asked - current.denials)
        self._health.worse(min(1, silent))
        return [Suspect(current.vm, current.sequence)]

    def _begin(
        self, now: float, live: typing.Mapping[str, pb.Member]
    ) -> list[Step]:
        interval_s = self._timing.probe_interval_s * self._health.factor
        self._next_at = now + interval_s
        vm = self._next_vm(live)
        if vm is None:
            return []
        self._current = _Outstanding(vm, self.next_sequence(), now)
        return [SendProbe(vm, self._sequence)]

    def _next_vm(self, live: typing.Mapping[str, pb.Member]) -> str | None:
        while self._round:
            vm = self._round.pop()
            if vm in live:
                return vm
        self._round = sorted(live)
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None
