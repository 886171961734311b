"""Which versions of software each service's runners had of late."""

import typing

from .. import clock as clocks
from ..runners import model as models

#: Seconds for which a version is remembered after its last runner is gone.
MEMORY_S = 240.0


class VersionHistory:
    """The origins that streams of the last minutes may have."""

    __slots__ = ("_clock", "_gone_at", "_present")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._present: frozenset[models.StreamOrigin] = frozenset()
        #: When the last runner of each origin was gone.
        self._gone_at: dict[models.StreamOrigin, float] = {}

    def observe(self, origins: typing.Iterable[models.StreamOrigin]) -> None:
        """Apply the origins of all runners that serve now.

        Runners that are leaving still serve.
        """
        now = self._clock.now()
        present = frozenset(origins)
        for origin in self._present - present:
            self._gone_at[origin] = now
        self._present = present
        for origin in present:
            self._gone_at.pop(origin, None)

    def expire(self) -> None:
        """Forget the versions that are gone for long."""
        now = self._clock.now()
        for origin, at in list(self._gone_at.items()):
            if now - at >= MEMORY_S:
                del self._gone_at[origin]

    def seen(
        self, services: typing.Collection[str], within_s: float
    ) -> frozenset[models.StreamOrigin]:
        """The origins of the streams that began within a time.

        :param services: the services whose runners may have begun them.
        """
        since = self._clock.now() - within_s
        gone = {o for o, at in self._gone_at.items() if at >= since}
        return frozenset(
            origin
            for origin in self._present | gone
            if origin.service in services
        )

    def has_several(self, service: str) -> bool:
        """Whether a service's streams may have begun at several versions."""
        known = [*self._present, *self._gone_at]
        return sum(origin.service == service for origin in known) > 1

    @property
    def counts(self) -> dict[str, int]:
        """The number of versions that serve now, by service."""
        counts: dict[str, int] = {}
        for origin in self._present:
            counts[origin.service] = counts.get(origin.service, 0) + 1
        return counts
