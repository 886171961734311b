"""Blocks calls that have crashed two runners.

An entry VM recognises a crash by connections that break all at once, followed
by a runner that refuses connections or whose list entry disappears without
an announcement. A broken connection alone is no evidence, since a running
runner may also abort single answers. Calls that broke off shortly before a
crash become suspects, and :mod:`.quarantine` evaluates the suspicion. A call
is recognised by its fingerprint, a hash that is the same for all its
repetitions. A blocked call may still run as a trial (:mod:`.crash_trials`),
until it has crashed a third runner.

VMs share crashes in their records, the datagrams by which they already tell
each other their state several times a second.
"""

import collections
import typing

from .. import clock as clocks
from . import broken_calls
from . import call_features
from . import crash_records
from . import crash_trials
from . import crashes
from . import past_fragility
from . import quarantine
from . import recent_answers


class _RecentCrash:
    """A crash that this VM detected recently.

    ``noticed`` tells whether the runner had announced its end.
    """

    __slots__ = ("at", "data_centre", "noticed")

    def __init__(self, at: float, data_centre: str, noticed: bool) -> None:
        self.at = at
        self.data_centre = data_centre
        self.noticed = noticed


class ChargedCrash:
    """A crash that this VM observed, and the calls it suspects of it.

    :param calls: the suspected calls.
    :param known_crashes: the number of crashes that this VM knows.
    :param repeated: how many of the calls were in flight at a crash before.
    :param excused: how many of these are suspected of no crash all the same.
    """

    __slots__ = ("calls", "excused", "known_crashes", "repeated")

    def __init__(
        self,
        calls: tuple[call_features.CallFeatures, ...],
        known_crashes: int,
        repeated: int,
        excused: int,
    ) -> None:
        self.calls = calls
        self.known_crashes = known_crashes
        self.repeated = repeated
        self.excused = excused


class _PendingReport:
    """A crash report that this VM's records repeat until a time.

    Records may be lost, so each report is sent several times.
    """

    __slots__ = ("until", "report")

    def __init__(self, until: float, report: crashes.CrashObservation) -> None:
        self.until = until
        self.report = report


