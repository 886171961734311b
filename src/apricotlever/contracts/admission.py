"""Decides which requests an entry VM admits and when, and which it refuses.

A request asks for admission by a ticket. Each ticket gets one verdict, at once
or after a wait in the queue of its pool: it is admitted, and the request may
be sent to a runner, or it is refused. The module does no I/O; its caller
passes the events in and carries the verdicts out.
"""

import random
import typing

from .. import clock as clocks
from ..catalogue import model as catalogue_model
from . import entry_limits
from . import fleet_shares
from . import pool_admission
from ..runners import model as runner_model
from . import spend_meter
from . import tickets

Ticket = tickets.Ticket
Admitted = tickets.Admitted
Refused = tickets.Refused
RefusalReason = tickets.RefusalReason
Verdict = tickets.Verdict

#: Retry delay in seconds for a request whose entry or service class is not in
#: the catalogue.
UNKNOWN_ENTRY_RETRY_S = 5.0


class PoolCapacity:
    """The size and price of a pool of runners.

    A slot is room for one request that a runner processes concurrently.

    :param slots: slots of all runners of the pool that accept new work.
    :param price_per_slot_hour: average price of a slot per hour, in the
        currency of the cloud API's prices.
    """

    __slots__ = ("slots", "price_per_slot_hour")

    def __init__(self, slots: int, price_per_slot_hour: float) -> None:
        self.slots = slots
        self.price_per_slot_hour = price_per_slot_hour


