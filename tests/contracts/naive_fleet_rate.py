"""The naive rival of a fleet-wide limit: fixed equal shares."""

from apricotlever.contracts import token_bucket


class EqualParts:
    """Each VM has an equal share of the limit, whatever the demand.

    :param clock: the source of time.
    :param rate: units per second of the whole fleet.
    :param burst: units that the fleet may admit in addition.
    :param vms: the number of VMs.
    """

    def __init__(self, clock, rate, burst, vms):
        self.buckets = [
            token_bucket.TokenBucket(clock, rate / vms, burst / vms)
            for _ in range(vms)
        ]

    def take(self, vm, units):
        """Return whether a VM admits units."""
        return self.buckets[vm].take(units)
