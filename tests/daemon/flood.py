"""Starts requests at a fixed rate without waiting for their answers."""

from concurrent import futures
import itertools
import time
import typing

from tests.daemon import fleet_fixture
from tests.support import answers
from tests.support import caller

THREADS = 300
TOKENS = 20
#: Requests that a slot serves per second. Each request takes TOKENS steps in a
#: batch of four sequences, and the time of four prefills. Engines whose four
#: slots were always full generated 119.9 tokens per second in each of three
#: runs.
REQUESTS_PER_SLOT_PER_S = 1.5
GAP_TIMEOUT_S = 20.0
Answers = list[answers.Answer]


class Flood:
    """A flood of one customer's requests to one entry.

    :param addresses: ``host:port`` of the entry VMs, or of the runners when
        the requests bypass the system.
    :param customer: the customer's name.
    :param entry: the entry's name.
    :param rate_per_s: requests started per second.
    """

    def __init__(
        self,
        addresses: typing.Sequence[str],
        customer: str,
        entry: str,
        rate_per_s: float,
    ) -> None:
        self._addresses = list(addresses)
        self._customer = customer
        self._entry = entry
        self._rate_per_s = rate_per_s
        self._pool = futures.ThreadPoolExecutor(THREADS)
        self._started: list[futures.Future[answers.Answer]] = []

    def run(self, seconds: float) -> Answers:
        """Start requests for some time, then wait for all answers.

        :param seconds: how long requests are started.
        """
        started_at = time.monotonic()
        count = int(seconds * self._rate_per_s)
        for number in range(count):
            wait_s = started_at + number / self._rate_per_s - time.monotonic()
            time.sleep(max(0.0, wait_s))
            self._started.append(self._pool.submit(self._send, number))
        received = [future.result(60.0) for future in self._started]
        self._pool.shutdown()
        return received

    def _send(self, number: int) -> answers.Answer:
        body = {
            "model": self._entry,
            "prompt": f"{self._customer} {self._entry} {number} "
            + "clause " * fleet_fixture.WORDS,
            "max_tokens": TOKENS,
            "stream": True,
        }
        sender = caller.Caller(
            self._addresses,
            fleet_fixture.key_of(self._customer),
            GAP_TIMEOUT_S,
        )
        address = self._addresses[number % len(self._addresses)]
        return sender.stream("/v1/completions", body, address)


def run_together(seconds: float, *floods: Flood) -> list[Answers]:
    """Run floods concurrently.

    :param seconds: how long requests are started.
    :param floods: the floods.
    :returns: the answers of each flood.
    """
    with futures.ThreadPoolExecutor(len(floods)) as pool:
        return list(pool.map(Flood.run, floods, itertools.repeat(seconds)))


def served(received: Answers) -> Answers:
    """The answers of requests that were served completely."""
    return [answer for answer in received if answer.done]
