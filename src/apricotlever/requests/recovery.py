"""Decides how to continue a stream whose runner leaves or fails.

A stream is a request whose tokens are sent to the caller as they are made.
After an export of its state the next runner computes no token again, but an
export can take longer than the notice that precedes the reclaim of a runner.
A replay, which computes the prompt and the tokens already sent again at
another runner, works at any time before the deadline.
"""

import enum
import typing

from . import ledger_messages

RETRY_INTERVAL_S = 0.2
SAFETY_FACTOR = 1.25
RETRY_AFTER_S = 2.0
RECONNECTS_MAX = 1


class RecoveryCause(enum.Enum):
    """Why it has to be decided how a stream continues."""

    #: The runner's VM will be reclaimed; the stream is still running.
    NOTICE = "notice"
    #: The connection broke or stalled; the runner may still be working.
    BROKEN = "broken"
    #: The runner is gone or lost the stream, or an export or import failed.
    LOST = "lost"


class Candidate:
    """A runner that can take over a stream.

    :param free_slots: number of free slots; 0 or less if a new stream has to
        wait in the runner's queue.
    :param being_reclaimed: whether its data centre is being reclaimed.
    """

    __slots__ = ("runner", "data_centre", "free_slots", "being_reclaimed")

    def __init__(
        self,
        runner: str,
        data_centre: str,
        free_slots: int,
        being_reclaimed: bool = False,
    ) -> None:
        self.runner = runner
        self.data_centre = data_centre
        self.free_slots = free_slots
        self.being_reclaimed = being_reclaimed


class AffectedStream:
    """A stream whose runner leaves or fails. Times are in seconds.

    :param cause: what happened to the runner or the connection to it.
    :param runner: the runner that has the stream now.

    :param priority: priority of the stream's class; higher goes first.
    :param prompt_tokens: length of the prompt, which a replay computes again.
    :param sent_tokens: the tokens sent to the caller, in order.
    :param remaining_s: expected time until the stream ends by itself.
    :param notice_s: time until the runner is reclaimed; infinite without a
        notice.
    :param export_s: expected time of the stream's export and import.
    :param deadline_s: time until the request's deadline.
    :param failures: number of failed attempts; announced moves don't count.
    :param failures_max: number of failed attempts after which the stream is
        given up.
    :param reconnects: number of consecutive reconnections to the same runner.
    :param moving_to: the target of an export in progress, or empty.
    :param candidates: runners that can take over the stream, without those
        that are leaving.
    """

    __slots__ = (
        "request_id",
        "cause",
        "runner",
        "priority",
        "prompt_tokens",
        "sent_tokens",
        "remaining_s",
        "notice_s",
        "export_s",
        "deadline_s",
        "failures",
        "failures_max",
        "reconnects",
        "moving_to",
        "candidates",
    )

    def __init__(
        self,
        request_id: str,
        cause: RecoveryCause,
        runner: str,
        priority: int,
        prompt_tokens: int,
        sent_tokens: typing.Sequence[str],
        remaining_s: float,
        notice_s: float,
        export_s: float,
        deadline_s: float,
        failures: int = 0,
        failures_max: int = 3,
        reconnects: int = 0,
        moving_to: str = "",
        candidates: typing.Sequence[Candidate] = (),
    ) -> None:
        self.request_id = request_id
        self.cause = cause
        self.runner = runner
        self.priority = priority
        self.prompt_tokens = prompt_tokens
        self.sent_tokens = sent_tokens
        self.remaining_s = remaining_s
        self.notice_s = notice_s
        self.export_s = export_s
        self.deadline_s = deadline_s
        self.failures = failures
        self.failures_max = failures_max
        self.reconnects = reconnects
        self.moving_to = moving_to
        self.candidates = candidates

    @property
    def recomputed_tokens(self) -> int:
        """Number of tokens that a replay would compute again.

        They are those of the prompt and those already sent.
        """
        return self.prompt_tokens + len(self.sent_tokens)


