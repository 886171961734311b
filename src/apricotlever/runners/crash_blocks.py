"""What a blocklist of calls that crash runners tells of a call or a crash."""

import typing

from . import call_features
from . import crashes


class ChargedCrash:
    """A crash that this VM observed, and the calls it suspects of it.

    :param calls: the suspected calls.
    :param fragile: whether the runner was fragile, so that the calls are
        hardly suspected.
    :param known_crashes: the number of crashes that this VM knows.
    :param repeated: how many of the calls were in flight at a crash before.
    :param excused: how many of these are suspected of no crash all the same.
    """

    __slots__ = ("calls", "excused", "fragile", "known_crashes", "repeated")

    def __init__(
        self,
        calls: tuple[call_features.CallFeatures, ...],
        fragile: bool,
        known_crashes: int,
        repeated: int,
        excused: int,
    ) -> None:
        self.calls = calls
        self.fragile = fragile
        self.known_crashes = known_crashes
        self.repeated = repeated
        self.excused = excused


class Block:
    """Why a call is blocked.

    :param name: the feature of the call that explains crashes.
    :param wait_s: seconds until the call may be retried; 0 if it may run as a
        trial now.
    :param crash_age_s: seconds since the last of the crashes; None where only
        a peer knows of them, or if no trial is allowed.
    :param evidence: the crashes that are held against it, as far as known.
    """

    __slots__ = ("crash_age_s", "evidence", "name", "wait_s")

    def __init__(
        self,
        name: str,
        wait_s: float,
        crash_age_s: float | None,
        evidence: typing.Sequence[crashes.RunnerCrash],
    ) -> None:
        self.name = name
        self.wait_s = wait_s
        self.crash_age_s = crash_age_s
        self.evidence = evidence

    @property
    def is_trial(self) -> bool:
        """Whether the call may run all the same, as a trial."""
        return not self.wait_s
