"""A fleet-wide limit by fixed equal parts, the naive rival."""

from apricotlever.contracts import rates


class EqualParts:
    """Each VM has its part of the limit, whatever the others ask for."""

    def __init__(self, clock, rate, burst, vms):
        self.buckets = [
            rates.TokenBucket(clock, rate / vms, burst / vms)
            for _ in range(vms)
        ]

    def take(self, vm, units):
        """Whether a VM lets units in."""
        return self.buckets[vm].take(units)
