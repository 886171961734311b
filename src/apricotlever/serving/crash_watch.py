"""Detects crashes of runners, and delays the calls that may cause more.

A call that crashes its runner and is then retried would crash one runner after
another.
"""

import collections
import functools
import typing

from .. import clock as clocks
from ..runners import call_features
from ..runners import crash_blocklist
from ..runners import crash_causes
from ..runners import crash_records
from ..runners import past_fragility
from ..runners import quarantine

from . import client_channel
from . import configuration_model
from . import connection_pool as pools
from . import crash_logs
from . import messages
from . import runners
from . import suspension_watch

#: Minimum time between two connection checks of one runner, in seconds (see
#: :meth:`CrashWatch.refuses`). A runner that ends breaks all its connections
#: at once, and each would otherwise lead to a check.
CHECK_INTERVAL_S = 0.5
#: Timeout of a connection check, in seconds: slightly more than a round trip.
CHECK_TIMEOUT_S = 0.1
#: An answer that ended with its connection clears its call if its runner lives
#: on for so long, in seconds.
LIVED_ON_S = 1.0
#: The greatest number of such answers that are kept until then.
MAX_UNCONFIRMED = 1024


class _UnconfirmedAnswer:
    """An answer that may have ended with its runner.

    :param at: when it ended, in monotonic seconds.
    :param runner: the runner's incarnation.
    """

    __slots__ = ("at", "call", "customer", "runner")

    def __init__(
        self,
        at: float,
        runner: str,
        call: messages.CallerCall,
        customer: configuration_model.Customer | None,
    ) -> None:
        self.at = at
        self.runner = runner
        self.call = call
        self.customer = customer


