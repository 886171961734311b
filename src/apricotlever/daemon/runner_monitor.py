"""The task that knows the upstreams: their list, notices, load and caches.

Each runner's load and cache events are read by a few entry VMs only, picked
by rendezvous hashing over the view; the others hear of them by rumour.
"""

from concurrent import futures
import typing

from returns import result

from .. import clock as clocks
from .. import logs
from .. import mailbox
from .. import settings
from ..catalogue import model as catalogues
from ..links import platform
from ..links import upstream_exchange
from ..runners import assignment
from ..runners import model as runners
from ..vms import fleet_view as views
from ..vms import membership

from . import call_backoff
from . import dispatcher_messages
from . import fleet_messages
from . import runner_documents

THREADS = 8
TICK_S = 0.1
LIST_S = 1.0
PRICES_S = 10.0
KEEPERS = 2
NOTICE_WATCHERS = 2
#: A connection gone silent during a wait delays a notice by as much, twice.
NOTICE_WAIT_S = 2.0
POLL_TIMEOUT_S = 1.0
#: What a leaving runner is taken to have left when its notice was missed.
LISTED_LEAVING_S = 2.0
DEFAULT_SLOTS = 16
VMS = "vms"
PRICES = "prices"
NOTICES = "notices"


class Shown:
    """The serving entry VMs of this VM's view.

    :param serving: names by data centre; empty for a data centre that is
        seen by its summary only.
    """

    __slots__ = ("serving",)

    def __init__(self, serving: dict[str, list[str]]) -> None:
        self.serving = serving


def shown(view: views.FleetView) -> Shown:
    """What a keeper needs to know of a view."""
    return Shown(
        {name: view.serving_names(name) for name in view.data_centres}
    )


class Listener(typing.Protocol):
    """What the daemon does with what is found; must return at once."""

    def on_runners(
        self,
        chosen: tuple[runners.Runner, ...],
        listed: tuple[runners.Runner, ...],
    ) -> None:
        """The platform listed the runners; some are chosen for this VM."""

    def on_platform(
        self,
        vms: tuple[platform.Vm, ...],
        per_hour: typing.Mapping[tuple[str, str, str], float],
    ) -> None:
        """The platform's list of VMs and its prices were read."""

    def on_listed_leaving(self, vm: str, left_s: float) -> None:
        """The platform's list shows a VM as leaving."""

    def on_notice(self, vm: str, left_s: float) -> None:
        """The platform gave notice of a VM, maybe of this one."""

    def on_load(
        self, runner: str, report: runners.LoadReport | None, tell: bool
    ) -> None:
        """A runner's load was read; None when it did not answer.

        :param tell: whether it is on this VM to tell the others.
        """

    def on_death(self, runner: str) -> None:
        """A runner refuses connections."""

    def on_cache(
        self, runner: str, events: runners.CacheEvents, tell: bool
    ) -> None:
        """A runner's cache events were read."""


