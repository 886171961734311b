"""Duties that one VM at a time does for all, such as buying VMs.

Rendezvous hashing over the live view names the VM that should do a duty,
without talk; views differ for moments, so a lease confirms it. Only the VM
named contends for the lease: the store sees a write for each duty in a
third of the lease's duration, whatever the size of the fleet.
"""

import random
import typing

from .. import clock as clocks
from . import lease_objects
from . import leases
from . import rendezvous
from . import view as views

PREFIX = "leases/"


class Duty:
    """Something that one VM does.

    :param name: such as "capacity/sala-a"; the lease object is
        ``leases/`` and this.
    :param data_centre: where its holder should be; empty for anywhere.
    :param longest_order_s: see :class:`~.leases.Lease`; 0 when upstreams
        check fencing numbers.
    """

    __slots__ = ("name", "data_centre", "longest_order_s")

    def __init__(
        self, name: str, data_centre: str = "", longest_order_s: float = 0.0
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.longest_order_s = longest_order_s


def place(duty: Duty, view: views.View) -> str:
    """The data centre whose VMs do the duty, by this view.

    Its own, or when nobody serves there another one, so that what is left
    of a lost data centre is still looked after.
    """
    serving = {member.data_centre for member in view.serving()} | {
        name for name, summary in view.summaries.items() if summary.serving
    }
    if duty.data_centre in serving:
        return duty.data_centre
    return rendezvous.pick(duty.name, serving) or ""


def holder(duty: Duty, view: views.View) -> str | None:
    """The VM that should do the duty, if this view can tell."""
    names = view.names(place(duty, view) or None)
    return rendezvous.pick(duty.name, names)


class Duties:
    """This VM's part in all duties.

    :param vm: this VM.
    :param incarnation: of this process.
    :param duration_s: of each lease.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_vm",
        "_incarnation",
        "_duration_s",
        "_duties",
        "_leases",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        incarnation: int,
        duration_s: float = leases.DEFAULT_DURATION_S,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._incarnation = incarnation
        self._duration_s = duration_s
        self._duties: dict[str, Duty] = {}
        self._leases: dict[str, leases.Lease] = {}

    @property
    def held(self) -> list[str]:
        """Names of the duties whose lease is valid here now."""
        return sorted(
            name for name in self._duties if self.may_order(name) is not None
        )

    def configure(self, duties: typing.Iterable[Duty]) -> None:
        """Replace the duties; leases of those that went are released."""
        self._duties = {duty.name: duty for duty in duties}
        for name, lease in self._leases.items():
            if name not in self._duties:
                lease.want(False)

    def look(self, view: views.View) -> None:
        """Take in a view: who should do what now."""
        for duty in self._duties.values():
            wanted = holder(duty, view) == self._vm
            if wanted or duty.name in self._leases:
                self._lease_of(duty).want(wanted)

    def leave(self) -> None:
        """This VM stops: give all duties back."""
        self._duties = {}
        for lease in self._leases.values():
            lease.want(False)

    def tick(self) -> list[lease_objects.LeaseAction]:
        """Store calls that are due; report them to :meth:`lease`."""
        due = (lease.tick() for lease in self._leases.values())
        return [action for action in due if action is not None]

    def lease(self, name: str) -> leases.Lease:
        """The lease that a store call belongs to.

        :param name: the object's name, from the action.
        :raises KeyError: no such lease here.
        """
        return self._leases[name.removeprefix(PREFIX)]

    def may_order(self, name: str, order_s: float = 0.0) -> int | None:
        """Ask just before each order of a duty.

        :param order_s: how long it takes to send the order off.
        :returns: the fencing number, or None: this VM must not order.
        """
        lease = self._leases.get(name)
        return None if lease is None else lease.may_order(order_s)

    def fenced_off(self, name: str, highest: int) -> None:
        """An upstream refused an order of the duty by fencing."""
        if name in self._leases:
            self._leases[name].fenced_off(highest)

    def _lease_of(self, duty: Duty) -> leases.Lease:
        if duty.name not in self._leases:
            self._leases[duty.name] = leases.Lease(
                self._clock,
                self._rng,
                PREFIX + duty.name,
                self._vm,
                self._incarnation,
                duty.longest_order_s,
                self._duration_s,
            )
        return self._leases[duty.name]
