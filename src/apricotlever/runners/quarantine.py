"""Quarantines requests that crash runners.

A request is identified by its fingerprint, a hash that is the same for its
repetitions and at all VMs. A fingerprint is clear, suspect after one crash, or
quarantined after two, when its requests are rejected for some time. Suspects
run as trials: one at a time for each fingerprint, and at most one suspect at a
runner, so that a second crash has only one possible cause among the suspects.
One VM for each pool, the judge, is selected by rendezvous hashing and grants
the trials; all VMs receive the crash reports.
"""

import enum
import json
import typing

import xxhash

from .. import clock as clocks
from . import call_features
from . import crash_causes
from . import crash_log
from . import crashes

#: How long after its second crash a request is held before it is
#: quarantined, in seconds. By then further crashes, if any, have shown
#: whether the runners had a common cause.
CRASH_SETTLE_S = 4.0
#: How long after the last crash of a part that was never answered a request
#: with it may run as a trial, in seconds.
RARE_TRIAL_S = 67.0
#: A trial whose end was not reported expires after this time.
TRIAL_TIMEOUT_S = 60.0
#: Seconds after which a VM asks again for a trial that could not be granted
#: because no runner was free or another trial of the fingerprint runs.
TRIAL_RETRY_S = 0.5
#: How long the judge waits after a crash before it grants a trial, in
#: seconds. Copies of the suspect at other runners have crashed those too by
#: then, and the reports have arrived: the delay is 3 to 30 ms on one machine
#: with all its cores busy. An earlier trial would crash a third runner.
CRASH_PROPAGATION_S = 0.3
#: Fields of a body that do not affect what an engine computes.
IGNORED_FIELDS = frozenset({"stream", "stream_options", "user", "metadata"})


class FingerprintState(enum.Enum):
    """Whether a fingerprint is suspected of causing crashes."""

    #: Its requests run normally.
    CLEAR = "clear"
    #: Its requests run as trials.
    SUSPECT = "suspect"
    #: Its requests are rejected.
    QUARANTINED = "quarantined"


class FingerprintStatus:
    """The state of a fingerprint and the time until it may change.

    :param retry_after_s: seconds until a quarantine ends. For a suspect,
        seconds until the judge may grant a trial; the judge holds the
        request until then.
    """

    __slots__ = ("state", "retry_after_s")

    def __init__(
        self, state: FingerprintState, retry_after_s: float = 0.0
    ) -> None:
        self.state = state
        self.retry_after_s = retry_after_s


class TrialCandidate:
    """A runner that could run a trial."""

    __slots__ = ("runner", "data_centre")

    def __init__(self, runner: str, data_centre: str) -> None:
        self.runner = runner
        self.data_centre = data_centre


class TrialRequest:
    """Asks the judge for permission to run a suspect.

    :param candidates: the runners that the asking VM would use, best first.
    """

    __slots__ = ("fingerprint", "request_id", "candidates")

    def __init__(
        self,
        fingerprint: str,
        request_id: str,
        candidates: tuple[TrialCandidate, ...],
    ) -> None:
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.candidates = candidates


class TrialEnded:
    """Tells the judge that a trial no longer occupies its runner.

    It is sent when the request has ended, whatever the outcome.
    """

    __slots__ = ("fingerprint", "request_id")

    def __init__(self, fingerprint: str, request_id: str) -> None:
        self.fingerprint = fingerprint
        self.request_id = request_id


class RunNormally:
    """The judge's answer when the fingerprint is no longer suspect."""

    __slots__ = ()


class RunAsTrial:
    """The judge's answer that grants a trial at one runner."""

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class RetryLater:
    """The judge's answer when no trial can be granted yet.

    :param retry_after_s: seconds after which to ask again.
    """

    __slots__ = ("retry_after_s",)

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s


class RejectRequest:
    """The judge's answer when the fingerprint is quarantined.

    :param retry_after_s: seconds until the quarantine ends.
    """

    __slots__ = ("retry_after_s",)

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s