class _Listed:
    """The platform's list of VMs came, or not."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class _Priced:
    """The platform's prices came, or not."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class _Noticed:
    """A wait for notices is over."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class _Polled:
    """A runner's load and cache events were read, or not.

    :param load: None when the runner did not answer.
    :param refused: the runner refuses connections.
    """

    __slots__ = ("runner", "load", "events", "refused")

    def __init__(
        self,
        runner: str,
        load: runners.LoadReport | None,
        events: runners.CacheEvents | None,
        refused: bool = False,
    ) -> None:
        self.runner = runner
        self.load = load
        self.events = events
        self.refused = refused


class RunnerMonitor(mailbox.Task):
    """Keeps this VM's knowledge of the upstreams fresh.

    :param config: intervals and this VM's name.
    :param cloud: the client of the cloud API.
    :param others: the fleet's task, for hints.
    :param listener: told of all that is found.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        config: settings.Settings,
        cloud: platform.CloudApi,
        others: mailbox.Task,
        listener: Listener,
    ) -> None:
        super().__init__("keeper", clock, TICK_S)
        self._config = config
        self._cloud = cloud
        self._others = others
        self._listener = listener
        self._threads = futures.ThreadPoolExecutor(THREADS, "keeper")
        self._connections = upstream_exchange.ConnectionPool(clock)
        self._catalogue = catalogues.EMPTY
        self._prices: dict[tuple[str, str, str], float] = {}
        self._vms: tuple[platform.Vm, ...] = ()
        self._runners: dict[str, runners.Runner] = {}
        self._keeping = assignment.RunnerAssignment(
            config.vm, config.data_centre
        )
        self._due: dict[str, float] = {}
        self._list_at = 0.0
        self._prices_at = 0.0
        self._notice_seq = -1
        self._notice_waits = False
        self._cache_seqs: dict[str, int] = {}
        self._kept: frozenset[str] = frozenset()
        self._dead: set[str] = set()
        self._calls = {
            call: call_backoff.CallBackoff(clock)
            for call in (VMS, PRICES, NOTICES)
        }

    @property
    def _watches_notices(self) -> bool:
        return self._keeping.local_rank("notices") < NOTICE_WATCHERS

    @property
    def _notices_due(self) -> bool:
        due = self._calls[NOTICES].due and not self._notice_waits
        return due and self._watches_notices

    @mailbox.handles(dispatcher_messages.CatalogueInForce)
    def _configure(
        self, message: dispatcher_messages.CatalogueInForce
    ) -> None:
        self._catalogue = message.catalogue
        self._publish()

    @mailbox.handles(Shown)
    def _shown(self, message: Shown) -> None:
        self._keeping.set_serving(message.serving)
        self._publish()

    @mailbox.handles(_Listed)
    def _listed(self, message: _Listed) -> None:
        if not self._answered(VMS, message.outcome):
            return
        self._vms = message.outcome.unwrap()
        entries = tuple(
            membership.Hint(vm.vm, vm.address, vm.data_centre)
            for vm in self._vms
            if vm.role == "entry" and vm.address
        )
        self._others.tell(fleet_messages.Hints(entries))
        self._publish()

    @mailbox.handles(_Priced)
    def _priced(self, message: _Priced) -> None:
        if not self._answered(PRICES, message.outcome):
            return
        self._prices = {
            (price.data_centre, price.machine, price.market): price.per_hour
            for price in message.outcome.unwrap()
        }
        self._publish()

    @mailbox.handles(_Noticed)
    def _noticed(self, message: _Noticed) -> None:
        self._notice_waits = False
        if not self._answered(NOTICES, message.outcome):
            return
        answer = message.outcome.unwrap()
        self._notice_seq = answer.seq
        for notice in answer.notices:
            self._listener.on_notice(notice.vm, notice.deadline_s)

    @mailbox.handles(_Polled)
    def _polled(self, message: _Polled) -> None:
        name = message.runner
        if message.refused and name not in self._dead:
            # Once for each death: told again later, it would pass for the
            # death of another runner, and excuse the request that did it.
            self._dead.add(name)
            self._listener.on_death(name)
        if message.load is not None:
            self._dead.discard(name)
        known = self._runners.get(name)
        tell = known is not None and self._keeping.load_reader_rank(known) == 0
        self._listener.on_load(name, message.load, tell)
        if message.events is None or not message.events.events:
            return
        self._cache_seqs[name] = message.events.last
        self._listener.on_cache(name, message.events, tell)

    @mailbox.handles(dispatcher_messages.StatusWanted)
    def _status(
        self, message: dispatcher_messages.StatusWanted
    ) -> dict[str, object]:
        return {
            "kept": sorted(self._kept),
            "watches_notices": self._watches_notices,
        }

    def tick(self) -> None:
        """Start the calls that are due."""
        now = self._clock.now()
        if now >= self._list_at:
            self._list_at = now + LIST_S
            self._submit(self._cloud.vms, _Listed)
        if now >= self._prices_at:
            self._prices_at = now + PRICES_S
            self._submit(self._cloud.prices, _Priced)
        if self._notices_due:
            self._notice_waits = True
            self._submit(self._wait_for_notices, _Noticed)
        for name in self._kept:
            if self._due.get(name, 0.0) <= now:
                runner = self._runners[name]
                self._due[name] = now + self._config.timing.load_poll_s
                after = self._cache_seqs.get(name, 0)
                self._threads.submit(self._poll, runner, after)

    def stopped(self) -> None:
        """End the threads; calls under way end by their own timeouts."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _keeps(self, runner: str) -> bool:
        """Whether this VM reads the runner's load for the others."""
        pools = {
            entry.pool
            for entry in self._catalogue.entries.values()
            if entry.kind == catalogues.KIND_MODEL
        }
        if self._runners[runner].pool not in pools:
            return False
        return self._keeping.load_reader_rank(self._runners[runner]) < KEEPERS

    def _publish(self) -> None:
        """Tell the desk which runners the catalogue's pools have."""
        slots = {
            entry.pool: entry.capacity.slots_per_runner
            for entry in self._catalogue.entries.values()
        }
        listed = tuple(
            self._runner(vm, slots.get(vm.pool, DEFAULT_SLOTS))
            for vm in self._vms
            if vm.role == "runner" and vm.address and vm.state != "starting"
        )
        if not self._vms:
            return
        self._runners = {runner.name: runner for runner in listed}
        # Ranked here and not at each tick: with many runners the ranking
        # would take most of a core.
        self._kept = frozenset(filter(self._keeps, self._runners))
        self._listener.on_platform(self._vms, self._prices)
        self._listener.on_runners(self._keeping.select_runners(listed), listed)
        for vm in self._vms:
            if vm.role == "runner" and vm.state == "leaving":
                self._listener.on_listed_leaving(vm.vm, LISTED_LEAVING_S)

    def _runner(self, vm: platform.Vm, slots: int) -> runners.Runner:
        price = self._prices.get((vm.data_centre, vm.machine, vm.market), 0.0)
        return runners.Runner(
            vm.vm,
            vm.address,
            vm.data_centre,
            vm.pool,
            vm.market,
            vm.machine,
            price,
            slots,
        )

    def _submit(
        self,
        call: typing.Callable[[], typing.Any],
        heard: typing.Callable[[typing.Any], typing.Any],
    ) -> None:
        def run() -> None:
            self.tell(heard(call()))

        self._threads.submit(run)

    def _wait_for_notices(self) -> typing.Any:
        return self._cloud.notices(max(0, self._notice_seq), NOTICE_WAIT_S)

    def _poll(self, runner: runners.Runner, after: int) -> None:
        try:
            load = upstream_exchange.call_json(
                runner.address,
                "GET",
                "/v1/load",
                timeout_s=POLL_TIMEOUT_S,
                pool=self._connections,
            )
            events = upstream_exchange.call_json(
                runner.address,
                "GET",
                f"/v1/cache/events?after={after}",
                timeout_s=POLL_TIMEOUT_S,
                pool=self._connections,
            )
            polled = _Polled(
                runner.name,
                runner_documents.load_of(load),
                runner_documents.events_of(events),
            )
        except upstream_exchange.ConnectFailed:
            polled = _Polled(runner.name, None, None, refused=True)
        except (
            upstream_exchange.UpstreamError,
            KeyError,
            TypeError,
            ValueError,
        ):
            polled = _Polled(runner.name, None, None)
        self.tell(polled)

    def _answered(self, call: str, outcome: typing.Any) -> bool:
        """Note how a call went; the log hears of changes only.

        :returns: whether it was answered.
        """
        if isinstance(outcome, result.Success):
            if self._calls[call].answered():
                logs.event("platform_call_recovered", call=call)
            return True
        error = outcome.failure()
        if self._calls[call].failed():
            logs.event(
                "platform_call_failed",
                call=call,
                kind=error.kind,
                error=error.message,
            )
        return False
