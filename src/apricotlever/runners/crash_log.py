"""A log of runner crashes and of what is suspected of causing them.

The log merges the crashes observed by all entry VMs. The suspicion against a
request is recomputed from the whole log on every query, so reports may arrive
twice, late and in any order.

A request is known by its features (:mod:`.call_features`). It is suspect after
one crash and quarantined after a second one. Where trials are used, a suspect
runs only as a trial, alone among the suspects at its runner (see
:mod:`.quarantine`). Parts of prompts are judged by :mod:`.crash_causes`.
"""

import typing

from .. import clock as clocks

from . import call_features
from . import crash_causes
from . import crashes as crashes_

#: How long the causes of crashes are kept if no report changes them, in
#: seconds.
CAUSES_KEPT_S = 1.0


class CrashLog:
    """Runner crashes, and the suspicion that follows for each feature."""

    __slots__ = (
        "_by_name",
        "_causes",
        "_causes_until",
        "_clock",
        "_crashes",
        "_runner_counts",
        "_completed_at",
        "revision",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._crashes: list[crashes_.RunnerCrash] = []
        #: The crashes at which a call was in flight, by its features.
        self._by_name: dict[str, list[crashes_.RunnerCrash]] = {}
        self._runner_counts: dict[str, int] = {}
        #: When a call was last answered, by its features.
        self._completed_at: dict[str, float] = {}
        #: Counts the changes of crashes, suspects and answers.
        self.revision = 0
        self._causes: tuple[crash_causes.CrashCause, ...] = ()
        #: Until when the causes hold unless a report comes.
        self._causes_until = float("-inf")

    @property
    def crashes(self) -> tuple[crashes_.RunnerCrash, ...]:
        """The crashes that are still kept."""
        return tuple(self._crashes)

    @property
    def causes(self) -> tuple[crash_causes.CrashCause, ...]:
        """The parts of prompts that explain crashes, the likeliest first."""
        now = self._clock.now()
        if now >= self._causes_until:
            # Set first, as the suspicion of a part depends on no cause.
            self._causes_until = now + CAUSES_KEPT_S
            self._causes = crash_causes.find(
                map(
                    self._evidence,
                    (
                        name
                        for name, held in self._by_name.items()
                        if len(held) > 1 and call_features.is_part(name)
                    ),
                ),
                self.answered_since,
                self._is_wave,
            )
        return self._causes

    @property
    def feature_count(self) -> int:
        """The number of features of the suspects that are still kept."""
        return len(self._by_name)

    def set_sizes(self, sizes: typing.Mapping[str, int]) -> None:
        """Set the number of runners in each data centre.

        It decides how many crashes at once point to a common cause. Runners
        that have just crashed are included, because the runner list lags
        behind.
        """
        self._runner_counts = dict(sizes)
        self._forget_causes()

    def add(
        self,
        report: crashes_.CrashObservation,
        window_s: float = crashes_.SAME_CRASH_WINDOW_S,
    ) -> bool:
        """Merge a report of a crash into the log.

        A report of a known crash may add suspects to it; a duplicate has no
        effect. Reports older than :data:`.crashes.QUARANTINE_S` are ignored.

        :param window_s: by how much its time may differ from that of other
            reports of the same crash, in seconds.
        :returns: whether it holds a crash or suspect that was not known.
        """
        at = self._clock.now() - report.age_s
        if report.age_s > crashes_.QUARANTINE_S:
            return False
        crash = self._find_crash(report.runner, at, window_s)
        is_new = crash is None
        if crash is None:
            crash = crashes_.RunnerCrash(report.runner, report.data_centre, at)
            self._crashes.append(crash)
        before = crash.at, crash.noticed, crash.fragile
        # Each VM notices the crash when a call of its own breaks off. An
        # answer elsewhere may end before the last VM does.
        crash.at = min(crash.at, at)
        crash.noticed = crash.noticed or report.noticed
        crash.fragile = crash.fragile or report.fragile
        crash.reporters.add(report.vm)
        added = [
            self._add_suspect(crash, suspect)
            for suspect in report.suspects[: crashes_.MAX_SUSPECTS]
        ]
        while len(self._crashes) > crashes_.MAX_CRASHES or (
            len(self._by_name) > crashes_.MAX_FEATURES
            and len(self._crashes) > 1
        ):
            self._remove_crash(self._crashes[0])
        is_new |= any(added)
        # Records repeat a crash many times.
        if is_new or before != (crash.at, crash.noticed, crash.fragile):
            self._changed()
        return is_new

    def retract(self, vm: str, since: float) -> list[crashes_.RunnerCrash]:
        """Remove the crashes that one VM alone reported.

        :param vm: a VM that had lost its paths to the runners.
        :param since: only crashes from this monotonic time on, in seconds.
        :returns: the crashes that were removed.
        """
        wrong = [
            crash
            for crash in self._crashes
            if crash.at >= since and crash.reporters == {vm}
        ]
        for crash in wrong:
            self._remove_crash(crash)
        return wrong

    def request_completed(self, report: crashes_.RequestCompleted) -> bool:
        """Clear a feature of all crashes before a complete answer.

        :returns: whether it is the first or latest known answer to a suspect.
        """
        name = report.name
        if name not in self._by_name:
            return False
        at = self._clock.now() - report.age_s
        known = self._completed_at.get(name, float("-inf"))
        if at <= known:
            return False
        self._completed_at[name] = at
        self._changed()
        return True

    def is_implicated(self, name: str) -> bool:
        """Whether a feature was at a crash since its last answer."""
        held = self._by_name.get(name)
        return bool(held) and not self.answered_since(
            name, max(crash.at for crash in held or ())
        )

    def answered_since(self, name: str, since: float) -> bool:
        """Whether a feature was answered later than a monotonic time."""
        return self._completed_at.get(name, float("-inf")) >= since

    def last_answer_age_s(self, name: str) -> float | None:
        """Seconds since a suspect's last known answer; None for none."""
        at = self._completed_at.get(name)
        return None if at is None else self._clock.now() - at

    def recent_crash_data_centres(self, within_s: float) -> set[str]:
        """Data centres in which a runner crashed in the last seconds.

        :param within_s: the length of that time, in seconds.
        """
        since = self._clock.now() - within_s
        return {
            crash.data_centre for crash in self._crashes if crash.at > since
        }

    def expire(self) -> None:
        """Drop crashes older than :data:`.crashes.QUARANTINE_S`."""
        oldest = self._clock.now() - crashes_.QUARANTINE_S
        for crash in [d for d in self._crashes if d.at < oldest]:
            self._remove_crash(crash)

    def crashes_implicating(
        self, fingerprint: str
    ) -> list[crashes_.RunnerCrash]:
        """The crashes that a request with this fingerprint may have caused.

        Crashes with another explanation and crashes before the request's last
        complete answer are left out. A single crash counts for
        :data:`.crashes.SUSPICION_S`, and crashes that quarantine the request
        count for :data:`.crashes.QUARANTINE_S`.
        """
        if fingerprint not in self._by_name:
            return []
        unexplained = [
            crash
            for crash in self._held(fingerprint)
            if not self._has_other_explanation(crash, fingerprint)
        ]
        now = self._clock.now()
        latest = max((crash.at for crash in unexplained), default=now)
        recent = [
            crash
            for crash in unexplained
            if crash.at >= latest - crashes_.SUSPICION_S
        ]
        if len(recent) >= crashes_.CRASHES_TO_QUARANTINE:
            return recent
        return [
            crash
            for crash in unexplained
            if crash.at >= now - crashes_.SUSPICION_S
        ]

    def crashes_with(self, name: str) -> tuple[crashes_.RunnerCrash, ...]:
        """The crashes with a feature, whatever explains them."""
        return tuple(self._by_name.get(name, ()))

    def crash_count(self, name: str) -> int:
        """The number of crashes with a feature, whatever explains them."""
        return len(self._by_name.get(name, ()))

    def suspicion(self, suspect: crashes_.SuspectRequest) -> int:
        """The most crashes of one feature that was never answered."""
        return max(
            (
                self.crash_count(name)
                for name in suspect.names
                if name not in self._completed_at
            ),
            default=0,
        )

    def reports(self, vm: str) -> list[crashes_.CrashObservation]:
        """The whole log as reports, for a VM that has just started.

        :param vm: the name of the reporting VM.
        """
        now = self._clock.now()
        return [
            crashes_.CrashObservation(
                vm,
                crash.runner,
                crash.data_centre,
                now - crash.at,
                crash.noticed,
                tuple(
                    suspect
                    for name, suspect in crash.suspects.items()
                    if not self.answered_since(name, crash.at)
                ),
                crash.fragile,
            )
            for crash in self._crashes
        ]

    def _held(self, name: str) -> list[crashes_.RunnerCrash]:
        """The crashes with a feature that its last answer doesn't clear."""
        oldest = self._clock.now() - crashes_.QUARANTINE_S
        since = max(self._completed_at.get(name, float("-inf")), oldest)
        held = self._by_name.get(name, ())
        return [crash for crash in held if crash.at > since]

    def _evidence(self, name: str) -> crash_causes.Evidence:
        held = self._held(name)
        latest = max((crash.at for crash in held), default=0.0)
        return crash_causes.Evidence(
            name,
            (c for c in held if c.at >= latest - crashes_.SUSPICION_S),
            name in self._completed_at,
        )

    def _has_other_explanation(
        self, crash: crashes_.RunnerCrash, fingerprint: str
    ) -> bool:
        """Whether a crash has an explanation other than this request.

        A termination notice explains a crash, and so does the fragility of its
        runner, or a part of a prompt that this request doesn't have.
        """
        if crash.noticed or crash.fragile:
            return True
        names = crash.suspects[fingerprint].names
        explained = {each for cause in self.causes for each in cause.explained}
        if crash in explained:
            return not any(
                cause.names <= names
                for cause in self.causes
                if crash in cause.explained
            )
        return self._is_wave(crash, fingerprint, frozenset(explained))

    def _is_wave(
        self,
        crash: crashes_.RunnerCrash,
        name: str,
        explained: frozenset[crashes_.RunnerCrash],
    ) -> bool:
        """Whether crashes of other runners explain a crash.

        They are those in its data centre, at about the same time, at which
        the feature was not in flight. A crash does not count if a suspect on
        trial there was also at another of these crashes: two requests that
        crash runners at the same time would otherwise clear each other.

        :param name: the feature.
        :param explained: crashes with causes, which don't count.
        """
        nearby = [
            other
            for other in self._crashes
            if other.data_centre == crash.data_centre
            and abs(other.at - crash.at) <= crashes_.CORRELATION_WINDOW_S
            and name not in other.names
            and not other.fragile
            and other not in explained
        ]
        others = {
            other.runner
            for other in nearby
            if not other.shares_trial_suspect(nearby)
        }
        size = self._runner_counts.get(
            crash.data_centre, crashes_.MIN_CORRELATED_CRASHES + 1
        )
        return len(others) >= max(
            1, min(crashes_.MIN_CORRELATED_CRASHES, size - 1)
        )

    def _changed(self) -> None:
        self.revision += 1
        self._forget_causes()

    def _forget_causes(self) -> None:
        self._causes_until = float("-inf")

    def _find_crash(
        self, runner: str, at: float, window_s: float
    ) -> crashes_.RunnerCrash | None:
        matching = (
            crash
            for crash in self._crashes
            if crash.runner == runner and abs(crash.at - at) <= window_s
        )
        return next(matching, None)

    def _add_suspect(
        self, crash: crashes_.RunnerCrash, suspect: crashes_.SuspectRequest
    ) -> bool:
        """Add a suspect to a crash.

        :returns: whether it was not known there, or not as a trial.
        """
        known = crash.suspects.get(suspect.fingerprint)
        if known is not None and known.on_trial >= suspect.on_trial:
            return False
        crash.suspects[suspect.fingerprint] = suspect
        for name in suspect.names - crash.names:
            self._by_name.setdefault(name, []).append(crash)
        crash.names |= suspect.names
        return True

    def _remove_crash(self, crash: crashes_.RunnerCrash) -> None:
        self._crashes.remove(crash)
        for name in crash.names:
            implicated = self._by_name[name]
            implicated.remove(crash)
            if not implicated:
                del self._by_name[name]
                self._completed_at.pop(name, None)
        self._changed()
