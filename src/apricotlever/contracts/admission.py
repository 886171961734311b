"""Decides which requests an entry VM takes, when, and which it refuses."""

import random
import typing

from .. import clock as clocks
from ..catalogue import model as catalogue_model
from . import entry_limits
from . import fleet_shares
from . import gate
from ..runners import model as runner_model
from . import spend
from . import tickets

Ticket = tickets.Ticket
Admitted = tickets.Admitted
Refused = tickets.Refused
Reason = tickets.Reason
Verdict = tickets.Verdict

UNKNOWN_RETRY_S = 5.0


class Pool:
    """What admission knows of a pool of runners.

    :param slots: of all its runners that take work.
    :param price_per_slot_hour: their average.
    """

    __slots__ = ("slots", "price_per_slot_hour")

    def __init__(self, slots: int, price_per_slot_hour: float) -> None:
        self.slots = slots
        self.price_per_slot_hour = price_per_slot_hour


class Admission:
    """Queues, limits and shares of one entry VM.

    :param vm: this VM's name in the reports of demand.
    """

    __slots__ = (
        "_catalogue",
        "_classes",
        "_clock",
        "_entries",
        "_gates",
        "_last_report",
        "_pools",
        "_requests",
        "_rng",
        "_shares",
        "_spending",
    )

    def __init__(
        self, clock: clocks.Clock, rng: random.Random, vm: str = ""
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._catalogue = catalogue_model.EMPTY
        #: Classes that left the catalogue stay known to their requests.
        self._classes: dict[str, catalogue_model.ServiceClass] = {}
        self._spending = spend.SpendMeter(clock)
        self._shares = fleet_shares.FleetShares(clock, vm)
        self._entries: dict[str, entry_limits.EntryLimits] = {}
        self._gates: dict[str, gate.Gate] = {}
        self._pools: dict[str, Pool] = {}
        #: The pool of each request that waits or is in flight.
        self._requests: dict[str, str] = {}
        self._last_report: fleet_shares.DemandReport | None = None

    @property
    def shares(self) -> fleet_shares.FleetShares:
        """This VM's shares of the fleet's limits."""
        return self._shares

    @property
    def spending(self) -> spend.SpendMeter:
        """The costs by customer and entry."""
        return self._spending

    @property
    def gates(self) -> typing.Mapping[str, gate.Gate]:
        """The gate of each pool that has been asked for."""
        return self._gates

    def configure(self, catalogue: catalogue_model.Catalogue) -> None:
        """Take over a catalogue; requests that wait or run stay."""
        self._catalogue = catalogue
        self._classes.update(catalogue.classes)
        kinds = fleet_shares.LimitKind
        self._shares.set_limits(
            {
                (name, kind): limit
                for name, entry in catalogue.entries.items()
                for kind in kinds
                if (limit := getattr(entry.limits, kind.value)) is not None
            }
        )
        weights = {c.name: c.weight for c in catalogue.customers.values()}
        for a_gate in self._gates.values():
            a_gate.set_weights(weights)
        self._apply_shares()
        self._size_gates()

    def set_pool(
        self, pool: str, slots: int, price_per_slot_hour: float = 0.0
    ) -> None:
        """Tell the size and price of a pool as it is now.

        Until told, the catalogue's largest size is assumed.
        """
        self._pools[pool] = Pool(slots, price_per_slot_hour)
        if pool in self._gates:
            self._gates[pool].set_slots(slots, len(self._shares.members))

    def set_members(self, vms: typing.Iterable[str]) -> None:
        """Tell which entry VMs are in the fleet, this one included."""
        self._shares.set_members(vms)
        self._apply_shares()
        self._size_gates()

    def offer(self, ticket: Ticket) -> list[Verdict]:
        """Ask for a request to be admitted.

        :returns: verdicts on this request, when there is one at once, and
            on requests that it displaced.
        """
        entry = self._catalogue.entries.get(ticket.entry)
        if (
            entry is None
            or ticket.service_class not in self._catalogue.classes
        ):
            return [
                Refused(
                    ticket.request_id, Reason.UNKNOWN_ENTRY, UNKNOWN_RETRY_S
                )
            ]
        self._limits(ticket.entry).offered(ticket.tokens)
        self._requests[ticket.request_id] = entry.pool
        return self._settled(self._gate(entry.pool).offer(ticket))

    def first_token(self, request_id: str) -> None:
        """Tell that the first token of an answer has come."""
        pool = self._requests.get(request_id)
        if pool is not None:
            self._gates[pool].first_token(request_id)

    def finished(
        self,
        request_id: str,
        outcome: runner_model.Outcome,
        tokens: float | None = None,
        cost: float | None = None,
    ) -> list[Verdict]:
        """Tell that an admitted request has ended.

        :param tokens: of prompt and answer, None when not known.
        :param cost: None to take the pool's average price.
        :returns: verdicts on requests that its end lets in.
        """
        pool = self._requests.pop(request_id, None)
        if pool is None:
            return []
        a_gate = self._gates[pool]
        request = a_gate.finished(request_id, outcome)
        if request is None:
            a_gate.remove(request_id)
            return []
        ticket = request.ticket
        self._limits(ticket.entry).finished(ticket.tokens, tokens)
        if cost is None:
            cost = self._average_cost(pool, request.admitted_at)
        self._spending.spent(ticket.customer, ticket.entry, cost)
        return self._settled(a_gate.dispatch())

    def withdraw(self, request_id: str) -> list[Verdict]:
        """Tell that a caller has gone, wherever its request stands."""
        return self.finished(request_id, runner_model.Outcome.CANCELLED)

    def tick(self) -> list[Verdict]:
        """Settle what time has decided; call about ten times a second."""
        self._report()
        verdicts = [
            verdict
            for a_gate in self._gates.values()
            for verdict in a_gate.refresh()
        ]
        return self._settled(verdicts)

    def take_report(self) -> fleet_shares.DemandReport | None:
        """The newest report of demand that was not taken yet, to spread."""
        report = self._last_report
        self._last_report = None
        return report

    def _settled(self, verdicts: list[Verdict]) -> list[Verdict]:
        for verdict in verdicts:
            if isinstance(verdict, Refused):
                self._requests.pop(verdict.request_id, None)
        return verdicts

    def _limits(self, entry: str) -> entry_limits.EntryLimits:
        limits = self._entries.get(entry)
        if limits is None:
            limits = entry_limits.EntryLimits(
                self._clock, entry, self._spending
            )
            self._entries[entry] = limits
            self._apply_share(entry, limits)
        return limits

    def _gate(self, pool: str) -> gate.Gate:
        known = self._gates.get(pool)
        if known is not None:
            return known
        made = gate.Gate(
            self._clock, self._rng, self._limits, self._service_class
        )
        customers = self._catalogue.customers.values()
        made.set_weights({c.name: c.weight for c in customers})
        made.set_slots(self._slots(pool), len(self._shares.members))
        self._gates[pool] = made
        return made

    def _service_class(self, name: str) -> catalogue_model.ServiceClass:
        return self._classes[name]

    def _slots(self, pool: str) -> int:
        if pool in self._pools:
            return self._pools[pool].slots
        return sum(
            entry.capacity.max_runners * entry.capacity.slots_per_runner
            for entry in self._catalogue.entries.values()
            if entry.pool == pool
        )

    def _size_gates(self) -> None:
        for pool, a_gate in self._gates.items():
            a_gate.set_slots(self._slots(pool), len(self._shares.members))

    def _average_cost(self, pool: str, admitted_at: float) -> float:
        known = self._pools.get(pool)
        if known is None:
            return 0.0
        held_s = self._clock.now() - admitted_at
        return spend.cost_of(known.price_per_slot_hour, 1, held_s)

    def _apply_shares(self) -> None:
        for entry, limits in self._entries.items():
            self._apply_share(entry, limits)

    def _apply_share(
        self, entry: str, limits: entry_limits.EntryLimits
    ) -> None:
        kinds = fleet_shares.LimitKind
        limits.set_limits(
            self._shares.units(entry, kinds.CONCURRENT),
            self._shares.amount(entry, kinds.REQUESTS),
            self._shares.amount(entry, kinds.TOKENS),
            self._shares.amount(entry, kinds.SPEND),
        )

    def _report(self) -> None:
        waiting: dict[str, int] = {}
        for a_gate in self._gates.values():
            for queued in a_gate.queue:
                entry = queued.ticket.entry
                waiting[entry] = waiting.get(entry, 0) + 1
        kinds = fleet_shares.LimitKind
        demands: dict[fleet_shares.Key, float] = {}
        for entry, limits in self._entries.items():
            wanted = limits.in_flight + waiting.get(entry, 0)
            demands[entry, kinds.CONCURRENT] = float(wanted)
            demands[entry, kinds.REQUESTS] = limits.requests_demand
            demands[entry, kinds.TOKENS] = limits.tokens_demand
            demands[entry, kinds.SPEND] = limits.tokens_demand
        report = self._shares.report(demands)
        if report is not None:
            self._last_report = report
            self._apply_shares()
