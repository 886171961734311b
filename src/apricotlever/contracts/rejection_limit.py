"""Limits how many runners may turn a call away before it is refused."""

#: Number of runners that may be unreachable or reject a call before the call
#: is refused.
MAX_REJECTIONS = 3
#: Share of the route's objective in which unreachable runners do not count. A
#: refused connection costs about a round trip and leaves the call's time for
#: another runner; one that times out uses this time up.
UNREACHABLE_OBJECTIVE_SHARE = 0.125


class RejectionLimit:
    """The runners that turned one call away.

    :param objective_s: the route's objective in seconds.
    :param counts_unreachable: whether each unreachable runner counts at once.
    """

    __slots__ = (
        "_counts_unreachable",
        "_rejections",
        "_tolerance_s",
        "_tolerated",
        "_unreachable_since",
    )

    def __init__(self, objective_s: float, counts_unreachable: bool) -> None:
        self._tolerance_s = UNREACHABLE_OBJECTIVE_SHARE * objective_s
        self._counts_unreachable = counts_unreachable
        self._rejections = 0
        self._tolerated = 0
        self._unreachable_since: float | None = None

    @property
    def exhausted(self) -> bool:
        """Whether no further runner may be tried."""
        return self._rejections >= MAX_REJECTIONS

    @property
    def tolerated(self) -> int:
        """Number of unreachable runners that did not count."""
        return self._tolerated

    def rejected(self) -> None:
        """Count a runner that rejected the call."""
        self._rejections += 1

    def unreachable(self, started_at: float, now: float) -> None:
        """Count a runner to which no connection could be opened.

        :param started_at: when this attempt to connect began, in seconds. The
            first one starts the time in which such runners do not count.
        """
        if self._unreachable_since is None:
            self._unreachable_since = started_at
        late = now - self._unreachable_since > self._tolerance_s
        if self._counts_unreachable or late:
            self._rejections += 1
        else:
            self._tolerated += 1
