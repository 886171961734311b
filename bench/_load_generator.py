"""Sends arrivals at their intended times from several worker processes.

The load is open-loop: each request is sent at its intended time, regardless
of the answers to earlier ones. The lag of the generator itself is measured.
"""

from concurrent import futures
import gc
import multiprocessing
import time
import typing

from . import _load_client
from . import _load_workload

START_DELAY_S = 2.0
MAX_THREADS = 1500
#: Above this 99th percentile of lag the generator was too slow, and the
#: latencies that it measured are not valid.
LAG_P99_MAX_S = 0.025
Document = dict[str, typing.Any]


class WorkerTask:
    """Which arrivals one worker process sends, and where.

    :param seed: the seed of the whole run's workload.
    :param only: the kinds of work to send; all if empty.
    :param worker: the index of the worker process. Of every ``workers``
        arrivals the process sends the one with this index.
    :param start_at: the run's start on the monotonic clock, which all
        processes of a machine share.
    """

    __slots__ = (
        "seed",
        "rate_per_s",
        "seconds",
        "only",
        "worker",
        "workers",
        "entries",
        "patience_s",
        "start_at",
    )

    def __init__(
        self,
        seed: int,
        rate_per_s: float,
        seconds: float,
        only: tuple[str, ...],
        worker: int,
        workers: int,
        entries: list[str],
        patience_s: float,
        start_at: float,
    ) -> None:
        self.seed = seed
        self.rate_per_s = rate_per_s
        self.seconds = seconds
        self.only = only
        self.worker = worker
        self.workers = workers
        self.entries = entries
        self.patience_s = patience_s
        self.start_at = start_at


class LoadRun:
    """A load run whose worker processes send in the background.

    :param entries: addresses of some entry VMs.
    :param seed: the seed of the workload.
    :param rate_per_s: the mean arrival rate.
    :param seconds: how long requests are sent for.
    :param processes: the number of worker processes.
    :param patience_s: how long clients retry refused requests, in seconds.
    :param only: the kinds of work to send; all if empty.
    """

    def __init__(
        self,
        entries: list[str],
        seed: int,
        rate_per_s: float,
        seconds: float,
        processes: int = 2,
        patience_s: float = 0.0,
        only: tuple[str, ...] = (),
    ) -> None:
        context = multiprocessing.get_context("spawn")
        self._pool = futures.ProcessPoolExecutor(processes, context)
        warm_ups = [
            self._pool.submit(_occupy_worker, 0.5) for _ in range(processes)
        ]
        futures.wait(warm_ups)
        self.start_at = time.monotonic() + START_DELAY_S
        tasks = [
            WorkerTask(
                seed,
                rate_per_s,
                seconds,
                only,
                worker,
                processes,
                entries,
                patience_s,
                self.start_at,
            )
            for worker in range(processes)
        ]
        self._futures = [self._pool.submit(run_worker, each) for each in tasks]

    def wait(self) -> list[Document]:
        """Wait for all answers.

        :returns: the record of each request, in order of arrival.
        """
        records = [row for each in self._futures for row in each.result()]
        self._pool.shutdown()
        return sorted(records, key=lambda row: row["number"])


def run_worker(task: WorkerTask) -> list[Document]:
    """Send the arrivals of one worker and wait for the answers.

    :returns: the record of each request that the worker sent.
    """
    workload = _load_workload.Workload(task.seed, task.rate_per_s, task.only)
    own_arrivals = workload.arrivals(task.seconds)[task.worker :: task.workers]
    clients = _load_client.CustomerClients(task.entries, task.patience_s)
    # Pauses of the garbage collector would count as latency of the system.
    gc.freeze()
    gc.disable()
    with futures.ThreadPoolExecutor(MAX_THREADS) as pool:
        pending = [
            pool.submit(clients.send, each, _sleep_until_due(task, each))
            for each in own_arrivals
        ]
    return [each.result().as_record() for each in pending]


def _sleep_until_due(
    task: WorkerTask, arrival: _load_workload.Arrival
) -> float:
    due_at = task.start_at + arrival.at_s
    left_s = due_at - time.monotonic()
    if left_s > 0:
        time.sleep(left_s)
    return due_at


def _occupy_worker(seconds: float) -> None:
    """Occupy a worker, so that the pool starts all its processes."""
    time.sleep(seconds)
