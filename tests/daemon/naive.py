"""What callers would do without the system."""

from concurrent import futures
import re

from tests.daemon import scene
from tests.support import answers
from tests.support import caller

_REPLAYED = re.compile(r"event=stream_replayed .*?tokens=(\d+)")


class DirectStreams:
    """Callers that stream from one runner themselves and never recover.

    :param address: ``host:port`` of the runner.
    """

    def __init__(self, address: str, count: int, tokens: int) -> None:
        self._pool = futures.ThreadPoolExecutor(count)
        self._running = [
            self._pool.submit(self._one, address, number, tokens)
            for number in range(count)
        ]

    def results(self) -> list[answers.Answer]:
        """What each caller got."""
        return [each.result(30.0) for each in self._running]

    def close(self) -> None:
        """Wait for the threads."""
        self._pool.shutdown(wait=True)

    @staticmethod
    def _one(address: str, number: int, tokens: int) -> answers.Answer:
        body = {
            "model": "m",
            "prompt": f"mandate {number}",
            "max_tokens": tokens,
            "stream": True,
        }
        one = caller.Caller([address], "none", 5.0, 3.0)
        return one.stream("/v1/completions", body, address)


def lost_tokens(log: str) -> int:
    """Tokens that dead runners had computed for streams they broke.

    That is what sending each request again would compute anew.

    :param log: of the entry VMs; names the tokens sent before each break.
    """
    broken = [int(tokens) for tokens in _REPLAYED.findall(log)]
    return sum(broken) + scene.PROMPT_TOKENS * len(broken)
