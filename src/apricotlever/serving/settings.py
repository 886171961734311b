"""Settings of one entry VM's process, as a platform's dialect reads them."""

import typing

from .. import addresses
from ..roll_outs import model as roll_outs_model

from . import modes as modes_

Address = addresses.Address


class FleetBounds:
    """Bounds that the fleet guarantees; all times are in seconds.

    :param drain_s: time after a runner has left within which calls to it must
        stop.
    :param shutdown_s: time from the stop signal until the process is killed.
    :param retry_ratio: maximum number of retries that the fleet may make, as a
        fraction of its requests.
    :param retry_min: retries that the fleet may make in addition.
    :param retry_window_s: period over which requests and retries are counted.
    :param limit_slack: units by which a customer's limit may be exceeded
        for a while. A limit counts calls or tokens as its units.
    :param limit_overshoot: fraction of a limit by which it may be exceeded at
        all times.
    :param fencing_checked: whether the platform refuses calls with a fencing
        number lower than one that it has seen. Each new holder of the lease on
        the fleet's duties gets a greater number.
    :param lease_s: time within which two holders of that lease must not
        alternate. A holder may act for a multiple of it after the lease was
        last confirmed (:data:`~.duty_lease.LEASE_DURATION_FACTOR`).
    :param usage_window_s: length of a window, the period that one usage report
        covers.
    :param usage_due_s: time after the end of a window at which its report is
        due.
    :param resolve_ttl_s: maximum time for which callers keep a list of VMs.
    :param runner_heartbeat_s: time between two heartbeats of a runner.
    :param roll_outs: limits on the exposure to a bad version; None if
        roll-outs are disabled.
    """

    __slots__ = (
        "drain_s",
        "shutdown_s",
        "retry_ratio",
        "retry_min",
        "retry_window_s",
        "limit_slack",
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
        retry_min: float = 10.0,
        retry_window_s: float = 10.0,
        limit_slack: float = 0.0,
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
        self.retry_min = retry_min
        self.retry_window_s = retry_window_s
        self.limit_slack = limit_slack
        self.limit_overshoot = limit_overshoot
        self.lease_s = lease_s
        self.usage_window_s = usage_window_s
        self.usage_due_s = usage_due_s
        self.resolve_ttl_s = resolve_ttl_s


class Machine:
    """What the machine of a process has; 0 stands for what isn't known.

    :param memory_bytes: memory that the process may take.
    :param descriptors: descriptors that it may have open.
    """

    __slots__ = ("memory_bytes", "descriptors")

    def __init__(self, memory_bytes: int = 0, descriptors: int = 0) -> None:
        self.memory_bytes = memory_bytes
        self.descriptors = descriptors


class NodeSettings:
    """Identity, addresses and duties of one process.

    :param vm: the VM's name.
    :param data_centre: the VM's data centre.
    :param data_centres: names of all data centres.
    :param callers: address at which the process serves callers.
    :param checks: address of the readiness check; None if disabled.
    :param lookups: address at which callers look up VMs; None if disabled.
    :param peers: address for other VMs, by TCP and UDP.
    :param limits: address at which other VMs ask this one to admit calls
        against customers' limits, by UDP; None if disabled.
    :param metrics: address at which metrics are served; None if disabled.
    :param seeds: peer addresses of some VMs, by which the process finds the
        fleet; they may be stale.
    :param store: address of the platform's object store.
    :param cloud: address of the platform's cloud API; None without one.
    :param reports_usage: whether this fleet reports usage.
    :param orders_runners: whether this fleet orders runners.
    :param bounds: bounds that the fleet guarantees.
    :param modes: the modes of the parts of the request path.
    :param machine: what the process may take of its machine.
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
        "modes",
        "machine",
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
        bounds: FleetBounds,
        limits: Address | None = None,
        modes: modes_.PartModes | None = None,
        machine: Machine | None = None,
    ) -> None:
        self.limits = limits
        self.machine = machine or Machine()
        self.modes = modes or modes_.PartModes()
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
    def public_addresses(self) -> tuple[Address | None, ...]:
        """Addresses at which callers and the platform connect."""
        return (self.callers, self.lookups, self.checks)


#: Reads the settings file and returns its contents.
SettingsReader = typing.Callable[[], NodeSettings]
