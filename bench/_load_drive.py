"""Sends arrivals at their times from several processes.

The loop is open: a request is sent when its time has come, whatever became
of those before it, and the generator's own lateness is measured.
"""

from concurrent import futures
import gc
import multiprocessing
import time
import typing

from . import _load_calls
from . import _load_work

START_S = 2.0
THREADS_MAX = 1500
#: Above this the generator is too slow, and its figures mean nothing.
LAG_P99_MAX_S = 0.025
Document = dict[str, typing.Any]


class Share:
    """What one process of the generator does.

    :param seed: of the whole run's workload.
    :param part: which of ``parts`` this process sends.
    :param start_at: the run's start on the monotonic clock, which all
        processes of a machine share.
    """

    __slots__ = (
        "seed",
        "per_s",
        "seconds",
        "only",
        "part",
        "parts",
        "entries",
        "patience_s",
        "start_at",
    )

    def __init__(
        self,
        seed: int,
        per_s: float,
        seconds: float,
        only: tuple[str, ...],
        part: int,
        parts: int,
        entries: list[str],
        patience_s: float,
        start_at: float,
    ) -> None:
        self.seed = seed
        self.per_s = per_s
        self.seconds = seconds
        self.only = only
        self.part = part
        self.parts = parts
        self.entries = entries
        self.patience_s = patience_s
        self.start_at = start_at


class Run:
    """A load that is being sent by processes in the background.

    :param entries: addresses of some entry VMs.
    :param seed: of the workload.
    :param per_s: mean rate of arrivals.
    :param seconds: how long to send for.
    :param processes: how many share the work.
    :param patience_s: how long callers repeat refused requests.
    """

    def __init__(
        self,
        entries: list[str],
        seed: int,
        per_s: float,
        seconds: float,
        processes: int = 2,
        patience_s: float = 0.0,
        only: tuple[str, ...] = (),
    ) -> None:
        context = multiprocessing.get_context("spawn")
        self._pool = futures.ProcessPoolExecutor(processes, context)
        ready = [self._pool.submit(_warm, 0.5) for _ in range(processes)]
        futures.wait(ready)
        self.start_at = time.monotonic() + START_S
        shares = [
            Share(
                seed,
                per_s,
                seconds,
                only,
                part,
                processes,
                entries,
                patience_s,
                self.start_at,
            )
            for part in range(processes)
        ]
        self._running = [self._pool.submit(send, each) for each in shares]

    def wait(self) -> list[Document]:
        """Every request's record, in order of arrival."""
        found = [row for each in self._running for row in each.result()]
        self._pool.shutdown()
        return sorted(found, key=lambda row: row["number"])


def send(share: Share) -> list[Document]:
    """Send a process's share, and wait for the answers."""
    workload = _load_work.Workload(share.seed, share.per_s, share.only)
    mine = workload.arrivals(share.seconds)[share.part :: share.parts]
    customers = _load_calls.Customers(share.entries, share.patience_s)
    # Pauses of the collector would show as latency of the system.
    gc.freeze()
    gc.disable()
    with futures.ThreadPoolExecutor(THREADS_MAX) as pool:
        sent = [
            pool.submit(customers.send, each, _wait_for(share, each))
            for each in mine
        ]
    return [each.result().document() for each in sent]


def _wait_for(share: Share, arrival: _load_work.Arrival) -> float:
    due = share.start_at + arrival.at_s
    left_s = due - time.monotonic()
    if left_s > 0:
        time.sleep(left_s)
    return due


def _warm(seconds: float) -> None:
    """Hold a process, so that each of the pool's is started."""
    time.sleep(seconds)
