"""Tasks of one process that run until it ends."""

import asyncio
import typing

from .. import logs

from . import pace

#: Before a task that failed starts again, in seconds; doubled each time.
INITIAL_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0
#: A task that ran for so long before it failed starts again soon.
HEALTHY_RUN_S = 10.0


class Tasks:
    """Keeps tasks alive and tells of those that failed.

    A task that nobody holds may be collected, and one whose error nobody
    reads fails without a word: in both cases a part of the process would
    silently stop.
    """

    __slots__ = ("_restarts", "_tasks")

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._restarts: dict[str, int] = {}

    @property
    def restarts(self) -> dict[str, int]:
        """How often each supervised task ended and was started again."""
        return self._restarts

    def spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def every(
        self, pause_s: float, step: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Repeat a step for ever, also after it has failed."""
        self.spawn(_repeat(pause_s, step))

    def supervise(
        self, name: str, start: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Run a task for ever: started again whenever it ends.

        :param name: for the log and the metrics.
        """
        self._restarts[name] = 0
        self.spawn(self._restart_forever(name, start))

    async def _restart_forever(
        self, name: str, start: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        loop = asyncio.get_running_loop()
        pause_s = INITIAL_RESTART_DELAY_S
        while True:
            began = loop.time()
            reason = "returned"
            try:
                await start()
            except Exception as error:
                # Whatever it is, what the task did must not stop for good.
                reason = repr(error)
            if loop.time() - began > HEALTHY_RUN_S:
                pause_s = INITIAL_RESTART_DELAY_S
            self._restarts[name] += 1
            logs.event(
                "task_restarts", task=name, error=reason, pause_s=pause_s
            )
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RESTART_DELAY_S, 2.0 * pause_s)

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
            # A duty that ended here would silently never be done again.
            logs.event("task_failed", error=repr(error))
        await pace.pause(pause_s)
