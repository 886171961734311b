"""Keeps calls away from fragile runners, together with the other VMs.

A fragile runner says how many rejections in a second it bears from all VMs
together, and falls over beyond. One VM, its keeper, is asked before each call
to it (:mod:`..runners.fragile_keeper`) and told of each call's end. What a VM
learns of fragility it passes on like limits (:mod:`.reading_exchange`).
"""

import asyncio
import itertools
import random
import typing

from .. import clock as clocks
from .. import statement_logs
from ..runners import fragile_keeper
from ..runners import limit_keeper
from ..runners import local_fragility

from . import fragile_runner_protocol as protocols
from . import keeper_fleet
from . import limit_protocol
from . import reading_exchange

#: Seconds after which a keeper is told of a rejection again, as the first
#: message may be lost.
REPEAT_AFTER_S = 0.02
#: Seconds for which a keeper remembers the calls that have ended. Messages
#: about them may be repeated, or overtake each other.
ENDED_KEPT_S = 2.0
#: Seconds for which a call counts as running if its end is never told, if
#: its deadline is unknown.
DEFAULT_LEASE_S = 60.0
#: First number of the calls that are counted by the VM that sends them. Those
#: that other VMs count are numbered by the questions about them.
FIRST_OWN_NUMBER = 1 << 48


class FragilePermit:
    """Permission to send one call to a runner, as far as it is fragile.

    :param runner: the runner's ID.
    :param keeper: the VM that counts the call; "" for this VM, None if nobody
        does, as the runner was not known to be fragile.
    :param number: the call's number there.
    """

    __slots__ = ("runner", "keeper", "number", "has_ended")

    def __init__(
        self, runner: str, keeper: str | None = None, number: int = 0
    ) -> None:
        self.runner = runner
        self.keeper = keeper
        self.number = number
        #: Whether the end of the call has been told.
        self.has_ended = False


