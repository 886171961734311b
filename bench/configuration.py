"""Configuration spread: time to the last VM, bytes and store calls.

Real memberships and spreads on a virtual clock. By default 159 VMs in 3
data centres; ``--large`` takes 3,500 in 22, at 12,000 changes a day.
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
ENTRIES = 200
WARM_S = 10.0
WAIT_S = 30.0
SMALL = (53, 53, 53)
LARGE_VMS = 3500
LARGE_DATA_CENTRES = 22


def _document() -> dict[str, typing.Any]:
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
        "entries": {f"e{i}": copy.deepcopy(entry) for i in range(ENTRIES)},
    }


def _edited(
    document: dict[str, typing.Any], number: int, entries: int
) -> dict[str, typing.Any]:
    edited = copy.deepcopy(document)
    for i in range(entries):
        name = f"e{(number * entries + i) % ENTRIES}"
        edited["entries"][name]["limits"]["concurrent"] = 10 + number
    return edited


def _change(
    world: replication_simulation.ReplicatedFleet,
    document: dict[str, typing.Any],
) -> list[float]:
    """Apply one edit and wait for all.

    :returns: seconds until it was in force at each VM.
    """
    start = world.fleet.clock.now()
    version = world.put(document)
    world.fleet.run_until(lambda: not world.lagging(), WAIT_S)
    return sorted(
        at - start
        for applied in world.applied.values()
        for number, at in applied
        if number == version
    )


def _case(
    name: str,
    sizes: typing.Sequence[int],
    changes: int,
    call: peer_call.CallCost,
    delay_s: float,
    cut_off: bool = False,
    entries: int = 1,
) -> None:
    fleet = gossip_simulation.Fleet(seed=SEED, delay_s=delay_s)
    nodes = fleets.start_with_known_members(fleet, fleets.make_members(sizes))
    world = replication_simulation.ReplicatedFleet(fleet)
    for node in nodes:
        world.join(node)
    document = _document()
    world.put(document)
    fleet.run(WARM_S)
    if cut_off:
        _cut_off(world)
    fleets.Cost.reset_counters(nodes)
    world.store.calls = 0
    start = fleet.clock.now()
    lasts, medians = [], []
    for number in range(changes):
        began = fleet.clock.now()
        document = _edited(document, number, entries)
        times = _change(world, document)
        lasts.append(times[-1] if len(times) == len(nodes) else WAIT_S)
        medians.append(statistics.median(times))
        rest_s = DAY_S / CHANGES_PER_DAY - (fleet.clock.now() - began)
        fleet.run(max(0.0, rest_s))
    span_s = fleet.clock.now() - start
    cost = fleets.Cost(nodes, span_s, call.processor_s, call.added_bytes)
    print(
        json.dumps(
            {
                "case": name,
                "vms": len(nodes),
                "data_centres": len(sizes),
                "changes": changes,
                "entries_changed": entries,
                "last_vm_s_median": round(statistics.median(lasts), 2),
                "last_vm_s_max": round(max(lasts), 2),
                "median_vm_s": round(statistics.median(medians), 2),
                "store_calls_per_s": round(world.store.calls / span_s, 2),
                "watchers": len(world.store.watchers),
                "faults": len(world.faults),
                **cost.as_fields(),
            }
        ),
        flush=True,
    )


def _cut_off(world: replication_simulation.ReplicatedFleet) -> None:
    """One data centre's watchers lose the store."""
    lost = [
        vm
        for vm, node in world.store.watchers.items()
        if node.member.data_centre == "d0"
    ]
    for vm in lost:
        del world.store.watchers[vm]


def run(arguments: list[str]) -> int:
    """Print one line for each case."""
    parser = argparse.ArgumentParser(prog="bench configuration")
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--changes", type=int, default=5)
    options = parser.parse_args(arguments)
    call = peer_call.measure()
    if options.large:
        sizes = fleets.split_evenly(LARGE_VMS, LARGE_DATA_CENTRES)
        _case("large", sizes, options.changes, call, 0.02)
        return 0
    changes = options.changes
    _case("seven", (3, 2, 2), changes, call, 0.002)
    _case("small", SMALL, changes, call, 0.002)
    _case("large_edit", SMALL, changes, call, 0.002, entries=100)
    _case("store_cut_off", SMALL, changes, call, 0.002, cut_off=True)
    return 0
