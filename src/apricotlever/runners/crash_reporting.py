"""Chooses what of a VM's crash log goes into its next records.

Records are datagrams: small, and one in a few may be lost. So a crash is told
in several of them, the suspects at most crashes in each and the others in
turn. What makes a part of a prompt the cause of crashes is told again and
again, for VMs that have just started, were suspended or cut off.
"""

import typing

from .. import clock as clocks
from ..vms import rendezvous

from . import crash_causes
from . import crash_log
from . import crash_records
from . import crashes

#: How many VMs tell the others what explains crashes, as long as it does.
TELLER_COUNT = 8
#: The calls of one crash by which the cause of it is told to others.
CALLS_PER_CAUSE = 2

_Item = typing.TypeVar("_Item")


class _PendingReport:
    """A crash report that this VM's records repeat until a time.

    Records may be lost, so each report is sent several times.

    :param crashed_at: the time of the crash, in monotonic seconds.
    """

    __slots__ = ("crashed_at", "until", "report")

    def __init__(
        self, until: float, report: crashes.CrashObservation, crashed_at: float
    ) -> None:
        self.until = until
        self.report = report
        self.crashed_at = crashed_at


class CrashReporting:
    """The crash part of one VM's records.

    :param vm: this VM's name.
    :param log: the crashes that it knows.
    """

    __slots__ = (
        "_answered_at",
        "_clock",
        "_log",
        "_pending",
        "_retracted",
        "_tells",
        "_turn",
        "_unblocked_at",
        "_vm",
        "_vms",
        "_whole_turn",
    )

    def __init__(
        self, clock: clocks.Clock, vm: str, log: crash_log.CrashLog
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._vms = frozenset((vm,))
        self._log = log
        #: Whether this VM tells of a cause, by its key.
        self._tells: dict[str, bool] = {}
        #: Crashes to be repeated in the next records, by runner.
        self._pending: dict[str, _PendingReport] = {}
        #: When a call of this VM was answered, and until when to tell, by the
        #: feature that it cleared.
        self._answered_at: dict[str, tuple[float, float]] = {}
        #: When this VM took a block back, by fingerprint.
        self._unblocked_at: dict[str, float] = {}
        #: Since when this VM takes its crashes back, and until when to tell.
        self._retracted = (0.0, float("-inf"))
        #: Count the records, and those that tell causes.
        self._turn = 0
        self._whole_turn = 0

    def set_vms(self, names: typing.Iterable[str]) -> None:
        """Set the names of all VMs; this one is added if it is missing."""
        vms = frozenset(names) | {self._vm}
        if vms != self._vms:
            self._vms = vms
            self._tells = {}

    def suspects_of(self, runner: str) -> tuple[crashes.SuspectRequest, ...]:
        """The suspects of a crash that is still being reported."""
        pending = self._pending.get(runner)
        return pending.report.suspects if pending is not None else ()

    def add_crash(self, report: crashes.CrashObservation) -> None:
        """Report a crash, in place of an earlier report of it."""
        now = self._clock.now()
        self._pending[report.runner] = _PendingReport(
            now + crash_records.RECORD_REPEAT_S, report, now - report.age_s
        )

    def add_answer(self, name: str, age_s: float) -> None:
        """Report that a call with a feature was answered."""
        now = self._clock.now()
        until = now + crash_records.RECORD_REPEAT_S
        self._answered_at[name] = now - age_s, until

    def add_unblocked(self, fingerprint: str) -> None:
        """Report that a call was blocked by error."""
        self._unblocked_at[fingerprint] = self._clock.now()

    def retract(self, since: float) -> None:
        """Report that the crashes that this VM alone reported are void.

        :param since: from this monotonic time on, in seconds.
        """
        self._pending.clear()
        until = self._clock.now() + crash_records.RECORD_REPEAT_S
        self._retracted = since, until

    def tick(self) -> None:
        """Forget what has been repeated long enough."""
        now = self._clock.now()
        self._pending = {
            runner: pending
            for runner, pending in self._pending.items()
            if pending.until > now
        }
        self._answered_at = {
            name: (at, until)
            for name, (at, until) in self._answered_at.items()
            if until > now
        }
        self._unblocked_at = {
            name: at
            for name, at in self._unblocked_at.items()
            if now - at < crash_records.RECORD_REPEAT_S
        }

    def next_record(
        self, whole: bool, blocked: dict[str, float]
    ) -> crash_records.CrashRecord | None:
        """Build the crash part of the next record.

        :param whole: whether to include what explains crashes.
        :param blocked: the seconds left of each block to include.
        :returns: None when there is nothing to report.
        """
        self._turn += 1
        entries = self._pending_entries()
        if whole:
            self._whole_turn += 1
            room = crash_records.MAX_CRASHES_PER_RECORD - len(entries)
            entries += self._cause_entries(room)
        now = self._clock.now()
        since, until = self._retracted
        if now < until:
            entries.append(crash_records.encode_retraction(now - since))
        completed = self._answers()
        completed += map(
            crash_records.encode_unblocked,
            list(self._unblocked_at)[: crash_records.MAX_ANSWERED_PER_RECORD],
        )
        if not (entries or completed or blocked):
            return None
        return entries, completed, blocked

    def _pending_entries(self) -> list[crash_records.CrashEntry]:
        pending = list(self._pending.values())
        listed = pending[-crash_records.MAX_CRASHES_PER_RECORD :]
        now = self._clock.now()
        chars = crash_records.MAX_SUSPECT_CHARS // max(1, len(listed))
        return [
            crash_records.encode_crash(
                each.report,
                now - each.crashed_at,
                self._select(each.report.suspects, chars),
            )
            for each in listed
        ]

    def _select(
        self, suspects: tuple[crashes.SuspectRequest, ...], chars: int
    ) -> list[crashes.SuspectRequest]:
        """Select the suspects to list: half by suspicion, half in turn.

        :param chars: the greatest total length of what is listed.
        """
        ranked = sorted(
            suspects,
            key=lambda s: (-self._log.suspicion(s), s.fingerprint),
        )
        half = crash_records.MAX_SUSPECTS_PER_CRASH // 2
        first, rest = ranked[:half], ranked[half:]
        return crash_records.fit(
            first + _rotate(rest, self._turn * half)[:half], chars
        )

    def _cause_entries(self, room: int) -> list[crash_records.CrashEntry]:
        """What explains crashes, in turn."""
        found = [
            (cause, crash)
            for cause in self._log.causes
            if self._tells_of(cause.key)
            for crash in cause.explained
            if crash.runner not in self._pending
        ]
        if not found or room <= 0:
            return []
        in_turn = _rotate(found, self._whole_turn * room)[:room]
        return [self._cause_entry(*each) for each in in_turn]

    def _tells_of(self, key: str) -> bool:
        """Whether this VM is one of the few that tell of a cause."""
        if key not in self._tells:
            ranked = rendezvous.rank(key, self._vms)
            self._tells[key] = self._vm in ranked[:TELLER_COUNT]
        return self._tells[key]

    def _cause_entry(
        self, cause: crash_causes.CrashCause, crash: crashes.RunnerCrash
    ) -> crash_records.CrashEntry:
        suspects = crash.suspects_with(cause.key)
        in_turn = _rotate(suspects, self._whole_turn)
        in_turn.sort(key=lambda suspect: not suspect.on_trial)
        observation = crashes.CrashObservation(
            self._vm, crash.runner, crash.data_centre, 0.0, crash.noticed, ()
        )
        return crash_records.encode_crash(
            observation,
            self._clock.now() - crash.at,
            in_turn[:CALLS_PER_CAUSE],
            sorted(crash.reporters),
        )

    def _answers(self) -> list[str]:
        """The answers to list: those of features at most crashes first."""
        names = sorted(
            self._answered_at,
            key=lambda name: (-self._log.crash_count(name), name),
        )
        now = self._clock.now()
        return [
            crash_records.encode_answer(name, now - self._answered_at[name][0])
            for name in names[: crash_records.MAX_ANSWERED_PER_RECORD]
        ]


def _rotate(items: list[_Item], by: int) -> list[_Item]:
    """The items in order, beginning elsewhere."""
    start = by % len(items) if items else 0
    return items[start:] + items[:start]
