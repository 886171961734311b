"""When a call that is made over and over is due again after a failure.

While the platform is down each call fails at once. Made again at once, the
calls would come ten times a second, each with a line in the log that hides
the others; so they are made less often, and only changes are told.
"""

from .. import clock as clocks

FIRST_S = 0.25
LAST_S = 2.0


class Repeats:
    """The failures in a row of one kind of call.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_wait_s", "_at", "_failing")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._wait_s = FIRST_S
        self._at = float("-inf")
        self._failing = False

    @property
    def due(self) -> bool:
        """Whether the call may be made now."""
        return self._clock.now() >= self._at

    def failed(self) -> bool:
        """The call failed; the next wait is twice as long, up to a limit.

        :returns: whether the call before it had not failed.
        """
        first = not self._failing
        self._failing = True
        self._at = self._clock.now() + self._wait_s
        self._wait_s = min(LAST_S, 2 * self._wait_s)
        return first

    def answered(self) -> bool:
        """The call was answered, and may be made at any time.

        :returns: whether the call before it had failed.
        """
        recovered = self._failing
        self._failing = False
        self._wait_s = FIRST_S
        self._at = float("-inf")
        return recovered
