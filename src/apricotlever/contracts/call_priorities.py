"""Decides whether a service is contended.

An engine that keeps up reads each prompt at once, and short prompts may pass
long ones without harm. When prompts wait for a part of the objective of the
most urgent calls, the service is contended, and less urgent calls may no
longer pass more urgent ones.
"""

from .. import clock as clocks
from .. import decay

#: Share of the smallest objective of the most urgent rank. A longer wait
#: begins contention: seven eighths of the objective are left for the prefill.
CONTENDED_SHARE = 0.125
#: Share below which contention ends. It is lower, as the levels of contention
#: shorten no wait by themselves and would otherwise switch back and forth.
RELAXED_SHARE = 0.0625
#: Share of the tokens from which on less urgent short prompts no longer pass
#: more urgent calls. Below it, passing prolongs the wait of the others by a
#: third at most. 0 would put the rank before the size in each contention.
PASSING_SHARE = 0.25
#: Time after which tokens count half in that share, in seconds.
SHARE_HALF_LIFE_S = 2.0
#: A figure of the wait is used for this time in seconds. A VM without newer
#: ones knows nothing of the others and sends as if there were no contention.
WAIT_VALID_S = 2.0
#: Time in seconds for which a rank counts after its last call.
RANK_ACTIVE_S = 2.0


class ServiceContention:
    """Whether one service is contended, as seen by one VM.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_contended", "_observed_at", "_ranks", "_wait_s")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._contended = False
        self._observed_at = float("-inf")
        #: Time and objective of the last call by rank and route objective.
        self._ranks: dict[int, dict[float, float]] = {}
        self._wait_s = 0.0

    @property
    def contended(self) -> bool:
        """Whether less urgent calls must not pass more urgent ones."""
        age_s = self._clock.now() - self._observed_at
        return self._contended and age_s <= WAIT_VALID_S

    @property
    def wait_s(self) -> float:
        """The mean expected wait for a prefill, in seconds."""
        return self._wait_s

    @property
    def objective_s(self) -> float | None:
        """Smallest objective of the most urgent rank with recent calls.

        It is None if there were no calls.
        """
        since = self._clock.now() - RANK_ACTIVE_S
        for rank in sorted(self._ranks):
            recent = [
                objective_s
                for objective_s, at in self._ranks[rank].items()
                if at >= since
            ]
            if recent:
                return min(recent)
        return None

    def record_call(self, rank: int, objective_s: float) -> None:
        """Record a call of this VM to the service."""
        self._ranks.setdefault(rank, {})[objective_s] = self._clock.now()

    def observe_wait(self, wait_s: float) -> bool:
        """Apply a new figure of the mean expected wait, in seconds.

        :returns: whether contention has begun or ended.
        """
        self._wait_s = wait_s
        self._observed_at = self._clock.now()
        objective_s = self.objective_s
        if objective_s is None:
            # Nothing of this VM is waiting to be ordered.
            changed, self._contended = self._contended, False
            return changed
        share = RELAXED_SHARE if self._contended else CONTENDED_SHARE
        contended = wait_s > share * objective_s
        changed = contended != self._contended
        self._contended = contended
        return changed


class PassingShare:
    """The share of less urgent short prompts in the tokens that a VM sends.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_all", "_passing", "_at")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._all = 0.0
        self._passing = 0.0
        self._at = clock.now()

    @property
    def is_high(self) -> bool:
        """Whether these prompts must no longer pass more urgent calls."""
        return self._passing > PASSING_SHARE * self._all

    def record(self, tokens: int, passing: bool) -> None:
        """Count a prompt.

        :param tokens: tokens that a runner has to prefill.
        :param passing: whether it is a short one that is not of the most
            urgent rank.
        """
        now = self._clock.now()
        factor = decay.decay_factor(now - self._at, SHARE_HALF_LIFE_S)
        self._at = now
        self._all = self._all * factor + tokens
        self._passing = self._passing * factor + (tokens if passing else 0)


def mean_wait_s(
    waiting: dict[str, int], token_s: float, speeds: dict[str, float]
) -> float:
    """The mean expected wait for a prefill over a service's runners.

    :param waiting: prompt tokens of all VMs that wait at each runner.
    :param token_s: seconds per token at a runner of mean speed.
    :param speeds: relative speeds of the runners, 1.0 for those missing.
    :returns: seconds; 0 without runners.
    """
    if not waiting:
        return 0.0
    total = sum(
        tokens / speeds.get(runner, 1.0) for runner, tokens in waiting.items()
    )
    return total * token_s / len(waiting)
