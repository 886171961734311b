"""What becomes of a stream whose runner leaves or breaks.

Exporting the runner's state costs nothing again at the next runner, but it
takes time that a notice may not leave. Replaying the prompt and the tokens
already sent always works while the deadline lasts.
"""

import enum
import typing

from . import messages

RETRY_S = 0.2
EXPORT_MARGIN = 1.25
RETRY_AFTER_S = 2.0
SAME_RUNNER_TRIES = 1


class Cause(enum.Enum):
    """Why a stream needs a decision."""

    #: The runner's VM will be taken; the stream still runs.
    NOTICE = "notice"
    #: The connection broke or fell silent; the runner may go on.
    BROKEN = "broken"
    #: The runner is gone, or lost the stream, or an export or import failed.
    LOST = "lost"


class Candidate:
    """A runner that may take a stream over.

    :param free_slots: not more than 0 if a new stream has to queue there.
    :param doomed: its data centre is being reclaimed.
    """

    __slots__ = ("runner", "data_centre", "free_slots", "doomed")

    def __init__(
        self,
        runner: str,
        data_centre: str,
        free_slots: int,
        doomed: bool = False,
    ) -> None:
        self.runner = runner
        self.data_centre = data_centre
        self.free_slots = free_slots
        self.doomed = doomed


class Situation:
    """One stream in trouble.

    :param priority: of its class, the higher first.
    :param prompt_tokens: that a replay computes again.
    :param sent: the tokens that the caller has, in order.
    :param left_s: expected until the stream would end by itself.
    :param notice_s: until the runner is taken; infinite without a notice.
    :param export_s: what exporting and importing it is expected to take.
    :param deadline_s: until the request's own deadline.
    :param failures: attempts that broke; announced moves don't count.
    :param same_runner: times it was resumed at the same runner in a row.
    :param moving_to: the target of an export under way, or empty.
    :param candidates: runners that may take it, leaving ones left out.
    """

    __slots__ = (
        "request_id",
        "cause",
        "runner",
        "priority",
        "prompt_tokens",
        "sent",
        "left_s",
        "notice_s",
        "export_s",
        "deadline_s",
        "failures",
        "failures_max",
        "same_runner",
        "moving_to",
        "candidates",
    )

    def __init__(
        self,
        request_id: str,
        cause: Cause,
        runner: str,
        priority: int,
        prompt_tokens: int,
        sent: typing.Sequence[str],
        left_s: float,
        notice_s: float,
        export_s: float,
        deadline_s: float,
        failures: int = 0,
        failures_max: int = 3,
        same_runner: int = 0,
        moving_to: str = "",
        candidates: typing.Sequence[Candidate] = (),
    ) -> None:
        self.request_id = request_id
        self.cause = cause
        self.runner = runner
        self.priority = priority
        self.prompt_tokens = prompt_tokens
        self.sent = sent
        self.left_s = left_s
        self.notice_s = notice_s
        self.export_s = export_s
        self.deadline_s = deadline_s
        self.failures = failures
        self.failures_max = failures_max
        self.same_runner = same_runner
        self.moving_to = moving_to
        self.candidates = candidates

    @property
    def redo_tokens(self) -> int:
        """What a replay would compute again."""
        return self.prompt_tokens + len(self.sent)


class ExportTo:
    """Export at the present runner, import at this one, read on there."""

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class Replay:
    """Send the prompt and the tokens already sent to this runner."""

    __slots__ = ("runner", "resume_tokens")

    def __init__(
        self, runner: str, resume_tokens: typing.Sequence[str]
    ) -> None:
        self.runner = runner
        self.resume_tokens = resume_tokens


class ResumeSame:
    """Read the runner's own stream on, over a new connection."""

    __slots__ = ("runner", "first_index")

    def __init__(self, runner: str, first_index: int) -> None:
        self.runner = runner
        self.first_index = first_index


class CarryOn:
    """Nothing to do: it ends in time, or its move is under way."""

    __slots__ = ()


class Wait:
    """No runner can take it yet: ask again."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class GiveUp:
    """End the request with an error."""

    __slots__ = ("executed", "retry_after_s")

    def __init__(
        self, executed: messages.Executed, retry_after_s: float
    ) -> None:
        self.executed = executed
        self.retry_after_s = retry_after_s


Decision: typing.TypeAlias = (
    ExportTo | Replay | ResumeSame | CarryOn | Wait | GiveUp
)


def plan(situation: Situation) -> Decision:
    """Decide about one stream by itself."""
    if situation.deadline_s <= 0:
        return _give_up(situation)
    if situation.cause is Cause.NOTICE:
        return _on_notice(situation)
    if situation.failures >= situation.failures_max:
        return _give_up(situation)
    if (
        situation.cause is Cause.BROKEN
        and situation.same_runner < SAME_RUNNER_TRIES
        and situation.notice_s > RETRY_S
    ):
        return ResumeSame(situation.runner, len(situation.sent))
    target = pick(situation.candidates)
    if target is None:
        return Wait(min(RETRY_S, situation.deadline_s))
    return Replay(target.runner, situation.sent)


def pick(candidates: typing.Sequence[Candidate]) -> Candidate | None:
    """Choose the emptiest runner, outside of doomed data centres first.

    A free slot in a doomed one beats a queue elsewhere: a second move costs
    less than the caller's wait.
    """
    return max(
        candidates,
        key=lambda candidate: (
            candidate.free_slots > 0,
            not candidate.doomed,
            candidate.free_slots,
            candidate.runner,
        ),
        default=None,
    )


def ends_in_time(situation: Situation) -> bool:
    """Whether the stream is over well before its runner is taken."""
    return situation.left_s * EXPORT_MARGIN < situation.notice_s


def export_fits(situation: Situation, busy_s: float = 0.0) -> bool:
    """Whether an export is done well before the runner is taken.

    :param busy_s: until the export can start.
    """
    needed = busy_s + situation.export_s * EXPORT_MARGIN
    return needed < min(situation.notice_s, situation.deadline_s)


def _on_notice(situation: Situation) -> Decision:
    # A notice can come twice. Moving a stream that is on its way already
    # would leave two runners at work on it.
    if situation.moving_to or ends_in_time(situation):
        return CarryOn()
    target = pick(situation.candidates)
    if target is None:
        return Wait(min(RETRY_S, situation.deadline_s))
    if export_fits(situation):
        return ExportTo(target.runner)
    return Replay(target.runner, situation.sent)


def _give_up(situation: Situation) -> GiveUp:
    seen = bool(situation.sent)
    executed = messages.Executed.YES if seen else messages.Executed.UNKNOWN
    return GiveUp(executed, RETRY_AFTER_S)
