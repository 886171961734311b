"""The prefix cache of an engine stand-in, and the events it publishes."""

import collections
import random
import time
import typing

from . import _tokens

KEPT_EVENTS = 4096
SEED = 5


class CacheEvent:
    """Blocks that were stored or removed at one time."""

    __slots__ = ("seq", "at", "kind", "blocks")

    def __init__(
        self, seq: int, at: float, kind: str, blocks: list[int]
    ) -> None:
        self.seq = seq
        self.at = at
        self.kind = kind
        self.blocks = blocks

    def payload(self) -> dict[str, typing.Any]:
        """The event as the engine publishes it."""
        return {
            "seq": self.seq,
            "kind": self.kind,
            "blocks": [f"{block:016x}" for block in self.blocks],
        }


class CacheEvents:
    """Events that become visible late, and some of them never."""

    __slots__ = ("_events", "_seq", "_rng")

    def __init__(self) -> None:
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self._seq = 0
        self._rng = random.Random(SEED)

    def add(self, kind: str, blocks: list[int], gap: float) -> None:
        """Append an event.

        :param gap: the chance that its number is used up but nobody is
            ever told what happened.
        """
        if not blocks:
            return
        self._seq += 1
        if self._rng.random() >= gap:
            event = CacheEvent(self._seq, time.monotonic(), kind, blocks)
            self._events.append(event)

    def after(self, seq: int, lag_s: float) -> dict[str, typing.Any]:
        """The events after a number that are old enough to be told."""
        until = time.monotonic() - lag_s
        told = [event for event in self._events if event.at <= until]
        first = told[0].seq if told else self._seq + 1
        return {
            "events": [event.payload() for event in told if event.seq > seq],
            "seq": told[-1].seq if told else 0,
            "from": first,
        }


class PrefixCache:
    """Blocks of prompts, the least recently used evicted first.

    A block that a running sequence holds is never evicted.

    :param capacity: in blocks.
    :param gap: reads the chance that an event is lost.
    """

    __slots__ = (
        "_blocks",
        "_capacity",
        "_evicted",
        "_evicted_recomputed",
        "_events",
        "_gap",
    )

    def __init__(self, capacity: int, gap: typing.Callable[[], float]) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._evicted: set[int] = set()
        self._evicted_recomputed = 0
        self._events = CacheEvents()
        self._gap = gap

    @property
    def capacity(self) -> int:
        """How many blocks fit."""
        return self._capacity

    @property
    def used(self) -> int:
        """How many blocks are stored."""
        return len(self._blocks)

    @property
    def events(self) -> CacheEvents:
        """What was stored and removed."""
        return self._events

    @property
    def evicted_recomputed(self) -> int:
        """Tokens of blocks that were evicted and then computed again."""
        return self._evicted_recomputed

    def clear_counts(self) -> None:
        """Forget what was counted."""
        self._evicted_recomputed = 0

    def cached(self, blocks: list[int]) -> int:
        """How many leading blocks are stored; marks them as used."""
        missing = (i for i, b in enumerate(blocks) if b not in self._blocks)
        count = next(missing, len(blocks))
        # The chain's end is marked first, so that it is evicted first: a
        # block whose predecessor is gone could not be found again.
        for block in reversed(blocks[:count]):
            self._blocks.move_to_end(block)
        return count

    def hold(self, blocks: list[int]) -> list[int]:
        """Keep the stored ones among some blocks from eviction.

        :returns: the blocks to give to :meth:`release`.
        """
        held = [block for block in blocks if block in self._blocks]
        for block in held:
            self._blocks[block] += 1
        return held

    def release(self, held: list[int]) -> None:
        """Let held blocks be evicted again."""
        for block in held:
            self._blocks[block] -= 1

    def store(self, blocks: list[int], computed: bool = True) -> None:
        """Store a chain of blocks, as much of it as finds room.

        :param computed: False for imported blocks.
        """
        new = [block for block in blocks if block not in self._blocks]
        known = [block for block in blocks if block in self._blocks]
        kept = self.hold(known)
        removed = self._make_room(len(new))
        self.release(kept)
        room = self._capacity - len(self._blocks)
        stored = new[: max(0, room)]
        for block in reversed(stored):
            self._blocks[block] = 0
        if computed:
            again = sum(block in self._evicted for block in stored)
            self._evicted_recomputed += again * _tokens.BLOCK_TOKENS
        self._evicted.difference_update(stored)
        self._events.add("removed", removed, self._gap())
        self._events.add("stored", stored, self._gap())

    def _make_room(self, wanted: int) -> list[int]:
        excess = len(self._blocks) + wanted - self._capacity
        if excess <= 0:
            return []
        free = (block for block, held in self._blocks.items() if not held)
        removed = [block for _, block in zip(range(excess), free)]
        for block in removed:
            del self._blocks[block]
        self._evicted.update(removed)
        return removed
