"""What the keeper of a fragile runner counts of it."""

import collections
import math
import typing

#: Seconds for which a rejection counts. The runner counts for one second; the
#: rest is for the way of a rejection to the keeper.
REJECTION_WINDOW_S = 1.25
#: Seconds after which a call that was sent counts as taken by its runner. A
#: rejection follows at once, and is known to the keeper by then.
CONFIRMED_AFTER_S = 0.025
#: Seconds for which a runner that took a call beside some number of others is
#: expected to do so again.
PROVEN_FOR_S = 2.0
#: Seconds without a rejection after which a runner that took fewer calls than
#: it has slots is tried with one call more. Longer than
#: :data:`REJECTION_WINDOW_S`, so that trials alone never add up.
ROOM_GROWS_AFTER_S = 1.5
#: Part of a runner's room that is used after half of the rejections that it
#: bears, or the only one, have come as a surprise.
SURPRISED_ROOM_SHARE = 0.5
#: Age of the oldest numbers in the sums of status records, in seconds.
REPORT_AGE_S = 0.3
#: Part of the latest call in the mean time that a runner's calls take.
HOLD_SMOOTHING = 0.1
#: Seconds for which a new keeper doesn't know the calls of the one before.
NEW_KEEPER_S = 1.0

#: A call, by the process that sends it and a number that is unique there.
CallKey = tuple[str, int]


class Sent:
    """An admitted call.

    :param level: the calls that its runner had when it was admitted.
    :param is_proven: whether its runner had lately taken as many.
    """

    __slots__ = ("at", "ends_at", "level", "is_proven", "is_trial")

    def __init__(
        self,
        at: float,
        ends_at: float,
        level: int,
        is_proven: bool,
        is_trial: bool,
    ) -> None:
        self.at = at
        self.ends_at = ends_at
        self.level = level
        self.is_proven = is_proven
        #: Whether it was sent to learn whether there is more room.
        self.is_trial = is_trial


class _Extreme:
    """The greatest or least of the values of the last seconds.

    :param choose: ``max`` or ``min``.
    :param empty: the result without a value.
    """

    __slots__ = ("_choose", "_empty", "_span_s", "_since", "_last", "_before")

    def __init__(
        self,
        choose: typing.Callable[[float, float], float],
        empty: float,
        span_s: float,
    ) -> None:
        self._choose = choose
        self._empty = empty
        self._span_s = span_s / 2.0
        self._since = -math.inf
        self._last = self._before = empty

    def value(self, now: float) -> float:
        """The extreme of the values since half to all of the span ago."""
        self._turn(now)
        return self._choose(self._last, self._before)

    def record(self, value: float, now: float) -> None:
        """Add a value."""
        self._turn(now)
        self._last = self._choose(self._last, value)

    def limit(self, most: float) -> None:
        """Lower all values to at most this one."""
        self._last = min(self._last, most)
        self._before = min(self._before, most)

    def _turn(self, now: float) -> None:
        passed_s = now - self._since
        if passed_s < self._span_s:
            return
        is_next = passed_s < 2.0 * self._span_s
        self._before = self._last if is_next else self._empty
        self._last = self._empty
        self._since = now


