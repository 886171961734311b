"""When the catalogue is read from the store, and what a read proves."""

import typing

from .. import clock as clocks

BACKOFF_FIRST_S = 0.25
BACKOFF_LAST_S = 1.0
# A store that was restored from a copy may answer a watch as if nothing had
# changed: the watched revision lies ahead of it. Only a read shows that.
READ_AGAIN_S = 30.0


class Read:
    """The object was read, or not."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class Watched:
    """A wait for changes is over."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class ReadSchedule:
    """The reads of one VM that watches the store.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_at", "_backoff_s", "_in_force", "_behind")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._at = float("inf")
        self._backoff_s = BACKOFF_FIRST_S
        self._in_force = 0
        self._behind: int | None = None

    @property
    def due(self) -> bool:
        """Whether to read now."""
        return self._clock.now() >= self._at

    @property
    def behind(self) -> int | None:
        """The store's version while that is older than the fleet's."""
        return self._behind

    def within(self, seconds: float) -> None:
        """Read after so many seconds at the latest."""
        self._at = min(self._at, self._clock.now() + seconds)

    def stop(self) -> None:
        """Read no more."""
        self._at = float("inf")
        self._behind = None

    def begin(self, in_force: int) -> None:
        """A read begins.

        :param in_force: the version that is in force here now.
        """
        self._at = float("inf")
        self._in_force = in_force

    def read(self, version: int) -> bool:
        """A read gave a version.

        It proves that the store went back only if the newer version was
        in force here before the read began; another VM may have seen it
        meanwhile.

        :returns: whether the store went back.
        """
        self.answered()
        self._at = self._clock.now() + READ_AGAIN_S
        back = version < self._in_force
        self._behind = version if back else None
        return back

    def seen(self, version: int) -> None:
        """A watch showed a version that is written now."""
        if version >= self._in_force:
            self._behind = None

    def answered(self) -> None:
        """The store answers again."""
        self._backoff_s = BACKOFF_FIRST_S

    def failed(self) -> None:
        """A call failed: read later; the watch can't be trusted to go on."""
        self._at = self._clock.now() + self._backoff_s
        self._backoff_s = min(BACKOFF_LAST_S, 2 * self._backoff_s)
