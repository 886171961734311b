"""The state of a model request that is being executed."""

import threading
import typing

from .. import clock as clocks
from ..catalogue import model as catalogues
from ..links import openai_format
from ..requests import recovery
from ..runners import call_features
from ..runners import model as runners
from ..runners import prefix

from . import transcripts


class ModelRequest:
    """A model request, with the state of its attempts and of its answer.

    The thread that reads the answer owns the object. Other threads may only
    call :meth:`set_decision`, :meth:`mark_moved` and :meth:`cancel`, which
    interrupt the owner's blocked read.

    :param clock: the source of time.
    :param request_id: an ID that can't be guessed, created by the entry VM
        that received the request.
    :param customer: name of the customer.
    :param entry: the catalogue entry that the request names.
    :param service_class: the class of the entry.
    :param completion_request: the caller's request, parsed.
    :param body: the caller's request body, as received; empty when only the
        stream is known because the entry VM that held the request has ended.
    :param features: what the request has in common with others.
    :param deadline: the time on this VM's clock after which the caller no
        longer needs the answer.
    :param transcript: the answer so far; None for a new request.
    """

    __slots__ = (
        "request_id",
        "customer",
        "entry",
        "service_class",
        "completion_request",
        "body",
        "features",
        "deadline",
        "arrived_at",
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
        completion_request: openai_format.ModelRequest,
        body: bytes,
        features: call_features.CallFeatures,
        deadline: float,
        transcript: transcripts.Transcript | None = None,
    ) -> None:
        self._clock = clock
        self.request_id = request_id
        self.customer = customer
        self.entry = entry
        self.service_class = service_class
        self.completion_request = completion_request
        self.body = body
        self.features = features
        self.deadline = deadline
        self.arrived_at = clock.now()
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
        """Whether the request was cancelled because no caller reads it."""
        return self._cancelled

    @property
    def can_replay(self) -> bool:
        """Whether this VM holds the request body needed to start again."""
        return bool(self.body)

    @property
    def resume_from(self) -> int:
        """Index of the next token that the caller needs."""
        return len(self.transcript)

    def query(self, excluded: frozenset[str]) -> runners.Query:
        """The query by which the router chooses a runner.

        :param excluded: names of runners that must not be chosen.
        """
        request = self.completion_request
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

    def set_runner(
        self,
        runner: runners.Runner,
        interrupt: typing.Callable[[], None],
    ) -> None:
        """Record the runner that the owner reads from.

        A pending decision about another runner is dropped. The read is
        interrupted at once when the request has been moved or cancelled, or
        a decision about this runner is pending.

        :param runner: the runner.
        :param interrupt: ends a blocked read from the runner.
        """
        with self._lock:
            if self.runner is None or self.runner.name != runner.name:
                self._decision = None
            self.runner = runner
            self._interrupt = interrupt
            if self._moved_to or self._cancelled or self._decision:
                interrupt()

    def set_decision(
        self, runner: str, decision: recovery.RecoveryDecision
    ) -> bool:
        """Tell the owner to leave a runner that will be reclaimed.

        Nothing changes when the stream has left the runner already, or when
        a decision is pending.

        :param runner: name of the runner.
        :param decision: how to continue the stream.
        :returns: whether the owner will carry out the decision.
        """
        with self._lock:
            current = self.runner
            if current is None or current.name != runner or self._decision:
                return False
            self._decision = decision
            self._interrupt_read()
            return True

    def take_decision(self) -> recovery.RecoveryDecision | None:
        """Return and clear the pending decision; None when there is none."""
        with self._lock:
            decision, self._decision = self._decision, None
            return decision

    def mark_moved(self, address: str) -> None:
        """End the request here because another entry VM has taken it over.

        :param address: ``host:port`` of that VM for callers.
        """
        with self._lock:
            self._moved_to = address
            self._interrupt_read()

    def cancel(self) -> None:
        """End the request because no caller reads its answer."""
        with self._lock:
            self._cancelled = True
            self._interrupt_read()

    def _interrupt_read(self) -> None:
        if self._interrupt is not None:
            self._interrupt()
