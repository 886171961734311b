"""This VM's shares of all limits that hold for the whole fleet."""

import enum
import typing

from .. import clock as clocks
from . import shares

REPORT_S = 1.0


class LimitKind(enum.Enum):
    """The limits that a catalogue entry may have."""

    CONCURRENT = "concurrent"
    REQUESTS = "requests_per_s"
    TOKENS = "tokens_per_s"
    SPEND = "spend_per_hour"


class Demand:
    """What callers ask of one limited entry at one VM."""

    __slots__ = ("entry", "kind", "amount")

    def __init__(self, entry: str, kind: LimitKind, amount: float) -> None:
        self.entry = entry
        self.kind = kind
        self.amount = amount


class DemandReport:
    """One VM's demand, told to the others about each second.

    :param number: rises with each report of the VM, over restarts too.
    """

    __slots__ = ("vm", "number", "demands")

    def __init__(
        self, vm: str, number: int, demands: tuple[Demand, ...]
    ) -> None:
        self.vm = vm
        self.number = number
        self.demands = demands


Key = tuple[str, LimitKind]


class FleetShares:
    """The shares of every limit in the catalogue.

    :param vm: this VM's name.
    """

    __slots__ = (
        "_clock",
        "_members",
        "_number",
        "_reported_at",
        "_shares",
        "_vm",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._members: frozenset[str] = frozenset({vm})
        self._number = int(clock.wall() * 1000)
        self._reported_at = float("-inf")
        self._shares: dict[Key, shares.Share] = {}

    @property
    def members(self) -> frozenset[str]:
        """The VMs that share the limits."""
        return self._members

    def set_limits(self, limits: typing.Mapping[Key, float]) -> None:
        """Take over the limits in force."""
        for gone in set(self._shares) - set(limits):
            del self._shares[gone]
        for key, limit in limits.items():
            known = self._shares.get(key)
            if known is not None:
                known.set_limit(limit)
                continue
            name = f"{key[0]} {key[1].value}"
            share = shares.Share(self._clock, self._vm, limit, name)
            share.set_members(self._members)
            self._shares[key] = share

    def set_members(self, members: typing.Iterable[str]) -> None:
        """Take over which VMs are in the fleet."""
        self._members = frozenset(members)
        for share in self._shares.values():
            share.set_members(self._members)

    def left(self, vm: str) -> None:
        """A VM has ended for certain."""
        self._members -= {vm}
        for share in self._shares.values():
            share.left(vm)

    def receive(self, report: DemandReport, age_s: float = 0.0) -> None:
        """Take in the demand of another VM."""
        for demand in report.demands:
            share = self._shares.get((demand.entry, demand.kind))
            if share is not None:
                share.receive(report.vm, demand.amount, report.number, age_s)

    def report(
        self, demands: typing.Mapping[Key, float]
    ) -> DemandReport | None:
        """Announce this VM's demand when it is time to.

        :returns: the report to spread, None when the last one will do.
        """
        now = self._clock.now()
        if not self._shares or now - self._reported_at < REPORT_S:
            return None
        self._reported_at = now
        self._number += 1
        told = []
        for key, share in self._shares.items():
            amount = demands.get(key, 0.0)
            share.announce(amount)
            told.append(Demand(*key, amount))
        return DemandReport(self._vm, self._number, tuple(told))

    def amount(self, entry: str, kind: LimitKind) -> float | None:
        """This VM's share of a limit, None when there is no limit."""
        share = self._shares.get((entry, kind))
        return share.amount if share else None

    def units(self, entry: str, kind: LimitKind) -> int | None:
        """The same in whole units."""
        share = self._shares.get((entry, kind))
        return share.units if share else None
