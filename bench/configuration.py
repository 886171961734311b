"""Configuration spread: time to the last VM, bytes and store calls.

Runs the real membership and catalogue replication code on a virtual clock,
with one catalogue change per interval of 12,000 changes a day. By default the
fleets have 7 and 159 VMs in 3 data centres; with ``--large`` the fleet has
3,500 VMs in 22 data centres.
"""

import argparse
import copy
import json
import statistics
import typing

from . import fleets
from . import gossip_simulation
from . import peer_call
from . import replication_simulation

SEED = 1
CHANGES_PER_DAY = 12_000
DAY_S = 86_400.0
ENTRY_COUNT = 200
WARM_UP_S = 10.0
CHANGE_TIMEOUT_S = 30.0
SMALL_DATA_CENTRE_SIZES = (53, 53, 53)
LARGE_VM_COUNT = 3500
LARGE_DATA_CENTRE_COUNT = 22


def _make_catalogue() -> dict[str, typing.Any]:
    entry = {
        "owner": "desk",
        "kind": "model",
        "class": "desk",
        "model": "m",
        "version": "1",
        "upstreams": {"pool": "p"},
        "limits": {"concurrent": 8, "requests_per_s": 10.0},
    }
    return {
        "customers": {},
        "classes": {"desk": {"first_token_s": 1.2}},
        "entries": {f"e{i}": copy.deepcopy(entry) for i in range(ENTRY_COUNT)},
    }


def _edit_catalogue(
    document: dict[str, typing.Any], number: int, entries: int
) -> dict[str, typing.Any]:
    edited = copy.deepcopy(document)
    for i in range(entries):
        name = f"e{(number * entries + i) % ENTRY_COUNT}"
        edited["entries"][name]["limits"]["concurrent"] = 10 + number
    return edited


def _apply_change(
    spread_fleet: replication_simulation.ReplicatedFleet,
    document: dict[str, typing.Any],
) -> list[float]:
    """Store a changed catalogue and wait until all VMs apply it.

    :returns: for each VM that applied the change in time, the seconds until
        the change was in force there, in ascending order.
    """
    start_s = spread_fleet.fleet.clock.now()
    version = spread_fleet.put(document)
    spread_fleet.fleet.run_until(
        lambda: not spread_fleet.lagging(), CHANGE_TIMEOUT_S
    )
    return sorted(
        at - start_s
        for applied in spread_fleet.applied.values()
        for number, at in applied
        if number == version
    )


def _run_case(
    name: str,
    sizes: typing.Sequence[int],
    changes: int,
    call: peer_call.CallCost,
    delay_s: float,
    store_cut_off: bool = False,
    entries: int = 1,
) -> None:
    fleet = gossip_simulation.Fleet(seed=SEED, delay_s=delay_s)
    nodes = fleets.start_with_known_members(fleet, fleets.make_members(sizes))
    spread_fleet = replication_simulation.ReplicatedFleet(fleet)
    for node in nodes:
        spread_fleet.join(node)
    document = _make_catalogue()
    spread_fleet.put(document)
    fleet.run(WARM_UP_S)
    if store_cut_off:
        _cut_off_store(spread_fleet)
    fleets.Cost.reset_counters(nodes)
    spread_fleet.store.calls = 0
    start_s = fleet.clock.now()
    last_vm_s, median_vm_s = [], []
    for number in range(changes):
        change_start_s = fleet.clock.now()
        document = _edit_catalogue(document, number, entries)
        delays_s = _apply_change(spread_fleet, document)
        last_vm_s.append(
            delays_s[-1] if len(delays_s) == len(nodes) else CHANGE_TIMEOUT_S
        )
        median_vm_s.append(statistics.median(delays_s))
        pause_s = DAY_S / CHANGES_PER_DAY - (
            fleet.clock.now() - change_start_s
        )
        fleet.run(max(0.0, pause_s))
    span_s = fleet.clock.now() - start_s
    cost = fleets.Cost(nodes, span_s, call.processor_s, call.added_bytes)
    print(
        json.dumps(
            {
                "case": name,
                "vms": len(nodes),
                "data_centres": len(sizes),
                "changes": changes,
                "entries_changed": entries,
                "last_vm_s_median": round(statistics.median(last_vm_s), 2),
                "last_vm_s_max": round(max(last_vm_s), 2),
                "median_vm_s": round(statistics.median(median_vm_s), 2),
                "store_calls_per_s": round(
                    spread_fleet.store.calls / span_s, 2
                ),
                "watchers": len(spread_fleet.store.watchers),
                "faults": len(spread_fleet.faults),
                **cost.as_fields(),
            }
        ),
        flush=True,
    )


def _cut_off_store(
    spread_fleet: replication_simulation.ReplicatedFleet,
) -> None:
    """Disconnect the store's watchers in one data centre."""
    cut_off_vms = [
        vm
        for vm, node in spread_fleet.store.watchers.items()
        if node.member.data_centre == "d0"
    ]
    for vm in cut_off_vms:
        del spread_fleet.store.watchers[vm]


def run(arguments: list[str]) -> int:
    """Print one JSON line for each case."""
    parser = argparse.ArgumentParser(prog="bench configuration")
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--changes", type=int, default=5)
    options = parser.parse_args(arguments)
    call = peer_call.measure()
    if options.large:
        sizes = fleets.split_evenly(LARGE_VM_COUNT, LARGE_DATA_CENTRE_COUNT)
        _run_case("large", sizes, options.changes, call, 0.02)
        return 0
    changes = options.changes
    _run_case("seven", (3, 2, 2), changes, call, 0.002)
    _run_case("small", SMALL_DATA_CENTRE_SIZES, changes, call, 0.002)
    _run_case(
        "large_edit",
        SMALL_DATA_CENTRE_SIZES,
        changes,
        call,
        0.002,
        entries=100,
    )
    _run_case(
        "store_cut_off",
        SMALL_DATA_CENTRE_SIZES,
        changes,
        call,
        0.002,
        store_cut_off=True,
    )
    return 0
