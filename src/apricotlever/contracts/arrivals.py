"""How many requests come to each pool, and how long they hold a slot."""

from .. import clock as clocks
from ..links import peer_pb2 as pb

SMOOTHING = 0.2
REPORT_S = 1.0
LEAST_RATE = 1e-3
ARRIVALS = "arrivals_per_s"
SERVICE = "service_s"


class _Pool:
    """One pool's counts since the last report, and its smoothed figures."""

    __slots__ = ("arrived", "rate", "service_s")

    def __init__(self) -> None:
        self.arrived = 0
        self.rate = 0.0
        self.service_s = 0.0


class Arrivals:
    """The demand that this VM sees, for whoever plans capacity.

    :param vm: this VM's name.
    """

    __slots__ = ("_clock", "_vm", "_pools", "_started", "_reported_at")

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._pools: dict[str, _Pool] = {}
        self._started: dict[str, tuple[str, float]] = {}
        self._reported_at = clock.now()

    def arrived(self, pool: str) -> None:
        """A request came, whether it is admitted or not."""
        self._pools.setdefault(pool, _Pool()).arrived += 1

    def started(self, request_id: str, pool: str) -> None:
        """A request was sent to a runner for the first time."""
        self._started.setdefault(request_id, (pool, self._clock.now()))

    def ended(self, request_id: str) -> None:
        """A request gave its slot back."""
        known = self._started.pop(request_id, None)
        if known is None:
            return
        pool = self._pools.setdefault(known[0], _Pool())
        took_s = self._clock.now() - known[1]
        step = SMOOTHING if pool.service_s else 1.0
        pool.service_s += step * (took_s - pool.service_s)

    def report(self) -> pb.DemandReport | None:
        """The demand of the last second, when it is time to tell it."""
        now = self._clock.now()
        span_s = now - self._reported_at
        if span_s < REPORT_S:
            return None
        self._reported_at = now
        message = pb.DemandReport(vm=self._vm)
        for name, pool in self._pools.items():
            rate = pool.arrived / span_s
            pool.rate += SMOOTHING * (rate - pool.rate)
            pool.arrived = 0
            if pool.rate < LEAST_RATE:
                continue
            for limit, value in (
                (ARRIVALS, pool.rate),
                (SERVICE, pool.service_s),
            ):
                message.demands.add(entry=name, limit=limit, demand=value)
        return message if message.demands else None
