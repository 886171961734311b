"""The duty to report the usage of each window exactly once.

Usage is the number of calls of each customer in a window, a numbered period of
wall-clock time. The holder of the fleet's lease reports the counts of all VMs
to the cloud API.

The counts of a window are fixed in the store before they are first sent, so
that another holder, or the same one after a restart, can only send the same
counts again. Between reports the holder writes a checkpoint of all received
counts to the store, so that the counts of failed VMs are not lost when all
VMs that received them fail, too.
"""

import contextlib
import typing

from .. import clock as clocks
from .. import logs
from ..contracts import usage_windows

from . import checkpoint
from . import dialects
from . import duty_lease
from . import store

#: Kind of the objects with the fixed counts, which is that of the checkpoint.
KIND = checkpoint.KIND
#: Delay from the end of a window until its counts are fixed. By then the
#: calls that began in the window are counted and known to all VMs.
FIX_DELAY_S = 2.5
#: Interval between two checkpoints, in seconds.
CHECKPOINT_INTERVAL_S = 1.0
#: Number of the latest past windows that are reported. Older windows are
#: skipped, such as by a new holder that does not know whether they are
#: reported.
MAX_BACKLOG_WINDOWS = 3
#: Number of windows whose fixed counts are kept in the store.
MAX_KEPT_WINDOWS = 12
#: Interval between two steps, also the delay after a failed step, in seconds.
STEP_INTERVAL_S = 0.2


class UsageDuty:
    """Reports usage while this VM holds the lease.

    :param windows: the counts of this VM and those received from others.
    :param lease_manager: manages the lease.
    :param levels: returns the units left of each customer's limit, which the
        checkpoint includes.
    """

    __slots__ = (
        "_checkpoint_at",
        "_clock",
        "_cloud",
        "_dialect",
        "_fixed_counts",
        "_lease_manager",
        "_levels",
        "_next_attempt_at",
        "_recovered",
        "_last_reported",
        "_store",
        "_windows",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        windows: usage_windows.UsageWindows,
        store_: store.Store,
        cloud: duty_lease.CloudClient,
        dialect: dialects.PlatformDialect,
        lease_manager: duty_lease.LeaseManager,
        levels: typing.Callable[[], typing.Mapping[str, float]],
    ) -> None:
        self._clock = clock
        self._windows = windows
        self._store = store_
        self._cloud = cloud
        self._dialect = dialect
        self._lease_manager = lease_manager
        self._levels = levels
        self._fixed_counts: dict[int, usage_windows.CallCounts] = {}
        self._last_reported = 0
        self._recovered = False
        self._checkpoint_at = float("-inf")
        self._next_attempt_at = float("-inf")

    @property
    def last_reported_window(self) -> int:
        """The newest window known to be reported; 0 if none."""
        return self._last_reported

    def observe_reported_window(self, window: int) -> None:
        """Record that another VM knows the usage of a window to be reported.

        :param window: the newest such window; 0 if there is none.
        """
        self._last_reported = max(self._last_reported, window)

    async def step(self) -> None:
        """Send the reports that are due, and write the checkpoint.

        Without the lease, this does nothing.
        """
        if self._lease_manager.fencing is None:
            self._recovered = False
            return
        now = self._clock.now()
        if now < self._next_attempt_at:
            return
        try:
            if not self._recovered:
                await self._recover()
            await self._report_due()
            if now >= self._checkpoint_at:
                self._checkpoint_at = now + CHECKPOINT_INTERVAL_S
                await self._write_checkpoint()
        except (store.StoreError, duty_lease.CloudBusy, ValueError) as error:
            self._next_attempt_at = self._clock.now() + STEP_INTERVAL_S
            logs.event(
                "usage_report_delayed",
                error=f"{type(error).__name__}: {error}",
            )

    async def _recover(self) -> None:
        """Merge the counts from the last checkpoint in the store.

        A previous holder of the lease may have written it.
        """
        found = await self._store.get(KIND, checkpoint.NAME)
        if found is not None:
            for window, table in checkpoint.parse_counts(found.spec).items():
                for process, counts in table.items():
                    self._windows.merge_counts(process, {window: counts})
        self._recovered = True

    async def _report_due(self) -> None:
        wall = self._clock.wall()
        current = self._windows.window
        first = max(self._last_reported + 1, current - MAX_BACKLOG_WINDOWS)
        for window in range(first, current):
            if self._windows.window_end_s(window) + FIX_DELAY_S <= wall:
                await self._report(window)

    async def _report(self, window: int) -> None:
        counts = self._fixed_counts.get(window)
        if counts is None:
            counts = await self._fix_counts(window)
            if counts is None:
                # A previous holder may have reported the unreadable counts.
                # Reporting different ones is worse than reporting none, so
                # this window is skipped.
                self._last_reported = max(self._last_reported, window)
                logs.event("stored_refused", kind=KIND, object=f"w{window}")
                return
            self._fixed_counts[window] = counts
        fencing = self._lease_manager.fencing
        if fencing is None:
            return
        path, body = self._dialect.usage_report_request(window, counts)
        if not await self._cloud.send(path, body, fencing):
            logs.event("report_fenced_off", window=window, fencing=fencing)
            self._lease_manager.fencing_rejected(fencing)
            return
        self._last_reported = max(self._last_reported, window)
        self._fixed_counts.pop(window, None)
        logs.event(
            "usage_reported",
            window=window,
            fencing=fencing,
            requests=sum(counts.values()),
        )
        if self._last_reported % MAX_KEPT_WINDOWS == 0:
            await self._delete_old_counts()

    async def _fix_counts(
        self, window: int
    ) -> usage_windows.CallCounts | None:
        """Fix the counts that will be reported for a window, in the store.

        An object with the counts is created only if none exists, so the first
        holder to do so determines them.

        :returns: the fixed counts; None if the stored ones are unreadable.
        """
        name = f"w{window}"
        counts = self._windows.total(window)
        try:
            await self._store.create(KIND, name, counts)
            return counts
        except (store.Conflict, store.Unanswered):
            # Another holder has fixed the counts, or the object was created
            # and the answer lost.
            found = await self._store.get(KIND, name)
            if found is None:
                raise store.Unanswered(name) from None
            return checkpoint.parse_fixed_counts(found.spec)

    async def _write_checkpoint(self) -> None:
        table: dict[str, typing.Any] = {
            str(window): processes
            for window, processes in self._windows.all_counts().items()
            if window > self._last_reported
        }
        spec = checkpoint.compose_checkpoint(
            table, self._levels(), self._clock.wall()
        )
        try:
            await self._store.replace(KIND, checkpoint.NAME, spec, None)
        except store.NotFound:
            await self._store.create(KIND, checkpoint.NAME, spec)

    async def _delete_old_counts(self) -> None:
        for stored in (await self._store.list_all(KIND, True)).objects:
            number = stored.name.removeprefix("w")
            if number.isdigit() and int(number) < (
                self._last_reported - MAX_KEPT_WINDOWS
            ):
                with contextlib.suppress(store.NotFound):
                    await self._store.delete(KIND, stored.name)
