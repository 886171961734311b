"""A lease on a duty: an object in the platform's store, with fencing.

The object's value is ``{"holder", "incarnation", "fencing", "duration_s"}``.
Each new holder raises the fencing number by one. The holder sends the number
with each order, so that an upstream can refuse the late order of a former
holder. Writes are conditional on the object's version, so only one of two
concurrent writers succeeds. All times are local and monotonic; no clock of
another machine is trusted:

- the holder measures the duration from before it sent the renewal;
- a contender measures it from its first observation of the current version,
  which is later, so the lease always expires at the holder first.

:meth:`Lease.may_order` must be called just before each order: it detects a
lease that expired during a pause or a slow answer.
"""

import random
import typing

from .. import clock as clocks
from . import lease_objects

DEFAULT_DURATION_S = 15.0
# A lease is renewed when this fraction of its duration has passed.
RENEW_FRACTION = 1 / 3
# The rates of two machines' monotonic clocks may differ by this fraction.
CLOCK_DRIFT_FRACTION = 0.01
# Delay after a failed store call; a random jitter is added to it.
RETRY_S = 1.0
RETRY_JITTER_S = 0.5
NEVER = float("-inf")


class Lease:
    """This VM's side of one lease: acquires, renews and releases it.

    The caller makes the store calls that :meth:`tick` returns, and reports
    their results.

    :param name: the lease object's name, such as "leases/capacity/sala-a".
    :param holder: this VM's name.
    :param incarnation: the incarnation of this process; a restarted process
        is another holder.
    :param longest_order_s: the longest time, in seconds, until an order takes
        effect. For upstreams that ignore fencing numbers a new holder also
        waits for this time, as the last order of the previous holder may
        still be on its way; 0 when all upstreams check the number.
    :param duration_s: the duration of the lease, in seconds.
    :param durable: whether the store keeps every acknowledged write. A
        missing object was then never written, so its lease is acquired at
        once.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_name",
        "_holder",
        "_incarnation",
        "_longest_order_s",
        "_duration_s",
        "_durable",
        "_observed",
        "_wanted",
        "_pending",
        "_sent_at",
        "_unconfirmed",
        "_own_version",
        "_fencing",
        "_renewed_at",
        "_valid_until",
        "_highest_fencing",
        "_surrendered",
        "_surrendered_at",
        "_retry_at",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        name: str,
        holder: str,
        incarnation: int,
        longest_order_s: float = 0.0,
        duration_s: float = DEFAULT_DURATION_S,
        durable: bool = False,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._name = name
        self._holder = holder
        self._incarnation = incarnation
        self._longest_order_s = longest_order_s
        self._duration_s = duration_s
        self._durable = durable
        self._observed: lease_objects.ObservedLease | None = None
        self._wanted = False
        self._pending: lease_objects.LeaseAction | None = None
        self._sent_at = NEVER
        self._unconfirmed: lease_objects.UnconfirmedWrite | None = None
        self._own_version: int | None = None
        self._fencing = 0
        self._renewed_at = NEVER
        self._valid_until = NEVER
        self._highest_fencing = 0
        self._surrendered = 0
        self._surrendered_at = NEVER
        self._retry_at = NEVER

    @property
    def name(self) -> str:
        """The lease object's name."""
        return self._name

    @property
    def held(self) -> bool:
        """Whether this VM's lease is valid now."""
        return self._clock.now() < self._valid_until

    @property
    def wanted(self) -> bool:
        """Whether this VM should hold the lease."""
        return self._wanted

    def may_order(self, order_s: float = 0.0) -> int | None:
        """The fencing number to send with an order, if it may be sent now.

        An order is a call by which the lease's holder directs an upstream.

        :param order_s: the time needed to send the order, in seconds; the
            lease must stay valid for that long.
        :returns: the fencing number to send with the order; None when this
            VM must not order.
        """
        if not self._wanted or self._fencing < self._highest_fencing:
            return None
        if self._clock.now() + order_s >= self._valid_until:
            return None
        return self._fencing

    def want(self, wanted: bool) -> None:
        """Set whether this VM should hold the lease.

        A holder that should not hold it any longer stops ordering at once.
        """
        self._wanted = wanted

    def surrender(self) -> int:
        """Stop using the current fencing number for good.

        This is for a holder whose renewals fail while other VMs reach the
        store: once they know, they need not wait until its lease expires. A
        later write by this VM, if the object is still its own, has a greater
        number.

        :returns: the surrendered fencing number.
        """
        surrendered = self._fencing
        self._wanted = False
        self._valid_until = NEVER
        self._highest_fencing = max(self._highest_fencing, surrendered + 1)
        return surrendered

    def record_surrender(self, fencing: int) -> None:
        """Record that a fencing number's holder has surrendered it.

        While the lease object still has that number, or a lower one, this VM
        need not wait until the lease expires before it acquires it.
        """
        if fencing > self._surrendered:
            self._surrendered = fencing
            self._surrendered_at = self._clock.now()

    @property
    def last_renewal(self) -> tuple[int, int] | None:
        """Version and fencing number of the object as this VM last wrote it.

        The value is None while this VM does not hold the lease. Other VMs
        learn of renewals by it.
        """
        if not self.held or self._own_version is None:
            return None
        return self._own_version, self._fencing

    def observe_renewal(
        self, version: int, fencing: int, holder: str, incarnation: int
    ) -> None:
        """Record a renewal that the holder announced.

        The write preceded the announcement, so a duration measured from now
        ends after the lease has expired at the holder. The object is still
        read before this VM acquires the lease. A VM that does not contend
        records renewals, too: it may have to contend as soon as the holder
        fails, and would otherwise measure the duration only from then on.
        """
        observed = self._observed
        if self._pending is not None or self._unconfirmed or self._is_own():
            return
        if observed is not None and version <= (observed.version or 0):
            return
        value = {
            "holder": holder,
            "incarnation": incarnation,
            "fencing": fencing,
            "duration_s": self._duration_s,
        }
        self._observe(version, value)

    def observe_process(self, vm: str, incarnation: int) -> None:
        """Record the incarnation of the process that a VM runs.

        A newer process on the holder's VM shows that the holder has ended
        and sends no more orders. This holds only for a durable store: one
        restored from an old copy may name a process that ended long ago
        while another VM's lease is still valid.
        """
        observed = self._observed
        if (
            not self._durable
            or observed is None
            or vm != observed.value["holder"]
        ):
            return
        if incarnation > observed.value["incarnation"]:
            self.record_surrender(int(observed.value["fencing"]))

    def fencing_rejected(self, highest: int) -> None:
        """Handle an upstream that has seen a greater fencing number.

        Either another VM holds the lease by now, or the store lost the
        object and the numbers restarted. The object is read to find out.

        :param highest: the highest number that the upstream has seen.
        """
        self._highest_fencing = max(self._highest_fencing, highest)
        self._valid_until = NEVER
        if self._pending is None:
            self._observed = None

    def tick(self) -> lease_objects.LeaseAction | None:
        """The store call that is due, if any; one is in progress at a time."""
        now = self._clock.now()
        if self._pending is not None or now < self._retry_at:
            return None
        if not self._wanted:
            return self._release()
        if self._observed is None:
            return self._begin(lease_objects.ReadLease(self._name))
        if self._is_own():
            return self._renew(now)
        return self._contend(now, self._observed)

    def read(
        self, version: int | None, value: dict[str, typing.Any] | None
    ) -> None:
        """Report the result of a read of the lease object.

        :param version: version of the object; None when there is no object.
        :param value: JSON value of the object; None when there is no object.
        """
        self._pending = None
        if value is not None and not lease_objects.is_lease_value(value):
            # Overwriting an object that somebody edited by hand would restart
            # the fencing numbers. Nobody holds the lease until the object is
            # repaired.
            self._backoff()
            return
        self._observe(
            version, value or lease_objects.unheld_value(0, self._duration_s)
        )
        self._resolve_unconfirmed()
        if not self._is_own():
            self._valid_until = NEVER

    def written(self, version: int) -> None:
        """Report that the write of the lease object took effect.

        :param version: version that the write gave to the object.
        """
        write, self._pending = self._pending, None
        if not isinstance(write, lease_objects.WriteLease):
            return
        self._unconfirmed = None
        self._observe(version, write.value)
        self._apply_own_write(version, write.value, self._sent_at)

    def conflict(self) -> None:
        """Report that a write found another version of the object.

        The object is read next. That version may be this VM's own, from a
        write whose answer was lost.
        """
        self._pending = None
        self._observed = None

    def ambiguous(self) -> None:
        """Report a write to which the store gave no answer.

        The object is read next, as the write may have taken effect.
        """
        write, self._pending = self._pending, None
        self._observed = None
        if (
            isinstance(write, lease_objects.WriteLease)
            and self._unconfirmed is None
        ):
            self._unconfirmed = lease_objects.UnconfirmedWrite(
                write, self._sent_at
            )
        self._backoff()

    def failed(self) -> None:
        """Report a store call without effect; it is retried after a delay."""
        self._pending = None
        self._backoff()

    def _backoff(self) -> None:
        jitter_s = self._rng.uniform(0, RETRY_JITTER_S)
        self._retry_at = self._clock.now() + RETRY_S + jitter_s

    def _begin(
        self, action: lease_objects.LeaseAction
    ) -> lease_objects.LeaseAction:
        self._pending = action
        # The time is taken before the call, as the store may apply a write at
        # any later moment.
        self._sent_at = self._clock.now()
        return action

    def _renew(self, now: float) -> lease_objects.LeaseAction | None:
        assert self._observed is not None
        fencing = int(self._observed.value["fencing"])
        if fencing < self._highest_fencing:
            return self._write(self._holder, self._highest_fencing + 1)
        if now < self._renewed_at + RENEW_FRACTION * self._duration_s:
            return None
        return self._write(self._holder, fencing)

    def _contend(
        self, now: float, observed: lease_objects.ObservedLease
    ) -> lease_objects.LeaseAction | None:
        self.observe_process(self._holder, self._incarnation)
        available_at = self._available_at(observed)
        if now < available_at:
            return None
        if observed.checked_at < available_at and observed.value["holder"]:
            # The holder has most likely renewed the lease; a read costs the
            # store less than a write that fails.
            return self._begin(lease_objects.ReadLease(self._name))
        fencing = (
            max(int(observed.value["fencing"]), self._highest_fencing) + 1
        )
        return self._write(self._holder, fencing)

    def _release(self) -> lease_objects.LeaseAction | None:
        if self._own_version is None and self._unconfirmed is None:
            return None
        if self._observed is None:
            return self._begin(lease_objects.ReadLease(self._name))
        if not self._is_own():
            return None
        self._valid_until = NEVER
        return self._write("", int(self._observed.value["fencing"]))

    def _write(self, holder: str, fencing: int) -> lease_objects.LeaseAction:
        assert self._observed is not None
        value = {
            "holder": holder,
            "incarnation": self._incarnation,
            "fencing": fencing,
            "duration_s": self._duration_s,
        }
        return self._begin(
            lease_objects.WriteLease(self._name, value, self._observed.version)
        )

    def _observe(
        self, version: int | None, value: dict[str, typing.Any]
    ) -> None:
        now = self._clock.now()
        self._highest_fencing = max(
            self._highest_fencing, int(value["fencing"])
        )
        if self._observed is not None and self._observed.version == version:
            self._observed.checked_at = now
            return
        self._observed = lease_objects.ObservedLease(version, value, now)

    def _resolve_unconfirmed(self) -> None:
        """Determine whether a write without an answer took effect."""
        unconfirmed, observed = self._unconfirmed, self._observed
        if unconfirmed is None or observed is None:
            return
        if observed.version == unconfirmed.write.expected_version:
            # The write has had no effect yet, but may still arrive.
            return
        self._unconfirmed = None
        if (
            observed.value == unconfirmed.write.value
            and observed.version is not None
        ):
            # The duration is measured from the first unconfirmed write: a
            # later one with the same value may not have taken effect.
            self._apply_own_write(
                observed.version, observed.value, unconfirmed.sent_at
            )

    def _apply_own_write(
        self, version: int, value: dict[str, typing.Any], sent_at: float
    ) -> None:
        if not value["holder"]:
            self._own_version = None
            return
        self._own_version = version
        self._fencing = int(value["fencing"])
        self._renewed_at = sent_at
        self._valid_until = sent_at + self._duration_s * (
            1 - CLOCK_DRIFT_FRACTION
        )

    def _is_own(self) -> bool:
        # This compares the version known to be written by this VM, not the
        # name in the value: a store restored from an old copy may name this
        # VM as the holder while another VM's lease is still valid.
        return (
            self._observed is not None
            and self._own_version is not None
            and self._observed.version == self._own_version
        )

    def _available_at(self, observed: lease_objects.ObservedLease) -> float:
        # Unless the store is durable, a missing object is treated like a held
        # lease: the store may have lost it while its holder relies on it.
        is_reliable = self._durable or observed.version is not None
        if observed.version is None and self._durable:
            return observed.since
        if not observed.value["holder"] and is_reliable:
            return observed.since + self._longest_order_s
        if 0 < int(observed.value["fencing"]) <= self._surrendered:
            return self._surrendered_at + self._longest_order_s
        wait_s = observed.value["duration_s"] * (1 + CLOCK_DRIFT_FRACTION)
        return observed.since + wait_s + self._longest_order_s
