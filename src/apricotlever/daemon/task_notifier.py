"""Passes the changes that some tasks of the daemon report to other tasks.

A task is an actor on a thread of its own. The reports come from the fleet
link, the runner monitor, the catalogue watcher, the dispatcher and the
autoscaler.
"""

from concurrent import futures
import typing

from .. import catalogue as catalogues
from .. import mailbox
from .. import metrics as metrics_
from .. import settings
from ..links import peer_pb2 as pb
from ..links import platform
from ..requests import ledger_messages
from ..runners import model as runners
from ..runners import quarantine
from ..vms import fleet_view as views

from . import autoscaler
from . import catalogue_watcher
from . import context as contexts
from . import dispatcher_messages
from . import duties
from . import fleet_link
from . import fleet_messages
from . import gossip_messages
from . import ledger_task
from . import outgoing_handover
from . import runner_messages
from . import runner_monitor
from . import store
from . import vm_presence

_DATA_CENTRE_RUMOURS = frozenset(("load", "prefix", "demand"))

Stop = typing.Callable[[float | None], None]


class NotifiedTasks:
    """The tasks that a TaskNotifier notifies, and the handlers' context."""

    __slots__ = (
        "dispatcher",
        "ledger",
        "fleet",
        "runner_monitor",
        "catalogue_watcher",
        "duties",
        "store",
        "autoscaler",
        "context",
    )

    def __init__(
        self,
        dispatcher: mailbox.Task,
        ledger_task: mailbox.Task,
        fleet_task: mailbox.Task,
        runner_monitor_task: mailbox.Task,
        catalogue_watcher_task: mailbox.Task,
        duties_task: mailbox.Task,
        store_task: mailbox.Task,
        autoscaler_task: mailbox.Task,
        context: contexts.Context,
    ) -> None:
        self.dispatcher = dispatcher
        self.ledger = ledger_task
        self.fleet = fleet_task
        self.runner_monitor = runner_monitor_task
        self.catalogue_watcher = catalogue_watcher_task
        self.duties = duties_task
        self.store = store_task
        self.autoscaler = autoscaler_task
        self.context = context


