"""The task that brings catalogue versions into force at this VM.

A version is in force once this VM applies it to requests. The catalogue
replicator decides, and this task executes its actions: it watches the store
when this VM is one of the data centre's watchers, and fetches catalogues from
peers.
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
# An open connection may go silent for good. This is detected only when the
# answer to a watch is overdue, and an edit must come into force within 3 s.
MAX_WATCH_S = 2.0
# How long a starting VM waits for its peers' catalogue before it reads the
# store, which may have been restored from an old copy.
INITIAL_PEER_WAIT_S = 1.0

InForceCallback = typing.Callable[[catalogues.Catalogue], None]


class ViewChanged:
    """Message: the view, this VM's snapshot of the fleet, has changed."""

    __slots__ = ("view",)

    def __init__(self, view: views.FleetView) -> None:
        self.view = view


class PeerHasVersion:
    """Message: a peer has advertised the version that is in force there.

    :param version: the version.
    :param digest: digest of the catalogue.
    :param via: name of the peer.
    """

    __slots__ = ("version", "digest", "via")

    def __init__(self, version: int, digest: int, via: str) -> None:
        self.version = version
        self.digest = digest
        self.via = via


class RumourReceived:
    """Message: a rumour about a catalogue version has arrived.

    A rumour is a message that entry VMs spread by gossip.

    :param rumour: the rumour, which may carry the change to the catalogue.
    :param via: name of the peer that passed it on.
    """

    __slots__ = ("rumour", "via")

    def __init__(self, rumour: pb.Rumour, via: str) -> None:
        self.rumour = rumour
        self.via = via


class AnswerFetch:
    """Message: a peer fetches the catalogue; the result is the document."""

    __slots__ = ("request",)

    def __init__(self, request: pb.FetchCatalogue) -> None:
        self.request = request


class _Fetched:
    """Message: a fetch of the catalogue from a peer has ended.

    :param vm: name of the peer.
    :param reply: the reply, or None when the fetch failed.
    """

    __slots__ = ("vm", "reply")

    def __init__(self, vm: str, reply: pb.CatalogueDocument | None) -> None:
        self.vm = vm
        self.reply = reply


