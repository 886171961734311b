"""Callers that use the runners directly, without entry VMs."""

from concurrent import futures
import re

from tests.daemon import fleet_fixture
from tests.support import answers
from tests.support import caller

_REPLAYED = re.compile(r"event=stream_replayed .*?tokens=(\d+)")


class DirectStreams:
    """Callers that stream from one runner directly and never retry.

    :param address: ``host:port`` of the runner.
    :param count: how many callers.
    :param tokens: length of each answer, in tokens.
    """

    def __init__(self, address: str, count: int, tokens: int) -> None:
        self._pool = futures.ThreadPoolExecutor(count)
        self._futures = [
            self._pool.submit(self._stream, address, number, tokens)
            for number in range(count)
        ]

    def results(self) -> list[answers.Answer]:
        """The answer of each caller."""
        return [future.result(30.0) for future in self._futures]

    def close(self) -> None:
        """Wait for the callers to end."""
        self._pool.shutdown(wait=True)

    @staticmethod
    def _stream(address: str, number: int, tokens: int) -> answers.Answer:
        body = {
            "model": "m",
            "prompt": f"mandate {number}",
            "max_tokens": tokens,
            "stream": True,
        }
        sender = caller.Caller([address], "none", 5.0, 3.0)
        return sender.stream("/v1/completions", body, address)


def lost_tokens(log: str) -> int:
    """Number of tokens that crashed runners had computed for lost streams.

    A caller that sends each request again from the start recomputes all of
    them.

    :param log: the log of the entry VMs, which states how many tokens of a
        stream were sent before each of its replays.
    """
    tokens_before_replay = [int(tokens) for tokens in _REPLAYED.findall(log)]
    return sum(tokens_before_replay) + fleet_fixture.PROMPT_TOKENS * len(
        tokens_before_replay
    )
