"""Retry times at which refused calls find units reserved for them.

If each refused call were told when the limit has room for it alone, all would
return at nearly the same time, behind the new calls, and most would be refused
again. Instead, the keeper of the limit reserves units for refused calls one
after the other, at half of the limit's rate. A call's units are set aside
gradually until its retry time, and stay so for :data:`GRACE_S` after it. New
calls use the rest. Units that nobody comes for are available to all again.

A reservation is no additional room: a call that returns takes its units from
the limit like any other one.

A call is recognised by a hash, because its retry has another request ID and
may arrive at another VM. Different calls of equal content have the same hash
and share one reservation.
"""

import collections
import heapq
import itertools
import typing

import xxhash

from .. import clock as clocks

from . import fleet_rate_limit

#: Part of a limit's rate that is reserved for retries. New calls have the
#: rest, so that they are served, too.
RATE_SHARE = 0.5
#: Part of the burst above which nothing is set aside, except for one call that
#: is larger. A full bucket would otherwise refuse new calls while it waits for
#: callers that never return.
BURST_SHARE = 0.5
#: Seconds after its retry time for which a call's units stay set aside. It
#: covers a new connection and a busy caller.
GRACE_S = 1.0
#: The most reservations of one limit, to bound the memory of its keeper.
MAX_RESERVATIONS = 256
#: The most calls without a reservation whose retry times are remembered.
MAX_UNRESERVED = 256
#: Part of the burst that must be left for a call that returns too early. While
#: others compete for the limit, so much is not left, and returning early gains
#: nothing; without competition, the call need not wait.
EARLY_BURST_SHARE = 0.5
#: By how many seconds the retry time of a call without a reservation moves
#: when it returns too early.
EARLY_DELAY_S = 0.1
#: Tolerance for rounding errors of times, in seconds.
ROUNDING_S = 1e-6


def call_hash(customer: str, method: str, target: str, body: bytes) -> int:
    """Return the 64-bit hash by which a call's retry is recognised.

    :param target: path and query.
    """
    digest = xxhash.xxh64(f"{customer}\0{method}\0{target}\0".encode())
    digest.update(body)
    return digest.intdigest()


class ReturningCall:
    """What the keeper of a limit knows of a call that may return.

    :param call_hash: see :func:`call_hash`.
    :param patience_s: the longest retry delay in seconds that the caller can
        honour. Nothing is reserved for a call that would have to wait longer.
    """

    __slots__ = ("call_hash", "patience_s")

    def __init__(self, call_hash: int, patience_s: float) -> None:
        self.call_hash = call_hash
        self.patience_s = patience_s


class ReturnCounts:
    """Counts of the retry times that this VM gave as a keeper."""

    __slots__ = ("given", "unreserved", "kept", "missed", "refused_again")

    def __init__(self) -> None:
        #: Retry times with a reservation.
        self.given = 0
        #: Retry times without one, mostly beyond the caller's patience.
        self.unreserved = 0
        #: Reservations whose call returned in time and was admitted.
        self.kept = 0
        #: Reservations that no call returned for.
        self.missed = 0
        #: Calls that returned in time and did not find their units.
        self.refused_again = 0


class _Reservation:
    __slots__ = (
        "call_hash",
        "units",
        "starts_at",
        "due_at",
        "is_open",
        "is_ripe",
    )

    def __init__(
        self, call_hash: int, units: float, starts_at: float, due_at: float
    ) -> None:
        self.call_hash = call_hash
        self.units = units
        #: When the first of the units is set aside.
        self.starts_at = starts_at
        #: The retry time, from which all units are set aside.
        self.due_at = due_at
        self.is_open = True
        #: Whether the retry time has come.
        self.is_ripe = False


