"""Limits the rate of repeated log lines about the same subject."""

from . import clock as clocks

#: Minimum time between two lines about the same subject, in seconds.
MIN_INTERVAL_S = 10.0
#: Maximum number of subjects logged within MIN_INTERVAL_S; further ones are
#: not logged. A store full of corrupt entries must not cause a line for each.
MAX_SUBJECTS = 64


class LogRateLimiter:
    """Decides whether a line about a subject may be logged.

    A subject is any text, such as the name of an unreadable object.
    """

    __slots__ = ("_clock", "_logged_at")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._logged_at: dict[str, float] = {}

    def allows(self, subject: str) -> bool:
        """Whether a line about a subject may be logged now.

        If so, it counts as logged.
        """
        now = self._clock.now()
        self._logged_at = {
            name: at
            for name, at in self._logged_at.items()
            if now - at < MIN_INTERVAL_S
        }
        if subject in self._logged_at or len(self._logged_at) >= MAX_SUBJECTS:
            return False
        self._logged_at[subject] = now
        return True
