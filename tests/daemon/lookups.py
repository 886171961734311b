"""Idempotent calls of a plain service, each with a unique answer."""

from concurrent import futures
import itertools

from tests.daemon import fleet_fixture
from tests.support import answers

THREADS = 64


class Lookups:
    """Makes lookups and checks that each caller got its own answer.

    :param fixture: the fleet that serves the lookups.
    """

    def __init__(self, fixture: fleet_fixture.FleetFixture) -> None:
        self._fixture = fixture
        self._numbers = itertools.count()
        self._callers = [
            fixture.caller(customer) for customer in fleet_fixture.CUSTOMERS
        ]
        self._pool = futures.ThreadPoolExecutor(THREADS)
        self._started: list[tuple[int, futures.Future[answers.Answer]]] = []

    def close(self) -> None:
        """Cancel waiting lookups and wait for the running ones."""
        self._pool.shutdown(wait=True, cancel_futures=True)

    def start(self, count: int) -> None:
        """Start lookups, each with a unique path."""
        for number in itertools.islice(self._numbers, count):
            future = self._pool.submit(self._look_up, number)
            self._started.append((number, future))

    def problems(self, within_s: float) -> list[str]:
        """Wait for all answers and describe those that are wrong.

        :param within_s: the longest time that an answer may take.
        :returns: one line for each wrong or late answer.
        """
        received = [
            (number, future.result(60.0)) for number, future in self._started
        ]
        self._started = []
        return [
            f"{number}: {problem}"
            for number, answer in received
            if (problem := _problem(number, answer, within_s))
        ]

    def repeat_all(self) -> None:
        """Start all lookups made so far again."""
        count = next(self._numbers)
        self._numbers = itertools.count()
        self.start(count)

    def _look_up(self, number: int) -> answers.Answer:
        caller = self._callers[number % len(self._callers)]
        return caller.call_service(
            fleet_fixture.SERVICE_ENTRY, "GET", _path(number)
        )


def _path(number: int) -> str:
    return f"/lookups/{number}"


def _problem(number: int, answer: answers.Answer, within_s: float) -> str:
    if not answer.done:
        return f"{answer.status} {answer.error} after {answer.total_s:.1f} s"
    payload = answer.payload
    if (payload["path"], payload["request"]) != (
        _path(number),
        answer.request_id,
    ):
        return f"the answer to another lookup: {payload}"
    if answer.total_s > within_s:
        return f"took {answer.total_s:.1f} s"
    return ""
