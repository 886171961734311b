"""One daemon: its tasks, how they hear of each other, and its end."""

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

RECEIVE_S = 10.0
BACKGROUND_THREADS = 512
TASK_THREADS = 16
#: Parts of a short notice that may pass before each step of the shutdown.
NAMED_PART = 0.25
HANDOVER_PART = 0.7
SETTLE_S = 0.05
#: How long a connection just made may take to bring its request.
LAST_CALLS_S = 0.2
#: How long the news of the heir may take to every entry VM.
HEIR_KNOWN_S = 0.8
FLUSH_S = 2.0


class Node:
    """A daemon, assembled.

    :param config: the settings.
    :param clock: drives every task.
    """

    def __init__(self, config: settings.Settings, clock: clocks.Clock) -> None:
        self._config = config
        self._clock = clock
        self._rng = random.Random(secrets.randbits(64))
        self._incarnation = int(clock.wall() * 1000)
        self._metrics = metrics.Metrics(config.statsd)
        self._presence = vm_presence.VmPresence(config, self._rng)
        self._stop_asked = threading.Event()
        self._notice_until: float | None = None
        self._switchboard = task_notifier.TaskNotifier(
            config, self._presence, self._metrics, self.ask_to_stop
        )
        self._pool = futures.ThreadPoolExecutor(TASK_THREADS, "task")
        self._running: list[futures.Future[None]] = []
        self._handlers = peer_link.Handlers()
        self._link = peer_link.PeerLink(
            config.peers.host, config.peers.port, self._handlers, clock
        )
        self._tasks: list[mailbox.Task] = []
        self._make_tasks()
        peer_handlers.register(self._handlers, self._context, self._rooms())
        self._server = self._make_server()

    @property
    def callers_address(self) -> str:
        """``host:port`` for callers."""
        return f"{self._config.callers.host}:{self._server.port}"

    def run(self) -> int:
        """Serve until asked to stop, then stop gracefully.

        :returns: the exit code of the process.
        """
        self._start()
        self._stop_asked.wait()
        return self._stop()

    def ask_to_stop(self, notice_s: float | None = None) -> None:
        """Begin a graceful shutdown; may be called from any thread.

        :param notice_s: seconds until the VM is taken, or None.
        """
        if notice_s is not None:
            until = self._clock.now() + notice_s
            known = self._notice_until
            self._notice_until = until if known is None else min(known, until)
        self._stop_asked.set()

    def _make_tasks(self) -> None:
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
        self._book = ledger_task.LedgerTask(
            clock, secret_rng, config.vm, self._incarnation, self._store
        )
        self._archive = request_registry.RequestRegistry(
            clock,
            config.sizes.keep_outcomes_s,
            config.sizes.keep_outcomes_bytes_max,
        )
        self._desk = dispatcher.Dispatcher(
            clock,
            self._rng,
            config.vm,
            config.data_centre,
            self._metrics,
            self._switchboard.announce,
        )
        me = vm_presence.own_member(
            config, str(config.callers), self._link.address, self._incarnation
        )
        self._fleet = fleet_link.FleetLink(
            clock,
            self._rng,
            config,
            self._link,
            me,
            self._metrics,
            self._switchboard,
        )
        cloud = platform.CloudApi(
            config.platform.cloud, timing.platform_timeout_s
        )
        self._keeper = runner_monitor.RunnerMonitor(
            clock, config, cloud, self._fleet, self._switchboard
        )
        self._watcher = catalogue_watcher.CatalogueWatcher(
            clock,
            self._rng,
            config,
            self._store,
            self._fleet,
            self._switchboard.in_force,
        )
        weights = platform.WeightStore(
            config.platform.weights, timing.platform_timeout_s
        )
        self._duties = duties.DutyHolder(
            clock,
            self._rng,
            config,
            self._incarnation,
            self._store,
            weights,
        )
        self._buyer = autoscaler.Autoscaler(
            clock,
            self._rng,
            cloud,
            self._duties.may_order,
            self._switchboard.drain,
        )
        self._background = futures.ThreadPoolExecutor(
            BACKGROUND_THREADS, "background"
        )
        self._streams = stream_loop.StreamLoop(clock)
        self._context = contexts.Context(
            config,
            clock,
            histograms.Histograms(),
            self._metrics,
            self._desk,
            self._archive,
            self._book,
            self._fleet,
            self._background,
            self._streams,
            self._incarnation,
        )
        self._context.reporting = [
            self._desk,
            self._keeper,
            self._watcher,
            self._duties,
            self._buyer,
        ]
        self._switchboard.attach(
            task_notifier.NotifiedTasks(
                self._desk,
                self._book,
                self._fleet,
                self._keeper,
                self._watcher,
                self._duties,
                self._store,
                self._buyer,
                self._context,
            )
        )
        self._heir = incoming_handover.IncomingHandover(clock, self._context)
        self._tasks = [
            self._store,
            self._book,
            self._archive,
            self._desk,
            self._fleet,
            self._keeper,
            self._watcher,
            self._heir,
            self._duties,
            self._buyer,
        ]

    def _rooms(self) -> peer_handlers.Rooms:
        return peer_handlers.Rooms(
            self._fleet, self._watcher, self._desk, self._heir
        )

    def _make_server(self) -> caller_server.CallerServer:
        sizes = self._config.sizes
        return caller_server.CallerServer(
            self._config.callers.host,
            self._config.callers.port,
            gateway.Gateway(self._context, self._presence),
            self._fault,
            sizes.caller_threads,
            sizes.body_bytes_max,
            sizes.header_bytes_max,
            RECEIVE_S,
        )

    def _start(self) -> None:
        self._presence.listening_at(self.callers_address)
        self._link.start()
        self._running = [self._pool.submit(task.run) for task in self._tasks]
        self._running.append(self._pool.submit(self._server.run))
        self._running.append(self._pool.submit(self._streams.run))
        for running in self._running:
            running.add_done_callback(self._task_ended)
        self._fleet.ask(fleet_messages.ViewWanted()).add_done_callback(
            self._first_view
        )
        logs.event(
            "started",
            callers=self.callers_address,
            peers=self._link.address,
            incarnation=self._incarnation,
        )

    def _first_view(self, future: "futures.Future[views.FleetView]") -> None:
        if future.exception() is None:
            self._switchboard.on_view(future.result())

    def _stop(self) -> int:
        """End without cutting off a request that was accepted.

        First callers are told to go elsewhere, while those who still know
        this address are served. Then streams, answers and the ledger go to
        peers. What can't be moved is waited for.
        """
        deadline = self._deadline()
        logs.event("stopping", left_s=round(deadline - self._clock.now(), 3))
        self._presence.leave()
        self._duties.tell(duties.Leave())
        self._fleet.tell(fleet_messages.Leave())
        self._sleep_until(self._named_until(deadline))
        self._presence.take_no_more()
        handed_over = self._hand_over(deadline)
        # A caller that picked this VM a moment ago gets a refusal that it
        # can act on, not a broken connection.
        self._server.stop_listening()
        handed_over_at = self._clock.now()
        self._sleep_until(min(deadline, handed_over_at + LAST_CALLS_S))
        ended = self._wait_for_calls(deadline)
        # A key of this VM that comes to a third one before it has heard of
        # the heir would be answered unknown, though its answer is kept.
        self._sleep_until(min(deadline, handed_over_at + HEIR_KNOWN_S))
        if not ended:
            logs.event("stop_cut_off")
        self._shut_down()
        logs.event("stopped", handed_over=handed_over)
        return 0 if ended else 1

    def _deadline(self) -> float:
        now = self._clock.now()
        longest = now + self._config.timing.stop_s
        if self._notice_until is None:
            return longest
        return min(longest, self._notice_until)

    def _named_until(self, deadline: float) -> float:
        """When the answers that named this VM have run out.

        A short notice leaves no time for that; callers that come later find
        the port closed and ask another entry VM.
        """
        now = self._clock.now()
        ttl_s = self._config.timing.entries_ttl_s
        return now + min(ttl_s, NAMED_PART * (deadline - now))

    def _hand_over(self, deadline: float) -> bool:
        now = self._clock.now()
        until = now + HANDOVER_PART * (deadline - now)
        task = outgoing_handover.OutgoingHandover(
            self._clock, self._context, self._presence, until
        )
        self._switchboard.depart(task)
        running = self._pool.submit(task.run)
        handed_over = task.ask(outgoing_handover.StartHandover())
        try:
            complete = handed_over.result(max(0.1, until - now + 1.0))
        except futures.TimeoutError:
            complete = False
        task.stop()
        running.result()
        return bool(complete)

    def _wait_for_calls(self, deadline: float) -> bool:
        """Wait until callers have their answers.

        :returns: whether all had them in time.
        """
        while (
            self._server.has_calls_in_progress and self._clock.now() < deadline
        ):
            threading.Event().wait(SETTLE_S)
        # A caller that does not read must not hold up the shutdown.
        flushed = min(deadline, self._clock.now() + FLUSH_S)
        while self._server.has_unsent_data and self._clock.now() < flushed:
            threading.Event().wait(SETTLE_S)
        return not self._server.has_calls_in_progress

    def _sleep_until(self, until: float) -> None:
        while (left_s := until - self._clock.now()) > 0:
            threading.Event().wait(min(left_s, 0.25))

    def _shut_down(self) -> None:
        departed = self._fleet.ask(fleet_messages.Depart())
        futures.wait([departed], self._config.timing.peer_timeout_s)
        self._server.close()
        self._streams.stop()
        for task in self._tasks:
            task.stop()
        futures.wait(self._running, 2.0)
        self._link.stop(1.0)
        self._background.shutdown(wait=False, cancel_futures=True)
        self._pool.shutdown(wait=False)
        self._metrics.close()

    def _task_ended(self, running: "futures.Future[None]") -> None:
        """A task whose thread died would leave all others waiting on it.

        It shows as requests that time out one after the other. Ending the
        process lets callers and peers notice at once.
        """
        error = running.exception()
        if error is not None:
            logs.event("task_failed", task="ended", error=repr(error))
            self.ask_to_stop(0.0)

    def _fault(self, error: Exception) -> None:
        logs.event("task_failed", task="callers", error=repr(error))
