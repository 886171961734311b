"""The entry VMs that callers may use, and the state of this one."""

import random
import typing

from .. import settings
from ..links import peer_pb2 as pb
from ..vms import fleet_view as views

Row = dict[str, typing.Any]


class VmPresence:
    """Whether this VM takes work, and its view of the other entry VMs.

    The view is this VM's snapshot of the fleet.

    The fleet task and the shutdown write it, and the threads that serve
    callers read it. It needs no lock because each write replaces the value
    of a single attribute.

    :param config: the names of this VM and its data centre.
    :param rng: shuffles VMs of equal distance, to spread callers over them.
    """

    __slots__ = (
        "_config",
        "_rng",
        "_view",
        "_leaving",
        "_takes_new_work",
        "_address",
    )

    def __init__(self, config: settings.Settings, rng: random.Random) -> None:
        self._config = config
        self._rng = rng
        self._view: views.FleetView | None = None
        self._leaving = False
        self._takes_new_work = True
        self._address = str(config.callers)

    @property
    def view(self) -> views.FleetView | None:
        """The latest snapshot of the fleet; None before the first one."""
        return self._view

    @property
    def leaving(self) -> bool:
        """Whether this VM is no longer listed for callers."""
        return self._leaving

    @property
    def takes_new_work(self) -> bool:
        """Whether this VM still accepts requests."""
        return self._takes_new_work

    def update_view(self, view: views.FleetView) -> None:
        """Replace the snapshot of the fleet by a newer one."""
        self._view = view

    def set_address(self, address: str) -> None:
        """Set the ``host:port`` at which this VM serves callers."""
        self._address = address

    def stop_listing(self) -> None:
        """Stop listing this VM for callers."""
        self._leaving = True

    def stop_accepting(self) -> None:
        """Stop accepting requests."""
        self._takes_new_work = False

    def address_of(self, vm: str) -> str:
        """``host:port`` for callers of another VM; empty if it is unknown."""
        if self._view is None:
            return ""
        member = self._view.members.get(vm)
        return member.callers_address if member else ""

    def address_of_minting_vm(self, request_id: str) -> str:
        """``host:port`` for callers of the VM that minted a request ID.

        :returns: the address; empty if this VM minted the ID, or the process
            that did is dead or unknown.
        """
        vm = request_id.rpartition(".")[0].rpartition(".")[0]
        member = self._view.members.get(vm) if self._view else None
        if member is None or vm == self._config.vm:
            return ""
        alive = member.state in (pb.VM_ALIVE, pb.VM_LEAVING)
        same_process = request_id.startswith(f"{vm}.{member.incarnation}.")
        return member.callers_address if alive and same_process else ""

    def entries(self) -> list[Row]:
        """The rows of the entry VMs to announce to callers.

        Those of this VM's data centre come first; this VM is left out when it
        is leaving.
        """
        serving = self._view.members_for_callers() if self._view else []
        others = [
            _row(member) for member in serving if member.vm != self._config.vm
        ]
        rows = others if self._leaving else [self._own_row(), *others]
        self._rng.shuffle(rows)
        return sorted(rows, key=self._is_remote)

    def peers(self) -> list[Row]:
        """The rows of all members of the view, for the status page."""
        if self._view is None:
            return [dict(self._own_row(), state="alive")]
        return [
            dict(
                _row(member),
                state=pb.VmState.Name(member.state)[3:].lower(),
                incarnation=member.incarnation,
                region=member.region,
            )
            for _, member in sorted(self._view.members.items())
        ]

    def _own_row(self) -> Row:
        return {
            "vm": self._config.vm,
            "address": self._address,
            "data_centre": self._config.data_centre,
        }

    def _is_remote(self, row: Row) -> bool:
        return row["data_centre"] != self._config.data_centre


def _row(member: pb.Member) -> Row:
    return {
        "vm": member.vm,
        "address": member.callers_address,
        "data_centre": member.data_centre,
    }


def own_member(
    config: settings.Settings,
    callers_address: str,
    peers_address: str,
    incarnation: int,
) -> pb.Member:
    """This VM's own member record, which it sends to its peers.

    :param callers_address: ``host:port`` for callers.
    :param peers_address: ``host:port`` for peers.
    :param incarnation: start time of the process, in milliseconds since the
        Unix epoch.
    """
    return pb.Member(
        vm=config.vm,
        data_centre=config.data_centre,
        region=config.region,
        callers_address=callers_address,
        peers_address=peers_address,
        incarnation=incarnation,
        state=pb.VM_ALIVE,
    )
