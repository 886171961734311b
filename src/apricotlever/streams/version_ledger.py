"""Which versions' streams may still be alive, by a record that outlives VMs.

The store keeps, for each service, the versions whose streams may be alive. A
VM begins streams at a version only once the record names it, so a VM that has
just started knows from the record what it has not seen. A version leaves the
record in two steps: it is marked as gone, and removed once all streams that
it can have begun are over. No step depends on the time of day.
"""

import enum
import typing

from .. import clock as clocks
from ..runners import model as models

#: How long a version may wait for its entry in the record, in seconds, before
#: streams begin there without one. Otherwise a store that refuses writes
#: would keep its runners idle.
ADMISSION_TIMEOUT_S = 2.0
#: The same if nothing else of its service may begin streams, in seconds.
SOLE_ADMISSION_TIMEOUT_S = 0.3
#: How long a version without runners stays admitted, in seconds. Far less
#: than the shortest retention.
KEEP_ADMITTED_S = 10.0
#: How long a version must be without runners, in seconds, before it is marked
#: as gone: as long as a directory may be out of date.
GONE_AFTER_S = 5.0
#: Added to the longest lifetime of a service's streams before a version that
#: is gone is removed, and the least time until then, in seconds.
RETENTION_MARGIN_S = 10.0
MIN_RETENTION_S = 30.0


class VersionState(enum.Enum):
    """What the record says of a version."""

    #: Streams may begin there.
    SERVING = "serving"
    #: Its streams may be alive, but before one begins it is written again.
    GONE = "gone"


#: The record of one service, by version.
Record = typing.Mapping[str, VersionState]


class _Known:
    """A service's record, as it was read or written last.

    :param asked_at: when the call began that returned it.
    """

    __slots__ = ("record", "asked_at")

    def __init__(self, record: Record, asked_at: float) -> None:
        self.record = record
        self.asked_at = asked_at


