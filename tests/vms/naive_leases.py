"""The lease most would write first.

It looks at the lease when it renews, counts from the moment of the store's
answer, takes an unanswered write for a failed one, and orders in between
without asking again.
"""

import random

from apricotlever import clock as clocks
from apricotlever.vms import lease_objects

RENEW_S = 5.0


class NaiveLease:
    """Stands in for ``Lease``, without its care."""

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        name: str,
        holder: str,
        incarnation: int,
        longest_order_s: float = 0.0,
        duration_s: float = 15.0,
    ) -> None:
        self._clock = clock
        self._name = name
        self._holder = holder
        self._duration_s = duration_s
        self._wanted = False
        self._fencing: int | None = None
        self._value = lease_objects.unheld_value(0, duration_s)
        self._version: int | None = None
        self._since = clock.now()
        self._next_at = clock.now()

    def want(self, wanted: bool) -> None:
        """Set whether this VM should hold it."""
        self._wanted = wanted

    def may_order(self, order_s: float = 0.0) -> int | None:
        """What the last renewal said."""
        return self._fencing if self._wanted else None

    def tick(self) -> lease_objects.LeaseAction | None:
        """Read, or write when free or ours."""
        now = self._clock.now()
        if now < self._next_at or not self._wanted:
            return None
        self._next_at = now + RENEW_S
        mine = self._value["holder"] == self._holder
        lapsed = now - self._since >= self._value["duration_s"]
        if not (mine or lapsed or not self._value["holder"]):
            self._fencing = None
            return lease_objects.ReadLease(self._name)
        fencing = self._value["fencing"] + (0 if mine else 1)
        self._write = {
            "holder": self._holder,
            "incarnation": 1,
            "fencing": fencing,
            "duration_s": self._duration_s,
        }
        return lease_objects.WriteLease(self._name, self._write, self._version)

    def read(self, version, value) -> None:
        """The object."""
        if version != self._version:
            self._since = self._clock.now()
        self._version = version
        self._value = value or lease_objects.unheld_value(0, self._duration_s)

    def written(self, version: int) -> None:
        """It is ours."""
        self.read(version, self._write)
        self._fencing = self._write["fencing"]

    def conflict(self) -> None:
        """It is another's."""
        self._fencing = None
        self._value = dict(self._value, holder="?")

    def ambiguous(self) -> None:
        """Taken for a failure."""

    failed = ambiguous
