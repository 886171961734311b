"""Supervision of the tasks that run for the lifetime of the process."""

import asyncio
import typing

from .. import backoff
from .. import logs

from . import aligned_timer

#: Delay before the first restart of a failed task, in seconds. It doubles with
#: each further restart, up to MAX_RESTART_DELAY_S.
INITIAL_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
#: How long a task must have run, in seconds, for the delay to return to
#: INITIAL_RESTART_DELAY_S.
HEALTHY_RUN_S = 10.0


class TaskSupervisor:
    """Keeps references to asyncio tasks, and logs their failures.

    A task without references may be garbage-collected, and an exception that
    is never retrieved goes unnoticed. In both cases, a part of the process
    would stop silently.
    """

    __slots__ = ("_restarts", "_tasks")

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._restarts: dict[str, int] = {}

    @property
    def restarts(self) -> dict[str, int]:
        """Number of restarts of each supervised task, by name."""
        return self._restarts

    def spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Start a task that is not restarted when it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def repeat(
        self, pause_s: float, step: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Run a step periodically, even after it has failed.

        :param pause_s: period of the step, in seconds.
        :param step: starts one run of the step.
        """
        self.spawn(_repeat(pause_s, step))

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
        if not task.cancelled() and task.exception() is not None:
            logs.event("task_failed", error=repr(task.exception()))


async def _repeat(
    pause_s: float, step: typing.Callable[[], typing.Awaitable[None]]
) -> None:
    while True:
        try:
            await step()
        except Exception as error:
            # Without this handler, one error would end the repetition for
            # good.
            logs.event("task_failed", error=repr(error))
        await aligned_timer.sleep_until_tick(pause_s)