#: The judge's answer to a request for a trial.
TrialDecision = typing.Union[
    RunNormally, RunAsTrial, RetryLater, RejectRequest
]


class _Trial:
    """A granted trial of a suspect.

    No other suspect runs at its runner until the trial ends or expires.

    :param until: when it expires, in monotonic seconds.
    """

    __slots__ = ("request_id", "runner", "until")

    def __init__(self, request_id: str, runner: str, until: float) -> None:
        self.request_id = request_id
        self.runner = runner
        self.until = until


class Quarantine:
    """The crashes known to this VM, and the trials it grants as a judge."""

    __slots__ = ("_clock", "_log", "_trials")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._log = crash_log.CrashLog(clock)
        self._trials: dict[str, _Trial] = {}

    @property
    def log(self) -> crash_log.CrashLog:
        """The crashes reported by this VM and its peers."""
        return self._log

    @property
    def trials(self) -> int:
        """The number of trials that this VM granted and that still run."""
        return len(self._trials)

    def set_sizes(self, sizes: typing.Mapping[str, int]) -> None:
        """Set the number of runners in each data centre.

        It decides how many crashes at once point to a common cause.
        """
        self._log.set_sizes(sizes)

    def receive(self, report: crashes.Report) -> bool:
        """Merge a report from this VM or a peer.

        :returns: whether it tells anything new.
        """
        if isinstance(report, crashes.CrashObservation):
            return self._log.add(report)
        return self._log.request_completed(report)

    def status(self, fingerprint: str) -> FingerprintStatus:
        """The current state of a fingerprint, as known to this VM."""
        implicating = self._log.crashes_implicating(fingerprint)
        if not implicating:
            return FingerprintStatus(FingerprintState.CLEAR)
        age_s = self._clock.now() - max(crash.at for crash in implicating)
        if len(implicating) < crashes.CRASHES_TO_QUARANTINE:
            return FingerprintStatus(FingerprintState.SUSPECT)
        if age_s < CRASH_SETTLE_S:
            return FingerprintStatus(
                FingerprintState.SUSPECT, CRASH_SETTLE_S - age_s
            )
        return FingerprintStatus(
            FingerprintState.QUARANTINED,
            max(1.0, crashes.QUARANTINE_S - age_s),
        )

    def cause_of(
        self, features: call_features.CallFeatures
    ) -> crash_causes.CrashCause | None:
        """What explains crashes and a request has; None if there is none."""
        return next(
            (c for c in self._log.causes if c.names <= features.names), None
        )

    def cause_wait_s(self, cause: crash_causes.CrashCause) -> float:
        """Seconds until a request with a cause of crashes may run as a trial.

        After a trial that has crashed its runner, until the cause expires.
        """
        age_s = self._clock.now() - cause.last_crash_at
        first_s = CRASH_SETTLE_S if cause.was_answered else RARE_TRIAL_S
        if cause.crashed_on_trial:
            first_s = crashes.QUARANTINE_S
        return max(0.0, first_s - age_s)

    def decide(self, request: TrialRequest) -> TrialDecision:
        """Decide as the judge of a pool whether a suspect may run.

        :returns: the decision; a granted trial occupies its runner until
            :meth:`end_trial` or :data:`TRIAL_TIMEOUT_S`.
        """
        if call_features.is_part(request.fingerprint):
            return self._decide_for_part(request)
        status = self.status(request.fingerprint)
        if status.state is FingerprintState.QUARANTINED:
            return RejectRequest(status.retry_after_s)
        if status.state is FingerprintState.CLEAR:
            return RunNormally()
        if status.retry_after_s:
            return RetryLater(status.retry_after_s)
        since_s = self._seconds_since_crash(request.fingerprint)
        if since_s < CRASH_PROPAGATION_S:
            return RetryLater(CRASH_PROPAGATION_S - since_s)
        return self._begin_trial(request) or RetryLater(TRIAL_RETRY_S)

    def end_trial(self, report: TrialEnded) -> None:
        """Free the runner of a trial; late and duplicate reports are safe.

        The trial may be one for another feature of the request than its
        fingerprint.
        """
        self._trials = {
            name: trial
            for name, trial in self._trials.items()
            if trial.request_id != report.request_id
        }

    def tick(self) -> None:
        """Drop expired crashes and trials."""
        self._log.expire()
        self._expire_trials()

    def _decide_for_part(self, request: TrialRequest) -> TrialDecision:
        """Decide on a request for a part of its prompt.

        Requests with a part may be many, so that none waits for the trial of
        another one.
        """
        causes = (c for c in self._log.causes if c.key == request.fingerprint)
        cause = next(causes, None)
        if cause is None:
            return RunNormally()
        wait_s = self.cause_wait_s(cause)
        if wait_s:
            return RejectRequest(wait_s)
        return self._begin_trial(request) or RejectRequest(TRIAL_RETRY_S)

    def _begin_trial(self, request: TrialRequest) -> RunAsTrial | None:
        """Grant a trial; None if another one runs or no runner is free."""
        self._expire_trials()
        running = self._trials.get(request.fingerprint)
        if running is not None and running.request_id != request.request_id:
            return None
        candidate = self._free_runner(request)
        if candidate is None:
            return None
        self._trials[request.fingerprint] = _Trial(
            request.request_id, candidate, self._clock.now() + TRIAL_TIMEOUT_S
        )
        return RunAsTrial(candidate)

    def _seconds_since_crash(self, fingerprint: str) -> float:
        """Seconds since the last crash that a request may have caused.

        The request must be suspect or quarantined.
        """
        implicating = self._log.crashes_implicating(fingerprint)
        return self._clock.now() - max(crash.at for crash in implicating)

    def _free_runner(self, request: TrialRequest) -> str | None:
        """The best runner without a trial, in a data centre without crashes.

        Crashes of the last :data:`CRASH_SETTLE_S` count.

        More runners may crash in a data centre where one has just crashed,
        and such a crash would be attributed to the suspect. Data centres in
        which the suspect's own runners crashed are the last choice.
        """
        busy_runners = {
            trial.runner
            for fingerprint, trial in self._trials.items()
            if fingerprint != request.fingerprint
        }
        crashed_in = {
            crash.data_centre
            for crash in self._implicating(request.fingerprint)
        }
        recently_crashed = self._log.recent_crash_data_centres(CRASH_SETTLE_S)
        free = [
            candidate
            for candidate in request.candidates
            if candidate.runner not in busy_runners
            and candidate.data_centre not in recently_crashed
        ]
        free.sort(key=lambda candidate: candidate.data_centre in crashed_in)
        return free[0].runner if free else None

    def _implicating(self, name: str) -> typing.Sequence[crashes.RunnerCrash]:
        """The crashes for which a feature's trial is needed."""
        if call_features.is_part(name):
            return self._log.crashes_with(name)
        return self._log.crashes_implicating(name)

    def _expire_trials(self) -> None:
        now = self._clock.now()
        self._trials = {
            fingerprint: trial
            for fingerprint, trial in self._trials.items()
            if trial.until > now
        }


def fingerprint(entry: str, customer: str, body: bytes, call: str = "") -> str:
    """The fingerprint by which repetitions of a request are recognised.

    The fingerprint of a request is the same at each entry VM. It includes
    the customer, so an equal request of another customer is still served.

    :param body: the body as received; a JSON object is put into a canonical
        form first.
    :param call: method and path of a call to a plain service.
    :returns: 16 hex digits.
    """
    head = json.dumps([entry, customer, call]).encode()
    return xxhash.xxh64_hexdigest(head + b"\0" + _canonical_body(body))


def _canonical_body(body: bytes) -> bytes:
    """The body in a form that is equal for bodies of equal effect.

    A JSON object is written with sorted keys and without the fields that do
    not affect the answer; any other body is returned unchanged.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return body
    if not isinstance(document, dict):
        return body
    kept = {k: v for k, v in document.items() if k not in IGNORED_FIELDS}
    return json.dumps(kept, sort_keys=True, separators=(",", ":")).encode()
