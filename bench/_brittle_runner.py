"""Runners that fall over, and the calls that simulated VMs send to them.

A fragile runner has no queue and counts the calls that it must reject. One too
many in a second, and it falls over: its calls break, and for some seconds it
takes none.
"""

import collections
import typing


class Kind:
    """What calls are like, in seconds.

    :param call_s: shortest and longest duration.
    :param objective_s: until a call should be taken.
    :param timeout_s: until a call ends at the latest.
    :param span_s: length of a simulation.
    """

    __slots__ = ("call_s", "objective_s", "timeout_s", "span_s")

    def __init__(
        self,
        call_s: tuple[float, float],
        objective_s: float,
        timeout_s: float,
        span_s: float,
    ) -> None:
        self.call_s = call_s
        self.objective_s = objective_s
        self.timeout_s = timeout_s
        self.span_s = span_s


KINDS = {
    "short": Kind((0.04, 0.06), 0.25, 0.8, 6.0),
    "medium": Kind((0.1, 0.3), 0.75, 3.0, 9.0),
    "stream": Kind((2.0, 5.0), 1.0, 10.0, 24.0),
}
#: When runners begin to be fragile and counting begins, and when troubles
#: begin and end, as parts of the span.
FRAGILE_FROM, TROUBLE_FROM, TROUBLE_TO = 0.2, 0.4, 0.75
TROUBLES = (
    "none",
    "burst",
    "hot",
    "halved",
    "neighbour",
    "one_fragile",
    "late_records",
    "late_ends",
    "cut",
    "keeper_gone",
    "lossy",
)


class Case:
    """What is simulated.

    :param bears: rejections in a second that a runner bears.
    :param use: calls as a part of what the runners can take.
    :param is_fragile: whether the runners are fragile at all.
    """

    __slots__ = (
        "vms",
        "runners",
        "slots",
        "bears",
        "kind",
        "use",
        "trouble",
        "seed",
        "is_fragile",
    )

    def __init__(
        self,
        vms: int,
        runners: int,
        slots: int,
        bears: int,
        kind: str,
        use: float,
        trouble: str,
        seed: int,
        is_fragile: bool = True,
    ) -> None:
        self.vms = vms
        self.runners = runners
        self.slots = slots
        self.bears = bears
        self.kind = kind
        self.use = use
        self.trouble = trouble
        self.seed = seed
        self.is_fragile = is_fragile


class Call:
    """A call and what became of it."""

    __slots__ = (
        "number",
        "vm",
        "arrived_at",
        "started_at",
        "duration_s",
        "attempts",
        "tried",
        "state",
    )

    def __init__(
        self, number: int, vm: int, arrived_at: float, duration_s: float
    ) -> None:
        self.number = number
        self.vm = vm
        self.arrived_at = self.started_at = arrived_at
        self.duration_s = duration_s
        self.attempts = 0
        self.tried: set[int] = set()
        #: What the way of sending needs to remember.
        self.state: typing.Any = None


class Runner:
    """A runner that may fall over."""

    __slots__ = (
        "number",
        "room",
        "queue",
        "queue_size",
        "running",
        "bears",
        "down_until",
        "_rejected",
        "falls",
    )

    def __init__(self, number: int, slots: int) -> None:
        self.number = number
        self.room = self.queue_size = slots
        self.queue: collections.deque[Call] = collections.deque()
        self.running: dict[int, Call] = {}
        #: Rejections in a second that it bears; None while it isn't fragile.
        self.bears: int | None = None
        self.down_until = 0.0
        self._rejected: collections.deque[tuple[float, bool]] = (
            collections.deque()
        )
        self.falls = 0

    def reject(self, now: float, is_cut: bool) -> bool:
        """Count a rejection; return whether the runner falls over by it."""
        if self.bears is None:
            return False
        rejected = self._rejected
        rejected.append((now, is_cut))
        while rejected[0][0] <= now - 1.0:
            rejected.popleft()
        if len(rejected) <= self.bears:
            return False
        if 2 * sum(cut for _, cut in rejected) <= len(rejected):
            self.falls += 1
        rejected.clear()
        return True


class Way(typing.Protocol):
    """A way to send calls."""

    def place(self, call: Call) -> None:
        """Send the call to a runner or refuse it, now or later."""

    def ended(self, call: Call, runner: int, rejected: bool) -> None:
        """Process the end of a call at its runner, as seen by its VM."""
