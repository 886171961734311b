"""Sends registrations repeatedly and counts how often they ran."""

from concurrent import futures
import itertools
import threading
import typing

from standins import _journal
from tests.daemon import fleet_fixture
from tests.support import answers
from tests.support import http

PATH = "/entries/new"
MINTED = "minted"
OWN = "own"
KINDS = (MINTED, OWN)
FIRST_ATTEMPT = {"Apricotlever-First-Attempt": "yes"}
TIMEOUT_S = 15.0
THREADS = 48


class SentCall:
    """One attempt at a registration and the answer to its caller.

    :param operation: the registration's operation.
    :param ran_before: how often the services had run it before this attempt.
    :param answer: the answer to the caller.
    """

    __slots__ = ("operation", "ran_before", "answer")

    def __init__(
        self, operation: str, ran_before: int, answer: answers.Answer
    ) -> None:
        self.operation = operation
        self.ran_before = ran_before
        self.answer = answer

    @property
    def reported_outcome(self) -> str:
        """``done``, or the executed value that the caller was told."""
        return "done" if self.answer.done else self.answer.executed


class Registration:
    """One operation that must run at most once, under one key."""

    __slots__ = ("operation", "key", "body")

    def __init__(self, operation: str, key: str) -> None:
        self.operation = operation
        self.key = key
        self.body = {"operation": operation}


class Registrations:
    """Sends registrations to entry VMs and keeps every answer.

    :param fixture: the fleet under test.
    """

    def __init__(self, fixture: fleet_fixture.FleetFixture) -> None:
        self._fixture = fixture
        self._caller = fixture.caller()
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._pool = futures.ThreadPoolExecutor(THREADS)
        self._in_progress: list[futures.Future[None]] = []
        self.sent_calls: list[SentCall] = []

    def close(self) -> None:
        """Cancel waiting calls and wait for the running ones."""
        self._pool.shutdown(wait=True, cancel_futures=True)

    def new(self, kind: str, vm: str = "") -> Registration:
        """A new registration with a new key.

        :param kind: ``MINTED`` or ``OWN``, the kind of key.
        :param vm: the entry VM that mints a ``MINTED`` key; the first one if
            empty.
        """
        number = next(self._numbers)
        key = f"counter-{number}"
        if kind == MINTED:
            [key] = self._caller.mint_keys(address=self._address(vm))
        return Registration(f"{kind}-{number}", key)

    def send(
        self,
        registration: Registration,
        vm: str,
        headers: dict[str, str] | None = None,
    ) -> SentCall:
        """Send a registration and wait for its answer.

        :param registration: the registration.
        :param vm: the entry VM that receives the call.
        :param headers: added to the call's headers.
        """
        ran_before = self.runs().get(registration.operation, 0)
        answer = answers.Answer()
        try:
            reply = http.call(
                self._address(vm),
                "POST",
                f"/v1/services/{fleet_fixture.SERVICE_ENTRY}{PATH}",
                registration.body,
                {
                    "Authorization": f"Bearer {fleet_fixture.key_of('ana')}",
                    "Idempotency-Key": registration.key,
                    **(headers or {}),
                },
                TIMEOUT_S,
            )
            answers.record_headers(answer, reply.status, reply.headers)
            answer.payload = reply.payload
            answer.done = reply.status == 200
        except http_errors() as error:
            answer.error = repr(error)
        sent_call = SentCall(registration.operation, ran_before, answer)
        with self._lock:
            self.sent_calls.append(sent_call)
        return sent_call

    def start_sending(self, registration: Registration, vm: str) -> None:
        """Send a registration without waiting for its answer."""
        self._in_progress.append(
            self._pool.submit(self._send, registration, vm)
        )

    def send_everywhere(self, count: int, vms: typing.Sequence[str]) -> None:
        """Start sending new registrations, each one twice to every entry VM.

        :param count: how many registrations.
        :param vms: the entry VMs.
        """
        for number in range(count):
            kind = KINDS[number % len(KINDS)]
            registration = self.new(kind, vms[number % len(vms)])
            for vm in (*vms, *vms):
                self.start_sending(registration, vm)

    def wait(self) -> None:
        """Wait until every started call has its answer."""
        for future in self._in_progress:
            future.result(60.0)
        self._in_progress = []

    def runs(self) -> dict[str, int]:
        """How often each registration ran, from the services' journals."""
        return self._journals("")

    def reported_outcomes(self, operation: str) -> list[str]:
        """The outcome that each attempt at a registration was told."""
        return [
            sent_call.reported_outcome
            for sent_call in self.sent_calls
            if sent_call.operation == operation
        ]

    def executed_repeatedly(self) -> dict[str, int]:
        """The registrations that ran more than once."""
        return {name: n for name, n in self.runs().items() if n > 1}

    def false_denials(self) -> list[tuple[str, typing.Any]]:
        """Answers with ``Executed: no`` to registrations that have run.

        :returns: the operation and the payload of each such answer.
        """
        requests = self._journals(".requests")
        return [
            (sent_call.operation, sent_call.answer.payload)
            for sent_call in self.sent_calls
            if sent_call.answer.executed == "no"
            and (
                sent_call.ran_before or sent_call.answer.request_id in requests
            )
        ]

    def _send(self, registration: Registration, vm: str) -> None:
        self.send(registration, vm)

    def _journals(self, suffix: str) -> dict[str, int]:
        total: dict[str, int] = {}
        for name in self._fixture.services:
            path = f"{self._fixture.fleet.journal_path(name)}{suffix}"
            for operation, count in _journal.read_counts(path).items():
                total[operation] = total.get(operation, 0) + count
        return total

    def _address(self, vm: str) -> str:
        return self._fixture.fleet.address(vm or self._fixture.vms[0])


def http_errors() -> tuple[type[Exception], ...]:
    """The exceptions that a call without an answer raises."""
    return (OSError, http.http.client.HTTPException)
