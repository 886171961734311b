"""Notices crashes of runners, and keeps calls away that may cause more."""

import collections
import typing

from .. import clock as clocks
from .. import logs
from ..runners import crash_blocklist
from ..runners import quarantine

from . import channels
from . import messages
from . import pool as pools
from . import routes
from . import runners

#: Between two looks at a runner that breaks answers off, in seconds. All of
#: its connections break at once when it ends.
CHECK_EVERY_S = 0.5
#: How long it may take to refuse or take a connection, in seconds: a round
#: trip and some.
CHECK_S = 0.1


class CrashWatch:
    """Tells :class:`..runners.culprits.Culprits` what this VM sees.

    Fingerprints are worked out only while there is a crash on record, so
    calls pay for none on other days.

    :param vm: this VM's name.
    """

    __slots__ = ("_checked", "_clock", "_culprits", "_listed")

    def __init__(self, clock: clocks.Clock, vm: str) -> None:
        self._clock = clock
        self._culprits = crash_blocklist.CrashBlocklist(clock, vm)
        #: When a runner was last looked at.
        self._checked: dict[str, float] = {}
        #: Runners as they were listed last.
        self._listed: dict[str, runners.Runner] = {}

    def listed(self, present: typing.Iterable[runners.Runner]) -> None:
        """Take over the list; who is not on it any more has ended."""
        now = {runner.runner_id: runner for runner in present}
        gone = [r for name, r in self._listed.items() if name not in now]
        self._listed = now
        self._checked = {
            name: at for name, at in self._checked.items() if name in now
        }
        self._culprits.set_sizes(
            collections.Counter(r.data_centre for r in now.values())
        )
        for runner in gone:
            self.lost(runner)

    def lost(self, runner: runners.Runner) -> None:
        """A runner takes no connection, or is not listed any more."""
        charged = self._culprits.runner_crashed(
            runner.runner_id, runner.data_centre, runner.leaving
        )
        if charged:
            logs.event(
                "runner_crashed",
                runner=runner.runner_id,
                data_centre=runner.data_centre,
                leaving=runner.leaving,
                charged=charged,
            )

    def broke(
        self,
        runner: runners.Runner,
        call: messages.CallerCall,
        customer: routes.Customer | None,
    ) -> None:
        """A runner's side ended a call's connection before its answer."""
        self._culprits.connection_broken(
            runner.runner_id, fingerprint(call, customer)
        )

    async def refuses(self, runner: runners.Runner, pool: pools.Pool) -> bool:
        """Whether a runner that broke an answer off takes no connection.

        One that has ended refuses at once. Else its end shows by its entry
        only, four seconds later, and a call that crashes runners may have
        taken two more by then. It is looked at once in a while. A connection
        that opens too late tells nothing: a busy runner's does, too.
        """
        now = self._clock.now()
        last = self._checked.get(runner.runner_id)
        if last is not None and now - last < CHECK_EVERY_S:
            return False
        self._checked[runner.runner_id] = now
        try:
            channel = await pool.acquire(CHECK_S, fresh=True)
        except pools.PoolFull:
            return False
        except channels.NotConnected as error:
            return error.refused
        pool.release(channel, closing=False, keep_alive_s=None)
        return False

    def answered(
        self, call: messages.CallerCall, customer: routes.Customer | None
    ) -> None:
        """A call was answered in full."""
        if self._culprits.active:
            self._culprits.answered(fingerprint(call, customer))

    def kept_away_s(
        self, call: messages.CallerCall, customer: routes.Customer | None
    ) -> float | None:
        """For how long a call may not run; None if it may."""
        if not self._culprits.active:
            return None
        return self._culprits.retry_after_s(fingerprint(call, customer))

    def tick(self) -> None:
        """Forget what is too old to matter."""
        self._culprits.tick()

    def told(self, whole: bool) -> crash_blocklist.CrashRecord | None:
        """What the next record tells of crashes.

        :param whole: whether it tells what may be a second old, too.
        """
        return self._culprits.next_record(whole)

    def heard(self, vm: str, told: crash_blocklist.CrashRecord | None) -> None:
        """Take in what a peer's record tells of crashes."""
        if told is not None:
            self._culprits.merge_record(vm, told)


def fingerprint(
    call: messages.CallerCall, customer: routes.Customer | None
) -> str:
    """What a call has in common with the same call sent again."""
    return quarantine.fingerprint(
        "",
        customer.name if customer is not None else "",
        call.body,
        f"{call.method} {call.target}",
    )