class CrashBlocklist:
    """Crashes seen by this VM and its peers, and the calls they block.

    The caller reports broken connections, crashes and answers, and asks before
    it sends a call to a runner whether the call is blocked.

    :param vm: this VM's name.
    :param is_fragile: tells whether a runner is or was fragile. Its crashes
        are no evidence against the calls that it ran.
    """

    __slots__ = (
        "_blocked_until",
        "_broken_calls",
        "_clock",
        "_cleared_at",
        "_is_fragile",
        "_recent_crashes",
        "_quarantine",
        "_pending_reports",
        "_recent_answers",
        "_trials",
        "_vm",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        vm: str,
        is_fragile: past_fragility.IsFragile = past_fragility.never_fragile,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._is_fragile = is_fragile
        self._trials = crash_trials.CrashTrials(clock, vm)
        self._quarantine = quarantine.Quarantine(clock)
        self._recent_answers = recent_answers.RecentAnswers(clock)
        self._broken_calls = broken_calls.BrokenCalls(clock)
        #: Crashes within the last SAME_CRASH_WINDOW_S, by runner.
        self._recent_crashes: dict[str, _RecentCrash] = {}
        #: Crashes to be repeated in the next records, by runner.
        self._pending_reports: dict[str, _PendingReport] = {}
        #: When an answer at this VM cleared a suspect, by fingerprint.
        self._cleared_at: dict[str, float] = {}
        #: The end of each block that a peer reported, by fingerprint.
        self._blocked_until: dict[str, float] = {}

    @property
    def active(self) -> bool:
        """Whether any call may have to be blocked.

        While this is False, callers need not compute fingerprints.
        """
        return bool(self._quarantine.log.crashes or self._blocked_until)

    def set_sizes(self, sizes: typing.Mapping[str, int]) -> None:
        """Set the number of runners in each data centre.

        It decides how many crashes at once point to a common cause.
        """
        self._quarantine.set_sizes(sizes)

    def set_vms(self, names: typing.Iterable[str]) -> None:
        """Set the names of all VMs, which take turns with trials."""
        self._trials.set_vms(names)

    def connection_broken(
        self, runner: str, features: call_features.CallFeatures
    ) -> None:
        """Record that a call's connection broke before the answer ended.

        The call becomes a suspect if its runner turns out to have crashed.
        """
        now = self._clock.now()
        self._trials.call_broken(features.fingerprint)
        self._broken_calls.add(runner, features)
        crash = self._recent_crashes.get(runner)
        if crash is not None and now - crash.at < crashes.SAME_CRASH_WINDOW_S:
            # The connections of a crashed runner break one after the other,
            # so this call is added to the suspects of the same crash.
            self.runner_crashed(runner, crash.data_centre, crash.noticed)

    def runner_crashed(
        self, runner: str, data_centre: str, noticed: bool
    ) -> ChargedCrash | None:
        """Record that a runner refuses connections or is no longer listed.

        It counts as a crash only if one of its calls broke off shortly before.
        These calls become suspects, and the crash goes into the next records.

        :param noticed: whether the runner had announced its end.
        :returns: None if it doesn't count as a crash.
        """
        now = self._clock.now()
        recent_calls = self._broken_calls.take(runner)
        if not recent_calls or self._is_fragile(runner):
            return None
        self._recent_crashes[runner] = _RecentCrash(now, data_centre, noticed)
        names = {call.features.fingerprint for call in recent_calls}
        pending = self._pending_reports.get(runner)
        if pending is not None:
            # All suspects of the crash go into one report, however late
            # their connections broke.
            names |= {
                suspect.fingerprint for suspect in pending.report.suspects
            }
        report = crashes.CrashObservation(
            self._vm,
            runner,
            data_centre,
            now - recent_calls[-1].at,
            noticed,
            tuple(
                crashes.SuspectRequest(name, "", 1) for name in sorted(names)
            ),
        )
        self._quarantine.receive(report)
        self._pending_reports[runner] = _PendingReport(
            now + crash_records.RECORD_REPEAT_S, report
        )
        self._apply_recent_answers()
        return self._charge([call.features for call in recent_calls])

    def retract(self, since: float) -> int:
        """Remove the crashes that only this VM took for crashes.

        To be called when this VM finds that it reaches no runner: connections
        that break all at once, and runners that can't be connected to, were
        its own fault, and the calls that broke off crashed nothing. Its peers,
        which may have heard of the crashes, are told to clear these calls.

        :param since: when this VM lost its runners, in monotonic seconds.
        :returns: the number of crashes that were removed.
        """
        self._pending_reports.clear()
        self._recent_crashes.clear()
        self._broken_calls.clear()
        wrong = self._quarantine.log.retract(self._vm, since)
        now = self._clock.now()
        for name in {name for crash in wrong for name in crash.suspects}:
            if not self._is_suspect(name):
                self._blocked_until.pop(name, None)
                self._cleared_at[name] = now
        return len(wrong)

    def call_answered(
        self, make_features: recent_answers.MakeFeatures, size: int
    ) -> None:
        """Record a complete answer, which clears its call of earlier crashes.

        The answer is kept for a while, as a peer may have seen a crash that
        this VM has not heard of yet.

        :param make_features: computes the features of the call.
        :param size: the size of the call's body in bytes.
        """
        self._recent_answers.add(make_features, size)
        if self.active:
            self.answered(make_features())

    def answered(self, features: call_features.CallFeatures) -> None:
        """Clear a call of all earlier crashes after its complete answer.

        The next records tell the peers to clear it, too.
        """
        fingerprint = features.fingerprint
        if self._block_left_s(fingerprint) is None and not self._is_suspect(
            fingerprint
        ):
            return
        self._clear(fingerprint)
        self._cleared_at[fingerprint] = self._clock.now()

    def admit(
        self, features: call_features.CallFeatures, call: object
    ) -> float | None:
        """Let a call run, as a trial if it is blocked, or refuse it.

        :param call: the call itself, which is compared by identity.
        :returns: None if it may run, or the seconds until it may be retried.
        """
        fingerprint = features.fingerprint
        wait_s = self.retry_after_s(features, call)
        if wait_s is None and self._block_left_s(fingerprint) is not None:
            crash_age_s = self._trial_crash_age_s(fingerprint)
            assert crash_age_s is not None
            self._trials.begin(fingerprint, call, crash_age_s)
        return wait_s

    def retry_after_s(
        self, features: call_features.CallFeatures, call: object = None
    ) -> float | None:
        """Seconds until a blocked call may be retried; None if it may run.

        :param call: the call, by which its own trial is recognised.
        """
        fingerprint = features.fingerprint
        left_s = self._block_left_s(fingerprint)
        if left_s is None:
            return None
        crash_age_s = self._trial_crash_age_s(fingerprint)
        if crash_age_s is None:
            return left_s
        return self._trials.wait_s(fingerprint, call, crash_age_s) or None

    def tick(self) -> None:
        """Forget crashes, pending reports and blocks that have expired."""
        now = self._clock.now()
        self._quarantine.tick()
        self._trials.tick()
        self._pending_reports = {
            runner: pending
            for runner, pending in self._pending_reports.items()
            if pending.until > now
        }
        self._cleared_at = {
            name: at
            for name, at in self._cleared_at.items()
            if now - at < crash_records.RECORD_REPEAT_S
        }
        self._blocked_until = {
            name: until
            for name, until in self._blocked_until.items()
            if until > now
        }
        self._recent_crashes = {
            runner: crash
            for runner, crash in self._recent_crashes.items()
            if now - crash.at < crashes.SAME_CRASH_WINDOW_S
        }
        self._broken_calls.tick()

    def next_record(self, whole: bool) -> crash_records.CrashRecord | None:
        """Build the part of this VM's next record that is about crashes.

        :param whole: whether to include blocked calls, from which a VM that
            has just started learns them.
        :returns: None when there is nothing to report.
        """
        now = self._clock.now()
        crash_entries: list[crash_records.CrashEntry] = [
            (
                pending.report.runner,
                pending.report.data_centre,
                # The age counts from the observation of the crash, not from
                # the creation of the record.
                pending.report.age_s
                + now
                - (pending.until - crash_records.RECORD_REPEAT_S),
                pending.report.noticed,
                [
                    c.fingerprint
                    for c in pending.report.suspects[
                        : crash_records.MAX_SUSPECTS_PER_CRASH
                    ]
                ],
            )
            for pending in list(self._pending_reports.values())[
                -crash_records.MAX_CRASHES_PER_RECORD :
            ]
        ]
        blocked = self._blocked_for_record() if whole else {}
        if not (crash_entries or self._cleared_at or blocked):
            return None
        return crash_entries, list(self._cleared_at), blocked

    def merge_record(self, vm: str, record: crash_records.CrashRecord) -> None:
        """Merge the crash part of a peer's record.

        Merging a duplicate has no effect.

        :param vm: the name of the peer.
        """
        crash_entries, completed, blocked = record
        for runner, data_centre, age_s, noticed, names in crash_entries:
            if self._is_fragile(runner):
                continue
            suspects = tuple(
                crashes.SuspectRequest(name, "", 1) for name in names
            )
            self._quarantine.receive(
                crashes.CrashObservation(
                    vm, runner, data_centre, age_s, noticed, suspects
                )
            )
        if crash_entries:
            self._apply_recent_answers()
        now = self._clock.now()
        for name, left_s in blocked.items():
            # A known block is not extended: two VMs that report it to each
            # other would otherwise keep it alive for ever.
            self._blocked_until.setdefault(name, now + left_s)
        for name in completed:
            self._clear(name)

    def _charge(self, calls: list[call_features.CallFeatures]) -> ChargedCrash:
        log = self._quarantine.log
        repeated = [c for c in calls if log.crash_count(c.fingerprint) > 1]
        return ChargedCrash(
            tuple(calls),
            len(log.crashes),
            len(repeated),
            sum(not self._is_suspect(c.fingerprint) for c in repeated),
        )

    def _trial_crash_age_s(self, fingerprint: str) -> float | None:
        """Seconds since a call's second crash; None if it gets no trials."""
        crashed = self._quarantine.log.crashes_implicating(fingerprint)
        if len(crashed) != crashes.CRASHES_TO_QUARANTINE:
            return None
        return self._clock.now() - max(crash.at for crash in crashed)

    def _block_left_s(self, fingerprint: str) -> float | None:
        """Seconds until a call's block ends; None if it isn't blocked."""
        now = self._clock.now()
        until = self._blocked_until.get(fingerprint, now)
        status = self._quarantine.status(fingerprint)
        if status.state is quarantine.FingerprintState.QUARANTINED or (
            # After two crashes the call waits until it is known whether
            # they have another explanation.
            status.retry_after_s
        ):
            until = max(until, now + status.retry_after_s)
        return until - now if until > now else None

    def _blocked_for_record(self) -> dict[str, float]:
        """The quarantined calls to list in a record.

        :returns: the seconds left of each block, by fingerprint.
        """
        crash_counts = collections.Counter(
            name
            for crash in self._quarantine.log.crashes
            for name in crash.suspects
        )
        quarantined = {
            name: wait_s
            for name, count in sorted(crash_counts.items())
            # Most fingerprints are involved in one crash only. Evaluating
            # the status of a fingerprint scans every crash in the log.
            if count >= crashes.CRASHES_TO_QUARANTINE
            and self._quarantine.status(name).state
            is quarantine.FingerprintState.QUARANTINED
            and (wait_s := self._block_left_s(name)) is not None
        }
        return dict(
            list(quarantined.items())[: crash_records.MAX_BLOCKED_PER_RECORD]
        )

    def _apply_recent_answers(self) -> None:
        """Clear calls that were answered before their crash was heard of."""
        for name, age_s in self._recent_answers.latest_ages().items():
            if not self._is_suspect(name):
                continue
            self._trials.note_common(name)
            self._quarantine.receive(crashes.RequestCompleted(name, age_s))
            # A record doesn't say when the answer ended. Peers would clear
            # the call of a crash after the answer, too.
            if not self._is_suspect(name):
                self._cleared_at[name] = self._clock.now()

    def _is_suspect(self, fingerprint: str) -> bool:
        status = self._quarantine.status(fingerprint)
        return status.state is not quarantine.FingerprintState.CLEAR

    def _clear(self, fingerprint: str) -> None:
        self._quarantine.receive(crashes.RequestCompleted(fingerprint, 0.0))
        self._blocked_until.pop(fingerprint, None)
        self._trials.call_cleared(fingerprint)
