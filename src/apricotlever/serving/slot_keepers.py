"""This VM's part in granting the slots of plain services.

A plain service has no engine, so its calls have no prompts to be cached. A
slot is room for one call at a runner. While a service has fewer slots than the
fleet has VMs, load figures don't show a VM which runner has a free one. Before
each call to such a service, the VM asks the service's keeper, the VM that
records all leases of its slots (:mod:`..runners.slot_ledger`). Without a slot
or an answer in time, it chooses a runner by itself.
"""

import itertools
import typing

from .. import clock as clocks
from .. import logs
from ..contracts import limit_keepers
from ..runners import slot_ledger
from ..runners import slot_requests

from . import limit_protocol
from . import modes
from . import slot_grants
from . import slot_leases
from . import slot_protocol as protocols

#: Seconds between two updates of the other VMs, each of which looks at all of
#: them. A keeper that ends is noticed sooner, as it does not answer.
FLEET_INTERVAL_S = 0.5


class SlotKeepers:
    """Asks for slots, and grants those of the services that this VM keeps.

    :param vm: this VM's name.
    :param process: the name of this VM's process.
    :param mode: without ``ON``, calls neither wait for slots nor use them.
    :param slowness: see :class:`.slot_ledger.SlotLedger`.
    :param reported: see :class:`.slot_ledger.SlotLedger`.
    """

    __slots__ = (
        "_addresses",
        "_clock",
        "_data_centre",
        "_eligible_slots",
        "_fleet_set_at",
        "_fleet_size",
        "_grants",
        "_keepers",
        "_leases",
        "_mode",
        "_numbers",
        "_process",
        "_protocol",
        "_scarce",
        "_vm",
        "ask_count",
        "full_count",
        "grant_count",
        "unanswered_count",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        vm: str,
        process: str,
        data_centre: str,
        mode: modes.Mode = modes.Mode.ON,
        slowness: typing.Callable[[str], float] = lambda runner: 1.0,
        reported: typing.Callable[[str], int] = lambda runner: 0,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._process = process or vm
        self._data_centre = data_centre
        self._mode = mode
        self._keepers = limit_keepers.LimitKeepers(clock, vm)
        self._grants = slot_grants.SlotGrants(
            clock,
            self._process,
            self._keepers,
            self._receive_own_grant,
            slowness,
            reported,
        )
        self._protocol: protocols.SlotProtocol | None = None
        #: An answer to the process that used this address before must not be
        #: taken for one to this process, so numbers continue in time.
        self._numbers = itertools.count(int(clock.now() * 1e6))
        #: Calls of this VM that their keepers know, by keeper and number.
        self._leases: dict[str, dict[int, slot_leases.SlotLease]] = {}
        #: Addresses of the other VMs by name.
        self._addresses: dict[str, limit_protocol.Address] = {}
        self._fleet_set_at = float("-inf")
        self._fleet_size = 0
        #: Number of slots of each service whose slots may be granted.
        self._eligible_slots: dict[str, int] = {}
        #: Services with fewer slots than the fleet has VMs.
        self._scarce: frozenset[str] = frozenset()
        #: How many slots were asked for and granted, how often the keeper did
        #: not answer, and how often it had no slot in time.
        self.ask_count = 0
        self.grant_count = 0
        self.unanswered_count = 0
        self.full_count = 0

    @property
    def ledger(self) -> slot_ledger.SlotLedger:
        """The leases that this VM has granted."""
        return self._grants.ledger

    @property
    def counters(self) -> dict[str, int]:
        """Counts of the requests for slots, for metrics, by name."""
        return {
            "slot_asks_total": self.ask_count,
            "slot_grants_total": self.grant_count,
            "slot_unanswered_total": self.unanswered_count,
            "slots_full_total": self.full_count,
        }

    @property
    def wants_fleet(self) -> bool:
        """Whether :meth:`set_fleet` is due."""
        if self._protocol is None:
            return False
        return self._clock.now() - self._fleet_set_at >= FLEET_INTERVAL_S

    def enable_protocol(self, transport: limit_protocol.LimitProtocol) -> None:
        """From now on, exchange messages with the other VMs.

        :param transport: the socket for them.
        """
        if self._mode is not modes.Mode.OFF:
            self._protocol = protocols.SlotProtocol(transport, self)
            self._grants.protocol = self._protocol

    def set_runners(self, slots: typing.Sequence[slot_requests.Slots]) -> None:
        """Set the slots of all plain services that may be granted."""
        if self._mode is modes.Mode.OFF:
            return
        self._eligible_slots = {}
        for each in slots:
            total = self._eligible_slots.get(each.service, 0)
            self._eligible_slots[each.service] = total + each.count
        self._grants.set_runners(slots)
        self._update_scarce()

    def set_fleet(
        self,
        keepers: typing.Iterable[str],
        addresses: typing.Mapping[str, limit_protocol.Address],
        processes: typing.Iterable[str],
        eligible: bool,
        fleet_size: int,
    ) -> None:
        """Set which VMs there are; the caller does so when it is due.

        :param keepers: the other VMs that may be keepers.
        :param addresses: addresses of all other VMs that are alive, by name.
        :param processes: processes of all other VMs, silent ones included.
        :param eligible: whether this VM may be a keeper.
        :param fleet_size: number of VMs, this one and silent ones included.
        """
        self._fleet_set_at = self._clock.now()
        self._fleet_size = fleet_size
        self._addresses = dict(addresses)
        self._keepers.set_other_vms(keepers, eligible)
        self._grants.set_processes(frozenset(processes) | {self._process})
        self._update_scarce()

    def grants_slots_of(self, service: str) -> bool:
        """Whether a keeper is asked for slots of a service.

        It is if the service has fewer slots than the fleet has VMs.
        """
        return service in self._scarce

    async def ask(
        self,
        call: slot_leases.SlotCall,
        excluded: typing.Collection[str],
        left_s: float,
    ) -> slot_leases.SlotLease | None:
        """Ask the keeper of a call's service for a slot.

        :param excluded: runners that must not be granted.
        :param left_s: seconds until the call's deadline.
        :returns: the lease, whose runner is "" if there was no slot; it must
            be passed to :meth:`settle` and :meth:`release`. None if no keeper
            is asked or none has answered.
        """
        if left_s <= 0.0 or not self.grants_slots_of(call.service):
            return None
        lease = self._new_lease(call, left_s)
        if lease is None:
            return None
        request = slot_requests.Request(
            call.service,
            excluded,
            self._data_centre,
            call.route.priority,
            max(0.0, min(left_s, call.wait_left_s)),
            left_s,
        )
        if lease.is_observed:
            request.wait_s = 0.0
            self._send_ask(lease, request)
            return lease
        try:
            self._send_ask(lease, request)
            await lease.wait(self._clock, request.wait_s)
        except BaseException:
            self.release(lease)
            raise
        finally:
            call.wait_left_s -= self._clock.now() - lease.asked_at
        if lease.runner:
            return lease
        self._record_not_granted(lease)
        if lease.answer is None:
            # If only the answer was lost, the keeper has granted a lease.
            self.release(lease)
            return None
        return lease

    def settle(self, lease: slot_leases.SlotLease | None, runner: str) -> None:
        """Tell the keeper which runner was chosen for a call.

        :param lease: the result of :meth:`ask`.
        """
        if lease is None or lease.runner == runner:
            return
        lease.runner = runner
        left_s = max(0.0, lease.ends_at - self._clock.now())
        if lease.address is None:
            self._grants.end(
                self._process, lease.number, False, runner, left_s
            )
        elif self._protocol is not None:
            self._protocol.send_release(
                lease.address,
                self._process,
                lease.number,
                moved_to=runner,
                lease_s=left_s,
            )

    def release(
        self, lease: slot_leases.SlotLease | None, rejected: bool = False
    ) -> None:
        """Give back the slot of a call; later calls do nothing.

        :param lease: the result of :meth:`ask`.
        :param rejected: whether the runner rejected the call.
        """
        if lease is None or not self._forget(lease):
            return
        age_s = self._clock.now() - lease.asked_at
        if (
            lease.is_observed
            and lease.answer is None
            and age_s >= limit_protocol.ANSWER_TIMEOUT_S
        ):
            self._record_not_granted(lease)
        if lease.address is None:
            self._grants.end(self._process, lease.number, rejected)
        elif self._protocol is not None:
            self._protocol.send_release(
                lease.address, self._process, lease.number, rejected
            )

    # Methods of slot_protocol.Vm.

    def receive_ask(
        self,
        process: str,
        number: int,
        request: slot_requests.Request,
        held: frozenset[int] | None,
        address: limit_protocol.Address,
    ) -> None:
        """Decide on another VM's call, as the keeper of its service."""
        self._grants.answer_ask(process, number, request, held, address)

    def receive_grant(
        self,
        number: int,
        answer: protocols.Answer,
        runner: str,
        address: limit_protocol.Address,
    ) -> None:
        """Receive a keeper's answer."""
        for leases in self._leases.values():
            lease = leases.get(number)
            if lease is not None:
                self._apply_answer(lease, answer, runner)
                return
        if answer is not protocols.Answer.NONE and self._protocol is not None:
            # The call was cancelled or sent without a slot, so its lease is
            # not used.
            self._protocol.send_release(address, self._process, number)

    def receive_release(
        self,
        process: str,
        number: int,
        rejected: bool,
        moved_to: str,
        lease_s: float,
    ) -> None:
        """End the lease of another VM's call, or record its runner."""
        self._grants.end(process, number, rejected, moved_to, lease_s)

    def _new_lease(
        self, call: slot_leases.SlotCall, left_s: float
    ) -> slot_leases.SlotLease | None:
        """Create a lease; None if the keeper's address is not known."""
        keeper = self._keepers.keeper(slot_grants.keeper_key(call.service))
        address = self._addresses.get(keeper)
        if address is None and keeper != self._vm:
            return None
        return slot_leases.SlotLease(
            call,
            next(self._numbers),
            keeper,
            address,
            self._clock.now(),
            left_s,
            self._mode is modes.Mode.OBSERVE,
        )

    def _send_ask(
        self,
        lease: slot_leases.SlotLease,
        request: slot_requests.Request,
    ) -> None:
        """Send a request to the keeper, or decide on it if that is this VM."""
        self.ask_count += 1
        leases = self._leases.setdefault(lease.keeper, {})
        if lease.address is None:
            leases[lease.number] = lease
            answer, runner = self._grants.decide(
                self._process, lease.number, request
            )
            self._apply_answer(lease, answer, runner)
        elif self._protocol is not None:
            self._protocol.send_ask(
                lease.address, self._process, lease.number, request, leases
            )
            leases[lease.number] = lease

    def _apply_answer(
        self,
        lease: slot_leases.SlotLease,
        answer: protocols.Answer,
        runner: str,
    ) -> None:
        """Apply a keeper's answer, and count it."""
        if not lease.apply(answer, runner):
            return
        if answer is protocols.Answer.GRANTED:
            self.grant_count += 1
        elif lease.is_observed:
            self._record_not_granted(lease)

    def _receive_own_grant(self, number: int, runner: str) -> None:
        """Receive this VM's own grant to a call that waited here."""
        lease = self._leases.get(self._vm, {}).get(number)
        if lease is not None:
            self._apply_answer(lease, protocols.Answer.GRANTED, runner)

    def _forget(self, lease: slot_leases.SlotLease) -> bool:
        """Forget a lease; returns whether it was known."""
        leases = self._leases.get(lease.keeper, {})
        if leases.pop(lease.number, None) is None:
            return False
        if not leases:
            del self._leases[lease.keeper]
        return True

    def _update_scarce(self) -> None:
        self._scarce = frozenset(
            service
            for service, count in self._eligible_slots.items()
            if self._protocol is not None and 0 < count < self._fleet_size
        )

    def _record_not_granted(self, lease: slot_leases.SlotLease) -> None:
        """Count and log a call that the keeper could not place."""
        cause = "full"
        if lease.answer is None:
            cause = "unanswered"
            self.unanswered_count += 1
            self._keepers.record_timeout(lease.keeper)
        else:
            self.full_count += 1
        logs.event(
            "slot_not_granted",
            request=lease.call.request,
            service=lease.call.service,
            keeper=lease.keeper,
            cause=cause,
            waited_s=(
                None
                if lease.is_observed
                else self._clock.now() - lease.asked_at
            ),
            rank=lease.call.route.priority,
        )
