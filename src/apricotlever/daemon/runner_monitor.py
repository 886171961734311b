"""The task that reads the platform's lists and the state of the runners.

It reads the platform's VMs, prices and termination notices. Each runner's
load and cache events are read by a few entry VMs only, picked by rendezvous
hashing over the membership view; the other entry VMs learn them from rumours,
which are messages spread by gossip.
"""

from concurrent import futures
import typing

from returns import result

from .. import clock as clocks
from .. import logs
from .. import mailbox
from .. import settings
from ..catalogue import model as catalogues
from ..links import json_calls
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
from . import runner_listener

THREADS = 8
TICK_S = 0.1
LIST_INTERVAL_S = 1.0
PRICES_INTERVAL_S = 10.0
LOAD_READERS = 2
NOTICE_WATCHERS = 2
#: Longest wait for notices. If the connection goes silent during a wait, a
#: notice is delayed by up to twice this time.
NOTICE_WAIT_S = 2.0
POLL_TIMEOUT_S = 1.0
#: Seconds that a runner listed as leaving is assumed to have left, in case
#: its notice was missed.
LISTED_LEAVING_S = 2.0
DEFAULT_SLOTS = 16
VMS = "vms"
PRICES = "prices"
NOTICES = "notices"


class ServingVms:
    """Message: the serving entry VMs in this VM's membership view.

    :param serving: VM names by data centre; empty for a data centre of which
        only a summary is known.
    """

    __slots__ = ("serving",)

    def __init__(self, serving: dict[str, list[str]]) -> None:
        self.serving = serving


def serving_vms(view: views.FleetView) -> ServingVms:
    """The message that tells a RunnerMonitor the serving VMs of a view."""
    return ServingVms(
        {name: view.serving_names(name) for name in view.data_centres}
    )


class _VmsRead:
    """Message: a read of the platform's list of VMs has ended."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class _PricesRead:
    """Message: a read of the platform's prices has ended."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class _NoticesRead:
    """Message: a wait for termination notices has ended."""

    __slots__ = ("outcome",)

    def __init__(self, outcome: typing.Any) -> None:
        self.outcome = outcome


