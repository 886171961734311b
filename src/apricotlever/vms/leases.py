"""A lease on a duty: an object in the platform's store, with fencing.

The object's value is ``{"holder", "incarnation", "fencing", "duration_s"}``.
Each new holder raises the fencing number by one; renewing is a conditional
update on the version, so of two writers one loses. Times are monotonic and
local; no clock of another machine is trusted:

- the holder counts its duration from before it sent the renewal;
- a contender counts it from when it first saw the current version, which is
  later, so the holder's time is always over first.

A holder that was paused, or whose answer was slow, finds its time over in
:meth:`Lease.may_order`, which is to be asked just before each order.
"""

import random
import typing

from .. import clock as clocks
from . import lease_objects

DEFAULT_DURATION_S = 15.0
# Renewed when this part of the duration has passed.
RENEW_PART = 1 / 3
# Rates of two machines' monotonic clocks may differ by this part.
DRIFT_PART = 0.01
RETRY_S = 1.0
RETRY_JITTER_S = 0.5
NEVER = float("-inf")


class Lease:
    """One VM's side of one lease.

    :param name: the object's name, such as "leases/capacity/sala-a".
    :param holder: this VM.
    :param incarnation: of this process; a restarted one is another holder.
    :param longest_order_s: how long an order may take to act. For upstreams
        that ignore fencing numbers a successor waits for this too, as the
        last order of its predecessor may still be on its way; 0 when all of
        them check the number.
    :param durable: whether the store keeps whatever it has acknowledged. An
        object that is not there was never written then, and is taken at once.
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
        "_seen",
        "_wanted",
        "_pending",
        "_sent_at",
        "_doubt",
        "_own_version",
        "_fencing",
        "_renewed_at",
        "_valid_until",
        "_highest",
        "_given_up",
        "_given_up_at",
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
        self._seen: lease_objects.Seen | None = None
        self._wanted = False
        self._pending: lease_objects.LeaseAction | None = None
        self._sent_at = NEVER
        self._doubt: lease_objects.Doubt | None = None
        self._own_version: int | None = None
        self._fencing = 0
        self._renewed_at = NEVER
        self._valid_until = NEVER
        self._highest = 0
        self._given_up = 0
        self._given_up_at = NEVER
        self._retry_at = NEVER

    @property
    def name(self) -> str:
        """The object's name."""
        return self._name

    @property
    def held(self) -> bool:
        """Whether the lease is valid at this moment."""
        return self._clock.now() < self._valid_until

    @property
    def wanted(self) -> bool:
        """Whether this VM wants to hold it."""
        return self._wanted

    def may_order(self, order_s: float = 0.0) -> int | None:
        """Ask just before each order.

        :param order_s: how long it takes to send the order off; the lease
            has to last that long.
        :returns: the fencing number to send with it, or None: no order.
        """
        if not self._wanted or self._fencing < self._highest:
            return None
        if self._clock.now() + order_s >= self._valid_until:
            return None
        return self._fencing

    def want(self, wanted: bool) -> None:
        """Set whether this VM should hold it; it stops ordering at once."""
        self._wanted = wanted

    def give_up(self) -> int:
        """Never act again with the number held now.

        For a holder whose renewals fail while others reach the store: they
        need not wait until its time is over once they know. What it writes
        later, if the object is still its own, has a greater number.

        :returns: the number.
        """
        given_up = self._fencing
        self._wanted = False
        self._valid_until = NEVER
        self._highest = max(self._highest, given_up + 1)
        return given_up

    def given_up(self, fencing: int) -> None:
        """Its holder says that it never acts again with a number."""
        if fencing > self._given_up:
            self._given_up = fencing
            self._given_up_at = self._clock.now()

    @property
    def renewed(self) -> tuple[int, int] | None:
        """The version and the number of the lease while it is held."""
        if not self.held or self._own_version is None:
            return None
        return self._own_version, self._fencing

    def told(
        self, version: int, fencing: int, holder: str, incarnation: int
    ) -> None:
        """The holder tells of the version that it wrote.

        It wrote it before it told, so the time from now covers the time that
        the holder counts. The object is still read before it is taken. A VM
        that does not contend yet takes it in, too: it may have to as soon as
        the holder is not heard any more, and would count from then on.
        """
        seen = self._seen
        if self._pending is not None or self._doubt or self._is_mine():
            return
        if seen is not None and version <= (seen.version or 0):
            return
        value = {
            "holder": holder,
            "incarnation": incarnation,
            "fencing": fencing,
            "duration_s": self._duration_s,
        }
        self._observe(version, value)

    def process_seen(self, vm: str, incarnation: int) -> None:
        """A VM runs a process; its number as the VM tells it.

        One of the holder's VM that is newer than the holder shows that the
        holder has ended: no order of it can follow. Only where the store is
        durable: an old copy may name a process that ended long ago while
        another VM's lease runs.
        """
        seen = self._seen
        if not self._durable or seen is None or vm != seen.value["holder"]:
            return
        if incarnation > seen.value["incarnation"]:
            self.given_up(int(seen.value["fencing"]))

    def fenced_off(self, highest: int) -> None:
        """An upstream refused an order: it has seen a greater number.

        Either another VM holds the lease by now, or the store lost the
        object and the numbers began anew. The object is read to see which.

        :param highest: the number that the upstream has seen.
        """
        self._highest = max(self._highest, highest)
        self._valid_until = NEVER
        if self._pending is None:
            self._seen = None

    def tick(self) -> lease_objects.LeaseAction | None:
        """The next store call, if one is due; one at a time."""
        now = self._clock.now()
        if self._pending is not None or now < self._retry_at:
            return None
        if not self._wanted:
            return self._release()
        if self._seen is None:
            return self._begin(lease_objects.ReadLease(self._name))
        if self._is_mine():
            return self._renew(now)
        return self._contend(now, self._seen)

    def read(
        self, version: int | None, value: dict[str, typing.Any] | None
    ) -> None:
        """The object as the store holds it; None when there is none."""
        self._pending = None
        if value is not None and not lease_objects.is_lease(value):
            # Overwriting what somebody put there by hand would start the
            # fencing numbers again; the duty rests until it is mended.
            self._backoff()
            return
        self._observe(
            version, value or lease_objects.free(0, self._duration_s)
        )
        self._settle_doubt()
        if not self._is_mine():
            self._valid_until = NEVER

    def written(self, version: int) -> None:
        """The write took effect."""
        write, self._pending = self._pending, None
        if not isinstance(write, lease_objects.WriteLease):
            return
        self._doubt = None
        self._observe(version, write.value)
        self._confirm(version, write.value, self._sent_at)

    def conflict(self) -> None:
        """Another version is there: it is read to see whose.

        It may be our own, by a write whose answer was lost.
        """
        self._pending = None
        self._seen = None

    def ambiguous(self) -> None:
        """The write went out and no answer came; it is read back."""
        write, self._pending = self._pending, None
        self._seen = None
        if isinstance(write, lease_objects.WriteLease) and self._doubt is None:
            self._doubt = lease_objects.Doubt(write, self._sent_at)
        self._backoff()

    def failed(self) -> None:
        """The call surely had no effect; tried again after a while."""
        self._pending = None
        self._backoff()

    def _backoff(self) -> None:
        jitter_s = self._rng.uniform(0, RETRY_JITTER_S)
        self._retry_at = self._clock.now() + RETRY_S + jitter_s

    def _begin(
        self, action: lease_objects.LeaseAction
    ) -> lease_objects.LeaseAction:
        self._pending = action
        # From before the call: the store may apply it any time after.
        self._sent_at = self._clock.now()
        return action

    def _renew(self, now: float) -> lease_objects.LeaseAction | None:
        assert self._seen is not None
        fencing = int(self._seen.value["fencing"])
        if fencing < self._highest:
            return self._write(self._holder, self._highest + 1)
        if now < self._renewed_at + RENEW_PART * self._duration_s:
            return None
        return self._write(self._holder, fencing)

    def _contend(
        self, now: float, seen: lease_objects.Seen
    ) -> lease_objects.LeaseAction | None:
        self.process_seen(self._holder, self._incarnation)
        free_at = self._free_at(seen)
        if now < free_at:
            return None
        if seen.checked_at < free_at and seen.value["holder"]:
            # The holder has most likely renewed; a read is cheaper for the
            # store than a write that loses.
            return self._begin(lease_objects.ReadLease(self._name))
        fencing = max(int(seen.value["fencing"]), self._highest) + 1
        return self._write(self._holder, fencing)

    def _release(self) -> lease_objects.LeaseAction | None:
        if self._own_version is None and self._doubt is None:
            return None
        if self._seen is None:
            return self._begin(lease_objects.ReadLease(self._name))
        if not self._is_mine():
            return None
        self._valid_until = NEVER
        return self._write("", int(self._seen.value["fencing"]))

    def _write(self, holder: str, fencing: int) -> lease_objects.LeaseAction:
        assert self._seen is not None
        value = {
            "holder": holder,
            "incarnation": self._incarnation,
            "fencing": fencing,
            "duration_s": self._duration_s,
        }
        return self._begin(
            lease_objects.WriteLease(self._name, value, self._seen.version)
        )

    def _observe(
        self, version: int | None, value: dict[str, typing.Any]
    ) -> None:
        now = self._clock.now()
        self._highest = max(self._highest, int(value["fencing"]))
        if self._seen is not None and self._seen.version == version:
            self._seen.checked_at = now
            return
        self._seen = lease_objects.Seen(version, value, now)

    def _settle_doubt(self) -> None:
        """Find out whether a write whose answer was lost took effect."""
        doubt, seen = self._doubt, self._seen
        if doubt is None or seen is None:
            return
        if seen.version == doubt.write.expected_version:
            # Not yet; it may still arrive, so the doubt stays.
            return
        self._doubt = None
        if seen.value == doubt.write.value and seen.version is not None:
            # Counted from the first write in doubt: a later one with the
            # same value may not be the one that took effect.
            self._confirm(seen.version, seen.value, doubt.sent_at)

    def _confirm(
        self, version: int, value: dict[str, typing.Any], sent_at: float
    ) -> None:
        if not value["holder"]:
            self._own_version = None
            return
        self._own_version = version
        self._fencing = int(value["fencing"])
        self._renewed_at = sent_at
        self._valid_until = sent_at + self._duration_s * (1 - DRIFT_PART)

    def _is_mine(self) -> bool:
        # By the version that we know we wrote, not by the name in the
        # value: a store restored from an old copy may name us as holder
        # while another VM's lease still runs.
        return (
            self._seen is not None
            and self._own_version is not None
            and self._seen.version == self._own_version
        )

    def _free_at(self, seen: lease_objects.Seen) -> float:
        # A missing object is waited out like a held one, unless the store is
        # durable: it may have been lost while its holder counts on it.
        known = self._durable or seen.version is not None
        if seen.version is None and self._durable:
            return seen.since
        if not seen.value["holder"] and known:
            return seen.since + self._longest_order_s
        if 0 < int(seen.value["fencing"]) <= self._given_up:
            return self._given_up_at + self._longest_order_s
        wait_s = seen.value["duration_s"] * (1 + DRIFT_PART)
        return seen.since + wait_s + self._longest_order_s