class CrashWatch:
    """Reports what this VM observes to a crash blocklist.

    The blocklist, a :class:`..runners.crash_blocklist.CrashBlocklist`, decides
    which calls are blocked, by what calls have in common
    (:mod:`..runners.call_features`). That is computed only when one breaks off
    or while the blocklist is active, so that other calls don't bear the cost.

    :param vm: this VM's name.
    :param is_fragile: tells whether a runner is or was fragile, so that no
        call is suspected of its crash.
    """

    __slots__ = (
        "_blocklist",
        "_causes",
        "_checked_at",
        "_clock",
        "_decisions",
        "_lost_at",
        "_runners",
        "_suspension",
        "_unconfirmed",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        vm: str,
        is_fragile: past_fragility.IsFragile = past_fragility.never_fragile,
    ) -> None:
        self._clock = clock
        self._suspension = suspension_watch.SuspensionWatch(clock)
        self._blocklist = crash_blocklist.CrashBlocklist(clock, vm, is_fragile)
        #: The causes of crashes that were logged, by feature.
        self._causes: dict[str, crash_causes.CrashCause] = {}
        #: How often calls were blocked, or ran as trials, by kind.
        self._decisions: collections.Counter[str] = collections.Counter()
        #: When each runner was last lost, by incarnation.
        self._lost_at: dict[str, float] = {}
        #: Answers that the end of their connections ended, the oldest first.
        self._unconfirmed: collections.deque[_UnconfirmedAnswer] = (
            collections.deque(maxlen=MAX_UNCONFIRMED)
        )
        #: When each runner was last checked, by incarnation.
        self._checked_at: dict[str, float] = {}
        #: The runners in the last list, by incarnation.
        self._runners: dict[str, runners.Runner] = {}

    @property
    def decisions(self) -> typing.Mapping[str, int]:
        """How many calls were blocked, and how many ran as trials."""
        return self._decisions

    @property
    def gauges(self) -> dict[str, float]:
        """The numbers of crashes and suspects known, and of bad parts."""
        return {
            "known_crashes": self._blocklist.crash_count,
            "suspected_features": self._blocklist.feature_count,
            "blocked_parts": len(self._causes),
        }

    def update_runners(self, present: typing.Iterable[runners.Runner]) -> None:
        """Apply the current list of runners.

        A runner that has disappeared since the last list is handled as lost.
        """
        now = {runner.runner_id: runner for runner in present}
        gone = [r for name, r in self._runners.items() if name not in now]
        self._runners = now
        self._checked_at = {
            name: at for name, at in self._checked_at.items() if name in now
        }
        self._lost_at = {
            name: at for name, at in self._lost_at.items() if name in now
        }
        self._blocklist.set_sizes(
            collections.Counter(r.data_centre for r in now.values())
        )
        for runner in gone:
            self.runner_lost(runner)

    def runner_lost(self, runner: runners.Runner) -> None:
        """Handle a runner that refuses connections or is no longer listed.

        The blocklist decides whether it has crashed and which of its calls are
        suspected of it.
        """
        self._lost_at[runner.runner_id] = self._clock.now()
        charged = self._blocklist.runner_crashed(
            runner.runner_id, runner.data_centre, runner.leaving
        )
        if charged is not None:
            crash_logs.log_crash(runner, charged)

    def connection_broken(
        self,
        runner: runners.Runner,
        call: messages.CallerCall,
        customer: configuration_model.Customer | None,
    ) -> None:
        """Handle a connection that a runner closed before the answer's end."""
        self._blocklist.connection_broken(
            runner.runner_id, features(call, customer), call
        )

    async def refuses(
        self, runner: runners.Runner, pool: pools.ConnectionPool
    ) -> bool:
        """Check whether a runner refuses connections, so that it has ended.

        To be called when the runner has broken off an answer. A runner that
        has ended refuses connections at once. Without this check, only the
        removal of its entry from the store's list would show the end four
        seconds later, and a call that crashes runners may have crashed two
        more by then.

        :returns: whether it refused one. False if the runner was checked less
            than :data:`CHECK_INTERVAL_S` ago, and also if the connection times
            out, as a busy runner may open it late, too.
        """
        now = self._clock.now()
        last = self._checked_at.get(runner.runner_id)
        if last is not None and now - last < CHECK_INTERVAL_S:
            return False
        self._checked_at[runner.runner_id] = now
        try:
            channel = await pool.acquire(CHECK_TIMEOUT_S, fresh=True)
        except pools.PoolFull:
            return False
        except client_channel.NotConnected as error:
            return error.refused
        pool.release(channel, closing=False, keep_alive_s=None)
        return False

    async def may_have_ended(
        self, runner: runners.Runner, pool: pools.ConnectionPool
    ) -> bool:
        """Check whether a runner's process may have ended.

        To be called when the end of a connection ended a response of unknown
        length, as the end of a process closes its connections, too. The
        connection that is opened here serves a later call.

        :returns: False only if the runner accepts a connection. True also if
            the pool is full, as nothing is learned of the runner then, and if
            this process was suspended: the runner may be back by now.
        """
        if self._suspension.is_recent:
            return True
        try:
            channel = await pool.acquire(CHECK_TIMEOUT_S, fresh=True)
        except client_channel.ChannelError:
            return True
        pool.release(channel, closing=False, keep_alive_s=None)
        return False

    def call_answered(
        self,
        call: messages.CallerCall,
        customer: configuration_model.Customer | None,
        ended_with: str | None = None,
    ) -> None:
        """Clear a call of suspicion, as it got a complete answer.

        :param ended_with: the runner, if the end of its connection ended the
            answer. The call is cleared once the runner has lived on.
        """
        if ended_with is not None:
            self._unconfirmed.append(
                _UnconfirmedAnswer(
                    self._clock.now(), ended_with, call, customer
                )
            )
            return
        self._blocklist.call_answered(
            functools.partial(features, call, customer), len(call.body)
        )

    def retract(self, since: float) -> int:
        """Remove the crashes that were faults of this VM.

        See :meth:`..runners.crash_blocklist.CrashBlocklist.retract`.
        """
        return self._blocklist.retract(since)

    @property
    def blocklist(self) -> crash_blocklist.CrashBlocklist:
        """What this VM knows of crashes."""
        return self._blocklist

    def set_vms(
        self, names: typing.Iterable[str], fleet_size: int | None
    ) -> None:
        """Set the names of all known VMs, which take turns with trials.

        :param fleet_size: how many VMs there are; None if that is unknown.
        """
        self._blocklist.set_vms(names, fleet_size)

    def admit(
        self,
        call: messages.CallerCall,
        customer: configuration_model.Customer | None,
    ) -> float | None:
        """Let a call run, or refuse it if it is blocked.

        A blocked call may run as a trial, see :mod:`..runners.crash_trials`.

        :returns: None if it may run, or the seconds until it may be retried.
        """
        if not self._blocklist.active:
            return None
        block = self._blocklist.admit(features(call, customer), call)
        if block is None:
            return None
        self._decisions["trial" if block.is_trial else "blocked"] += 1
        crash_logs.log_block(call, block, self._clock.now())
        return None if block.is_trial else block.wait_s

    def retry_after_s(
        self,
        call: messages.CallerCall,
        customer: configuration_model.Customer | None,
    ) -> float | None:
        """Seconds until a blocked call may run; None if it may run now.

        Unlike :meth:`admit`, this begins no trial.
        """
        if not self._blocklist.active:
            return None
        return self._blocklist.retry_after_s(features(call, customer), call)

    def tick(self) -> None:
        """Remove expired crashes and blocks, and log changes of causes.

        To be called several times a second.
        """
        self._suspension.tick()
        self._confirm_answers()
        self._blocklist.tick()
        before = self._causes
        self._causes = {cause.key: cause for cause in self._blocklist.causes}
        for key in self._causes.keys() - before.keys():
            crash_logs.log_cause("crash_cause_found", self._causes[key])
        for key in before.keys() - self._causes.keys():
            crash_logs.log_cause("crash_cause_cleared", before[key])

    def _confirm_answers(self) -> None:
        """Clear the calls whose runners have lived on after their answers."""
        now = self._clock.now()
        while self._unconfirmed and (
            now - self._unconfirmed[0].at >= LIVED_ON_S
        ):
            answer = self._unconfirmed.popleft()
            if answer.runner in self._runners and (
                self._lost_at.get(answer.runner, float("-inf")) < answer.at
            ):
                self._blocklist.call_answered(
                    functools.partial(features, answer.call, answer.customer),
                    len(answer.call.body),
                    now - answer.at,
                )

    def next_record(self, whole: bool) -> crash_records.CrashRecord | None:
        """The crashes to include in this VM's next record.

        A record is the datagram by which a VM tells its peers its state
        several times a second.

        :param whole: whether to include the blocked calls. Peers may receive
            these a second late, so that only some records include them.
        """
        return self._blocklist.next_record(whole)

    def merge_record(
        self, vm: str, told: crash_records.CrashRecord | None
    ) -> None:
        """Merge the crashes in a peer's record.

        :param vm: the peer's name.
        :param told: the crashes; None if the record has none.
        """
        if told is not None:
            self._blocklist.merge_record(vm, told)


def features(
    call: messages.CallerCall, customer: configuration_model.Customer | None
) -> call_features.CallFeatures:
    """What a call has in common with others.

    Its fingerprint covers customer, method, target, body and declared prompt.
    """
    name = customer.name if customer is not None else ""
    parts = [part.part_id for part in call.prompt.parts] if call.prompt else []
    what = " ".join((call.method, call.target, *parts))
    return call_features.CallFeatures(
        quarantine.fingerprint("", name, call.body, what),
        name,
        parts[:-1],
        call.request_id,
    )
