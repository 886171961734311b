"""Admits calls to fragile runners, for all VMs together.

A fragile runner falls over if it has to reject more than a few calls in a
second. It cares neither which VM sent them nor that each sent only one, so one
VM, the runner's keeper, is asked before each call. The keeper counts the calls
that the runner has, and weighs those whose fate it doesn't know yet: a call
that the runner took beside as many others a moment ago is hardly rejected, any
other one may be.
"""

import math
import typing

from .. import clock as clocks
from . import fragile_count
from . import limit_keeper

#: What a call within the room that a runner has lately shown weighs, where any
#: other call of unknown fate weighs as much as a rejection. The two kinds are
#: weighed by themselves, or a runner in steady use would never show more room.
PROVEN_RISK = 0.125
#: The same for a runner whose proven room has just rejected a call.
SURPRISED_RISK = 0.5
#: Part of a runner's room up to which one call at a time may be sent without
#: any rejection to spare. Without any call, nobody would learn that it is
#: sound again.
TRIAL_ROOM_SHARE = 0.5
#: When a VM asks again about a runner whose room is used up: the part of the
#: time in which one of its calls should end, and the least, in seconds.
FULL_RETRY_SHARE, FULL_RETRY_S = 0.25, 0.005
#: Refused questions about a runner in a second which make a refused VM wait
#: one second more until it asks again, so that thousands of VMs don't ask at
#: each call.
REFUSALS_PER_WAIT_S = 50000.0
#: Period in which refused questions are counted, in seconds.
REFUSAL_PERIOD_S = 0.5
#: Part of the rejections that a VM may risk which is asked in place of the
#: keeper. The keeper may be alive and go on admitting calls of others.
DEPUTY_SHARE = 0.25

#: A call, by the process that sends it and a number that is unique there.
CallKey = fragile_count.CallKey


class Terms:
    """What is known of a fragile runner.

    :param rejections_per_s: rejections in a second that the runner bears.
    :param slots: calls that it runs at a time; 0 if unknown.
    """

    __slots__ = ("rejections_per_s", "slots")

    def __init__(self, rejections_per_s: int, slots: int) -> None:
        self.rejections_per_s = rejections_per_s
        self.slots = slots


class _Refusals:
    """Counts refused questions about one runner."""

    __slots__ = ("_since", "_count", "_before")

    def __init__(self) -> None:
        self._since = -math.inf
        self._count = self._before = 0

    def count(self, now: float) -> float:
        """Count one; return those in a second."""
        passed_s = now - self._since
        if passed_s >= REFUSAL_PERIOD_S:
            is_next = passed_s < 2.0 * REFUSAL_PERIOD_S
            self._before = self._count if is_next else 0
            self._count = 0
            self._since = now
        self._count += 1
        return max(self._count, self._before) / REFUSAL_PERIOD_S


