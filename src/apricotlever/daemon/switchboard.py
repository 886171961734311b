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

from . import book
from . import buyer
from . import context as contexts
from . import departing
from . import duties
from . import fleet
from . import fleet_messages
from . import keeper
from . import messages
from . import presence as presences
from . import rumours
from . import store
from . import watcher

_LOCAL_WHEN_LARGE = frozenset(("load", "prefix", "demand"))

Stop = typing.Callable[[float | None], None]


class Tasks:
    """The tasks that are told."""

    __slots__ = (
        "desk",
        "book",
        "fleet",
        "keeper",
        "watcher",
        "duties",
        "store",
        "buyer",
        "context",
    )

    def __init__(
        self,
        desk: mailbox.Task,
        book_task: mailbox.Task,
        fleet_task: mailbox.Task,
        keeper_task: mailbox.Task,
        watcher_task: mailbox.Task,
        duties_task: mailbox.Task,
        store_task: mailbox.Task,
        buyer_task: mailbox.Task,
        context: contexts.Context,
    ) -> None:
        self.desk = desk
        self.book = book_task
        self.fleet = fleet_task
        self.keeper = keeper_task
        self.watcher = watcher_task
        self.duties = duties_task
        self.store = store_task
        self.buyer = buyer_task
        self.context = context


