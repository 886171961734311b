"""A request that crashes the engines it meets, and what becomes of it."""

from concurrent import futures
import typing

from standins import _batch_scheduler
from tests.daemon import scene
from tests.support import answers
from tests.support import http

WORD = "poison"
BODY = {
    "model": scene.MODEL_ENTRY,
    "prompt": f"mandate with {WORD} " + "clause " * scene.WORDS,
    "max_tokens": 20,
    "stream": True,
}
SOME_TOKENS = 5
PATIENCE_S = 30.0


class Poison:
    """Sends the request and remembers each answer.

    :param running: the fleet.
    """

    def __init__(self, running: scene.Scene, after_tokens: int) -> None:
        self._scene = running
        self.sent: list[answers.Answer] = []
        for name in running.engines:
            running.fleet.faults(
                name, crash_on=WORD, crash_after_tokens=after_tokens
            )

    def send(self, vm: str, customer: str = "ana") -> answers.Answer:
        """Send it once to one entry VM, without following moves."""
        one = self._scene.caller(customer)
        address = self._scene.fleet.address(vm)
        answer = one.stream("/v1/completions", BODY, address)
        self.sent.append(answer)
        return answer

    def by_turns(self, times: int) -> None:
        """Send it to one entry VM after another."""
        for number in range(times):
            vms = self._scene.vms
            self.send(vms[number % len(vms)])

    def at_once(self, callers: int, times: int) -> None:
        """Several callers send it, each to its own entry VM."""
        vms = self._scene.vms
        with futures.ThreadPoolExecutor(callers) as pool:
            for _ in range(times):
                list(pool.map(self.send, vms[:callers]))

    def naive(self) -> None:
        """Send it to each engine in turn, as a caller without us would."""
        for name in self._scene.engines:
            address = self._scene.fleet.address(name)
            try:
                http.call(address, "POST", "/v1/completions", BODY)
            except (OSError, http.http.client.HTTPException):
                continue

    def disarm(self) -> None:
        """Let the living engines serve it."""
        for name in self.living():
            self._scene.fleet.faults(name, crash_on="")

    def living(self) -> list[str]:
        """The engines that run."""
        running = self._scene.fleet
        return [e for e in self._scene.engines if running.process(e).running]

    def crashed(self) -> list[str]:
        """The engines that it has crashed."""
        running = self._scene.fleet
        return [
            name
            for name in self._scene.engines
            if running.process(name).exit_code
            == _batch_scheduler.CRASH_EXIT_CODE
        ]

    def lies(self) -> list[typing.Any]:
        """Answers of ``Executed: no`` to what an engine has begun."""
        begun = self._scene.fleet.journals()
        return [
            answer.error
            for answer in self.sent
            if answer.executed == "no" and answer.request_id in begun
        ]
