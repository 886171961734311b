"""Connects all components of one entry VM on one event loop.

The terms are explained where their components are: status records and
aggregators in :mod:`.fleet_link`, followers in :mod:`.store_watch`, limits and
their keepers in :mod:`.customer_limits`, duties and their lease in
:mod:`.duty_lease`, the checkpoint in :mod:`.checkpoint`.
"""

import asyncio
import random
import signal
import time
import typing

from .. import clock as clocks
from .. import log_rate_limiter
from .. import logs
from ..contracts import retry_allowance
from ..contracts import usage_windows
from ..roll_outs import controller as roll_outs_controller
from ..roll_outs import model as roll_outs_model
from ..vms import caller_addresses
from ..vms import peer_loads
from ..vms import shared_samples
from ..vms import vm_records

from . import call_relay
from . import checkpoint
from . import configuration_model
from . import crash_evidence_record
from . import customer_limits
from . import dialects
from . import drain
from . import duty_lease
from . import duty_roster
from . import fleet_link
from . import fleet_size_record
from . import fleet_workload
from . import forwarded_calls
from . import forwarding_protocol
from . import helpers
from . import limit_protocol
from . import listening_sockets
from . import metrics
from . import peer_http
from . import reach_probes
from . import response_room
from . import roll_out_orders
from . import runner_directory as directories
from . import runner_limits
from . import runner_sizing
from . import runners
from . import sample_exchange
from . import servers
from . import settings
from . import settings_reloader
from . import status_handlers
from . import store
from . import store_listeners
from . import store_watch
from . import task_supervisor
from . import upstreams

#: Time between two calls of :meth:`Node._tick`, in seconds.
TICK_S = 0.1
#: How long a process must have run before it contends for the lease on the
#: fleet's duties, in seconds. A new process knows few other VMs: when a whole
#: fleet starts at once, each VM would contend for the lease.
MIN_UPTIME_FOR_DUTIES_S = 1.0
#: Time between two tries to pass a configuration on to all components, in
#: seconds.
CONFIGURE_RETRY_S = 0.5
#: Time between two calls of :meth:`Node._tick`, in seconds, above which the
#: process is taken to have been suspended.
STALL_THRESHOLD_S = 1.0