class Switchboard:
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
        presence: presences.Presence,
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

    def attach(self, tasks: Tasks) -> None:
        """Take over the tasks; before any of them runs."""
        self._tasks = tasks

    def depart(self, task: mailbox.Task) -> None:
        """Take over the task that hands this VM's work over."""
        self._departing = task

    def on_view(self, view: views.FleetView) -> None:
        """Pass the members on to the tasks that go by them."""
        self._presence.seen(view)
        self._large = bool(view.summaries)
        self._tasks.keeper.tell(keeper.shown(view))
        self._tasks.watcher.tell(watcher.ViewSeen(view))
        self._tasks.duties.tell(duties.ViewSeen(view))
        self._tasks.desk.tell(messages.MembersSeen(frozenset(view.members)))
        self._tasks.store.tell(store.FleetSize(view.size))
        for member in view.members.values():
            seen = book.OwnerSeen(member.vm, member.incarnation)
            self._tasks.book.tell(seen)

    def on_rumour(self, rumour: pb.Rumour, via: str) -> None:
        """Give a rumour to the task that it concerns."""
        age_s = rumour.age_ms / rumours.MS_PER_S
        match rumour.WhichOneof("body"):
            case "runner_leaving":
                left_s = rumour.runner_leaving.deadline_s - age_s
                name = rumour.runner_leaving.runner
                self._noticed(name, max(0.0, left_s))
            case "runner_gone":
                gone = messages.RunnerGone(rumour.runner_gone.runner)
                self._tasks.desk.tell(gone)
            case "quarantine":
                report = rumours.crash_of(rumour.quarantine, age_s)
                self._tasks.desk.tell(messages.CrashHeard(report))
            case "ledger_moved":
                told = rumour.ledger_moved
                owner = keyed.VmIncarnation(told.vm, told.incarnation)
                heir = keyed.VmIncarnation(told.heir, told.heir_incarnation)
                self._tasks.book.tell(book.LedgerMoved(owner, heir))
            case "catalogue":
                self._tasks.watcher.tell(watcher.Rumoured(rumour, via))
            case "load":
                load = rumours.load_of(rumour)
                seen = messages.LoadSeen(rumour.load.runner, load, False)
                self._tasks.desk.tell(seen)
            case "prefix":
                events = rumours.cache_of(rumour)
                cached = messages.CacheSeen(rumour.prefix.runner, events)
                self._tasks.desk.tell(cached)
            case "demand":
                demand = rumours.demand_of(rumour.demand)
                self._tasks.desk.tell(messages.DemandHeard(demand, age_s))
                self._tasks.buyer.tell(buyer.DemandSeen(rumour.demand))

    def on_incarnation_ended(self, vm: str, incarnation: int) -> None:
        """A process is gone for certain."""
        self._tasks.book.tell(book.OwnerGone(vm, incarnation))
        self._tasks.desk.tell(messages.MemberLeft(vm))
        if self._departing is not None:
            owner = departing.owner(vm, incarnation)
            self._departing.tell(departing.OwnerGone(owner))

    def on_catalogue_heard(self, version: int, digest: int, vm: str) -> None:
        """A peer has a newer catalogue."""
        self._tasks.watcher.tell(watcher.Heard(version, digest, vm))

    def on_paused(self, seconds: float) -> None:
        """Nothing to do: leases and keys check the clock when used."""

    def on_superseded(self) -> None:
        """A newer process runs under this VM's name: end."""
        self._stop(0.0)

    def judge(
        self, question: quarantine.TrialRequest
    ) -> "futures.Future[quarantine.TrialDecision]":
        """Decide on a suspect as the judge of its pool."""
        return self._tasks.desk.ask(messages.Judge(question))

    def trial_over(self, report: quarantine.TrialEnded) -> None:
        """A trial that this VM handed out is over."""
        self._tasks.desk.tell(messages.TrialOver(report))

    def on_runners(
        self,
        chosen: tuple[runners.Runner, ...],
        listed: tuple[runners.Runner, ...],
    ) -> None:
        """The platform listed the runners; some are chosen for this VM."""
        self._tasks.desk.tell(messages.RunnersListed(chosen))
        self._tasks.duties.tell(messages.RunnersListed(listed))

    def on_platform(
        self,
        vms: tuple[platform.Vm, ...],
        per_hour: typing.Mapping[tuple[str, str, str], float],
    ) -> None:
        """The platform's list of VMs and its prices were read."""
        self._tasks.buyer.tell(buyer.PlatformSeen(vms, per_hour))

    def drain(self, runner: str, left_s: float) -> None:
        """A runner will be released: it gets no new work anywhere."""
        self.on_notice(runner, left_s)

    def on_listed_leaving(self, vm: str, left_s: float) -> None:
        """The platform's list shows a VM as leaving."""
        self._tasks.desk.tell(messages.RunnerLeaving(vm, left_s))

    def on_load(
        self, runner: str, report: runners.LoadReport | None, tell: bool
    ) -> None:
        """A runner's load was read, or it did not answer."""
        if report is None:
            self._tasks.desk.tell(messages.ProbeFailed(runner))
            return
        self._tasks.desk.tell(messages.LoadSeen(runner, report, True))
        if tell:
            self.announce(rumours.of_load(runner, report))

    def on_death(self, runner: str) -> None:
        """A runner refuses connections; tell the fleet, once."""
        asked = self._tasks.desk.ask(messages.DeathSeen(runner))
        asked.add_done_callback(self._spread_death)

    def _spread_death(self, asked: "futures.Future[typing.Any]") -> None:
        if asked.exception() is None and asked.result() is not None:
            report = asked.result()
            self._tasks.fleet.tell(fleet.SpreadCrash(report))

    def on_joined(self, vm: str) -> None:
        """A process of an entry VM has started, perhaps just now.

        It knows of no crash yet, and would let a request that is refused
        everywhere else crash one more runner.
        """
        asked = self._tasks.desk.ask(messages.CrashesKnown())

        def told(done: "futures.Future[typing.Any]") -> None:
            reports = [] if done.exception() else done.result()
            for report in reports:
                self._tasks.fleet.tell(fleet.TellCrash(vm, report))

        asked.add_done_callback(told)

    def on_cache(
        self, runner: str, events: runners.CacheEvents, tell: bool
    ) -> None:
        """A runner's cache events were read."""
        self._tasks.desk.tell(messages.CacheSeen(runner, events))
        if tell:
            self.announce(rumours.of_cache(runner, events))

    def on_notice(self, vm: str, left_s: float) -> None:
        """The platform gave notice of a VM; tell the fleet at once."""
        self.announce(rumours.of_runner_leaving(vm, left_s))
        self._noticed(vm, left_s)

    def in_force(self, catalogue: catalogues.Catalogue) -> None:
        """A catalogue came into force at this VM."""
        self._tasks.context.put_in_force(catalogue)
        message = messages.CatalogueInForce(catalogue)
        self._tasks.desk.tell(message)
        self._tasks.keeper.tell(message)
        self._tasks.duties.tell(message)
        self._tasks.buyer.tell(message)
        self._metrics.gauge("catalogue.version", catalogue.version)

    def announce(self, rumour: pb.Rumour) -> None:
        """Spread a rumour, the frequent ones no further than they matter.

        In a large fleet the loads of all runners would take more than a
        VM's share of the network; each data centre reads its own runners.
        """
        if rumour.WhichOneof("body") == "demand":
            self._tasks.buyer.tell(buyer.DemandSeen(rumour.demand))
        if self._large and rumour.WhichOneof("body") in _LOCAL_WHEN_LARGE:
            rumour.scope = pb.SCOPE_DATA_CENTRE
        self._tasks.fleet.tell(fleet_messages.Announce(rumour))

    def _noticed(self, vm: str, left_s: float) -> None:
        if vm == self._config.vm:
            self._stop(left_s)
            return
        leaving = messages.RunnerLeaving(vm, left_s)
        self._tasks.desk.tell(leaving)
        self._tasks.buyer.tell(leaving)
