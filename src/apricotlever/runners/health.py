"""Circuit breaking and slow start for one runner.

A runner that fails takes requests faster than a healthy one answers them:
each failure frees its place at once and makes it look idle. The circuit
opens after a few failures in a row, and one probe at a time closes it.
"""

import enum
import random

from .. import clock as clocks

FAILURES_TO_OPEN = 3
FIRST_OPEN_S = 1.0
LONGEST_OPEN_S = 30.0
#: A probe whose end was never reported is forgotten after this time.
PROBE_S = 30.0
SLOW_START_S = 10.0
SLOW_START_SHARE = 0.2


class CircuitState(enum.Enum):
    """Whether a runner gets requests."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Health:
    """The circuit of one runner.

    :param rng: spreads the probes of several VMs.
    :param warm: whether the runner skips its slow start.
    """

    __slots__ = (
        "_clock",
        "_failures",
        "_open_s",
        "_open_until",
        "_probe_until",
        "_rng",
        "_warm_at",
    )

    def __init__(
        self, clock: clocks.Clock, rng: random.Random, warm: bool = False
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._open_s = 0.0
        self._open_until = 0.0
        self._probe_until = 0.0
        self._warm_at = clock.now() + (0.0 if warm else SLOW_START_S)

    @property
    def state(self) -> CircuitState:
        """Open, half open or closed at this moment."""
        if not self._open_s:
            return CircuitState.CLOSED
        if self._clock.now() < self._open_until:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    @property
    def open_until(self) -> float:
        """When the next probe may go out; past when the circuit is closed."""
        return max(self._open_until, self._probe_until)

    def allows(self, now: float) -> bool:
        """Whether a request may be sent."""
        if not self._open_s:
            return True
        return now >= self._open_until and now >= self._probe_until

    def share(self, now: float) -> float:
        """The part of its slots that a runner fresh from its start gets."""
        left_s = self._warm_at - now
        if left_s <= 0.0:
            return 1.0
        return max(SLOW_START_SHARE, 1.0 - left_s / SLOW_START_S)

    def started(self) -> None:
        """A request was sent; in a half-open circuit it is the probe."""
        if self._open_s:
            self._probe_until = self._clock.now() + PROBE_S

    def cancelled(self) -> None:
        """A request ended that tells nothing about the runner."""
        self._probe_until = 0.0

    def succeeded(self) -> None:
        """A request was answered."""
        if self._open_s:
            self._warm_at = self._clock.now() + SLOW_START_S
        self._failures = 0
        self._open_s = 0.0
        self._open_until = 0.0
        self._probe_until = 0.0

    def failed(self) -> None:
        """A request broke, was refused or timed out at the runner."""
        self._failures += 1
        self._probe_until = 0.0
        self._trip()

    def crashed(self) -> None:
        """The runner's process ended; the circuit opens at once."""
        self._failures = max(self._failures + 1, FAILURES_TO_OPEN)
        self._probe_until = 0.0
        self._trip()

    def _trip(self) -> None:
        if not self._open_s and self._failures < FAILURES_TO_OPEN:
            return
        if self._open_s and self._clock.now() < self._open_until:
            return
        self._open_s = min(LONGEST_OPEN_S, 2 * self._open_s or FIRST_OPEN_S)
        wait_s = self._open_s * self._rng.uniform(0.75, 1.25)
        self._open_until = self._clock.now() + wait_s
