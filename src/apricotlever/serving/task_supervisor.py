"""Supervision of the tasks that run for the lifetime of the process."""

import asyncio
import collections
import typing

from .. import backoff
from .. import clock as clocks
from .. import log_rate_limiter
from .. import logs

from . import aligned_timer

#: Delay before the first restart of a failed task, in seconds. It doubles with
#: each further restart, up to MAX_RESTART_DELAY_S.
INITIAL_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
#: How long a task must have run, in seconds, for the delay to return to
#: INITIAL_RESTART_DELAY_S.
HEALTHY_RUN_S = 10.0
#: So many failures of a task are logged in any case: the log shows whether an
#: error comes again.
FIRST_LOGGED = 2


class TaskSupervisor:
    """Keeps references to asyncio tasks, and records their failures.

    A task without references may be garbage-collected, and an exception that
    is never retrieved goes unnoticed. In both cases, a part of the process
    would stop silently. An unexpected error must not stop more than the round
    or the step that it is in, so this is the one place that goes on after any.
    """

    __slots__ = ("_failures", "_log_limit", "_restarts", "_tasks")

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._restarts: dict[str, int] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self._log_limit = log_rate_limiter.LogRateLimiter(clocks.SystemClock())

    @property
    def failures(self) -> dict[str, int]:
        """Number of rounds and steps that failed, by name."""
        return dict(self._failures)

    @property
    def restarts(self) -> dict[str, int]:
        """Number of restarts of each supervised task, by name."""
        return self._restarts

    def spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Start a task that is not restarted when it ends."""
        name = getattr(work, "__qualname__", "task")
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def repeat(
        self,
        name: str,
        pause_s: float,
        step: typing.Callable[[], typing.Awaitable[None]],
    ) -> None:
        """Run a step periodically, even after it has failed.

        :param name: name of the task in the log and the metrics.
        :param pause_s: period of the step, in seconds.
        :param step: starts one run of the step.
        """
        self.spawn(self._repeat(name, pause_s, step))

    def run_steps(
        self,
        name: str,
        steps: typing.Iterable[typing.Callable[[], typing.Any]],
    ) -> bool:
        """Run all steps in order, the later ones even if one fails.

        :param name: what the steps do together, for the log and the metrics.
        :returns: whether none has failed.
        """
        failed = 0
        for step in steps:
            try:
                step()
            except Exception as error:
                failed += 1
                self._record_failure(name, error)
        return not failed

    def _record_failure(self, name: str, error: BaseException) -> None:
        self._failures[name] += 1
        is_allowed = self._log_limit.allows(f"{name} {type(error).__name__}")
        if is_allowed or self._failures[name] <= FIRST_LOGGED:
            logs.event("task_failed", task=name, error=repr(error))

    def supervise(
        self, name: str, start: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Run a task, and restart it after a delay whenever it ends.

        :param name: name of the task in the log and the metrics.
        :param start: starts the task.
        """
        self._restarts[name] = 0
        self.spawn(self._restart_forever(name, start))

    async def _restart_forever(
        self, name: str, start: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        loop = asyncio.get_running_loop()
        delays = backoff.Backoff(INITIAL_RESTART_DELAY_S, MAX_RESTART_DELAY_S)
        while True:
            began = loop.time()
            reason = "returned"
            try:
                await start()
            except Exception as error:
                # The task must be restarted whatever the error is.
                reason = repr(error)
            if loop.time() - began > HEALTHY_RUN_S:
                delays.reset()
            self._restarts[name] += 1
            pause_s = delays.record_failure()
            logs.event(
                "task_restarts", task=name, error=reason, pause_s=pause_s
            )
            await asyncio.sleep(pause_s)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._record_failure(task.get_name(), error)

    async def _repeat(
        self,
        name: str,
        pause_s: float,
        step: typing.Callable[[], typing.Awaitable[None]],
    ) -> None:
        while True:
            try:
                await step()
            except Exception as error:
                self._record_failure(name, error)
            await aligned_timer.sleep_until_tick(pause_s)
