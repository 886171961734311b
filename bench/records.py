"""Processor time that an entry VM spends on the VM records of its fleet.

One node with its real components receives the records of all other VMs. Its
clock is advanced by hand, so that only its own work is measured: the processor
time of a received record, of a sent record and of a tick, and the fraction of
a core that they take together.
"""

import argparse
import asyncio
import json
import random
import statistics
import time
import typing
from unittest import mock

from apricotlever import clock as clocks
from apricotlever.contracts import usage_windows
from apricotlever.serving import configuration_model
from apricotlever.serving import dialects
from apricotlever.serving import node
from apricotlever.serving import peer_datagrams as datagrams_
from apricotlever.serving import runners
from apricotlever.serving import settings
from apricotlever.vms import peer_table
from apricotlever.vms import vm_records

SEED = 7
ROUNDS = 60
#: Rounds that are not measured, as the node adds new peers in them.
WARM_UP_ROUNDS = 10
#: Customers whose token counts change between two records of a busy VM.
CHANGED_CUSTOMERS = 2
#: Runners at which a VM has calls in flight.
BUSY_RUNNERS = 4
USAGE_WINDOWS = 3
US_PER_S = 1e6


def _settings() -> settings.NodeSettings:
    address = settings.Address("127.0.0.1", 1)
    return settings.NodeSettings(
        "vm-0",
        "dc-a",
        ("dc-a", "dc-b", "dc-c"),
        address,
        None,
        None,
        address,
        None,
        (),
        address,
        None,
        False,
        False,
        settings.FleetBounds(),
    )


def _configuration(customers: int) -> configuration_model.Configuration:
    customer_list = [
        configuration_model.Customer(
            f"customer-{i}", frozenset({f"key-{i}"}), None, 5e3, 9e3
        )
        for i in range(customers)
    ]
    return configuration_model.Configuration(
        1,
        [],
        [configuration_model.Service("llm", 64)],
        customer_list,
        configuration_model.CallerLimits(),
    )


class _Peer:
    """Generates the records of another VM.

    :param number: number of the VM, part of its name and address.
    :param customers: number of customers.
    :param count: number of runners.
    """

    __slots__ = (
        "_counts",
        "_customers",
        "_number",
        "_runners",
        "_sent",
        "_vm",
    )

    def __init__(self, number: int, customers: int, count: int) -> None:
        self._vm = f"edge-{number}"
        self._number = number
        self._customers = [f"customer-{i}" for i in range(customers)]
        self._runners = [f"i-{i:010x}" for i in range(count)]
        self._sent = 0
        self._counts = {name: 0 for name in self._customers}

    @property
    def address(self) -> tuple[str, int]:
        """The source address of its records."""
        return (f"10.0.0.{self._number}", 9)

    def record(
        self, rng: random.Random, window: int, version: int, checksum: int
    ) -> vm_records.VmRecord:
        """Return the next record of the VM."""
        self._sent += 1
        is_full = self._sent % vm_records.FULL_RECORD_EVERY == 1
        for name in rng.sample(self._customers, CHANGED_CUSTOMERS):
            self._counts[name] += rng.randrange(3000)
        busy = rng.sample(self._runners, min(BUSY_RUNNERS, len(self._runners)))
        usage = {
            window
            - i: {
                name: rng.randrange(1, 30)
                for name in self._customers[:BUSY_RUNNERS]
            }
            for i in range(USAGE_WINDOWS)
        }
        return vm_records.VmRecord(
            self._vm,
            1,
            self._sent,
            "%s:%d" % self.address,
            f"10.0.0.{self._number}:80",
            "dc-a",
            ready=True,
            follows=self._number < 3,
            configuration=version,
            runners=checksum,
            in_flight=dict.fromkeys(busy, 2),
            pending={name: rng.randrange(3000) for name in busy[:2]},
            used=dict(self._counts),
            levels=(
                {name: 9e3 * rng.random() for name in self._customers}
                if is_full
                else None
            ),
            usage=usage,
            work={"llm": (self._sent, 8e3, 0.4)},
            failures={name: (1, 9) for name in busy} if is_full else None,
            known=(
                ["10.0.0.9:9"] * peer_table.MAX_KNOWN_ADDRESSES
                if is_full
                else None
            ),
        )