class TaskNotifier:
    """Passes notifications from some tasks of the daemon to others.

    It is created before the tasks, which :meth:`attach` sets later. The tasks
    call its methods on their own threads, and no method blocks.

    :param config: the daemon's settings.
    :param presence: holds the membership that callers are told.
    :param metrics: receives the version of the catalogue in force.
    :param stop: requests a graceful shutdown; takes the seconds left, or None.
    """

    def __init__(
        self,
        config: settings.Settings,
        presence: vm_presence.VmPresence,
        metrics: metrics_.Metrics,
        stop: Stop,
    ) -> None:
        self._config = config
        self._presence = presence
        self._metrics = metrics
        self._stop = stop
        self._fleet_is_large = False
        self._outgoing_handover: mailbox.Task | None = None
        self._tasks: typing.Any = None

    def attach(self, tasks: NotifiedTasks) -> None:
        """Set the tasks to notify; must be called before any of them runs."""
        self._tasks = tasks

    def attach_handover(self, task: mailbox.Task) -> None:
        """Set the task that hands this VM's work over to peers.

        :param task: notified of the ended processes of other VMs.
        """
        self._outgoing_handover = task

    def on_view(self, view: views.FleetView) -> None:
        """Pass a new view of the fleet to the tasks that depend on it."""
        self._presence.update_view(view)
        self._fleet_is_large = bool(view.summaries)
        self._tasks.runner_monitor.tell(runner_monitor.serving_vms(view))
        self._tasks.catalogue_watcher.tell(catalogue_watcher.ViewChanged(view))
        self._tasks.duties.tell(duties.UpdateView(view))
        self._tasks.dispatcher.tell(
            dispatcher_messages.MembersChanged(frozenset(view.members))
        )
        self._tasks.store.tell(store.FleetSize(view.size))
        for member in view.members.values():
            alive = ledger_task.IncarnationAlive(member.vm, member.incarnation)
            self._tasks.ledger.tell(alive)

    def on_rumour(self, rumour: pb.Rumour, via: str) -> None:
        """Pass a rumour to the tasks that it concerns."""
        age_s = rumour.age_ms / gossip_messages.MS_PER_S
        match rumour.WhichOneof("body"):
            case "runner_leaving":
                left_s = rumour.runner_leaving.deadline_s - age_s
                name = rumour.runner_leaving.runner
                self._handle_notice(name, max(0.0, left_s))
            case "runner_gone":
                gone = runner_messages.RunnerGone(rumour.runner_gone.runner)
                self._tasks.dispatcher.tell(gone)
            case "quarantine":
                report = gossip_messages.decode_crash_report(
                    rumour.quarantine, age_s
                )
                self._tasks.dispatcher.tell(
                    dispatcher_messages.CrashReported(report)
                )
            case "ledger_moved":
                moved = rumour.ledger_moved
                owner = ledger_messages.VmIncarnation(
                    moved.vm, moved.incarnation
                )
                successor = ledger_messages.VmIncarnation(
                    moved.heir, moved.heir_incarnation
                )
                self._tasks.ledger.tell(
                    ledger_task.LedgerMoved(owner, successor)
                )
            case "catalogue":
                self._tasks.catalogue_watcher.tell(
                    catalogue_watcher.RumourReceived(rumour, via)
                )
            case "load":
                load = gossip_messages.decode_load(rumour)
                observed = runner_messages.LoadObserved(
                    rumour.load.runner, load, False
                )
                self._tasks.dispatcher.tell(observed)
            case "prefix":
                events = gossip_messages.decode_cache_events(rumour)
                cached = runner_messages.CacheEventsObserved(
                    rumour.prefix.runner, events
                )
                self._tasks.dispatcher.tell(cached)
            case "demand":
                demand = gossip_messages.decode_demand(rumour.demand)
                self._tasks.dispatcher.tell(
                    dispatcher_messages.DemandReported(demand, age_s)
                )
                self._tasks.autoscaler.tell(
                    autoscaler.UpdateDemand(rumour.demand)
                )

    def on_incarnation_ended(self, vm: str, incarnation: int) -> None:
        """Tell the tasks that a process of an entry VM has certainly ended."""
        self._tasks.ledger.tell(ledger_task.IncarnationGone(vm, incarnation))
        self._tasks.dispatcher.tell(dispatcher_messages.MemberLeft(vm))
        if self._outgoing_handover is not None:
            owner = outgoing_handover.vm_incarnation(vm, incarnation)
            self._outgoing_handover.tell(outgoing_handover.PeerGone(owner))

    def on_catalogue_advertised(
        self, version: int, digest: int, vm: str
    ) -> None:
        """Tell the catalogue watcher that a peer has a newer catalogue."""
        self._tasks.catalogue_watcher.tell(
            catalogue_watcher.PeerHasVersion(version, digest, vm)
        )

    def on_paused(self, seconds: float) -> None:
        """Do nothing after a pause of this process.

        Leases and keys check the clock when they are used.
        """

    def on_superseded(self) -> None:
        """Shut down because a newer process runs under this VM's name."""
        self._stop(0.0)

    def decide_trial(
        self, request: quarantine.TrialRequest
    ) -> "futures.Future[quarantine.TrialDecision]":
        """Ask the dispatcher whether and where a suspect request may run.

        This VM decides as the judge of the pool.
        """
        return self._tasks.dispatcher.ask(
            dispatcher_messages.DecideTrial(request)
        )

    def on_trial_ended(self, report: quarantine.TrialEnded) -> None:
        """Tell the dispatcher that a trial granted by this VM has ended."""
        self._tasks.dispatcher.tell(dispatcher_messages.TrialEnded(report))

    def on_runners(
        self,
        chosen: tuple[runners.Runner, ...],
        listed: tuple[runners.Runner, ...],
    ) -> None:
        """Pass on the platform's list of runners.

        :param chosen: the runners that this VM sends requests to.
        :param listed: all runners.
        """
        self._tasks.dispatcher.tell(runner_messages.RunnersListed(chosen))
        self._tasks.duties.tell(runner_messages.RunnersListed(listed))

    def on_vms_and_prices(
        self,
        vms: tuple[platform.Vm, ...],
        prices_per_hour: typing.Mapping[tuple[str, str, str], float],
    ) -> None:
        """Pass the platform's list of VMs and its prices to the autoscaler."""
        self._tasks.autoscaler.tell(
            autoscaler.UpdatePlatform(vms, prices_per_hour)
        )

    def drain(self, runner: str, left_s: float) -> None:
        """Tell the fleet to send no new requests to a runner.

        :param runner: name of the runner, which will be released.
        :param left_s: seconds until then.
        """
        self.on_notice(runner, left_s)

    def on_listed_leaving(self, vm: str, left_s: float) -> None:
        """Tell the dispatcher that the platform lists a VM as leaving."""
        self._tasks.dispatcher.tell(runner_messages.RunnerLeaving(vm, left_s))

    def on_load(
        self,
        runner: str,
        report: runners.LoadReport | None,
        report_to_peers: bool,
    ) -> None:
        """Pass on the load of a runner, or that the runner did not answer.

        :param report_to_peers: whether this VM is to report the load to its
            peers.
        """
        if report is None:
            self._tasks.dispatcher.tell(runner_messages.ProbeFailed(runner))
            return
        self._tasks.dispatcher.tell(
            runner_messages.LoadObserved(runner, report, True)
        )
        if report_to_peers:
            self.announce(gossip_messages.load_rumour(runner, report))

    def on_connection_refused(self, runner: str) -> None:
        """Report the crash of a runner that refuses connections, once."""
        reply = self._tasks.dispatcher.ask(
            dispatcher_messages.CrashDetected(runner)
        )
        reply.add_done_callback(self._broadcast_crash_report)

    def _broadcast_crash_report(
        self, reply: "futures.Future[typing.Any]"
    ) -> None:
        if reply.exception() is None and reply.result() is not None:
            report = reply.result()
            self._tasks.fleet.tell(fleet_link.BroadcastCrashReport(report))

    def on_joined(self, vm: str) -> None:
        """Tell the known crashes to an entry VM whose process has joined.

        A process that has just started knows of no crash. It would accept a
        request that all other entry VMs refuse, and the request would crash
        one more runner.
        """
        reply = self._tasks.dispatcher.ask(dispatcher_messages.ListCrashes())

        def send_reports(done: "futures.Future[typing.Any]") -> None:
            reports = [] if done.exception() else done.result()
            for report in reports:
                self._tasks.fleet.tell(fleet_link.SendCrashReport(vm, report))

        reply.add_done_callback(send_reports)

    def on_cache_events(
        self, runner: str, events: runners.CacheEvents, report_to_peers: bool
    ) -> None:
        """Pass on a runner's cache events.

        :param report_to_peers: whether this VM is to report the events to its
            peers.
        """
        self._tasks.dispatcher.tell(
            runner_messages.CacheEventsObserved(runner, events)
        )
        if report_to_peers:
            self.announce(gossip_messages.cache_rumour(runner, events))

    def on_notice(self, vm: str, left_s: float) -> None:
        """Tell the fleet that a VM will end, and act on it here.

        This VM shuts down if the notice is its own.

        :param vm: name of the VM.
        :param left_s: seconds until the VM ends.
        """
        self.announce(gossip_messages.runner_leaving_rumour(vm, left_s))
        self._handle_notice(vm, left_s)

    def on_catalogue_in_force(self, catalogue: catalogues.Catalogue) -> None:
        """Pass a catalogue that has come into force to the tasks."""
        self._tasks.context.set_catalogue(catalogue)
        message = dispatcher_messages.CatalogueInForce(catalogue)
        self._tasks.dispatcher.tell(message)
        self._tasks.runner_monitor.tell(message)
        self._tasks.duties.tell(message)
        self._tasks.autoscaler.tell(message)
        self._metrics.gauge("catalogue.version", catalogue.version)

    def announce(self, rumour: pb.Rumour) -> None:
        """Spread a rumour by gossip.

        In a large fleet, frequent rumours stay in this data centre, because
        those about all runners would exceed the network bandwidth allowed to
        a VM. The entry VMs of each data centre read their own runners.
        """
        if rumour.WhichOneof("body") == "demand":
            self._tasks.autoscaler.tell(autoscaler.UpdateDemand(rumour.demand))
        if (
            self._fleet_is_large
            and rumour.WhichOneof("body") in _DATA_CENTRE_RUMOURS
        ):
            rumour.scope = pb.SCOPE_DATA_CENTRE
        self._tasks.fleet.tell(fleet_messages.AnnounceRumour(rumour))

    def _handle_notice(self, vm: str, left_s: float) -> None:
        if vm == self._config.vm:
            self._stop(left_s)
            return
        leaving = runner_messages.RunnerLeaving(vm, left_s)
        self._tasks.dispatcher.tell(leaving)
        self._tasks.autoscaler.tell(leaving)
