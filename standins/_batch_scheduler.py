"""Continuous batching for the engine stand-in, on one scheduler thread.

The duration of a step is a fixed time, plus a time per running sequence, plus
a time per prompt token prefilled in the step. After each step every running
sequence whose prefill is complete has one more token.
"""

import collections
import heapq
import itertools
import os
import threading
import time
import typing

from . import _deterministic_tokens
from . import _load_history
from . import _prefix_cache
from . import _sequence

CRASH_EXIT_CODE = 70
IDLE_WAIT_S = 0.25


class SchedulerConfig:
    """Duration and capacity of the scheduler's steps.

    :param slots: how many sequences can run at the same time.
    :param step_s: fixed duration of a step in seconds.
    :param step_s_per_sequence: seconds added to a step for each running
        sequence.
    :param prefill_s_per_token: seconds added to a step for each token
        prefilled in it.
    :param prefill_chunk_tokens: maximum number of tokens prefilled in a step.
    :param linger_s: how long a sequence without a reader is kept, in seconds.
    """

    __slots__ = (
        "slots",
        "step_s",
        "step_s_per_sequence",
        "prefill_s_per_token",
        "prefill_chunk_tokens",
        "linger_s",
    )

    def __init__(
        self,
        slots: int = 16,
        step_s: float = 0.015,
        step_s_per_sequence: float = 0.0003,
        prefill_s_per_token: float = 0.0001,
        prefill_chunk_tokens: int = 256,
        linger_s: float = 10.0,
    ) -> None:
        self.slots = slots
        self.step_s = step_s
        self.step_s_per_sequence = step_s_per_sequence
        self.prefill_s_per_token = prefill_s_per_token
        self.prefill_chunk_tokens = prefill_chunk_tokens
        self.linger_s = linger_s


