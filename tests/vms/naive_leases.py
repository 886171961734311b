"""A naive lease, the baseline for the tests of leases.

It checks the lease only when it renews it, measures the duration from the
store's answer, treats an unanswered write as a failed one, and orders in
between without another check.
"""

import random

from apricotlever import clock as clocks
from apricotlever.vms import lease_objects

RENEW_S = 5.0


class NaiveLease:
    """Has the interface of ``Lease`` without its safeguards."""

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
        """Set whether this VM should hold the lease."""
        self._wanted = wanted

    def may_order(self, order_s: float = 0.0) -> int | None:
        """The fencing number of the last renewal."""
        return self._fencing if self._wanted else None

    def tick(self) -> lease_objects.LeaseAction | None:
        """Write an unheld or own lease; else read the object."""
        now = self._clock.now()
        if now < self._next_at or not self._wanted:
            return None
        self._next_at = now + RENEW_S
        is_own = self._value["holder"] == self._holder
        has_expired = now - self._since >= self._value["duration_s"]
        if not (is_own or has_expired or not self._value["holder"]):
            self._fencing = None
            return lease_objects.ReadLease(self._name)
        fencing = self._value["fencing"] + (0 if is_own else 1)
        self._write = {
            "holder": self._holder,
            "incarnation": 1,
            "fencing": fencing,
            "duration_s": self._duration_s,
        }
        return lease_objects.WriteLease(self._name, self._write, self._version)

    def read(self, version, value) -> None:
        """Report the object that was read."""
        if version != self._version:
            self._since = self._clock.now()
        self._version = version
        self._value = value or lease_objects.unheld_value(0, self._duration_s)

    def written(self, version: int) -> None:
        """Report that the write took effect."""
        self.read(version, self._write)
        self._fencing = self._write["fencing"]

    def conflict(self) -> None:
        """Report that another VM has written the object."""
        self._fencing = None
        self._value = dict(self._value, holder="?")

    def ambiguous(self) -> None:
        """Report a write without an answer; it is ignored."""

    failed = ambiguous
