"""Opens connections to runners to see whether this VM reaches any.

Which ones, and when, :mod:`..runners.reachability` decides. A connection that
opened serves a later call.
"""

import asyncio

from .. import clock as clocks

from . import client_channel
from . import connection_pool as pools
from . import runner_attempt
from . import task_supervisor
from . import upstreams

#: Time in which a connection that was accepted only to be reset shows it, in
#: seconds.
SETTLE_S = 0.02
#: A timeout that comes later than this, in seconds, shows that this process
#: was kept from running, and nothing of the runner.
MAX_LATENESS_S = 0.1


class ReachProbes:
    """Makes the probes that are due.

    :param tasks: runs the probes, several at once.
    """

    __slots__ = ("_clock", "_tasks", "_upstreams")

    def __init__(
        self,
        clock: clocks.Clock,
        upstreams_: upstreams.Upstreams,
        tasks: task_supervisor.TaskSupervisor,
    ) -> None:
        self._clock = clock
        self._upstreams = upstreams_
        self._tasks = tasks

    def tick(self) -> None:
        """Start the probes that are due; to be called each 0.1 s."""
        for name in self._upstreams.reach.probes_due():
            self._tasks.spawn(self._probe(name))
        self._upstreams.reach_monitor.update()

    async def _probe(self, name: str) -> None:
        """Probe a runner and report the result."""
        reach = self._upstreams.reach
        runner = self._upstreams.directory.get(name)
        if runner is None:
            reach.probe_dropped(name)
            return
        pool = self._upstreams.pool(runner)
        timeout_s = runner_attempt.CONNECT_TIMEOUT_S
        began = self._clock.now()
        try:
            channel = await pool.acquire(timeout_s, fresh=True)
        except pools.PoolFull:
            reach.probe_dropped(name)
            return
        except client_channel.NotConnected as error:
            took_s = self._clock.now() - began
            if error.refused or took_s < timeout_s + MAX_LATENESS_S:
                reach.connection_failed(name)
            else:
                reach.probe_dropped(name)
            return
        await asyncio.sleep(SETTLE_S)
        if not channel.idle:
            pool.discard(channel)
            reach.connection_failed(name)
            return
        pool.release(channel, closing=False, keep_alive_s=None)
        self._upstreams.reach_monitor.connection_opened(name)
