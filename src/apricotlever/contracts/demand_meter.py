"""Measures each pool's arrival rate and the time requests hold a slot.

Each entry VM measures the requests that it receives and reports the figures
once a second, for the planning of the capacity.
"""

from .. import clock as clocks
from ..links import peer_pb2 as pb

#: Weight of a new sample in the moving averages.
SMOOTHING_FACTOR = 0.2
REPORT_INTERVAL_S = 1.0
#: Pools with a lower rate, in requests per second, are not reported.
MIN_REPORTED_RATE = 1e-3
ARRIVAL_RATE_FIELD = "arrivals_per_s"
SERVICE_TIME_FIELD = "service_s"


class _PoolDemand:
    """A pool's arrivals since the last report, and its moving averages.

    ``rate`` is in arrivals per second; ``service_s`` is the time for which a
    request holds its slot, in seconds, and 0 until the first request ended.
    """

    __slots__ = ("arrival_count", "rate", "service_s")

    def __init__(self) -> None:
        self.arrival_count = 0
        self.rate = 0.0
        self.service_s = 0.0


class DemandMeter:
    """Measures the demand at this VM for capacity planning.

    :param clock: the source of time.
    :param vm: this VM's name.
    """

    __slots__ = ("_clock", "_vm", "_pools", "_started", "_reported_at")

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._pools: dict[str, _PoolDemand] = {}
        self._started: dict[str, tuple[str, float]] = {}
        self._reported_at = clock.now()

    def record_arrival(self, pool: str) -> None:
        """Count a request for a pool, whether it is admitted or not."""
        self._pools.setdefault(pool, _PoolDemand()).arrival_count += 1

    def record_start(self, request_id: str, pool: str) -> None:
        """Note that a request was sent to a runner and holds a slot from now.

        Further calls for the request before it ends have no effect.
        """
        self._started.setdefault(request_id, (pool, self._clock.now()))

    def record_end(self, request_id: str) -> None:
        """Note that a request ended, and record how long it held its slot.

        Requests without a recorded start are ignored.
        """
        start = self._started.pop(request_id, None)
        if start is None:
            return
        pool = self._pools.setdefault(start[0], _PoolDemand())
        held_s = self._clock.now() - start[1]
        weight = SMOOTHING_FACTOR if pool.service_s else 1.0
        pool.service_s += weight * (held_s - pool.service_s)

    def take_report(self) -> pb.DemandReport | None:
        """Return the demand report if it is due, else None.

        A report is due every :data:`REPORT_INTERVAL_S` seconds.
        """
        now = self._clock.now()
        span_s = now - self._reported_at
        if span_s < REPORT_INTERVAL_S:
            return None
        self._reported_at = now
        message = pb.DemandReport(vm=self._vm)
        for name, pool in self._pools.items():
            rate = pool.arrival_count / span_s
            pool.rate += SMOOTHING_FACTOR * (rate - pool.rate)
            pool.arrival_count = 0
            if pool.rate < MIN_REPORTED_RATE:
                continue
            for limit, value in (
                (ARRIVAL_RATE_FIELD, pool.rate),
                (SERVICE_TIME_FIELD, pool.service_s),
            ):
                message.demands.add(entry=name, limit=limit, demand=value)
        return message if message.demands else None