class Costs:
    """Processor time of one VM.

    :param heard_us: time to process a received record.
    :param sent_us: time to send a record to all its receivers.
    :param tick_us: time of a tick.
    :param size: mean size of a record in bytes.
    """

    __slots__ = ("heard_us", "sent_us", "tick_us", "bytes")

    def __init__(
        self, heard_us: float, sent_us: float, tick_us: float, size: float
    ) -> None:
        self.heard_us = heard_us
        self.sent_us = sent_us
        self.tick_us = tick_us
        self.bytes = size

    def cores(self, vms: int) -> float:
        """Return the number of cores in use, usually a fraction of one.

        It excludes the kernel's work for the datagrams.
        """
        received_per_s = (
            min(vms - 1, peer_table.FANOUT) / vm_records.RECORD_INTERVAL_S
        )
        return (
            received_per_s * self.heard_us
            + self.sent_us / vm_records.RECORD_INTERVAL_S
            + self.tick_us / node.TICK_S
        ) / US_PER_S


class _Timer:
    """Measures the processor time of steps."""

    __slots__ = ("_durations_s",)

    def __init__(self) -> None:
        self._durations_s: list[float] = []

    def __call__(self, step: typing.Callable[..., typing.Any], *args) -> None:
        started_s = time.process_time()
        step(*args)
        self._durations_s.append(time.process_time() - started_s)

    @property
    def median_us(self) -> float:
        """The median time of a step.

        Steps in which a garbage collection ran are outliers, which the
        median leaves out.
        """
        return statistics.median(self._durations_s) * US_PER_S


def measure(vms: int, customers: int, count: int) -> Costs:
    """Measure what the records of a fleet cost one VM.

    :param vms: number of entry VMs, the measured one included.
    :param customers: number of customers, each with a limit.
    :param count: number of runners.
    """
    return asyncio.run(_measure(vms, customers, count))


async def _measure(vms: int, customers: int, count: int) -> Costs:
    rng = random.Random(SEED)
    clock = clocks.ManualClock()
    dialect = dialects.Dialect(*[mock.MagicMock() for _ in range(3)])
    measured_node = node.Node(_settings, dialect, clock, rng, mock.MagicMock())
    configuration = _configuration(customers)
    dialect.platform.parse_configuration.return_value = configuration
    measured_node._servers = mock.MagicMock(busy=0)
    measured_node.configure({})
    for number in range(count):
        measured_node._directory.apply_entry(
            runners.Runner(
                f"i-{number:010x}",
                "llm",
                "10.1.0.1",
                80,
                "dc-a",
                16,
                revision=1,
            )
        )
    measured_node.runners_changed([])
    datagrams = measured_node._fleet._datagrams
    datagrams._socket = mock.NonCallableMagicMock(
        sendto=lambda data, address: len(data)
    )
    windows = usage_windows.UsageWindows(clock, "x", 5.0)
    peers = [_Peer(i, customers, count) for i in range(1, vms)]
    received, sent, tick, sizes = _Timer(), _Timer(), _Timer(), []
    peer_index = 0
    for round_number in range(WARM_UP_ROUNDS + ROUNDS):
        if round_number == WARM_UP_ROUNDS:
            received, sent, tick, sizes = _Timer(), _Timer(), _Timer(), []
        # A VM sends five records and runs ten ticks a second. A round is
        # the interval between two sent records, in which a VM receives as
        # many records as each VM has receivers.
        for _ in range(round(min(vms - 1, peer_table.FANOUT))):
            peer = peers[peer_index % len(peers)]
            peer_index += 1
            record = peer.record(
                rng,
                windows.window,
                measured_node.version,
                measured_node._directory.checksum,
            )
            data = datagrams_.pack(record)
            sizes.append(len(data))
            received(datagrams._receive, data, peer.address[0])
        sent(measured_node._fleet.publish_now)
        for _ in range(round(vm_records.RECORD_INTERVAL_S / node.TICK_S)):
            clock.advance(node.TICK_S)
            tick(measured_node._update)
    return Costs(
        received.median_us,
        sent.median_us,
        tick.median_us,
        sum(sizes) / len(sizes),
    )


def run(arguments: typing.Sequence[str]) -> int:
    """Print the cost of the records, one line for each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, nargs="+", default=[4, 8, 24])
    parser.add_argument("--customers", type=int, default=16)
    parser.add_argument("--runners", type=int, default=16)
    options = parser.parse_args(arguments)
    for vms in options.vms:
        costs = measure(vms, options.customers, options.runners)
        print(
            json.dumps(
                {
                    "vms": vms,
                    "heard_us": round(costs.heard_us, 1),
                    "sent_us": round(costs.sent_us, 1),
                    "tick_us": round(costs.tick_us, 1),
                    "bytes": round(costs.bytes),
                    "part_of_a_core": round(costs.cores(vms), 5),
                }
            )
        )
    return 0
