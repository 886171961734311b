"""Controls the roll-outs of all services on one entry VM.

A roll-out moves a service to a new version, step by step. Each VM receives
the orders from the store or from other VMs, follows the same schedule, and
evaluates the fleet-wide counts of calls. Any VM can therefore stop traffic to
a bad version without waiting for another VM. Only the lease holder writes the
result to the store.
"""

import random
import statistics
import typing

from .. import clock as clocks
from .. import logs

from . import canary_analysis
from . import model
from . import progress
from . import samples
from . import schedule


class Runner(typing.Protocol):
    """The attributes of a runner that a roll-out uses."""

    @property
    def runner_id(self) -> str:
        """Identifier of the runner's incarnation."""

    @property
    def service(self) -> str:
        """The service to which the runner belongs."""

    @property
    def version(self) -> str:
        """The version of the runner's software."""

    @property
    def leaving(self) -> bool:
        """Whether the runner accepts no new calls."""


class Result:
    """The state to write to the store as the status of a roll-out order."""

    __slots__ = ("order", "state")

    def __init__(
        self, order: model.RollOutOrder, state: model.RollOutState
    ) -> None:
        self.order = order
        self.state = state


class RollOutController:
    """Tracks the roll-outs of all services, as one VM knows them.

    It tells which runners take calls, which calls go to a new version, and
    which results are to be written to the store.

    :param rng: decides which calls go to a new version.

    :param limits: limits on the exposure to a bad version.
    """

    __slots__ = (
        "_limits",
        "_by_service",
        "_clock",
        "_rejected_versions",
        "_rng",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        limits: model.RollOutLimits,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._limits = limits
        self._by_service: dict[str, progress.RollOut] = {}
        #: Target versions of superseded orders that were not completed, by
        #: service.
        self._rejected_versions: dict[str, set[str]] = {}

    @property
    def orders(self) -> list[model.RollOutOrder]:
        """The newest order of each service, to be sent to the other VMs."""
        return [each.order for each in self._by_service.values()]

    @property
    def own_samples(self) -> samples.Records:
        """This VM's call counts of running roll-outs, for the other VMs.

        They are serialized and keyed by the text of their sample key.
        """
        return {
            key.text: sample.to_record()
            for each in self._running()
            for key, sample in each.own_counts.items()
        }

    def order(self, service: str) -> model.RollOutOrder | None:
        """The newest roll-out order for a service; None without any."""
        roll_out = self._by_service.get(service)
        return roll_out.order if roll_out else None

    def merge_order(self, order: model.RollOutOrder) -> bool:
        """Merge a roll-out order received from the store or another VM.

        An order for another version starts a new roll-out of the service if
        it is the newer one.

        :returns: whether anything changed.
        """
        roll_out = self._by_service.get(order.service)
        if roll_out is None:
            self._start(order)
            return True
        merged = roll_out.order.merge(order)
        if merged.equals(roll_out.order):
            return False
        if merged.version != roll_out.order.version:
            self._supersede(roll_out)
            self._start(merged)
            return True
        if roll_out.order.state.is_final and not merged.state.is_final:
            self._start(merged)
            return True
        before, roll_out.order = roll_out.order, merged
        roll_out.schedule = schedule.Schedule(merged.duration_s, self._limits)
        if merged.state is not before.state:
            self._state_changed(roll_out)
        return True

    def withdraw_order(self, service: str, revision: int) -> bool:
        """Withdraw a service's order after its deletion from the store.

        An order in a final state is left as it is.

        :param revision: the revision to record for the withdrawal; ignored if
            the order's own is higher.
        :returns: whether anything changed.
        """
        roll_out = self._by_service.get(service)
        if roll_out is None or roll_out.order.state.is_final:
            return False
        order = roll_out.order.with_state(model.RollOutState.WITHDRAWN)
        order.revision = max(order.revision, revision)
        return self.merge_order(order)

    def set_runners(self, runners: typing.Iterable[Runner]) -> None:
        """Update the old and new runners of all roll-outs, and the canaries.

        :param runners: all runners known to this VM.
        """
        by_service: dict[str, list[Runner]] = {}
        for runner in runners:
            if runner.service in self._by_service and not runner.leaving:
                by_service.setdefault(runner.service, []).append(runner)
        for service, roll_out in self._by_service.items():
            if roll_out.order.state.is_final:
                continue
            new: set[str] = set()
            old: set[str] = set()
            for runner in by_service.get(service, ()):
                is_new = runner.version == roll_out.order.version
                (new if is_new else old).add(runner.runner_id)
            roll_out.old_runners = frozenset(old)
            roll_out.new_runners = frozenset(new)
            roll_out.select_canaries()

    def role(self, runner: Runner) -> model.RunnerRole:
        """The role of a runner in the roll-out of its service.

        It tells whether the runner takes calls, and of which kind. Without a
        roll-out, every runner is serving.
        """
        service = runner.service
        roll_out = self._by_service.get(service)
        if roll_out is None:
            return model.RunnerRole.SERVING
        order = roll_out.order
        if runner.version != order.version:
            excluded = (
                runner.runner_id in roll_out.stopped_runners
                or runner.version in self._rejected_versions.get(service, ())
            )
            return (
                model.RunnerRole.EXCLUDED
                if excluded
                else model.RunnerRole.SERVING
            )
        if order.state is model.RollOutState.COMPLETED:
            return model.RunnerRole.SERVING
        if order.state is not model.RollOutState.RUNNING:
            return model.RunnerRole.EXCLUDED
        if roll_out.phase is not schedule.Phase.CANARY:
            return model.RunnerRole.CANARY
        is_canary = runner.runner_id in roll_out.canaries
        return (
            model.RunnerRole.CANARY if is_canary else model.RunnerRole.STANDBY
        )

    def should_use_new_version(
        self, service: str, route: str, is_retry: bool = False
    ) -> bool:
        """Decide at random whether a call goes to the new version.

        :param service: the service that the call is for.
        :param route: route of the call.
        :param is_retry: whether the call is a retry. A retry goes to the old
            version, which is proven, until the takeover.
        """
        roll_out = self._by_service.get(service)
        if (
            roll_out is None
            or roll_out.order.state is not model.RollOutState.RUNNING
        ):
            return False
        if not roll_out.old_runners:
            # Without old runners, the alternative is to reject all calls.
            return bool(roll_out.new_runners)
        share = roll_out.schedule.share(
            self._elapsed_s(roll_out), roll_out.progress, route
        )
        if is_retry:
            return share >= 1.0
        return self._rng.random() < share

    def record_sent(self, runner: Runner, route: str) -> samples.Sample | None:
        """Count a call that this VM sends to a runner of a service.

        :param runner: the runner, of the old or the new version.
        :param route: route of the call.

        :returns: the sample in which to record the outcome; None without a
            running roll-out.
        """
        roll_out = self._by_service.get(runner.service)
        if (
            roll_out is None
            or roll_out.order.state is not model.RollOutState.RUNNING
        ):
            return None
        version = roll_out.order.version
        is_new = runner.version == version
        key = samples.SampleKey(
            runner.service,
            version,
            runner.runner_id if is_new else samples.OLD_VERSION,
            route,
        )
        sample = roll_out.own_counts.setdefault(key, samples.Sample())
        sample.calls += 1
        return sample

    @property
    def is_active(self) -> bool:
        """Whether a roll-out is running."""
        return any(self._running())

    def set_process_starts(self, starts: typing.Collection[float]) -> None:
        """Set since when the processes run whose calls are counted.

        A process that ends takes its counts with it.

        :param starts: times of day, in seconds, this VM's included.
        """
        for roll_out in self._running():
            began_at = roll_out.order.started_at
            roll_out.uncovered_s = statistics.fmean(
                max(0.0, start - began_at) for start in starts
            )

    def update_fleet_counts(
        self, records: samples.Records, includes_own: bool
    ) -> None:
        """Replace the fleet-wide counts of all running roll-outs.

        :param records: sums of the counts received from the other VMs.
        :param includes_own: whether the sums include the counts of this VM.
        """
        running = {each.order.service: each for each in self._running()}
        if not running:
            return
        totals = (
            records
            if includes_own
            else samples.sum_records([records, self.own_samples])
        )
        for each in running.values():
            each.fleet_counts = {}
        for text, record in totals.items():
            try:
                key = samples.SampleKey.from_text(text)
            except ValueError:
                # A name with a line break makes the key ambiguous.
                continue
            roll_out = running.get(key.service)
            if roll_out is not None and roll_out.order.version == key.version:
                roll_out.fleet_counts[key] = samples.Sample.from_record(record)

    def tick(self) -> bool:
        """Advance all running roll-outs and compare their versions.

        A roll-out whose new version is found to be worse fails.

        :returns: whether the role of any runner changed.
        """
        changed = False
        for roll_out in self._running():
            roll_out.update_drain_time()
            changed = self._advance(roll_out) or changed
            if roll_out.order.state is not model.RollOutState.RUNNING:
                continue
            finding = roll_out.evaluate(self._clock.now())
            if finding is not None:
                changed = True
                self._fail(roll_out, finding)
        return changed

    def _advance(self, roll_out: progress.RollOut) -> bool:
        """Move a roll-out to the slot and phase that its schedule gives now.

        Before the takeover, the new version is evaluated a last time.

        :returns: whether the role of any runner changed.
        """
        elapsed_s = self._elapsed_s(roll_out)
        phase = roll_out.schedule.phase(elapsed_s)
        slot, roll_out.slot = roll_out.slot, roll_out.schedule.slot(elapsed_s)
        if phase is roll_out.phase:
            before = roll_out.canaries
            if slot != roll_out.slot:
                roll_out.select_canaries()
            return roll_out.canaries != before
        if roll_out.phase is schedule.Phase.CANARY:
            finding = roll_out.evaluate_final()
            if finding is not None:
                self._fail(roll_out, finding)
                return True
        roll_out.phase = phase
        self._log_phase(roll_out)
        return True

    def due_results(
        self, in_flight: typing.Callable[[frozenset[str]], int]
    ) -> list[Result]:
        """The states of roll-outs that the lease holder has to write.

        :param in_flight: returns the number of calls of all VMs that are in
            flight at the given runners. A takeover is completed early when
            the old runners have none left.
        """
        results = []
        for roll_out in self._by_service.values():
            state = self._due_state(roll_out, in_flight)
            if state is not None:
                results.append(Result(roll_out.order, state))
        return results

    def _due_state(
        self,
        roll_out: progress.RollOut,
        in_flight: typing.Callable[[frozenset[str]], int],
    ) -> model.RollOutState | None:
        order = roll_out.order
        if order.state.is_final:
            return None
        if order.state is model.RollOutState.FAILED:
            return model.RollOutState.ROLLED_BACK
        # The phase of the last evaluation is used, because the clock may have
        # reached a later phase that has not been evaluated yet.
        phase = roll_out.phase
        if phase is schedule.Phase.CANARY:
            return model.RollOutState.RUNNING
        if not roll_out.progress.may_take_over(self._elapsed_s(roll_out)):
            is_due = phase is schedule.Phase.DUE
            return (
                model.RollOutState.ROLLED_BACK
                if is_due
                else model.RollOutState.RUNNING
            )
        is_quiet = not in_flight(roll_out.old_runners)
        if phase is schedule.Phase.DUE or is_quiet:
            return model.RollOutState.COMPLETED
        return model.RollOutState.RUNNING

    def _running(self) -> list[progress.RollOut]:
        return [
            each
            for each in self._by_service.values()
            if each.order.state is model.RollOutState.RUNNING
        ]

    def _elapsed_s(self, roll_out: progress.RollOut) -> float:
        return max(0.0, self._clock.wall() - roll_out.order.started_at)

    def _start(self, order: model.RollOutOrder) -> None:
        roll_out = progress.RollOut(order, self._limits)
        self._rejected_versions.get(order.service, set()).discard(
            order.version
        )
        self._by_service[order.service] = roll_out
        logs.event(
            "roll_out_ordered",
            service=order.service,
            version=order.version,
            duration_s=order.duration_s,
            state=order.state.name.lower(),
        )

    def _supersede(self, roll_out: progress.RollOut) -> None:
        """Handle the replacement of an order by one for another version.

        Runners of the old order's version are excluded from calls, unless
        its roll-out was completed.
        """
        order = roll_out.order
        if order.state is not model.RollOutState.COMPLETED:
            rejected = self._rejected_versions.setdefault(order.service, set())
            rejected.add(order.version)

    def _state_changed(self, roll_out: progress.RollOut) -> None:
        order = roll_out.order
        if order.state is model.RollOutState.COMPLETED:
            roll_out.stopped_runners = roll_out.old_runners
        logs.event(
            "roll_out_turned",
            service=order.service,
            version=order.version,
            state=order.state.name.lower(),
        )

    def _fail(
        self, roll_out: progress.RollOut, finding: canary_analysis.Finding
    ) -> None:
        order = roll_out.order
        roll_out.order = order.with_state(model.RollOutState.FAILED)
        numbers = roll_out.progress
        logs.event(
            "roll_out_failed",
            service=order.service,
            version=order.version,
            reason=finding.reason,
            route=finding.route or None,
            new=finding.new,
            old=finding.old,
            judged=finding.calls,
            tried=numbers.new_calls,
            calls=numbers.calls,
            elapsed_s=self._elapsed_s(roll_out),
        )

    def _log_phase(self, roll_out: progress.RollOut) -> None:
        numbers = roll_out.progress
        logs.event(
            "roll_out_phase",
            service=roll_out.order.service,
            version=roll_out.order.version,
            phase=roll_out.phase.value,
            old_runners=numbers.old_runners,
            new_runners=numbers.new_runners,
            tried=numbers.new_calls,
            calls=numbers.calls,
        )
