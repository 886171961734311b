"""The prefix cache of an engine stand-in and the cache events it publishes."""

import collections
import random
import time
import typing

from . import _deterministic_tokens

MAX_KEPT_EVENTS = 4096
EVENT_LOSS_SEED = 5


class CacheEvent:
    """Blocks that were stored or removed in one operation.

    :param seq: the event's sequence number; the first event has 1.
    :param at: time of the operation on the monotonic clock, in seconds.
    :param kind: ``stored`` or ``removed``.
    :param blocks: hashes of the blocks.
    """

    __slots__ = ("seq", "at", "kind", "blocks")

    def __init__(
        self, seq: int, at: float, kind: str, blocks: list[int]
    ) -> None:
        self.seq = seq
        self.at = at
        self.kind = kind
        self.blocks = blocks

    def payload(self) -> dict[str, typing.Any]:
        """The event in the format that the engine publishes."""
        return {
            "seq": self.seq,
            "kind": self.kind,
            "blocks": [f"{block:016x}" for block in self.blocks],
        }


class CacheEventLog:
    """The latest cache events, published with a lag and with losses."""

    __slots__ = ("_events", "_seq", "_random")

    def __init__(self) -> None:
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._seq = 0
        self._random = random.Random(EVENT_LOSS_SEED)

    def add(
        self, kind: str, blocks: list[int], loss_probability: float
    ) -> None:
        """Append an event with the next sequence number.

        :param loss_probability: probability that the event is dropped. A
            dropped event still uses up a sequence number, so that readers
            see a gap.
        """
        if not blocks:
            return
        self._seq += 1
        if self._random.random() >= loss_probability:
            event = CacheEvent(self._seq, time.monotonic(), kind, blocks)
            self._events.append(event)

    def events_after(self, seq: int, lag_s: float) -> dict[str, typing.Any]:
        """The published events whose sequence number is above ``seq``.

        :param lag_s: age in seconds that an event must have to be published.
        :returns: the events, the last published sequence number as ``seq``
            (0 without any) and the first available one as ``from`` (the
            number of the next event without any).
        """
        until = time.monotonic() - lag_s
        visible = [event for event in self._events if event.at <= until]
        first = visible[0].seq if visible else self._seq + 1
        return {
            "events": [
                event.payload() for event in visible if event.seq > seq
            ],
            "seq": visible[-1].seq if visible else 0,
            "from": first,
        }


class PrefixCache:
    """A prefix cache with eviction of the least recently used block.

    Pinned blocks are never evicted; a running sequence pins its blocks.

    :param capacity: maximum number of stored blocks.
    :param loss_probability: returns the probability that a cache event is
        dropped.
    """

    __slots__ = (
        "_pins_by_block",
        "_capacity",
        "_evicted_blocks",
        "_evicted_recomputed",
        "_event_log",
        "_loss_probability",
    )

    def __init__(
        self, capacity: int, loss_probability: typing.Callable[[], float]
    ) -> None:
        self._capacity = capacity
        self._pins_by_block: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._evicted_blocks: set[int] = set()
        self._evicted_recomputed = 0
        self._event_log = CacheEventLog()
        self._loss_probability = loss_probability

    @property
    def capacity_blocks(self) -> int:
        """Maximum number of stored blocks."""
        return self._capacity

    @property
    def used_blocks(self) -> int:
        """Number of stored blocks."""
        return len(self._pins_by_block)

    @property
    def event_log(self) -> CacheEventLog:
        """Events for the blocks that were stored and removed."""
        return self._event_log

    @property
    def evicted_recomputed(self) -> int:
        """Number of tokens in blocks that were evicted and computed again."""
        return self._evicted_recomputed

    def clear_counts(self) -> None:
        """Reset the counter of recomputed tokens."""
        self._evicted_recomputed = 0

    def match_prefix(self, blocks: list[int]) -> int:
        """Mark the stored leading blocks as recently used and count them."""
        missing = (
            index
            for index, block in enumerate(blocks)
            if block not in self._pins_by_block
        )
        count = next(missing, len(blocks))
        # Blocks at the end of the chain are marked as used first, so that
        # they are evicted first: a block can't be matched without all of its
        # predecessors.
        for block in reversed(blocks[:count]):
            self._pins_by_block.move_to_end(block)
        return count

    def pin(self, blocks: list[int]) -> list[int]:
        """Protect those of the given blocks that are stored from eviction.

        :returns: the pinned blocks, to be passed to :meth:`unpin`.
        """
        pinned = [block for block in blocks if block in self._pins_by_block]
        for block in pinned:
            self._pins_by_block[block] += 1
        return pinned

    def unpin(self, pinned: list[int]) -> None:
        """Remove one pin from each block."""
        for block in pinned:
            self._pins_by_block[block] -= 1

    def store(self, blocks: list[int], computed: bool = True) -> None:
        """Store a chain of blocks, or as many of its first as fit.

        :param computed: False for imported blocks, which do not count as
            recomputed.
        """
        new = [block for block in blocks if block not in self._pins_by_block]
        present = [block for block in blocks if block in self._pins_by_block]
        pinned_present = self.pin(present)
        evicted = self._evict_excess(len(new))
        self.unpin(pinned_present)
        room = self._capacity - len(self._pins_by_block)
        stored = new[: max(0, room)]
        for block in reversed(stored):
            self._pins_by_block[block] = 0
        if computed:
            recomputed = sum(block in self._evicted_blocks for block in stored)
            self._evicted_recomputed += (
                recomputed * _deterministic_tokens.BLOCK_TOKENS
            )
        self._evicted_blocks.difference_update(stored)
        self._event_log.add("removed", evicted, self._loss_probability())
        self._event_log.add("stored", stored, self._loss_probability())

    def _evict_excess(self, new_count: int) -> list[int]:
        excess = len(self._pins_by_block) + new_count - self._capacity
        if excess <= 0:
            return []
        unpinned = (
            block
            for block, pinned in self._pins_by_block.items()
            if not pinned
        )
        evicted = [block for _, block in zip(range(excess), unpinned)]
        for block in evicted:
            del self._pins_by_block[block]
        self._evicted_blocks.update(evicted)
        return evicted
