"""A runner on a virtual clock, as plain arithmetic.

Slots, one prefill after the other, decoding that slows down with the batch,
and a prefix cache with a bounded number of blocks, the least recently used
evicted first. Not a model of any product: it has just what routing and
admission decisions depend on.
"""

import collections
import heapq
import itertools
import typing

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.runners import prefix

PREFILL_S = 0.0001
DECODE_S = 0.02
BASE_S = 0.02
BATCH_SLOWDOWN = 0.5
SAMPLE_S = 0.25


class Events:
    """What happens, in order of time, on a manual clock."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock(0.0)
        self._heap: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, action: typing.Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._heap, (when, next(self._numbers), action))

    def after(self, delay_s: float, action: typing.Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.clock.now() + delay_s, action)

    def every(self, step_s: float, action: typing.Callable[[], None]) -> None:
        """Run an action again and again."""

        def again() -> None:
            action()
            self.after(step_s, again)

        self.after(step_s, again)

    def run(self, until: float) -> None:
        """Run everything that happens before a time."""
        while self._heap and self._heap[0][0] <= until:
            when, _, action = heapq.heappop(self._heap)
            self.clock.advance(max(0.0, when - self.clock.now()))
            action()


class Job:
    """A request at a runner.

    :param blocks: of the prompt.
    :param after: blocks of prompt and answer, cached when it ends.
    :param tokens: of the prompt.
    :param answer: tokens of the answer.
    """

    __slots__ = ("blocks", "after", "tokens", "answer", "on_first", "on_end")

    def __init__(
        self,
        blocks: tuple[int, ...],
        after: tuple[int, ...],
        tokens: int,
        answer: int,
    ) -> None:
        self.blocks = blocks
        self.after = after
        self.tokens = tokens
        self.answer = answer
        self.on_first: typing.Callable[[], None] = _nothing
        self.on_end: typing.Callable[[], None] = _nothing


def _nothing() -> None:
    pass


class Totals:
    """What the runners of one trial did together."""

    def __init__(self) -> None:
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.prefilled_tokens = 0
        self.recomputed_tokens = 0
        self.cost = 0.0
        self.known_blocks: set[int] = set()


class Engine:
    """One runner.

    :param blocks: that its cache holds.
    """

    def __init__(
        self,
        events: Events,
        runner: models.Runner,
        blocks: int,
        totals: Totals,
    ) -> None:
        self.runner = runner
        self._events = events
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._blocks = blocks
        self._totals = totals
        self._running = 0
        self._waiting: collections.deque[Job] = collections.deque()
        self._prefill_free = 0.0
        self._samples: collections.deque[tuple[float, int, int]] = (
            collections.deque([(0.0, 0, 0)])
        )
        self.log: list[tuple[float, models.CacheEvent]] = []
        self._seq = 0
        events.every(SAMPLE_S, self._sample)

    def submit(self, job: Job) -> None:
        """Take in a request."""
        if self._running < self.runner.slots:
            self._start(job)
        else:
            self._waiting.append(job)

    def load(self, lag_s: float) -> models.LoadReport:
        """The load as it was a while ago."""
        then = self._events.clock.now() - lag_s
        while len(self._samples) > 1 and self._samples[1][0] <= then:
            self._samples.popleft()
        _, running, waiting = self._samples[0]
        return models.LoadReport(
            running,
            waiting,
            self.runner.slots,
            len(self._cache),
            self._blocks,
            0.0,
            self._events.clock.now() - self._samples[0][0],
        )

    def cache_events(
        self, after: int, lag_s: float, lost: typing.Callable[[int], bool]
    ) -> models.CacheEvents:
        """The events after a number, late and with gaps.

        :param lost: tells by its number whether an event got lost.
        """
        ready = self._events.clock.now() - lag_s
        told = [
            event
            for at, event in self.log[after:]
            if at <= ready and not lost(event.seq)
        ]
        last = max((event.seq for event in told), default=after - 1)
        return models.CacheEvents(tuple(told), last)

    def _start(self, job: Job) -> None:
        now = self._events.clock.now()
        self._running += 1
        held = itertools.takewhile(self._cache.__contains__, job.blocks)
        cached = sum(1 for _ in held) * prefix.TOKENS_PER_BLOCK
        uncached = max(0, job.tokens - cached)
        self._count(job, cached, uncached)
        begin = max(now, self._prefill_free)
        self._prefill_free = begin + uncached * PREFILL_S
        fill = self._running / self.runner.slots
        slow = 1.0 + BATCH_SLOWDOWN * fill
        first_at = self._prefill_free + BASE_S * slow
        end_at = first_at + job.answer * DECODE_S * slow
        self._touch(job.blocks)
        self._events.at(first_at, job.on_first)
        self._events.at(end_at, lambda: self._end(job))

    def _count(self, job: Job, cached: int, uncached: int) -> None:
        totals = self._totals
        totals.prompt_tokens += job.tokens
        totals.cached_tokens += cached
        totals.prefilled_tokens += uncached
        again = sum(
            block in totals.known_blocks and block not in self._cache
            for block in job.blocks
        )
        totals.recomputed_tokens += again * prefix.TOKENS_PER_BLOCK
        totals.known_blocks.update(job.after)
        decode_s = job.answer * DECODE_S / self.runner.slots
        price_per_s = self.runner.price_per_hour / 3600.0
        totals.cost += price_per_s * (uncached * PREFILL_S + decode_s)

    def _end(self, job: Job) -> None:
        self._running -= 1
        self._touch(job.after)
        job.on_end()
        if self._waiting:
            self._start(self._waiting.popleft())

    def _touch(self, blocks: tuple[int, ...]) -> None:
        new = tuple(b for b in blocks if b not in self._cache)
        for block in reversed(blocks):
            self._cache[block] = None
            self._cache.move_to_end(block)
        excess = max(0, len(self._cache) - self._blocks)
        evicted = tuple(itertools.islice(self._cache, excess))
        for block in evicted:
            del self._cache[block]
        self._publish(True, new)
        self._publish(False, evicted)

    def _publish(self, stored: bool, blocks: tuple[int, ...]) -> None:
        if blocks:
            event = models.CacheEvent(self._seq, stored, blocks)
            self.log.append((self._events.clock.now(), event))
            self._seq += 1

    def _sample(self) -> None:
        now = self._events.clock.now()
        self._samples.append((now, self._running, len(self._waiting)))
