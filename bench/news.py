"""What it costs a fleet to tell all VMs of all, and how fresh that is.

Entry VMs that run the decisions of ``vms/record_exchange`` tell each other
over a network on a clock set by hand; datagrams are packed as they are sent.
With ``--flat`` each VM tells the others itself, to some at a time.
"""

import argparse
import json
import statistics
import time
import typing

from apricotlever.vms import peer_table
from apricotlever.vms import record_exchange
from bench import _news_world

START_S = 3.0
MEASURED_S = 4.0
WARM_S = 1.0
#: Calls a second of the whole fleet for each VM.
CALLS_A_VM = 1.6
#: VMs of a data centre; fewer data centres than three are none.
VMS_A_PLACE = 39


class FlatTable(peer_table.PeerTable):
    """A table by which no fleet is large."""

    @property
    def is_large(self) -> bool:
        """Never."""
        return False


class FlatNews(record_exchange.RecordExchange):
    """Tells some of the others in turn."""

    def publish_change(self) -> list[record_exchange.OutgoingMessage]:
        """Nothing between two records, where these go to some only."""
        return (
            super().publish_change() if len(self._table.alive()) <= 24 else []
        )


def measure(vms: int, places: int, is_flat: bool = False) -> dict[str, float]:
    """Bytes, datagrams and ages in a fleet.

    :param vms: entry VMs.
    :param places: data centres.
    :param is_flat: whether each VM tells the others itself.
    """
    if is_flat:
        world = _news_world.World(vms, places, table=FlatTable, news=FlatNews)
    else:
        world = _news_world.World(vms, places)
    world.run(START_S)
    world.forget_traffic()
    world.run(MEASURED_S)
    idle = world.bytes_a_second(MEASURED_S)
    calls = _news_world.Calls(world, CALLS_A_VM * vms)
    world.run(WARM_S, calls)
    world.forget_traffic()
    probe = _news_world.Probe(world, calls)
    began_s = time.process_time()
    world.run(MEASURED_S, probe)
    took_s = time.process_time() - began_s
    ages_s = statistics.quantiles(probe.ages_s, n=100)
    most = max(
        world.sent.get(vm, 0) + world.received.get(vm, 0) for vm in world.vms
    )
    return {
        "idle_bytes": round(idle),
        "bytes": round(world.bytes_a_second(MEASURED_S)),
        "most_bytes": round(most / MEASURED_S),
        "between_data_centres": round(world.crossed / MEASURED_S),
        "datagrams": round(world.datagrams / MEASURED_S),
        "age_p50_s": round(ages_s[49], 3),
        "age_p99_s": round(ages_s[98], 3),
        "core": round(took_s / MEASURED_S / vms, 4),
    }


def run(arguments: typing.Sequence[str]) -> int:
    """Print what each size of fleet costs, a line each; all by the second."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, nargs="+", default=[7, 70, 195])
    parser.add_argument("--flat", action="store_true")
    given = parser.parse_args(arguments)
    for vms in given.vms:
        places = max(3, round(vms / VMS_A_PLACE))
        found = measure(vms, places, given.flat)
        print(json.dumps({"vms": vms, "flat": given.flat, **found}))
    return 0
