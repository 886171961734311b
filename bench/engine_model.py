"""Simulates a runner's inference engine on a virtual clock.

An engine has a number of slots, prefills one prompt after the other and
decodes more slowly the more requests run. Its prefix cache holds a bounded
number of blocks and evicts the least recently used ones first. The simulation
covers only what routing and admission decisions depend on; it does not
reproduce a particular product.
"""

import collections
import heapq
import itertools
import typing

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.runners import prefix

#: Time to prefill one token, in seconds.
PREFILL_TOKEN_S = 0.0001
#: Time to decode one token in an empty batch, in seconds.
DECODE_TOKEN_S = 0.02
#: Time from the end of the prefill to the first token in an empty batch, in
#: seconds.
FIRST_TOKEN_OVERHEAD_S = 0.02
#: Relative slowdown of decoding when all slots are in use.
BATCH_SLOWDOWN = 0.5
LOAD_SAMPLE_INTERVAL_S = 0.25


class EventQueue:
    """Runs scheduled actions in the order of time on a manual clock."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock(0.0)
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    def schedule_at(
        self, when: float, action: typing.Callable[[], None]
    ) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._heap, (when, next(self._event_numbers), action))

    def schedule_after(
        self, delay_s: float, action: typing.Callable[[], None]
    ) -> None:
        """Schedule an action after a delay."""
        self.schedule_at(self.clock.now() + delay_s, action)

    def schedule_every(
        self, step_s: float, action: typing.Callable[[], None]
    ) -> None:
        """Schedule an action at regular intervals, first after one."""

        def repeat() -> None:
            action()
            self.schedule_after(step_s, repeat)

        self.schedule_after(step_s, repeat)

    def run(self, until: float) -> None:
        """Run all actions up to and including a time."""
        while self._heap and self._heap[0][0] <= until:
            when, _, action = heapq.heappop(self._heap)
            self.clock.advance(max(0.0, when - self.clock.now()))
            action()


class Job:
    """A request to an engine.

    :param blocks: block hashes of the prompt.
    :param blocks_at_end: block hashes of prompt and answer, which are cached
        when the request ends.
    :param prompt_tokens: number of tokens of the prompt.
    :param answer_tokens: number of tokens of the answer.
    """

    __slots__ = (
        "blocks",
        "blocks_at_end",
        "prompt_tokens",
        "answer_tokens",
        "on_first_token",
        "on_end",
    )

    def __init__(
        self,
        blocks: tuple[int, ...],
        blocks_at_end: tuple[int, ...],
        prompt_tokens: int,
        answer_tokens: int,
    ) -> None:
        self.blocks = blocks
        self.blocks_at_end = blocks_at_end
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.on_first_token: typing.Callable[[], None] = _ignore
        self.on_end: typing.Callable[[], None] = _ignore


def _ignore() -> None:
    pass


class Totals:
    """Totals over all engines of one simulation."""

    def __init__(self) -> None:
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.prefilled_tokens = 0
        self.recomputed_tokens = 0
        self.cost = 0.0
        #: Blocks that any engine has computed; a block that is prefilled
        #: although it is one of these counts as recomputed.
        self.computed_blocks: set[int] = set()


class Engine:
    """Simulates the engine of one runner.

    :param blocks: number of blocks that the cache holds.
    """

    def __init__(
        self,
        events: EventQueue,
        runner: models.Runner,
        blocks: int,
        totals: Totals,
    ) -> None:
        self.runner = runner
        self._events = events
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._cache_blocks = blocks
        self._totals = totals
        self._running = 0
        self._waiting: collections.deque[Job] = collections.deque()
        self._prefill_free_at = 0.0
        self._load_samples: collections.deque[tuple[float, int, int]] = (
            collections.deque([(0.0, 0, 0)])
        )
        self.cache_log: list[tuple[float, models.CacheEvent]] = []
        self._next_seq = 0
        events.schedule_every(LOAD_SAMPLE_INTERVAL_S, self._sample_load)

    def submit(self, job: Job) -> None:
        """Start a request, or queue it if all slots are in use."""
        if self._running < self.runner.slots:
            self._start_job(job)
        else:
            self._waiting.append(job)

    def load(self, lag_s: float) -> models.LoadReport:
        """Report the load as it was ``lag_s`` seconds ago."""
        cutoff = self._events.clock.now() - lag_s
        while (
            len(self._load_samples) > 1 and self._load_samples[1][0] <= cutoff
        ):
            self._load_samples.popleft()
        _, running, waiting = self._load_samples[0]
        return models.LoadReport(
            running,
            waiting,
            self.runner.slots,
            len(self._cache),
            self._cache_blocks,
            0.0,
            self._events.clock.now() - self._load_samples[0][0],
        )

    def cache_events(
        self,
        first_seq: int,
        lag_s: float,
        is_lost: typing.Callable[[int], bool],
    ) -> models.CacheEvents:
        """Report cache events from a sequence number on, late and with gaps.

        :param first_seq: first sequence number to report.
        :param is_lost: decides by its sequence number whether an event is
            lost.
        """
        ready = self._events.clock.now() - lag_s
        delivered = [
            event
            for at, event in self.cache_log[first_seq:]
            if at <= ready and not is_lost(event.seq)
        ]
        last = max((event.seq for event in delivered), default=first_seq - 1)
        return models.CacheEvents(tuple(delivered), last)

    def _start_job(self, job: Job) -> None:
        now = self._events.clock.now()
        self._running += 1
        cached_prefix = itertools.takewhile(
            self._cache.__contains__, job.blocks
        )
        cached = sum(1 for _ in cached_prefix) * prefix.TOKENS_PER_BLOCK
        uncached = max(0, job.prompt_tokens - cached)
        self._record_totals(job, cached, uncached)
        prefill_at = max(now, self._prefill_free_at)
        self._prefill_free_at = prefill_at + uncached * PREFILL_TOKEN_S
        occupancy = self._running / self.runner.slots
        slowdown = 1.0 + BATCH_SLOWDOWN * occupancy
        first_at = self._prefill_free_at + FIRST_TOKEN_OVERHEAD_S * slowdown
        end_at = first_at + job.answer_tokens * DECODE_TOKEN_S * slowdown
        self._use_blocks(job.blocks)
        self._events.schedule_at(first_at, job.on_first_token)
        self._events.schedule_at(end_at, lambda: self._end_job(job))

    def _record_totals(self, job: Job, cached: int, uncached: int) -> None:
        totals = self._totals
        totals.prompt_tokens += job.prompt_tokens
        totals.cached_tokens += cached
        totals.prefilled_tokens += uncached
        recomputed_blocks = sum(
            block in totals.computed_blocks and block not in self._cache
            for block in job.blocks
        )
        totals.recomputed_tokens += recomputed_blocks * prefix.TOKENS_PER_BLOCK
        totals.computed_blocks.update(job.blocks_at_end)
        decode_s = job.answer_tokens * DECODE_TOKEN_S / self.runner.slots
        price_per_s = self.runner.price_per_hour / 3600.0
        totals.cost += price_per_s * (uncached * PREFILL_TOKEN_S + decode_s)

    def _end_job(self, job: Job) -> None:
        self._running -= 1
        self._use_blocks(job.blocks_at_end)
        job.on_end()
        if self._waiting:
            self._start_job(self._waiting.popleft())

    def _use_blocks(self, blocks: tuple[int, ...]) -> None:
        new = tuple(b for b in blocks if b not in self._cache)
        for block in reversed(blocks):
            self._cache[block] = None
            self._cache.move_to_end(block)
        excess = max(0, len(self._cache) - self._cache_blocks)
        evicted = tuple(itertools.islice(self._cache, excess))
        for block in evicted:
            del self._cache[block]
        self._publish(True, new)
        self._publish(False, evicted)

    def _publish(self, stored: bool, blocks: tuple[int, ...]) -> None:
        if blocks:
            event = models.CacheEvent(self._next_seq, stored, blocks)
            self.cache_log.append((self._events.clock.now(), event))
            self._next_seq += 1

    def _sample_load(self) -> None:
        now = self._events.clock.now()
        self._load_samples.append((now, self._running, len(self._waiting)))
