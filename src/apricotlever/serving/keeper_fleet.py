"""Finds the VM that decides on calls to a runner, and asks it."""

import random
import typing

from .. import clock as clocks
from ..contracts import limit_keepers
from ..runners import limit_keeper

from . import limit_protocol

#: Seconds after which a VM asks again if no keeper has answered.
UNANSWERED_RETRY_S = 0.2


class Decide(typing.Protocol):
    """Decides on a call as the runner's keeper."""

    def __call__(self, is_deputy: bool) -> limit_keeper.Admission:
        """Decide.

        :param is_deputy: whether this VM is asked in place of the keeper.
        """


#: Asks the VM at an address.
#:
#: :raises TimeoutError: if it does not answer.
AskPeer = typing.Callable[
    [limit_protocol.Address],
    typing.Coroutine[typing.Any, typing.Any, limit_keeper.Admission],
]


class KeeperFleet:
    """The VMs of the fleet, as keepers of runners.

    :param clock: the source of time.
    :param rng: selects VMs to which something is passed on.
    :param vm: this VM's name.
    """

    __slots__ = ("_addresses", "_keepers", "_rng", "_vm", "unanswered_count")

    def __init__(
        self, clock: clocks.Clock, rng: random.Random, vm: str
    ) -> None:
        self._rng = rng
        self._vm = vm
        self._keepers = limit_keepers.LimitKeepers(clock, vm)
        #: Addresses of the other VMs, by name.
        self._addresses: dict[str, limit_protocol.Address] = {}
        #: How often a keeper did not answer.
        self.unanswered_count = 0

    def set_addresses(
        self, addresses: typing.Mapping[str, limit_protocol.Address]
    ) -> None:
        """Set the addresses of all other VMs that are alive, by name."""
        self._addresses = dict(addresses)

    def set_keepers(
        self, others: typing.Iterable[str], eligible: bool
    ) -> None:
        """Set which other VMs may be keepers, and whether this one may."""
        self._keepers.set_other_vms(others, eligible)

    def keeper(self, runner: str) -> str:
        """The VM that decides on a runner's calls now; "" for this VM."""
        keeper = self._keepers.keeper(runner)
        return "" if keeper == self._vm else keeper

    def is_first(self, runner: str) -> bool:
        """Whether this VM is a runner's keeper if all VMs answer."""
        return self._keepers.is_first(runner)

    def address(self, vm: str) -> limit_protocol.Address | None:
        """The address of another VM; None if it is not alive."""
        return self._addresses.get(vm)

    def some_addresses(self, count: int) -> list[limit_protocol.Address]:
        """The addresses of some other VMs, chosen at random."""
        others = sorted(self._addresses)
        chosen = self._rng.sample(others, min(count, len(others)))
        return [self._addresses[vm] for vm in chosen]

    async def ask(
        self,
        runner: str,
        decide: Decide,
        ask_peer: AskPeer,
        has_one_deputy: bool = False,
    ) -> tuple[limit_keeper.Admission, str]:
        """Ask the keeper, or else the VM that takes its place.

        :param decide: decides if this VM is that one.
        :param has_one_deputy: whether only the VM that follows the keeper may
            take its place, and nobody decides if that doesn't answer either.
            Else, while messages are late, each VM would decide for itself.
        :returns: the decision, and the VM that made it; "" for this VM.
        """
        for _ in range(2):
            keeper = self._keepers.keeper(runner)
            if has_one_deputy and not self._keepers.is_first_or_second(
                runner, keeper
            ):
                break
            if keeper == self._vm:
                return decide(is_deputy=not self.is_first(runner)), ""
            address = self._addresses.get(keeper)
            if address is None:
                break
            try:
                return await ask_peer(address), keeper
            except TimeoutError:
                self.unanswered_count += 1
                self._keepers.record_timeout(keeper)
        wait_s = UNANSWERED_RETRY_S
        return limit_keeper.Admission(False, wait_s, wait_s), ""