class _RunnerPolled:
    """Message: a read of a runner's load and cache events has ended.

    :param runner: name of the runner.
    :param load: the load, or None when the runner did not answer.
    :param events: the cache events, or None when the runner did not answer.
    :param refused: whether the runner refuses connections.
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
    """Polls the cloud API and the runners, and reports to a listener.

    :param config: the settings.
    :param cloud: the client of the cloud API.
    :param fleet_link: the task that receives hints about members.
    :param listener: receives everything that is read.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        config: settings.Settings,
        cloud: platform.CloudApi,
        fleet_link: mailbox.Task,
        listener: runner_listener.Listener,
    ) -> None:
        super().__init__("keeper", clock, TICK_S)
        self._config = config
        self._cloud = cloud
        self._fleet_link = fleet_link
        self._listener = listener
        self._threads = futures.ThreadPoolExecutor(THREADS, "keeper")
        self._connections = upstream_exchange.ConnectionPool(clock)
        self._catalogue = catalogues.EMPTY
        self._prices: dict[tuple[str, str, str], float] = {}
        self._vms: tuple[platform.Vm, ...] = ()
        self._runners: dict[str, runners.Runner] = {}
        self._assignment = assignment.RunnerAssignment(
            config.vm, config.data_centre
        )
        self._poll_at: dict[str, float] = {}
        self._list_at = 0.0
        self._prices_at = 0.0
        self._notice_seq = -1
        self._waiting_for_notices = False
        self._cache_seqs: dict[str, int] = {}
        self._polled_runners: frozenset[str] = frozenset()
        self._refusing_runners: set[str] = set()
        self._backoffs = {
            call: call_backoff.CallBackoff(clock)
            for call in (VMS, PRICES, NOTICES)
        }

    @property
    def _watches_notices(self) -> bool:
        return self._assignment.local_rank("notices") < NOTICE_WATCHERS

    @property
    def _notices_due(self) -> bool:
        due = self._backoffs[NOTICES].due and not self._waiting_for_notices
        return due and self._watches_notices

    @mailbox.handles(dispatcher_messages.CatalogueInForce)
    def _update_catalogue(
        self, message: dispatcher_messages.CatalogueInForce
    ) -> None:
        self._catalogue = message.catalogue
        self._publish()

    @mailbox.handles(ServingVms)
    def _update_serving(self, message: ServingVms) -> None:
        self._assignment.set_serving(message.serving)
        self._publish()

    @mailbox.handles(_VmsRead)
    def _on_vms_read(self, message: _VmsRead) -> None:
        if not self._record_outcome(VMS, message.outcome):
            return
        self._vms = message.outcome.unwrap()
        hints = tuple(
            membership.Hint(vm.vm, vm.address, vm.data_centre)
            for vm in self._vms
            if vm.role == "entry" and vm.address
        )
        self._fleet_link.tell(fleet_messages.SetHints(hints))
        self._publish()

    @mailbox.handles(_PricesRead)
    def _on_prices_read(self, message: _PricesRead) -> None:
        if not self._record_outcome(PRICES, message.outcome):
            return
        self._prices = {
            (price.data_centre, price.machine, price.market): price.per_hour
            for price in message.outcome.unwrap()
        }
        self._publish()

    @mailbox.handles(_NoticesRead)
    def _on_notices_read(self, message: _NoticesRead) -> None:
        self._waiting_for_notices = False
        if not self._record_outcome(NOTICES, message.outcome):
            return
        answer = message.outcome.unwrap()
        self._notice_seq = answer.seq
        for notice in answer.notices:
            self._listener.on_notice(notice.vm, notice.deadline_s)

    @mailbox.handles(_RunnerPolled)
    def _on_runner_polled(self, message: _RunnerPolled) -> None:
        name = message.runner
        if message.refused and name not in self._refusing_runners:
            # Reported once for each crash. A second report would count as
            # the crash of another runner, and could clear the request that
            # caused the first one.
            self._refusing_runners.add(name)
            self._listener.on_connection_refused(name)
        if message.load is not None:
            self._refusing_runners.discard(name)
        known = self._runners.get(name)
        report_to_peers = (
            known is not None and self._assignment.load_reader_rank(known) == 0
        )
        self._listener.on_load(name, message.load, report_to_peers)
        if message.events is None or not message.events.events:
            return
        self._cache_seqs[name] = message.events.last
        self._listener.on_cache_events(name, message.events, report_to_peers)

    @mailbox.handles(dispatcher_messages.GetStatus)
    def _status(
        self, message: dispatcher_messages.GetStatus
    ) -> dict[str, object]:
        return {
            "kept": sorted(self._polled_runners),
            "watches_notices": self._watches_notices,
        }

    def tick(self) -> None:
        """Start the calls to the platform and to runners that are due."""
        now = self._clock.now()
        if now >= self._list_at:
            self._list_at = now + LIST_INTERVAL_S
            self._submit(self._cloud.vms, _VmsRead)
        if now >= self._prices_at:
            self._prices_at = now + PRICES_INTERVAL_S
            self._submit(self._cloud.prices, _PricesRead)
        if self._notices_due:
            self._waiting_for_notices = True
            self._submit(self._wait_for_notices, _NoticesRead)
        for name in self._polled_runners:
            if self._poll_at.get(name, 0.0) <= now:
                runner = self._runners[name]
                self._poll_at[name] = now + self._config.timing.load_poll_s
                after = self._cache_seqs.get(name, 0)
                self._threads.submit(self._poll, runner, after)

    def stopped(self) -> None:
        """Shut the threads down; calls in progress end by their timeouts."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _reads_load(self, runner: str) -> bool:
        """Whether this VM reads a runner's load for the other VMs."""
        pools = {
            entry.pool
            for entry in self._catalogue.entries.values()
            if entry.kind == catalogues.KIND_MODEL
        }
        if self._runners[runner].pool not in pools:
            return False
        return (
            self._assignment.load_reader_rank(self._runners[runner])
            < LOAD_READERS
        )

    def _publish(self) -> None:
        """Report the listed VMs and the runners of the catalogue's pools."""
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
        # Ranked here and not at each tick, because with many runners the
        # ranking would take most of a core.
        self._polled_runners = frozenset(
            filter(self._reads_load, self._runners)
        )
        self._listener.on_vms_and_prices(self._vms, self._prices)
        self._listener.on_runners(
            self._assignment.select_runners(listed), listed
        )
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
        message_type: typing.Callable[[typing.Any], typing.Any],
    ) -> None:
        def run() -> None:
            self.tell(message_type(call()))

        self._threads.submit(run)

    def _wait_for_notices(self) -> typing.Any:
        return self._cloud.notices(max(0, self._notice_seq), NOTICE_WAIT_S)

    def _poll(self, runner: runners.Runner, after: int) -> None:
        try:
            load = json_calls.call_json(
                runner.address,
                "GET",
                "/v1/load",
                timeout_s=POLL_TIMEOUT_S,
                pool=self._connections,
            )
            events = json_calls.call_json(
                runner.address,
                "GET",
                f"/v1/cache/events?after={after}",
                timeout_s=POLL_TIMEOUT_S,
                pool=self._connections,
            )
            polled = _RunnerPolled(
                runner.name,
                runner_documents.parse_load(load),
                runner_documents.parse_cache_events(events),
            )
        except upstream_exchange.ConnectFailed:
            polled = _RunnerPolled(runner.name, None, None, refused=True)
        except (
            upstream_exchange.UpstreamError,
            KeyError,
            TypeError,
            ValueError,
        ):
            polled = _RunnerPolled(runner.name, None, None)
        self.tell(polled)

    def _record_outcome(self, call: str, outcome: typing.Any) -> bool:
        """Record the outcome of a call to the platform.

        Only changes between success and failure are logged.

        :param call: the kind of call.
        :param outcome: the Result of the call.
        :returns: whether the call succeeded.
        """
        if isinstance(outcome, result.Success):
            if self._backoffs[call].record_success():
                logs.event("platform_call_recovered", call=call)
            return True
        error = outcome.failure()
        if self._backoffs[call].record_failure():
            logs.event(
                "platform_call_failed",
                call=call,
                kind=error.kind,
                error=error.message,
            )
        return False
