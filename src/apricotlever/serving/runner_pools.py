"""Connections to all runners, within what each of them takes."""

import typing

from . import pool as pools
from . import routes
from . import runners

#: Part of a runner's connections that all VMs together open. The rest is for
#: connections that the runner has not seen close yet.
CONNECTION_PART = 0.85


class _Entry:
    """The pool of one incarnation, and the runner as it was then."""

    __slots__ = ("runner", "pool")

    def __init__(self, runner: runners.Runner, pool: pools.Pool) -> None:
        self.runner = runner
        self.pool = pool


class RunnerPools:
    """The pools, by incarnation."""

    __slots__ = ("_entries", "_members", "_services")

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._members = 1
        self._services: typing.Mapping[str, routes.Service] = {}

    @property
    def opened(self) -> int:
        """Connections opened to the runners that are known now."""
        return sum(entry.pool.opened for entry in self._entries.values())

    def configure(self, services: typing.Mapping[str, routes.Service]) -> None:
        """Take over what the services' runners allow."""
        self._services = services

    def set_members(self, count: int) -> None:
        """Take over how many VMs share the runners' connections."""
        self._members = max(1, count)
        for entry in self._entries.values():
            entry.pool.set_limit(self._limit(entry.runner))

    def of(self, runner: runners.Runner) -> pools.Pool:
        """The connections to a runner."""
        entry = self._entries.get(runner.runner_id)
        if entry is None:
            limit = self._limit(runner)
            entry = _Entry(runner, pools.Pool(runner.host, runner.port, limit))
            self._entries[runner.runner_id] = entry
        return entry.pool

    def keep_only(self, listed: typing.Sequence[runners.Runner]) -> None:
        """Let go of connections to runners that are gone or have moved.

        A runner that is gone from the list may serve on what it has for
        many seconds. One that started again has lost it: its calls, which
        would wait for a silent connection to time out, end now.
        """
        present = {runner.runner_id: runner for runner in listed}
        names = {runner.name for runner in listed}
        for runner_id, entry in tuple(self._entries.items()):
            runner = present.get(runner_id)
            if runner is not None and runner.address == entry.pool.address:
                continue
            del self._entries[runner_id]
            if runner is None and entry.runner.name in names:
                entry.pool.other_side_ended()
            else:
                entry.pool.retire()

    def sweep(self, now: float) -> None:
        """Close connections that idled for too long."""
        for entry in self._entries.values():
            entry.pool.close_old(now)

    def _limit(self, runner: runners.Runner) -> int:
        service = self._services.get(runner.service)
        if service is None:
            return 1
        share = CONNECTION_PART * service.max_connections / self._members
        return max(1, int(share))
