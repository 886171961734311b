"""The task that brings catalogue versions into force at this VM.

It carries out what the configuration spread decides: holding the store's
watch when this VM is one of the watchers, and fetching from peers.
"""

from concurrent import futures
import random
import typing

from returns import result

from .. import catalogue as catalogues
from .. import clock as clocks
from .. import logs
from .. import mailbox
from .. import settings
from ..catalogue import edit
from ..links import peer_pb2 as pb
from ..links import platform
from ..vms import catalogue_replicator
from ..vms import fleet_view as views
from ..vms import replication_actions

from . import catalogue_reads
from . import dispatcher_messages
from . import fleet_messages
from . import store as stores

TICK_S = 0.1
# Open connections may go silent for good. It shows only when a watch's
# answer is overdue, and an edit has to come into force within 3 s.
WATCH_S_MAX = 2.0
# How long a VM that starts waits for its peers' word before it goes by the
# store, which may have been restored from an old copy.
PEERS_FIRST_S = 1.0

InForce = typing.Callable[[catalogues.Catalogue], None]


class ViewSeen:
    """The members changed."""

    __slots__ = ("view",)

    def __init__(self, view: views.FleetView) -> None:
        self.view = view


class Heard:
    """A peer mentioned the version that is in force there."""

    __slots__ = ("version", "digest", "via")

    def __init__(self, version: int, digest: int, via: str) -> None:
        self.version = version
        self.digest = digest
        self.via = via


class Rumoured:
    """A rumour about a version came; it may carry the change."""

    __slots__ = ("rumour", "via")

    def __init__(self, rumour: pb.Rumour, via: str) -> None:
        self.rumour = rumour
        self.via = via


class Serve:
    """A peer asks for the catalogue; answered with the document."""

    __slots__ = ("request",)

    def __init__(self, request: pb.FetchCatalogue) -> None:
        self.request = request


class _Fetched:
    """A peer answered a fetch, or not.

    :param answer: None when it did not.
    """

    __slots__ = ("vm", "answer")

    def __init__(self, vm: str, answer: pb.CatalogueDocument | None) -> None:
        self.vm = vm
        self.answer = answer


