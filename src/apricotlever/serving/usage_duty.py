"""The duty to report each window's usage, exactly once.

The counts of a window are fixed in the store before they are first sent, so
that a second holder, or the same one after a restart, can only send the same
counts again. Between reports the holder writes what it has heard to the
store, so that the counts of VMs that died do not die with all who heard them.
"""

import contextlib
import typing

from .. import clock as clocks
from .. import logs
from ..contracts import usage_windows

from . import dialects
from . import duties
from . import notes
from . import store

KIND = notes.KIND
#: How long after a window's end its counts are fixed: calls that began in
#: it have been counted, and told to all, by then.
SETTLE_S = 2.5
#: Between two checkpoints, in seconds.
CHECKPOINT_S = 1.0
#: Windows reported after a takeover, back from the newest that is due.
LOOK_BACK = 3
#: Reports kept in the store, by window.
KEPT_REPORTS = 12
PAUSE_S = 0.2


class UsageDuty:
    """Reports usage while this VM holds the lease.

    :param windows: what this VM counted and heard.
    :param levels: what is left of each customer's limit.
    """

    __slots__ = (
        "_checkpoint_at",
        "_clock",
        "_cloud",
        "_dialect",
        "_fixed",
        "_keeper",
        "_levels",
        "_next_try",
        "_recovered",
        "_reported",
        "_store",
        "_windows",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        windows: usage_windows.UsageWindows,
        store_: store.Store,
        cloud: duties.Cloud,
        dialect: dialects.PlatformDialect,
        keeper: duties.LeaseKeeper,
        levels: typing.Callable[[], typing.Mapping[str, float]],
    ) -> None:
        self._clock = clock
        self._windows = windows
        self._store = store_
        self._cloud = cloud
        self._dialect = dialect
        self._keeper = keeper
        self._levels = levels
        self._fixed: dict[int, usage_windows.CallCounts] = {}
        self._reported = 0
        self._recovered = False
        self._checkpoint_at = float("-inf")
        self._next_try = float("-inf")

    @property
    def reported(self) -> int:
        """The newest window that is known to be reported."""
        return self._reported

    def heard_reported(self, window: int) -> None:
        """Another VM knows that a window is reported."""
        self._reported = max(self._reported, window)

    async def step(self) -> None:
        """Do what is due."""
        if self._keeper.fencing is None:
            self._recovered = False
            return
        now = self._clock.now()
        if now < self._next_try:
            return
        try:
            if not self._recovered:
                await self._recover()
            await self._report_due()
            if now >= self._checkpoint_at:
                self._checkpoint_at = now + CHECKPOINT_S
                await self._checkpoint()
        except (store.StoreError, duties.CloudBusy, ValueError) as error:
            self._next_try = self._clock.now() + PAUSE_S
            logs.event(
                "usage_report_delayed",
                error=f"{type(error).__name__}: {error}",
            )

    async def _recover(self) -> None:
        """Read what the former holder wrote down."""
        found = await self._store.get(KIND, notes.NAME)
        if found is not None:
            for window, table in notes.counts(found.spec).items():
                for process, counts in table.items():
                    self._windows.merge_counts(process, {window: counts})
        self._recovered = True

    async def _report_due(self) -> None:
        wall = self._clock.wall()
        current = self._windows.window
        first = max(self._reported + 1, current - LOOK_BACK)
        for window in range(first, current):
            if self._windows.window_end_s(window) + SETTLE_S <= wall:
                await self._report(window)

    async def _report(self, window: int) -> None:
        counts = self._fixed.get(window)
        if counts is None:
            counts = await self._fix(window)
            if counts is None:
                # To report other counts than a holder before may have done
                # is worse than to report none; the next windows go on.
                self._reported = max(self._reported, window)
                logs.event("stored_refused", kind=KIND, object=f"w{window}")
                return
            self._fixed[window] = counts
        fencing = self._keeper.fencing
        if fencing is None:
            return
        path, body = self._dialect.report_call(window, counts)
        if not await self._cloud.send(path, body, fencing):
            logs.event("report_fenced_off", window=window, fencing=fencing)
            self._keeper.fenced_off(fencing)
            return
        self._reported = max(self._reported, window)
        self._fixed.pop(window, None)
        logs.event(
            "usage_reported",
            window=window,
            fencing=fencing,
            requests=sum(counts.values()),
        )
        if self._reported % KEPT_REPORTS == 0:
            await self._forget_old()

    async def _fix(self, window: int) -> usage_windows.CallCounts | None:
        """Agree on a window's counts by a conditional create.

        :returns: None when what was agreed on can't be read.
        """
        name = f"w{window}"
        counts = self._windows.total(window)
        try:
            await self._store.create(KIND, name, counts)
            return counts
        except (store.Conflict, store.Unanswered):
            # Another holder was first, or the create took effect unseen.
            found = await self._store.get(KIND, name)
            if found is None:
                raise store.Unanswered(name) from None
            return notes.fixed_counts(found.spec)

    async def _checkpoint(self) -> None:
        table: dict[str, typing.Any] = {
            str(window): processes
            for window, processes in self._windows.all_counts().items()
            if window > self._reported
        }
        spec = notes.compose(table, self._levels(), self._clock.wall())
        try:
            await self._store.replace(KIND, notes.NAME, spec, None)
        except store.NotFound:
            await self._store.create(KIND, notes.NAME, spec)

    async def _forget_old(self) -> None:
        for stored in (await self._store.list_all(KIND, True)).objects:
            number = stored.name.removeprefix("w")
            if number.isdigit() and int(number) < (
                self._reported - KEPT_REPORTS
            ):
                with contextlib.suppress(store.NotFound):
                    await self._store.delete(KIND, stored.name)