class FragileCount:
    """What is counted of one runner.

    :param slots: the calls that it runs at a time; infinite if unknown.
    :param now: when the count begins.
    """

    __slots__ = (
        "room",
        "running",
        "_began_at",
        "_foreign",
        "_hold_s",
        "_next_end",
        "_proven",
        "_rejected",
        "_slots",
        "_surprised_at",
        "_rejected_at",
        "_tried_at",
        "_unknown",
    )

    def __init__(self, slots: float, now: float) -> None:
        #: The calls that the runner takes at a time, as far as known.
        self.room = slots
        self.running: dict[CallKey, Sent] = {}
        self._slots = slots
        self._began_at = now
        self._next_end = math.inf
        self._hold_s = 0.0
        #: The calls whose fate is unknown, the oldest first.
        self._unknown: dict[CallKey, Sent] = {}
        #: When calls were rejected that were expected to be taken, and trials.
        self._surprised_at: collections.deque[float] = collections.deque()
        self._rejected_at: collections.deque[float] = collections.deque()
        #: The rejected calls of the window: their ends may be told twice.
        self._rejected: dict[CallKey, float] = {}
        #: When the room was last found to be less than was tried.
        self._tried_at = now
        self._proven = _Extreme(max, 0.0, PROVEN_FOR_S)
        self._foreign = _Extreme(min, math.inf, NEW_KEEPER_S)

    @property
    def has_unknown(self) -> bool:
        """Whether the fate of any call is unknown."""
        return bool(self._unknown)

    @property
    def surprises(self) -> int:
        """Rejections in the window of calls that should have been taken."""
        return len(self._surprised_at)

    @property
    def rejections(self) -> int:
        """All rejections in the window."""
        return len(self._surprised_at) + len(self._rejected_at)

    @property
    def next_end_in_s(self) -> float:
        """Seconds in which one of the calls is expected to end."""
        return self._hold_s / max(1, len(self.running))

    def proven(self, now: float) -> float:
        """The calls that the runner has lately been seen to take at a time."""
        return min(self.room, self._proven.value(now))

    def unknown(self, is_proven: bool) -> int:
        """The calls of unknown fate that are proven, or those that aren't."""
        return sum(
            sent.is_proven == is_proven for sent in self._unknown.values()
        )

    def may_try_more(self, now: float) -> bool:
        """Whether one call more than the room may be sent, to learn of it."""
        return (
            self.room < self._slots
            and now - self._tried_at >= ROOM_GROWS_AFTER_S
            and not any(sent.is_trial for sent in self._unknown.values())
        )

    def set_slots(self, slots: float) -> None:
        """Apply another number of slots."""
        if slots != self._slots:
            was_full = self.room >= self._slots
            self._slots = slots
            self.room = slots if was_full else min(self.room, slots)

    def used(self, reported: int, now: float) -> int:
        """The calls that the runner has.

        Those that another VM has admitted, or nobody, are known by reports
        only, which are old. A new keeper adds what the reports can't include
        yet. Later, calls that end and start between two reports must not look
        like those of others: only what is in excess for some time counts.
        """
        own = len(self.running)
        if now - self._began_at < NEW_KEEPER_S:
            included = sum(
                sent.at <= now - REPORT_AGE_S for sent in self.running.values()
            )
            return own + max(0, reported - included)
        self._foreign.record(max(0, reported - own), now)
        return own + int(self._foreign.value(now))

    def admit(self, call: CallKey, sent: Sent) -> None:
        """Add a call."""
        self.running[call] = self._unknown[call] = sent
        self._next_end = min(self._next_end, sent.ends_at)

    def end(
        self,
        call: CallKey,
        is_rejected: bool,
        used: int,
        bears: float,
        now: float,
    ) -> None:
        """Remove a call.

        :param used: see :meth:`reject`.
        :param bears: the rejections in a second that the runner bears.
        """
        sent = self.running.pop(call, None)
        self._unknown.pop(call, None)
        if is_rejected and call not in self._rejected:
            self._rejected[call] = now
            self.reject(sent, used, bears, now)
        elif sent is not None and not is_rejected:
            held_s = now - sent.at
            self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)

    def reject(
        self, sent: Sent | None, used: int, bears: float, now: float
    ) -> None:
        """Learn from a rejection.

        :param sent: the call; None if this keeper didn't admit it.
        :param used: the calls that the runner has now, see :meth:`used`.
        """
        level = float(used if sent is None else sent.level)
        is_trial = sent is not None and sent.is_trial
        is_at_edge = level >= self.room - (self.room < self._slots)
        self._tried_at = now
        (self._rejected_at if is_trial else self._surprised_at).append(now)
        if is_trial or is_at_edge:
            self.room = max(1.0, min(self.room, level))
        else:
            share = SURPRISED_ROOM_SHARE ** (2.0 / max(2.0, bears))
            self.room = max(1.0, min(self.room, float(int(level * share))))
        self._proven.limit(self.room)

    def assume_rejections(self, count: int, now: float) -> None:
        """Count rejections that this keeper could not hear of."""
        self._rejected_at.extend([now] * count)

    def forget_old(self, now: float) -> None:
        """Forget rejections, and calls that must have been taken or ended."""
        forgotten = now - REJECTION_WINDOW_S
        for times in (self._rejected_at, self._surprised_at):
            while times and times[0] <= forgotten:
                times.popleft()
        while self._rejected:
            call, at = next(iter(self._rejected.items()))
            if at > forgotten:
                break
            del self._rejected[call]
        self._confirm(now)
        if self._next_end <= now:
            self.running = {
                call: sent
                for call, sent in self.running.items()
                if sent.ends_at > now
            }
            self._next_end = min(
                (sent.ends_at for sent in self.running.values()),
                default=math.inf,
            )

    def risk_ends_in_s(self, now: float) -> float:
        """Seconds until an unknown call or a rejection is forgotten."""
        ends = [
            times[0] + REJECTION_WINDOW_S
            for times in (self._rejected_at, self._surprised_at)
            if times
        ]
        if self._unknown:
            oldest = next(iter(self._unknown.values()))
            ends.append(oldest.at + CONFIRMED_AFTER_S)
        return max(0.0, min(ends) - now) if ends else 0.0

    def _confirm(self, now: float) -> None:
        while self._unknown:
            call, sent = next(iter(self._unknown.items()))
            if sent.at > now - CONFIRMED_AFTER_S:
                return
            del self._unknown[call]
            if sent.is_trial:
                self.room = min(self._slots, max(self.room, sent.level + 1.0))
            self._proven.record(sent.level + 1.0, now)
