"""Paces model loads to what the weight store allows."""

from .. import clock as clocks

START_LOADS = 4.0
MOST_LOADS = 256.0
LONGEST_LOAD_S = 300.0


class LoadPacer:
    """How many runners may load weights at the same time.

    The store refuses loads beyond a rate that it doesn't tell. So the number
    grows by one for each round of loads that went well, and halves on a
    refusal; until the time that the store named, nothing is asked.
    """

    __slots__ = ("_clock", "_allowed", "_running", "_until")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._allowed = START_LOADS
        self._running: dict[str, float] = {}
        self._until = float("-inf")

    @property
    def running(self) -> int:
        """Loads under way."""
        return len(self._running)

    @property
    def allowed(self) -> int:
        """Loads that may be under way at the same time."""
        return int(self._allowed)

    def start(self, vm: str) -> bool:
        """Take a turn for a runner, if one is free and it has none."""
        now = self._clock.now()
        # A runner that is reclaimed while it loads never reports the end;
        # its turn would be lost for good.
        self._running = {
            name: until for name, until in self._running.items() if until > now
        }
        taken = vm in self._running or len(self._running) >= self.allowed
        if now < self._until or taken:
            return False
        self._running[vm] = now + LONGEST_LOAD_S
        return True

    def done(self, vm: str) -> None:
        """Note that a runner has its model, or is gone."""
        if self._running.pop(vm, None) is not None:
            grown = self._allowed + 1 / self._allowed
            self._allowed = min(MOST_LOADS, grown)

    def refused(self, vm: str, retry_after_s: float) -> None:
        """Note that the store refused a load that had a turn."""
        self._running.pop(vm, None)
        if self._clock.now() >= self._until:
            self._allowed = max(1.0, self._allowed / 2)
        self._until = self._clock.now() + retry_after_s
