"""Measures the cost of the record exchange, and the age of known loads.

Simulated entry VMs exchange records as ``vms/record_exchange`` decides, over a
simulated network with a manual clock. Datagrams are packed as in production.
With ``--flat`` there are no aggregators: each VM sends its records itself, to
some of the others at a time. With ``--leaving`` it measures instead what the
notices of so many runners that leave at once cost.
"""

import argparse
import json
import statistics
import time
import typing

from apricotlever.vms import peer_table
from apricotlever.vms import record_exchange
from bench import _record_exchange_simulation

#: Time for the VMs to get to know each other, in seconds.
START_UP_S = 3.0
#: Duration of each measurement, in seconds.
MEASUREMENT_S = 4.0
#: Time with calls before the measurement, in seconds.
WARM_UP_S = 1.0
#: Calls a second of the whole fleet, divided by the number of VMs.
CALLS_PER_VM = 1.6
#: Time for which notices are measured, in seconds: they are repeated for 4 s.
NOTICES_S = 5.0
#: Number of VMs that learn of the leaving from the store.
FOLLOWERS = 3
#: VMs in a data centre. The fleet has at least three data centres.
VMS_PER_DATA_CENTRE = 39


class FlatTable(peer_table.PeerTable):
    """A peer table that considers no fleet large."""

    @property
    def is_large(self) -> bool:
        """Whether the fleet is large enough for aggregators."""
        return False


class FlatExchange(record_exchange.RecordExchange):
    """A record exchange that sends to some of the others in turn."""

    def publish_change(self) -> list[record_exchange.OutgoingMessage]:
        """Send changes at once only if a record reaches all other VMs."""
        return (
            super().publish_change() if len(self._table.alive()) <= 24 else []
        )


def measure(
    vms: int, data_centres: int, is_flat: bool = False
) -> dict[str, float]:
    """Measure traffic, processor time and age of loads in a fleet.

    :param vms: number of entry VMs.
    :param data_centres: number of data centres.
    :param is_flat: whether each VM sends its records itself.
    """
    if is_flat:
        world = _record_exchange_simulation.FleetSimulation(
            vms,
            data_centres,
            table_class=FlatTable,
            exchange_class=FlatExchange,
        )
    else:
        world = _record_exchange_simulation.FleetSimulation(vms, data_centres)
    world.run(START_UP_S)
    world.reset_traffic()
    world.run(MEASUREMENT_S)
    idle = world.mean_bytes_per_s(MEASUREMENT_S)
    calls = _record_exchange_simulation.CallGenerator(
        world, CALLS_PER_VM * vms
    )
    world.run(WARM_UP_S, calls)
    world.reset_traffic()
    probe = _record_exchange_simulation.LoadAgeProbe(world, calls)
    started_s = time.process_time()
    world.run(MEASUREMENT_S, probe)
    processor_s = time.process_time() - started_s
    ages_s = statistics.quantiles(probe.ages_s, n=100)
    max_bytes = max(
        world.sent.get(vm, 0) + world.received.get(vm, 0) for vm in world.vms
    )
    return {
        "idle_bytes": round(idle),
        "bytes": round(world.mean_bytes_per_s(MEASUREMENT_S)),
        "most_bytes": round(max_bytes / MEASUREMENT_S),
        "between_data_centres": round(world.crossed / MEASUREMENT_S),
        "datagrams": round(world.datagrams / MEASUREMENT_S),
        "age_p50_s": round(ages_s[49], 3),
        "age_p99_s": round(ages_s[98], 3),
        "core": round(processor_s / MEASUREMENT_S / vms, 4),
    }


def measure_notices(vms: int, runners: int, leaving: int) -> dict[str, float]:
    """Measure the bytes that notices add, while no VM can fetch entries.

    :param vms: number of entry VMs.
    :param runners: number of runners.
    :param leaving: number of runners that leave at once.
    """
    by_vm: dict[bool, list[int]] = {}
    for has_notices in (False, True):
        world = _record_exchange_simulation.FleetSimulation(
            vms, 3, runner_count=runners, has_notices=has_notices
        )
        calls = _record_exchange_simulation.CallGenerator(
            world, CALLS_PER_VM * vms
        )
        world.run(START_UP_S + WARM_UP_S, calls)
        world.reset_traffic()
        world.fetches_fail_until = float("inf")
        followers = list(world.vms.values())[:FOLLOWERS]
        left = world.announce_leaving(leaving, followers)
        world.run(NOTICES_S, calls)
        by_vm[has_notices] = [
            world.sent.get(vm, 0) + world.received.get(vm, 0)
            for vm in world.vms
        ]
    informed = sum(
        all(vm.knows_leaving(runner) for runner in left)
        for vm in world.vms.values()
    )
    extra = [on - off for off, on in zip(*by_vm.values())]
    return {
        "mean_bytes_without": round(statistics.fmean(by_vm[False])),
        "mean_extra_bytes": round(statistics.fmean(extra)),
        "most_extra_bytes": max(extra),
        "vms_informed_of_all": informed,
    }


def run(arguments: typing.Sequence[str]) -> int:
    """Print a line for each fleet size; traffic is given per second."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, nargs="+", default=[7, 70, 195])
    parser.add_argument("--flat", action="store_true")
    parser.add_argument("--leaving", type=int)
    parser.add_argument("--runners", type=int, default=45)
    options = parser.parse_args(arguments)
    if options.leaving is not None:
        for vms in options.vms:
            results = measure_notices(vms, options.runners, options.leaving)
            print(json.dumps({"vms": vms, **results}))
        return 0
    for vms in options.vms:
        data_centres = max(3, round(vms / VMS_PER_DATA_CENTRE))
        results = measure(vms, data_centres, options.flat)
        print(json.dumps({"vms": vms, "flat": options.flat, **results}))
    return 0
