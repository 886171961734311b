"""Compares ways to send calls to runners that fall over by rejections."""

import argparse
import json
import time
import typing

from bench import _brittle_fleet
from bench import _brittle_keepers
from bench import _brittle_queue
from bench import _brittle_runner
from bench import _brittle_ways

#: The compared ways.
WAYS: dict[
    str, typing.Callable[[_brittle_fleet.Fleet], _brittle_ways.Today]
] = {
    "today": _brittle_ways.Today,
    "two_choices": _brittle_ways.TwoChoices,
    "stop_at_first": _brittle_ways.StopAtFirst,
    "equal_parts": _brittle_ways.EqualParts,
    "permits": _brittle_keepers.Permits,
    "calls_only": _brittle_keepers.CallsOnly,
    "strict_keeper": _brittle_keepers.StrictKeeper,
    "keeper": _brittle_keepers.Keeper,
    "queueing_keeper": _brittle_queue.QueueingKeeper,
}
#: Runners and slots of each, by the name of the service's size.
SIZES = {"few": (3, 6), "many": (20, 12)}
#: Loads without a trouble, and the load beside one.
USES, TROUBLE_USE = (0.6, 0.9, 1.2), 0.9
#: Ways without fragility, of which the better one is compared with.
SOUND_WAYS = ("today", "two_choices")


class Result:
    """What some seeds of a case measured.

    :param falls: falls in the worst seed, and how many seeds broke the rule.
    :param in_time: part of the calls that were taken in their objective.
    :param lost: part of the calls that were so without fragility only.
    :param refused_with_room: part of the calls that were refused although a
        tenth of the room was free.
    """

    __slots__ = (
        "falls",
        "broken",
        "breaks_rule",
        "in_time",
        "lost",
        "refused_with_room",
        "messages_per_call",
        "asks_per_s",
        "took_s",
    )

    def __init__(
        self,
        fleets: typing.Sequence[_brittle_fleet.Fleet],
        sound: typing.Sequence[_brittle_fleet.Fleet],
        took_s: float,
    ) -> None:
        arrived = sum(fleet.arrived for fleet in fleets)
        calls = sum(fleet.in_time for fleet in fleets)
        sound_calls = sum(fleet.in_time for fleet in sound)
        span_s = sum(fleet.kind.span_s for fleet in fleets)
        self.falls = max(fleet.falls for fleet in fleets)
        self.broken = sum(fleet.breaks_rule for fleet in fleets)
        self.breaks_rule = self.broken > 0
        self.in_time = calls / arrived
        self.lost = 1.0 - calls / sound_calls
        self.refused_with_room = (
            sum(fleet.refused_with_room for fleet in fleets) / arrived
        )
        messages = sum(fleet.messages for fleet in fleets)
        self.messages_per_call = messages / arrived
        self.asks_per_s = messages / span_s
        self.took_s = took_s


def simulate(
    way: str,
    vms: int,
    size: str,
    bears: int,
    kind: str,
    use: float,
    trouble: str = "none",
    seed: int = 0,
    is_fragile: bool = True,
) -> _brittle_fleet.Fleet:
    """Run a fleet for some seconds.

    :param way: a name in :data:`WAYS`.
    :param size: a name in :data:`SIZES`.
    :param bears: rejections in a second that a runner bears.
    :param kind: a name in ``_brittle_runner.KINDS``.
    :param use: calls as a part of what the runners can take.
    :param trouble: a name in ``_brittle_runner.TROUBLES``.
    """
    runners, slots = SIZES[size]
    case = _brittle_runner.Case(
        vms, runners, slots, bears, kind, use, trouble, seed, is_fragile
    )
    fleet = _brittle_fleet.Fleet(case, WAYS[way])
    fleet.run()
    return fleet


#: The runs without fragility, which are the same for all ways.
_sound: dict[tuple[typing.Any, ...], _brittle_fleet.Fleet] = {}


def compare(
    way: str,
    vms: int,
    size: str,
    bears: int,
    kind: str,
    use: float,
    trouble: str,
    seeds: int,
) -> Result:
    """Run some seeds of a case, and of the same load without fragility."""
    sound = []
    for seed in range(seeds):
        key = (vms, size, kind, use, trouble, seed)
        if key not in _sound:
            _sound[key] = max(
                (
                    simulate(
                        name, vms, size, 0, kind, use, trouble, seed, False
                    )
                    for name in SOUND_WAYS
                ),
                key=lambda fleet: fleet.in_time,
            )
        sound.append(_sound[key])
    started = time.monotonic()
    fleets = [
        simulate(way, vms, size, bears, kind, use, trouble, seed)
        for seed in range(seeds)
    ]
    return Result(fleets, sound, time.monotonic() - started)


def _loads(names: typing.Sequence[str]) -> list[tuple[float, str]]:
    loads = [(use, "none") for use in USES if "none" in names]
    for name in names:
        if name != "none":
            use = 0.6 if name == "burst" else TROUBLE_USE
            loads.append((use, name))
    return loads


def run(arguments: typing.Sequence[str]) -> int:
    """Compare the ways at several sizes, loads and troubles."""
    parser = argparse.ArgumentParser(prog="python -m bench brittle_runners")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--vms", type=int, nargs="+", default=[70])
    parser.add_argument("--sizes", nargs="+", default=list(SIZES))
    parser.add_argument("--bears", type=int, nargs="+", default=[1, 3, 10])
    parser.add_argument(
        "--kinds", nargs="+", default=list(_brittle_runner.KINDS)
    )
    parser.add_argument(
        "--troubles", nargs="+", default=list(_brittle_runner.TROUBLES)
    )
    parser.add_argument(
        "--use", type=float, help="the load, instead of those of the table"
    )
    parser.add_argument("--ways", nargs="+", default=list(WAYS))
    options = parser.parse_args(arguments)
    loads = _loads(options.troubles)
    if options.use is not None:
        loads = [(options.use, name) for name in options.troubles]
    for vms in options.vms:
        for size in options.sizes:
            for kind in options.kinds:
                for use, trouble in loads:
                    for bears in options.bears:
                        for way in options.ways:
                            result = compare(
                                way,
                                vms,
                                size,
                                bears,
                                kind,
                                use,
                                trouble,
                                options.seeds,
                            )
                            line = {
                                "vms": vms,
                                "size": size,
                                "calls": kind,
                                "use": use,
                                "trouble": trouble,
                                "bears": bears,
                                "way": way,
                                "falls": result.falls,
                                "seeds_beyond": result.broken,
                                "in_time": round(result.in_time, 3),
                                "lost": round(result.lost, 3),
                                "refused_with_room": round(
                                    result.refused_with_room, 4
                                ),
                                "messages_per_call": round(
                                    result.messages_per_call, 2
                                ),
                                "seconds": round(result.took_s, 1),
                            }
                            print(json.dumps(line), flush=True)
    return 0
