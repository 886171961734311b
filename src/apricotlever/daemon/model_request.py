"""One model request on its way, and where its answer comes from."""

import threading
import typing

from .. import clock as clocks
from ..catalogue import model as catalogues
from ..links import openai_format
from ..requests import recovery
from ..runners import model as runners
from ..runners import prefix

from . import transcripts


class ModelRequest:
    """What the tasks need to know about one model request.

    The thread that reads the runner owns it. Other threads only call
    :meth:`notice` and :meth:`move`, which wake the owner.

    :param request_id: unguessable, minted by the entry VM it came to.
    :param customer: name of the customer.
    :param entry: the catalogue entry it is for.
    :param service_class: the class of the entry.
    :param request: the caller's request.
    :param body: the caller's body, as it came; empty when only the stream
        is known, after the entry VM that had the request died.
    :param fingerprint: names the request across the fleet.
    :param deadline: when the answer is worthless, on this VM's clock.
    """

    __slots__ = (
        "request_id",
        "customer",
        "entry",
        "service_class",
        "request",
        "body",
        "fingerprint",
        "deadline",
        "arrived",
        "transcript",
        "attempt",
        "runner",
        "first_token_at",
        "_clock",
        "_interrupt",
        "_lock",
        "_decision",
        "_moved_to",
        "_cancelled",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        request_id: str,
        customer: str,
        entry: catalogues.Entry,
        service_class: catalogues.ServiceClass,
        request: openai_format.ModelRequest,
        body: bytes,
        fingerprint: str,
        deadline: float,
        transcript: transcripts.Transcript | None = None,
    ) -> None:
        self._clock = clock
        self.request_id = request_id
        self.customer = customer
        self.entry = entry
        self.service_class = service_class
        self.request = request
        self.body = body
        self.fingerprint = fingerprint
        self.deadline = deadline
        self.arrived = clock.now()
        self.transcript = transcript or transcripts.Transcript()
        self.attempt = 0
        self.runner: runners.Runner | None = None
        self.first_token_at: float | None = None
        self._interrupt: typing.Callable[[], None] | None = None
        self._lock = threading.Lock()
        self._decision: recovery.RecoveryDecision | None = None
        self._moved_to = ""
        self._cancelled = False

    @property
    def left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - self._clock.now()

    @property
    def moved_to(self) -> str:
        """``host:port`` of the entry VM that has taken the request over."""
        return self._moved_to

    @property
    def cancelled(self) -> bool:
        """Whether nobody wants the answer any more."""
        return self._cancelled

    @property
    def can_replay(self) -> bool:
        """Whether the request is known here, not just its stream."""
        return bool(self.body)

    @property
    def resume_from(self) -> int:
        """Index of the next token that the caller needs."""
        return len(self.transcript)

    def query(self, excluded: frozenset[str]) -> runners.Query:
        """What the router needs to pick a runner.

        :param excluded: runners that must not be picked.
        """
        request = self.request
        return runners.Query(
            self.entry.name,
            self.entry.pool,
            self.entry.model,
            prefix.block_hashes(self.entry.model, request.prompt),
            request.prompt_tokens + self.resume_from,
            request.max_tokens - self.resume_from,
            self.service_class.priority,
            excluded,
            self.service_class.first_token_s,
        )

    def uses(
        self,
        runner: runners.Runner,
        interrupt: typing.Callable[[], None],
    ) -> None:
        """Say which runner is read now, and how to wake the reader.

        :param runner: the runner.
        :param interrupt: ends the reader's blocked read.
        """
        with self._lock:
            if self.runner is None or self.runner.name != runner.name:
                self._decision = None
            self.runner = runner
            self._interrupt = interrupt
            if self._moved_to or self._cancelled or self._decision:
                interrupt()

    def decide(self, runner: str, decision: recovery.RecoveryDecision) -> bool:
        """The runner will be taken; wake the owner to leave it.

        :param runner: name of the runner; another one in use means that
            the stream has left already, and nothing changes.
        :param decision: where to go.
        :returns: whether the owner will follow the decision.
        """
        with self._lock:
            current = self.runner
            if current is None or current.name != runner or self._decision:
                return False
            self._decision = decision
            self._wake()
            return True

    def take_decision(self) -> recovery.RecoveryDecision | None:
        """What to do after a wake, once; None when nothing was decided."""
        with self._lock:
            decision, self._decision = self._decision, None
            return decision

    def move(self, address: str) -> None:
        """Another entry VM has taken the request over; end here.

        :param address: ``host:port`` for callers of that VM.
        """
        with self._lock:
            self._moved_to = address
            self._wake()

    def cancel(self) -> None:
        """Nobody wants the answer any more; end here."""
        with self._lock:
            self._cancelled = True
            self._wake()

    def _wake(self) -> None:
        if self._interrupt is not None:
            self._interrupt()
