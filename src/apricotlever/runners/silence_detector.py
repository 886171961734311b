"""Detects silent runners, which no longer send any bytes.

If a runner loses power, or a network device drops the state of a connection,
no error is reported and calls just wait. A runner counts as silent if none
of its calls receives a byte for a while. One call that hangs while others
receive answers does not make its runner silent.

Each VM observes its own calls and hears which runners the others report as
silent for long. A silent runner gets no calls while other runners can take
them.
"""

import typing

from .. import clock as clocks

#: Time without a byte from a runner, in seconds, after which this VM prefers
#: other runners. Even during a burst of long prompts, a runner finishes
#: reading several prompts a second.
SILENCE_TIMEOUT_S = 0.8
#: The longest silence of a sound runner, in seconds: at times one sends
#: nothing for a second or so and then goes on. Only after it is a runner taken
#: for gone: this VM reports it to the others, and repeats calls elsewhere.
MAX_SOUND_SILENCE_S = 1.5
#: Number of other VMs whose reports make this VM treat a runner as silent. A
#: single VM may itself be disconnected.
MIN_PEER_REPORTS = 2


class _RunnerActivity:
    """The calls of this VM in flight at one runner, and its last bytes.

    ``waiting_since`` is the time of the last byte or, if later, the time at
    which the first of the calls in flight was sent.
    """

    __slots__ = ("calls", "last_bytes_at", "waiting_since")

    def __init__(self) -> None:
        self.calls = 0
        self.last_bytes_at = float("-inf")
        self.waiting_since = float("-inf")


class SilenceDetector:
    """Detects silent runners from this VM's calls and the peers' reports."""

    __slots__ = ("_clock", "_activity", "_reported_silent")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._activity: dict[str, _RunnerActivity] = {}
        self._reported_silent: frozenset[str] = frozenset()

    @property
    def silent_here(self) -> list[str]:
        """Runners that are silent by this VM's own observation."""
        return self._silent_longer_than(SILENCE_TIMEOUT_S)

    @property
    def silent_for_long(self) -> list[str]:
        """Runners that this VM reports to the others as silent.

        All VMs avoid a reported runner, so a sound one must not be reported.
        """
        return self._silent_longer_than(MAX_SOUND_SILENCE_S)

    @property
    def silent(self) -> frozenset[str]:
        """Silent runners, which get no calls while others can take them."""
        now = self._clock.now()
        reported = {
            runner
            for runner in self._reported_silent
            if now - self._last_bytes_at(runner) > MAX_SOUND_SILENCE_S
        }
        return frozenset(reported.union(self.silent_here))

    def call_sent(self, runner: str) -> None:
        """Count a call that was sent to a runner."""
        activity = self._activity.setdefault(runner, _RunnerActivity())
        if not activity.calls:
            activity.waiting_since = self._clock.now()
        activity.calls += 1

    def bytes_received(self, runner: str) -> None:
        """Record that bytes of an answer arrived from a runner."""
        activity = self._activity.get(runner)
        if activity is not None:
            activity.last_bytes_at = activity.waiting_since = self._clock.now()

    def call_ended(self, runner: str) -> None:
        """Count a call that has ended, whatever its outcome."""
        activity = self._activity.get(runner)
        if activity is not None and activity.calls:
            activity.calls -= 1

    def set_peer_counts(self, counts: typing.Mapping[str, int]) -> None:
        """Set how many other VMs report each runner as silent.

        Runners with at least :data:`MIN_PEER_REPORTS` reports count as silent
        here, too, unless this VM received bytes from them within the silence
        that is reported.
        """
        self._reported_silent = frozenset(
            runner
            for runner, count in counts.items()
            if count >= MIN_PEER_REPORTS
        )

    def keep_only(self, runners: typing.Container[str]) -> None:
        """Discard the observations of all other runners."""
        for runner in [r for r in self._activity if r not in runners]:
            del self._activity[runner]

    def _silent_longer_than(self, seconds: float) -> list[str]:
        now = self._clock.now()
        return [
            runner
            for runner, activity in self._activity.items()
            if activity.calls and now - activity.waiting_since > seconds
        ]

    def _last_bytes_at(self, runner: str) -> float:
        activity = self._activity.get(runner)
        return (
            activity.last_bytes_at if activity is not None else float("-inf")
        )
