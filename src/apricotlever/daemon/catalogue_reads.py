"""Schedules reads of the catalogue from the store, at a VM that watches it.

A watch is a long poll of the store for changes of the catalogue. The schedule
also detects a store that holds an older version than the one in force, which
happens when the store was restored from a copy.
"""

import typing

from .. import backoff
from .. import clock as clocks

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0
# Seconds after which the store is read again although a watch is open. A store
# that was restored from a copy may answer the watch as if nothing had changed,
# because its revision is below the watched one. Only a read shows that.
READ_INTERVAL_S = 30.0


class ReadEnded:
    """Message: a read of the catalogue's object in the store has ended.

    :param outcome: a :class:`returns.result.Result` with the object or error.
    """

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class WatchEnded:
    """Message: a watch of the catalogue's object in the store has ended.

    :param outcome: a :class:`returns.result.Result` with the changes, if any,
        or the error.
    """

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class ReadSchedule:
    """Decides when one VM that watches the store reads the catalogue.

    :param clock: the source of time.
    """

    __slots__ = (
        "_clock",
        "_read_at",
        "_backoff",
        "_in_force_at_start",
        "_older_store_version",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._read_at = float("inf")
        self._backoff = backoff.Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        self._in_force_at_start = 0
        self._older_store_version: int | None = None

    @property
    def due(self) -> bool:
        """Whether a read is due now."""
        return self._clock.now() >= self._read_at

    @property
    def older_store_version(self) -> int | None:
        """The version in a store that went back, or None if it did not."""
        return self._older_store_version

    def schedule_within(self, seconds: float) -> None:
        """Schedule a read after the given seconds at the latest."""
        self._read_at = min(self._read_at, self._clock.now() + seconds)

    def stop(self) -> None:
        """Cancel the next read."""
        self._read_at = float("inf")
        self._older_store_version = None

    def read_started(self, in_force: int) -> None:
        """Record the start of a read.

        :param in_force: the version that is in force at this VM now.
        """
        self._read_at = float("inf")
        self._in_force_at_start = in_force

    def read_succeeded(self, version: int) -> bool:
        """Record the version that a read returned.

        An older version proves that the store went back only if the newer
        version was in force at this VM before the read began. Otherwise the
        newer version may have been written during the read, and this VM
        received it from another one.

        :param version: the version that the read returned.
        :returns: whether the store went back.
        """
        self.call_succeeded()
        self._read_at = self._clock.now() + READ_INTERVAL_S
        went_back = version < self._in_force_at_start
        self._older_store_version = version if went_back else None
        return went_back

    def watch_returned(self, version: int) -> None:
        """Record a version that a watch returned.

        If it is not older than the one that was in force when the last read
        began, the store no longer counts as gone back.
        """
        if version >= self._in_force_at_start:
            self._older_store_version = None

    def call_succeeded(self) -> None:
        """Reset the backoff after a successful call."""
        self._backoff.reset()

    def call_failed(self) -> None:
        """Schedule a read after a backoff, because a call failed.

        The watch is not resumed, because it is unreliable after a failure.
        """
        self._read_at = self._clock.now() + self._backoff.record_failure()
