"""Keeps the limits that runners name, together with the other VMs.

A runner in need names how many calls a second it takes from all VMs together.
One VM, the keeper of the runner's limit, is asked before each call to the
runner (:mod:`..runners.limit_keeper`). What a VM learns of a limit it passes
on (:mod:`.reading_exchange`), until all know it.
"""

import random
import typing

from .. import clock as clocks
from .. import statement_logs
from ..contracts import retry_after
from ..runners import limit_keeper
from ..runners import local_limits
from ..runners import stated_limits

from . import fragile_runners
from . import keeper_fleet
from . import limit_protocol
from . import reading_exchange
from . import runner_limit_protocol as protocols

#: Seconds between two messages with all readings to a few other VMs.
EXCHANGE_INTERVAL_S = 0.3
#: Seconds between two updates of the other VMs while no limit is known.
IDLE_FLEET_INTERVAL_S = 1.0
#: Time between the returns of two callers to runners without limits, in
#: seconds.
RETURN_INTERVAL_S = 0.05
#: Upper limit of ``Retry-After`` for a call that finds no room, in seconds.
MAX_RETRY_AFTER_S = 10.0


class Permit:
    """Permission to send one call to a limited runner.

    :param runner: the runner's ID.
    :param wait_s: seconds to wait before the call is sent.
    :param keeper: the VM that counts the call; "" for this VM, None if nobody
        does, as the runner has no limit.
    """

    __slots__ = ("runner", "wait_s", "keeper")

    def __init__(
        self, runner: str, wait_s: float, keeper: str | None = None
    ) -> None:
        self.runner = runner
        self.wait_s = wait_s
        self.keeper = keeper


