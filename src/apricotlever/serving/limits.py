"""The limits of all customers, which the VMs keep together."""

import typing

from .. import clock as clocks
from ..contracts import fleet_rate

from . import routes


class Limits:
    """The fleet-wide limits of all customers.

    :param clock: of the buckets.
    :param spare: units by which a limit may be exceeded for a while.
    :param overshoot: part of a limit by which it may be exceeded.
    """

    __slots__ = (
        "_clock",
        "_heard",
        "_overshoot",
        "_presence",
        "_rates",
        "_spare",
        "_told",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        spare: float = 0.0,
        overshoot: float = 0.0,
    ) -> None:
        self._clock = clock
        self._spare = spare
        self._overshoot = overshoot
        self._presence = fleet_rate.Presence(clock)
        #: The totals that each process told last.
        self._heard: dict[str, typing.Mapping[str, float]] = {}
        self._rates: dict[str, fleet_rate.FleetRate] = {}
        #: Levels that came before their customers' limits did, and for how
        #: long nothing had been let in since.
        self._told: dict[str, tuple[float, float]] = {}

    @property
    def used(self) -> dict[str, float]:
        """What this VM let in, by customer."""
        return {name: _short(rate.used) for name, rate in self._rates.items()}

    @property
    def levels(self) -> dict[str, float]:
        """What is left of each limit, as far as this process knows."""
        return {
            name: level
            for name, rate in self._rates.items()
            if (level := rate.level) is not None
        }

    @property
    def parts(self) -> dict[str, float]:
        """The part of each limit that this VM may count on."""
        return {name: rate.part for name, rate in self._rates.items()}

    def learn(
        self, levels: typing.Mapping[str, float], quiet_s: float = 0.0
    ) -> None:
        """Take over what is left of each limit, if it is not known yet.

        :param quiet_s: for how long nobody has let anything in since.
        """
        for name, level in levels.items():
            self._told[name] = (level, quiet_s)
            if name in self._rates:
                self._rates[name].learn(level, quiet_s)

    def configure(self, configuration: routes.Configuration) -> None:
        """Take over the limits of a version."""
        for name, customer in configuration.customers.items():
            rate = self._rates.get(name)
            if rate is not None:
                rate.set_limit(customer.rate, customer.burst)
                continue
            rate = fleet_rate.FleetRate(
                self._clock,
                customer.rate,
                customer.burst,
                self._spare,
                self._presence,
                self._overshoot,
            )
            rate.tick()
            self._rates[name] = rate
            # It has heard no total yet, however old the others' are.
            self._heard.clear()
            if name in self._told:
                rate.learn(*self._told[name])

    def set_members(
        self, processes: frozenset[str], between_s: float = 0.0
    ) -> None:
        """Take over which other processes may let calls in.

        :param between_s: between two records of one of them.
        """
        gone = self._presence.members - processes
        self._presence.set_members(processes, between_s)
        for process in gone:
            self._heard.pop(process, None)
        silent = self._presence.silent
        for rate in self._rates.values():
            rate.tick(silent)
            for process in gone:
                rate.forget(process)

    def heard(self, process: str, used: typing.Mapping[str, float]) -> None:
        """Take in what another VM let in."""
        self._presence.heard(process)
        before = self._heard.get(process, {})
        self._heard[process] = used
        for name, total in used.items():
            if before.get(name) != total and name in self._rates:
                self._rates[name].heard(process, total)

    def of(self, customer: routes.Customer) -> fleet_rate.FleetRate:
        """The limit of a customer."""
        return self._rates[customer.name]


def _short(units: float) -> float:
    """Whole units as a whole number: three bytes of a record, not nine."""
    return int(units) if units == int(units) else units