class Node:
    """One entry VM: owns its components and passes events between them.

    :param read_settings: reads the settings file, at the start and at each
        reload.
    :param dialect: the protocols of callers, runners and platform.
    :param rng: the source of randomness of all components.
    :param listening: listening sockets that are already open, for
        :meth:`run`.
    """

    def __init__(
        self,
        read_settings: settings.SettingsReader,
        dialect: dialects.Dialect,
        clock: clocks.Clock,
        rng: random.Random,
        listening: listening_sockets.ListeningSockets,
    ) -> None:
        self._dialect = dialect
        self._clock = clock
        self._rng = rng
        self._reloader = settings_reloader.SettingsReloader(
            read_settings, lambda seeds: self._fleet.set_seeds(seeds)
        )
        self._settings = config = self._reloader.settings
        self._incarnation = time.time_ns() // 1_000_000
        self._process = f"{config.vm}#{self._incarnation}"
        self._configuration: configuration_model.Configuration | None = None
        self._configuration_spec: store.Json = None
        #: Whether all components have the active configuration, and when it
        #: was passed on to them.
        self._is_configured = True
        self._configured_at = float("-inf")
        self._directory = directories.RunnerDirectory(
            clock, config.bounds.drain_s
        )
        self._roll_outs = roll_outs_controller.RollOutController(
            clock,
            rng,
            config.bounds.roll_outs or roll_outs_model.RollOutLimits(),
        )
        self._orders = roll_out_orders.RollOutOrders(
            clock, self._roll_outs, dialect.platform, self._roll_outs_changed
        )
        self._upstreams = upstreams.Upstreams(
            clock,
            rng,
            config.vm,
            config.data_centre,
            self._directory,
            self._process,
            lambda: self._fleet.publish_soon(),
            self._roll_outs,
            config.modes,
            lambda: self._fleet.publish_now(),
        )
        self._limits = customer_limits.CustomerLimits(
            clock,
            config.bounds.limit_slack,
            config.bounds.limit_overshoot,
            self._process,
            config.vm,
            config.modes.returns,
        )
        self._limit_calls = limit_protocol.LimitProtocol(
            self._limits, self.is_peer, log_rate_limiter.LogRateLimiter(clock)
        )
        self._retry_allowance = retry_allowance.RetryAllowance(
            clock,
            config.bounds.retry_ratio,
            config.bounds.retry_min,
            config.bounds.retry_window_s,
        )
        self._usage = usage_windows.UsageWindows(
            clock, self._process, config.bounds.usage_window_s
        )
        self._helpers = helpers.Helpers(
            clock,
            rng,
            config.vm,
            config.data_centre,
            self._upstreams.reach,
            config.peers.host,
        )
        self._servers = servers.Servers(listening, config.machine)
        self._relay = call_relay.CallRelay(
            dialect,
            self._upstreams,
            self._limits,
            self._retry_allowance,
            self._usage,
            rng,
            self._helpers,
            response_room.ResponseRoom(self._servers.memory),
        )
        self._forwarded = forwarded_calls.ForwardedCalls(
            self._relay,
            self._upstreams.reach,
            lambda: self._leaving_since is not None,
        )
        self._tasks = task_supervisor.TaskSupervisor()
        self._reach_probes = reach_probes.ReachProbes(
            clock, self._upstreams, self._tasks
        )
        self._fleet = fleet_link.FleetLink(
            clock, rng, config, self, self._directory, self._tasks
        )
        self._store = store.Store(
            dialect.platform.store_codec(),
            config.store.host,
            config.store.port,
        )
        self._fleet_size_record = fleet_size_record.FleetSizeRecord(
            rng,
            self._fleet.size,
            self._store,
            lambda: self._fleet.must_follow_store,
        )
        self._crash_evidence = crash_evidence_record.CrashEvidenceRecord(
            clock,
            rng,
            config.vm,
            self._upstreams.crashes.blocklist,
            self._store,
        )
        self._duties = duty_roster.DutyRoster(
            clock,
            rng,
            config,
            self._incarnation,
            self._store,
            dialect.platform,
        )
        sizing = runner_sizing.RunnerSizing(
            config.modes.sizing,
            self._upstreams.prompt_sizes,
            self._upstreams.performance.learned,
        )
        self._samples = sample_exchange.SampleExchange(
            self._fleet.samples, self._upstreams, sizing
        )
        self._work = fleet_workload.FleetWorkload(clock, sizing)
        self._watchers: list[store_watch.Watcher] = []
        self._leaving_since: float | None = None
        self._started_at = clock.now()
        self._ticked_at: float | None = None
        self._stopped = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether callers should be sent to this VM.

        It must have a configuration, and must not be stopping.
        """
        return self._configuration is not None and self._leaving_since is None

    @property
    def _is_following_store(self) -> bool:
        """Whether this VM is a follower whose calls to the store succeed.

        Its watchers of the configuration and of runner entries must be
        connected; the watcher of roll-out orders is ignored.
        """
        orders = self._dialect.platform.roll_outs_kind
        return all(
            watcher.is_connected
            for watcher in self._watchers
            if watcher.kind != orders
        )

    @property
    def version(self) -> int:
        """Version of this VM's active configuration, 0 without one."""
        return self._configuration.version if self._configuration else 0

    async def run(self) -> None:
        """Serve calls until a graceful shutdown has ended."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.begin_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self._reloader.reload)
        await self._listen()
        self._start_duties()
        self._upstreams.origins.enable_records(
            self._rng,
            self._store,
            self._tasks,
            self._versions_changed,
            lambda: self._fleet.must_follow_store,
        )
        self._start_watchers()
        self._tasks.supervise("fleet_size", self._fleet_size_record.run)
        spawn = self._tasks.spawn
        spawn(self._restore_limit_levels())
        spawn(self._crash_evidence.read())
        self._tasks.repeat(
            "settings",
            settings_reloader.RELOAD_INTERVAL_S,
            self._reloader.poll,
        )
        self._tasks.repeat("tick", TICK_S, self._tick)
        self._servers.start_idle_sweeps(self._tasks)
        informed = await self._servers.serve_callers()
        logs.event(
            "started",
            incarnation=self._incarnation,
            callers=str(self._settings.callers),
            informed=informed,
        )
        await self._stopped.wait()
        self._tasks.run_steps(
            "stop",
            (
                self._fleet.close,
                self._limit_calls.close,
                self._servers.close,
            ),
        )
        logs.event("stopped")

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown; later calls do nothing.

        The other VMs are told, so that callers are sent to them and one of
        them takes over the lease on the duties.
        """
        if self._leaving_since is not None:
            return
        self._leaving_since = self._clock.now()
        # First, as the process must end whatever fails on the way.
        self._tasks.spawn(self._stop_when_idle())
        logs.event("stopping", busy=self._servers.busy)
        self._tasks.run_steps(
            "shutdown",
            (
                self._servers.drain,
                self._duties.release_lease,
                self._fleet.publish_now,
                self._hand_over_streams,
            ),
        )

    def _hand_over_streams(self) -> None:
        """Have other VMs know where the streams began that this one knows."""
        origins = self._upstreams.origins
        origins.set_fleet(self._fleet.record_keepers, False)
        origins.hand_over()

    def configure(self, spec: store.Json) -> bool:
        """Activate a configuration if it is newer than the active one.

        :param spec: the configuration document.
        :returns: whether the configuration was activated. An invalid one is
            logged and ignored.
        """
        try:
            configuration = self._dialect.platform.parse_configuration(spec)
        except ValueError as error:
            logs.event("configuration_refused", error=str(error))
            return False
        old = self._configuration
        if old is not None and configuration.version <= old.version:
            return False
        self._configuration = configuration
        self._configuration_spec = spec
        self._apply_configuration()
        logs.event("configuration_in_force", version=self.version)
        self._fleet.publish_soon()
        self._check_informed()
        return True

    def _apply_configuration(self) -> None:
        """Pass the active configuration on to all components.

        One that fails is tried again, and keeps none of the others from it:
        a VM must not go by two versions.
        """
        configuration = self._configuration
        if configuration is None:
            return
        self._configured_at = self._clock.now()
        self._is_configured = self._tasks.run_steps(
            "configure",
            (
                lambda: self._limits.configure(configuration),
                lambda: self._upstreams.configure(configuration),
                lambda: self._relay.configure(configuration),
                lambda: self._duties.configure(configuration),
                lambda: self._servers.set_limits(configuration.limits),
            ),
        )

    def runners_changed(self, ended: list[str]) -> None:
        """Apply changes of the runner directory to the other components.

        :param ended: IDs of runners that are leaving or were removed.
        """
        self._upstreams.refresh()
        self._check_informed()
        if ended:
            self._fleet.publish_soon()
        for runner_id in ended:
            runner = self._directory.get(runner_id)
            logs.event(
                "runner_leaving" if runner else "runner_gone",
                runner=runner_id,
            )

    def _versions_changed(self) -> None:
        """Let streams begin at versions that are now recorded."""
        self._upstreams.refresh()
        self._check_informed()

    def _roll_outs_changed(self) -> None:
        """Apply changed roll-outs to the routing of calls, and tell the fleet.

        A roll-out moves a service to another version of its runners.
        """
        self._upstreams.refresh()
        self._fleet.publish_now()

    async def _restore_limit_levels(self) -> None:
        """Restore the levels of customers' limits from the checkpoint.

        A level is the units left of a limit. If all processes were killed at
        once, no running VM knows the levels, but the store has the checkpoint.
        """
        try:
            levels = await checkpoint.read_levels(self._store, self._clock)
        except (store.StoreError, ValueError) as error:
            logs.event("notes_unread", error=type(error).__name__)
        else:
            self._limits.initialize_levels(levels)

    def record(
        self, number: int, known: list[str], whole: bool, aggregator: str
    ) -> vm_records.VmRecord:
        """Create this VM's next status record for the other VMs.

        :param number: the record's sequence number.
        :param known: peer addresses that this VM knows.
        :param whole: whether to include the fields that may be a second old.
        :param aggregator: name of the VM that is to relay the record; "" when
            it is sent to all peers.
        """
        config, calls = self._settings, self._upstreams
        # An aggregator relays usage and work counts less often than records
        # are sent to it, so only whole records to it contain them.
        counts = whole or not aggregator
        return vm_records.VmRecord(
            config.vm,
            self._incarnation,
            number,
            str(config.peers),
            str(config.callers),
            config.data_centre,
            ready=self.ready,
            leaving=self._leaving_since is not None,
            follows=self._is_following_store,
            configuration=self.version,
            directory=self._directory.revision,
            runners=self._directory.checksum,
            in_flight=calls.in_flight,
            pending=calls.pending_tokens,
            used=self._limits.admitted_units,
            # Levels may be a second old. In each record, they would make it
            # half as long again.
            levels=self._limits.levels if whole else None,
            usage=(
                self._usage.own_counts(self._duties.last_reported_window)
                if counts
                else None
            ),
            work=calls.prefill_meters if counts else None,
            silent=calls.reports.silent,
            failures=calls.reports.failures if whole else None,
            reported=self._duties.last_reported_window,
            known=known if whole else None,
            crashes=calls.reports.crashes(whole),
            gave_up=self._duties.surrendered_fencing,
            lease=self._duties.last_renewal,
            limits_port=self._limit_calls.port,
            aggregator=aggregator,
            roll_outs=[order.to_record() for order in self._roll_outs.orders],
            trials=self._roll_outs.own_samples,
            refused=calls.reports.refused,
            isolated=calls.reach.lacks_paths,
        )

    def receive_record(self, record: vm_records.VmRecord) -> None:
        """Apply a status record of another VM to the components."""
        if record.runners == self._directory.checksum:
            self._directory.confirm()
        self._limits.initialize_levels(record.levels)
        self._limits.receive_totals(record.process, record.used)
        self._usage.merge_counts(record.process, record.usage)
        self._work.merge_counters(record.process, record.work)
        self._duties.observe_reported_window(record.reported)
        self._upstreams.crashes.merge_record(record.vm, record.crashes)
        if record.roll_outs:
            self._orders.merge_records(record.roll_outs)

    def receive_relayed_totals(
        self, process: str, used: dict[str, float]
    ) -> None:
        """Apply the units admitted by a process, as an aggregator relays them.

        :param process: the process of another VM, which admits calls against
            customers' limits.
        :param used: total units by customer since the process started.
        """
        self._limits.receive_relayed_totals(process, used)

    def merge_counts(
        self, counts: dict[str, tuple[typing.Any, typing.Any]]
    ) -> None:
        """Merge usage and work counts of other VMs' processes, from a tally.

        :param counts: usage and work by process; see
            :class:`vm_records.VmRecord`.
        """
        for process, (usage, work) in counts.items():
            self._usage.merge_counts(process, usage)
            self._work.merge_counters(process, work)

    def record_contact(self, processes: typing.Iterable[str]) -> None:
        """Record that an aggregator has heard from processes of other VMs.

        Otherwise they would count as silent, and shares of the customers'
        limits would be reserved for them.

        :param processes: the names of the processes.
        """
        self._limits.record_contact(processes)

    def duty_candidates(self) -> list[str]:
        """Names of the other VMs that hold duties or may take them over."""
        return duty_lease.possible_holders(
            duty_roster.LEASE_NAME, self._fleet.alive
        )

    def observe_loads(self, loads: peer_loads.PeerLoads) -> None:
        """Apply what the other VMs report of the runners.

        :param loads: their calls in flight and waiting prompt tokens, and the
            faults and roll-out counts that they observed.
        """
        self._upstreams.update_peer_loads(loads)
        self._roll_outs.update_fleet_counts(loads.trials, loads.from_aggregate)

    def merge_samples(self, samples: shared_samples.Samples) -> None:
        """Add the counts that other VMs have observed to this VM's sums."""
        self._samples.merge(samples, self._configuration)

    def configuration_after(self, version: int) -> store.Json | None:
        """The active configuration's document, if it is newer than a version.

        :returns: None if it is not newer, or there is none.
        """
        return self._configuration_spec if self.version > version else None

    def runners_after(
        self, revision: int
    ) -> tuple[list[runners.Runner], dict[str, int]]:
        """Changes of this VM's runner directory since a store revision.

        :returns: entries, and the revisions of removals by runner name.
        """
        return self._directory.changes_after(revision)

    def is_peer(self, host: str) -> bool:
        """Whether an IP address may belong to a VM of the fleet."""
        return self._fleet.is_peer(host)

    def caller_addresses(self) -> list[str]:
        """Addresses at which callers may call, this VM's own first.

        See :func:`..vms.caller_addresses.listed`.
        """
        return caller_addresses.listed(
            str(self._settings.callers),
            self.ready,
            self._upstreams.reach.lacks_paths,
            self._fleet.alive,
        )

    def metrics(self) -> str:
        """All metrics of this VM, in the text format of Prometheus."""
        gauges = {
            "store_calls_total": self._store.calls,
            "members": len(self._fleet.alive) + 1,
            "configuration_version": self.version,
            "callers_busy": self._servers.busy,
            **self._servers.metrics,
            "cloud_calls_total": self._duties.cloud_calls,
            "limit_asks_total": self._limit_calls.request_count,
            "limit_asks_unanswered_total": self._limit_calls.timeout_count,
            **self._limits.return_metrics,
            **self._upstreams.counters,
            **self._helpers.counters,
            **self._forwarded.counters,
            **self._upstreams.reach_monitor.metrics,
        }
        return metrics.format_metrics(
            self._relay,
            self._limits,
            self._configuration,
            gauges,
            self._tasks,
            self._forwarded.results,
        )

    async def _listen(self) -> None:
        config = self._settings
        checks = status_handlers.StatusHandlers(self, self._dialect.callers)
        peer_server = peer_http.PeerServer(
            self,
            {forwarding_protocol.FORWARD_PATH: self._forwarded.answer},
        )
        for name, address, handler in (
            ("callers", config.callers, self._relay.answer),
            ("checks", config.checks, checks.ready),
            ("lookups", config.lookups, checks.lookup),
            ("peers", config.peers, peer_server.answer),
            ("metrics", config.metrics, checks.metrics),
        ):
            await self._servers.listen(name, address, handler)
        self._fleet.listen(config.peers)
        if config.limits is not None:
            await self._limit_calls.listen(
                config.limits.host, config.limits.port
            )
            self._limits.enable_keepers(self._limit_calls)
            limits = self._upstreams.runner_limits
            limits.enable_protocol(self._limit_calls)
            self._upstreams.slots.enable_protocol(self._limit_calls)
            self._upstreams.origins.enable_protocol(self._limit_calls)
            self._tasks.repeat(
                "runner_limits",
                runner_limits.EXCHANGE_INTERVAL_S,
                limits.exchange,
            )

    def _check_informed(self) -> None:
        if self._upstreams.origins.held:
            return
        if self._configuration is not None and self._directory.runners:
            self._servers.set_ready()

    def _start_watchers(self) -> None:
        """Start the watchers of the store, one for each kind of object.

        A VM that is no follower reads the configuration and the runner entries
        once, but does not watch them.
        """
        self._watchers = store_listeners.create_watchers(
            self._store,
            self._dialect.platform,
            store_listeners.ConfigurationListener(
                self._dialect.platform.configuration_name, self.configure
            ),
            store_listeners.RunnerEntryListener(
                self._directory, self._dialect.platform, self.runners_changed
            ),
            self._orders if self._settings.bounds.roll_outs else None,
            self._rng,
            lambda: self._fleet.must_follow_store,
            lambda: self._fleet.is_stable_follower,
        )
        for watcher in self._watchers:
            self._tasks.supervise(f"watch_{watcher.kind}", watcher.run)

    def _start_duties(self) -> None:
        config = self._settings
        platform = self._dialect.platform
        if config.orders_runners:
            self._duties.add_runner_duty(
                self._work, self._directory, self._upstreams, platform
            )
        if config.reports_usage:
            self._duties.add_usage_duty(
                self._usage, self._limits, self._store, platform
            )
        if config.bounds.roll_outs is not None:
            self._duties.add_roll_out_duty(
                self._roll_outs,
                self._store,
                self._upstreams,
                platform,
                self._roll_outs_changed,
            )
        self._duties.start(self._tasks)

    async def _tick(self) -> None:
        now, last = self._clock.now(), self._ticked_at
        self._ticked_at = now
        if last is None:
            return
        self._forwarded.record_loop_delay(now - last - TICK_S)
        if now - last > STALL_THRESHOLD_S:
            self._handle_stall(now - last)
        self._update()

    def _handle_stall(self, for_s: float) -> None:
        """Discard what a suspension of the process has made stale.

        :param for_s: how long the process was suspended, in seconds.
        """
        logs.event("paused", for_s=for_s)
        self._fleet.handle_stall()
        self._directory.suspect()
        for watcher in self._watchers:
            watcher.invalidate()

    def _update(self) -> None:
        since_s = self._clock.now() - self._configured_at
        if not self._is_configured and since_s >= CONFIGURE_RETRY_S:
            self._apply_configuration()
        ended = self._directory.tick()
        if ended:
            self.runners_changed(ended)
        alive = self._fleet.alive
        members = self._fleet.members
        self._fleet.update_members()
        self._probe_runners(alive)
        processes = frozenset(m.process for m in members)
        self._limits.set_members(
            processes, self._fleet.mean_message_interval_s
        )
        self._update_keepers(processes, len(members) + 1)
        self._work.merge_counters(
            self._process, self._upstreams.prefill_meters
        )
        self._work.retain_processes(processes | {self._process})
        self._samples.send(self._configuration)
        self._retry_allowance.set_fleet_size(self._fleet.size.size)
        self._upstreams.set_fleet_size(len(members) + 1)
        self._upstreams.crashes.set_vms(
            (member.vm for member in members), self._fleet.size.size
        )
        self._crash_evidence.set_fleet_size(len(members) + 1)
        if self._crash_evidence.is_due:
            self._tasks.spawn(self._crash_evidence.write())
        if not self._fleet.aggregator:
            self.observe_loads(self._fleet.loads)
        if self._roll_outs.is_active:
            starts_ms = [peer.incarnation for peer in alive]
            self._roll_outs.set_process_starts(
                [ms / 1000.0 for ms in (*starts_ms, self._incarnation)]
            )
        if self._roll_outs.tick():
            self._roll_outs_changed()
        self._upstreams.origins.tick()
        now = asyncio.get_running_loop().time()
        self._upstreams.sweep(now)
        self._helpers.set_records(alive)
        self._helpers.sweep(now)
        settled = (
            self._clock.now() - self._started_at >= MIN_UPTIME_FOR_DUTIES_S
        )
        if settled and self._leaving_since is None:
            self._duties.update_view(alive, len(members) + 1)

    def _probe_runners(
        self, alive: typing.Sequence[vm_records.VmRecord]
    ) -> None:
        """Find out whether this VM is isolated."""
        isolated = sum(peer.isolated for peer in alive)
        reach = self._upstreams.reach
        reach.set_peers(
            len(alive) - isolated,
            isolated,
            self._fleet.mean_message_interval_s,
        )
        self._reach_probes.tick()

    def _update_keepers(
        self, processes: frozenset[str], fleet_size: int
    ) -> None:
        """Tell all that has keepers among the VMs which VMs there are.

        :param processes: processes of all other VMs, silent ones included.
        :param fleet_size: number of VMs, this one and silent ones included.
        """
        keepers = self._fleet.limit_keepers
        self._limits.set_keepers(keepers)
        if self._upstreams.runner_limits.wants_fleet:
            self._upstreams.runner_limits.set_fleet(
                keepers,
                self._fleet.limit_addresses,
                self.ready,
                self._limits.heard_share,
                fleet_size,
            )
        origins = self._upstreams.origins
        if origins.wants_fleet:
            origins.set_fleet(
                self._fleet.record_keepers,
                self.ready,
            )
        if self._upstreams.slots.wants_fleet:
            self._upstreams.slots.set_fleet(
                keepers,
                self._fleet.limit_addresses,
                processes,
                self.ready,
                fleet_size,
            )

    async def _stop_when_idle(self) -> None:
        shutdown_s = self._settings.bounds.shutdown_s
        try:
            await drain.wait_until_idle(
                self._clock,
                lambda: self._servers.busy + self._forwarded.in_progress,
                shutdown_s,
                self._relay.refuse_new_calls,
            )
        finally:
            self._stopped.set()
