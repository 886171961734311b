"""The failure detector: direct probe, indirect probes, then suspicion.

One member is probed at a time. If it does not ack a direct probe in time,
other VMs are asked to probe it, too. If no ack arrives before the next probe
is due, the member is suspected.
"""

import random
import typing

from .. import clock as clocks
from ..links import peer_pb2 as pb
from . import suspicion
from . import timing as timings


class ProbeStep:
    """Base class of the steps that the prober asks its caller to perform.

    :param vm: the probed VM.
    :param sequence: the probe's sequence number.
    """

    __slots__ = ("vm", "sequence")

    def __init__(self, vm: str, sequence: int) -> None:
        self.vm = vm
        self.sequence = sequence


class SendProbe(ProbeStep):
    """Send a direct probe to the VM."""

    __slots__ = ()


class ProbeIndirectly(ProbeStep):
    """Ask other VMs to probe the VM, as it has not answered this one."""

    __slots__ = ()


class Suspect(ProbeStep):
    """Suspect the VM: no probe of it was answered."""

    __slots__ = ()


class _ProbeInProgress:
    """The state of the probe in progress.

    ``indirect_probes`` is the number of VMs asked to probe the target, and
    ``nacks`` the number of those that reported that it did not answer.

    :param vm: the target.
    :param sequence: the probe's sequence number.
    :param sent_at: when the direct probe was sent, on the local monotonic
        clock.
    """

    __slots__ = (
        "vm",
        "sequence",
        "sent_at",
        "indirect_probes",
        "nacks",
        "acked",
    )

    def __init__(self, vm: str, sequence: int, sent_at: float) -> None:
        self.vm = vm
        self.sequence = sequence
        self.sent_at = sent_at
        self.indirect_probes = 0
        self.nacks = 0
        self.acked = False


class Prober:
    """Probes the members in rounds of shuffled order, one per interval.

    Shuffled rounds bound the time until a given VM is probed; independent
    random choices would not.

    :param health: lengthens interval and timeout, and is updated by the
        results of the probes.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_timing",
        "_health",
        "_round",
        "_sequence",
        "_in_progress",
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
        self._in_progress: _ProbeInProgress | None = None
        # A random start within the interval, so that VMs started together
        # do not probe at the same moments.
        self._next_at = clock.now() + rng.uniform(0, timing.probe_interval_s)

    def step(self, live: typing.Mapping[str, pb.Member]) -> list[ProbeStep]:
        """The steps of probing that are due.

        :param live: the members that may be probed, by name.
        """
        now = self._clock.now()
        if now >= self._next_at:
            return self._finish_probe(live) + self._start_probe(now, live)
        if self._needs_indirect_probes(now):
            assert self._in_progress is not None
            return [
                ProbeIndirectly(
                    self._in_progress.vm, self._in_progress.sequence
                )
            ]
        return []

    def indirect_probes_sent(self, count: int) -> None:
        """Record how many VMs were asked to probe the current target.

        With no VM to ask, nothing shows that this VM's own link works, so
        that case counts as one VM that was asked and did not answer.
        """
        if self._in_progress is not None:
            self._in_progress.indirect_probes = max(1, count)

    def acked(self, vm: str, sequence: int) -> None:
        """Handle a probed VM's ack, direct or relayed by another VM."""
        if self._matches(vm, sequence):
            assert self._in_progress is not None
            self._in_progress.acked = True

    def nacked(self, vm: str, sequence: int) -> None:
        """Handle a nack: another VM got no answer from the target either."""
        if self._matches(vm, sequence):
            assert self._in_progress is not None
            self._in_progress.nacks += 1

    def cancel(self) -> None:
        """Drop the probe in progress: this VM was paused, not the target."""
        self._in_progress = None

    def next_sequence(self) -> int:
        """A new sequence number, for an own probe or a relayed one."""
        self._sequence += 1
        return self._sequence

    def _matches(self, vm: str, sequence: int) -> bool:
        current = self._in_progress
        return (
            current is not None
            and current.sequence == sequence
            and current.vm == vm
        )

    def _needs_indirect_probes(self, now: float) -> bool:
        current = self._in_progress
        if current is None or current.acked or current.indirect_probes:
            return False
        timeout_s = self._timing.probe_timeout_s * self._health.factor
        return now >= current.sent_at + timeout_s

    def _finish_probe(
        self, live: typing.Mapping[str, pb.Member]
    ) -> list[ProbeStep]:
        current, self._in_progress = self._in_progress, None
        if current is None or current.vm not in live:
            return []
        if current.acked:
            self._health.improve()
            return []
        # The VMs asked send a nack when the target did not answer. When they
        # are silent as well, this VM's own link has failed.
        silent = max(0, current.indirect_probes - current.nacks)
        self._health.degrade(min(1, silent))
        return [Suspect(current.vm, current.sequence)]

    def _start_probe(
        self, now: float, live: typing.Mapping[str, pb.Member]
    ) -> list[ProbeStep]:
        interval_s = self._timing.probe_interval_s * self._health.factor
        self._next_at = now + interval_s
        vm = self._next_vm(live)
        if vm is None:
            return []
        self._in_progress = _ProbeInProgress(vm, self.next_sequence(), now)
        return [SendProbe(vm, self._sequence)]

    def _next_vm(self, live: typing.Mapping[str, pb.Member]) -> str | None:
        while self._round:
            vm = self._round.pop()
            if vm in live:
                return vm
        self._round = sorted(live)
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None
