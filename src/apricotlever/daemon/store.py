"""The task through which all calls to the object API go.

It keeps this VM's calls within its budget, the more urgent ones first, and
runs them on threads of its own, so that a store that hangs delays nothing
but the calls to it.
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

Rank = call_budget.CallPriority
Kind = call_budget.CallKind
Run = typing.Callable[[platform.ObjectApi], typing.Any]

THREADS = 8
HOLD_S = 1.0
TICK_S = 0.05

_WORTH_LOGGING = frozenset(("unavailable", "ambiguous", "throttled"))


class StoreCall:
    """Call the object API; answered with the call's Result.

    A call that the budget can't let through in time fails with Throttled
    and had no effect.

    :param rank: who goes first.
    :param kind: read or write.
    :param run: makes the call.
    """

    __slots__ = ("rank", "kind", "run")

    def __init__(self, rank: Rank, kind: Kind, run: Run) -> None:
        self.rank = rank
        self.kind = kind
        self.run = run


def read(rank: Rank, name: str) -> StoreCall:
    """A call that reads an object.

    :param rank: who goes first.
    :param name: the object's name.
    """

    def run(api: platform.ObjectApi) -> typing.Any:
        return api.get(name)

    return StoreCall(rank, Kind.READ, run)


def write(
    rank: Rank, name: str, value: typing.Any, expected_version: int | None
) -> StoreCall:
    """A call that writes an object if it still has the version expected.

    :param rank: who goes first.
    :param name: the object's name.
    :param value: what JSON can hold.
    :param expected_version: the version to replace; None creates only.
    """

    def run(api: platform.ObjectApi) -> typing.Any:
        return api.put(name, value, expected_version)

    return StoreCall(rank, Kind.WRITE, run)


class FleetSize:
    """How many entry VMs share the store's rate."""

    __slots__ = ("vms",)

    def __init__(self, vms: int) -> None:
        self.vms = vms


class _Held:
    """A call that waits for the budget."""

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


class _Seen:
    """How a call went, for the budget and the log."""

    __slots__ = ("kind", "outcome")

    def __init__(self, kind: Kind, outcome: typing.Any) -> None:
        self.kind = kind
        self.outcome = outcome


class Store(mailbox.Task):
    """Calls the object API within this VM's budget.

    :param api: the client; its connections belong to the threads here.
    :param budget: this VM's share of the store's rates.
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
        self._held: list[tuple[int, int, _Held]] = []
        self._order = itertools.count()
        self._up = True

    @mailbox.handles(StoreCall)
    def _call(self, message: StoreCall) -> mailbox.Deferred:
        future = self.defer()
        if self._budget.try_acquire(message.rank, message.kind):
            self._run(message, future)
            return mailbox.DEFERRED
        self._metrics.count("platform.held_back", of=message.rank.name.lower())
        until = self._clock.now() + HOLD_S
        item = (int(message.rank), next(self._order))
        heapq.heappush(self._held, (*item, _Held(message, future, until)))
        return mailbox.DEFERRED

    @mailbox.handles(FleetSize)
    def _resized(self, message: FleetSize) -> None:
        self._budget.set_fleet_size(max(1, message.vms))

    @mailbox.handles(_Seen)
    def _seen(self, message: _Seen) -> None:
        outcome = message.outcome
        error = None
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
        if isinstance(error, platform.Throttled):
            self._budget.record_throttling(message.kind, error.retry_after_s)
        down = isinstance(error, (platform.Unavailable, platform.Ambiguous))
        if error is not None and error.kind in _WORTH_LOGGING:
            self._metrics.count("platform.failed", of=error.kind)
        if error is not None and down and self._up:
            logs.event("platform_down", error=error.message)
        if not down and not self._up:
            logs.event("platform_up")
        self._up = not down

    def tick(self) -> None:
        """Let held calls through, or fail those that waited long enough."""
        held, self._held = self._held, []
        now = self._clock.now()
        while held:
            item = heapq.heappop(held)
            waiting = item[2]
            call = waiting.call
            if self._budget.try_acquire(call.rank, call.kind):
                self._run(call, waiting.future)
            elif now >= waiting.until:
                wait_s = self._budget.wait_s(call.rank, call.kind)
                message = "over this VM's share of the store's rate"
                error = platform.Throttled(message, wait_s)
                waiting.future.set_result(result.Failure(error))
            else:
                heapq.heappush(self._held, item)

    def stopped(self) -> None:
        """End the threads; calls under way end by their own timeouts."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _run(
        self, call: StoreCall, future: "futures.Future[typing.Any]"
    ) -> None:
        self._metrics.count("platform.calls", of=call.rank.name.lower())
        work = self._threads.submit(call.run, self._api)
        work.add_done_callback(
            functools.partial(self._ended, call.kind, future)
        )

    def _ended(
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
        self.tell(_Seen(kind, outcome))
        future.set_result(outcome)
