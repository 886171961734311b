"""Finds the VM that counts a customer's calls for all VMs.

VMs that share their counts learn of each other's a tenth of a second late.
Each of them sees the same remaining level and uses it, so some calls are
admitted that the limit has no room for, and earlier calls are refused in
their place. Instead one VM, the limit's keeper, decides for all VMs in the
order in which the calls arrive. It is asked for each call, even while the
limit has room: one call counted out of order is followed by others for as
long as the customer's demand exceeds its limit.

All VMs find the same keeper by rendezvous hashing of the customer's name,
without exchanging messages. A keeper that does not answer is skipped for a
while, and the next VM in the order is asked.
"""

import typing

from .. import clock as clocks
from ..vms import rendezvous

#: Seconds for which a keeper that did not answer is not asked again. By then
#: it answers, or it is known to have ended.
UNAVAILABLE_S = 1.0


class LimitKeepers:
    """Finds the keeper of each customer's limit.

    The keeper is the VM that decides on all calls of the customer.

    :param clock: the source of time.
    :param vm: this VM's name.
    """

    __slots__ = (
        "_clock",
        "_keeper_cache",
        "_unavailable_until",
        "_vm",
        "_vms",
    )

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._vms = frozenset({vm})
        #: When each VM that did not answer may be asked again.
        self._unavailable_until: dict[str, float] = {}
        #: The keeper found for each customer.
        self._keeper_cache: dict[str, str] = {}

    def set_other_vms(
        self, others: typing.Iterable[str], eligible: bool = True
    ) -> None:
        """Set which VMs may be keepers.

        A VM that failed to answer is eligible again from the first call of
        this method after :data:`UNAVAILABLE_S`.

        :param others: the other VMs.
        :param eligible: whether this VM may be a keeper, too; the others don't
            consider one that leaves.
        """
        now = self._clock.now()
        available_again = [
            r for r, at in self._unavailable_until.items() if at <= now
        ]
        for vm in available_again:
            del self._unavailable_until[vm]
        vms = frozenset(others) | ({self._vm} if eligible else set())
        if available_again or vms != self._vms:
            self._vms = vms
            self._keeper_cache.clear()

    def keeper(self, customer: str) -> str:
        """Return the name of the VM that decides on a customer's calls.

        It may be this VM, which is also the result if no VM is available.
        """
        found = self._keeper_cache.get(customer)
        if found is None:
            candidates = self._vms - self._unavailable_until.keys()
            found = rendezvous.pick(customer, candidates) or self._vm
            self._keeper_cache[customer] = found
        return found

    def is_first(self, key: str) -> bool:
        """Whether this VM is the keeper for a key by its own view.

        VMs that did not answer this one count as well, as they may answer
        the others.
        """
        return rendezvous.pick(key, self._vms) == self._vm

    def is_first_or_second(self, key: str, vm: str) -> bool:
        """Whether a VM is the keeper for a key, or the one that follows it.

        As in :meth:`is_first`, VMs that did not answer count as well.
        """
        if not self._unavailable_until:
            return True
        first = rendezvous.pick(key, self._vms)
        return vm in (first, rendezvous.pick(key, self._vms - {first}))

    def record_timeout(self, vm: str) -> None:
        """Note that a keeper did not answer.

        For :data:`UNAVAILABLE_S`, the next VM in the order is the keeper of
        its customers.
        """
        self._unavailable_until[vm] = self._clock.now() + UNAVAILABLE_S
        self._keeper_cache.clear()
