"""Places to buy runners at, runners that are held, and planner orders.

The fleet pays for a held runner. A plan counts only those that are not about
to end.
"""

import enum
import typing


class Market(enum.StrEnum):
    """How a VM is bought; the values are those of the cloud API."""

    #: Cheaper, but the cloud may take the VM back at short notice.
    RECLAIMABLE = "reclaimable"
    #: The VM stays until the fleet releases it.
    ON_DEMAND = "on_demand"


class Place:
    """A machine class in one market of one data centre.

    It is the unit in which the cloud prices VMs and grants or refuses orders.
    """

    __slots__ = ("data_centre", "machine", "market", "_key", "_hash")

    def __init__(self, data_centre: str, machine: str, market: Market) -> None:
        self.data_centre = data_centre
        self.machine = machine
        self.market = market
        self._key = (data_centre, machine, str(market))
        self._hash = hash(self._key)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Place) and self._key == other._key

    def __lt__(self, other: "Place") -> bool:
        return self._key < other._key

    def __hash__(self) -> int:
        return self._hash

    def __str__(self) -> str:
        return "/".join(self._key)


class RunnerState(enum.StrEnum):
    """Lifecycle state of a runner."""

    #: Ordered or starting; it can't serve yet.
    STARTING = "starting"
    #: Running; it serves once its model is loaded.
    LIVE = "live"
    #: Drained, or announced for reclaim; it no longer counts as held.
    LEAVING = "leaving"


class HeldRunner:
    """A runner that the fleet pays for.

    :param vm: the name of the VM that it runs on.
    :param loaded: whether the entry's model is in its memory.
    :param busy: number of requests that it is processing.
    """

    __slots__ = ("vm", "place", "state", "loaded", "busy")

    def __init__(
        self,
        vm: str,
        place: Place,
        state: RunnerState,
        loaded: bool = True,
        busy: int = 0,
    ) -> None:
        self.vm = vm
        self.place = place
        self.state = state
        self.loaded = loaded
        self.busy = busy


class Demand:
    """The demand of customers on an entry.

    :param requests_per_s: arrival rate, with or without smoothing.
    :param service_s: time for which one request occupies a slot, the room for
        one of a runner's concurrent requests, in seconds.
    :param wait_s: maximum wait for a slot within the latency target, in
        seconds.
    """

    __slots__ = ("requests_per_s", "service_s", "wait_s")

    def __init__(
        self, requests_per_s: float, service_s: float, wait_s: float
    ) -> None:
        self.requests_per_s = requests_per_s
        self.service_s = service_s
        self.wait_s = wait_s


class Buy:
    """The order to buy a VM for a runner.

    :param token: idempotency token; the cloud treats orders with the same
        token as one order.
    """

    __slots__ = ("token", "place")

    def __init__(self, token: str, place: Place) -> None:
        self.token = token
        self.place = place


class Release:
    """The order to drain a runner, then return its VM to the cloud."""

    __slots__ = ("vm",)

    def __init__(self, vm: str) -> None:
        self.vm = vm


class LoadModel:
    """The order to load the entry's model on a runner."""

    __slots__ = ("vm",)

    def __init__(self, vm: str) -> None:
        self.vm = vm


#: An order of a planner, which its caller carries out.
PlannerAction: typing.TypeAlias = Buy | Release | LoadModel