class VersionLedger:
    """What this VM knows of the records, and what to change there."""

    __slots__ = (
        "_absent_since",
        "_admitted",
        "_appeared_at",
        "_clock",
        "_gone_since",
        "_known",
        "_lifetimes",
        "_watched_at",
        "_watched_since",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._known: dict[str, _Known] = {}
        #: When the first runner of each version appeared that is there now.
        self._appeared_at: dict[models.StreamOrigin, float] = {}
        #: Versions at which streams may begin.
        self._admitted: set[models.StreamOrigin] = set()
        #: Since when this VM has watched a version to have no runners.
        self._absent_since: dict[models.StreamOrigin, float] = {}
        #: Since when, besides, the record has been known to say so.
        self._gone_since: dict[models.StreamOrigin, float] = {}
        #: The longest lifetime of a service's streams so far, in seconds.
        self._lifetimes: dict[str, float] = {}
        #: Since when this VM has watched the runners without a gap; None in
        #: a gap.
        self._watched_since: float | None = None
        #: When this VM last watched.
        self._watched_at = clock.now()

    @property
    def services(self) -> frozenset[str]:
        """The services whose streams may be taken up again."""
        return frozenset(self._lifetimes)

    @property
    def admitted(self) -> frozenset[models.StreamOrigin]:
        """Versions at which streams may begin by the record."""
        return frozenset(self._admitted)

    @property
    def recorded_count(self) -> int:
        """How many versions the known records name."""
        return sum(len(known.record) for known in self._known.values())

    @property
    def held(self) -> frozenset[models.StreamOrigin]:
        """Versions at which no stream may begin yet."""
        now = self._clock.now()
        served = {
            origin.service
            for origin in self._appeared_at
            if origin in self._admitted
        }
        return frozenset(
            origin
            for origin, at in self._appeared_at.items()
            if origin.service in self._lifetimes
            and origin not in self._admitted
            and now - at
            < (
                ADMISSION_TIMEOUT_S
                if origin.service in served
                else SOLE_ADMISSION_TIMEOUT_S
            )
        )

    def set_lifetimes(self, lifetimes: typing.Mapping[str, float]) -> None:
        """Set for how long a stream may be taken up again, by service.

        :param lifetimes: in seconds, for the services whose streams may be.
        """
        for service, lifetime_s in lifetimes.items():
            known_s = self._lifetimes.get(service, 0.0)
            self._lifetimes[service] = max(known_s, lifetime_s)

    def observe(
        self, present: typing.AbstractSet[models.StreamOrigin]
    ) -> None:
        """Apply the versions that have runners now, leaving ones included."""
        now = self._clock.now()
        for origin in self._appeared_at.keys() - present:
            del self._appeared_at[origin]
            self._absent_since[origin] = now
        for origin in present - self._appeared_at.keys():
            absent_since = self._absent_since.pop(origin, None)
            if absent_since is None or now - absent_since >= KEEP_ADMITTED_S:
                self._admitted.discard(origin)
            self._appeared_at[origin] = now
            self._gone_since.pop(origin, None)

    def set_watching(self, is_watching: bool) -> None:
        """Set whether this VM sees each version that comes or goes."""
        now = self._clock.now()
        if not is_watching:
            self._watched_since = None
            # Versions may have come and gone: absences count anew.
            for times in (self._absent_since, self._gone_since):
                for origin in times:
                    times[origin] = now
            return
        if self._watched_since is None:
            self._watched_since = now
            if now - self._watched_at >= KEEP_ADMITTED_S:
                self._withdraw_admissions()
        self._watched_at = now

    def _withdraw_admissions(self) -> None:
        """Have all versions written again, which may have been removed."""
        now = self._clock.now()
        self._admitted.clear()
        for origin in self._appeared_at:
            self._appeared_at[origin] = now

    def read(self, service: str, record: Record, asked_at: float) -> None:
        """Apply a service's record, which the store has just returned.

        :param asked_at: when the call to the store began.
        """
        known = self._known.get(service)
        if known is not None and known.asked_at > asked_at:
            return
        self._known[service] = _Known(dict(record), asked_at)
        now = self._clock.now()
        for version, state in record.items():
            origin = models.StreamOrigin(service, version)
            if origin in self._appeared_at:
                if (
                    state is VersionState.SERVING
                    and self._appeared_at[origin] <= asked_at
                ):
                    self._admitted.add(origin)
                continue
            self._absent_since.setdefault(origin, now)
            if state is VersionState.GONE:
                self._gone_since.setdefault(origin, now)
            else:
                self._gone_since.pop(origin, None)
        self._forget_removed(service, record)

    def _forget_removed(self, service: str, record: Record) -> None:
        """Forget absent versions that the record doesn't name any more."""
        now = self._clock.now()
        removed = [
            origin
            for origin, since in self._absent_since.items()
            if origin.service == service
            and origin.version not in record
            and now - since >= KEEP_ADMITTED_S
        ]
        for origin in removed:
            del self._absent_since[origin]
            self._gone_since.pop(origin, None)
            self._admitted.discard(origin)

    def is_complete(self, service: str) -> bool:
        """Whether all versions are known at which streams may have begun.

        The record names those from before it was read, and this VM has
        watched since.
        """
        known, since = self._known.get(service), self._watched_since
        return (
            known is not None and since is not None and known.asked_at >= since
        )

    def recorded(
        self, services: typing.Collection[str]
    ) -> frozenset[models.StreamOrigin]:
        """The versions that the known records of some services name."""
        return frozenset(
            models.StreamOrigin(service, version)
            for service in services
            if service in self._known
            for version in self._known[service].record
        )

    def must_read(self) -> list[str]:
        """Services with a version that waits, or whose record may be old."""
        waiting = {
            origin.service
            for origin in self._appeared_at
            if origin not in self._admitted
        }
        return sorted(
            service
            for service in self._lifetimes
            if service in waiting
            or service not in self._known
            or (self._watched_since and not self.is_complete(service))
        )

    def must_tidy(self) -> list[str]:
        """Services whose record names versions that are over by this VM."""
        return sorted(
            service
            for service, known in self._known.items()
            if service in self._lifetimes
            and self._tidied(service, known.record) != dict(known.record)
        )

    def next_record(
        self, service: str, record: Record, tidies: bool = False
    ) -> dict[str, VersionState]:
        """The record that should replace one that was just read.

        :param tidies: whether versions that are over are marked or removed.
        :returns: an equal record if nothing is to change.
        """
        following = self._tidied(service, record) if tidies else dict(record)
        for origin in self._appeared_at:
            if origin.service == service:
                following[origin.version] = VersionState.SERVING
        return following

    def _tidied(self, service: str, record: Record) -> dict[str, VersionState]:
        now = self._clock.now()
        retention_s = max(
            MIN_RETENTION_S,
            self._lifetimes.get(service, 0.0) + RETENTION_MARGIN_S,
        )
        following = {}
        for version, state in record.items():
            origin = models.StreamOrigin(service, version)
            gone_since = self._gone_since.get(origin)
            absent_since = self._absent_since.get(origin)
            if (
                state is VersionState.GONE
                and gone_since is not None
                and now - gone_since >= retention_s
            ):
                continue
            if absent_since is not None and (
                now - absent_since >= GONE_AFTER_S
            ):
                state = VersionState.GONE
            following[version] = state
        return following
