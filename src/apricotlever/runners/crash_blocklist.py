"""Blocks calls that would crash their runners, as calls like them did.

An entry VM recognises a crash by connections that break all at once, followed
by a runner that refuses connections or whose list entry disappears without
an announcement. A broken connection alone is no evidence, since a running
runner may also abort single answers. Calls that broke off shortly before a
crash become suspects. A call is known by its features
(:mod:`.call_features`): :mod:`.quarantine` evaluates the suspicion against the
call as a whole, :mod:`.crash_causes` that against the parts of its prompt. A
blocked call may still run as a trial (:mod:`.crash_trials`).

VMs share crashes in their records, the datagrams by which they already tell
each other their state several times a second (:mod:`.crash_reporting`).
"""

import collections
import typing

from .. import clock as clocks
from . import broken_calls
from . import call_features
from . import crash_blocks
from . import crash_causes
from . import crash_evidence
from . import crash_records
from . import crash_reporting
from . import crash_trials
from . import crashes
from . import past_fragility
from . import peer_blocks
from . import quarantine
from . import recent_answers

#: How much later a VM may learn of a crash than of the time from which on
#: another VM takes its crashes back, in seconds.
RETRACTION_MARGIN_S = 1.0


class _RecentCrash:
    """A crash that this VM detected recently.

    ``noticed`` tells whether the runner had announced its end.
    """

    __slots__ = ("at", "data_centre", "noticed")

    def __init__(self, at: float, data_centre: str, noticed: bool) -> None:
        self.at = at
        self.data_centre = data_centre
        self.noticed = noticed


