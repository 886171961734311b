"""Callers that use the runners directly, without the system."""

from concurrent import futures
import re

from tests.daemon import scene
from tests.support import answers
from tests.support import caller

_REPLAYED = re.compile(r"event=stream_replayed .*?tokens=(\d+)")


class DirectStreams:
    """Callers that stream from one runner directly and never recover.

    :param address: ``host:port`` of the runner.
    :param count: how many callers.
    :param tokens: length of each answer, in tokens.
    """

    def __init__(self, address: str, count: int, tokens: int) -> None:
        self._pool = futures.ThreadPoolExecutor(count)
        self._running = [
            self._pool.submit(self._stream, address, number, tokens)
            for number in range(count)
        ]

    def results(self) -> list[answers.Answer]:
        """The answer of each caller."""
        return [future.result(30.0) for future in self._running]

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
    """Tokens that ended runners had computed for the streams they lost.

    Without recovery, sending each request again would recompute all of them.

    :param log: log of the entry VMs, which has the number of tokens sent
        before each replay of a stream.
    """
    sent_before = [int(tokens) for tokens in _REPLAYED.findall(log)]
    return sum(sent_before) + scene.PROMPT_TOKENS * len(sent_before)
