"""Listeners that apply what this VM reads from the store.

There is one for the configuration and one for the entries of runners. The
listener for roll-out orders is in :mod:`.roll_out_orders`.
"""

import random
import typing

from .. import clock as clocks
from .. import log_rate_limiter
from .. import logs

from . import dialects
from . import runner_directory as directories
from . import runners
from . import store
from . import store_watch

#: How long changes of runners are collected, in seconds, before one call to
#: the store reads them. This is a tenth of the shortest time within which
#: calls to a leaving runner must stop.
RUNNER_BATCH_S = 0.2


class ConfigurationListener:
    """Passes on each stored version of the configuration.

    :param name: name of the configuration's object in the store.
    :param adopt: receives the configuration document, and decides whether it
        is newer than the active one.
    """

    __slots__ = ("_adopt", "_name")

    def __init__(
        self, name: str, adopt: typing.Callable[[store.Json], bool]
    ) -> None:
        self._name = name
        self._adopt = adopt

    def listed(self, page: store.Page) -> None:
        """Pass on the configuration from the list of its kind."""
        for stored in page.objects:
            self._take(stored)

    def changed(self, changes: store.Changes) -> None:
        """Pass on a changed configuration; a deletion is ignored."""
        for change in changes.changes:
            if not change.deleted:
                self._take(change.stored)

    def store_recovered(self) -> None:
        """Do nothing, as the object of the configuration does not expire."""

    def _take(self, stored: store.StoredObject) -> None:
        if stored.name == self._name:
            self._adopt(stored.spec)


class RunnerEntryListener:
    """Updates this VM's runner directory from the runner entries in the store.

    An unreadable entry does not affect the other entries.

    :param directory: the directory to update.
    :param platform: decodes the stored entries.
    :param tell: called after each update with the IDs of runners that are
        leaving or were removed.
    """

    __slots__ = ("_directory", "_platform", "_refusals", "_tell")

    def __init__(
        self,
        directory: directories.RunnerDirectory,
        platform: dialects.PlatformDialect,
        tell: typing.Callable[[list[str]], None],
        clock: clocks.Clock | None = None,
    ) -> None:
        self._directory = directory
        self._platform = platform
        self._tell = tell
        self._refusals = log_rate_limiter.LogRateLimiter(
            clock or clocks.SystemClock()
        )

    def listed(self, page: store.Page) -> None:
        """Apply the complete list of runner entries to the directory."""
        entries = [self._read(stored) for stored in page.objects]
        self._tell(self._directory.apply_list(entries, page.revision))

    def changed(self, changes: store.Changes) -> None:
        """Apply added, changed and removed runner entries to the directory.

        A removal gets the revision that the watch has reached. The revision
        of the entry itself is that of its last change. Peers compare
        revisions: with the entry's revision, they would take the removal for
        known and continue to send calls to a runner that has left.

        Only the last change of each entry counts. If an entry was removed and
        written again, its removal would get the later revision of the two, and
        an entry already received from peers would not undo the removal.
        """
        ended = []
        last = {change.stored.name: change for change in changes.changes}
        for change in last.values():
            if change.deleted:
                ended += self._directory.apply_removal(
                    change.stored.name, changes.revision
                )
                continue
            ended += self._directory.apply_entry(self._read(change.stored))
        self._directory.confirm()
        if changes.changes:
            self._tell(ended)

    def store_recovered(self) -> None:
        """Have the directory tolerate missing entries for a while.

        Entries of live runners expire during an outage, and reappear after it.
        """
        self._directory.extend_removal_grace()

    def _read(self, stored: store.StoredObject) -> runners.RunnerEntry:
        entry = self._platform.parse_runner(stored)
        if isinstance(entry, runners.UnreadableEntry):
            if self._refusals.allows(entry.name):
                logs.event(
                    "entry_refused",
                    entry=entry.name,
                    revision=entry.revision,
                    error=entry.reason,
                )
        return entry


def create_watchers(
    store_: store.Store,
    platform: dialects.PlatformDialect,
    configurations: ConfigurationListener,
    entries: RunnerEntryListener,
    orders: store_watch.Listener | None,
    rng: random.Random,
    wanted: typing.Callable[[], bool],
    orders_wanted: typing.Callable[[], bool],
) -> list[store_watch.Watcher]:
    """Create the watchers of the store, one for each kind of objects.

    :param configurations: listens to versions of the configuration.
    :param entries: listens to the entries of runners.
    :param orders: listens to roll-out orders; None if these are disabled.
    :param wanted: returns whether this VM has to follow the configuration and
        the runner entries now.
    :param orders_wanted: returns whether this VM has to follow roll-out orders
        now. A stricter condition than `wanted` prevents all VMs from listing
        orders when they briefly replace followers that lost the store.
    """
    kinds: tuple[tuple[str, store_watch.Listener, float], ...] = (
        (platform.configuration_kind, configurations, 0.0),
        (platform.runners_kind, entries, RUNNER_BATCH_S),
    )
    created = [
        store_watch.Watcher(store_, kind, listener, rng, wanted, gather_s)
        for kind, listener, gather_s in kinds
    ]
    if orders is not None:
        created.append(
            store_watch.Watcher(
                store_,
                platform.roll_outs_kind,
                orders,
                rng,
                orders_wanted,
                list_when_unwanted=False,
            )
        )
    return created