class CrashBlocklist:
    """Crashes seen by this VM and its peers, and the calls they block.

    The caller reports broken connections, crashes and answers, and asks before
    it sends a call to a runner whether the call is blocked.

    :param vm: this VM's name.
    :param is_fragile: tells whether a runner is or was fragile. Its crashes
        are no evidence against the calls that it ran, and little against the
        parts of their prompts.
    """

    __slots__ = (
        "_broken_calls",
        "_clock",
        "_is_fragile",
        "_peer_blocks",
        "_quarantine",
        "_recent_answers",
        "_recent_crashes",
        "_reporting",
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
        self._reporting = crash_reporting.CrashReporting(
            clock, vm, self._quarantine.log
        )
        self._recent_answers = recent_answers.RecentAnswers(clock)
        self._broken_calls = broken_calls.BrokenCalls(clock)
        #: Crashes within the last SAME_CRASH_WINDOW_S, by runner.
        self._recent_crashes: dict[str, _RecentCrash] = {}
        self._peer_blocks = peer_blocks.PeerBlocks(clock)

    @property
    def active(self) -> bool:
        """Whether any call may have to be blocked.

        While this is False, callers need not compute features.
        """
        return bool(self._quarantine.log.crashes or self._peer_blocks)

    @property
    def causes(self) -> tuple[crash_causes.CrashCause, ...]:
        """The parts of prompts that explain crashes."""
        return self._quarantine.log.causes

    @property
    def crash_count(self) -> int:
        """The number of crashes on record."""
        return len(self._quarantine.log.crashes)

    @property
    def feature_count(self) -> int:
        """The number of features of the suspects on record."""
        return self._quarantine.log.feature_count

    def set_sizes(self, sizes: typing.Mapping[str, int]) -> None:
        """Set the number of runners in each data centre.

        It decides how many crashes at once point to a common cause.
        """
        self._quarantine.set_sizes(sizes)

    @property
    def revision(self) -> int:
        """Changes whenever :meth:`evidence` may have changed."""
        return self._quarantine.log.revision

    def evidence(self) -> crash_evidence.Evidence:
        """What must outlive this process of the crashes that it knows."""
        return crash_evidence.select(
            self._clock, self._vm, self._quarantine.log
        )

    def restore(
        self, vm: str, record: crash_records.CrashRecord, age_s: float
    ) -> None:
        """Merge what a VM has kept of crashes.

        :param vm: the name of that VM, or of this one before its start.
        :param age_s: seconds since then.
        """
        news = crash_records.decode(vm, record)
        for observation in news.observations:
            observation.age_s += age_s
            self._quarantine.log.add(
                observation, crash_evidence.CLOCK_TOLERANCE_S
            )
        for answer in news.answers:
            # Calls are mostly sent again and again that were answered once.
            self._trials.note_common(answer.name)
            self._clear(answer.name, answer.age_s + age_s)

    def set_vms(
        self, names: typing.Iterable[str], fleet_size: int | None = 0
    ) -> None:
        """Set the names of all known VMs, which take turns with trials.

        :param fleet_size: how many VMs there are; None if that is unknown.
        """
        vms = frozenset(names)
        self._trials.set_vms(vms, fleet_size)
        self._reporting.set_vms(vms)

    def connection_broken(
        self,
        runner: str,
        features: call_features.CallFeatures,
        call: object = None,
    ) -> None:
        """Record that a call's connection broke before the answer ended.

        The call becomes a suspect if its runner turns out to have crashed.

        :param call: the call itself, by which its own trial is recognised.
        """
        now = self._clock.now()
        on_trial = self._trials.runs(call)
        for name in features.names:
            self._trials.call_broken(name)
        self._broken_calls.add(runner, features, on_trial)
        crash = self._recent_crashes.get(runner)
        if crash is not None and now - crash.at < crashes.SAME_CRASH_WINDOW_S:
            # The connections of a crashed runner break one after the other,
            # so this call is added to the suspects of the same crash.
            self.runner_crashed(runner, crash.data_centre, crash.noticed)

    def runner_crashed(
        self, runner: str, data_centre: str, noticed: bool
    ) -> crash_blocks.ChargedCrash | None:
        """Record that a runner refuses connections or is no longer listed.

        It counts as a crash only if one of its calls broke off shortly before.
        These calls become suspects, and the crash goes into the next records.

        :param noticed: whether the runner had announced its end.
        :returns: None if it doesn't count as a crash.
        """
        now = self._clock.now()
        recent_calls = self._broken_calls.take(runner)
        if not recent_calls:
            return None
        self._recent_crashes[runner] = _RecentCrash(now, data_centre, noticed)
        # All suspects of the crash go into one report, however late their
        # connections broke.
        suspects = {
            suspect.fingerprint: suspect
            for suspect in (
                *self._reporting.suspects_of(runner),
                *map(_make_suspect, recent_calls),
            )
        }
        report = crashes.CrashObservation(
            self._vm,
            runner,
            data_centre,
            now - recent_calls[-1].at,
            noticed,
            tuple(suspects.values()),
            self._is_fragile(runner),
        )
        self._quarantine.receive(report)
        self._reporting.add_crash(report)
        self._apply_recent_answers()
        return self._charge(
            [call.features for call in recent_calls], report.fragile
        )

    def retract(self, since: float) -> int:
        """Remove the crashes that only this VM took for crashes.

        To be called when this VM finds that it reaches no runner: connections
        that break all at once, and runners that can't be connected to, were
        its own fault, and the calls that broke off crashed nothing. Its peers,
        which may have heard of the crashes, are told to remove them, too.

        :param since: when this VM lost its runners, in monotonic seconds.
        :returns: the number of crashes that were removed.
        """
        self._reporting.retract(since)
        self._recent_crashes.clear()
        self._broken_calls.clear()
        wrong = self._quarantine.log.retract(self._vm, since)
        for name in {name for crash in wrong for name in crash.suspects}:
            if not self._is_suspect(name):
                self._peer_blocks.remove(name)
                self._reporting.add_unblocked(name)
        return len(wrong)

    def call_answered(
        self,
        make_features: recent_answers.MakeFeatures,
        size: int,
        age_s: float = 0.0,
    ) -> None:
        """Record a complete answer, which clears its call of earlier crashes.

        The answer is kept for a while, as a peer may have seen a crash that
        this VM has not heard of yet.

        :param make_features: computes the features of the call.
        :param size: the size of the call's body in bytes.
        :param age_s: seconds since the answer.
        """
        self._recent_answers.add(make_features, size, age_s)
        if self.active:
            self.answered(make_features(), age_s)

    def answered(
        self, features: call_features.CallFeatures, age_s: float = 0.0
    ) -> None:
        """Clear a call of all earlier crashes after its complete answer.

        The next records tell the peers to clear its features, too.

        :param age_s: seconds since the answer.
        """
        log = self._quarantine.log
        for name in features.names:
            if name in self._peer_blocks or log.is_implicated(name):
                self._clear(name, age_s)
                self._reporting.add_answer(name, age_s)

    def admit(
        self, features: call_features.CallFeatures, call: object
    ) -> crash_blocks.Block | None:
        """Let a call run, as a trial if it is blocked, or refuse it.

        :param call: the call itself, which is compared by identity.
        :returns: None if it may run, or what blocks it. Its wait is 0 if it
            runs as a trial.
        """
        blocks = self._blocks(features, call)
        if not blocks:
            return None
        longest = max(blocks, key=lambda block: block.wait_s)
        if longest.is_trial:
            for block in blocks:
                assert block.crash_age_s is not None
                self._trials.begin(block.name, call, block.crash_age_s)
        return longest

    def retry_after_s(
        self, features: call_features.CallFeatures, call: object = None
    ) -> float | None:
        """Seconds until a blocked call may be retried; None if it may run.

        :param call: the call, by which its own trial is recognised.
        """
        waits = [block.wait_s for block in self._blocks(features, call)]
        return max(waits, default=0.0) or None

    def tick(self) -> None:
        """Forget crashes, pending reports and blocks that have expired."""
        now = self._clock.now()
        self._quarantine.tick()
        self._trials.tick()
        self._reporting.tick()
        self._peer_blocks.tick()
        self._recent_crashes = {
            runner: crash
            for runner, crash in self._recent_crashes.items()
            if now - crash.at < crashes.SAME_CRASH_WINDOW_S
        }
        self._broken_calls.tick()

    def next_record(self, whole: bool) -> crash_records.CrashRecord | None:
        """Build the part of this VM's next record that is about crashes.

        :param whole: whether to include what blocks calls, from which a VM
            that has just started learns it.
        :returns: None when there is nothing to report.
        """
        blocked = self._blocked_for_record() if whole else {}
        return self._reporting.next_record(whole, blocked)

    def merge_record(self, vm: str, record: crash_records.CrashRecord) -> None:
        """Merge the crash part of a peer's record.

        Merging a duplicate has no effect.

        :param vm: the name of the peer.
        """
        news = crash_records.decode(vm, record)
        now = self._clock.now()
        is_new = False
        for observation in news.observations:
            observation.fragile = self._is_fragile(observation.runner)
            is_new |= self._quarantine.receive(observation)
        if is_new:
            self._apply_recent_answers()
        self._peer_blocks.add(news.blocked)
        for answer in news.answers:
            self._clear(answer.name, answer.age_s)
        for name in news.unblocked:
            self._peer_blocks.remove(name)
        if news.retracted_s is not None:
            since = now - news.retracted_s - RETRACTION_MARGIN_S
            self._quarantine.log.retract(vm, since)

    def _charge(
        self, calls: list[call_features.CallFeatures], fragile: bool
    ) -> crash_blocks.ChargedCrash:
        log = self._quarantine.log
        repeated = [c for c in calls if log.crash_count(c.fingerprint) > 1]
        return crash_blocks.ChargedCrash(
            tuple(calls),
            fragile,
            len(log.crashes),
            len(repeated),
            sum(not self._is_suspect(c.fingerprint) for c in repeated),
        )

    def _blocks(
        self, features: call_features.CallFeatures, call: object
    ) -> list[crash_blocks.Block]:
        """What blocks a call: as a whole, and by parts of its prompt."""
        blocks = [
            self._cause_block(cause, call)
            for cause in self.causes
            if cause.names <= features.names
        ]
        whole = self._whole_block(features.fingerprint, call)
        return [whole, *blocks] if whole is not None else blocks

    def _cause_block(
        self, cause: crash_causes.CrashCause, call: object
    ) -> crash_blocks.Block:
        crash_age_s = self._clock.now() - cause.last_crash_at
        if cause.crashed_on_trial:
            left_s = max(0.1, crashes.QUARANTINE_S - crash_age_s)
            return crash_blocks.Block(cause.key, left_s, None, cause.explained)
        if cause.was_answered:
            self._trials.note_common(cause.key)
        wait_s = self._trials.wait_s(cause.key, call, crash_age_s)
        return crash_blocks.Block(
            cause.key, wait_s, crash_age_s, cause.explained
        )

    def _whole_block(
        self, fingerprint: str, call: object
    ) -> crash_blocks.Block | None:
        left_s = self._block_left_s(fingerprint)
        if left_s is None:
            return None
        crashed = self._quarantine.log.crashes_implicating(fingerprint)
        if len(crashed) != crashes.CRASHES_TO_QUARANTINE:
            return crash_blocks.Block(fingerprint, left_s, None, crashed)
        crash_age_s = self._clock.now() - max(crash.at for crash in crashed)
        wait_s = self._trials.wait_s(fingerprint, call, crash_age_s)
        return crash_blocks.Block(fingerprint, wait_s, crash_age_s, crashed)

    def _block_left_s(self, fingerprint: str) -> float | None:
        """Seconds until a call's block ends; None if it isn't blocked."""
        left_s = self._peer_blocks.left_s(fingerprint)
        status = self._quarantine.status(fingerprint)
        if status.state is quarantine.FingerprintState.QUARANTINED or (
            # After two crashes the call waits until it is known whether
            # they have another explanation.
            status.retry_after_s
        ):
            left_s = max(left_s, status.retry_after_s)
        return left_s or None

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
        """Apply the answers that came before their crash was heard of.

        Those before the crash itself show that the feature is common.
        """
        log = self._quarantine.log
        for name, age_s in self._recent_answers.latest_ages().items():
            if not log.crash_count(name):
                continue
            self._trials.note_common(name)
            answer = crashes.RequestCompleted(name, age_s)
            if self._quarantine.receive(answer):
                self._reporting.add_answer(name, age_s)

    def _is_suspect(self, fingerprint: str) -> bool:
        status = self._quarantine.status(fingerprint)
        return status.state is not quarantine.FingerprintState.CLEAR

    def _clear(self, name: str, age_s: float) -> None:
        """Clear a feature of the crashes before an answer.

        :param age_s: seconds since the answer.
        """
        self._quarantine.receive(crashes.RequestCompleted(name, age_s))
        self._peer_blocks.answered(name, age_s)
        if not self._quarantine.log.is_implicated(name):
            self._trials.call_cleared(name)


def _make_suspect(
    call: broken_calls.BrokenCall,
) -> crashes.SuspectRequest:
    features = call.features
    return crashes.SuspectRequest(
        features.fingerprint,
        features.request_id,
        1,
        call.on_trial,
        features.customer_hash,
        features.parts,
    )
