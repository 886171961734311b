"""Rate limits of all customers, enforced by all VMs of the fleet together.

A limit counts units, calls or tokens, of which each call uses a number. The
level of a limit is the number of units left. The total of a process is the
number of units that it has admitted for a customer since it started; each VM
sends its totals to the other VMs in its status records, and charges the limits
with theirs.

The keeper of a limit is the VM that admits calls against the limit for all VMs
that can reach it, so that calls are admitted in the order in which they
arrive.
"""

import typing

from .. import clock as clocks
from ..contracts import fleet_rate_limit
from ..contracts import limit_keepers
from ..contracts import return_slots

from . import configuration_model
from . import limit_protocol
from . import modes


class AdmissionResult:
    """The decision of a customer's limit on one call.

    :param customer: name of the customer.
    :param units: the units of the call.
    :param wait_s: 0 if the call was admitted, else the seconds until it may
        be admitted.
    :param keeper: name of the VM that counted the call; "" if this VM did.
    """

    __slots__ = ("customer", "units", "wait_s", "keeper")

    def __init__(
        self, customer: str, units: float, wait_s: float, keeper: str = ""
    ) -> None:
        self.customer = customer
        self.units = units
        self.wait_s = wait_s
        self.keeper = keeper


class CustomerLimits:
    """This VM's side of the fleet-wide limits of all customers.

    :param clock: the time source of the token buckets.
    :param slack: units by which a limit may be exceeded temporarily.
    :param overshoot: fraction of a limit by which it may be exceeded at any
        time.
    :param process: the name of this VM's process.
    :param vm: this VM's name.
    :param returns: the mode of the part ``returns``, which gives refused
        calls retry times at which units are reserved for them.
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
        "_return_counts",
        "_return_slots",
        "_returns",
        "_silent_count",
        "_slack",
        "_initial_levels",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        slack: float = 0.0,
        overshoot: float = 0.0,
        process: str = "",
        vm: str = "",
        returns: modes.Mode = modes.Mode.ON,
    ) -> None:
        self._returns = returns
        self._return_counts = return_slots.ReturnCounts()
        #: Retry times by customer, of the limits that this VM keeps.
        self._return_slots: dict[str, return_slots.ReturnSlots] = {}
        self._process = process
        self._clock = clock
        self._keepers = limit_keepers.LimitKeepers(clock, vm)
        #: Addresses of the other VMs that may be keepers of limits, by name.
        self._addresses: dict[str, limit_protocol.Address] = {}
        self._protocol: limit_protocol.LimitProtocol | None = None
        self._slack = slack
        self._overshoot = overshoot
        self._liveness = fleet_rate_limit.MemberLiveness(clock)
        #: How many processes were silent when the members were last set.
        self._silent_count = 0
        #: The latest totals of each other VM's process, by customer.
        self._last_totals: dict[str, typing.Mapping[str, float]] = {}
        self._rates: dict[str, fleet_rate_limit.FleetRateLimit] = {}
        #: Levels received from other processes, kept for customers whose
        #: limits are not configured yet.
        self._initial_levels: dict[str, float] = {}

    @property
    def admitted_units(self) -> dict[str, float]:
        """This process's total of each customer, for its status records."""
        return {
            name: _compact_number(rate.admitted_units)
            for name, rate in self._rates.items()
        }

    @property
    def levels(self) -> dict[str, float]:
        """Units left of each limit, without limits of unknown level."""
        return {
            name: level
            for name, rate in self._rates.items()
            if (level := rate.level) is not None
        }

    @property
    def usable_fractions(self) -> dict[str, float]:
        """The fraction of each limit that this VM may use, by customer.

        The rest is reserved for VMs that have fallen silent, as these may
        still admit calls.
        """
        return {
            name: rate.usable_fraction for name, rate in self._rates.items()
        }

    @property
    def return_metrics(self) -> typing.Mapping[str, float]:
        """Counts of the retry times that this VM gave, by metric."""
        return return_slots.counts_metrics(self._return_counts)

    @property
    def heard_share(self) -> float:
        """The part of the fleet's processes that this VM hears from.

        A process that has just started hears from none and assumes a fleet
        (see :data:`.fleet_rate_limit.ASSUMED_FLEET_SIZE`).
        """
        return self._liveness.heard_share(self._silent_count)

    def initialize_levels(self, levels: typing.Mapping[str, float]) -> None:
        """Set the levels of limits whose level this VM does not know yet.

        A process that starts does not know what was admitted before. Known
        levels don't change.

        :param levels: units left of each limit, by customer, according to
            another VM or the checkpoint in the store.
        """
        self._initial_levels.update(levels)
        for name, level in levels.items():
            if name in self._rates:
                self._rates[name].initialize_level(level)

    def configure(
        self, configuration: configuration_model.Configuration
    ) -> None:
        """Apply the customers' limits of a configuration."""
        for name, customer in configuration.customers.items():
            rate = self._rates.get(name)
            if rate is not None:
                rate.set_limit(customer.rate, customer.burst)
                continue
            rate = fleet_rate_limit.FleetRateLimit(
                self._clock,
                customer.rate,
                customer.burst,
                self._slack,
                self._liveness,
                self._overshoot,
            )
            rate.tick()
            self._rates[name] = rate
            # The new limit has not received any totals yet, so totals that
            # other processes sent earlier must not count as unchanged.
            self._last_totals.clear()
            if name in self._initial_levels:
                rate.initialize_level(self._initial_levels[name])

    def set_members(
        self, processes: frozenset[str], between_s: float = 0.0
    ) -> None:
        """Set which processes of other VMs may admit calls against the limits.

        While one of them is silent, its share of each limit is reserved for
        it. The totals of processes that are not included any more are dropped.
        The caller calls this several times a second.

        :param processes: the names of the processes, silent ones included.
        :param between_s: mean time between two records of one process, in
            seconds, which determines when a process counts as silent.
        """
        gone = self._liveness.members - processes
        self._liveness.set_members(processes, between_s)
        for process in gone:
            self._last_totals.pop(process, None)
        self._silent_count = silent = self._liveness.silent_count
        for rate in self._rates.values():
            rate.tick(silent)
            for process in gone:
                rate.remove_member(process)

    def receive_totals(
        self, process: str, used: typing.Mapping[str, float]
    ) -> None:
        """Charge the limits with the totals in another VM's status record.

        :param process: the other VM's process.
        :param used: admitted units by customer since the process started.
        """
        self._liveness.heard(process)
        before = self._last_totals.get(process, {})
        self._last_totals[process] = used
        for name, total in used.items():
            if before.get(name) != total and name in self._rates:
                self._rates[name].receive_total(process, total)

    def receive_relayed_totals(
        self, process: str, used: typing.Mapping[str, float]
    ) -> None:
        """Charge the limits with another VM's totals that a third VM relays.

        A relayed total may be outdated, so lower ones than known are ignored.

        :param process: the process that admitted the units.
        :param used: admitted units by customer since the process started.
        """
        for name, total in used.items():
            if name in self._rates:
                self._rates[name].receive_relayed_total(process, total)

    def record_contact(self, processes: typing.Iterable[str]) -> None:
        """Record that an aggregator has heard from processes of other VMs.

        A process without contact for too long counts as silent, and its share
        of each limit is then reserved for it.

        :param processes: the names of the processes.
        """
        for process in processes:
            self._liveness.heard(process)

    def enable_keepers(self, protocol: limit_protocol.LimitProtocol) -> None:
        """From now on, have the keepers of the limits decide on calls.

        :param protocol: sends the requests to the keepers.
        """
        self._protocol = protocol

    def set_keepers(
        self, others: typing.Mapping[str, limit_protocol.Address]
    ) -> None:
        """Set which other VMs may be keepers of limits.

        Rendezvous hashing of a customer's name selects the keeper of its limit
        among these VMs and this one.

        :param others: addresses for requests to these VMs, by VM name.
        """
        self._addresses = dict(others)
        self._keepers.set_other_vms(others)

    def recognises_returns(self, customer: str) -> bool:
        """Whether the keeper wants to recognise the retries of a customer."""
        return (
            self._returns is not modes.Mode.OFF
            and self._rates[customer].is_limited
        )

    async def admit(
        self,
        customer: str,
        units: float,
        call: return_slots.ReturningCall | None = None,
    ) -> AdmissionResult:
        """Admit a call of a customer if the customer's limit allows it.

        The limit's keeper decides. If the keeper can't, or does not answer in
        time, this VM decides by itself.

        :param units: the units of the call.
        :param call: how the keeper recognises the call's retry; None if it
            need not.
        """
        rate = self._rates[customer]
        if self._protocol is None or not rate.is_limited:
            return AdmissionResult(customer, units, rate.take(units))
        keeper = self._keepers.keeper(customer)
        address = self._addresses.get(keeper)
        if address is None:
            return AdmissionResult(
                customer, units, self._decide(customer, units, call)
            )
        try:
            keeper_wait_s = await self._protocol.request_admission(
                address, customer, units, call
            )
        except TimeoutError:
            self._keepers.record_timeout(keeper)
            keeper_wait_s = None
        if keeper_wait_s is not None:
            return AdmissionResult(customer, units, keeper_wait_s, keeper)
        wait_s = rate.take(units)
        self._report_total(customer)
        return AdmissionResult(customer, units, wait_s)

    def _report_total(self, customer: str) -> None:
        """Send the keeper of a limit this VM's total, after it decided itself.

        This VM's status records contain the total as well, but arrive later.
        Until then the keeper would admit calls that exceed the limit.
        """
        address = self._addresses.get(self._keepers.keeper(customer))
        if address is not None and self._protocol is not None:
            used = self._rates[customer].admitted_units
            self._protocol.send_local_total(
                address, self._process, customer, used
            )

    def refund(self, admission: AdmissionResult) -> None:
        """Refund the units of an admitted call that did not run.

        If another VM counted the call as keeper, it is told to refund them.
        """
        address = self._addresses.get(admission.keeper)
        if not admission.keeper:
            self.refund_units(admission.customer, admission.units)
        elif address is not None and self._protocol is not None:
            self._protocol.send_refund(
                address, admission.customer, admission.units
            )

    def admit_for_peer(
        self,
        customer: str,
        units: float,
        call: return_slots.ReturningCall | None = None,
    ) -> float | None:
        """Decide on a call of another VM, as the keeper of the limit.

        :param units: the units of the call.
        :param call: how the call's retry is recognised; None if the other VM
            does not tell.
        :returns: 0 if the call was admitted, else the seconds until it may
            be admitted; None if this process does not know the limit's level.
        """
        rate = self._rates.get(customer)
        if rate is None or rate.level is None:
            return None
        return self._decide(customer, units, call)

    def _decide(
        self,
        customer: str,
        units: float,
        call: return_slots.ReturningCall | None,
    ) -> float:
        """Decide on a call as the keeper of its limit; see :meth:`admit`."""
        rate = self._rates[customer]
        if self._returns is modes.Mode.OFF:
            return rate.take(units, for_all=True)
        slots = self._return_slots.get(customer)
        if slots is None:
            slots = self._return_slots[customer] = return_slots.ReturnSlots(
                self._clock, self._return_counts
            )
        if self._returns is modes.Mode.ON:
            return slots.admit(rate, units, call)
        wait_s = rate.take(units, for_all=True)
        slots.observe(rate, units, call, wait_s)
        return wait_s

    def refund_units(self, customer: str, units: float) -> None:
        """Refund the units of a call that this VM counted.

        The call was admitted, but did not run.
        """
        if customer in self._rates:
            self._rates[customer].refund(units)

    def receive_early_total(
        self, process: str, customer: str, total: float
    ) -> None:
        """Charge a limit with another VM's total that overtook its records.

        :param process: the other VM's process.
        :param total: units that the process has admitted for the customer
            since it started.
        """
        if customer in self._rates:
            self._rates[customer].receive_early_total(process, total)

    def rate_limit(
        self, customer: configuration_model.Customer
    ) -> fleet_rate_limit.FleetRateLimit:
        """This VM's instance of a customer's limit."""
        return self._rates[customer.name]


def _compact_number(units: float) -> float:
    """Convert a whole number of units to an integer.

    In a status record, an integer takes three bytes instead of nine.
    """
    return int(units) if units == int(units) else units