class CatalogueWatcher(mailbox.Task):
    """Brings catalogues into force.

    :param store: runs reads and watches.
    :param others: the fleet's task, for fetches and rumours.
    :param in_force: told of each catalogue that comes into force.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        config: settings.Settings,
        store: mailbox.Task,
        others: mailbox.Task,
        in_force: InForce,
    ) -> None:
        super().__init__("watcher", clock, TICK_S)
        self._config = config
        self._store = store
        self._others = others
        self._in_force = in_force
        self._parser = catalogues.Parser()
        self._parsed = catalogues.EMPTY
        self._spread = catalogue_replicator.CatalogueReplicator(
            clock, rng, config.vm, config.data_centre, self._check
        )
        self._calling = False
        self._starting = True
        self._asked_peers = 0
        self._readings = catalogue_reads.ReadSchedule(clock)

    @mailbox.handles(ViewSeen)
    def _view_seen(self, message: ViewSeen) -> None:
        self._carry_out(self._spread.update_view(message.view))

    @mailbox.handles(Heard)
    def _heard(self, message: Heard) -> None:
        found = self._spread.peer_has_version(
            message.version, message.digest, message.via
        )
        self._carry_out(found)

    @mailbox.handles(Rumoured)
    def _rumoured(self, message: Rumoured) -> None:
        self._carry_out(
            self._spread.receive_rumour(message.rumour, message.via)
        )

    @mailbox.handles(Serve)
    def _serve(self, message: Serve) -> pb.CatalogueDocument:
        return self._spread.answer_fetch(message.request)

    @mailbox.handles(_Fetched)
    def _fetched(self, message: _Fetched) -> None:
        self._asked_peers -= 1
        if message.answer is None:
            self._spread.fetch_failed(message.vm)
        else:
            found = self._spread.receive_answer(message.vm, message.answer)
            self._carry_out(found)
        if self._starting and not self._asked_peers:
            self._readings.within(0.0)

    @mailbox.handles(catalogue_reads.Read)
    def _read(self, message: catalogue_reads.Read) -> None:
        self._calling = False
        outcome = message.outcome
        if isinstance(outcome, result.Success):
            stored = outcome.unwrap()
            self._take(stored.version, stored.value)
        elif isinstance(outcome.failure(), platform.NotFound):
            self._take(0, None)
        else:
            self._readings.failed()

    def _take(self, version: int, value: typing.Any) -> None:
        """Take over what a read gave."""
        went_back = self._readings.read(version)
        if went_back or version >= self._spread.in_force.version:
            self._carry_out(self._spread.receive_stored(version, value))
        self._watch(version)

    @mailbox.handles(catalogue_reads.Watched)
    def _watched(self, message: catalogue_reads.Watched) -> None:
        self._calling = False
        outcome = message.outcome
        if not isinstance(outcome, result.Success):
            self._readings.failed()
            return
        self._readings.answered()
        seen = outcome.unwrap()
        for event in seen.events:
            self._see(event)
        if not self._readings.due:
            self._watch(seen.version)

    def _see(self, event: platform.PlatformObject) -> None:
        """Take over a change; peers may have told of a later one already."""
        older = event.version < self._spread.in_force.version
        if event.name == edit.CURRENT_OBJECT_NAME and not older:
            self._readings.seen(event.version)
            self._carry_out(
                self._spread.receive_stored(event.version, event.value)
            )

    @mailbox.handles(dispatcher_messages.StatusWanted)
    def _status(
        self, message: dispatcher_messages.StatusWanted
    ) -> dict[str, object]:
        return {
            "watches_catalogue": self._spread.watching,
            "store_behind": self._readings.behind,
            "catalogue_digest": f"{self._spread.in_force.digest:016x}",
        }

    def tick(self) -> None:
        """Fetch what is missing, and read the store when that is due."""
        self._carry_out(self._spread.tick())
        if self._spread.watching and self._readings.due:
            self._start_read()

    def _check(
        self, document: dict[str, typing.Any], version: int
    ) -> str | None:
        try:
            self._parsed = self._parser.parse(
                edit.without_edit(document), version
            )
        except catalogues.CatalogueInvalid as error:
            return error.message
        return None

    def _carry_out(
        self, found: typing.Iterable[replication_actions.ReplicationAction]
    ) -> None:
        for action in found:
            self._carry_out_one(action)

    def _carry_out_one(
        self, action: replication_actions.ReplicationAction
    ) -> None:
        match action:
            case replication_actions.StartWatching():
                wait_s = PEERS_FIRST_S if self._starting else 0.0
                self._readings.within(wait_s)
            case replication_actions.StopWatching():
                self._readings.stop()
            case replication_actions.FetchFromPeer():
                self._fetch(action)
            case replication_actions.ApplyCatalogue():
                self._apply(action)
            case replication_actions.AnnounceRumour():
                self._others.tell(fleet_messages.Announce(action.rumour))
            case replication_actions.Fault():
                logs.event(
                    "catalogue_refused",
                    version=action.version,
                    source=action.source,
                    fault=type(action).__name__,
                    error=action.detail,
                )

    def _apply(self, action: replication_actions.ApplyCatalogue) -> None:
        self._others.tell(
            fleet_messages.CatalogueKnown(action.version, action.digest)
        )
        self._in_force(self._parsed)
        logs.event(
            "catalogue_in_force",
            version=action.version,
            digest=f"{action.digest:016x}",
        )

    def _fetch(self, action: replication_actions.FetchFromPeer) -> None:
        call = fleet_messages.CallPeer(
            action.vm,
            0,
            "Fetch",
            action.message,
            catalogue_replicator.FETCH_TIMEOUT_S,
        )

        self._asked_peers += 1

        def ended(future: "futures.Future[typing.Any]") -> None:
            failed = future.exception() is not None
            answer = None if failed else future.result()
            self.tell(_Fetched(action.vm, answer))

        self._others.ask(call).add_done_callback(ended)

    def _start_read(self) -> None:
        if not self._calling:
            self._starting = False
            self._readings.begin(self._spread.in_force.version)
            call = stores.read(stores.Rank.CATALOGUE, edit.CURRENT_OBJECT_NAME)
            self._call(call, catalogue_reads.Read)

    def _watch(self, after: int) -> None:
        wait_s = min(WATCH_S_MAX, self._config.timing.watch_s)

        def run(api: platform.ObjectApi) -> typing.Any:
            return api.watch(edit.CURRENT_OBJECT_NAME, after, wait_s)

        if self._spread.watching:
            call = stores.StoreCall(
                stores.Rank.CATALOGUE, stores.Kind.READ, run
            )
            self._call(call, catalogue_reads.Watched)

    def _call(
        self,
        call: stores.StoreCall,
        heard: type[catalogue_reads.Read] | type[catalogue_reads.Watched],
    ) -> None:
        if self._calling:
            return
        self._calling = True

        def ended(future: "futures.Future[typing.Any]") -> None:
            if future.exception() is None:
                self.tell(heard(future.result()))

        self._store.ask(call).add_done_callback(ended)