class BatchScheduler:
    """Queues sequences by priority and runs them in a limited number of slots.

    A sequence that has had no reader for ``linger_s`` seconds is cancelled
    and removed.

    :param cache: the prefix cache; :attr:`lock` guards it.
    :param slowdown: returns the factor by which each step takes longer.
    """

    __slots__ = (
        "_config",
        "_cache",
        "_slowdown",
        "_lock",
        "_sequences",
        "_queue",
        "_arrival_numbers",
        "_running",
        "_token_totals",
        "_recomputed_by_request",
        "_load_history",
        "_closing",
    )

    def __init__(
        self,
        config: SchedulerConfig,
        cache: _prefix_cache.PrefixCache,
        slowdown: typing.Callable[[], float],
    ) -> None:
        self._config = config
        self._cache = cache
        self._slowdown = slowdown
        self._lock = threading.Condition()
        self._sequences: dict[str, _sequence.Sequence] = {}
        self._queue: list[tuple[int, int, _sequence.Sequence]] = []
        self._arrival_numbers = itertools.count()
        self._running: list[_sequence.Sequence] = []
        self._token_totals: collections.Counter[str] = collections.Counter()
        self._recomputed_by_request: collections.Counter[str] = (
            collections.Counter()
        )
        self._load_history = _load_history.LoadHistory(self._current_load)
        self._closing = False

    @property
    def lock(self) -> threading.Condition:
        """The lock that guards the sequences and the cache."""
        return self._lock

    @property
    def waiting_count(self) -> int:
        """Number of queued sequences that have no slot yet."""
        return sum(
            sequence.state == _sequence.WAITING
            for _, _, sequence in self._queue
        )

    def counts(self) -> dict[str, typing.Any]:
        """Totals of tokens, and recomputed tokens by request ID."""
        with self._lock:
            totals = {
                name: self._token_totals[name]
                for name in ("prefilled_total", "cached_total")
            }
            return {
                **totals,
                "generated_total": self._token_totals["generated_total"],
                "recomputed": dict(self._recomputed_by_request),
                "recomputed_total": sum(self._recomputed_by_request.values()),
                "evicted_recomputed": self._cache.evicted_recomputed,
            }

    def clear_counts(self) -> None:
        """Reset all counters."""
        with self._lock:
            self._token_totals.clear()
            self._recomputed_by_request.clear()
            self._cache.clear_counts()

    def submit(self, sequence: _sequence.Sequence) -> None:
        """Queue a sequence and cancel an older one of the same request."""
        with self._lock:
            request_id = sequence.request.request_id
            self._end_sequence(request_id, _sequence.CANCELLED)
            self._sequences[request_id] = sequence
            entry = (
                -sequence.request.priority,
                next(self._arrival_numbers),
                sequence,
            )
            heapq.heappush(self._queue, entry)
            self._lock.notify_all()

    def find_sequence(self, request_id: str) -> _sequence.Sequence | None:
        """The latest sequence of a request; None once it is removed."""
        return self._sequences.get(request_id)

    def end_sequence(
        self, request_id: str, state: str
    ) -> _sequence.Sequence | None:
        """End the latest sequence of a request.

        :param state: the final state to set.
        :returns: the sequence, or None if it is unknown or already has
            another final state. A sequence that already has the final state
            ``state`` is returned unchanged.
        """
        with self._lock:
            return self._end_sequence(request_id, state)

    def store_blocks(self, blocks: list[int]) -> None:
        """Store imported blocks in the cache."""
        with self._lock:
            self._cache.store(blocks, computed=False)

    def load(self, lag_s: float) -> dict[str, typing.Any]:
        """The load as it was ``lag_s`` seconds ago."""
        with self._lock:
            if not self._running:
                self._load_history.take_snapshot()
            return self._load_history.load(lag_s)

    def start(self) -> None:
        """Start the scheduler on a daemon thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """Tell the scheduler thread to exit, without waiting for it."""
        with self._lock:
            self._closing = True
            self._lock.notify_all()

    def _run(self) -> None:
        due = time.monotonic()
        while not self._closing:
            with self._lock:
                now = time.monotonic()
                self._cancel_unread(now)
                self._fill_slots()
                self._load_history.take_snapshot()
                if not self._running:
                    self._lock.wait(IDLE_WAIT_S)
                    due = time.monotonic()
                    continue
                step_duration_s = self._prefill_chunk() * self._slowdown()
            due = max(due + step_duration_s, now)
            time.sleep(max(0.0, due - time.monotonic()))
            with self._lock:
                self._generate_tokens()

    def _cancel_unread(self, now: float) -> None:
        linger_s = self._config.linger_s
        unread = [
            (request_id, sequence)
            for request_id, sequence in self._sequences.items()
            if sequence.unread_s(now) > linger_s
        ]
        for request_id, sequence in unread:
            self._end_sequence(request_id, _sequence.CANCELLED)
            del self._sequences[request_id]

    def _fill_slots(self) -> None:
        while self._queue and len(self._running) < self._config.slots:
            sequence = heapq.heappop(self._queue)[2]
            if sequence.state == _sequence.WAITING:
                self._start_sequence(sequence)

    def _start_sequence(self, sequence: _sequence.Sequence) -> None:
        sequence.state = _sequence.RUNNING
        self._running.append(sequence)
        cached_blocks = self._cache.match_prefix(sequence.initial_blocks)
        sequence.pinned_blocks = self._cache.pin(
            sequence.initial_blocks[:cached_blocks]
        )
        if sequence.prefilled:
            return
        context_tokens = sequence.prompt_token_count + len(sequence.tokens)
        cached_tokens = min(
            context_tokens, cached_blocks * _deterministic_tokens.BLOCK_TOKENS
        )
        sequence.prefill_remaining = context_tokens - cached_tokens
        self._token_totals["cached_total"] += cached_tokens
        if sequence.is_repeat:
            request_id = sequence.request.request_id
            self._recomputed_by_request[
                request_id
            ] += sequence.prefill_remaining

    def _prefill_chunk(self) -> float:
        """Prefill the running sequences with the tokens of one step.

        :returns: the duration of the whole step in seconds.
        """
        chunk_remaining = self._config.prefill_chunk_tokens
        for sequence in self._running:
            taken = min(chunk_remaining, sequence.prefill_remaining)
            sequence.prefill_remaining -= taken
            chunk_remaining -= taken
        taken = self._config.prefill_chunk_tokens - chunk_remaining
        self._token_totals["prefilled_total"] += taken
        return (
            self._config.step_s
            + self._config.step_s_per_sequence * len(self._running)
            + self._config.prefill_s_per_token * taken
        )

    def _generate_tokens(self) -> None:
        generating = [
            sequence
            for sequence in self._running
            if not sequence.prefill_remaining
        ]
        for sequence in generating:
            if not sequence.prefilled:
                self._finish_prefill(sequence)
            if not sequence.is_complete:
                sequence.generate_token()
                self._token_totals["generated_total"] += 1
            if sequence.crash_after_tokens is not None:
                _crash_if_due(sequence)
            if sequence.is_complete:
                self._remove_sequence(sequence, _sequence.DONE)
        self._load_history.record_tokens(len(generating))

    def _finish_prefill(self, sequence: _sequence.Sequence) -> None:
        sequence.prefilled = True
        self._cache.unpin(sequence.pinned_blocks)
        self._cache.store(sequence.initial_blocks)
        sequence.pinned_blocks = self._cache.pin(sequence.initial_blocks)

    def _remove_sequence(
        self, sequence: _sequence.Sequence, state: str
    ) -> None:
        if sequence in self._running:
            self._running.remove(sequence)
        self._cache.unpin(sequence.pinned_blocks)
        sequence.pinned_blocks = []
        if sequence.prefilled:
            self._cache.store(sequence.current_blocks())
        sequence.end(state)

    def _end_sequence(
        self, request_id: str, state: str
    ) -> _sequence.Sequence | None:
        sequence = self._sequences.get(request_id)
        if sequence is None:
            return None
        # A sequence whose last token is generated can still be exported: its
        # client may not have read all of the answer.
        exports_done = (state, sequence.state) == (
            _sequence.EXPORTED,
            _sequence.DONE,
        )
        if sequence.state in _sequence.ACTIVE_STATES or exports_done:
            self._remove_sequence(sequence, state)
        return sequence if sequence.state == state else None

    def _current_load(self) -> dict[str, typing.Any]:
        return {
            "running": len(self._running),
            "waiting": self.waiting_count,
            "slots": self._config.slots,
            "blocks_used": self._cache.used_blocks,
            "blocks": self._cache.capacity_blocks,
        }


def _crash_if_due(sequence: _sequence.Sequence) -> None:
    generated = len(sequence.tokens) - sequence.resumed_count
    if (
        sequence.crash_after_tokens is not None
        and generated >= sequence.crash_after_tokens
    ):
        os._exit(CRASH_EXIT_CODE)
