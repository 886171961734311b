"""What one process has to know to start; a dialect reads it."""

import typing

from .. import addresses
from ..roll_outs import model as roll_outs_model

Address = addresses.Address


class Bounds:
    """The promises that the fleet keeps; all times in seconds.

    :param drain_s: how soon a runner that has left must get no more work.
    :param shutdown_s: from the signal until the process is killed.
    :param retry_ratio: retries for each request.
    :param retry_least: retries that the fleet may make besides.
    :param retry_window_s: over which they are counted.
    :param limit_spare: units by which a customer's limit may be exceeded
        for a while.
    :param limit_overshoot: part of a limit by which it may be exceeded.
    :param fencing_checked: whether the platform refuses calls under a number
        that is lower than one it has seen.
    :param lease_s: how long a holder of a duty may act after it was last
        confirmed.
    :param usage_window_s: the length of a window of usage reports.
    :param usage_due_s: how long after its end a report is due.
    :param resolve_ttl_s: the longest that callers keep a list of VMs.
    :param runner_heartbeat_s: between two heartbeats of a runner.
    :param roll_outs: limits on the exposure to a bad version; None if
        roll-outs are disabled.
    """

    __slots__ = (
        "drain_s",
        "shutdown_s",
        "retry_ratio",
        "retry_least",
        "retry_window_s",
        "limit_spare",
        "limit_overshoot",
        "fencing_checked",
        "lease_s",
        "usage_window_s",
        "usage_due_s",
        "resolve_ttl_s",
        "runner_heartbeat_s",
        "roll_outs",
    )

    def __init__(
        self,
        shutdown_s: float = 8.0,
        retry_ratio: float = 0.2,
        retry_least: float = 10.0,
        retry_window_s: float = 10.0,
        limit_spare: float = 0.0,
        lease_s: float = 3.0,
        usage_window_s: float = 5.0,
        usage_due_s: float = 10.0,
        resolve_ttl_s: float = 5.0,
        drain_s: float = 2.0,
        runner_heartbeat_s: float = 1.2,
        limit_overshoot: float = 0.0,
        fencing_checked: bool = True,
        roll_outs: roll_outs_model.RollOutLimits | None = None,
    ) -> None:
        self.roll_outs = roll_outs
        self.fencing_checked = fencing_checked
        self.drain_s = drain_s
        self.runner_heartbeat_s = runner_heartbeat_s
        self.shutdown_s = shutdown_s
        self.retry_ratio = retry_ratio
        self.retry_least = retry_least
        self.retry_window_s = retry_window_s
        self.limit_spare = limit_spare
        self.limit_overshoot = limit_overshoot
        self.lease_s = lease_s
        self.usage_window_s = usage_window_s
        self.usage_due_s = usage_due_s
        self.resolve_ttl_s = resolve_ttl_s


class NodeSettings:
    """One process's place in the fleet.

    :param callers: where it takes callers' calls.
    :param checks: where it tells whether it is ready.
    :param lookups: where callers ask which VMs to use.
    :param peers: where it hears the other VMs, by TCP and UDP.
    :param limits: where they ask it of limits, by UDP; None for nowhere.
    :param metrics: where it shows its metrics; None for nowhere.
    :param seeds: peer addresses of some VMs; they may be stale.
    :param data_centres: all of them.
    :param store: the platform's object store.
    :param cloud: the platform's cloud API; None when there is none.
    :param reports_usage: whether usage reports are a duty.
    :param orders_runners: whether ordering runners is a duty.
    """

    __slots__ = (
        "vm",
        "data_centre",
        "data_centres",
        "callers",
        "checks",
        "lookups",
        "peers",
        "limits",
        "metrics",
        "seeds",
        "store",
        "cloud",
        "reports_usage",
        "orders_runners",
        "bounds",
    )

    def __init__(
        self,
        vm: str,
        data_centre: str,
        data_centres: tuple[str, ...],
        callers: Address,
        checks: Address | None,
        lookups: Address | None,
        peers: Address,
        metrics: Address | None,
        seeds: tuple[str, ...],
        store: Address,
        cloud: Address | None,
        reports_usage: bool,
        orders_runners: bool,
        bounds: Bounds,
        limits: Address | None = None,
    ) -> None:
        self.limits = limits
        self.vm = vm
        self.data_centre = data_centre
        self.data_centres = data_centres
        self.callers = callers
        self.checks = checks
        self.lookups = lookups
        self.peers = peers
        self.metrics = metrics
        self.seeds = seeds
        self.store = store
        self.cloud = cloud
        self.reports_usage = reports_usage
        self.orders_runners = orders_runners
        self.bounds = bounds

    @property
    def asked_at(self) -> tuple[Address | None, ...]:
        """Where callers and the platform connect."""
        return (self.callers, self.lookups, self.checks)


SettingsReader = typing.Callable[[], NodeSettings]
