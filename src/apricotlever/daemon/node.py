"""Assembles the daemon from its tasks, runs it and shuts it down."""

from concurrent import futures
import random
import secrets
import threading

from .. import clock as clocks
from .. import histograms
from .. import logs
from .. import mailbox
from .. import metrics
from .. import settings
from ..contracts import call_budget
from ..links import caller_server
from ..links import peer_link
from ..links import platform
from ..links import stream_loop
from ..vms import fleet_view as views

from . import autoscaler
from . import catalogue_watcher
from . import context as contexts
from . import dispatcher
from . import duties
from . import fleet_link
from . import fleet_messages
from . import gateway
from . import incoming_handover
from . import ledger_task
from . import outgoing_handover
from . import peer_handlers
from . import request_registry
from . import runner_monitor
from . import store
from . import task_notifier
from . import vm_presence

RECEIVE_TIMEOUT_S = 10.0
BACKGROUND_THREADS = 512
TASK_THREADS = 16
#: Fractions of the time left to the deadline of a shutdown. At most the first
#: is spent waiting for cached addresses to expire; after that, the handover
#: may use the second.
ADDRESS_EXPIRY_FRACTION = 0.25
HANDOVER_FRACTION = 0.7
POLL_INTERVAL_S = 0.05
#: Time that a new connection has to send its request before the shutdown
#: goes on.
LATE_REQUEST_GRACE_S = 0.2
#: Time within which gossip tells every entry VM which VM has taken over the
#: idempotency keys of this one.
SUCCESSOR_GOSSIP_S = 0.8
FLUSH_TIMEOUT_S = 2.0


