"""Leases: order races, time without a holder, and store calls.

Simulates three VMs that contend for one lease in a store that answers late or
not at all. The naive lease of the tests is simulated with the same faults, for
comparison. The store calls of all duties are then calculated for two sizes of
the fleet.
"""

import argparse
import json
import typing

from apricotlever.vms import leases
from tests.vms import lease_world
from tests.vms import naive_leases

SEEDS = 10
SIMULATED_S = 600.0
RENEWALS_PER_DURATION = 3
LARGE_POOL_COUNT = 50
FAULTS = {
    "calm": lease_world.Faults(),
    "lost_answers": lease_world.Faults(lost=0.3),
    "store_half_down": lease_world.Faults(dropped=0.5),
    "pauses_to_60_s": lease_world.Faults(pause_s=60.0),
    "holder_moves": lease_world.Faults(away=0.5),
    "all": lease_world.Faults(lost=0.2, dropped=0.2, pause_s=60.0, away=0.3),
}
LEASE_CLASSES: dict[str, typing.Any] = {
    "lease": leases.Lease,
    "naive": naive_leases.NaiveLease,
}


def _run_case(name: str, faults: lease_world.Faults, kind: str) -> None:
    worlds = []
    for seed in range(SEEDS):
        world = lease_world.World(seed, faults, LEASE_CLASSES[kind])
        for contender in world.contenders:
            contender.want(True)
        worlds.append(world.run(SIMULATED_S))
    steps = sum(len(world.holders) for world in worlds)
    steps_without_holder = sum(world.holders.count(set()) for world in worlds)
    seconds = SEEDS * SIMULATED_S
    _print_row(
        case=name,
        kind=kind,
        seconds=seconds,
        orders=sum(len(world.applied) for world in worlds),
        order_races=sum(world.order_races() for world in worlds),
        seconds_with_two_holders=round(
            lease_world.STEP_S * sum(w.double_holders() for w in worlds), 1
        ),
        without_holder_pct=round(100 * steps_without_holder / steps, 2),
        store_writes_per_s=round(
            sum(world.writes for world in worlds) / seconds, 3
        ),
        store_reads_per_s=round(
            sum(world.reads for world in worlds) / seconds, 3
        ),
    )


def _print_store_calls(data_centres: int, pools: int) -> None:
    """Print the store calls for all leases, calculated and not measured.

    Each data centre has a duty for its capacity and one for its notices, and
    each pool has one for its orders.
    """
    duties = 2 * data_centres + pools + 1
    rate = duties * RENEWALS_PER_DURATION / leases.DEFAULT_DURATION_S
    _print_row(
        case="store_calls_worked_out",
        data_centres=data_centres,
        pools=pools,
        duties=duties,
        renewals_per_s=round(rate, 2),
    )


def _print_row(**fields: typing.Any) -> None:
    print(json.dumps(fields), flush=True)


def run(arguments: list[str]) -> int:
    """Print one JSON line for each case."""
    argparse.ArgumentParser(prog="bench leases").parse_args(arguments)
    for name, faults in FAULTS.items():
        for kind in LEASE_CLASSES:
            _run_case(name, faults, kind)
    _print_store_calls(3, 2)
    _print_store_calls(22, LARGE_POOL_COUNT)
    return 0
