"""This VM's shares of all fleet-wide limits in the catalogue.

A share is the part of a limit that one VM may use. Each VM reports its demand
to the others about every second, and :mod:`.limit_share` computes the shares
of all VMs from these demands.
"""

import enum
import typing

from .. import clock as clocks
from . import limit_share

REPORT_INTERVAL_S = 1.0
#: Seconds after its start from which a process that has heard of no other VM
#: takes itself for the only one.
DISCOVERY_S = 3.0


class LimitKind(enum.Enum):
    """The limits that a catalogue entry may have."""

    CONCURRENT = "concurrent"
    REQUESTS = "requests_per_s"
    TOKENS = "tokens_per_s"
    SPEND = "spend_per_hour"


class Demand:
    """The demand of one VM for one limit of a catalogue entry.

    ``amount`` is in the units of the demand. Only its ratio to the demands of
    the other VMs matters, so a limit on spend takes the demand in tokens.
    """

    __slots__ = ("entry", "kind", "amount")

    def __init__(self, entry: str, kind: LimitKind, amount: float) -> None:
        self.entry = entry
        self.kind = kind
        self.amount = amount


class DemandReport:
    """One VM's demand, sent to the others about every second.

    :param vm: the VM's name.
    :param number: rises with each report of the VM, also across restarts.
    :param demands: the demand for each limit.
    """

    __slots__ = ("vm", "number", "demands")

    def __init__(
        self, vm: str, number: int, demands: tuple[Demand, ...]
    ) -> None:
        self.vm = vm
        self.number = number
        self.demands = demands


LimitKey = tuple[str, LimitKind]


class FleetShares:
    """This VM's shares of every limit in the catalogue.

    :param clock: the source of time.
    :param vm: this VM's name.
    """

    __slots__ = (
        "_clock",
        "_has_met_others",
        "_members",
        "_number",
        "_reported_at",
        "_shares",
        "_started_at",
        "_vm",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._started_at = clock.now()
        self._has_met_others = False
        self._members: frozenset[str] = frozenset({vm})
        self._number = int(clock.wall() * 1000)
        self._reported_at = float("-inf")
        self._shares: dict[LimitKey, limit_share.LimitShare] = {}

    @property
    def members(self) -> frozenset[str]:
        """The names of the VMs that share the limits."""
        return self._members

    def set_limits(self, limits: typing.Mapping[LimitKey, float]) -> None:
        """Set the limits of the whole fleet, by entry and kind."""
        for gone in set(self._shares) - set(limits):
            del self._shares[gone]
        for key, limit in limits.items():
            share = self._shares.get(key)
            if share is not None:
                share.set_limit(limit)
                continue
            name = f"{key[0]} {key[1].value}"
            share = limit_share.LimitShare(self._clock, self._vm, limit, name)
            share.set_members(self._members)
            self._shares[key] = share

    def set_members(self, members: typing.Iterable[str]) -> None:
        """Set which VMs are in the fleet and split the limits.

        A VM that is missing here may still run behind a broken link, so its
        share stays reserved for some time.

        :param members: the names of the VMs, this one included.
        """
        self._members = frozenset(members)
        self._has_met_others |= len(self._members) > 1
        for share in self._shares.values():
            share.set_members(self._members)

    def remove_member(self, vm: str) -> None:
        """Remove a VM that has certainly ended, which frees its shares."""
        self._members -= {vm}
        for share in self._shares.values():
            share.remove_member(vm)

    def receive(self, report: DemandReport, age_s: float = 0.0) -> None:
        """Apply another VM's demand to the shares.

        :param report: the report of that VM.
        :param age_s: seconds since the report was made.
        """
        for demand in report.demands:
            share = self._shares.get((demand.entry, demand.kind))
            if share is not None:
                share.receive(report.vm, demand.amount, report.number, age_s)

    def report(
        self, demands: typing.Mapping[LimitKey, float]
    ) -> DemandReport | None:
        """Announce this VM's demand if a report is due.

        :param demands: the demand by entry and kind of limit.
        :returns: the report to send to the fleet; None if none is due.
        """
        now = self._clock.now()
        if not self._shares or now - self._reported_at < REPORT_INTERVAL_S:
            return None
        self._reported_at = now
        self._number += 1
        reported = []
        for key, share in self._shares.items():
            amount = demands.get(key, 0.0)
            share.announce(amount)
            reported.append(Demand(*key, amount))
        return DemandReport(self._vm, self._number, tuple(reported))

    def amount(self, entry: str, kind: LimitKind) -> float | None:
        """Return this VM's share of a limit; None if there is no limit."""
        share = self._shares.get((entry, kind))
        return share.amount if share else None

    def units(self, entry: str, kind: LimitKind) -> int | None:
        """Return this VM's share in whole units; None without a limit.

        The whole units of all VMs sum to the limit if their shares do.
        """
        share = self._shares.get((entry, kind))
        return share.whole_units if share else None

    def has_limits(self, entry: str) -> bool:
        """Whether an entry has any limit."""
        return any(name == entry for name, _ in self._shares)

    @property
    def unknown_for_s(self) -> float:
        """Seconds until the shares are known at the latest; 0 if they are.

        They are once this process has heard of another VM, or must be alone.
        If all VMs start at once, each would take the whole of each limit
        before.
        """
        if self._has_met_others:
            return 0.0
        return max(0.0, self._started_at + DISCOVERY_S - self._clock.now())