class AdmissionController:
    """Decides on all requests of one entry VM.

    It holds a queue and a concurrency limit for each pool, the limits of
    each catalogue entry, and this VM's shares of the fleet-wide limits.

    :param clock: the source of time.
    :param rng: the source of the jitter in retry delays.
    :param vm: this VM's name in its demand reports.
    """

    __slots__ = (
        "_catalogue",
        "_classes",
        "_clock",
        "_limits_by_entry",
        "_pool_admissions",
        "_pending_report",
        "_pools",
        "_pool_by_request",
        "_rng",
        "_fleet_shares",
        "_shares_were_known",
        "_started_at",
        "_spend_meter",
    )

    def __init__(
        self, clock: clocks.Clock, rng: random.Random, vm: str = ""
    ) -> None:
        self._clock = clock
        self._started_at = clock.now()
        self._rng = rng
        self._catalogue = catalogue_model.EMPTY
        #: Classes by name. Classes that were removed from the catalogue stay
        #: here for the requests that still use them.
        self._classes: dict[str, catalogue_model.ServiceClass] = {}
        self._spend_meter = spend_meter.SpendMeter(clock)
        self._fleet_shares = fleet_shares.FleetShares(clock, vm)
        self._limits_by_entry: dict[str, entry_limits.EntryLimits] = {}
        self._pool_admissions: dict[str, pool_admission.PoolAdmission] = {}
        self._pools: dict[str, PoolCapacity] = {}
        #: The pool of each request that is queued or in flight.
        self._pool_by_request: dict[str, str] = {}
        self._pending_report: fleet_shares.DemandReport | None = None
        self._shares_were_known = False

    @property
    def shares(self) -> fleet_shares.FleetShares:
        """This VM's shares of the fleet-wide limits."""
        return self._fleet_shares

    @property
    def spend_meter(self) -> spend_meter.SpendMeter:
        """The meter of costs by customer and entry."""
        return self._spend_meter

    @property
    def pool_admissions(
        self,
    ) -> typing.Mapping[str, pool_admission.PoolAdmission]:
        """The admission state of each pool that has had a request."""
        return self._pool_admissions

    def configure(self, catalogue: catalogue_model.Catalogue) -> None:
        """Apply a new catalogue, with its limits and the customers' weights.

        Queued and running requests are kept.
        """
        self._catalogue = catalogue
        self._classes.update(catalogue.classes)
        kinds = fleet_shares.LimitKind
        self._fleet_shares.set_limits(
            {
                (name, kind): limit
                for name, entry in catalogue.entries.items()
                for kind in kinds
                if (limit := getattr(entry.limits, kind.value)) is not None
            }
        )
        weights = {c.name: c.weight for c in catalogue.customers.values()}
        for admission in self._pool_admissions.values():
            admission.set_weights(weights)
        self._apply_shares()
        self._resize_pools()

    def set_pool(
        self, pool: str, slots: int, price_per_slot_hour: float = 0.0
    ) -> None:
        """Set the current size and price of a pool.

        Before the first call, the pool is assumed to have the largest size
        that the catalogue allows.

        :param pool: the name of the pool.
        :param slots: slots of all its runners that accept new work.
        :param price_per_slot_hour: average price of a slot per hour.
        """
        self._pools[pool] = PoolCapacity(slots, price_per_slot_hour)
        if pool in self._pool_admissions:
            self._pool_admissions[pool].set_slots(
                slots, len(self._fleet_shares.members)
            )

    def set_members(self, vms: typing.Iterable[str]) -> None:
        """Set which entry VMs are in the fleet, this one included.

        The fleet-wide limits are split among these VMs. Their number also
        determines the least concurrency limit of each pool on this VM.
        """
        self._fleet_shares.set_members(vms)
        self._apply_shares()
        self._resize_pools()

    def offer(self, ticket: Ticket) -> list[Verdict]:
        """Ask for the admission of a request.

        A ticket without a verdict waits in the queue of its pool; a later
        call of this object returns its verdict.

        :returns: the verdict on this request if there is one at once, and
            the verdicts on queued requests that can start or are refused as
            a consequence.
        """
        entry = self._catalogue.entries.get(ticket.entry)
        if (
            entry is None
            or ticket.service_class not in self._catalogue.classes
        ):
            return [
                Refused(
                    ticket.request_id,
                    RefusalReason.UNKNOWN_ENTRY,
                    UNKNOWN_ENTRY_RETRY_S,
                )
            ]
        self._entry_limits(ticket.entry).record_demand(ticket.tokens)
        self._pool_by_request[ticket.request_id] = entry.pool
        return self._drop_refused(
            self._pool_admission(entry.pool).offer(ticket)
        )

    def first_token(self, request_id: str) -> None:
        """Note that the first token of an answer arrived.

        The time that it took adjusts the concurrency limit of the pool.
        """
        pool = self._pool_by_request.get(request_id)
        if pool is not None:
            self._pool_admissions[pool].record_first_token(request_id)

    def finished(
        self,
        request_id: str,
        outcome: runner_model.Outcome,
        tokens: float | None = None,
        cost: float | None = None,
    ) -> list[Verdict]:
        """Note the end of a request.

        :param request_id: of an admitted request, or of a queued one that
            its caller withdrew.
        :param outcome: how the request ended.
        :param tokens: tokens of prompt and answer; None if unknown.
        :param cost: the cost of the request; None to compute it from the
            pool's average price.
        :returns: the verdicts on requests that can start now.
        """
        pool = self._pool_by_request.pop(request_id, None)
        if pool is None:
            return []
        admission = self._pool_admissions[pool]
        request = admission.remove_finished(request_id, outcome)
        if request is None:
            admission.remove_queued(request_id)
            return []
        ticket = request.ticket
        self._entry_limits(ticket.entry).record_finished(ticket.tokens, tokens)
        if cost is None:
            cost = self._average_cost(pool, request.admitted_at)
        self._spend_meter.record(ticket.customer, ticket.entry, cost)
        return self._drop_refused(admission.dispatch())

    def withdraw(self, request_id: str) -> list[Verdict]:
        """Remove a queued or running request whose caller disconnected."""
        return self.finished(request_id, runner_model.Outcome.CANCELLED)

    def tick(self) -> list[Verdict]:
        """Refuse overdue tickets, admit those with room, and renew the shares.

        Deadlines pass and limits refill without any event, so the caller calls
        this method about ten times a second.

        :returns: the verdicts on queued requests that can start now or can
            no longer start in time.
        """
        if not self._shares_were_known:
            self._shares_were_known = not self._fleet_shares.unknown_for_s
            if self._shares_were_known:
                self._apply_shares()
        self._refresh_report()
        verdicts = [
            verdict
            for admission in self._pool_admissions.values()
            for verdict in admission.refresh()
        ]
        return self._drop_refused(verdicts)

    def take_report(self) -> fleet_shares.DemandReport | None:
        """Return the newest demand report, once, for sending to the fleet.

        :returns: the report; None if there is none since the last call.
        """
        report = self._pending_report
        self._pending_report = None
        return report

    def _drop_refused(self, verdicts: list[Verdict]) -> list[Verdict]:
        for verdict in verdicts:
            if isinstance(verdict, Refused):
                self._pool_by_request.pop(verdict.request_id, None)
        return verdicts

    def _entry_limits(self, entry: str) -> entry_limits.EntryLimits:
        limits = self._limits_by_entry.get(entry)
        if limits is None:
            limits = entry_limits.EntryLimits(
                self._clock, entry, self._spend_meter, self._started_at
            )
            self._limits_by_entry[entry] = limits
            self._apply_share(entry, limits)
        return limits

    def _pool_admission(self, pool: str) -> pool_admission.PoolAdmission:
        known = self._pool_admissions.get(pool)
        if known is not None:
            return known
        created = pool_admission.PoolAdmission(
            self._clock, self._rng, self._entry_limits, self._service_class
        )
        customers = self._catalogue.customers.values()
        created.set_weights({c.name: c.weight for c in customers})
        created.set_slots(
            self._slot_count(pool), len(self._fleet_shares.members)
        )
        self._pool_admissions[pool] = created
        return created

    def _service_class(self, name: str) -> catalogue_model.ServiceClass:
        return self._classes[name]

    def _slot_count(self, pool: str) -> int:
        if pool in self._pools:
            return self._pools[pool].slots
        return sum(
            entry.capacity.max_runners * entry.capacity.slots_per_runner
            for entry in self._catalogue.entries.values()
            if entry.pool == pool
        )

    def _resize_pools(self) -> None:
        for pool, admission in self._pool_admissions.items():
            admission.set_slots(
                self._slot_count(pool), len(self._fleet_shares.members)
            )

    def _average_cost(self, pool: str, admitted_at: float) -> float:
        known = self._pools.get(pool)
        if known is None:
            return 0.0
        held_s = self._clock.now() - admitted_at
        return spend_meter.request_cost(known.price_per_slot_hour, 1, held_s)

    def _apply_shares(self) -> None:
        for entry, limits in self._limits_by_entry.items():
            self._apply_share(entry, limits)

    def _apply_share(
        self, entry: str, limits: entry_limits.EntryLimits
    ) -> None:
        kinds = fleet_shares.LimitKind
        unknown_for_s = self._fleet_shares.unknown_for_s
        if unknown_for_s and self._fleet_shares.has_limits(entry):
            limits.hold(unknown_for_s)
            return
        limits.set_limits(
            self._fleet_shares.units(entry, kinds.CONCURRENT),
            self._fleet_shares.amount(entry, kinds.REQUESTS),
            self._fleet_shares.amount(entry, kinds.TOKENS),
            self._fleet_shares.amount(entry, kinds.SPEND),
        )

    def _refresh_report(self) -> None:
        waiting: dict[str, int] = {}
        for admission in self._pool_admissions.values():
            for queued in admission.queue:
                entry = queued.ticket.entry
                waiting[entry] = waiting.get(entry, 0) + 1
        kinds = fleet_shares.LimitKind
        demands: dict[fleet_shares.LimitKey, float] = {}
        for entry, limits in self._limits_by_entry.items():
            wanted = limits.in_flight + waiting.get(entry, 0)
            demands[entry, kinds.CONCURRENT] = float(wanted)
            demands[entry, kinds.REQUESTS] = limits.requests_demand
            demands[entry, kinds.TOKENS] = limits.tokens_demand
            demands[entry, kinds.SPEND] = limits.tokens_demand
        report = self._fleet_shares.report(demands)
        if report is not None:
            self._pending_report = report
            self._apply_shares()
