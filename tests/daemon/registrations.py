"""Registrations that are sent again and again, counted at the far end."""

from concurrent import futures
import itertools
import threading
import typing

from standins import _journal
from tests.daemon import scene
from tests.support import answers
from tests.support import http

PATH = "/entries/new"
MINTED = "minted"
OWN = "own"
KINDS = (MINTED, OWN)
VOUCHED = {"Apricotlever-First-Attempt": "yes"}
PATIENCE_S = 15.0
THREADS = 48


class Sending:
    """One sending of a registration and what its caller was told.

    :param ran_before: runs at the far end before this sending.
    """

    __slots__ = ("operation", "ran_before", "answer")

    def __init__(
        self, operation: str, ran_before: int, answer: answers.Answer
    ) -> None:
        self.operation = operation
        self.ran_before = ran_before
        self.answer = answer

    @property
    def told(self) -> str:
        """How it ended for the caller."""
        return "done" if self.answer.done else self.answer.executed


class Registration:
    """One thing to be registered once, under one key."""

    __slots__ = ("operation", "key", "body")

    def __init__(self, operation: str, key: str) -> None:
        self.operation = operation
        self.key = key
        self.body = {"operation": operation}


class Registrations:
    """Sends registrations to entry VMs and remembers every answer.

    :param running: the fleet.
    """

    def __init__(self, running: scene.Scene) -> None:
        self._scene = running
        self._caller = running.caller()
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self._pool = futures.ThreadPoolExecutor(THREADS)
        self._under_way: list[futures.Future[None]] = []
        self.sendings: list[Sending] = []

    def close(self) -> None:
        """Wait for the callers."""
        self._pool.shutdown(wait=True, cancel_futures=True)

    def new(self, kind: str, vm: str = "") -> Registration:
        """A registration with a key of a kind.

        :param vm: that mints the key, if it is a minted one.
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
    ) -> Sending:
        """Send a registration once."""
        before = self.runs().get(registration.operation, 0)
        answer = answers.Answer()
        try:
            reply = http.call(
                self._address(vm),
                "POST",
                f"/v1/services/{scene.SERVICE_ENTRY}{PATH}",
                registration.body,
                {
                    "Authorization": f"Bearer {scene.key_of('ana')}",
                    "Idempotency-Key": registration.key,
                    **(headers or {}),
                },
                PATIENCE_S,
            )
            answers.note_headers(answer, reply.status, reply.headers)
            answer.payload = reply.payload
            answer.done = reply.status == 200
        except http_errors() as error:
            answer.error = repr(error)
        sending = Sending(registration.operation, before, answer)
        with self._lock:
            self.sendings.append(sending)
        return sending

    def begin(self, registration: Registration, vm: str) -> None:
        """Send a registration without waiting for its answer."""
        self._under_way.append(self._pool.submit(self._send, registration, vm))

    def hammer(self, count: int, vms: typing.Sequence[str]) -> None:
        """Many callers, each registration sent everywhere and again."""
        for number in range(count):
            kind = KINDS[number % len(KINDS)]
            registration = self.new(kind, vms[number % len(vms)])
            for vm in (*vms, *vms):
                self.begin(registration, vm)

    def wait(self) -> None:
        """Wait until every sending has its answer."""
        for each in self._under_way:
            each.result(60.0)
        self._under_way = []

    def runs(self) -> dict[str, int]:
        """How often each registration ran, as the services wrote it."""
        return self._journals("")

    def told(self, operation: str) -> list[str]:
        """How each sending of a registration ended for its caller."""
        return [s.told for s in self.sendings if s.operation == operation]

    def doubled(self) -> dict[str, int]:
        """The registrations that ran more than once."""
        return {name: n for name, n in self.runs().items() if n > 1}

    def lies(self) -> list[tuple[str, typing.Any]]:
        """Answers of ``Executed: no`` to what ran, or had run before."""
        requests = self._journals(".requests")
        return [
            (sending.operation, sending.answer.payload)
            for sending in self.sendings
            if sending.answer.executed == "no"
            and (sending.ran_before or sending.answer.request_id in requests)
        ]

    def _send(self, registration: Registration, vm: str) -> None:
        self.send(registration, vm)

    def _journals(self, suffix: str) -> dict[str, int]:
        total: dict[str, int] = {}
        for name in self._scene.services:
            path = f"{self._scene.fleet.journal_path(name)}{suffix}"
            for operation, count in _journal.read_counts(path).items():
                total[operation] = total.get(operation, 0) + count
        return total

    def _address(self, vm: str) -> str:
        return self._scene.fleet.address(vm or self._scene.vms[0])


def http_errors() -> tuple[type[Exception], ...]:
    """What a call raises when it gets no answer."""
    return (OSError, http.http.client.HTTPException)
