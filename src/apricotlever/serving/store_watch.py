"""Follows one kind of objects of the platform's store."""

import asyncio
import random
import typing

from .. import clock as clocks
from .. import logs

from . import log_limit
from . import store

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
#: How long a watch waits after a failure, to see soon that the store is back.
RETURN_WATCH_S = 0.05
#: Failures in a row for longer than this count as an outage.
OUTAGE_S = 0.4
#: Between two looks whether a watch is wanted, in seconds.
UNWANTED_S = 0.2


class Listener(typing.Protocol):
    """Takes what a watch brings."""

    def listed(self, page: store.Page) -> None:
        """The whole list was read."""

    def changed(self, changes: store.Changes) -> None:
        """Objects changed."""

    def store_returned(self) -> None:
        """The store answers again after an outage."""


class Watcher:
    """Follows one kind of objects for ever.

    :param listener: called on the loop with what comes.
    :param wanted: whether this VM has to follow the store itself, or hears
        the same from its peers.
    :param gather_s: pause after news. Changes come in series, and each call
        that ends for one of them has its price.
    :param list_when_unwanted: whether to read the list at the start and
        whenever it is outdated, even if `wanted` returns false.
    """

    __slots__ = (
        "_failing_since",
        "_gather_s",
        "_kind",
        "_list_when_unwanted",
        "_listener",
        "_refusals",
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
        self._refusals = log_limit.LogLimit(clocks.SystemClock())
        self._revision: int | None = None
        self._failing_since: float | None = None

    @property
    def in_touch(self) -> bool:
        """Whether this VM follows the store, and the last call succeeded."""
        return self._watching and self._failing_since is None

    def doubt(self) -> None:
        """Read the list anew at the next chance."""
        self._revision = None

    @property
    def kind(self) -> str:
        """The kind of objects that is followed."""
        return self._kind

    async def run(self) -> None:
        """Follow for ever; an error of the listener is passed on.

        Started again it reads the list anew: what the listener did not take
        would else be missing until it changes.
        """
        self.doubt()
        try:
            await self._follow()
        finally:
            self._watching = False

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        pause_s = FIRST_PAUSE_S
        while True:
            list_due = self._revision is None and self._list_when_unwanted
            if not list_due and not self._wanted():
                self._watching = False
                await asyncio.sleep(UNWANTED_S)
                continue
            try:
                await self._step(loop)
                self._watching = True
                pause_s = FIRST_PAUSE_S
            except store.HistoryGone:
                logs.event("watch_restarted", kind=self._kind)
                self._revision = None
            except (store.StoreError, ValueError) as error:
                self._failed(loop.time(), error)
                await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                pause_s = min(LONGEST_PAUSE_S, 2.0 * pause_s)

    async def _step(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._revision is None:
            page = await self._store.list_all(self._kind)
            self._answered(loop.time())
            self._note_unreadable(page.unreadable)
            self._listener.listed(page)
            self._revision = page.revision
            return
        wait_s = (
            RETURN_WATCH_S
            if self._failing_since is not None
            else store.WATCH_S
        )
        changes = await self._store.watch(self._kind, self._revision, wait_s)
        self._answered(loop.time())
        self._listener.changed(changes)
        if self._revision is not None:
            self._revision = changes.revision
        if changes.unreadable:
            # What changed shows in the list, if it can be read there.
            self._note_unreadable(changes.unreadable)
            self.doubt()
        if changes.changes and self._gather_s:
            await asyncio.sleep(self._gather_s)

    def _note_unreadable(self, count: int) -> None:
        if count and self._refusals.allows(self._kind):
            logs.event("stored_refused", kind=self._kind, count=count)

    def _failed(self, now: float, error: Exception) -> None:
        if self._failing_since is None:
            self._failing_since = now
            logs.event(
                "dependency_lost",
                dependency="store",
                kind=self._kind,
                error=f"{type(error).__name__}: {error}",
            )

    def _answered(self, now: float) -> None:
        since, self._failing_since = self._failing_since, None
        if since is None:
            return
        logs.event(
            "dependency_regained",
            dependency="store",
            kind=self._kind,
            away_s=now - since,
        )
        if now - since > OUTAGE_S:
            self._listener.store_returned()
