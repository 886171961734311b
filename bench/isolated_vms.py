"""VMs that lost all runners: ways to serve their callers, compared.

``python -m bench isolated_vms`` plays fleets of 7, 70 and 195 VMs of which
one, half, a data centre or all but one reach no runner for 12 s, with each
way, and prints one JSON line for each. Shares of first tries count from 3 s
after the cut to its end. ``breaks`` says in how many seeds the rule was
broken: at some time, first tries at isolated VMs were served less than two
thirds as often as at the others, and more than ``10 + first_tries / 50`` of
them had failed.
"""

import argparse
import json
import typing

import numpy

from . import _isolation_simulation as simulation

WAYS = {
    "none": simulation.Way(False, False),
    "leaving": simulation.Way(True, False),
    "forwarding": simulation.Way(False, True),
    "both": simulation.Way(True, True),
    "both_if_half_left": simulation.Way(True, True, 0.5),
}
FLEETS = ((7, 3), (70, 4), (195, 5))
ISOLATED = ("one", "half", "data_centre", "all_but_one")
LEAST_RATIO = 2.0 / 3.0
FREE_FAILURES = 10
FAILURE_SHARE = 1.0 / 50.0


class Judgement:
    """The first tries of one play that count, in the order of their start."""

    __slots__ = ("_tries",)

    def __init__(self, first_tries: list[simulation.FirstTry]) -> None:
        begin = simulation.CUT_AT_S + simulation.JUDGED_AFTER_S
        end = simulation.CUT_AT_S + simulation.CUT_S
        self._tries = sorted(
            (each for each in first_tries if begin <= each.at < end),
            key=lambda each: each.at,
        )

    def counts(self, isolated: bool) -> tuple[int, int]:
        """First tries at the isolated VMs, or at the others; those served."""
        served = [e.served for e in self._tries if e.isolated == isolated]
        return len(served), sum(served)

    @property
    def failed_there(self) -> int:
        """First tries that failed at isolated VMs."""
        count, served = self.counts(True)
        return count - served

    @property
    def allowed(self) -> float:
        """How many may fail there."""
        return FREE_FAILURES + FAILURE_SHARE * len(self._tries)

    @property
    def breaks(self) -> bool:
        """Whether the rule was broken at any time."""
        counts = {True: [0, 0], False: [0, 0]}
        for each in self._tries:
            counts[each.isolated][0] += 1
            counts[each.isolated][1] += each.served
            if not each.served and _broken(counts[True], counts[False]):
                return True
        return False


def _broken(there: list[int], elsewhere: list[int]) -> bool:
    failed = there[0] - there[1]
    if failed <= FREE_FAILURES + FAILURE_SHARE * (there[0] + elsewhere[0]):
        return False
    share_elsewhere = elsewhere[1] / elsewhere[0] if elsewhere[0] else 0.0
    return there[1] / there[0] < LEAST_RATIO * share_elsewhere


def _share(counts: typing.Iterable[tuple[int, int]]) -> float | None:
    tried, served = numpy.sum(list(counts), axis=0)
    return round(float(served / tried), 3) if tried else None


def compare(
    case: simulation.Case, name: str, seeds: typing.Sequence[int]
) -> dict[str, typing.Any]:
    """Play a case with a way, and sum up what its callers got.

    :param name: of the way.
    """
    fleets = []
    for seed in seeds:
        fleet = simulation.Fleet(case, WAYS[name], seed)
        fleet.run()
        fleets.append(fleet)
    judged = [Judgement(fleet.first_tries) for fleet in fleets]
    delays_s = numpy.concatenate([fleet.delays_s for fleet in fleets])
    unserved = sum(fleet.unserved for fleet in fleets)
    seconds = simulation.CUT_S * len(fleets)
    crossings = sum(fleet.crossings for fleet in fleets)
    return {
        "vms": case.vms,
        "isolated": case.isolated,
        "use": case.use,
        "helper_limit": case.helper_limit,
        "backoff_s": case.backoff_s,
        "list_ttl_s": case.list_ttl_s,
        "way": name,
        "served_there": _share(each.counts(True) for each in judged),
        "served_elsewhere": _share(each.counts(False) for each in judged),
        "tried_there": _mean(each.counts(True)[0] for each in judged),
        "failed_there": _mean(each.failed_there for each in judged),
        "allowed": _mean(each.allowed for each in judged),
        "breaks": sum(each.breaks for each in judged),
        "plays": len(fleets),
        "peak_load": _mean(fleet.peak_load() for fleet in fleets),
        "forwarded_per_s": round(
            sum(fleet.forwarded for fleet in fleets) / seconds, 1
        ),
        "helper_refusals_per_s": round(
            sum(fleet.helper_refusals for fleet in fleets) / seconds, 1
        ),
        "between_data_centres_per_s": round(crossings / seconds, 1),
        "between_data_centres_bytes_per_s": round(
            crossings * simulation.CALL_BYTES / seconds
        ),
        "served_in_two_tries": round(
            len(delays_s) / (len(delays_s) + unserved), 3
        ),
        "delay_p50_s": round(float(numpy.quantile(delays_s, 0.5)), 3),
        "delay_p95_s": round(float(numpy.quantile(delays_s, 0.95)), 3),
    }


def _mean(values: typing.Iterable[float]) -> float:
    return round(float(numpy.mean(list(values))), 1)


def run(arguments: list[str]) -> int:
    """Print one JSON line for each fleet, cut and way."""
    parser = argparse.ArgumentParser(prog="bench isolated_vms")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--use", type=float, default=0.1)
    parser.add_argument("--helper-limit", type=int, default=24)
    parser.add_argument("--backoff", type=float, default=0.2)
    parser.add_argument("--ttl", type=float, default=1.0)
    parser.add_argument("--vms", type=int, nargs="+", default=[7, 70, 195])
    options = parser.parse_args(arguments)
    for vms, data_centres in FLEETS:
        if vms not in options.vms:
            continue
        for isolated in ISOLATED:
            case = simulation.Case(
                vms,
                data_centres,
                isolated,
                options.use,
                options.helper_limit,
                options.backoff,
                options.ttl,
            )
            for name in WAYS:
                row = compare(case, name, range(1, options.seeds + 1))
                print(json.dumps(row), flush=True)
    return 0
