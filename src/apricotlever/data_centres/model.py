"""Where runners can be bought, what is held, and the orders of a planner."""

import enum
import typing


class Market(enum.StrEnum):
    """How a VM is bought, in the words of the cloud API."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on_demand"


class Place:
    """One machine class in one market of one data centre."""

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


class State(enum.StrEnum):
    """How far a runner is on its way."""

    #: Ordered or starting; it can't be counted on before it is live.
    STARTING = "starting"
    LIVE = "live"
    #: Noticed for reclaim or drained; it counts no more.
    LEAVING = "leaving"


class Holding:
    """One runner that the fleet pays for.

    :param loaded: whether it has the entry's model in memory.
    :param busy: requests that it is running.
    """

    __slots__ = ("vm", "place", "state", "loaded", "busy")

    def __init__(
        self,
        vm: str,
        place: Place,
        state: State,
        loaded: bool = True,
        busy: int = 0,
    ) -> None:
        self.vm = vm
        self.place = place
        self.state = state
        self.loaded = loaded
        self.busy = busy


class Demand:
    """What an entry's customers ask for.

    :param requests_per_s: arrivals, smoothed by the caller or not.
    :param service_s: a slot is busy this long for one request.
    :param wait_s: the wait for a slot that the latency target leaves.
    """

    __slots__ = ("requests_per_s", "service_s", "wait_s")

    def __init__(
        self, requests_per_s: float, service_s: float, wait_s: float
    ) -> None:
        self.requests_per_s = requests_per_s
        self.service_s = service_s
        self.wait_s = wait_s


class Buy:
    """Buy a VM. The cloud treats the same token as the same order."""

    __slots__ = ("token", "place")

    def __init__(self, token: str, place: Place) -> None:
        self.token = token
        self.place = place


class Release:
    """Drain a runner, then give its VM back."""

    __slots__ = ("vm",)

    def __init__(self, vm: str) -> None:
        self.vm = vm


class LoadModel:
    """Order a runner to load the entry's model."""

    __slots__ = ("vm",)

    def __init__(self, vm: str) -> None:
        self.vm = vm


Order: typing.TypeAlias = Buy | Release | LoadModel
