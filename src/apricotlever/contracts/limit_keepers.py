"""Which VM counts a customer's calls for all VMs.

VMs that count together hear of each other a tenth of a second late, and each
of them sees the same rest and uses it: some calls are let in that the limit
has no room for, and in their place others are refused that came first. So one
VM, the keeper, decides for all, in the order in which the calls come. It is
asked for each call, also while the limit has room: one call that was counted
out of turn is followed by others for as long as the customer presses.

All VMs find the same keeper by its name, without talking. One that does not
answer is passed over for a while, and the next one is asked.
"""

import typing

from .. import clock as clocks
from ..vms import rendezvous

#: A keeper that did not answer is not asked again for so long, in seconds.
#: By then it answers, or is known to be gone.
PASSED_OVER_S = 1.0


class LimitKeepers:
    """Finds the keeper of each customer's limit.

    :param vm: this VM's name.
    """

    __slots__ = ("_clock", "_keepers", "_passed_over", "_vm", "_vms")

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._vms = frozenset({vm})
        #: VMs that did not answer, to when they may be asked again.
        self._passed_over: dict[str, float] = {}
        #: What was found for each customer.
        self._keepers: dict[str, str] = {}

    def set_vms(self, others: typing.Iterable[str]) -> None:
        """Take over which other VMs may be keepers."""
        now = self._clock.now()
        returned = [r for r, at in self._passed_over.items() if at <= now]
        for vm in returned:
            del self._passed_over[vm]
        vms = frozenset(others) | {self._vm}
        if returned or vms != self._vms:
            self._vms = vms
            self._keepers.clear()

    def keeper(self, customer: str) -> str:
        """The VM to ask for a customer; this one's own name for itself."""
        found = self._keepers.get(customer)
        if found is None:
            asked = self._vms - self._passed_over.keys()
            found = rendezvous.pick(customer, asked) or self._vm
            self._keepers[customer] = found
        return found

    def unanswered(self, vm: str) -> None:
        """A VM that was asked did not answer."""
        self._passed_over[vm] = self._clock.now() + PASSED_OVER_S
        self._keepers.clear()
