"""Simulates the callers of one customer over its limit, and their retries.

A keeper decides on each call. A refused caller retries as its behaviour says,
if it was given a time that it can honour.
"""

import collections
import heapq
import itertools
import json
import random
import typing

from apricotlever import clock as clocks
from apricotlever.contracts import fleet_rate_limit
from apricotlever.contracts import return_slots
from apricotlever.serving import call_relay

from . import _limit_calls

#: Seconds that a request takes to the keeper, at least and at most.
NETWORK_S = (0.002, 0.01)
#: How far before its retry time a caller of behaviour "early" returns, as a
#: part of its wait, and how often one of behaviour "often" does, in seconds.
EARLY_PART = 0.5
OFTEN_S = 0.1
#: Seconds before the first call, in which the limit's bucket fills.
WARM_UP_S = 20.0

#: Multiples of the limit, and the seconds that a caller waits in all, for the
#: comparison of retry times.
RETURN_LOADS = (1.2, 3.0, 5.0)
RETURN_TIMEOUT_S = 5.0
RETURN_SECONDS = 10.0

#: The compared ways: the time at which the limit has room for the call alone,
#: times one after the other, and those with reserved units.
WAYS = ("today", "paced", "reserved")
#: What callers do after a refusal.
BEHAVIOURS = ("punctual", "early", "often", "never")


class PacedSlots(return_slots.ReturnSlots):
    """Gives retry times one after the other, but sets no units aside."""

    def reserved_units(self, burst: float) -> float:
        """Return 0, so that new calls can use all units."""
        self._advance()
        return 0.0


class Caller:
    """One call and its retries.

    :param at: when it is made first, in seconds after the warm-up.
    :param units: the units of the call.
    :param behaviour: one of :data:`BEHAVIOURS`.
    """

    __slots__ = ("at", "units", "behaviour", "tries", "told_at", "served_at")

    def __init__(self, at: float, units: float, behaviour: str) -> None:
        self.at = at
        self.units = units
        self.behaviour = behaviour
        self.tries = 0
        #: The retry time after the first refusal that it can honour.
        self.told_at: float | None = None
        self.served_at: float | None = None


class Outcome:
    """What one simulation observed.

    :param callers: all callers, in the order of their first calls.
    :param refused_again: the part of the punctual callers that returned and
        were refused a second time.
    :param excess: the most units admitted in any window beyond the rate, as a
        part of the burst. A token bucket admits at most 1.
    :param retry_times: when the punctual callers were told to return.
    :param slots: the keeper's retry times; None for the way "today".
    """

    __slots__ = ("callers", "refused_again", "excess", "retry_times", "slots")

    def __init__(
        self,
        callers: typing.Sequence[Caller],
        excess: float,
        slots: return_slots.ReturnSlots | None,
    ) -> None:
        self.callers = callers
        returned = [
            each
            for each in callers
            if each.behaviour == "punctual" and each.tries > 1
        ]
        missed = sum(each.served_at is None for each in returned)
        self.refused_again = missed / max(1, len(returned))
        self.excess = excess
        self.retry_times = sorted(
            each.told_at for each in returned if each.told_at is not None
        )
        self.slots = slots

    @property
    def served_units(self) -> float:
        """Units of all calls that were served."""
        return sum(
            each.units for each in self.callers if each.served_at is not None
        )

    @property
    def worst_wait_s(self) -> float:
        """The longest time from a call to its admission."""
        return max(
            each.served_at - each.at
            for each in self.callers
            if each.served_at is not None
        )

    @property
    def new_served(self) -> float:
        """The part of the callers that were served at their first call."""
        first = sum(
            each.served_at is not None and each.tries == 1
            for each in self.callers
        )
        return first / len(self.callers)

    def served_by_behaviour(self) -> dict[str, float]:
        """Return the served part of the callers of each behaviour."""
        all_, served = collections.Counter[str](), collections.Counter[str]()
        for each in self.callers:
            all_[each.behaviour] += 1
            served[each.behaviour] += each.served_at is not None
        return {name: served[name] / all_[name] for name in all_}


def summarize(
    outcomes: typing.Sequence[Outcome], allowed_units: float
) -> dict[str, float]:
    """Return the measures of several simulations of one way.

    :param allowed_units: the rate times the simulated time, and the burst.
    """
    callers = [each for outcome in outcomes for each in outcome.callers]
    large = [
        each
        for each in callers
        if each.units >= _limit_calls.LARGE_PROMPT_TOKENS
    ]
    return {
        "refused_again": _mean(each.refused_again for each in outcomes),
        "excess": round(max(each.excess for each in outcomes), 3),
        "used": _mean(each.served_units / allowed_units for each in outcomes),
        "worst_wait_s": round(max(each.worst_wait_s for each in outcomes), 2),
        "new_served": _mean(each.new_served for each in outcomes),
        "served": _mean(each.served_at is not None for each in callers),
        "large_served": _mean(each.served_at is not None for each in large),
    }


def _mean(values: typing.Iterable[float]) -> float:
    numbers = list(values)
    return round(sum(numbers) / max(1, len(numbers)), 3)


