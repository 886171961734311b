"""Leases: order races, time without a holder, and store calls.

Three VMs contend for one lease through a store that answers late or not at
all; the naive lease runs through the same faults. Then the store calls of
all duties by the size of the fleet.
"""

import argparse
import json
import typing

from apricotlever.vms import leases
from tests.vms import lease_world
from tests.vms import naive_leases

SEEDS = 10
SPAN_S = 600.0
RENEWALS_PER_DURATION = 3
POOLS = 50
FAULTS = {
    "calm": lease_world.Faults(),
    "lost_answers": lease_world.Faults(lost=0.3),
    "store_half_down": lease_world.Faults(dropped=0.5),
    "pauses_to_60_s": lease_world.Faults(pause_s=60.0),
    "holder_moves": lease_world.Faults(away=0.5),
    "all": lease_world.Faults(lost=0.2, dropped=0.2, pause_s=60.0, away=0.3),
}
KINDS: dict[str, typing.Any] = {
    "lease": leases.Lease,
    "naive": naive_leases.NaiveLease,
}


def _case(name: str, faults: lease_world.Faults, kind: str) -> None:
    worlds = []
    for seed in range(SEEDS):
        world = lease_world.World(seed, faults, KINDS[kind])
        for contender in world.contenders:
            contender.want(True)
        worlds.append(world.run(SPAN_S))
    steps = sum(len(world.holders) for world in worlds)
    idle = sum(world.holders.count(set()) for world in worlds)
    seconds = SEEDS * SPAN_S
    _print(
        case=name,
        kind=kind,
        seconds=seconds,
        orders=sum(len(world.applied) for world in worlds),
        order_races=sum(world.order_races() for world in worlds),
        seconds_with_two_holders=round(
            lease_world.STEP_S * sum(w.double_holders() for w in worlds), 1
        ),
        without_holder_pct=round(100 * idle / steps, 2),
        store_writes_per_s=round(
            sum(world.writes for world in worlds) / seconds, 3
        ),
        store_reads_per_s=round(
            sum(world.reads for world in worlds) / seconds, 3
        ),
    )


def _store_calls(data_centres: int, pools: int) -> None:
    """Worked out: capacity and notices by data centre, orders by pool."""
    duties = 2 * data_centres + pools + 1
    rate = duties * RENEWALS_PER_DURATION / leases.DEFAULT_DURATION_S
    _print(
        case="store_calls_worked_out",
        data_centres=data_centres,
        pools=pools,
        duties=duties,
        renewals_per_s=round(rate, 2),
    )


def _print(**fields: typing.Any) -> None:
    print(json.dumps(fields), flush=True)


def run(arguments: list[str]) -> int:
    """Print one line for each case."""
    argparse.ArgumentParser(prog="bench leases").parse_args(arguments)
    for name, faults in FAULTS.items():
        for kind in KINDS:
            _case(name, faults, kind)
    _store_calls(3, 2)
    _store_calls(22, POOLS)
    return 0
