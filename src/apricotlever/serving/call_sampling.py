"""Records the latencies and outcomes of calls during a roll-out.

A roll-out moves a service to a new version of its runners. The new version is
judged by samples, which sum up the calls to the old and to the new one.
"""

from .. import clock as clocks
from ..roll_outs import controller as controllers
from ..roll_outs import model as roll_outs_model
from ..roll_outs import samples
from ..runners import model as models

from . import runners

#: Expected time to the first byte of an answer, without the time in which the
#: runner reads the prompt, in seconds.
ANSWER_OVERHEAD_S = 0.02
#: Speed at which runners are assumed to read prompts while a service's speed
#: is unknown, in tokens per second.
DEFAULT_READING_SPEED = 20_000.0
#: A call that was cancelled before its first byte counts as slow if it lasted
#: longer than this multiple of the expected time to the first byte.
SLOW_FACTOR = 4.0
_SUFFIXES = {
    roll_outs_model.RunnerRole.SERVING: "",
    roll_outs_model.RunnerRole.CANARY: " canary",
    roll_outs_model.RunnerRole.STANDBY: " standby",
}


def pool_name(service: str, role: roll_outs_model.RunnerRole) -> str:
    """The name under which the router knows a service's runners in a role.

    :param role: the runners' role in a roll-out of the service.
    :returns: the name; "" if runners in this role get no calls.
    """
    suffix = _SUFFIXES.get(role)
    return "" if suffix is None else service + suffix


class _SampledCall:
    """A call in flight during a roll-out, whose results will be recorded.

    :param sample: the sample to which the call's results are added.
    :param sent_at: when the call was sent, on the monotonic clock.
    :param expected_s: expected time to the first byte, in seconds.
    """

    __slots__ = ("sample", "sent_at", "expected_s", "answered")

    def __init__(
        self, sample: samples.Sample, sent_at: float, expected_s: float
    ) -> None:
        self.sample = sample
        self.sent_at = sent_at
        self.expected_s = expected_s
        self.answered = False


class CallSampler:
    """Tracks the calls in flight to services with a roll-out."""

    __slots__ = ("_by_attempt", "_clock", "_controller")

    def __init__(
        self, clock: clocks.Clock, controller: controllers.RollOutController
    ) -> None:
        self._clock = clock
        self._controller = controller
        self._by_attempt: dict[str, _SampledCall] = {}

    def record_sent(
        self,
        attempt: str,
        runner: runners.Runner,
        route: str,
        tokens: int,
        speed: float,
    ) -> None:
        """Record that a call is sent, if its service has a roll-out.

        :param attempt: name of the attempt to send the call to this runner.
        :param tokens: prompt tokens that the runner has to read.
        :param speed: reading speed of the service's runners, in tokens per
            second; 0 if unknown.
        """
        sample = self._controller.record_sent(runner, route)
        if sample is not None:
            expected_s = ANSWER_OVERHEAD_S + tokens / (
                speed or DEFAULT_READING_SPEED
            )
            self._by_attempt[attempt] = _SampledCall(
                sample, self._clock.now(), expected_s
            )

    def record_first_byte(self, attempt: str) -> None:
        """Record the time to the first byte of a call's answer."""
        call = self._by_attempt.get(attempt)
        if call is not None and not call.answered:
            call.answered = True
            elapsed_s = self._clock.now() - call.sent_at
            call.sample.first_byte.add(elapsed_s / call.expected_s)

    def record_end(self, attempt: str, outcome: models.Outcome) -> None:
        """Record the end of a call.

        A call that was cancelled, or that its runner rejected, counts neither
        as ended nor as failed. If it got no byte for long, its time so far
        counts as its time to the first byte.
        """
        call = self._by_attempt.pop(attempt, None)
        if call is None:
            return
        sample = call.sample
        elapsed_s = self._clock.now() - call.sent_at
        if outcome is models.Outcome.CANCELLED:
            slow = elapsed_s > SLOW_FACTOR * call.expected_s
            if slow and not call.answered:
                sample.first_byte.add(elapsed_s / call.expected_s)
            return
        sample.ended += 1
        if outcome is models.Outcome.FAILED:
            sample.failed += 1
        else:
            sample.last_byte.add(elapsed_s)
