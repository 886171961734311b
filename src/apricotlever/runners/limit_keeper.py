"""Counts the calls that a limited runner may be sent, for all VMs together.

For each runner that names a limit, one VM is its keeper and is asked for each
call. A part of the limit for each VM would leave most of it unused, as a limit
of a few calls a second is shared by up to thousands of VMs.
"""

from .. import clock as clocks
from ..contracts import token_bucket

#: The burst of a limit: this many calls, and the calls of this many seconds.
#: Calls that arrive in clumps need some; a runner in need should get little
#: more in a second than it takes.
BURST_CALLS = 2.0
BURST_S = 0.5
#: The calls that a keeper may admit at once for a runner that it has just
#: begun to count for. The former keeper may have admitted a burst.
FIRST_CALLS = 1.0
#: Calls a second that are sent to a runner with a lower limit. Without any
#: call, nobody would learn that the limit is lifted.
MIN_LIMIT_PER_S = 0.25
#: Part of a limit that a VM may admit which is asked in place of the keeper.
#: The keeper may be alive and go on admitting calls of others.
DEPUTY_SHARE = 0.25
#: Questions about a runner in a second which make a refused VM wait one second
#: more until it asks again, so that thousands of VMs don't ask at each call.
ASKS_PER_WAIT_S = 200.0
#: Period in which questions are counted, in seconds.
ASK_PERIOD_S = 1.0


class Admission:
    """A keeper's decision on one call.

    :param admitted: whether the call may be sent.
    :param wait_s: seconds until it may be sent, or until there may be room for
        a call that is refused.
    :param ask_again_s: seconds for which a refused VM should not ask again.
    """

    __slots__ = ("admitted", "wait_s", "ask_again_s")

    def __init__(
        self, admitted: bool, wait_s: float, ask_again_s: float = 0.0
    ) -> None:
        self.admitted = admitted
        self.wait_s = wait_s
        self.ask_again_s = ask_again_s


class _Count:
    """What is counted of one runner.

    :param share: the part of the limit that the bucket is filled with.
    """

    __slots__ = ("limit_per_s", "share", "bucket", "_asked_at")

    def __init__(
        self, clock: clocks.Clock, limit_per_s: float, share: float
    ) -> None:
        self.limit_per_s = limit_per_s
        self.share = share
        rate, burst = _terms(limit_per_s, share)
        self.bucket = token_bucket.TokenBucket(clock, rate, burst)
        self.bucket.charge(burst - min(burst, FIRST_CALLS * share))
        self._asked_at: list[float] = []

    def set_terms(self, limit_per_s: float, share: float) -> None:
        """Apply another limit, or another part of it."""
        if (limit_per_s, share) != (self.limit_per_s, self.share):
            self.limit_per_s, self.share = limit_per_s, share
            self.bucket.set_rate(*_terms(limit_per_s, share))

    def count_asks(self, now: float) -> int:
        """Count a question; return the number of those in the last period."""
        self._asked_at = [
            at for at in self._asked_at if at > now - ASK_PERIOD_S
        ]
        self._asked_at.append(now)
        return len(self._asked_at)


class LimitKeeper:
    """Admits calls to limited runners, as the keeper of their limits.

    :param clock: the source of time.
    """

    __slots__ = ("_clock", "_counts", "_share")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._share = 1.0
        #: The counts by runner and whether this VM is only its deputy.
        self._counts: dict[tuple[str, bool], _Count] = {}

    def set_share(self, share: float) -> None:
        """Set the part of each limit that the VMs heard from may use.

        The rest is left to VMs that are silent, which may have a keeper of
        their own.
        """
        self._share = share

    def admit(
        self,
        runner: str,
        limit_per_s: float,
        patience_s: float = 0.0,
        is_deputy: bool = False,
    ) -> Admission:
        """Decide on one call.

        :param limit_per_s: calls a second that the runner takes from all VMs.
        :param patience_s: how long the call can wait for its turn. An admitted
            call keeps its turn, so waiting calls don't compete again.
        :param is_deputy: whether this VM is asked in place of the keeper.
        """
        now = self._clock.now()
        share = self._share * (DEPUTY_SHARE if is_deputy else 1.0)
        count = self._counts.get((runner, is_deputy))
        if count is None:
            count = _Count(self._clock, limit_per_s, share)
            self._counts[runner, is_deputy] = count
        count.set_terms(limit_per_s, share)
        asks = count.count_asks(now)
        wait_s = count.bucket.wait_s(1.0)
        if wait_s <= patience_s:
            count.bucket.charge(1.0)
            return Admission(True, wait_s)
        return Admission(False, wait_s, wait_s + asks / ASKS_PER_WAIT_S)

    def refund(self, runner: str) -> None:
        """Give back the room of an admitted call that was not sent."""
        for is_deputy in (False, True):
            if (runner, is_deputy) in self._counts:
                self._counts[runner, is_deputy].bucket.charge(-1.0)
                return

    def keep_only(self, runners: frozenset[str]) -> None:
        """Forget the runners that have no limit any more."""
        self._counts = {
            key: count
            for key, count in self._counts.items()
            if key[0] in runners
        }


def _terms(limit_per_s: float, share: float) -> tuple[float, float]:
    """The rate in calls a second and the burst in calls of a bucket."""
    rate = max(limit_per_s, MIN_LIMIT_PER_S) * share
    return rate, max(1.0, (BURST_CALLS + limit_per_s * BURST_S) * share)