class FragileKeeper:
    """Admits calls to fragile runners, as their keeper.

    :param clock: the source of time.
    :param reported: the number of calls in flight at a runner, as all VMs
        report it in their status records.
    :param proven_risk: see :data:`PROVEN_RISK`.
    """

    __slots__ = (
        "_bears",
        "_clock",
        "_counts",
        "_proven_risk",
        "_refusals",
        "_reported",
        "_share",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        reported: typing.Callable[[str], int] = lambda runner: 0,
        proven_risk: float = PROVEN_RISK,
    ) -> None:
        self._clock = clock
        self._reported = reported
        self._proven_risk = proven_risk
        self._share = 1.0
        self._counts: dict[str, fragile_count.FragileCount] = {}
        self._refusals: dict[str, _Refusals] = {}
        #: The rejections that each runner bears, as last told.
        self._bears: dict[str, int] = {}

    def set_share(self, share: float) -> None:
        """Set the part of each runner that the VMs heard from may use.

        The rest is left to VMs that are silent, which may have a keeper of
        their own.
        """
        self._share = share

    def room(self, runner: str) -> float | None:
        """The calls that a runner takes at a time; None if not counted."""
        count = self._counts.get(runner)
        return None if count is None else count.room

    def running(self, runner: str) -> int:
        """The admitted calls of a runner that have not ended."""
        count = self._counts.get(runner)
        return 0 if count is None else len(count.running)

    def admit(
        self,
        runner: str,
        call: CallKey,
        terms: Terms,
        lease_s: float,
        is_deputy: bool = False,
    ) -> limit_keeper.Admission:
        """Decide on one call.

        :param lease_s: seconds until the call ends at the latest.
        :param is_deputy: whether this VM is asked in place of the keeper.
        """
        now = self._clock.now()
        count = self._count(runner, terms, is_deputy, now)
        count.forget_old(now)
        if call in count.running:
            # The question was sent twice.
            return limit_keeper.Admission(True, 0.0)
        used = count.used(self._reported(runner), now)
        room = max(1.0, count.room * self._share)
        is_trial = used >= room
        if is_trial and not (self._share >= 1.0 and count.may_try_more(now)):
            wait_s = FULL_RETRY_SHARE * count.next_end_in_s
            return self._refuse(runner, wait_s, now)
        allowed = self._allowed(terms, is_deputy)
        proven = count.proven(now)
        spent = count.rejections
        if allowed <= 1:
            # A trial must not stop the other calls, but none may go wrong.
            proven -= min(1, spent)
            spent = count.surprises
        is_proven = not is_trial and self._proven_risk < 1.0 and used < proven
        if not is_proven:
            spent = count.rejections
        is_careful = (
            not count.has_unknown
            and not spent
            and (is_proven or used < _trial_room(room))
        )
        risk = 1.0
        if is_proven:
            is_surprised = count.surprises > 0
            risk = SURPRISED_RISK if is_surprised else self._proven_risk
        risk *= 1 + count.unknown(is_proven)
        if spent + risk > allowed and not is_careful:
            return self._refuse(runner, count.risk_ends_in_s(now), now)
        count.admit(
            call,
            fragile_count.Sent(now, now + lease_s, used, is_proven, is_trial),
        )
        return limit_keeper.Admission(True, 0.0)

    def end(self, runner: str, call: CallKey, rejected: bool) -> None:
        """Record that an admitted call has ended; may be told repeatedly.

        :param rejected: whether the runner rejected it for want of room.
        """
        count = self._counts.get(runner)
        if count is not None:
            now = self._clock.now()
            count.forget_old(now)
            used = count.used(self._reported(runner), now)
            bears = self._bears[runner] * self._share
            count.end(call, rejected, used, bears, now)

    def record_rejection(self, runner: str) -> None:
        """Record the rejection of a call that was sent without asking."""
        count = self._counts.get(runner)
        if count is not None:
            now = self._clock.now()
            count.forget_old(now)
            used = count.used(self._reported(runner), now)
            count.reject(None, used, self._bears[runner] * self._share, now)

    def keep_only(self, runners: typing.Collection[str]) -> None:
        """Forget the runners that are not fragile any more."""
        for runner in self._counts.keys() - set(runners):
            del self._counts[runner], self._bears[runner]
            self._refusals.pop(runner, None)

    def _count(
        self, runner: str, terms: Terms, is_deputy: bool, now: float
    ) -> fragile_count.FragileCount:
        self._bears[runner] = terms.rejections_per_s
        slots = terms.slots or math.inf
        count = self._counts.get(runner)
        if count is None:
            count = fragile_count.FragileCount(slots, now)
            if not is_deputy:
                # Calls of the keeper before may be rejected yet.
                count.assume_rejections(terms.rejections_per_s // 2, now)
            self._counts[runner] = count
        count.set_slots(slots)
        return count

    def _allowed(self, terms: Terms, is_deputy: bool) -> float:
        """The rejections in a second that this keeper may cause."""
        share = self._share * (DEPUTY_SHARE if is_deputy else 1.0)
        allowed = math.floor(terms.rejections_per_s * share)
        if share > 0.5 and terms.rejections_per_s > 0:
            # Of the parts of a split fleet, only one is this large.
            return max(1, allowed)
        return allowed

    def _refuse(
        self, runner: str, wait_s: float, now: float
    ) -> limit_keeper.Admission:
        refusals = self._refusals.setdefault(runner, _Refusals())
        wait_s = max(wait_s, FULL_RETRY_S)
        ask_again_s = wait_s + refusals.count(now) / REFUSALS_PER_WAIT_S
        return limit_keeper.Admission(False, wait_s, ask_again_s)


def _trial_room(room: float) -> float:
    """The calls up to which one at a time is hardly rejected."""
    return TRIAL_ROOM_SHARE * room if room < math.inf else 1.0
