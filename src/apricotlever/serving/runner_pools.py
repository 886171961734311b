"""Connection pools to all runners, within each runner's connection limit.

Each incarnation of a runner, one start of it, has its own pool.
"""

import typing

from . import configuration_model
from . import connection_pool as pools
from . import runners

#: Share of a runner's connection limit that all VMs together use. The rest is
#: for closed connections that the runner still counts as open.
CONNECTION_SHARE = 0.85


class _Entry:
    """A connection pool, and its runner as known when the pool was made."""

    __slots__ = ("runner", "pool")

    def __init__(
        self, runner: runners.Runner, pool: pools.ConnectionPool
    ) -> None:
        self.runner = runner
        self.pool = pool


class RunnerPools:
    """The connection pools of this VM to all runners.

    A runner's connection limit is divided equally among the VMs.
    """

    __slots__ = ("_entries", "_vm_count", "_services")

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._vm_count = 1
        self._services: typing.Mapping[str, configuration_model.Service] = {}

    @property
    def opened_connections(self) -> int:
        """The number of connections ever opened to the known runners."""
        return sum(entry.pool.opened_count for entry in self._entries.values())

    def configure(
        self, services: typing.Mapping[str, configuration_model.Service]
    ) -> None:
        """Set the services, whose connection limits apply to new pools."""
        self._services = services

    def set_members(self, count: int) -> None:
        """Set the number of VMs that share the runners' connections."""
        self._vm_count = max(1, count)
        for entry in self._entries.values():
            entry.pool.set_limit(self._connection_limit(entry.runner))

    def pool_of(self, runner: runners.Runner) -> pools.ConnectionPool:
        """The connection pool of a runner, created when needed."""
        entry = self._entries.get(runner.runner_id)
        if entry is None:
            limit = self._connection_limit(runner)
            entry = _Entry(
                runner, pools.ConnectionPool(runner.host, runner.port, limit)
            )
            self._entries[runner.runner_id] = entry
        return entry.pool

    def retain_runners(self, listed: typing.Sequence[runners.Runner]) -> None:
        """Drop the pools of runners that were removed or changed address.

        :param listed: all runners that the directory lists now.

        A removed runner may serve its calls for many more seconds, so its
        connections stay open until these calls end. A restarted runner has
        lost its calls: they end now rather than wait for a silent connection
        to time out.
        """
        present = {runner.runner_id: runner for runner in listed}
        names = {runner.name for runner in listed}
        for runner_id, entry in tuple(self._entries.items()):
            runner = present.get(runner_id)
            if runner is not None and runner.address == entry.pool.address:
                continue
            del self._entries[runner_id]
            if runner is None and entry.runner.name in names:
                entry.pool.abort_all()
            else:
                entry.pool.disable_reuse()

    def close_idle(self, now: float) -> None:
        """Close idle connections that may no longer be reused.

        :param now: on the event loop's clock, in seconds.
        """
        for entry in self._entries.values():
            entry.pool.close_expired(now)

    def _connection_limit(self, runner: runners.Runner) -> int:
        service = self._services.get(runner.service)
        if service is None:
            return 1
        share = CONNECTION_SHARE * service.max_connections / self._vm_count
        return max(1, int(share))
