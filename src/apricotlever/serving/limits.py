"""The limits of all customers, which the VMs keep together."""

import typing

from .. import clock as clocks
from ..contracts import fleet_rate_limit
from ..contracts import limit_keepers

from . import limit_calls
from . import routes


class Permit:
    """What came of asking to let a call in.

    :param wait_s: 0 if it was let in, else the seconds until it may be.
    :param keeper: the VM that counted it; "" for this one.
    """

    __slots__ = ("customer", "units", "wait_s", "keeper")

    def __init__(
        self, customer: str, units: float, wait_s: float, keeper: str = ""
    ) -> None:
        self.customer = customer
        self.units = units
        self.wait_s = wait_s
        self.keeper = keeper


class Limits:
    """The fleet-wide limits of all customers.

    :param clock: of the buckets.
    :param spare: units by which a limit may be exceeded for a while.
    :param overshoot: part of a limit by which it may be exceeded.
    :param process: names this VM's process.
    :param vm: this VM's name.
    """

    __slots__ = (
        "_addresses",
        "_protocol",
        "_clock",
        "_last_totals",
        "_keepers",
        "_overshoot",
        "_liveness",
        "_process",
        "_rates",
        "_spare",
        "_initial_levels",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        spare: float = 0.0,
        overshoot: float = 0.0,
        process: str = "",
        vm: str = "",
    ) -> None:
        self._process = process
        self._clock = clock
        self._keepers = limit_keepers.LimitKeepers(clock, vm)
        #: Where the other VMs that may be keepers are asked.
        self._addresses: dict[str, limit_calls.Address] = {}
        self._protocol: limit_calls.LimitCalls | None = None
        self._spare = spare
        self._overshoot = overshoot
        self._liveness = fleet_rate_limit.MemberLiveness(clock)
        #: The totals that each process told last.
        self._last_totals: dict[str, typing.Mapping[str, float]] = {}
        self._rates: dict[str, fleet_rate_limit.FleetRateLimit] = {}
        #: Levels that came before their customers' limits did.
        self._initial_levels: dict[str, float] = {}

    @property
    def admitted_units(self) -> dict[str, float]:
        """What this VM let in, by customer."""
        return {
            name: _compact_number(rate.admitted_units)
            for name, rate in self._rates.items()
        }

    @property
    def levels(self) -> dict[str, float]:
        """What is left of each limit, as far as this process knows."""
        return {
            name: level
            for name, rate in self._rates.items()
            if (level := rate.level) is not None
        }

    @property
    def usable_fractions(self) -> dict[str, float]:
        """The part of each limit that this VM may count on."""
        return {
            name: rate.usable_fraction for name, rate in self._rates.items()
        }

    def initialize_levels(self, levels: typing.Mapping[str, float]) -> None:
        """Take over what is left of each limit, if it is not known yet."""
        self._initial_levels.update(levels)
        for name, level in levels.items():
            if name in self._rates:
                self._rates[name].initialize_level(level)

    def configure(self, configuration: routes.Configuration) -> None:
        """Take over the limits of a version."""
        for name, customer in configuration.customers.items():
            rate = self._rates.get(name)
            if rate is not None:
                rate.set_limit(customer.rate, customer.burst)
                continue
            rate = fleet_rate_limit.FleetRateLimit(
                self._clock,
                customer.rate,
                customer.burst,
                self._spare,
                self._liveness,
                self._overshoot,
            )
            rate.tick()
            self._rates[name] = rate
            # It has heard no total yet, however old the others' are.
            self._last_totals.clear()
            if name in self._initial_levels:
                rate.initialize_level(self._initial_levels[name])

    def set_members(
        self, processes: frozenset[str], between_s: float = 0.0
    ) -> None:
        """Take over which other processes may let calls in.

        :param between_s: between two records of one of them.
        """
        gone = self._liveness.members - processes
        self._liveness.set_members(processes, between_s)
        for process in gone:
            self._last_totals.pop(process, None)
        silent = self._liveness.silent_count
        for rate in self._rates.values():
            rate.tick(silent)
            for process in gone:
                rate.remove_member(process)

    def receive_totals(
        self, process: str, used: typing.Mapping[str, float]
    ) -> None:
        """Take in what another VM let in."""
        self._liveness.heard(process)
        before = self._last_totals.get(process, {})
        self._last_totals[process] = used
        for name, total in used.items():
            if before.get(name) != total and name in self._rates:
                self._rates[name].receive_total(process, total)

    def receive_relayed_totals(
        self, process: str, used: typing.Mapping[str, float]
    ) -> None:
        """Take in what another VM let in as a third one tells it."""
        for name, total in used.items():
            if name in self._rates:
                self._rates[name].receive_relayed_total(process, total)

    def record_contact(self, processes: typing.Iterable[str]) -> None:
        """Other VMs' processes were heard, by whomever."""
        for process in processes:
            self._liveness.heard(process)

    def enable_keepers(self, calls: limit_calls.LimitCalls) -> None:
        """Ask keepers of limits from now on."""
        self._protocol = calls

    def set_keepers(
        self, others: typing.Mapping[str, limit_calls.Address]
    ) -> None:
        """Take over which other VMs may be keepers, and where they are."""
        self._addresses = dict(others)
        self._keepers.set_other_vms(others)

    async def let_in(self, customer: str, units: float) -> Permit:
        """Let a call in if the customer's limit allows it."""
        rate = self._rates[customer]
        if self._protocol is None or not rate.is_limited:
            return Permit(customer, units, rate.take(units))
        keeper = self._keepers.keeper(customer)
        address = self._addresses.get(keeper)
        if address is None:
            return Permit(customer, units, rate.take(units, for_all=True))
        try:
            kept_s = await self._protocol.take(address, customer, units)
        except TimeoutError:
            self._keepers.record_timeout(keeper)
            kept_s = None
        if kept_s is not None:
            return Permit(customer, units, kept_s, keeper)
        wait_s = rate.take(units)
        self._report_total(customer)
        return Permit(customer, units, wait_s)

    def _report_total(self, customer: str) -> None:
        """Tell what this VM has counted without the keeper's word.

        Records tell it, too, but late: the keeper would let calls in for
        which there is no room.
        """
        address = self._addresses.get(self._keepers.keeper(customer))
        if address is not None and self._protocol is not None:
            used = self._rates[customer].admitted_units
            self._protocol.send_local_total(
                address, self._process, customer, used
            )

    def give_back(self, permit: Permit) -> None:
        """A call that was let in did not run."""
        address = self._addresses.get(permit.keeper)
        if not permit.keeper:
            self.given_back(permit.customer, permit.units)
        elif address is not None and self._protocol is not None:
            self._protocol.send_refund(address, permit.customer, permit.units)

    def take_for(self, customer: str, units: float) -> float | None:
        """Let a call of another VM in, as the keeper of its limit.

        :returns: 0 if it was let in, else the seconds until it may be; None
            when this process does not know what is left.
        """
        rate = self._rates.get(customer)
        if rate is None or rate.level is None:
            return None
        return rate.take(units, for_all=True)

    def given_back(self, customer: str, units: float) -> None:
        """A call that this VM counted did not run."""
        if customer in self._rates:
            self._rates[customer].refund(units)

    def heard_total(self, process: str, customer: str, total: float) -> None:
        """Take in what another VM has counted of one customer."""
        if customer in self._rates:
            self._rates[customer].receive_early_total(process, total)

    def of(self, customer: routes.Customer) -> fleet_rate_limit.FleetRateLimit:
        """The limit of a customer."""
        return self._rates[customer.name]


def _compact_number(units: float) -> float:
    """Whole units as a whole number: three bytes of a record, not nine."""
    return int(units) if units == int(units) else units
