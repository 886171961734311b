"""Tells each task of a daemon what the others have found."""

from concurrent import futures
import typing

from .. import catalogue as catalogues
from .. import mailbox
from .. import metrics as metrics_
from .. import settings
from ..links import peer_pb2 as pb
from ..links import platform
from ..requests import ledger_messages as keyed
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
from . import runner_monitor
from . import store
from . import vm_presence as presences

_LOCAL_WHEN_LARGE = frozenset(("load", "prefix", "demand"))

Stop = typing.Callable[[float | None], None]


class NotifiedTasks:
    """The tasks that are told."""

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
    """Passes on what the fleet, the keeper and the watcher report.

    It is made before the tasks and told of them by :meth:`attach`; its
    methods are called on the tasks' threads and return at once.

    :param config: names this VM.
    :param presence: what callers are told.
    :param stop: begins a graceful shutdown, with the seconds left.
    """

    def __init__(
        self,
        config: settings.Settings,
        presence: presences.VmPresence,
        metrics: metrics_.Metrics,
        stop: Stop,
    ) -> None:
        self._config = config
        self._presence = presence
        self._metrics = metrics
        self._stop = stop
        self._large = False
        self._departing: mailbox.Task | None = None
        self._tasks: typing.Any = None

    def attach(self, tasks: NotifiedTasks) -> None:
        """Take over the tasks; before any of them runs."""
        self._tasks = tasks

    def depart(self, task: mailbox.Task) -> None:
        """Take over the task that hands this VM's work over."""
        self._departing = task

    def on_view(self, view: views.FleetView) -> None:
        """Pass the members on to the tasks that go by them."""
        self._presence.seen(view)
        self._large = bool(view.summaries)
        self._tasks.runner_monitor.tell(runner_monitor.shown(view))
        self._tasks.catalogue_watcher.tell(catalogue_watcher.ViewSeen(view))
        self._tasks.duties.tell(duties.ViewSeen(view))
        self._tasks.dispatcher.tell(
            dispatcher_messages.MembersSeen(frozenset(view.members))
        )
        self._tasks.store.tell(store.FleetSize(view.size))
        for member in view.members.values():
            seen = ledger_task.OwnerSeen(member.vm, member.incarnation)
            self._tasks.ledger.tell(seen)

    def on_rumour(self, rumour: pb.Rumour, via: str) -> None:
        """Give a rumour to the task that it concerns."""
        age_s = rumour.age_ms / gossip_messages.MS_PER_S
        match rumour.WhichOneof("body"):
            case "runner_leaving":
                left_s = rumour.runner_leaving.deadline_s - age_s
                name = rumour.runner_leaving.runner
                self._noticed(name, max(0.0, left_s))
            case "runner_gone":
                gone = dispatcher_messages.RunnerGone(
                    rumour.runner_gone.runner
                )
                self._tasks.dispatcher.tell(gone)
            case "quarantine":
                report = gossip_messages.crash_of(rumour.quarantine, age_s)
                self._tasks.dispatcher.tell(
                    dispatcher_messages.CrashHeard(report)
                )
            case "ledger_moved":
                told = rumour.ledger_moved
                owner = keyed.VmIncarnation(told.vm, told.incarnation)
                heir = keyed.VmIncarnation(told.heir, told.heir_incarnation)
                self._tasks.ledger.tell(ledger_task.LedgerMoved(owner, heir))
            case "catalogue":
                self._tasks.catalogue_watcher.tell(
                    catalogue_watcher.Rumoured(rumour, via)
                )
            case "load":
                load = gossip_messages.load_of(rumour)
                seen = dispatcher_messages.LoadSeen(
                    rumour.load.runner, load, False
                )
                self._tasks.dispatcher.tell(seen)
            case "prefix":
                events = gossip_messages.cache_of(rumour)
                cached = dispatcher_messages.CacheSeen(
                    rumour.prefix.runner, events
                )
                self._tasks.dispatcher.tell(cached)
            case "demand":
                demand = gossip_messages.demand_of(rumour.demand)
                self._tasks.dispatcher.tell(
                    dispatcher_messages.DemandHeard(demand, age_s)
                )
                self._tasks.autoscaler.tell(
                    autoscaler.DemandSeen(rumour.demand)
                )

    def on_incarnation_ended(self, vm: str, incarnation: int) -> None:
        """A process is gone for certain."""
        self._tasks.ledger.tell(ledger_task.OwnerGone(vm, incarnation))
        self._tasks.dispatcher.tell(dispatcher_messages.MemberLeft(vm))
        if self._departing is not None:
            owner = outgoing_handover.owner(vm, incarnation)
            self._departing.tell(outgoing_handover.OwnerGone(owner))

    def on_catalogue_heard(self, version: int, digest: int, vm: str) -> None:
        """A peer has a newer catalogue."""
        self._tasks.catalogue_watcher.tell(
            catalogue_watcher.Heard(version, digest, vm)
        )

    def on_paused(self, seconds: float) -> None:
        """Nothing to do: leases and keys check the clock when used."""

    def on_superseded(self) -> None:
        """A newer process runs under this VM's name: end."""
        self._stop(0.0)

    def judge(
        self, question: quarantine.TrialRequest
    ) -> "futures.Future[quarantine.TrialDecision]":
        """Decide on a suspect as the judge of its pool."""
        return self._tasks.dispatcher.ask(dispatcher_messages.Judge(question))

    def trial_over(self, report: quarantine.TrialEnded) -> None:
        """A trial that this VM handed out is over."""
        self._tasks.dispatcher.tell(dispatcher_messages.TrialOver(report))

    def on_runners(
        self,
        chosen: tuple[runners.Runner, ...],
        listed: tuple[runners.Runner, ...],
    ) -> None:
        """The platform listed the runners; some are chosen for this VM."""
        self._tasks.dispatcher.tell(dispatcher_messages.RunnersListed(chosen))
        self._tasks.duties.tell(dispatcher_messages.RunnersListed(listed))

    def on_platform(
        self,
        vms: tuple[platform.Vm, ...],
        per_hour: typing.Mapping[tuple[str, str, str], float],
    ) -> None:
        """The platform's list of VMs and its prices were read."""
        self._tasks.autoscaler.tell(autoscaler.PlatformSeen(vms, per_hour))

    def drain(self, runner: str, left_s: float) -> None:
        """A runner will be released: it gets no new work anywhere."""
        self.on_notice(runner, left_s)

    def on_listed_leaving(self, vm: str, left_s: float) -> None:
        """The platform's list shows a VM as leaving."""
        self._tasks.dispatcher.tell(
            dispatcher_messages.RunnerLeaving(vm, left_s)
        )

    def on_load(
        self, runner: str, report: runners.LoadReport | None, tell: bool
    ) -> None:
        """A runner's load was read, or it did not answer."""
        if report is None:
            self._tasks.dispatcher.tell(
                dispatcher_messages.ProbeFailed(runner)
            )
            return
        self._tasks.dispatcher.tell(
            dispatcher_messages.LoadSeen(runner, report, True)
        )
        if tell:
            self.announce(gossip_messages.of_load(runner, report))

    def on_death(self, runner: str) -> None:
        """A runner refuses connections; tell the fleet, once."""
        asked = self._tasks.dispatcher.ask(
            dispatcher_messages.DeathSeen(runner)
        )
        asked.add_done_callback(self._spread_death)

    def _spread_death(self, asked: "futures.Future[typing.Any]") -> None:
        if asked.exception() is None and asked.result() is not None:
            report = asked.result()
            self._tasks.fleet.tell(fleet_link.SpreadCrash(report))

    def on_joined(self, vm: str) -> None:
        """A process of an entry VM has started, perhaps just now.

        It knows of no crash yet, and would let a request that is refused
        everywhere else crash one more runner.
        """
        asked = self._tasks.dispatcher.ask(dispatcher_messages.CrashesKnown())

        def told(done: "futures.Future[typing.Any]") -> None:
            reports = [] if done.exception() else done.result()
            for report in reports:
                self._tasks.fleet.tell(fleet_link.TellCrash(vm, report))

        asked.add_done_callback(told)

    def on_cache(
        self, runner: str, events: runners.CacheEvents, tell: bool
    ) -> None:
        """A runner's cache events were read."""
        self._tasks.dispatcher.tell(
            dispatcher_messages.CacheSeen(runner, events)
        )
        if tell:
            self.announce(gossip_messages.of_cache(runner, events))

    def on_notice(self, vm: str, left_s: float) -> None:
        """The platform gave notice of a VM; tell the fleet at once."""
        self.announce(gossip_messages.of_runner_leaving(vm, left_s))
        self._noticed(vm, left_s)

    def in_force(self, catalogue: catalogues.Catalogue) -> None:
        """A catalogue came into force at this VM."""
        self._tasks.context.put_in_force(catalogue)
        message = dispatcher_messages.CatalogueInForce(catalogue)
        self._tasks.dispatcher.tell(message)
        self._tasks.runner_monitor.tell(message)
        self._tasks.duties.tell(message)
        self._tasks.autoscaler.tell(message)
        self._metrics.gauge("catalogue.version", catalogue.version)

    def announce(self, rumour: pb.Rumour) -> None:
        """Spread a rumour, the frequent ones no further than they matter.

        In a large fleet the loads of all runners would take more than a
        VM's share of the network; each data centre reads its own runners.
        """
        if rumour.WhichOneof("body") == "demand":
            self._tasks.autoscaler.tell(autoscaler.DemandSeen(rumour.demand))
        if self._large and rumour.WhichOneof("body") in _LOCAL_WHEN_LARGE:
            rumour.scope = pb.SCOPE_DATA_CENTRE
        self._tasks.fleet.tell(fleet_messages.Announce(rumour))

    def _noticed(self, vm: str, left_s: float) -> None:
        if vm == self._config.vm:
            self._stop(left_s)
            return
        leaving = dispatcher_messages.RunnerLeaving(vm, left_s)
        self._tasks.dispatcher.tell(leaving)
        self._tasks.autoscaler.tell(leaving)
