"""Tracks the requests of one VM in flight and learns from their timing.

The timing of a request adjusts the latency model and the slowness of its
runner, and its end the runner's circuit breaker and load.
"""

from .. import clock as clocks
from . import candidates as candidates_
from . import model as models

#: Weight of a new sample in the moving average of a runner's slowness.
SLOWNESS_SMOOTHING = 0.1
#: Limits of a runner's slowness, the ratio of the observed to the modelled
#: time to the first token.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
#: Lower limit of the expected seconds, as the ratio of the observed to the
#: expected time is meaningless if nothing was expected.
MIN_EXPECTED_S = 1e-3


class _Request:
    """One request in flight.

    ``fill`` and ``expected_s`` are the runner's estimated fill and time to the
    first token when the request was sent. ``first_at`` is the time of its
    first token, or None.

    :param candidate: the runner that it was sent to.
    :param started: the time at which it was sent.
    :param uncached: prompt tokens that the runner probably has to prefill.
    """

    __slots__ = (
        "candidate",
        "started",
        "first_at",
        "uncached",
        "fill",
        "expected_s",
    )

    def __init__(
        self,
        candidate: candidates_.Candidate,
        started: float,
        uncached: int,
    ) -> None:
        self.candidate = candidate
        self.started = started
        self.first_at: float | None = None
        self.uncached = uncached
        self.fill = candidate.fill
        self.expected_s = candidate.first_token_s


class InFlight:
    """The requests of this VM that were sent to runners and have not ended."""

    __slots__ = ("_clock", "_requests")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._requests: dict[str, _Request] = {}

    def started(
        self, request_id: str, candidate: candidates_.Candidate, uncached: int
    ) -> None:
        """Record that a request was sent.

        The candidate must still hold the estimates for this request, since
        the later timing is compared with them.

        :param uncached: prompt tokens that the runner probably has to prefill.
        """
        self._requests[request_id] = _Request(
            candidate, self._clock.now(), uncached
        )
        candidate.pending_tokens += uncached
        candidate.mean_fill.observe(candidate.fill)
        candidate.load.started()
        candidate.circuit.started()
        candidate.invalidate()

    def first_token(self, request_id: str) -> None:
        """Record the arrival of the first token or byte of an answer.

        The latency model learns only from requests that found a free slot,
        since the time to the first token that it gives excludes waiting.
        """
        request = self._requests.get(request_id)
        if request is None or request.first_at is not None:
            return
        now = self._clock.now()
        request.first_at = now
        candidate = request.candidate
        candidate.pending_tokens -= request.uncached
        candidate.invalidate()
        observed_s = now - request.started
        if request.fill <= 1.0:
            candidate.latency.observe_first_token(
                observed_s, request.uncached, request.fill
            )
        expected_s = max(MIN_EXPECTED_S, request.expected_s)
        ratio = observed_s * candidate.slowness / expected_s
        change = SLOWNESS_SMOOTHING * (ratio - candidate.slowness)
        candidate.slowness = min(
            MAX_SLOWNESS, max(MIN_SLOWNESS, candidate.slowness + change)
        )

    def finished(
        self, request_id: str, outcome: models.Outcome, tokens: int
    ) -> None:
        """Record the end of a request.

        A failure counts against the runner's circuit. An answer closes the
        circuit, and the latency model learns from its timing.

        :param tokens: tokens of the answer, 0 if unknown.
        """
        request = self.remove(request_id)
        if request is None:
            return
        candidate = request.candidate
        if outcome is models.Outcome.FAILED:
            candidate.circuit.failed()
            return
        if outcome is models.Outcome.CANCELLED:
            candidate.circuit.cancelled()
            return
        candidate.circuit.succeeded()
        now = self._clock.now()
        first_at = request.first_at or now
        candidate.latency.observe_finished(
            now - request.started, now - first_at, tokens
        )

    def remove(self, request_id: str) -> _Request | None:
        """Remove a request and take it off its runner's load.

        :returns: the request; None if it is not in flight.
        """
        request = self._requests.pop(request_id, None)
        if request is not None:
            request.candidate.load.finished()
            request.candidate.invalidate()
            if request.first_at is None:
                request.candidate.pending_tokens -= request.uncached
        return request