class _Keeper:
    def __init__(
        self,
        way: str,
        rate: float,
        burst: float,
        level: float | None,
    ) -> None:
        self.clock = clocks.ManualClock()
        self.limit = fleet_rate_limit.FleetRateLimit(self.clock, rate, burst)
        self.clock.advance(WARM_UP_S)
        self.limit.tick()
        if level is not None:
            self.limit.take(burst - level, for_all=True)
        self.slots: return_slots.ReturnSlots | None = None
        counts = return_slots.ReturnCounts()
        if way != "today":
            kind = PacedSlots if way == "paced" else return_slots.ReturnSlots
            self.slots = kind(self.clock, counts)

    def admit(self, units: float, key: int, patience_s: float) -> float:
        """Decide on a call."""
        if self.slots is None:
            return self.limit.take(units, for_all=True)
        call = return_slots.ReturningCall(key, patience_s)
        return self.slots.admit(self.limit, units, call)


def simulate(
    way: str,
    callers: typing.Sequence[Caller],
    rate: float,
    burst: float,
    timeout_s: float,
    rng: random.Random,
    level: float | None = None,
    keeper_ends_at: float | None = None,
) -> Outcome:
    """Simulate callers of one customer.

    :param way: one of :data:`WAYS`.
    :param rate: the limit in units per second.
    :param burst: the limit's burst in units.
    :param timeout_s: how long a caller waits in all.
    :param level: the units left at the first call; None for a whole burst.
    :param keeper_ends_at: when the keeper is replaced by one that knows the
        level but no retry times, in seconds; None for never.
    """
    keeper = _Keeper(way, rate, burst, level)
    start = keeper.clock.now()
    longest_s = call_relay.HONOURED_SHARE * timeout_s
    sequence = itertools.count()
    due = [
        (each.at, next(sequence), key, each)
        for key, each in enumerate(callers)
    ]
    heapq.heapify(due)
    admitted: list[tuple[float, float]] = []
    while due:
        at, _, key, caller = heapq.heappop(due)
        keeper.clock.advance(max(0.0, start + at - keeper.clock.now()))
        if keeper_ends_at is not None and at >= keeper_ends_at:
            keeper_ends_at = None
            if keeper.slots is not None:
                keeper.slots = type(keeper.slots)(
                    keeper.clock, return_slots.ReturnCounts()
                )
        caller.tries += 1
        wait_s = keeper.admit(
            caller.units, key, longest_s - call_relay.LIMIT_MARGIN_S
        )
        if wait_s == 0.0:
            caller.served_at = at
            admitted.append((at, caller.units))
            continue
        retry_s = round(wait_s + call_relay.LIMIT_MARGIN_S, 2)
        again_at = _next_try(caller, at, retry_s, longest_s, timeout_s)
        if again_at is not None:
            again_at += rng.uniform(*NETWORK_S)
            heapq.heappush(due, (again_at, next(sequence), key, caller))
    return Outcome(callers, _excess(admitted, rate) / burst, keeper.slots)


def _next_try(
    caller: Caller,
    at: float,
    retry_s: float,
    longest_s: float,
    timeout_s: float,
) -> float | None:
    """Return when a refused caller calls again; None if it does not."""
    if caller.behaviour == "often":
        again_at = at + OFTEN_S
        return again_at if again_at < caller.at + timeout_s else None
    if caller.behaviour == "early" and retry_s <= longest_s:
        # It returns early once, and then at the time that it is given.
        early = EARLY_PART if caller.tries == 1 else 1.0
        return at + early * retry_s if caller.tries <= 2 else None
    if caller.tries > 1 or retry_s > longest_s:
        return None
    if caller.behaviour == "punctual":
        caller.told_at = at + retry_s
        return caller.told_at
    return None


def _excess(
    admitted: typing.Sequence[tuple[float, float]], rate: float
) -> float:
    """Return the most units in any window beyond the rate times its length."""
    worst = current = last_at = 0.0
    for at, units in admitted:
        current = max(0.0, current - rate * (at - last_at)) + units
        last_at = at
        worst = max(worst, current)
    return worst


def simulate_returns(
    way: str,
    load: float,
    seed: int,
    behaviours: typing.Sequence[str] = ("punctual",),
    seconds: float = RETURN_SECONDS,
    **options: typing.Any,
) -> Outcome:
    """Simulate a customer whose refused callers retry.

    :param way: how retry times are given, of :data:`WAYS`.
    :param behaviours: what callers do, of :data:`BEHAVIOURS`;
        each has one at random.
    :param seconds: for how long calls are made.
    :param options: see :func:`simulate`.
    """
    rng = random.Random(seed)
    callers = [
        Caller(call.at, call.units, rng.choice(behaviours))
        for call in _limit_calls.generate_calls(load, seconds, rng)
    ]
    return simulate(
        way,
        callers,
        _limit_calls.RATE_TOKENS_PER_S,
        _limit_calls.BURST_TOKENS,
        RETURN_TIMEOUT_S,
        rng,
        **options,
    )


def print_rows(seeds: int) -> None:
    """Print a row per load and way, over some seeds."""
    allowed = (
        _limit_calls.RATE_TOKENS_PER_S * RETURN_SECONDS
        + _limit_calls.BURST_TOKENS
    )
    for load, way in itertools.product(RETURN_LOADS, WAYS):
        outcomes = [simulate_returns(way, load, seed) for seed in range(seeds)]
        row = summarize(outcomes, allowed)
        print(json.dumps({"load": load, "way": way, **row}))
