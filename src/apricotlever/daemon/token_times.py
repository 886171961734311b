"""Measures when the tokens of one model answer arrive."""

from .. import histograms

from . import context as contexts
from . import dispatcher_messages
from . import model_request

#: Number of distinct gaps between tokens that are buffered until they are
#: recorded in the histogram.
MAX_BUFFERED_GAPS = 24


class TokenTimes:
    """The time to an answer's first token, and the gaps between its tokens.

    :param context: the daemon's tasks, which get the times.
    :param request: the model request that is answered.
    """

    __slots__ = (
        "_context",
        "_gap_counts",
        "_gap_distribution",
        "_last_at",
        "_request",
    )

    def __init__(
        self, context: contexts.Context, request: model_request.ModelRequest
    ) -> None:
        self._context = context
        self._request = request
        self._gap_distribution = context.histograms.distribution(
            histograms.BETWEEN_TOKENS,
            request.customer,
            request.service_class.name,
        )
        self._gap_counts: dict[int, int] = {}
        self._last_at = 0.0

    @property
    def last_at(self) -> float:
        """When the last token arrived, by the context's clock; 0 before it."""
        return self._last_at

    def record(self) -> None:
        """Record that one or more tokens have arrived now."""
        now = self._context.clock.now()
        if self._last_at:
            gap_us = histograms.rounded_down_us(
                int((now - self._last_at) * 1e6)
            )
            counts = self._gap_counts
            counts[gap_us] = counts.get(gap_us, 0) + 1
            if len(counts) >= MAX_BUFFERED_GAPS:
                self.flush()
        elif self._request.first_token_at is None:
            self._record_first(now)
        self._last_at = now

    def flush(self) -> None:
        """Record the buffered gaps in the histogram."""
        counts, self._gap_counts = self._gap_counts, {}
        self._gap_distribution.record_counts(counts)

    def _record_first(self, now: float) -> None:
        request = self._request
        request.first_token_at = now
        context = self._context
        context.dispatcher.tell(
            dispatcher_messages.FirstToken(request.request_id)
        )
        seconds = now - request.arrived_at
        context.histograms.record(
            histograms.FIRST_TOKEN,
            request.customer,
            request.service_class.name,
            seconds,
        )
        context.metrics.timing(
            "latency.first_token", seconds, request.service_class.name
        )
