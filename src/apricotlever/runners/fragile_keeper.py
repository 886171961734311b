"""Admits calls to fragile runners, for all VMs together.

A fragile runner falls over if it has to reject more than a few calls in a
second. It cares neither which VM sent them nor that each sent only one, so one
VM, the runner's keeper, is asked before each call. The keeper admits a call
only if the runner survives the worst case: that it rejects every call whose
fate is not yet known.
"""

import collections
import math
import typing

from .. import clock as clocks
from . import limit_keeper

#: Seconds for which a rejection counts. The runner counts for one second; the
#: rest is for the way of a rejection to the keeper.
REJECTION_WINDOW_S = 1.25
#: Seconds after which a call that was sent counts as taken by its runner. A
#: rejection follows at once, and is known to the keeper by then.
CONFIRMED_AFTER_S = 0.05
#: Seconds without a rejection after which a runner that was full is tried with
#: one call more. Longer than :data:`REJECTION_WINDOW_S`, so that trials alone
#: never add up.
ROOM_GROWS_AFTER_S = 2.0
#: Part of a runner's room up to which one call at a time may be sent, whatever
#: the number of rejections that it bears. Without any call, nobody would learn
#: that it is sound again.
TRIAL_ROOM_SHARE = 0.5
#: Seconds until a VM asks again about a runner whose room is used up.
FULL_RETRY_S = 0.05
#: Part of the rejections that a VM may risk which is asked in place of the
#: keeper. The keeper may be alive and go on admitting calls of others.
DEPUTY_SHARE = 0.25

#: A call, by the process that sends it and a number that is unique there.
CallKey = tuple[str, int]


class Terms:
    """What is known of a fragile runner.

    :param rejections_per_s: rejections in a second that the runner bears.
    :param slots: calls that it runs at a time; 0 if unknown.
    """

    __slots__ = ("rejections_per_s", "slots")

    def __init__(self, rejections_per_s: int, slots: int) -> None:
        self.rejections_per_s = rejections_per_s
        self.slots = slots


class _Count:
    """What is counted of one runner.

    :param room: the calls that the runner takes at a time, as far as known.
    """

    __slots__ = ("room", "tried_at", "running", "sent", "rejected_at")

    def __init__(self, room: float, now: float) -> None:
        self.room = room
        #: When the room was last learned, or last tried with one call more.
        self.tried_at = now
        #: When each admitted call ends at the latest, by call.
        self.running: dict[CallKey, float] = {}
        #: The calls whose fate is unknown, and when each was admitted.
        self.sent: dict[CallKey, float] = {}
        self.rejected_at: collections.deque[float] = collections.deque()

    def forget_old(self, now: float) -> None:
        """Forget rejections, and calls that must have been taken or ended."""
        while (
            self.rejected_at
            and self.rejected_at[0] <= now - REJECTION_WINDOW_S
        ):
            self.rejected_at.popleft()
        for call, sent_at in list(self.sent.items()):
            if sent_at > now - CONFIRMED_AFTER_S:
                break
            del self.sent[call]
        for call in [
            c for c, ends_at in self.running.items() if ends_at <= now
        ]:
            del self.running[call]

    @property
    def at_risk(self) -> int:
        """The rejections in the window if all unknown calls are rejected."""
        return len(self.rejected_at) + len(self.sent)


class FragileKeeper:
    """Admits calls to fragile runners, as their keeper.

    :param clock: the source of time.
    :param reported: the number of calls in flight at a runner, as all VMs
        report it in their status records.
    """

    __slots__ = ("_clock", "_counts", "_reported", "_share")

    def __init__(
        self,
        clock: clocks.Clock,
        reported: typing.Callable[[str], int] = lambda runner: 0,
    ) -> None:
        self._clock = clock
        self._reported = reported
        self._share = 1.0
        self._counts: dict[str, _Count] = {}

    def set_share(self, share: float) -> None:
        """Set the part of the rejections that the VMs heard from may cause.

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
        count = self._counts.get(runner)
        if count is None:
            count = self._counts[runner] = _Count(terms.slots or math.inf, now)
            self._assume_former_keeper(runner, count, terms, now)
        count.forget_old(now)
        if call in count.running:
            # The question was sent twice.
            return limit_keeper.Admission(True, 0.0)
        self._grow_room(count, terms, now)
        used = max(len(count.running), self._reported(runner))
        if used >= count.room:
            return limit_keeper.Admission(False, FULL_RETRY_S, FULL_RETRY_S)
        share = self._share * (DEPUTY_SHARE if is_deputy else 1.0)
        allowed = math.floor(terms.rejections_per_s * share)
        if used < count.room * TRIAL_ROOM_SHARE:
            allowed = max(allowed, 1)
        if count.at_risk >= allowed:
            wait_s = self._risk_ends_in_s(count, now)
            return limit_keeper.Admission(False, wait_s, wait_s)
        count.running[call] = now + lease_s
        count.sent[call] = now
        return limit_keeper.Admission(True, 0.0)

    def end(self, runner: str, call: CallKey, rejected: bool) -> None:
        """Record that an admitted call has ended.

        :param rejected: whether the runner rejected it for want of room.
        """
        count = self._counts.get(runner)
        if count is None:
            return
        count.running.pop(call, None)
        count.sent.pop(call, None)
        if rejected:
            self._record_rejection(count)

    def record_rejection(self, runner: str) -> None:
        """Record the rejection of a call that was sent without asking."""
        count = self._counts.get(runner)
        if count is not None:
            self._record_rejection(count)

    def keep_only(self, runners: typing.Collection[str]) -> None:
        """Forget the runners that are not fragile any more."""
        self._counts = {
            runner: count
            for runner, count in self._counts.items()
            if runner in runners
        }

    def _record_rejection(self, count: _Count) -> None:
        now = self._clock.now()
        count.rejected_at.append(now)
        count.forget_old(now)
        count.room = min(count.room, max(1.0, float(len(count.running))))
        count.tried_at = now

    def _assume_former_keeper(
        self, runner: str, count: _Count, terms: Terms, now: float
    ) -> None:
        """Leave half of the rejections to calls of the keeper before."""
        count.rejected_at.extend([now] * (terms.rejections_per_s // 2))

    def _grow_room(self, count: _Count, terms: Terms, now: float) -> None:
        """Try a full runner with one call more from time to time."""
        count.room = min(count.room, terms.slots or math.inf)
        if now - count.tried_at < ROOM_GROWS_AFTER_S:
            return
        if len(count.running) >= count.room and count.room != math.inf:
            count.room = min(count.room + 1.0, terms.slots or math.inf)
            count.tried_at = now

    def _risk_ends_in_s(self, count: _Count, now: float) -> float:
        """Seconds until the oldest rejection or unknown call is forgotten."""
        ends = [at + CONFIRMED_AFTER_S for at in count.sent.values()]
        ends += [at + REJECTION_WINDOW_S for at in count.rejected_at]
        return max(0.01, min(ends) - now) if ends else FULL_RETRY_S
