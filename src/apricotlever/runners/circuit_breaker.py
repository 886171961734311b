"""Circuit breaking and slow start for one runner.

While the circuit of a runner is closed, the VM sends requests to it; while it
is open, the VM sends none. A failing runner attracts more requests than a
healthy one, because each failure frees its slot at once and makes it look
idle. The circuit opens after a few consecutive failures, or at once if no
process listens at the runner's address. It then lets one
probe through at a time and closes again when a probe succeeds.

A runner that is new or has recovered starts slowly: for some seconds it gets
work for only a part of its slots, which grows with time.
"""

import enum
import random

from .. import clock as clocks

#: Consecutive failures that open the circuit.
FAILURES_TO_OPEN = 3
#: The first open time in seconds, before it is randomised. It doubles with
#: each failed probe.
INITIAL_OPEN_S = 1.0
#: The longest open time, before it is randomised.
MAX_OPEN_S = 30.0
#: A probe whose end was not reported expires after this time.
PROBE_TIMEOUT_S = 30.0
#: How long a report of other VMs keeps the circuit open, in seconds, before it
#: is randomised. VMs repeat their reports within 0.3 s.
REPORT_HOLD_S = 0.5
#: Duration of the slow start.
SLOW_START_S = 10.0
#: The share of its slots that a runner may use when its slow start begins.
SLOW_START_SHARE = 0.2


class CircuitState(enum.Enum):
    """Whether a runner receives requests."""

    #: All requests may be sent.
    CLOSED = "closed"
    #: No request may be sent.
    OPEN = "open"
    #: One request at a time may be sent as a probe.
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """The circuit breaker of one runner, with its slow start.

    :param rng: randomises open times, so that VMs do not probe in step.
    :param warm: whether the runner skips its slow start.
    """

    __slots__ = (
        "_clock",
        "_failed_at",
        "_failures",
        "_open_duration_s",
        "_open_until",
        "_opened_at",
        "_probe_until",
        "_rng",
        "_slow_start_until",
        "suspected",
    )

    def __init__(
        self, clock: clocks.Clock, rng: random.Random, warm: bool = False
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._failed_at = self._opened_at = float("-inf")
        #: Whether another VM reports that the runner refuses connections, so
        #: that a single failure opens the circuit.
        self.suspected = False
        self._open_duration_s = 0.0
        self._open_until = 0.0
        self._probe_until = 0.0
        self._slow_start_until = clock.now() + (0.0 if warm else SLOW_START_S)

    @property
    def state(self) -> CircuitState:
        """The current state of the circuit."""
        if not self._open_duration_s:
            return CircuitState.CLOSED
        if self._clock.now() < self._open_until:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    @property
    def open_until(self) -> float:
        """The time from which the next probe may be sent.

        It is in the past if a request may be sent now, as it always is while
        the circuit is closed.
        """
        return max(self._open_until, self._probe_until)

    def allows(self, now: float) -> bool:
        """Whether a request may be sent now."""
        if not self._open_duration_s:
            return True
        return now >= self._open_until and now >= self._probe_until

    def slot_share(self, now: float) -> float:
        """The share of its slots that a runner may use during slow start."""
        left_s = self._slow_start_until - now
        if left_s <= 0.0:
            return 1.0
        return max(SLOW_START_SHARE, 1.0 - left_s / SLOW_START_S)

    def started(self) -> None:
        """Record that a request was sent.

        If the circuit is half-open, this request is its probe, and no other
        one is sent until the probe has ended or expired.
        """
        if self._open_duration_s:
            self._probe_until = self._clock.now() + PROBE_TIMEOUT_S

    def cancelled(self) -> None:
        """Record a request whose end says nothing about the runner.

        If it was the probe, another request may take its place.
        """
        self._probe_until = 0.0

    def succeeded(self) -> None:
        """Record an answered request and close the circuit.

        If it was not closed, the runner begins a slow start.
        """
        if self._open_duration_s:
            self._slow_start_until = self._clock.now() + SLOW_START_S
        self._failures = 0
        self._open_duration_s = 0.0
        self._open_until = 0.0
        self._probe_until = 0.0

    def failed(self) -> None:
        """Record a request that broke off, was refused or timed out.

        The circuit opens after :data:`FAILURES_TO_OPEN` in a row, or at once
        if the request was a probe.
        """
        self._failures += 1
        self._probe_until = 0.0
        self._trip()

    def crashed(self) -> None:
        """Record the end of the runner's process and open the circuit."""
        self._failures = max(self._failures + 1, FAILURES_TO_OPEN)
        self._probe_until = 0.0
        self._trip()

    def refused(self) -> None:
        """Record a refused connection, which opens the circuit at once."""
        self.crashed()

    def reported(self, confirmed: bool) -> None:
        """Apply a report that the runner refuses connections of other VMs.

        A report extends the open time of an open or half-open circuit, so that
        not each VM of a large fleet probes the runner. It does not double the
        time: when the reports end, the runner is soon probed.

        :param confirmed: whether there are enough reports to open a circuit
            that is closed.
        """
        if not (confirmed or self._open_duration_s):
            return
        hold_s = REPORT_HOLD_S * self._rng.uniform(1.0, 2.0)
        self._open_duration_s = self._open_duration_s or INITIAL_OPEN_S
        self._open_until = max(self._open_until, self._clock.now() + hold_s)

    def forget(self, since: float) -> bool:
        """Forget the failures from a time on, which were not the runner's.

        A circuit that opened since then closes, without a slow start. One that
        was open before may be probed at once.

        :param since: the time, by the clock.
        :returns: whether the circuit closed.
        """
        if self._failed_at < since:
            return False
        self._failures = 0
        self._failed_at = float("-inf")
        self._open_until = self._probe_until = 0.0
        if not self._open_duration_s:
            return False
        closes = self._opened_at >= since
        self._open_duration_s = 0.0 if closes else INITIAL_OPEN_S
        return closes

    def _trip(self) -> None:
        """Open the circuit if there were enough failures.

        Failures while it is open are of requests that were sent before. They
        don't extend the open time.
        """
        now = self._failed_at = self._clock.now()
        needed = 1 if self.suspected else FAILURES_TO_OPEN
        if not self._open_duration_s and self._failures < needed:
            return
        if self._open_duration_s and now < self._open_until:
            return
        if not self._open_duration_s:
            self._opened_at = now
        self._open_duration_s = min(
            MAX_OPEN_S, 2 * self._open_duration_s or INITIAL_OPEN_S
        )
        wait_s = self._open_duration_s * self._rng.uniform(0.75, 1.25)
        self._open_until = now + wait_s
