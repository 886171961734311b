"""Suspicion that shrinks as others confirm it, and our own health.

After Lifeguard (Dadgar, Phillips, Currey, 2018): a VM that is slow itself
would take others for dead. It shows as missing acks from many peers at
once. So a lone suspicion waits long, one that others share waits short, and
a VM whose probes fail gives everyone more time.
"""

import math

WANTED_CONFIRMATIONS = 2
HEALTH_MAX = 8


class Suspicion:
    """A timer on one suspected VM.

    :param started_at: seconds.
    :param min_s: its length once enough others confirm it.
    :param max_s: its length while nobody does.
    :param others: members that could confirm it.
    """

    __slots__ = ("_started_at", "_min_s", "_max_s", "_wanted", "_accusers")

    def __init__(
        self, started_at: float, min_s: float, max_s: float, others: int
    ) -> None:
        self._started_at = started_at
        self._min_s = min_s
        self._max_s = max_s
        self._wanted = min(WANTED_CONFIRMATIONS, max(0, others))
        self._accusers: set[str] = set()

    @property
    def ends_at(self) -> float:
        """When the suspect counts as dead, in seconds."""
        return self._started_at + self._length_s()

    def accuse(self, vm: str) -> bool:
        """Count an accuser.

        :returns: whether it was a new one that still shortens the timer.
        """
        if vm in self._accusers or len(self._accusers) > self._wanted:
            return False
        self._accusers.add(vm)
        return True

    def postpone(self, seconds: float) -> None:
        """Leave out a time in which we could not have heard a denial."""
        self._started_at += seconds

    def _length_s(self) -> float:
        confirmations = max(0, len(self._accusers) - 1)
        if confirmations >= self._wanted:
            return self._min_s
        part = math.log(confirmations + 1) / math.log(self._wanted + 1)
        return self._max_s - part * (self._max_s - self._min_s)


class LocalHealth:
    """How far this VM distrusts itself, from 0 (well) to ``HEALTH_MAX``."""

    __slots__ = ("_score",)

    def __init__(self) -> None:
        self._score = 0

    @property
    def factor(self) -> int:
        """By how much intervals and timeouts are stretched."""
        return self._score + 1

    def worse(self, by: int = 1) -> None:
        """A sign that we are slow or badly connected."""
        self._score = min(HEALTH_MAX, self._score + by)

    def better(self) -> None:
        """A sign that we are well."""
        self._score = max(0, self._score - 1)


def bounds_s(
    members: int, interval_s: float, factor: float, max_factor: float
) -> tuple[float, float]:
    """The shortest and longest suspicion for a count of members."""
    shortest = factor * max(1.0, math.log10(max(1, members))) * interval_s
    return shortest, max_factor * shortest