class ReturnSlots:
    """The retry times of one customer's limit, at the limit's keeper.

    :param clock: the source of time.
    :param counts: counts of all limits of this VM.
    """

    __slots__ = (
        "_clock",
        "_counts",
        "_large",
        "_next_start_at",
        "_outstanding_units",
        "_reservations",
        "_ripe",
        "_ripe_units",
        "_sequence",
        "_unreserved",
        "_upcoming",
    )

    def __init__(self, clock: clocks.Clock, counts: ReturnCounts) -> None:
        self._clock = clock
        self._counts = counts
        self._reservations: dict[int, _Reservation] = {}
        #: Reservations before their retry time. Their times to set aside units
        #: follow each other, so only the first one's has begun.
        self._upcoming: collections.deque[_Reservation] = collections.deque()
        #: Reservations after their retry time, by the time of their end.
        self._ripe: list[tuple[float, int, _Reservation]] = []
        self._sequence = itertools.count()
        self._ripe_units = 0.0
        self._outstanding_units = 0.0
        #: When the units of the next reservation begin to be set aside.
        self._next_start_at = 0.0
        #: Units of reservations above :data:`BURST_SHARE`, by hash.
        self._large: dict[int, float] = {}
        #: Retry times of calls without a reservation, by hash, with the most
        #: recently seen last: calls that return often are not forgotten.
        self._unreserved: dict[int, float] = {}

    @property
    def reservation_count(self) -> int:
        """The number of open reservations."""
        self._advance()
        return len(self._reservations)

    def reserved_units(self, burst: float) -> float:
        """Return the units set aside now, which new calls cannot use.

        :param burst: the limit's burst in units.
        """
        self._advance()
        units = self._ripe_units
        if self._upcoming and self._upcoming[0].is_open:
            first = self._upcoming[0]
            elapsed_s = max(0.0, self._clock.now() - first.starts_at)
            units += first.units * elapsed_s / (first.due_at - first.starts_at)
        return min(units, max([BURST_SHARE * burst, *self._large.values()]))

    def admit(
        self,
        rate: fleet_rate_limit.FleetRateLimit,
        units: float,
        call: ReturningCall | None,
    ) -> float:
        """Admit a call as the keeper of a limit, or give it a retry time.

        :param rate: the limit.
        :param units: the units of the call.
        :param call: None for a call of a VM that sends no hash. Nothing is
            reserved for it.
        :returns: 0 if the call was admitted, else the seconds until its
            retry time.
        """
        if not rate.is_limited:
            return rate.take(units, for_all=True)
        reserved = self.reserved_units(rate.usable_burst)
        if call is None:
            return rate.take(units, True, reserved)
        reservation = self._find(call, units)
        now = self._clock.now()
        due_at = (
            reservation.due_at
            if reservation
            else self._unreserved.get(call.call_hash, 0.0)
        )
        if now < due_at - ROUNDING_S:
            return self._admit_early(rate, units, call, due_at, reserved)
        if reservation is not None:
            wait_s = rate.take(units, for_all=True)
            self._end_visit(reservation, wait_s)
            return wait_s
        self._unreserved.pop(call.call_hash, None)
        wait_s = rate.take(units, True, reserved)
        return wait_s and self._give_time(rate, units, call, wait_s)

    def observe(
        self,
        rate: fleet_rate_limit.FleetRateLimit,
        units: float,
        call: ReturningCall | None,
        wait_s: float,
    ) -> None:
        """Count what :meth:`admit` would do for a call already decided on.

        :param wait_s: the decision, 0 if the call was admitted.
        """
        if call is None or not rate.is_limited:
            return
        self._advance()
        reservation = self._find(call, units)
        if reservation is None:
            if wait_s > 0.0:
                self._give_time(rate, units, call, wait_s)
        elif reservation.due_at - ROUNDING_S <= self._clock.now():
            self._end_visit(reservation, wait_s)
        elif wait_s == 0.0:
            self._close(reservation)

    def _find(self, call: ReturningCall, units: float) -> _Reservation | None:
        """Return a call's reservation if it covers the call's units."""
        found = self._reservations.get(call.call_hash)
        return found if found and units <= found.units else None

    def _admit_early(
        self,
        rate: fleet_rate_limit.FleetRateLimit,
        units: float,
        call: ReturningCall,
        due_at: float,
        reserved: float,
    ) -> float:
        reservation = self._find(call, units)
        # What is set aside for the call itself does not stand in its way.
        if reservation and reservation.is_ripe:
            reserved = max(0.0, reserved - reservation.units)
        elif reservation and reservation is self._upcoming[0]:
            reserved = min(reserved, self._ripe_units)
        burst = rate.usable_burst
        # A call near the burst could not leave more.
        spare = min(EARLY_BURST_SHARE * burst, max(0.0, burst - units))
        admitted = rate.take(units, True, reserved + spare) == 0.0
        if admitted and reservation is not None:
            self._close(reservation)
        elif reservation is None:
            self._unreserved.pop(call.call_hash, None)
            if not admitted:
                # It goes behind the calls refused since, so that repeated
                # calls are not more often treated as new ones.
                due_at = max(due_at, self._next_start_at) + EARLY_DELAY_S
                self._unreserved[call.call_hash] = due_at
        return 0.0 if admitted else due_at - self._clock.now()

    def _end_visit(self, reservation: _Reservation, wait_s: float) -> None:
        """Update a reservation whose call has returned in time.

        :param wait_s: 0 if the call was admitted. Otherwise VMs that decided
            by themselves have used the units, and the call's retry time
            moves by so many seconds.
        """
        if wait_s == 0.0:
            self._counts.kept += 1
            self._close(reservation)
            return
        self._counts.refused_again += 1
        reservation.due_at = self._clock.now() + wait_s
        self._push_ripe(reservation)

    def _give_time(
        self,
        rate: fleet_rate_limit.FleetRateLimit,
        units: float,
        call: ReturningCall,
        wait_s: float,
    ) -> float:
        """Return the seconds to the retry time of a call that is refused.

        :param wait_s: the seconds until the limit could admit the call, used
            for a call that exceeds the burst. Such a call needs a full
            bucket, so its reservation would hold up all others.
        """
        now = self._clock.now()
        reserved_per_s = RATE_SHARE * rate.refill_rate
        if units > rate.usable_burst or reserved_per_s <= 0.0:
            self._counts.unreserved += 1
            return wait_s
        starts_at = max(now, self._next_start_at)
        due_at = max(
            starts_at + units / reserved_per_s,
            # After a network partition the limit may be in debt.
            now + rate.backlog_s(self._outstanding_units + units),
        )
        if due_at - now > call.patience_s:
            self._remember_unreserved(call.call_hash, due_at)
            return due_at - now
        self._next_start_at = due_at
        if (
            call.call_hash in self._reservations
            or len(self._reservations) >= MAX_RESERVATIONS
        ):
            self._remember_unreserved(call.call_hash, due_at)
            return due_at - now
        self._counts.given += 1
        reservation = _Reservation(call.call_hash, units, starts_at, due_at)
        self._reservations[call.call_hash] = reservation
        self._upcoming.append(reservation)
        self._outstanding_units += units
        if units > BURST_SHARE * rate.usable_burst:
            self._large[call.call_hash] = units
        return due_at - now

    def _remember_unreserved(self, call_hash: int, due_at: float) -> None:
        self._counts.unreserved += 1
        self._unreserved[call_hash] = due_at
        if len(self._unreserved) > MAX_UNRESERVED:
            del self._unreserved[next(iter(self._unreserved))]

    def _advance(self) -> None:
        """Apply the retry times and ends of reservations that have passed."""
        now = self._clock.now()
        while self._upcoming and (
            self._upcoming[0].due_at <= now or not self._upcoming[0].is_open
        ):
            reservation = self._upcoming.popleft()
            if reservation.is_open:
                reservation.is_ripe = True
                self._ripe_units += reservation.units
                self._push_ripe(reservation)
        while self._ripe and self._ripe[0][0] < now:
            reservation = heapq.heappop(self._ripe)[2]
            # A reservation whose time was moved has a later entry as well.
            if reservation.is_open and reservation.due_at + GRACE_S < now:
                self._counts.missed += 1
                self._close(reservation)

    def _push_ripe(self, reservation: _Reservation) -> None:
        ends_at = reservation.due_at + GRACE_S
        heapq.heappush(
            self._ripe, (ends_at, next(self._sequence), reservation)
        )

    def _close(self, reservation: _Reservation) -> None:
        """End a reservation; its units are available to all again."""
        reservation.is_open = False
        del self._reservations[reservation.call_hash]
        self._large.pop(reservation.call_hash, None)
        self._outstanding_units -= reservation.units
        if reservation.is_ripe:
            self._ripe_units -= reservation.units
        if not self._reservations:
            # Removes the rounding errors of the sums.
            self._outstanding_units = self._ripe_units = 0.0


def counts_metrics(counts: ReturnCounts) -> typing.Mapping[str, float]:
    """Return the counts as metrics, by name."""
    return {
        "return_times_given_total": counts.given,
        "return_times_unreserved_total": counts.unreserved,
        "return_times_kept_total": counts.kept,
        "return_times_missed_total": counts.missed,
        "return_times_refused_again_total": counts.refused_again,
    }
