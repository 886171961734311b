"""The limits that runners in need have named, as this VM knows them.

A runner in need names in its responses how many calls a second it takes from
all VMs together, and takes that back by a response without a limit. A VM
learns of a limit from its own calls and from other VMs; of several readings
the latest counts.
"""

import enum
import typing

from .. import clock as clocks

#: For how long a limit that has been lifted is remembered, in seconds. It must
#: exceed the age of any reading that other VMs may still pass on.
LIFTED_KEPT_S = 15.0
#: The source of a reading that this VM took from a response itself.
OWN_RESPONSE = ""


class Change(enum.Enum):
    """How a reading differs from what was known before."""

    NAMED = "named"
    CHANGED = "changed"
    LIFTED = "lifted"


class Reading:
    """What a runner said of its limit in one response.

    :param limit_per_s: calls a second from all VMs together; None if the
        runner has lifted its limit.
    :param read_at: when a VM read the response, by this VM's clock.
    :param learned_at: when this VM learned of it.
    :param source: the VM that passed it on, or :data:`OWN_RESPONSE`.
    """

    __slots__ = ("limit_per_s", "read_at", "learned_at", "source")

    def __init__(
        self,
        limit_per_s: float | None,
        read_at: float,
        learned_at: float,
        source: str,
    ) -> None:
        self.limit_per_s = limit_per_s
        self.read_at = read_at
        self.learned_at = learned_at
        self.source = source


class StatedLimits:
    """The latest reading of each runner's limit.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_readings", "_runners")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._readings: dict[str, Reading] = {}
        self._runners: frozenset[str] = frozenset()

    @property
    def in_force(self) -> dict[str, float]:
        """The limit of each runner that has one, in calls a second."""
        return {
            runner: reading.limit_per_s
            for runner, reading in self._readings.items()
            if reading.limit_per_s is not None
        }

    @property
    def has_readings(self) -> bool:
        """Whether any runner has a limit, or had one until lately."""
        return bool(self._readings)

    @property
    def readings(self) -> dict[str, Reading]:
        """The latest readings by runner, lifted limits included."""
        return dict(self._readings)

    def reading(self, runner: str) -> Reading | None:
        """The reading of a runner's limit; None if it has no limit."""
        reading = self._readings.get(runner)
        if reading is None or reading.limit_per_s is None:
            return None
        return reading

    def age_s(self, runner: str) -> float | None:
        """Seconds since the latest reading of a runner; None without one."""
        reading = self._readings.get(runner)
        return None if reading is None else self._clock.now() - reading.read_at

    def keep_only(self, runners: typing.Iterable[str]) -> None:
        """Set the known runners, and forget the limits of all others."""
        self._runners = frozenset(runners)
        self._readings = {
            runner: reading
            for runner, reading in self._readings.items()
            if runner in self._runners
        }
        self.forget_lifted()

    def forget_lifted(self) -> None:
        """Forget the limits that were lifted long ago."""
        oldest = self._clock.now() - LIFTED_KEPT_S
        self._readings = {
            runner: reading
            for runner, reading in self._readings.items()
            if reading.limit_per_s is not None or reading.read_at > oldest
        }

    def record_named(self, runner: str, limit_per_s: float) -> Change | None:
        """Record that a response to this VM names a limit.

        :returns: how the limit has changed; None if it has not.
        """
        now = self._clock.now()
        return self._replace(
            runner, Reading(limit_per_s, now, now, OWN_RESPONSE)
        )

    def record_unnamed(self, runner: str, sent_at: float) -> Change | None:
        """Record that a response to this VM names no limit.

        That lifts the limit if the call was sent after this VM had learned of
        the limit. An earlier call may have been answered before the runner
        named it.

        :param sent_at: when the call was sent, by this VM's clock.
        :returns: how the limit has changed; None if it has not.
        """
        known = self.reading(runner)
        if known is None or sent_at <= known.learned_at:
            return None
        now = self._clock.now()
        return self._replace(runner, Reading(None, now, now, OWN_RESPONSE))

    def merge(
        self,
        runner: str,
        limit_per_s: float | None,
        age_s: float,
        source: str,
    ) -> Change | None:
        """Merge another VM's reading.

        One that is older than the reading known, or of an unknown runner, is
        ignored.

        :param age_s: seconds since the response was read.
        :param source: the VM that passed it on.
        :returns: how the limit has changed; None if it has not.
        """
        now = self._clock.now()
        reading = Reading(limit_per_s, now - age_s, now, source)
        known = self._readings.get(runner)
        if runner not in self._runners:
            return None
        if known is not None and known.read_at >= reading.read_at:
            return None
        return self._replace(runner, reading)

    def _replace(self, runner: str, reading: Reading) -> Change | None:
        before = self.reading(runner)
        self._readings[runner] = reading
        if reading.limit_per_s is None:
            return Change.LIFTED if before is not None else None
        if before is None:
            return Change.NAMED
        if before.limit_per_s != reading.limit_per_s:
            return Change.CHANGED
        return None
