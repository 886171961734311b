"""Passes readings of what runners say of themselves on to other VMs.

A change goes to some VMs at once, which do the same. All readings go to a few
more several times a second, which reaches VMs that have missed a change.
"""

import asyncio
import random
import typing

from .. import clock as clocks
from ..runners import stated_limits

from . import keeper_fleet
from . import limit_protocol

#: Number of VMs that get all readings at a time.
EXCHANGE_FANOUT = 2
#: Number of VMs to which a change is passed on at once. Each of them does the
#: same, so a change reaches thousands of VMs in a few steps.
CHANGE_FANOUT = 4
#: Seconds for which changes are collected before they are passed on.
CHANGE_BATCH_S = 0.01

#: A runner, the value that it states (None once taken back), and how many
#: seconds ago the response that said so was read.
ReadingRecord = tuple[str, float | None, float]


class Sender(typing.Protocol):
    """Sends readings."""

    def send_readings(
        self,
        addresses: typing.Iterable[limit_protocol.Address],
        readings: typing.Sequence[ReadingRecord],
    ) -> None:
        """Pass on readings to other VMs."""


class ReadingExchange:
    """Passes on the readings of one kind of statement.

    :param clock: the source of time.
    :param rng: chooses the order of the readings.
    :param fleet: chooses the VMs.
    :param stated: the readings.
    """

    __slots__ = ("_changed", "_clock", "_fleet", "_rng", "_sender", "_stated")

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        fleet: keeper_fleet.KeeperFleet,
        stated: stated_limits.StatedLimits,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._fleet = fleet
        self._stated = stated
        self._sender: Sender | None = None
        #: Runners whose changes are about to be passed on.
        self._changed: set[str] = set()

    def enable(self, sender: Sender) -> None:
        """From now on, send messages."""
        self._sender = sender

    def record(self, runner: str) -> ReadingRecord:
        """What this VM knows of a runner, as it is passed on."""
        reading = self._stated.readings.get(runner)
        if reading is None:
            return runner, None, stated_limits.LIFTED_KEPT_S
        age_s = self._clock.now() - reading.read_at
        return runner, reading.limit_per_s, max(0.0, age_s)

    def send_all(self) -> None:
        """Pass on all readings to a few other VMs."""
        self._stated.forget_lifted()
        readings = [self.record(runner) for runner in self._stated.readings]
        if readings and self._sender is not None:
            self._rng.shuffle(readings)
            self._sender.send_readings(
                self._fleet.some_addresses(EXCHANGE_FANOUT), readings
            )

    def pass_on(self, runner: str) -> None:
        """Pass a changed reading on to other VMs."""
        if self._sender is None:
            return
        if not self._changed:
            asyncio.get_running_loop().call_later(
                CHANGE_BATCH_S, self._pass_on_changes
            )
        self._changed.add(runner)

    def _pass_on_changes(self) -> None:
        changed, self._changed = self._changed, set()
        assert self._sender is not None
        self._sender.send_readings(
            self._fleet.some_addresses(CHANGE_FANOUT),
            [self.record(runner) for runner in sorted(changed)],
        )
