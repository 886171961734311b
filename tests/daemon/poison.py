"""A request that crashes the engines that run it, and its answers."""

from concurrent import futures
import typing

from standins import _batch_scheduler
from tests.daemon import fleet_fixture
from tests.support import answers
from tests.support import http

CRASH_WORD = "poison"
BODY = {
    "model": fleet_fixture.MODEL_ENTRY,
    "prompt": f"mandate with {CRASH_WORD} " + "clause " * fleet_fixture.WORDS,
    "max_tokens": 20,
    "stream": True,
}
SOME_TOKENS = 5
PATIENCE_S = 30.0


class Poison:
    """Sends the request and keeps each answer.

    :param fixture: the fleet.
    :param after_tokens: number of tokens after which an engine crashes.
    """

    def __init__(
        self, fixture: fleet_fixture.FleetFixture, after_tokens: int
    ) -> None:
        self._fixture = fixture
        self.sent: list[answers.Answer] = []
        for name in fixture.engines:
            fixture.fleet.set_faults(
                name, crash_on=CRASH_WORD, crash_after_tokens=after_tokens
            )

    def send(self, vm: str, customer: str = "ana") -> answers.Answer:
        """Send the request once to an entry VM; redirects are not followed."""
        client = self._fixture.caller(customer)
        address = self._fixture.fleet.address(vm)
        answer = client.stream("/v1/completions", BODY, address)
        self.sent.append(answer)
        return answer

    def send_in_turn(self, times: int) -> None:
        """Send the request to one entry VM after another."""
        for number in range(times):
            vms = self._fixture.vms
            self.send(vms[number % len(vms)])

    def send_variants(self, times: int, in_message: bool) -> None:
        """Send requests with the poison in a common part of their prompts.

        :param in_message: whether the part is a message of a chat, in place
            of the beginning of a text.
        """
        client = self._fixture.caller("ana")
        for number in range(times):
            vms = self._fixture.vms
            address = self._fixture.fleet.address(vms[number % len(vms)])
            path, body = _variant(number, in_message, CRASH_WORD)
            self.sent.append(client.stream(path, body, address))

    def send_sound_variant(self) -> answers.Answer:
        """Send a chat like those with the poison, but without it."""
        client = self._fixture.caller("ana")
        address = self._fixture.fleet.address(self._fixture.vms[0])
        path, body = _variant(0, True, "nothing")
        return client.stream(path, body, address)

    def send_concurrently(self, callers: int, times: int) -> None:
        """Send the request from several callers, each to its own entry VM."""
        vms = self._fixture.vms
        with futures.ThreadPoolExecutor(callers) as pool:
            for _ in range(times):
                list(pool.map(self.send, vms[:callers]))

    def send_to_each_engine(self) -> None:
        """Send the request to each engine, as a caller without the system."""
        for name in self._fixture.engines:
            address = self._fixture.fleet.address(name)
            try:
                http.call(address, "POST", "/v1/completions", BODY)
            except (OSError, http.http.client.HTTPException):
                continue

    def disarm(self) -> None:
        """Make the request harmless to the engines that still run."""
        for name in self.running_engines():
            self._fixture.fleet.set_faults(name, crash_on="")

    def running_engines(self) -> list[str]:
        """The engines that still run."""
        fleet = self._fixture.fleet
        return [
            name
            for name in self._fixture.engines
            if fleet.process(name).running
        ]

    def crashed(self) -> list[str]:
        """The engines that the request has crashed."""
        fleet = self._fixture.fleet
        return [
            name
            for name in self._fixture.engines
            if fleet.process(name).exit_code
            == _batch_scheduler.CRASH_EXIT_CODE
        ]

    def false_denials(self) -> list[typing.Any]:
        """Errors reported as not executed although an engine began to run."""
        journals = self._fixture.fleet.total_execution_counts()
        return [
            answer.error
            for answer in self.sent
            if answer.executed == "no" and answer.request_id in journals
        ]


def _variant(
    number: int, in_message: bool, word: str
) -> tuple[str, dict[str, typing.Any]]:
    """A request whose prompt has a part in common with others.

    :returns: path and body.
    """
    common = f"mandate with {word} " + "clause " * fleet_fixture.WORDS
    own = f"number {number} " + "word " * fleet_fixture.WORDS
    body = {key: value for key, value in BODY.items() if key != "prompt"}
    if not in_message:
        return "/v1/completions", {**body, "prompt": f"{common} {own}"}
    messages = [
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": common},
        {"role": "user", "content": own},
    ]
    return "/v1/chat/completions", {**body, "messages": messages}
