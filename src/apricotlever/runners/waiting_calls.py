"""Measures for how long calls have waited without a byte from any runner."""

from .. import clock as clocks

#: Calls must have waited for this many seconds without a byte before failures
#: of new connections count for open ones, too.
QUIET_S = 0.4
#: The same once open connections have brought bytes while new ones failed.
TRUST_S = 2.0
#: Most times that these times double.
MAX_DOUBLINGS = 4


class WaitingCalls:
    """The calls of a VM that wait for bytes, and their time of waiting.

    Time in which no call waits does not count. Time of calls that were given
    up does, as otherwise short timeouts would hide any silence.
    """

    __slots__ = ("_before_s", "_calls", "_clock", "_since")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._calls = 0
        self._since = clock.now()
        #: Waiting time since the last byte, up to the last call's end.
        self._before_s = 0.0

    @property
    def count(self) -> int:
        """The number of calls under way."""
        return self._calls

    @property
    def silent_s(self) -> float:
        """For how many seconds calls have waited since the last byte."""
        waiting_s = self._clock.now() - self._since if self._calls else 0.0
        return self._before_s + waiting_s

    def sent(self) -> None:
        """Count a call that was sent."""
        if not self._calls:
            self._since = self._clock.now()
        self._calls += 1

    def ended(self) -> None:
        """Count a call that has ended, whatever its outcome."""
        if not self._calls:
            return
        if self._calls == 1:
            self._before_s = self.silent_s
        self._calls -= 1

    def restart(self) -> None:
        """Measure from now on: a byte arrived, or the past is unknown."""
        self._before_s, self._since = 0.0, self._clock.now()


class SilenceTrust:
    """For how long open connections may be silent while new ones fail.

    The time doubles each time that bytes come after all, so that a slow stream
    doesn't make a VM isolated again and again.
    """

    __slots__ = ("_disproved",)

    def __init__(self) -> None:
        self._disproved = 0

    def limit_s(self, is_known_to_live: bool) -> float:
        """The longest silence that says nothing, in seconds.

        :param is_known_to_live: whether open connections have brought bytes
            while new ones failed, and none has broken since.
        """
        usual_s = TRUST_S if is_known_to_live else QUIET_S
        return usual_s * 2 ** min(self._disproved, MAX_DOUBLINGS)

    def disproved(self) -> None:
        """Record that bytes came after a silence that was too long."""
        self._disproved += 1

    def reset(self) -> None:
        """Start anew: new connections open again."""
        self._disproved = 0
