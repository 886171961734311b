"""What callers are told about the entry VMs, and whether this one serves."""

import random
import typing

from .. import settings
from ..links import peer_pb2 as pb
from ..vms import fleet_view as views

Row = dict[str, typing.Any]


class VmPresence:
    """This VM's place among the entry VMs.

    Written by the fleet's task and the shutdown, read by callers' threads;
    each write replaces one attribute as a whole.

    :param config: names this VM and its data centre.
    :param rng: spreads callers over equally near VMs.
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
        """The members as last seen; None before the first answer."""
        return self._view

    @property
    def leaving(self) -> bool:
        """Whether this VM is no longer named to callers."""
        return self._leaving

    @property
    def takes_new_work(self) -> bool:
        """Whether requests that arrive here are still taken."""
        return self._takes_new_work

    def seen(self, view: views.FleetView) -> None:
        """Take over a new view."""
        self._view = view

    def listening_at(self, address: str) -> None:
        """Take over the address that callers reach this VM at."""
        self._address = address

    def leave(self) -> None:
        """Name this VM to callers no longer."""
        self._leaving = True

    def take_no_more(self) -> None:
        """Refuse requests from now on."""
        self._takes_new_work = False

    def address_of(self, vm: str) -> str:
        """``host:port`` for callers of another VM, or an empty string."""
        if self._view is None:
            return ""
        member = self._view.members.get(vm)
        return member.callers_address if member else ""

    def owner_of(self, request_id: str) -> str:
        """``host:port`` of the living VM that minted a request ID.

        :returns: an empty string when it is this one, dead or unknown.
        """
        vm = request_id.rpartition(".")[0].rpartition(".")[0]
        member = self._view.members.get(vm) if self._view else None
        if member is None or vm == self._config.vm:
            return ""
        alive = member.state in (pb.VM_ALIVE, pb.VM_LEAVING)
        same = request_id.startswith(f"{vm}.{member.incarnation}.")
        return member.callers_address if alive and same else ""

    def entries(self) -> list[Row]:
        """The entry VMs that take new work, nearest to this one first."""
        serving = self._view.members_for_callers() if self._view else []
        others = [
            _row(member) for member in serving if member.vm != self._config.vm
        ]
        rows = others if self._leaving else [self._own_row(), *others]
        self._rng.shuffle(rows)
        return sorted(rows, key=self._distance)

    def peers(self) -> list[Row]:
        """Every member of the view, for operators."""
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

    def _distance(self, row: Row) -> bool:
        return row["data_centre"] != self._config.data_centre


def _row(member: pb.Member) -> Row:
    return {
        "vm": member.vm,
        "address": member.callers_address,
        "data_centre": member.data_centre,
    }


def own_member(
    config: settings.Settings,
    callers: str,
    peers_address: str,
    incarnation: int,
) -> pb.Member:
    """This VM's own record.

    :param callers: ``host:port`` for callers.
    :param peers_address: ``host:port`` for peers.
    :param incarnation: the process start, ms since the Unix epoch.
    """
    return pb.Member(
        vm=config.vm,
        data_centre=config.data_centre,
        region=config.region,
        callers_address=callers,
        peers_address=peers_address,
        incarnation=incarnation,
        state=pb.VM_ALIVE,
    )