class Node:
    """The daemon of one entry VM.

    :param config: the settings.
    :param clock: the source of time of every task.
    """

    def __init__(self, config: settings.Settings, clock: clocks.Clock) -> None:
        self._config = config
        self._clock = clock
        self._rng = random.Random(secrets.randbits(64))
        self._incarnation = int(clock.wall() * 1000)
        self._metrics = metrics.Metrics(config.statsd)
        self._presence = vm_presence.VmPresence(config, self._rng)
        self._stop_requested = threading.Event()
        self._reclaimed_at: float | None = None
        self._task_notifier = task_notifier.TaskNotifier(
            config, self._presence, self._metrics, self.request_stop
        )
        self._task_threads = futures.ThreadPoolExecutor(TASK_THREADS, "task")
        self._task_futures: list[futures.Future[None]] = []
        self._peer_handlers = peer_link.Handlers()
        self._peer_link = peer_link.PeerLink(
            config.peers.host, config.peers.port, self._peer_handlers, clock
        )
        self._tasks: list[mailbox.Task] = []
        self._create_tasks()
        peer_handlers.register(
            self._peer_handlers, self._context, self._peer_tasks()
        )
        self._server = self._create_server()

    @property
    def callers_address(self) -> str:
        """``host:port`` for callers."""
        return f"{self._config.callers.host}:{self._server.port}"

    def run(self) -> int:
        """Serve until a shutdown is requested, then shut down gracefully.

        :returns: the exit code of the process.
        """
        self._start()
        self._stop_requested.wait()
        return self._stop()

    def request_stop(self, notice_s: float | None = None) -> None:
        """Request a graceful shutdown; may be called from any thread.

        :param notice_s: seconds until the platform reclaims the VM; None
            when it does not.
        """
        if notice_s is not None:
            reclaimed_at = self._clock.now() + notice_s
            known = self._reclaimed_at
            self._reclaimed_at = (
                reclaimed_at if known is None else min(known, reclaimed_at)
            )
        self._stop_requested.set()

    def _create_tasks(self) -> None:
        config = self._config
        clock = self._clock
        timing = config.timing
        secret_rng = random.SystemRandom()
        objects = platform.ObjectApi(
            config.platform.objects, timing.platform_timeout_s
        )
        budget = call_budget.CallBudget(
            clock,
            config.sizes.store_reads_per_s,
            config.sizes.store_writes_per_s,
        )
        self._store = store.Store(clock, objects, budget, self._metrics)
        self._ledger = ledger_task.LedgerTask(
            clock, secret_rng, config.vm, self._incarnation, self._store
        )
        self._registry = request_registry.RequestRegistry(
            clock,
            config.sizes.keep_outcomes_s,
            config.sizes.keep_outcomes_bytes_max,
        )
        self._dispatcher = dispatcher.Dispatcher(
            clock,
            self._rng,
            config.vm,
            config.data_centre,
            self._metrics,
            self._task_notifier.announce,
        )
        own_member = vm_presence.own_member(
            config,
            str(config.callers),
            self._peer_link.address,
            self._incarnation,
        )
        self._fleet_link = fleet_link.FleetLink(
            clock,
            self._rng,
            config,
            self._peer_link,
            own_member,
            self._metrics,
            self._task_notifier,
        )
        cloud = platform.CloudApi(
            config.platform.cloud, timing.platform_timeout_s
        )
        self._runner_monitor = runner_monitor.RunnerMonitor(
            clock, config, cloud, self._fleet_link, self._task_notifier
        )
        self._catalogue_watcher = catalogue_watcher.CatalogueWatcher(
            clock,
            self._rng,
            config,
            self._store,
            self._fleet_link,
            self._task_notifier.on_catalogue_in_force,
        )
        weights = platform.WeightStore(
            config.platform.weights, timing.platform_timeout_s
        )
        self._duty_holder = duties.DutyHolder(
            clock,
            self._rng,
            config,
            self._incarnation,
            self._store,
            weights,
        )
        self._autoscaler = autoscaler.Autoscaler(
            clock,
            self._rng,
            cloud,
            self._duty_holder.may_order,
            self._task_notifier.drain,
        )
        self._background = futures.ThreadPoolExecutor(
            BACKGROUND_THREADS, "background"
        )
        self._stream_loop = stream_loop.StreamLoop(clock)
        self._context = contexts.Context(
            config,
            clock,
            histograms.Histograms(),
            self._metrics,
            self._dispatcher,
            self._registry,
            self._ledger,
            self._fleet_link,
            self._background,
            self._stream_loop,
            self._incarnation,
        )
        self._context.status_tasks = [
            self._dispatcher,
            self._runner_monitor,
            self._catalogue_watcher,
            self._duty_holder,
            self._autoscaler,
        ]
        self._task_notifier.attach(
            task_notifier.NotifiedTasks(
                self._dispatcher,
                self._ledger,
                self._fleet_link,
                self._runner_monitor,
                self._catalogue_watcher,
                self._duty_holder,
                self._store,
                self._autoscaler,
                self._context,
            )
        )
        self._incoming_handover = incoming_handover.IncomingHandover(
            clock, self._context
        )
        self._tasks = [
            self._store,
            self._ledger,
            self._registry,
            self._dispatcher,
            self._fleet_link,
            self._runner_monitor,
            self._catalogue_watcher,
            self._incoming_handover,
            self._duty_holder,
            self._autoscaler,
        ]

    def _peer_tasks(self) -> peer_handlers.PeerServiceTasks:
        return peer_handlers.PeerServiceTasks(
            self._fleet_link,
            self._catalogue_watcher,
            self._dispatcher,
            self._incoming_handover,
        )

    def _create_server(self) -> caller_server.CallerServer:
        sizes = self._config.sizes
        return caller_server.CallerServer(
            self._config.callers.host,
            self._config.callers.port,
            gateway.Gateway(self._context, self._presence),
            self._log_server_error,
            sizes.caller_threads,
            sizes.body_bytes_max,
            sizes.header_bytes_max,
            RECEIVE_TIMEOUT_S,
        )

    def _start(self) -> None:
        self._presence.set_address(self.callers_address)
        self._peer_link.start()
        self._task_futures = [
            self._task_threads.submit(task.run) for task in self._tasks
        ]
        self._task_futures.append(self._task_threads.submit(self._server.run))
        self._task_futures.append(
            self._task_threads.submit(self._stream_loop.run)
        )
        for future in self._task_futures:
            future.add_done_callback(self._task_ended)
        self._fleet_link.ask(fleet_messages.GetView()).add_done_callback(
            self._receive_first_view
        )
        logs.event(
            "started",
            callers=self.callers_address,
            peers=self._peer_link.address,
            incarnation=self._incarnation,
        )

    def _receive_first_view(
        self, future: "futures.Future[views.FleetView]"
    ) -> None:
        if future.exception() is None:
            self._task_notifier.on_view(future.result())

    def _stop(self) -> int:
        """Shut down without cutting off an accepted request.

        First, callers are sent to other entry VMs, while those that have
        cached this VM's address are still served. Then streams, answers and
        the ledger are handed over to peers. Requests that can't be handed
        over run to their end.

        :returns: the exit code of the process.
        """
        deadline = self._deadline()
        logs.event("stopping", left_s=round(deadline - self._clock.now(), 3))
        self._presence.stop_listing()
        self._duty_holder.tell(duties.ReleaseDuties())
        self._fleet_link.tell(fleet_messages.AnnounceLeave())
        self._sleep_until(self._addresses_expire_at(deadline))
        self._presence.stop_accepting()
        handed_over = self._hand_over(deadline)
        # A caller that chose this VM before it left needs a refusal that it
        # can act on. A closed connection would not tell it whether its
        # request has run.
        self._server.stop_listening()
        handed_over_at = self._clock.now()
        self._sleep_until(min(deadline, handed_over_at + LATE_REQUEST_GRACE_S))
        ended = self._wait_for_callers(deadline)
        # A third VM that has not heard yet which VM took over the keys of
        # this one would report the outcome of a call with such a key as
        # unknown, although the answer is kept.
        self._sleep_until(min(deadline, handed_over_at + SUCCESSOR_GOSSIP_S))
        if not ended:
            logs.event("stop_cut_off")
        self._shut_down()
        logs.event("stopped", handed_over=handed_over)
        return 0 if ended else 1

    def _deadline(self) -> float:
        now = self._clock.now()
        latest = now + self._config.timing.stop_s
        if self._reclaimed_at is None:
            return latest
        return min(latest, self._reclaimed_at)

    def _addresses_expire_at(self, deadline: float) -> float:
        """The time when callers no longer have this VM's address cached.

        A short notice leaves no time to wait for that. Callers that use the
        address later find the port closed and try another entry VM.
        """
        now = self._clock.now()
        ttl_s = self._config.timing.entries_ttl_s
        return now + min(ttl_s, ADDRESS_EXPIRY_FRACTION * (deadline - now))

    def _hand_over(self, deadline: float) -> bool:
        """Hand this VM's requests and ledger over to peers.

        :param deadline: when the shutdown must end, on this VM's clock.
        :returns: whether the peers accepted everything.
        """
        now = self._clock.now()
        until = now + HANDOVER_FRACTION * (deadline - now)
        handover = outgoing_handover.OutgoingHandover(
            self._clock, self._context, self._presence, until
        )
        self._task_notifier.attach_handover(handover)
        ended = self._task_threads.submit(handover.run)
        handed_over = handover.ask(outgoing_handover.StartHandover())
        try:
            complete = handed_over.result(max(0.1, until - now + 1.0))
        except futures.TimeoutError:
            complete = False
        handover.stop()
        ended.result()
        return bool(complete)

    def _wait_for_callers(self, deadline: float) -> bool:
        """Wait until the calls in progress have ended and their data is sent.

        :param deadline: when the wait ends at the latest.
        :returns: whether no call is left in progress.
        """
        while (
            self._server.has_calls_in_progress and self._clock.now() < deadline
        ):
            threading.Event().wait(POLL_INTERVAL_S)
        # A caller that does not read its answer must not delay the shutdown.
        flush_until = min(deadline, self._clock.now() + FLUSH_TIMEOUT_S)
        while self._server.has_unsent_data and self._clock.now() < flush_until:
            threading.Event().wait(POLL_INTERVAL_S)
        return not self._server.has_calls_in_progress

    def _sleep_until(self, until: float) -> None:
        while (left_s := until - self._clock.now()) > 0:
            threading.Event().wait(min(left_s, 0.25))

    def _shut_down(self) -> None:
        announced = self._fleet_link.ask(fleet_messages.AnnounceExit())
        futures.wait([announced], self._config.timing.peer_timeout_s)
        self._server.close()
        self._stream_loop.stop()
        for task in self._tasks:
            task.stop()
        futures.wait(self._task_futures, 2.0)
        self._peer_link.stop(1.0)
        self._background.shutdown(wait=False, cancel_futures=True)
        self._task_threads.shutdown(wait=False)
        self._metrics.close()

    def _task_ended(self, ended: "futures.Future[None]") -> None:
        """Shut down after a task ended with an exception.

        All other tasks would wait for the replies of the ended one, and
        requests would time out one after the other. When the process exits,
        callers and peers notice at once.
        """
        error = ended.exception()
        if error is not None:
            logs.event("task_failed", task="ended", error=repr(error))
            self.request_stop(0.0)

    def _log_server_error(self, error: Exception) -> None:
        logs.event("task_failed", task="callers", error=repr(error))
