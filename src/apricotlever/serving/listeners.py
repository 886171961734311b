"""Take what the store's watches bring, for the rest of the process."""

import random
import typing

from .. import clock as clocks
from .. import logs

from . import dialects
from . import directory as directories
from . import log_limit
from . import runners
from . import store
from . import store_watch

#: Changes of runners that come within this time, in seconds, are read by one
#: call. It is a tenth of the shortest time in which a runner has to be left.
RUNNER_BATCH_S = 0.2


class ConfigurationListener:
    """Hands on each version of the configuration.

    :param name: of the configuration's object.
    :param adopt: takes the document; it decides whether it is newer.
    """

    __slots__ = ("_adopt", "_name")

    def __init__(
        self, name: str, adopt: typing.Callable[[store.Json], bool]
    ) -> None:
        self._name = name
        self._adopt = adopt

    def listed(self, page: store.Page) -> None:
        """The whole list was read."""
        for stored in page.objects:
            self._take(stored)

    def changed(self, changes: store.Changes) -> None:
        """Objects changed."""
        for change in changes.changes:
            if not change.deleted:
                self._take(change.stored)

    def store_returned(self) -> None:
        """Nothing lapses in this kind."""

    def _take(self, stored: store.StoredObject) -> None:
        if stored.name == self._name:
            self._adopt(stored.spec)


class Entries:
    """Keeps the directory of runners up to the store.

    An entry from which no runner can be read takes nothing from the others.

    :param tell: called with the runners that are leaving or gone since.
    """

    __slots__ = ("_directory", "_platform", "_refusals", "_tell")

    def __init__(
        self,
        directory: directories.Directory,
        platform: dialects.PlatformDialect,
        tell: typing.Callable[[list[str]], None],
        clock: clocks.Clock | None = None,
    ) -> None:
        self._directory = directory
        self._platform = platform
        self._tell = tell
        self._refusals = log_limit.LogLimit(clock or clocks.SystemClock())

    def listed(self, page: store.Page) -> None:
        """The whole list was read."""
        entries = [self._read(stored) for stored in page.objects]
        self._tell(self._directory.listed(entries, page.revision))

    def changed(self, changes: store.Changes) -> None:
        """Entries came, changed or went.

        A removal bears the revision up to which the watch has told, not that
        of the entry, which is the one of its last change. Peers compare
        revisions: with the old one they would take the removal for news that
        they had, and go on sending to a runner that has left.

        Only the last change of each entry counts. A removal that is followed
        by the entry, written again, would bear the later revision of the two,
        and an entry that peers have told before would not undo it.
        """
        ended = []
        last = {change.stored.name: change for change in changes.changes}
        for change in last.values():
            if change.deleted:
                ended += self._directory.removed(
                    change.stored.name, changes.revision
                )
                continue
            ended += self._directory.changed(self._read(change.stored))
        if changes.changes:
            self._tell(ended)

    def store_returned(self) -> None:
        """Entries that lapsed meanwhile may come back."""
        self._directory.store_returned()

    def _read(self, stored: store.StoredObject) -> runners.Entry:
        entry = self._platform.runner(stored)
        if isinstance(entry, runners.Unreadable):
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
    entries: Entries,
    orders: store_watch.Listener | None,
    rng: random.Random,
    wanted: typing.Callable[[], bool],
    orders_wanted: typing.Callable[[], bool],
) -> list[store_watch.Watcher]:
    """Create the watchers of the store.

    :param orders: listens to roll-out orders; None if these are disabled.
    :param wanted: whether this VM has to follow the store now.
    :param orders_wanted: whether this VM has to follow roll-out orders now.
        A stricter condition than `wanted` prevents all VMs from listing
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
