"""What of a VM's crash log must outlive all VMs that know it.

Each VM keeps the crashes that it has seen itself outside of its process, and
reads those of all VMs at its start. Without them, a fleet whose VMs end again
and again would let the calls that crash runners crash more of them each time.
"""

import typing

from .. import clock as clocks
from ..vms import rendezvous

from . import crash_log
from . import crash_records
from . import crashes

#: How many of the VMs that saw a crash keep it.
KEEPER_COUNT = 8
#: The greatest numbers of crashes that a VM keeps, the latest ones, and of
#: features whose answers it keeps. They bound what is kept to some 30 KB.
MAX_KEPT_CRASHES = 8
MAX_KEPT_ANSWERS = 256
#: Times of one crash, as kept by several VMs, may differ by so much, in
#: seconds, as the VMs' clocks do.
CLOCK_TOLERANCE_S = 60.0


class Evidence:
    """The crashes that a VM keeps.

    :param record: them, as in a record; see :mod:`.crash_records`.
    :param summary: equal if there is nothing new to keep.
    """

    __slots__ = ("record", "summary")

    def __init__(
        self, record: crash_records.CrashRecord, summary: typing.Hashable
    ) -> None:
        self.record = record
        self.summary = summary

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to keep."""
        return not self.record[0]


def select(clock: clocks.Clock, vm: str, log: crash_log.CrashLog) -> Evidence:
    """Select what a VM keeps of its log.

    Falls of fragile runners are left out: they accuse no call.
    """
    kept = [crash for crash in log.crashes if _keeps(vm, crash)]
    kept = kept[-MAX_KEPT_CRASHES:]
    now = clock.now()
    suspects = {crash: _select_suspects(crash, log) for crash in kept}
    entries = [
        crash_records.encode_crash(
            crashes.CrashObservation(
                vm, crash.runner, crash.data_centre, 0.0, crash.noticed, ()
            ),
            now - crash.at,
            suspects[crash],
            sorted(crash.reporters)[:KEEPER_COUNT],
        )
        for crash in kept
    ]
    names = {
        name for each in suspects.values() for s in each for name in s.names
    }
    ages = {name: log.last_answer_age_s(name) for name in names}
    answered = sorted(
        (name for name, age_s in ages.items() if age_s is not None),
        key=lambda name: (-log.crash_count(name), name),
    )[:MAX_KEPT_ANSWERS]
    answers = [
        crash_records.encode_answer(name, ages[name] or 0.0)
        for name in answered
    ]
    summary = (
        frozenset((e[0], e[3], frozenset(e[4])) for e in entries),
        frozenset(name for name in answered if not log.is_implicated(name)),
    )
    return Evidence((entries, answers, {}), summary)


def _keeps(vm: str, crash: crashes.RunnerCrash) -> bool:
    if crash.fragile or vm not in crash.reporters:
        return False
    return vm in rendezvous.rank(crash.runner, crash.reporters)[:KEEPER_COUNT]


def _select_suspects(
    crash: crashes.RunnerCrash, log: crash_log.CrashLog
) -> list[crashes.SuspectRequest]:
    """The likeliest suspects of a crash, as many as a record has room for."""
    ranked = sorted(
        crash.suspects.values(),
        key=lambda s: (-log.suspicion(s), s.fingerprint),
    )
    return crash_records.fit(ranked)
