"""Messages about the runners and what is known of them.

They inform the dispatcher, which chooses the runners of requests; other tasks
receive some of them too. The reply to a message is the result of the future
that :meth:`.mailbox.Task.ask` returns.
"""

from ..runners import model as runners
from ..runners import statements


class RunnersListed:
    """The platform's list of runners, which may be out of date."""

    __slots__ = ("runners",)

    def __init__(self, listed: tuple[runners.Runner, ...]) -> None:
        self.runners = listed


class RunnerStated:
    """What a runner says of itself in a response to this VM.

    :param runner: the name of the runner.
    :param statement: what it says, which may be nothing.
    :param sent_at: when the request was sent, by this VM's clock.
    """

    __slots__ = ("runner", "statement", "sent_at")

    def __init__(
        self, runner: str, statement: statements.Statement, sent_at: float
    ) -> None:
        self.runner = runner
        self.statement = statement
        self.sent_at = sent_at


class RunnerLeaving:
    """A runner has a reclaim notice: its VM will end shortly.

    The dispatcher replies whether the notice is new to it.

    :param runner: name of the runner.
    :param left_s: seconds until the runner is reclaimed.
    """

    __slots__ = ("runner", "left_s")

    def __init__(self, runner: str, left_s: float) -> None:
        self.runner = runner
        self.left_s = left_s


class RunnerGone:
    """A runner has ended and is removed from routing."""

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class GetRunner:
    """Look a runner up by its name.

    The reply is the runner; None when it is unknown.
    """

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class LoadObserved:
    """A runner's load, read by this VM or reported by a peer.

    :param runner: name of the runner.
    :param report: the load.
    :param own: whether this VM read the load itself.
    """

    __slots__ = ("runner", "report", "own")

    def __init__(
        self, runner: str, report: runners.LoadReport, own: bool
    ) -> None:
        self.runner = runner
        self.report = report
        self.own = own


class CacheEventsObserved:
    """A runner's cache events, read by this VM or reported by a peer."""

    __slots__ = ("runner", "events")

    def __init__(self, runner: str, events: runners.CacheEvents) -> None:
        self.runner = runner
        self.events = events


class ProbeFailed:
    """A runner did not answer a read of its load."""

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner
