"""What the records of a fleet cost one VM, in processor time.

One entry VM, wired as it runs, hears the records of all others. Its clock is
set by hand, so only the work is measured: the processor time of a record that
came, of one that is sent, and of a tick, and what they make in a second.
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
#: Rounds that are not measured: all members are new in them.
WARM_ROUNDS = 10
#: Customers whose counts change between two records of a busy VM.
BUSY_CUSTOMERS = 2
#: Runners at which a VM has calls.
BUSY_RUNNERS = 4
WINDOWS = 3
US = 1e6


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
    named = [
        configuration_model.Customer(
            f"customer-{i}", frozenset({f"key-{i}"}), None, 5e3, 9e3
        )
        for i in range(customers)
    ]
    return configuration_model.Configuration(
        1,
        [],
        [configuration_model.Service("llm", 64)],
        named,
        configuration_model.CallerLimits(),
    )


class _Peer:
    """Another VM, as its records show it.

    :param number: of the VM.
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
        """Where its records come from."""
        return (f"10.0.0.{self._number}", 9)

    def record(
        self, rng: random.Random, window: int, version: int, checksum: int
    ) -> vm_records.VmRecord:
        """Its next record."""
        self._sent += 1
        whole = self._sent % vm_records.FULL_RECORD_EVERY == 1
        for name in rng.sample(self._customers, BUSY_CUSTOMERS):
            self._counts[name] += rng.randrange(3000)
        busy = rng.sample(self._runners, min(BUSY_RUNNERS, len(self._runners)))
        usage = {
            window
            - i: {
                name: rng.randrange(1, 30)
                for name in self._customers[:BUSY_RUNNERS]
            }
            for i in range(WINDOWS)
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
                if whole
                else None
            ),
            usage=usage,
            work={"llm": (self._sent, 8e3, 0.4)},
            failures={name: (1, 9) for name in busy} if whole else None,
            known=(
                ["10.0.0.9:9"] * peer_table.MAX_KNOWN_ADDRESSES
                if whole
                else None
            ),
        )


class Costs:
    """Processor time of one VM, in microseconds.

    :param heard_us: of a record that came.
    :param sent_us: of one record to all its receivers.
    :param tick_us: of a tick.
    :param bytes: of a record, on average.
    """

    __slots__ = ("heard_us", "sent_us", "tick_us", "bytes")

    def __init__(
        self, heard_us: float, sent_us: float, tick_us: float, size: float
    ) -> None:
        self.heard_us = heard_us
        self.sent_us = sent_us
        self.tick_us = tick_us
        self.bytes = size

    def core(self, vms: int) -> float:
        """Part of a core, without the kernel's work for the datagrams."""
        a_second = (
            min(vms - 1, peer_table.FANOUT) / vm_records.RECORD_INTERVAL_S
        )
        return (
            a_second * self.heard_us
            + self.sent_us / vm_records.RECORD_INTERVAL_S
            + self.tick_us / node.TICK_S
        ) / US


class _Timer:
    """Takes the processor time of steps."""

    __slots__ = ("_taken_s",)

    def __init__(self) -> None:
        self._taken_s: list[float] = []

    def __call__(self, step: typing.Callable[..., typing.Any], *args) -> None:
        began = time.process_time()
        step(*args)
        self._taken_s.append(time.process_time() - began)

    @property
    def median_us(self) -> float:
        """Of one step: one that met a collection of garbage says nothing."""
        return statistics.median(self._taken_s) * US


def measure(vms: int, customers: int, count: int) -> Costs:
    """What the records of a fleet cost one VM.

    :param vms: entry VMs of the fleet, this one included.
    :param customers: with a limit each.
    :param count: runners of the fleet.
    """
    return asyncio.run(_measure(vms, customers, count))


async def _measure(vms: int, customers: int, count: int) -> Costs:
    rng = random.Random(SEED)
    clock = clocks.ManualClock()
    dialect = dialects.Dialect(*[mock.MagicMock() for _ in range(3)])
    member = node.Node(_settings, dialect, clock, rng, mock.MagicMock())
    configuration = _configuration(customers)
    dialect.platform.parse_configuration.return_value = configuration
    member._servers = mock.MagicMock(busy=0)
    member.configure({})
    for number in range(count):
        member._directory.apply_entry(
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
    member.runners_changed([])
    datagrams = member._fleet._datagrams
    datagrams._socket = mock.NonCallableMagicMock(
        sendto=lambda data, address: len(data)
    )
    windows = usage_windows.UsageWindows(clock, "x", 5.0)
    peers = [_Peer(i, customers, count) for i in range(1, vms)]
    heard, sent, tick, size = _Timer(), _Timer(), _Timer(), []
    turn = 0
    for number in range(WARM_ROUNDS + ROUNDS):
        if number == WARM_ROUNDS:
            heard, sent, tick, size = _Timer(), _Timer(), _Timer(), []
        # In a second of a VM: five records sent, ten ticks, and as many
        # heard as other VMs have receivers for.
        for _ in range(round(min(vms - 1, peer_table.FANOUT))):
            peer = peers[turn % len(peers)]
            turn += 1
            record = peer.record(
                rng,
                windows.window,
                member.version,
                member._directory.checksum,
            )
            data = datagrams_.pack(record)
            size.append(len(data))
            heard(datagrams._receive, data, peer.address[0])
        sent(member._fleet.publish_now)
        for _ in range(round(vm_records.RECORD_INTERVAL_S / node.TICK_S)):
            clock.advance(node.TICK_S)
            tick(member._update)
    return Costs(
        heard.median_us,
        sent.median_us,
        tick.median_us,
        sum(size) / len(size),
    )


def run(arguments: typing.Sequence[str]) -> int:
    """Print what the records cost, a line for each size of the fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, nargs="+", default=[4, 8, 24])
    parser.add_argument("--customers", type=int, default=16)
    parser.add_argument("--runners", type=int, default=16)
    given = parser.parse_args(arguments)
    for vms in given.vms:
        costs = measure(vms, given.customers, given.runners)
        print(
            json.dumps(
                {
                    "vms": vms,
                    "heard_us": round(costs.heard_us, 1),
                    "sent_us": round(costs.sent_us, 1),
                    "tick_us": round(costs.tick_us, 1),
                    "bytes": round(costs.bytes),
                    "part_of_a_core": round(costs.core(vms), 5),
                }
            )
        )
    return 0