class CatalogueWatcher(mailbox.Task):
    """Learns of catalogue versions from the store and peers and applies them.

    :param config: the settings.
    :param store: the task that runs reads and watches.
    :param fleet_link: the task that fetches from peers and spreads rumours.
    :param on_in_force: called with each catalogue that comes into force.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        config: settings.Settings,
        store: mailbox.Task,
        fleet_link: mailbox.Task,
        on_in_force: InForceCallback,
    ) -> None:
        super().__init__("watcher", clock, TICK_S)
        self._config = config
        self._store = store
        self._fleet_link = fleet_link
        self._on_in_force = on_in_force
        self._parser = catalogues.Parser()
        self._parsed = catalogues.EMPTY
        self._replicator = catalogue_replicator.CatalogueReplicator(
            clock, rng, config.vm, config.data_centre, self._parse
        )
        self._call_in_progress = False
        self._starting = True
        self._fetches_in_progress = 0
        self._read_schedule = catalogue_reads.ReadSchedule(clock)

    @mailbox.handles(ViewChanged)
    def _update_view(self, message: ViewChanged) -> None:
        self._execute(self._replicator.update_view(message.view))

    @mailbox.handles(PeerHasVersion)
    def _on_peer_version(self, message: PeerHasVersion) -> None:
        actions = self._replicator.peer_has_version(
            message.version, message.digest, message.via
        )
        self._execute(actions)

    @mailbox.handles(RumourReceived)
    def _on_rumour(self, message: RumourReceived) -> None:
        self._execute(
            self._replicator.receive_rumour(message.rumour, message.via)
        )

    @mailbox.handles(AnswerFetch)
    def _answer_fetch(self, message: AnswerFetch) -> pb.CatalogueDocument:
        return self._replicator.answer_fetch(message.request)

    @mailbox.handles(_Fetched)
    def _on_fetched(self, message: _Fetched) -> None:
        self._fetches_in_progress -= 1
        if message.reply is None:
            self._replicator.fetch_failed(message.vm)
        else:
            actions = self._replicator.receive_answer(
                message.vm, message.reply
            )
            self._execute(actions)
        if self._starting and not self._fetches_in_progress:
            self._read_schedule.schedule_within(0.0)

    @mailbox.handles(catalogue_reads.ReadEnded)
    def _on_read_ended(self, message: catalogue_reads.ReadEnded) -> None:
        self._call_in_progress = False
        outcome = message.outcome
        if isinstance(outcome, result.Success):
            stored = outcome.unwrap()
            self._handle_stored(stored.version, stored.value)
        elif isinstance(outcome.failure(), platform.NotFound):
            self._handle_stored(0, None)
        else:
            self._read_schedule.call_failed()

    def _handle_stored(self, version: int, value: typing.Any) -> None:
        """Apply the catalogue that a read returned, and start the next watch.

        An older version than the one in force is passed on only if it proves
        that the store went back.
        """
        store_went_back = self._read_schedule.read_succeeded(version)
        if store_went_back or version >= self._replicator.in_force.version:
            self._execute(self._replicator.receive_stored(version, value))
        self._start_watch(version)

    @mailbox.handles(catalogue_reads.WatchEnded)
    def _on_watch_ended(self, message: catalogue_reads.WatchEnded) -> None:
        self._call_in_progress = False
        outcome = message.outcome
        if not isinstance(outcome, result.Success):
            self._read_schedule.call_failed()
            return
        self._read_schedule.call_succeeded()
        watched = outcome.unwrap()
        for event in watched.events:
            self._handle_event(event)
        if not self._read_schedule.due:
            self._start_watch(watched.version)

    def _handle_event(self, event: platform.PlatformObject) -> None:
        """Apply a change of the catalogue that a watch returned.

        A change is ignored when a later version, received from a peer, is in
        force already.
        """
        older = event.version < self._replicator.in_force.version
        if event.name == edit.CURRENT_OBJECT_NAME and not older:
            self._read_schedule.watch_returned(event.version)
            self._execute(
                self._replicator.receive_stored(event.version, event.value)
            )

    @mailbox.handles(dispatcher_messages.GetStatus)
    def _status(
        self, message: dispatcher_messages.GetStatus
    ) -> dict[str, object]:
        return {
            "watches_catalogue": self._replicator.watching,
            "store_behind": self._read_schedule.older_store_version,
            "catalogue_digest": f"{self._replicator.in_force.digest:016x}",
        }

    def tick(self) -> None:
        """Fetch missing catalogues, and read the store when that is due."""
        self._execute(self._replicator.tick())
        if self._replicator.watching and self._read_schedule.due:
            self._start_read()

    def _parse(
        self, document: dict[str, typing.Any], version: int
    ) -> str | None:
        try:
            self._parsed = self._parser.parse(
                edit.without_edit(document), version
            )
        except catalogues.CatalogueInvalid as error:
            return error.message
        return None

    def _execute(
        self, actions: typing.Iterable[replication_actions.ReplicationAction]
    ) -> None:
        for action in actions:
            self._execute_one(action)

    def _execute_one(
        self, action: replication_actions.ReplicationAction
    ) -> None:
        match action:
            case replication_actions.StartWatching():
                wait_s = INITIAL_PEER_WAIT_S if self._starting else 0.0
                self._read_schedule.schedule_within(wait_s)
            case replication_actions.StopWatching():
                self._read_schedule.stop()
            case replication_actions.FetchFromPeer():
                self._start_fetch(action)
            case replication_actions.ApplyCatalogue():
                self._apply(action)
            case replication_actions.AnnounceRumour():
                self._fleet_link.tell(
                    fleet_messages.AnnounceRumour(action.rumour)
                )
            case replication_actions.Fault():
                logs.event(
                    "catalogue_refused",
                    version=action.version,
                    source=action.source,
                    fault=type(action).__name__,
                    error=action.detail,
                )

    def _apply(self, action: replication_actions.ApplyCatalogue) -> None:
        self._fleet_link.tell(
            fleet_messages.AdvertiseCatalogue(action.version, action.digest)
        )
        self._on_in_force(self._parsed)
        logs.event(
            "catalogue_in_force",
            version=action.version,
            digest=f"{action.digest:016x}",
        )

    def _start_fetch(self, action: replication_actions.FetchFromPeer) -> None:
        call = fleet_messages.CallPeer(
            action.vm,
            0,
            "Fetch",
            action.message,
            catalogue_replicator.FETCH_TIMEOUT_S,
        )

        self._fetches_in_progress += 1

        def on_done(future: "futures.Future[typing.Any]") -> None:
            failed = future.exception() is not None
            reply = None if failed else future.result()
            self.tell(_Fetched(action.vm, reply))

        self._fleet_link.ask(call).add_done_callback(on_done)

    def _start_read(self) -> None:
        if not self._call_in_progress:
            self._starting = False
            self._read_schedule.read_started(self._replicator.in_force.version)
            call = stores.read_call(
                stores.Priority.CATALOGUE, edit.CURRENT_OBJECT_NAME
            )
            self._start_call(call, catalogue_reads.ReadEnded)

    def _start_watch(self, after: int) -> None:
        wait_s = min(MAX_WATCH_S, self._config.timing.watch_s)

        def run(api: platform.ObjectApi) -> typing.Any:
            return api.watch(edit.CURRENT_OBJECT_NAME, after, wait_s)

        if self._replicator.watching:
            call = stores.StoreCall(
                stores.Priority.CATALOGUE, stores.Kind.READ, run
            )
            self._start_call(call, catalogue_reads.WatchEnded)

    def _start_call(
        self,
        call: stores.StoreCall,
        message_type: (
            type[catalogue_reads.ReadEnded] | type[catalogue_reads.WatchEnded]
        ),
    ) -> None:
        if self._call_in_progress:
            return
        self._call_in_progress = True

        def on_done(future: "futures.Future[typing.Any]") -> None:
            if future.exception() is None:
                self.tell(message_type(future.result()))

        self._store.ask(call).add_done_callback(on_done)
