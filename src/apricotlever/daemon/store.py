"""The task through which all calls to the store, the object API, go.

The task keeps this VM's calls within its budget, in order of priority. The
calls run on threads of their own, so that a store that hangs delays only the
calls to it.
"""

from concurrent import futures
import functools
import heapq
import itertools
import typing

from returns import result

from .. import clock as clocks
from .. import logs
from .. import mailbox
from .. import metrics as metrics_
from ..contracts import call_budget
from ..links import platform

Priority = call_budget.CallPriority
Kind = call_budget.CallKind
Run = typing.Callable[[platform.ObjectApi], typing.Any]

THREADS = 8
MAX_WAIT_S = 1.0
TICK_S = 0.05

_COUNTED_ERRORS = frozenset(("unavailable", "ambiguous", "throttled"))


class StoreCall:
    """Message: call the object API.

    The result is a :class:`returns.result.Result` with the answer or error.
    A call that the budget does not admit in time fails with Throttled and has
    no effect.

    :param priority: the priority of the call.
    :param kind: read or write.
    :param run: makes the call.
    """

    __slots__ = ("priority", "kind", "run")

    def __init__(self, priority: Priority, kind: Kind, run: Run) -> None:
        self.priority = priority
        self.kind = kind
        self.run = run


def read_call(priority: Priority, name: str) -> StoreCall:
    """A call that reads an object.

    :param priority: the priority of the call.
    :param name: the object's name.
    """

    def run(api: platform.ObjectApi) -> typing.Any:
        return api.get(name)

    return StoreCall(priority, Kind.READ, run)


def write_call(
    priority: Priority,
    name: str,
    value: typing.Any,
    expected_version: int | None,
) -> StoreCall:
    """A call that writes an object only if it has the expected version.

    :param priority: the priority of the call.
    :param name: the object's name.
    :param value: the new value, which can be encoded as JSON.
    :param expected_version: the version to replace; with None, the write
        succeeds only if the object does not exist.
    """

    def run(api: platform.ObjectApi) -> typing.Any:
        return api.put(name, value, expected_version)

    return StoreCall(priority, Kind.WRITE, run)


class FleetSize:
    """Message: the number of entry VMs that share the store's call rates."""

    __slots__ = ("vms",)

    def __init__(self, vms: int) -> None:
        self.vms = vms


class _WaitingCall:
    """A call that the budget has not admitted yet.

    :param call: the call.
    :param future: receives the Result of the call.
    :param until: when the call fails unless it was admitted.
    """

    __slots__ = ("call", "future", "until")

    def __init__(
        self,
        call: StoreCall,
        future: "futures.Future[typing.Any]",
        until: float,
    ) -> None:
        self.call = call
        self.future = future
        self.until = until


class _CallEnded:
    """Message: a call has ended; updates the budget, the metrics and the log.

    :param kind: read or write.
    :param outcome: the Result of the call.
    """

    __slots__ = ("kind", "outcome")

    def __init__(self, kind: Kind, outcome: typing.Any) -> None:
        self.kind = kind
        self.outcome = outcome


class Store(mailbox.Task):
    """Calls the object API within this VM's budget.

    :param api: the client; only the threads of this task use its
        connections.
    :param budget: this VM's share of the store's call rates.
    :param metrics: counts calls and failures.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        api: platform.ObjectApi,
        budget: call_budget.CallBudget,
        metrics: metrics_.Metrics,
    ) -> None:
        super().__init__("store", clock, TICK_S)
        self._api = api
        self._budget = budget
        self._metrics = metrics
        self._threads = futures.ThreadPoolExecutor(THREADS, "store")
        self._waiting_calls: list[tuple[int, int, _WaitingCall]] = []
        self._sequence = itertools.count()
        self._available = True

    @mailbox.handles(StoreCall)
    def _start_or_hold(self, message: StoreCall) -> mailbox.Deferred:
        future = self.defer()
        if self._budget.try_acquire(message.priority, message.kind):
            self._start(message, future)
            return mailbox.DEFERRED
        self._metrics.count(
            "platform.held_back", of=message.priority.name.lower()
        )
        until = self._clock.now() + MAX_WAIT_S
        item = (int(message.priority), next(self._sequence))
        heapq.heappush(
            self._waiting_calls, (*item, _WaitingCall(message, future, until))
        )
        return mailbox.DEFERRED

    @mailbox.handles(FleetSize)
    def _set_fleet_size(self, message: FleetSize) -> None:
        self._budget.set_fleet_size(max(1, message.vms))

    @mailbox.handles(_CallEnded)
    def _on_call_ended(self, message: _CallEnded) -> None:
        outcome = message.outcome
        error = None
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
        if isinstance(error, platform.Throttled):
            self._budget.record_throttling(message.kind, error.retry_after_s)
        down = isinstance(error, (platform.Unavailable, platform.Ambiguous))
        if error is not None and error.kind in _COUNTED_ERRORS:
            self._metrics.count("platform.failed", of=error.kind)
        if error is not None and down and self._available:
            logs.event("platform_down", error=error.message)
        if not down and not self._available:
            logs.event("platform_up")
        self._available = not down

    def tick(self) -> None:
        """Start waiting calls that the budget admits; fail overdue ones."""
        waiting_calls, self._waiting_calls = self._waiting_calls, []
        now = self._clock.now()
        while waiting_calls:
            item = heapq.heappop(waiting_calls)
            waiting = item[2]
            call = waiting.call
            if self._budget.try_acquire(call.priority, call.kind):
                self._start(call, waiting.future)
            elif now >= waiting.until:
                wait_s = self._budget.wait_s(call.priority, call.kind)
                message = (
                    "this VM has used up its share of the store's call rate"
                )
                error = platform.Throttled(message, wait_s)
                waiting.future.set_result(result.Failure(error))
            else:
                heapq.heappush(self._waiting_calls, item)

    def stopped(self) -> None:
        """Shut the threads down; calls in progress end by their timeouts."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _start(
        self, call: StoreCall, future: "futures.Future[typing.Any]"
    ) -> None:
        self._metrics.count("platform.calls", of=call.priority.name.lower())
        work = self._threads.submit(call.run, self._api)
        work.add_done_callback(
            functools.partial(self._complete, call.kind, future)
        )

    def _complete(
        self,
        kind: Kind,
        future: "futures.Future[typing.Any]",
        work: "futures.Future[typing.Any]",
    ) -> None:
        if work.cancelled():
            error: typing.Any = platform.Unavailable("this VM is stopping")
            future.set_result(result.Failure(error))
            return
        raised = work.exception()
        if raised is not None:
            error = platform.Ambiguous(repr(raised))
            future.set_result(result.Failure(error))
            return
        outcome = work.result()
        self.tell(_CallEnded(kind, outcome))
        future.set_result(outcome)
