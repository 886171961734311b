"""The duties that this VM performs while it holds the fleet's lease.

A duty is a task that one VM at a time performs for the fleet: to order
runners, to report usage, or to write the status of roll-outs. The roster is
the set of the duties that the settings enable.
"""

import random
import typing

from .. import clock as clocks
from ..contracts import usage_windows
from ..roll_outs import controller as roll_outs_controller
from ..vms import vm_records

from . import configuration_model
from . import customer_limits
from . import dialects
from . import duty_lease
from . import fleet_workload
from . import roll_out_duty
from . import runner_directory as directories
from . import runner_duty
from . import settings
from . import store
from . import task_supervisor
from . import upstreams
from . import usage_duty

#: All duties share one lease, as the store charges for each renewal and a
#: lease is renewed every 1.5 s.
LEASE_NAME = "fleet"


class DutyRoster:
    """All duties enabled in the settings, under one lease.

    Every VM has a roster and runs the tasks of its duties. They act only on
    the VM that holds the lease.

    :param config: the settings of this process.
    :param incarnation: the incarnation of this process.
    :param store_: keeps the lease.
    :param dialect: the platform's protocol for calls to the cloud API.
    """

    __slots__ = (
        "_clock",
        "_cloud",
        "_heartbeat_s",
        "_lease_manager",
        "_roll_outs",
        "_runners",
        "_usage",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        config: settings.NodeSettings,
        incarnation: int,
        store_: store.Store,
        dialect: dialects.PlatformDialect,
    ) -> None:
        self._clock = clock
        self._heartbeat_s = config.bounds.runner_heartbeat_s
        self._lease_manager = keeper = duty_lease.LeaseManager(
            LEASE_NAME,
            config.vm,
            incarnation,
            clock,
            rng,
            store_,
            config.bounds,
        )
        self._cloud = (
            duty_lease.CloudClient(
                config.vm,
                dialect,
                config.cloud,
                lambda fencing: keeper.fencing == fencing,
            )
            if config.cloud is not None
            else None
        )
        self._runners: runner_duty.RunnerDuty | None = None
        self._usage: usage_duty.UsageDuty | None = None
        self._roll_outs: roll_out_duty.RollOutDuty | None = None

    @property
    def last_reported_window(self) -> int:
        """The newest usage window known to be reported; 0 if none."""
        return (
            self._usage.last_reported_window if self._usage is not None else 0
        )

    def add_runner_duty(
        self,
        workload: fleet_workload.FleetWorkload,
        directory: directories.RunnerDirectory,
        upstreams_: upstreams.Upstreams,
        dialect: dialects.PlatformDialect,
    ) -> None:
        """Add the duty to order runners, if there is a cloud API.

        :param workload: the fleet's workload, which determines the orders.
        """
        if self._cloud is not None:
            self._runners = runner_duty.RunnerDuty(
                self._clock,
                workload,
                directory,
                upstreams_.all_in_flight,
                self._cloud,
                dialect,
                self._lease_manager,
                self._heartbeat_s,
                upstreams_.takes_regular_calls,
                upstreams_.limited_away,
            )

    def add_usage_duty(
        self,
        windows: usage_windows.UsageWindows,
        limits_: customer_limits.CustomerLimits,
        store_: store.Store,
        dialect: dialects.PlatformDialect,
    ) -> None:
        """Add the duty to report usage, if there is a cloud API.

        :param windows: the usage counts of all VMs by time window.
        :param limits_: customers' limits; what is left of them is stored
            with the usage counts.
        """
        if self._cloud is not None:
            self._usage = usage_duty.UsageDuty(
                self._clock,
                windows,
                store_,
                self._cloud,
                dialect,
                self._lease_manager,
                lambda: limits_.levels,
            )

    def add_roll_out_duty(
        self,
        controller: roll_outs_controller.RollOutController,
        store_: store.Store,
        upstreams_: upstreams.Upstreams,
        dialect: dialects.PlatformDialect,
        changed: typing.Callable[[], None],
    ) -> None:
        """Add the duty to write the status of roll-outs.

        :param changed: called when a roll-out order changed.
        """
        self._roll_outs = roll_out_duty.RollOutDuty(
            self._clock,
            controller,
            store_,
            dialect,
            self._lease_manager,
            upstreams_.in_flight_at,
            changed,
        )

    def start(self, running: task_supervisor.TaskSupervisor) -> None:
        """Start the tasks of the added duties and of their lease."""
        if (self._runners, self._usage, self._roll_outs) == (None, None, None):
            return
        repeat = running.repeat
        repeat("lease", duty_lease.TICK_S, self._lease_manager.step)
        if self._runners is not None:
            repeat(
                "runner_duty", runner_duty.STEP_INTERVAL_S, self._runners.step
            )
        if self._usage is not None:
            repeat("usage_duty", usage_duty.STEP_INTERVAL_S, self._usage.step)
        if self._roll_outs is not None:
            repeat(
                "roll_out_duty",
                roll_out_duty.STEP_INTERVAL_S,
                self._roll_outs.step,
            )

    def configure(
        self, configuration: configuration_model.Configuration
    ) -> None:
        """Apply a version of the configuration to the duties."""
        if self._runners is not None:
            self._runners.configuration = configuration

    def observe_reported_window(self, window: int) -> None:
        """Record that another VM knows the usage of a window to be reported.

        :param window: the newest such window; 0 if there is none.
        """
        if self._usage is not None:
            self._usage.observe_reported_window(window)

    def update_view(
        self, peers: typing.Sequence[vm_records.VmRecord], members: int
    ) -> None:
        """Decide whether this VM contends for the lease on the duties.

        :param peers: the status records of the other live VMs.
        :param members: the number of VMs that may be alive, including this
            one and silent ones.
        """
        self._lease_manager.update_view(peers, members)

    @property
    def last_renewal(self) -> tuple[int, int] | None:
        """The object version and fencing number of the last lease renewal.

        The value is None while this VM does not hold the lease.
        """
        return self._lease_manager.last_renewal

    @property
    def surrendered_fencing(self) -> int:
        """The fencing number of the lease that this VM surrendered recently.

        It is 0 if there is none. Once other VMs know it, one of them can
        acquire the lease without waiting until it expires.
        """
        return self._lease_manager.surrendered_fencing

    @property
    def cloud_calls(self) -> int:
        """The number of calls made to the cloud API."""
        return self._cloud.calls if self._cloud is not None else 0

    def release_lease(self) -> None:
        """Surrender the lease on the duties, as this VM stops."""
        self._lease_manager.release()
