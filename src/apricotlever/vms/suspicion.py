"""Suspicion timers that confirmations shorten, and local health.

Both follow Lifeguard (Dadgar, Phillips, Currey, 2018). A VM that is slow
itself misses the acks of many peers at once and would declare them dead. So
an unconfirmed suspicion lasts long, a confirmed one is short, and a VM whose
own probes fail lengthens its intervals and timeouts.
"""

import math

# Confirmations by other VMs that reduce a suspicion to its shortest time.
EXPECTED_CONFIRMATIONS = 2
# The worst local health score; intervals and timeouts grow to 9 times.
MAX_HEALTH_SCORE = 8


class Suspicion:
    """The timer of one suspected VM, which is declared dead when it ends.

    :param started_at: when it started, in seconds.
    :param min_s: its duration once enough other VMs confirm the suspicion.
    :param max_s: its duration while no other VM confirms it.
    :param confirmers: the number of members that could confirm it.
    """

    __slots__ = ("_started_at", "_min_s", "_max_s", "_expected", "_accusers")

    def __init__(
        self, started_at: float, min_s: float, max_s: float, confirmers: int
    ) -> None:
        self._started_at = started_at
        self._min_s = min_s
        self._max_s = max_s
        self._expected = min(EXPECTED_CONFIRMATIONS, max(0, confirmers))
        self._accusers: set[str] = set()

    @property
    def ends_at(self) -> float:
        """When the suspect is declared dead, in seconds."""
        return self._started_at + self._timeout_s()

    def add_accuser(self, vm: str) -> bool:
        """Count a VM that suspects the same VM; it may shorten the timer.

        :param vm: the accuser: the VM that raised or confirms the suspicion.
        :returns: whether the accuser is new and confirmations still count.
        """
        if vm in self._accusers or len(self._accusers) > self._expected:
            return False
        self._accusers.add(vm)
        return True

    def postpone(self, seconds: float) -> None:
        """Extend the timer by a time in which no refutation could arrive."""
        self._started_at += seconds

    def _timeout_s(self) -> float:
        confirmations = max(0, len(self._accusers) - 1)
        if confirmations >= self._expected:
            return self._min_s
        fraction = math.log(confirmations + 1) / math.log(self._expected + 1)
        return self._max_s - fraction * (self._max_s - self._min_s)


class LocalHealth:
    """This VM's health score, from 0 (healthy) to ``MAX_HEALTH_SCORE``.

    A VM with a high score probes less often and waits longer for acks.
    """

    __slots__ = ("_score",)

    def __init__(self) -> None:
        self._score = 0

    @property
    def factor(self) -> int:
        """The factor by which intervals and timeouts are lengthened."""
        return self._score + 1

    def degrade(self, by: int = 1) -> None:
        """Record a sign that this VM is slow or badly connected."""
        self._score = min(MAX_HEALTH_SCORE, self._score + by)

    def improve(self) -> None:
        """Record a sign that this VM is healthy."""
        self._score = max(0, self._score - 1)


def timeout_bounds_s(
    members: int, interval_s: float, factor: float, max_factor: float
) -> tuple[float, float]:
    """The shortest and the longest suspicion, in seconds.

    :param members: the number of members, this VM included.
    :param interval_s: the probe interval, in seconds.
    :param factor: see :class:`~.timing.MembershipTiming`.
    :param max_factor: the longest suspicion in multiples of the shortest.
    """
    shortest = factor * max(1.0, math.log10(max(1, members))) * interval_s
    return shortest, max_factor * shortest
