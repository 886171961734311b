"""Client of the platform's cloud API, which starts and reclaims VMs.

Reclaimable VMs may be taken back by the cloud; a reclaim notice announces it.
"""

import typing
import urllib.parse

from . import _platform_client
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
    """A VM in the cloud API's list, which may lag behind the VM's real state.

    :param vm: the VM's name.
    :param data_centre: the data centre that the VM runs in.
    :param role: ``ROLE_RUNNER`` or ``ROLE_ENTRY``.
    :param pool: the pool of a runner; empty for other VMs.
    :param machine: the VM's machine class.
    :param market: ``MARKET_RECLAIMABLE`` or ``MARKET_ON_DEMAND``.
    :param address: ``host:port``; empty while the VM has none.
    :param state: one of the ``STATE_`` constants.
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
    """The price of a machine class in a data centre and market.

    :param data_centre: the data centre's name.
    :param machine: the machine class.
    :param market: ``MARKET_RECLAIMABLE`` or ``MARKET_ON_DEMAND``.
    :param per_hour: price per hour in the cloud's currency.
    """

    __slots__ = ("data_centre", "machine", "market", "per_hour")

    def __init__(
        self, data_centre: str, machine: str, market: str, per_hour: float
    ) -> None:
        self.data_centre = data_centre
        self.machine = machine
        self.market = market
        self.per_hour = per_hour


class ReclaimNotice:
    """Notice that the cloud will reclaim a VM.

    :param seq: the notice's sequence number.
    :param vm: the VM's name.
    :param deadline_s: seconds until the VM is reclaimed, counted from when
        the notice was read.
    """

    __slots__ = ("seq", "vm", "deadline_s")

    def __init__(self, seq: int, vm: str, deadline_s: float) -> None:
        self.seq = seq
        self.vm = vm
        self.deadline_s = deadline_s


class ReclaimNotices:
    """The result of a wait for reclaim notices.

    :param notices: the notices, oldest first.
    :param seq: the sequence number to continue the next wait from.
    """

    __slots__ = ("notices", "seq")

    def __init__(self, notices: tuple[ReclaimNotice, ...], seq: int) -> None:
        self.notices = notices
        self.seq = seq


class CloudApi(_platform_client.PlatformClient):
    """Lists, buys and releases VMs, and reports reclaim notices and prices.

    :param url: base URL of the cloud API.
    :param timeout_s: limit in seconds for a call that is not a wait for
        notices.
    """

    __slots__ = ()

    def vms(self) -> platform_errors.Outcome[tuple[Vm, ...]]:
        """List the VMs that the cloud API knows."""
        return self._read("/v1/vms", _vms)

    def buy(
        self,
        data_centre: str,
        machine: str,
        market: str,
        pool: str,
        token: str,
    ) -> platform_errors.Outcome[Vm]:
        """Buy and start a runner.

        :param data_centre: the data centre to start the runner in.
        :param machine: the machine class.
        :param market: ``MARKET_RECLAIMABLE`` or ``MARKET_ON_DEMAND``.
        :param pool: the runner's pool.
        :param token: idempotency token of the purchase. Repeating a purchase
            with the same token after ``Ambiguous`` buys no second VM.
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
        """Return a VM to the cloud; ``NotFound`` if it no longer exists."""
        path = "/v1/vms/" + urllib.parse.quote(vm, safe="")
        return self._write("DELETE", path, None, lambda _: None)

    def prices(self) -> platform_errors.Outcome[tuple[Price, ...]]:
        """List the current prices of all machine classes."""
        return self._read("/v1/prices", _prices)

    def notices(
        self, after: int, timeout_s: float
    ) -> platform_errors.Outcome[ReclaimNotices]:
        """Wait for notices that the cloud will reclaim VMs.

        :param after: sequence number of the last notice already read.
        :param timeout_s: how long to wait in seconds; the result holds no
            notices if none arrive in this time.
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


def _notice(document: Json) -> ReclaimNotice:
    return ReclaimNotice(
        int(document["seq"]),
        str(document["vm"]),
        float(document["deadline_s"]),
    )


def _notices(document: Json) -> ReclaimNotices:
    notices = tuple(map(_notice, document["notices"]))
    return ReclaimNotices(notices, int(document["seq"]))
