"""The duties that this VM does while it holds the fleet's lease."""

import random
import typing

from .. import clock as clocks
from ..contracts import usage_windows
from ..roll_outs import controller as roll_outs_controller
from ..vms import vm_records

from . import dialects
from . import directory as directories
from . import duties
from . import limits
from . import roll_out_duty
from . import routes
from . import runner_duty
from . import settings
from . import store
from . import tasks
from . import upstreams
from . import usage_duty

#: One lease for all duties: it is renewed every 1.5 s, at a price each time.
LEASE = "fleet"


class DutyRoster:
    """All duties that the settings name, under one lease.

    :param work: the fleet's work, by which runners are ordered.
    :param limits: noted in the store with the usage counts.
    """

    __slots__ = (
        "_clock",
        "_cloud",
        "_heartbeat_s",
        "_keeper",
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
        self._keeper = keeper = duties.LeaseKeeper(
            LEASE, config.vm, incarnation, clock, rng, store_, config.bounds
        )
        self._cloud = (
            duties.Cloud(
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
    def reported(self) -> int:
        """The newest usage window that is known to be reported."""
        return self._usage.reported if self._usage is not None else 0

    def order_runners(
        self,
        work: runner_duty.Work,
        directory: directories.Directory,
        calls: upstreams.Upstreams,
        dialect: dialects.PlatformDialect,
    ) -> None:
        """Take on the duty to order runners."""
        if self._cloud is not None:
            self._runners = runner_duty.RunnerDuty(
                self._clock,
                work,
                directory,
                calls.all_in_flight,
                self._cloud,
                dialect,
                self._keeper,
                self._heartbeat_s,
                calls.serves,
            )

    def report_usage(
        self,
        windows: usage_windows.UsageWindows,
        limits_: limits.Limits,
        store_: store.Store,
        dialect: dialects.PlatformDialect,
    ) -> None:
        """Take on the duty to report usage."""
        if self._cloud is not None:
            self._usage = usage_duty.UsageDuty(
                self._clock,
                windows,
                store_,
                self._cloud,
                dialect,
                self._keeper,
                lambda: limits_.levels,
            )

    def write_roll_outs(
        self,
        controller: roll_outs_controller.RollOutController,
        store_: store.Store,
        calls: upstreams.Upstreams,
        dialect: dialects.PlatformDialect,
        changed: typing.Callable[[], None],
    ) -> None:
        """Take on the duty to write the status of roll-outs."""
        self._roll_outs = roll_out_duty.RollOutDuty(
            self._clock,
            controller,
            store_,
            dialect,
            self._keeper,
            calls.in_flight_at,
            changed,
        )

    def start(self, running: tasks.Tasks) -> None:
        """Do the duties from now on."""
        if (self._runners, self._usage, self._roll_outs) == (None, None, None):
            return
        running.every(duties.TICK_S, self._keeper.step)
        if self._runners is not None:
            running.every(runner_duty.PAUSE_S, self._runners.step)
        if self._usage is not None:
            running.every(usage_duty.PAUSE_S, self._usage.step)
        if self._roll_outs is not None:
            running.every(roll_out_duty.PAUSE_S, self._roll_outs.step)

    def configure(self, configuration: routes.Configuration) -> None:
        """Take over a version of the configuration."""
        if self._runners is not None:
            self._runners.configuration = configuration

    def heard_reported(self, window: int) -> None:
        """Another VM knows that a window is reported."""
        if self._usage is not None:
            self._usage.heard_reported(window)

    def look(
        self, peers: typing.Sequence[vm_records.VmRecord], members: int
    ) -> None:
        """Decide whether to contend for the lease."""
        self._keeper.look(peers, members)

    @property
    def renewed(self) -> tuple[int, int] | None:
        """The lease's version and number while this VM holds it."""
        return self._keeper.renewed

    @property
    def gave_up(self) -> int:
        """The number of the lease that this VM handed over lately."""
        return self._keeper.gave_up

    @property
    def cloud_calls(self) -> int:
        """Calls to the cloud API so far."""
        return self._cloud.calls if self._cloud is not None else 0

    def leave(self) -> None:
        """Give the lease back."""
        self._keeper.leave()
