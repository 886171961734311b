"""Idempotent calls of a plain service, each with an answer of its own."""

from concurrent import futures
import itertools

from tests.daemon import scene
from tests.support import answers

THREADS = 64


class Lookups:
    """Makes lookups and checks that each caller got its own answer.

    :param running: the fleet.
    """

    def __init__(self, running: scene.Scene) -> None:
        self._scene = running
        self._numbers = itertools.count()
        self._callers = [
            running.caller(customer) for customer in scene.CUSTOMERS
        ]
        self._pool = futures.ThreadPoolExecutor(THREADS)
        self._running: list[tuple[int, futures.Future[answers.Answer]]] = []

    def close(self) -> None:
        """Wait for the callers."""
        self._pool.shutdown(wait=True, cancel_futures=True)

    def begin(self, count: int) -> None:
        """Start lookups, each of a path of its own."""
        for number in itertools.islice(self._numbers, count):
            one = self._pool.submit(self._look, number)
            self._running.append((number, one))

    def problems(self, within_s: float) -> list[str]:
        """What is wrong with any answer, when all have come."""
        done = [(number, one.result(60.0)) for number, one in self._running]
        self._running = []
        return [
            f"{number}: {wrong}"
            for number, answer in done
            if (wrong := _problem(number, answer, within_s))
        ]

    def again(self) -> None:
        """Make the lookups made so far once more."""
        count = next(self._numbers)
        self._numbers = itertools.count()
        self.begin(count)

    def _look(self, number: int) -> answers.Answer:
        one = self._callers[number % len(self._callers)]
        return one.service(scene.SERVICE_ENTRY, "GET", _path(number))


def _path(number: int) -> str:
    return f"/lookups/{number}"


def _problem(number: int, answer: answers.Answer, within_s: float) -> str:
    if not answer.done:
        return f"{answer.status} {answer.error} after {answer.whole_s:.1f} s"
    found = answer.payload
    if (found["path"], found["request"]) != (_path(number), answer.request_id):
        return f"another's answer: {found}"
    if answer.whole_s > within_s:
        return f"took {answer.whole_s:.1f} s"
    return ""
