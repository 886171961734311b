"""Grants slots of the services that this VM keeps, and answers other VMs."""

import typing

from .. import clock as clocks
from ..contracts import limit_keepers
from ..runners import slot_ledger
from ..runners import slot_requests

from . import limit_protocol
from . import slot_protocol as protocols


def keeper_key(service: str) -> str:
    """The key by which the keeper of a service's slots is found."""
    return f"slots/{service}"


class SlotGrants:
    """The decisions of this VM as a keeper, and their messages.

    :param process: the name of this VM's process.
    :param keepers: the order of the VMs for each service.
    :param on_grant: called with the number of a call of this VM that waited,
        and the runner that was granted to it.
    :param slowness: see :class:`.slot_ledger.SlotLedger`.
    :param reported: see :class:`.slot_ledger.SlotLedger`.
    """

    __slots__ = (
        "_addresses",
        "_is_first",
        "_keepers",
        "_ledger",
        "_on_grant",
        "_process",
        "protocol",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        process: str,
        keepers: limit_keepers.LimitKeepers,
        on_grant: typing.Callable[[int, str], None],
        slowness: typing.Callable[[str], float],
        reported: typing.Callable[[str], int],
    ) -> None:
        self._process = process
        self._keepers = keepers
        self._on_grant = on_grant
        self._ledger = slot_ledger.SlotLedger(clock, slowness, reported)
        #: Addresses of the processes that have asked.
        self._addresses: dict[str, limit_protocol.Address] = {}
        #: Whether this VM is the first in the order for a service, for those
        #: that it was asked about since the last update of the VMs.
        self._is_first: dict[str, bool] = {}
        #: The messages to the other VMs; None before the socket is open.
        self.protocol: protocols.SlotProtocol | None = None

    @property
    def ledger(self) -> slot_ledger.SlotLedger:
        """The leases that this VM has granted."""
        return self._ledger

    def set_runners(self, slots: typing.Iterable[slot_requests.Slots]) -> None:
        """Set the slots that may be granted."""
        self._ledger.set_runners(slots)
        self._send_grants()

    def set_processes(self, processes: frozenset[str]) -> None:
        """Set the fleet's processes; the leases of others end."""
        self._is_first.clear()
        self._ledger.keep_processes(processes)
        for process in self._addresses.keys() - processes:
            del self._addresses[process]
        self._send_grants()

    def decide(
        self,
        process: str,
        number: int,
        request: slot_requests.Request,
        held: frozenset[int] | None = None,
    ) -> tuple[protocols.Answer, str]:
        """Decide on a call.

        :param held: see :meth:`.slot_protocol.Vm.receive_ask`.
        :returns: the answer, and the granted runner or "".
        """
        service = request.service
        is_first = self._is_first.get(service)
        if is_first is None:
            is_first = self._keepers.is_first(keeper_key(service))
            self._is_first[service] = is_first
        runner, waits = self._ledger.ask(
            process, number, request, held, in_place=not is_first
        )
        # Leases that the request shows to have ended may be granted to others.
        self._send_grants()
        if runner is not None:
            return protocols.Answer.GRANTED, runner
        if waits:
            return protocols.Answer.WAITING, ""
        return protocols.Answer.NONE, ""

    def answer_ask(
        self,
        process: str,
        number: int,
        request: slot_requests.Request,
        held: frozenset[int] | None,
        address: limit_protocol.Address,
    ) -> None:
        """Decide on another VM's call, and send the answer."""
        self._addresses[process] = address
        answer, runner = self.decide(process, number, request, held)
        if self.protocol is not None:
            self.protocol.send_grant(address, number, answer, runner)

    def end(
        self,
        process: str,
        number: int,
        rejected: bool = False,
        moved_to: str = "",
        lease_s: float = 0.0,
    ) -> None:
        """End the lease of a call, or record the runner that it was sent to.

        The parameters are those of
        :meth:`.slot_protocol.Vm.receive_release`.
        """
        if moved_to:
            self._ledger.move(process, number, moved_to, lease_s)
        else:
            self._ledger.release(process, number, rejected)
        self._send_grants()

    def _send_grants(self) -> None:
        """Tell waiting calls of the slots that were granted to them."""
        for grant in self._ledger.take_grants():
            if grant.process == self._process:
                self._on_grant(grant.number, grant.runner)
                continue
            address = self._addresses.get(grant.process)
            if address is not None and self.protocol is not None:
                self.protocol.send_grant(
                    address,
                    grant.number,
                    protocols.Answer.GRANTED,
                    grant.runner,
                )
