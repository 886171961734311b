"""Steps for tests/serving/task_supervisor.feature."""

import asyncio
import itertools
import random

from behave import given
from behave import then
from behave import when

from apricotlever import logs
from apricotlever.serving import store
from apricotlever.serving import store_watch
from apricotlever.serving import task_supervisor


class _Loop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next scheduled callback."""

    def __init__(self):
        super().__init__()
        self._now = 0.0

    def time(self):
        """Return the simulated seconds since the start."""
        return self._now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0]._when)
        super()._run_once()


@given("a supervised task that fails {count:d} times and then continues")
def _supervised_task(context, count):
    context.starts = []

    async def work():
        context.starts.append(asyncio.get_running_loop().time())
        if len(context.starts) <= count:
            raise KeyError("an error of the test")
        await asyncio.sleep(1000)

    context.work = work


@given("a watch whose listener fails at the first list")
def _watch_with_failing_listener(context):
    class Store:
        """An empty store without changes; counts the calls that list it."""

        lists = 0

        async def list_all(self, kind):
            """Return an empty list."""
            self.lists += 1
            return store.Page([], False, 5)

        async def watch(self, kind, revision, wait_s):
            """Wait without reporting a change."""
            await asyncio.sleep(1000)

    class Listener:
        """Fails at the first list."""

        failed = False

        def listed(self, page):
            """Accept the list, except the first one."""
            if not self.failed:
                self.failed = True
                raise AttributeError("an error of the test")

    context.store = Store()
    context.watcher = store_watch.Watcher(
        context.store, "servers", Listener(), random.Random(1)
    )
    context.work = context.watcher.run


@given(
    "a watch without an initial list that is wanted after {seconds:d} seconds"
)
def _watch_wanted_later(context, seconds):
    class Store:
        """An empty store without changes; counts the calls that list it."""

        lists = 0

        async def list_all(self, kind, stale=False):
            """Return an empty list."""
            self.lists += 1
            return store.Page([], False, 5)

        async def watch(self, kind, revision, wait_s):
            """Wait without reporting a change."""
            await asyncio.sleep(1000)

    class Listener:
        """Accepts every list."""

        def listed(self, page):
            """Accept the list."""

    context.store = Store()
    context.watcher = store_watch.Watcher(
        context.store,
        "orders",
        Listener(),
        random.Random(1),
        lambda: asyncio.get_running_loop().time() >= seconds,
        list_when_unwanted=False,
    )
    context.work = context.watcher.run


@then("the list was not read")
def _list_not_read(context):
    assert not context.store.lists and not context.is_connected


@then("the list was read once and the watch is connected")
def _list_read_once(context):
    assert context.store.lists == 1 and context.is_connected


@given(
    "a watch whose store fails {first:d} times, answers, and fails {second:d} "
    "times more"
)
def _failing_store(context, first, second):
    context.failed_at = []

    class Store:
        """A store of which the calls fail in two rows."""

        async def list_all(self, kind):
            """Fail, or return an empty list."""
            self._fail(first)
            return store.Page([], False, 5)

        async def watch(self, kind, revision, wait_s):
            """Fail, or wait without reporting a change."""
            self._fail(first + second)
            await asyncio.sleep(1000)

        def _fail(self, most):
            if len(context.failed_at) < most:
                context.failed_at.append(asyncio.get_running_loop().time())
                raise store.StoreError("down")

    class Listener:
        """Accepts every list."""

        def listed(self, page):
            """Accept the list."""

        def store_recovered(self):
            """Ignore the end of an outage."""

    context.watcher = store_watch.Watcher(
        Store(), "orders", Listener(), random.Random(1)
    )
    context.work = context.watcher.run


@then("it waited half to all of {first} and then {second} s")
def _check_waits(context, first, second):
    expected = [
        [float(text) for text in row.split(", ")] for row in (first, second)
    ]
    # The first call after a success follows the last wait of the first row.
    waits = [b - a for a, b in itertools.pairwise(context.failed_at)]
    assert len(waits) == sum(map(len, expected)) - 1, waits
    for wait_s, most_s in zip(waits, sum(expected, []), strict=False):
        assert 0.5 * most_s <= wait_s <= most_s, (waits, expected)


@when("{seconds:d} seconds of the loop pass")
def _pass(context, seconds):
    context.logged = []
    context.running = task_supervisor.TaskSupervisor()

    async def run_tasks():
        context.running.supervise("watch", context.work)
        await asyncio.sleep(seconds)
        if hasattr(context, "watcher"):
            context.is_connected = context.watcher.is_connected

    logs.setup_writer("vm", lambda name, line: context.logged.append(line))
    try:
        with asyncio.Runner(loop_factory=_Loop) as loop:
            loop.run(run_tasks())
    finally:
        logs.teardown()


@then("it was started {count:d} times, with increasing delays")
def _started(context, count):
    assert len(context.starts) == count, context.starts
    pauses = [b - a for a, b in itertools.pairwise(context.starts)]
    assert pauses == sorted(pauses) and pauses[-1] > 4 * pauses[0], pauses


@then("its restarts are in the log and in the metrics")
def _logged(context):
    lines = [line for line in context.logged if "task_restarts" in line]
    assert len(lines) == 6 and "KeyError" in lines[0], context.logged
    assert context.running.restarts == {"watch": 6}


@then("the list was read twice and the watch is connected")
def _list_read_twice(context):
    assert context.store.lists == 2 and context.is_connected
