"""Tasks of one process that run until it ends."""

import asyncio
import typing

from .. import logs

from . import pace


class Tasks:
    """Keeps tasks alive and tells of those that failed.

    A task that nobody holds may be collected, and one whose error nobody
    reads fails without a word: in both cases a part of the process would
    silently stop.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def every(
        self, pause_s: float, step: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Repeat a step for ever, also after it has failed."""
        self.spawn(_repeat(pause_s, step))

    def _ended(self, task: asyncio.Task[None]) -> None:
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
