"""The requests of one VM at its runners, and what their ends teach."""

from .. import clock as clocks
from . import candidates as candidates_
from . import model as models

#: How fast a runner's slowness follows what its answers show.
SLOWNESS_RATE = 0.1
LEAST_SLOWNESS = 0.5
MOST_SLOWNESS = 8.0
#: Seconds; an expectation of nothing says nothing of slowness.
LEAST_EXPECTED_S = 1e-3


class _Request:
    """One request on its way.

    :param uncached: prompt tokens that its runner likely has to read.
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
        self.expected_s = candidate.first_s


class InFlight:
    """Requests that were sent and have not ended."""

    __slots__ = ("_clock", "_requests")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._requests: dict[str, _Request] = {}

    def started(
        self, request_id: str, candidate: candidates_.Candidate, uncached: int
    ) -> None:
        """A request was sent to a runner, with figures estimated for it."""
        self._requests[request_id] = _Request(
            candidate, self._clock.now(), uncached
        )
        candidate.pending_tokens += uncached
        candidate.load.started()
        candidate.health.started()
        candidate.changed()

    def first_token(self, request_id: str) -> None:
        """The first token, or the first byte, of the answer has come."""
        request = self._requests.get(request_id)
        if request is None or request.first_at is not None:
            return
        now = self._clock.now()
        request.first_at = now
        candidate = request.candidate
        candidate.pending_tokens -= request.uncached
        candidate.changed()
        took_s = now - request.started
        if request.fill <= 1.0:
            candidate.pace.first_token(took_s, request.uncached, request.fill)
        expected_s = max(LEAST_EXPECTED_S, request.expected_s)
        ratio = took_s * candidate.slowness / expected_s
        step = SLOWNESS_RATE * (ratio - candidate.slowness)
        candidate.slowness = min(
            MOST_SLOWNESS, max(LEAST_SLOWNESS, candidate.slowness + step)
        )

    def finished(
        self, request_id: str, outcome: models.Outcome, tokens: int
    ) -> None:
        """A request ended; its runner's health and pace learn from it.

        :param tokens: of the answer, 0 when not known.
        """
        request = self.end(request_id)
        if request is None:
            return
        candidate = request.candidate
        if outcome is models.Outcome.FAILED:
            candidate.health.failed()
            return
        if outcome is models.Outcome.CANCELLED:
            candidate.health.cancelled()
            return
        candidate.health.succeeded()
        now = self._clock.now()
        first_at = request.first_at or now
        candidate.pace.finished(now - request.started, now - first_at, tokens)

    def end(self, request_id: str) -> _Request | None:
        """Count a request no more, if it is under way."""
        request = self._requests.pop(request_id, None)
        if request is not None:
            request.candidate.load.finished()
            request.candidate.changed()
            if request.first_at is None:
                request.candidate.pending_tokens -= request.uncached
        return request
