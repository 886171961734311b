"""Trials of calls that are blocked after two crashes.

They are known by the feature for which they are blocked, a fingerprint or a
prompt's part (:mod:`.call_features`).

A call that many callers send is in flight at any crash, so two restarts count
against it, and while it is blocked no answer can clear it. It is therefore run
as a trial now and then: an answer clears it, and a third crash blocks it for
good.

All VMs compute the same slots from the age of the second crash, each twice as
long as the one before, and each slot belongs to one VM by rendezvous hashing.
In its slot a VM sends one call to one runner at a time. So no messages are
needed, and the number of trials is bounded.
"""

import math
import typing

from .. import clock as clocks
from ..vms import rendezvous

from . import crashes
from . import quarantine

#: Length of the first slot, in seconds.
FIRST_SLOT_S = 1.0
#: A trial begins in this first part of its slot, so that the other VMs hear of
#: a crash within the slot before the next one begins.
START_SHARE = 0.5
#: Number of the last slot. Crashes further apart than
#: :data:`.crashes.SUSPICION_S` don't count together, so a later trial could
#: crash a runner without blocking its call.
LAST_SLOT = 8
#: Number of the first slot of a call that was not answered shortly before its
#: crashes. It is rarely in flight, so it is far more likely their cause.
FIRST_SLOT_OF_RARE_CALL = 6
#: The shortest wait of a call that may not run, in seconds.
MIN_WAIT_S = 0.1


class _Trial:
    """A trial of this VM.

    :param until: the end of its slot, in monotonic seconds.
    """

    __slots__ = ("call", "until", "broken")

    def __init__(self, call: object, until: float) -> None:
        self.call = call
        self.until = until
        #: Whether its runner broke off.
        self.broken = False


class CrashTrials:
    """Decides when this VM may run a blocked call as a trial.

    :param vm: this VM's name.
    """

    __slots__ = (
        "_clock",
        "_common_until",
        "_knows_fleet",
        "_trials",
        "_vm",
        "_vms",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._vms = frozenset((vm,))
        self._knows_fleet = True
        #: Until when a call counts as common, by feature.
        self._common_until: dict[str, float] = {}
        self._trials: dict[str, _Trial] = {}

    def set_vms(
        self, names: typing.Iterable[str], fleet_size: int | None = 0
    ) -> None:
        """Set the names of all known VMs; this one is added if it is missing.

        A VM that knows less than half of the fleet, as one that has just
        started or is cut off, begins no trial: each of them would take every
        turn for its own.

        :param fleet_size: how many VMs there are; None if that is unknown.
        """
        self._vms = frozenset(names) | {self._vm}
        self._knows_fleet = (
            fleet_size is not None and 2 * len(self._vms) > fleet_size
        )

    def note_common(self, name: str) -> None:
        """Record that a suspect was answered shortly before its crash.

        Such a call is often in flight, so it is in flight at any crash.
        """
        now = self._clock.now()
        self._common_until[name] = now + crashes.QUARANTINE_S

    def wait_s(self, name: str, call: object, crash_age_s: float) -> float:
        """Seconds until a trial may begin; 0 if this call may run now.

        :param call: the call, compared by identity. A call that has begun a
            trial may be sent again until a runner breaks off.
        :param crash_age_s: seconds since the second crash.
        """
        now = self._clock.now()
        trial = self._trials.get(name)
        if trial is not None and now < trial.until:
            if trial.call is call and not trial.broken:
                return 0.0
            return max(MIN_WAIT_S, trial.until - now)
        return self._slot_wait_s(name, crash_age_s)

    def begin(self, name: str, call: object, crash_age_s: float) -> None:
        """Begin a trial, if the call has not begun one in this slot.

        To be called when :meth:`wait_s` has returned 0.
        """
        now = self._clock.now()
        trial = self._trials.get(name)
        if trial is None or trial.until <= now:
            age_s = crash_age_s - quarantine.CRASH_SETTLE_S
            end_s = _slot_start_s(_slot_number(age_s) + 1)
            self._trials[name] = _Trial(call, now + end_s - age_s)

    def call_broken(self, name: str) -> None:
        """Send the call of a trial to no further runner in this slot."""
        trial = self._trials.get(name)
        if trial is not None:
            trial.broken = True

    def runs(self, call: object) -> bool:
        """Whether a call runs as a trial."""
        return call is not None and any(
            trial.call is call for trial in self._trials.values()
        )

    def call_cleared(self, name: str) -> None:
        """Forget a call's trial, as the call is blocked no longer."""
        self._trials.pop(name, None)

    def tick(self) -> None:
        """Forget what has expired."""
        now = self._clock.now()
        self._common_until = {
            name: until
            for name, until in self._common_until.items()
            if until > now
        }
        self._trials = {
            name: trial
            for name, trial in self._trials.items()
            if trial.until > now
        }

    def _slot_wait_s(self, name: str, crash_age_s: float) -> float:
        age_s = crash_age_s - quarantine.CRASH_SETTLE_S
        first = 0 if name in self._common_until else FIRST_SLOT_OF_RARE_CALL
        slot = first
        if age_s >= _slot_start_s(first):
            slot = max(first, _slot_number(age_s))
            if slot <= LAST_SLOT and self._may_begin(name, slot, age_s):
                return 0.0
            slot += 1
        if slot > LAST_SLOT:
            return max(MIN_WAIT_S, crashes.QUARANTINE_S - crash_age_s)
        return max(MIN_WAIT_S, _slot_start_s(slot) - age_s)

    def _may_begin(self, name: str, slot: int, age_s: float) -> bool:
        start_s, end_s = _slot_start_s(slot), _slot_start_s(slot + 1)
        if not self._knows_fleet or age_s >= start_s + START_SHARE * (
            end_s - start_s
        ):
            return False
        ranked = rendezvous.rank(name, self._vms)
        return ranked[slot % len(ranked)] == self._vm


def _slot_start_s(slot: int) -> float:
    """When a slot begins, in seconds after the crashes have settled."""
    return FIRST_SLOT_S * (2.0**slot - 1.0)


def _slot_number(age_s: float) -> int:
    """The slot at a time, in seconds after the crashes have settled."""
    return int(math.log2(age_s / FIRST_SLOT_S + 1.0))