class FragileRunners:
    """This VM's part in keeping calls away from fragile runners.

    :param clock: the source of time.
    :param rng: selects the VMs to which readings are passed on.
    :param fleet: finds and asks the keepers.
    :param process: this VM's process, unique among all VMs and starts.
    :param reported: the number of calls in flight at a runner, as all VMs
        report it in their status records.
    """

    __slots__ = (
        "_clock",
        "_ended",
        "_exchange",
        "_fleet",
        "_heard",
        "_local",
        "_numbers",
        "_process",
        "_protocol",
        "ask_count",
        "refused_count",
        "rejected_count",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        fleet: keeper_fleet.KeeperFleet,
        process: str,
        reported: typing.Callable[[str], int] = lambda runner: 0,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._process = process
        self._local = local_fragility.LocalFragility(clock, reported)
        self._exchange = reading_exchange.ReadingExchange(
            clock, rng, fleet, self._local.stated
        )
        self._protocol: protocols.FragileRunnerProtocol | None = None
        self._numbers = itertools.count(FIRST_OWN_NUMBER)
        #: The calls that have ended lately, as this VM knows as a keeper, and
        #: when.
        self._ended: dict[fragile_keeper.CallKey, float] = {}
        #: The rejections of each fragile runner that this VM has heard of.
        self._heard: dict[str, int] = {}
        #: How many calls were asked about, how many of them a keeper refused,
        #: and how many calls of this VM a fragile runner rejected.
        self.ask_count = 0
        self.refused_count = 0
        self.rejected_count = 0

    @property
    def local(self) -> local_fragility.LocalFragility:
        """What this VM knows and counts itself."""
        return self._local

    @property
    def heard_rejections(self) -> dict[str, int]:
        """The rejections that this VM has heard of, by fragile runner.

        Those of a runner's keeper are nearly all since it is fragile.
        """
        return self._heard

    @property
    def counters(self) -> dict[str, int]:
        """Counts for metrics, by name."""
        return {
            "fragile_runner_asks_total": self.ask_count,
            "fragile_runner_refusals_total": self.refused_count,
            "fragile_runner_rejections_total": self.rejected_count,
        }

    def enable_protocol(self, transport: limit_protocol.LimitProtocol) -> None:
        """From now on, exchange messages with the other VMs."""
        self._protocol = protocols.FragileRunnerProtocol(
            transport, self, self._process
        )
        self._exchange.enable(self._protocol)

    async def admit(
        self, runner: str, lease_s: float = DEFAULT_LEASE_S
    ) -> FragilePermit | None:
        """Ask for permission to send a call to a runner.

        :param runner: the runner's ID.
        :param lease_s: seconds until the call ends at the latest.
        :returns: the permit; None if the call may not be sent. A sound runner
            takes every call.
        """
        reading = self._local.stated.reading(runner)
        if reading is None or reading.limit_per_s is None:
            return FragilePermit(runner)
        rejections_per_s = reading.limit_per_s
        number = next(self._numbers)
        self.ask_count += 1

        def decide(is_deputy: bool) -> limit_keeper.Admission:
            return self._local.admit(
                runner,
                (self._process, number),
                rejections_per_s,
                lease_s,
                is_deputy,
            )

        async def ask_peer(
            address: limit_protocol.Address,
        ) -> limit_keeper.Admission:
            nonlocal number
            assert self._protocol is not None
            number, admission = await self._protocol.ask(
                address, self._exchange.record(runner), lease_s
            )
            return admission

        admission, keeper = await self._fleet.ask(
            runner, decide, ask_peer, has_one_deputy=True
        )
        if admission.admitted:
            return FragilePermit(runner, keeper, number)
        self.refused_count += 1
        self._local.record_refusal(runner, admission)
        return None

    def end(self, permit: FragilePermit, rejected: bool = False) -> None:
        """Tell the keeper that a call has ended, or was not sent.

        Only the first of several ends of a permit counts.

        :param rejected: whether the runner had no room for the call. That is
            told of a call as well that nobody was asked about.
        """
        if permit.has_ended:
            return
        permit.has_ended = True
        runner = permit.runner
        is_fragile = self._local.stated.reading(runner) is not None
        if permit.keeper is None:
            if not rejected or not is_fragile:
                return
            permit.number = next(self._numbers)
        keepers = {permit.keeper} - {None}
        if rejected:
            self.rejected_count += 1
            keepers.add(self._fleet.keeper(runner))
        for keeper in keepers:
            assert keeper is not None
            self._tell_end(keeper, permit, rejected)

    def _tell_end(
        self, keeper: str, permit: FragilePermit, rejected: bool
    ) -> None:
        if not keeper:
            call = self._process, permit.number
            self._record_end(permit.runner, call, rejected)
            return
        address = self._fleet.address(keeper)
        if address is None or self._protocol is None:
            return
        reading = self._exchange.record(permit.runner)
        fields = address, reading, permit.number, rejected
        self._protocol.send_end(*fields)
        if rejected:
            asyncio.get_running_loop().call_later(
                REPEAT_AFTER_S, self._protocol.send_end, *fields
            )

    def exchange(self) -> None:
        """Pass on all readings to a few other VMs."""
        fragile = self._local.stated.in_force
        self._heard = {
            runner: count
            for runner, count in self._heard.items()
            if runner in fragile
        }
        self._exchange.send_all()

    def pass_on_change(self, runner: str) -> None:
        """Pass a runner's changed fragility on to other VMs."""
        self._exchange.pass_on(runner)

    # Methods of fragile_runner_protocol.Vm.

    def admit_for_peer(
        self,
        reading: reading_exchange.ReadingRecord,
        call: fragile_keeper.CallKey,
        lease_s: float,
        source: str,
    ) -> tuple[limit_keeper.Admission, reading_exchange.ReadingRecord]:
        """Decide on another VM's call, as the keeper of a fragile runner."""
        runner, rejections_per_s, _ = reading
        self.merge_readings([reading], source)
        own = self._local.stated.readings.get(runner)
        if own is not None:
            rejections_per_s = own.limit_per_s
            reading = self._exchange.record(runner)
        if rejections_per_s is None:
            return limit_keeper.Admission(True, 0.0), reading
        if call in self._ended:
            # Nobody waits for the answer.
            return limit_keeper.Admission(False, 0.0), reading
        admission = self._local.admit(
            runner,
            call,
            rejections_per_s,
            lease_s,
            is_deputy=not self._fleet.is_first(runner),
        )
        return admission, reading

    def end_for_peer(
        self,
        reading: reading_exchange.ReadingRecord,
        call: fragile_keeper.CallKey,
        rejected: bool,
        source: str,
    ) -> None:
        """Record that another VM's call has ended, or was not sent."""
        self.merge_readings([reading], source)
        self._record_end(reading[0], call, rejected)

    def merge_readings(
        self,
        readings: typing.Iterable[reading_exchange.ReadingRecord],
        source: str,
    ) -> None:
        """Merge another VM's readings of fragility."""
        for runner, rejections_per_s, age_s in readings:
            change = self._local.merge(runner, rejections_per_s, age_s, source)
            if change is not None:
                statement_logs.log_fragility(runner, change)
                self.pass_on_change(runner)

    def _record_end(
        self, runner: str, call: fragile_keeper.CallKey, rejected: bool
    ) -> None:
        if call in self._ended:
            return
        now = self._clock.now()
        while self._ended:
            oldest = next(iter(self._ended))
            if self._ended[oldest] > now - ENDED_KEPT_S:
                break
            del self._ended[oldest]
        self._ended[call] = now
        if rejected:
            self._heard[runner] = self._heard.get(runner, 0) + 1
        self._local.end(runner, call, rejected)