class RunnerLimits:
    """This VM's part in the limits of all runners.

    :param clock: the source of time.
    :param rng: selects the VMs to which readings are passed on.
    :param vm: this VM's name.
    :param process: this VM's process, unique among all VMs and starts.
    :param reported: the number of calls in flight at a runner, as all VMs
        report it in their status records.
    """

    __slots__ = (
        "_exchange",
        "_clock",
        "_fleet",
        "_fleet_set_at",
        "_fragile",
        "_local",
        "_protocol",
        "_refusal_times",
        "ask_count",
        "refused_count",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        process: str = "",
        reported: typing.Callable[[str], int] = lambda runner: 0,
    ) -> None:
        self._clock = clock
        self._local = local_limits.LocalLimits(clock)
        self._fleet = keeper_fleet.KeeperFleet(clock, rng, vm)
        self._exchange = reading_exchange.ReadingExchange(
            clock, rng, self._fleet, self._local.stated
        )
        self._fragile = fragile_runners.FragileRunners(
            clock, rng, self._fleet, process or vm, reported
        )
        self._refusal_times = retry_after.RetryAfterScheduler(clock, rng)
        self._protocol: protocols.RunnerLimitProtocol | None = None
        #: When the other VMs were last set.
        self._fleet_set_at = float("-inf")
        #: How many calls were asked about, and how many of them a keeper
        #: refused.
        self.ask_count = 0
        self.refused_count = 0

    @property
    def local(self) -> local_limits.LocalLimits:
        """What this VM knows and counts itself."""
        return self._local

    @property
    def fragile(self) -> fragile_runners.FragileRunners:
        """This VM's part in keeping calls away from fragile runners."""
        return self._fragile

    @property
    def stated(self) -> stated_limits.StatedLimits:
        """The limits as this VM knows them."""
        return self._local.stated

    @property
    def full_runners(self) -> frozenset[str]:
        """Runners that had no room for a call of this VM a moment ago."""
        return self._local.full_runners

    @property
    def counters(self) -> dict[str, int]:
        """Counts of the questions to keepers, for metrics, by name."""
        return {
            **self._fragile.counters,
            "runner_limit_asks_total": self.ask_count,
            "runner_limit_refusals_total": self.refused_count,
            "runner_limit_asks_unanswered_total": (
                self._fleet.unanswered_count
            ),
        }

    def enable_protocol(self, transport: limit_protocol.LimitProtocol) -> None:
        """From now on, exchange messages with the other VMs.

        :param transport: the socket for them.
        """
        self._protocol = protocols.RunnerLimitProtocol(transport, self)
        self._exchange.enable(self._protocol)
        self._fragile.enable_protocol(transport)

    @property
    def wants_fleet(self) -> bool:
        """Whether :meth:`set_fleet` is due.

        While no limit and no fragile runner is known it is rarely, as each
        call looks at all VMs.
        """
        since_s = self._clock.now() - self._fleet_set_at
        return (
            since_s >= IDLE_FLEET_INTERVAL_S
            or self.stated.has_readings
            or self._fragile.local.stated.has_readings
        )

    def set_fleet(
        self,
        keepers: typing.Iterable[str],
        addresses: typing.Mapping[str, limit_protocol.Address],
        eligible: bool,
        heard_share: float,
        fleet_size: int,
    ) -> None:
        """Set which VMs there are; the caller does so when it is due.

        :param keepers: the other VMs that may be keepers.
        :param addresses: addresses of all other VMs that are alive, by name.
        :param eligible: whether this VM may be a keeper.
        :param heard_share: part of the fleet that this VM hears from.
        :param fleet_size: number of VMs, this one and silent ones included.
        """
        self._fleet_set_at = self._clock.now()
        self._fleet.set_addresses(addresses)
        if self._protocol is None:
            # Without messages, each VM keeps a part of its own.
            self._local.keeper.set_share(1.0 / fleet_size)
            self._fragile.local.keeper.set_share(1.0 / fleet_size)
            return
        self._fleet.set_keepers(keepers, eligible)
        self._local.keeper.set_share(heard_share)
        self._fragile.local.keeper.set_share(heard_share)

    def is_in_need(self, runner: str) -> bool:
        """Whether a runner names a limit or says that it is fragile."""
        return any(
            stated.reading(runner) is not None
            for stated in (self.stated, self._fragile.local.stated)
        )

    async def admit(
        self, runner: str, patience_s: float = 0.0
    ) -> Permit | None:
        """Ask for room for a call at a runner.

        :param runner: the runner's ID.
        :param patience_s: how long the call can wait for its turn.
        :returns: the permit; None if there is no room. A runner without a
            limit has room for every call.
        """
        reading = self.stated.reading(runner)
        if reading is None:
            return Permit(runner, 0.0)
        self.ask_count += 1
        admission, keeper = await self._ask(runner, reading, patience_s)
        if admission.admitted:
            return Permit(runner, admission.wait_s, keeper)
        self.refused_count += 1
        self._local.record_refusal(runner, admission)
        return None

    def refund(self, permit: Permit) -> None:
        """Give back a permit whose call was not sent."""
        if permit.keeper is None:
            return
        if not permit.keeper:
            self._local.keeper.refund(permit.runner)
            return
        address = self._fleet.address(permit.keeper)
        if address is not None and self._protocol is not None:
            self._protocol.send_refund(address, permit.runner)

    def room_in_s(self, runner: str) -> float:
        """Seconds until a runner may have room for a call of this VM."""
        return self._local.room_in_s(runner)

    def retry_after_s(
        self, service: str, runners: typing.Iterable[str], room_in_s: float
    ) -> float:
        """When a caller should return that found no room, in seconds.

        Callers of one service are told different times, at the pace at which
        its runners take calls, so that they don't all return at once.

        :param runners: the runners of the service that can't take the call.
        :param room_in_s: seconds until the first of them may take one.
        """
        in_force = self.stated.in_force
        limits = [in_force[r] for r in runners if r in in_force]
        interval_s = (
            1.0 / max(sum(limits), limit_keeper.MIN_LIMIT_PER_S)
            if limits
            else RETURN_INTERVAL_S
        )
        return min(
            MAX_RETRY_AFTER_S,
            self._refusal_times.schedule(service, room_in_s, interval_s),
        )

    async def exchange(self) -> None:
        """Pass on all readings to a few other VMs.

        This reaches VMs that have missed a change. The caller does so once in
        :data:`EXCHANGE_INTERVAL_S`.
        """
        self._refusal_times.tick()
        self._exchange.send_all()
        self._fragile.exchange()

    def pass_on_change(self, runner: str) -> None:
        """Pass a changed limit on to other VMs."""
        self._exchange.pass_on(runner)

    # Methods of runner_limit_protocol.Vm.

    def admit_for_peer(
        self,
        reading: protocols.ReadingRecord,
        patience_s: float,
        source: str,
    ) -> tuple[limit_keeper.Admission, protocols.ReadingRecord]:
        """Decide on another VM's call, as the keeper of a runner's limit."""
        runner, limit_per_s, _ = reading
        self.merge_readings([reading], source)
        own = self.stated.readings.get(runner)
        if own is not None:
            limit_per_s = own.limit_per_s
            reading = self._exchange.record(runner)
        if limit_per_s is None:
            return limit_keeper.Admission(True, 0.0), reading
        admission = self._local.keeper.admit(
            runner,
            limit_per_s,
            patience_s,
            is_deputy=not self._fleet.is_first(runner),
        )
        return admission, reading

    def refund_for_peer(self, runner: str) -> None:
        """Give back the room of an admitted call that was not sent."""
        self._local.keeper.refund(runner)

    def merge_readings(
        self,
        readings: typing.Iterable[protocols.ReadingRecord],
        source: str,
    ) -> None:
        """Merge another VM's readings of limits."""
        for runner, limit_per_s, age_s in readings:
            change = self._local.merge(runner, limit_per_s, age_s, source)
            if change is not None:
                statement_logs.log_limit(runner, change)
                self.pass_on_change(runner)

    async def _ask(
        self,
        runner: str,
        reading: stated_limits.Reading,
        patience_s: float,
    ) -> tuple[limit_keeper.Admission, str]:
        """Ask the keeper, or else the VM that takes its place.

        :returns: the decision, and the VM that made it; "" for this VM.
        """
        limit_per_s = reading.limit_per_s
        assert limit_per_s is not None

        def decide(is_deputy: bool) -> limit_keeper.Admission:
            return self._local.keeper.admit(
                runner, limit_per_s, patience_s, is_deputy
            )

        async def ask_peer(
            address: limit_protocol.Address,
        ) -> limit_keeper.Admission:
            assert self._protocol is not None
            return await self._protocol.ask(
                address, self._exchange.record(runner), patience_s
            )

        return await self._fleet.ask(runner, decide, ask_peer)
