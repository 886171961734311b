"""Client of the platform's cloud API."""

import typing
import urllib.parse

from . import _platform_http
from . import platform_errors

Json = typing.Any

ROLE_RUNNER = "runner"
ROLE_ENTRY = "entry"
MARKET_RECLAIMABLE = "reclaimable"
MARKET_ON_DEMAND = "on_demand"
STATE_STARTING = "starting"
STATE_LIVE = "live"
STATE_LEAVING = "leaving"


class Vm:
    """A VM as the cloud API lists it; the list lags behind.

    :param vm: its name.
    :param data_centre: where it runs.
    :param role: ``ROLE_RUNNER`` or ``ROLE_ENTRY``.
    :param pool: the pool of a runner, else empty.
    :param machine: its machine class.
    :param market: ``MARKET_RECLAIMABLE`` or ``MARKET_ON_DEMAND``.
    :param address: ``host:port``, empty while it has none.
    :param state: one of the ``STATE_`` names.
    """

    __slots__ = (
        "vm",
        "data_centre",
        "role",
        "pool",
        "machine",
        "market",
        "address",
        "state",
    )

    def __init__(
        self,
        vm: str,
        data_centre: str,
        role: str = ROLE_RUNNER,
        pool: str = "",
        machine: str = "",
        market: str = MARKET_RECLAIMABLE,
        address: str = "",
        state: str = STATE_LIVE,
    ) -> None:
        self.vm = vm
        self.data_centre = data_centre
        self.role = role
        self.pool = pool
        self.machine = machine
        self.market = market
        self.address = address
        self.state = state


class Price:
    """What a machine class costs.

    :param per_hour: in the cloud's currency.
    """

    __slots__ = ("data_centre", "machine", "market", "per_hour")

    def __init__(
        self, data_centre: str, machine: str, market: str, per_hour: float
    ) -> None:
        self.data_centre = data_centre
        self.machine = machine
        self.market = market
        self.per_hour = per_hour


class Notice:
    """The cloud will take a VM back.

    :param seq: the notice's number.
    :param vm: the VM's name.
    :param deadline_s: seconds from when the notice was read.
    """

    __slots__ = ("seq", "vm", "deadline_s")

    def __init__(self, seq: int, vm: str, deadline_s: float) -> None:
        self.seq = seq
        self.vm = vm
        self.deadline_s = deadline_s


class Notices:
    """What a wait for notices returned.

    :param notices: oldest first.
    :param seq: the number to ask after next.
    """

    __slots__ = ("notices", "seq")

    def __init__(self, notices: tuple[Notice, ...], seq: int) -> None:
        self.notices = notices
        self.seq = seq


class CloudApi(_platform_http.Service):
    """Offers, buys and releases VMs, and says which are reclaimed.

    :param url: where the cloud API is.
    :param timeout_s: for a call that is not a wait for notices.
    """

    __slots__ = ()

    def vms(self) -> platform_errors.Outcome[tuple[Vm, ...]]:
        """List the VMs."""
        return self._read("/v1/vms", _vms)

    def buy(
        self,
        data_centre: str,
        machine: str,
        market: str,
        pool: str,
        token: str,
    ) -> platform_errors.Outcome[Vm]:
        """Start a runner.

        :param token: names this purchase. Repeating it after ``Ambiguous``
            with the same token buys no second VM.
        :returns: the VM, or ``NoCapacity``, ``Ambiguous``, ``Unavailable``.
        """
        body = {
            "data_centre": data_centre,
            "machine": machine,
            "market": market,
            "pool": pool,
            "token": token,
        }

        def reader(document: Json) -> Vm:
            return _vm({**body, **document})

        return self._write("POST", "/v1/vms", body, reader)

    def release(self, vm: str) -> platform_errors.Outcome[None]:
        """Give a VM back; ``NotFound`` if it is gone already."""
        path = "/v1/vms/" + urllib.parse.quote(vm, safe="")
        return self._write("DELETE", path, None, lambda _: None)

    def prices(self) -> platform_errors.Outcome[tuple[Price, ...]]:
        """List what each machine class costs now."""
        return self._read("/v1/prices", _prices)

    def notices(
        self, after: int, timeout_s: float
    ) -> platform_errors.Outcome[Notices]:
        """Wait for notices.

        :param after: the number of the last notice that is known.
        :param timeout_s: how long to wait; then there are none.
        """
        query = urllib.parse.urlencode(
            {"after": after, "timeout_s": timeout_s}
        )
        return self._read(f"/v1/notices?{query}", _notices, timeout_s)


def _vm(document: Json) -> Vm:
    return Vm(
        str(document["vm"]),
        str(document["data_centre"]),
        document.get("role", ROLE_RUNNER),
        document.get("pool") or "",
        document.get("machine") or "",
        document.get("market") or MARKET_RECLAIMABLE,
        document.get("address") or "",
        document.get("state", STATE_LIVE),
    )


def _vms(document: Json) -> tuple[Vm, ...]:
    return tuple(map(_vm, document["vms"]))


def _price(document: Json) -> Price:
    return Price(
        document["data_centre"],
        document["machine"],
        document["market"],
        float(document["per_hour"]),
    )


def _prices(document: Json) -> tuple[Price, ...]:
    return tuple(map(_price, document["prices"]))


def _notice(document: Json) -> Notice:
    return Notice(
        int(document["seq"]),
        str(document["vm"]),
        float(document["deadline_s"]),
    )


def _notices(document: Json) -> Notices:
    notices = tuple(map(_notice, document["notices"]))
    return Notices(notices, int(document["seq"]))