class ExportTo:
    """Decision: export the stream's state and import it at another runner.

    :param runner: the runner that imports the state.
    """

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class Replay:
    """Decision: replay the stream at another runner, without its old state.

    :param runner: the runner that computes the stream again.
    :param resume_tokens: the tokens already sent, which follow the prompt.
    """

    __slots__ = ("runner", "resume_tokens")

    def __init__(
        self, runner: str, resume_tokens: typing.Sequence[str]
    ) -> None:
        self.runner = runner
        self.resume_tokens = resume_tokens


class Reconnect:
    """Decision: reconnect to the runner and read on in the same stream.

    :param first_index: index of the first token to read.
    """

    __slots__ = ("runner", "first_index")

    def __init__(self, runner: str, first_index: int) -> None:
        self.runner = runner
        self.first_index = first_index


class KeepRunning:
    """Decision: leave the stream alone; it ends in time or is being moved."""

    __slots__ = ()


class Wait:
    """Decision: leave the stream as it is and decide again after a delay.

    :param seconds: the delay.
    """

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class GiveUp:
    """Decision: end the request with an error.

    :param executed: whether the upstream ran the request.
    :param retry_after_s: seconds after which the caller may retry.
    """

    __slots__ = ("executed", "retry_after_s")

    def __init__(
        self, executed: ledger_messages.Executed, retry_after_s: float
    ) -> None:
        self.executed = executed
        self.retry_after_s = retry_after_s


RecoveryDecision: typing.TypeAlias = (
    ExportTo | Replay | Reconnect | KeepRunning | Wait | GiveUp
)


def decide(situation: AffectedStream) -> RecoveryDecision:
    """Decide how to continue a single stream.

    Streams on runners that are reclaimed together are planned together by
    :func:`.evacuation.plan_evacuation`.
    """
    if situation.deadline_s <= 0:
        return _give_up(situation)
    if situation.cause is RecoveryCause.NOTICE:
        return _decide_on_notice(situation)
    if situation.failures >= situation.failures_max:
        return _give_up(situation)
    if (
        situation.cause is RecoveryCause.BROKEN
        and situation.reconnects < RECONNECTS_MAX
        and situation.notice_s > RETRY_INTERVAL_S
    ):
        return Reconnect(situation.runner, len(situation.sent_tokens))
    target = pick_target(situation.candidates)
    if target is None:
        return Wait(min(RETRY_INTERVAL_S, situation.deadline_s))
    return Replay(target.runner, situation.sent_tokens)


def pick_target(candidates: typing.Sequence[Candidate]) -> Candidate | None:
    """Choose the runner that takes over a stream.

    It is the one with the most free slots. Data centres that are not being
    reclaimed are preferred. A free slot in a data centre being reclaimed is
    better than a queue elsewhere, because a second move costs less than the
    caller's wait.

    :returns: a candidate, or None if there are none.
    """
    return max(
        candidates,
        key=lambda candidate: (
            candidate.free_slots > 0,
            not candidate.being_reclaimed,
            candidate.free_slots,
            candidate.runner,
        ),
        default=None,
    )


def ends_in_time(situation: AffectedStream) -> bool:
    """Return whether the stream ends well before its runner is reclaimed."""
    return situation.remaining_s * SAFETY_FACTOR < situation.notice_s


def export_fits(situation: AffectedStream, delay_s: float = 0.0) -> bool:
    """Return whether an export of the stream's state ends in time.

    It has to end well before the reclaim of the runner and before the
    request's deadline.

    :param delay_s: seconds until the export can start.
    """
    needed = delay_s + situation.export_s * SAFETY_FACTOR
    return needed < min(situation.notice_s, situation.deadline_s)


def _decide_on_notice(situation: AffectedStream) -> RecoveryDecision:
    # A notice can arrive twice. Moving a stream that is being moved already
    # would make two runners work on it.
    if situation.moving_to or ends_in_time(situation):
        return KeepRunning()
    target = pick_target(situation.candidates)
    if target is None:
        return Wait(min(RETRY_INTERVAL_S, situation.deadline_s))
    if export_fits(situation):
        return ExportTo(target.runner)
    return Replay(target.runner, situation.sent_tokens)


def _give_up(situation: AffectedStream) -> GiveUp:
    started = bool(situation.sent_tokens)
    executed = (
        ledger_messages.Executed.YES
        if started
        else ledger_messages.Executed.UNKNOWN
    )
    return GiveUp(executed, RETRY_AFTER_S)
