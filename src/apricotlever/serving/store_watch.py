"""Watcher that follows one kind of objects in the platform's store.

To follow a kind is to read the list of its objects once and then each change
of them by long-poll watch calls. Only some VMs, the followers, do so
(:mod:`~apricotlever.vms.follower_selection`); the other VMs learn of the
changes from their peers.
"""

import asyncio
import random
import typing

from .. import backoff
from .. import clock as clocks
from .. import log_rate_limiter
from .. import logs

from . import store

#: Bounds of the delay after a failed call, in seconds. The delay doubles with
#: each consecutive failure.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
#: Wait of the first watch call after a failure, in seconds; short, so that it
#: soon shows that the store has recovered.
RECOVERY_WATCH_WAIT_S = 0.05
#: Consecutive failures for longer than this count as an outage, in seconds.
MIN_OUTAGE_S = 0.4
#: Interval between two checks whether this VM has become a follower, in
#: seconds.
WANTED_CHECK_INTERVAL_S = 0.2


class Listener(typing.Protocol):
    """Receives the lists and the changes that a :class:`Watcher` reads."""

    def listed(self, page: store.Page) -> None:
        """Handle the complete list of the objects of the followed kind."""

    def changed(self, changes: store.Changes) -> None:
        """Handle created, changed and deleted objects of that kind."""

    def store_recovered(self) -> None:
        """Handle the end of an outage of the store.

        Shorter failures than :data:`MIN_OUTAGE_S` are not reported.
        """


class Watcher:
    """Follows one kind of objects until it is cancelled.

    Failed calls are repeated after a delay. The list is read again if the
    store no longer has the changes after the last known revision.

    :param kind: the kind of the objects.
    :param listener: called in the event loop with lists and changes.
    :param wanted: returns whether this VM is a follower and has to watch the
        store now; otherwise it receives the same updates from its peers.
    :param gather_s: the delay after a watch call that returned changes, in
        seconds. Changes come in series, and the store charges for each call,
        so that one call should return several of them.
    :param list_when_unwanted: whether to read the list at the start and
        whenever it is outdated, even if `wanted` returns false.
    """

    __slots__ = (
        "_failing_since",
        "_gather_s",
        "_kind",
        "_list_when_unwanted",
        "_listener",
        "_log_limit",
        "_revision",
        "_rng",
        "_store",
        "_wanted",
        "_watching",
    )

    def __init__(
        self,
        store_: store.Store,
        kind: str,
        listener: Listener,
        rng: random.Random,
        wanted: typing.Callable[[], bool] = lambda: True,
        gather_s: float = 0.0,
        list_when_unwanted: bool = True,
    ) -> None:
        self._list_when_unwanted = list_when_unwanted
        self._store = store_
        self._kind = kind
        self._listener = listener
        self._rng = rng
        self._wanted = wanted
        self._gather_s = gather_s
        self._watching = False
        self._log_limit = log_rate_limiter.LogRateLimiter(clocks.SystemClock())
        self._revision: int | None = None
        self._failing_since: float | None = None

    @property
    def is_connected(self) -> bool:
        """Whether this VM follows the kind, and the last call succeeded."""
        return self._watching and self._failing_since is None

    def invalidate(self) -> None:
        """Discard the known revision, so that the list is read again."""
        self._revision = None

    @property
    def kind(self) -> str:
        """The kind of the objects that this watcher follows."""
        return self._kind

    async def run(self) -> None:
        """Follow the kind until cancelled; errors of the listener propagate.

        After a restart the list is read again: an object that the listener
        failed to handle would otherwise be missing until its next change.
        """
        self.invalidate()
        try:
            await self._follow()
        finally:
            self._watching = False

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        delays = backoff.Backoff(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        while True:
            list_due = self._revision is None and self._list_when_unwanted
            if not list_due and not self._wanted():
                self._watching = False
                await asyncio.sleep(WANTED_CHECK_INTERVAL_S)
                continue
            try:
                await self._step(loop)
                self._watching = True
                delays.reset()
            except store.HistoryGone:
                logs.event("watch_restarted", kind=self._kind)
                self._revision = None
            except (store.StoreError, ValueError) as error:
                self._record_failure(loop.time(), error)
                delay_s = delays.record_failure()
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))

    async def _step(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._revision is None:
            page = await self._store.list_all(self._kind)
            self._record_success(loop.time())
            self._log_unreadable(page.unreadable + page.nameless)
            self._listener.listed(page)
            self._revision = page.revision
            return
        wait_s = (
            RECOVERY_WATCH_WAIT_S
            if self._failing_since is not None
            else store.WATCH_WAIT_S
        )
        changes = await self._store.watch(self._kind, self._revision, wait_s)
        self._record_success(loop.time())
        self._listener.changed(changes)
        if self._revision is not None:
            self._revision = changes.revision
        # An object without a usable name is none of this fleet's, so the list
        # need not be read for it again.
        self._log_unreadable(changes.nameless)
        if changes.unreadable:
            # The list shows the changed objects if they are readable there.
            self._log_unreadable(changes.unreadable)
            self.invalidate()
        if changes.changes and self._gather_s:
            await asyncio.sleep(self._gather_s)

    def _log_unreadable(self, count: int) -> None:
        if count and self._log_limit.allows(self._kind):
            logs.event("stored_refused", kind=self._kind, count=count)

    def _record_failure(self, now: float, error: Exception) -> None:
        if self._failing_since is None:
            self._failing_since = now
            logs.event(
                "dependency_lost",
                dependency="store",
                kind=self._kind,
                error=f"{type(error).__name__}: {error}",
            )

    def _record_success(self, now: float) -> None:
        since, self._failing_since = self._failing_since, None
        if since is None:
            return
        logs.event(
            "dependency_regained",
            dependency="store",
            kind=self._kind,
            away_s=now - since,
        )
        if now - since > MIN_OUTAGE_S:
            self._listener.store_recovered()
