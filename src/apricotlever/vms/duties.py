"""Duties that one VM at a time performs for the fleet, such as buying VMs.

Each VM determines the responsible VM by rendezvous hashing over its view of
the live VMs, without exchanging messages. Views may differ for a short time,
so the responsible VM must also hold a lease. Only that VM contends for the
lease: the store receives one write per duty in each third of the lease's
duration, whatever the size of the fleet.
"""

import random
import typing

from .. import clock as clocks
from . import fleet_view as views
from . import lease_objects
from . import leases
from . import rendezvous

LEASE_PREFIX = "leases/"


class Duty:
    """A duty that one VM at a time performs.

    :param name: the duty's name, such as "capacity/sala-a"; the name of its
        lease object is ``leases/`` followed by this name.
    :param data_centre: the data centre whose VMs should perform the duty;
        empty for any.
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


def responsible_data_centre(duty: Duty, view: views.FleetView) -> str:
    """The data centre whose VMs perform the duty, according to a view.

    This is the duty's own data centre. Rendezvous hashing chooses another
    one when no VM serves there, so that the duties of a lost data centre
    are still performed, and for a duty without a data centre.

    :returns: the data centre; empty when no VM serves anywhere.
    """
    serving = {member.data_centre for member in view.serving()} | {
        name for name, summary in view.summaries.items() if summary.serving
    }
    if duty.data_centre in serving:
        return duty.data_centre
    return rendezvous.pick(duty.name, serving) or ""


def responsible_vm(duty: Duty, view: views.FleetView) -> str | None:
    """The VM that should perform the duty, according to a view.

    :returns: None when the view has no serving VM of the responsible data
        centre.
    """
    names = view.serving_names(responsible_data_centre(duty, view) or None)
    return rendezvous.pick(duty.name, names)


class Duties:
    """Contends for the leases of the duties that this VM should perform.

    :param vm: this VM's name.
    :param incarnation: the incarnation of this process.
    :param duration_s: the duration of each lease, in seconds.
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
        """Names of the duties whose lease this VM holds now."""
        return sorted(
            name for name in self._duties if self.may_order(name) is not None
        )

    def configure(self, duties: typing.Iterable[Duty]) -> None:
        """Replace the set of duties; leases of removed ones are released."""
        self._duties = {duty.name: duty for duty in duties}
        for name, lease in self._leases.items():
            if name not in self._duties:
                lease.want(False)

    def update_view(self, view: views.FleetView) -> None:
        """Contend for the duties assigned to this VM; release all others.

        :param view: the view that determines the responsible VMs.
        """
        for duty in self._duties.values():
            wanted = responsible_vm(duty, view) == self._vm
            if wanted or duty.name in self._leases:
                self._lease_for(duty).want(wanted)

    def release_all(self) -> None:
        """Release the leases of all duties, because this VM stops."""
        self._duties = {}
        for lease in self._leases.values():
            lease.want(False)

    def tick(self) -> list[lease_objects.LeaseAction]:
        """The store calls that are due for the leases of the duties.

        The caller performs them, and reports each result to the lease that
        :meth:`lease` returns.
        """
        due = (lease.tick() for lease in self._leases.values())
        return [action for action in due if action is not None]

    def lease(self, name: str) -> leases.Lease:
        """The lease that a store call belongs to.

        :param name: the name of the lease object, from the action.
        :raises KeyError: if this VM never contended for that lease.
        """
        return self._leases[name.removeprefix(LEASE_PREFIX)]

    def may_order(self, name: str, order_s: float = 0.0) -> int | None:
        """The fencing number to send with an order, if it may be sent now.

        An order is a call by which the VM that performs a duty directs an
        upstream. This is to be called just before sending it, as the lease
        may have expired since the order was decided on.

        :param name: the duty's name.
        :param order_s: the time needed to send the order, in seconds.
        :returns: the fencing number; None when this VM must not order.
        """
        lease = self._leases.get(name)
        return None if lease is None else lease.may_order(order_s)

    def fencing_rejected(self, name: str, highest: int) -> None:
        """Handle an upstream's refusal of an order by its fencing number.

        The number was too low. This VM sends no more orders for the duty until
        it holds the lease with a number that is high enough.

        :param name: the duty's name.
        :param highest: the highest fencing number that the upstream saw.
        """
        if name in self._leases:
            self._leases[name].fencing_rejected(highest)

    def _lease_for(self, duty: Duty) -> leases.Lease:
        if duty.name not in self._leases:
            self._leases[duty.name] = leases.Lease(
                self._clock,
                self._rng,
                LEASE_PREFIX + duty.name,
                self._vm,
                self._incarnation,
                duty.longest_order_s,
                self._duration_s,
            )
        return self._leases[duty.name]
