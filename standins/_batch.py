"""The continuous batcher of an engine stand-in: one scheduler thread.

Each step costs a fixed time, a little more for each running sequence, and
the prefill of the prompt tokens that it takes in; then each sequence whose
prompt is done grows by one token.
"""

import collections
import heapq
import itertools
import os
import threading
import time
import typing

from . import _cache
from . import _meter
from . import _sequence
from . import _tokens

CRASH_CODE = 70
IDLE_S = 0.25


class Speed:
    """How long a step takes and what it holds."""

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


class Batcher:
    """Sequences that wait by priority, run in slots, and linger.

    :param cache: the prefix cache, guarded by this batcher's lock.
    :param slow: reads the factor on the time of each step.
    """

    __slots__ = (
        "_speed",
        "_cache",
        "_slow",
        "_lock",
        "_sequences",
        "_queue",
        "_order",
        "_running",
        "_totals",
        "_recomputed",
        "_meter",
        "_closing",
    )

    def __init__(
        self,
        speed: Speed,
        cache: _cache.PrefixCache,
        slow: typing.Callable[[], float],
    ) -> None:
        self._speed = speed
        self._cache = cache
        self._slow = slow
        self._lock = threading.Condition()
        self._sequences: dict[str, _sequence.Sequence] = {}
        self._queue: list[tuple[int, int, _sequence.Sequence]] = []
        self._order = itertools.count()
        self._running: list[_sequence.Sequence] = []
        self._totals: collections.Counter[str] = collections.Counter()
        self._recomputed: collections.Counter[str] = collections.Counter()
        self._meter = _meter.Meter(self._load)
        self._closing = False

    @property
    def lock(self) -> threading.Condition:
        """Guards the sequences and the cache."""
        return self._lock

    @property
    def waiting(self) -> int:
        """Sequences without a slot."""
        return sum(
            sequence.state == _sequence.WAITING
            for _, _, sequence in self._queue
        )

    def counts(self) -> dict[str, typing.Any]:
        """Totals of tokens, and recomputed tokens by request."""
        with self._lock:
            totals = {
                name: self._totals[name]
                for name in ("prefilled_total", "cached_total")
            }
            return {
                **totals,
                "generated_total": self._totals["generated_total"],
                "recomputed": dict(self._recomputed),
                "recomputed_total": sum(self._recomputed.values()),
                "evicted_recomputed": self._cache.evicted_recomputed,
            }

    def clear_counts(self) -> None:
        """Forget what was counted."""
        with self._lock:
            self._totals.clear()
            self._recomputed.clear()
            self._cache.clear_counts()

    def submit(self, sequence: _sequence.Sequence) -> None:
        """Queue a sequence; an older one of the same request is cancelled."""
        with self._lock:
            request_id = sequence.work.request_id
            self._stop(request_id, _sequence.CANCELLED)
            self._sequences[request_id] = sequence
            entry = (-sequence.work.priority, next(self._order), sequence)
            heapq.heappush(self._queue, entry)
            self._lock.notify_all()

    def find(self, request_id: str) -> _sequence.Sequence | None:
        """The latest sequence of a request, while it lingers."""
        return self._sequences.get(request_id)

    def stop(self, request_id: str, state: str) -> _sequence.Sequence | None:
        """Take a sequence out.

        :param state: what it ends as.
        :returns: the sequence, or None if it is unknown or has ended in
            another way. One that has ended so already is given again.
        """
        with self._lock:
            return self._stop(request_id, state)

    def store(self, blocks: list[int]) -> None:
        """Put imported blocks into the cache."""
        with self._lock:
            self._cache.store(blocks, computed=False)

    def load(self, lag_s: float) -> dict[str, typing.Any]:
        """The load as it was some time ago."""
        with self._lock:
            if not self._running:
                self._meter.note()
            return self._meter.load(lag_s)

    def start(self) -> None:
        """Run the scheduler on a daemon thread."""
        threading.Thread(target=self._run, daemon=True).start()

    def close(self) -> None:
        """End the scheduler's thread."""
        with self._lock:
            self._closing = True
            self._lock.notify_all()

    def _run(self) -> None:
        due = time.monotonic()
        while not self._closing:
            with self._lock:
                now = time.monotonic()
                self._sweep(now)
                self._admit()
                self._meter.note()
                if not self._running:
                    self._lock.wait(IDLE_S)
                    due = time.monotonic()
                    continue
                cost_s = self._prefill() * self._slow()
            due = max(due + cost_s, now)
            time.sleep(max(0.0, due - time.monotonic()))
            with self._lock:
                self._advance()

    def _sweep(self, now: float) -> None:
        linger_s = self._speed.linger_s
        unread = [
            (request_id, sequence)
            for request_id, sequence in self._sequences.items()
            if sequence.unread_for(now) > linger_s
        ]
        for request_id, sequence in unread:
            self._stop(request_id, _sequence.CANCELLED)
            del self._sequences[request_id]

    def _admit(self) -> None:
        while self._queue and len(self._running) < self._speed.slots:
            sequence = heapq.heappop(self._queue)[2]
            if sequence.state == _sequence.WAITING:
                self._start(sequence)

    def _start(self, sequence: _sequence.Sequence) -> None:
        sequence.state = _sequence.RUNNING
        self._running.append(sequence)
        cached = self._cache.cached(sequence.blocks)
        sequence.held = self._cache.hold(sequence.blocks[:cached])
        if sequence.prefilled:
            return
        whole = sequence.prompt_tokens + len(sequence.tokens)
        found = min(whole, cached * _tokens.BLOCK_TOKENS)
        sequence.prefill_left = whole - found
        self._totals["cached_total"] += found
        if sequence.seen_before:
            request_id = sequence.work.request_id
            self._recomputed[request_id] += sequence.prefill_left

    def _prefill(self) -> float:
        """Take prompt tokens into this step.

        :returns: how many seconds the whole step takes.
        """
        left = self._speed.prefill_chunk_tokens
        for sequence in self._running:
            taken = min(left, sequence.prefill_left)
            sequence.prefill_left -= taken
            left -= taken
        taken = self._speed.prefill_chunk_tokens - left
        self._totals["prefilled_total"] += taken
        return (
            self._speed.step_s
            + self._speed.step_s_per_sequence * len(self._running)
            + self._speed.prefill_s_per_token * taken
        )

    def _advance(self) -> None:
        ready = [
            sequence for sequence in self._running if not sequence.prefill_left
        ]
        for sequence in ready:
            if not sequence.prefilled:
                self._prefill_done(sequence)
            if not sequence.finished:
                sequence.grow()
                self._totals["generated_total"] += 1
            if sequence.crash_at is not None:
                _crash_if_due(sequence)
            if sequence.finished:
                self._take_out(sequence, _sequence.DONE)
        self._meter.grown(len(ready))

    def _prefill_done(self, sequence: _sequence.Sequence) -> None:
        sequence.prefilled = True
        self._cache.release(sequence.held)
        self._cache.store(sequence.blocks)
        sequence.held = self._cache.hold(sequence.blocks)

    def _take_out(self, sequence: _sequence.Sequence, state: str) -> None:
        if sequence in self._running:
            self._running.remove(sequence)
        self._cache.release(sequence.held)
        sequence.held = []
        if sequence.prefilled:
            self._cache.store(sequence.all_blocks())
        sequence.end(state)

    def _stop(self, request_id: str, state: str) -> _sequence.Sequence | None:
        sequence = self._sequences.get(request_id)
        if sequence is None:
            return None
        # An answer that is generated but not yet read may still be exported.
        unread = (state, sequence.state) == (
            _sequence.EXPORTED,
            _sequence.DONE,
        )
        if sequence.state in _sequence.LIVE or unread:
            self._take_out(sequence, state)
        return sequence if sequence.state == state else None

    def _load(self) -> dict[str, typing.Any]:
        return {
            "running": len(self._running),
            "waiting": self.waiting,
            "slots": self._speed.slots,
            "blocks_used": self._cache.used,
            "blocks": self._cache.capacity,
        }


def _crash_if_due(sequence: _sequence.Sequence) -> None:
    grown = len(sequence.tokens) - sequence.resumed
    if sequence.crash_at is not None and grown >= sequence.crash_at:
        os._exit(CRASH_CODE)
