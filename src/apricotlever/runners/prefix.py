"""Which prompt prefixes the runners likely hold in their caches.

A prompt is cut into blocks, and each block's hash is seeded by the hash of
the block before it, so one hash names a whole prefix. The index learns from
this VM's own routing before the runner confirms anything, and is corrected
by the runners' cache events, which come late and with gaps.
"""

import collections
import math
import typing

import xxhash

from . import model as models

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
TOKENS_PER_BLOCK = BLOCK_BYTES // BYTES_PER_TOKEN
DEFAULT_BLOCKS_PER_RUNNER = 4096


def prompt_text(body: typing.Mapping[str, typing.Any]) -> str:
    """The text that an engine prefills for an OpenAI-style body.

    :param body: of ``/v1/completions`` or ``/v1/chat/completions``.
    """
    messages = body.get("messages")
    if not isinstance(messages, list):
        return str(body.get("prompt", ""))
    return "".join(
        f"{message.get('role', '')}: {message.get('content', '')}\n"
        for message in messages
        if isinstance(message, dict)
    )


def blocks_of(model: str, text: str) -> tuple[int, ...]:
    """The chain of hashes of the full blocks of a prompt.

    :param model: seeds the chain, so that models never share a hash.
    """
    data = text.encode()
    digest = xxhash.xxh64_intdigest(model.encode())
    chain = []
    full_bytes = len(data) - len(data) % BLOCK_BYTES
    for start in range(0, full_bytes, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        digest = xxhash.xxh64_intdigest(block, seed=digest)
        chain.append(digest)
    return tuple(chain)


def blocks_of_parts(
    parts: typing.Iterable[tuple[str, int]],
    before: tuple[int, ...] = (),
) -> tuple[int, ...]:
    """The chain of hashes of a prompt that is declared in named parts.

    :param parts: name and tokens of each part, in order.
    :param before: the chain of the parts before them.
    """
    chain = list(before)
    digest = before[-1] if before else 0
    for name, tokens in parts:
        seed = name.encode()
        for _ in range(max(1, tokens // TOKENS_PER_BLOCK)):
            digest = xxhash.xxh64_intdigest(seed, seed=digest)
            chain.append(digest)
    return tuple(chain)


def tokens_of(text: str) -> int:
    """The prompt tokens that a text counts for."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


class _Claims:
    """The blocks that one runner likely holds, the least recent first."""

    __slots__ = ("bit", "blocks", "capacity", "doubt", "next_seq", "removed")

    def __init__(self, bit: int, capacity: int) -> None:
        self.bit = bit
        #: Block to the doubt at the time when the claim was last confirmed.
        self.blocks: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.capacity = capacity
        self.doubt = 0.0
        self.next_seq = 0
        #: Moving average of the blocks removed by one event.
        self.removed = 0.5


class PrefixIndex:
    """Claims of the form "this runner holds this prefix", in bounded memory.

    Each known block has a bit mask of the runners that claim it, so a lookup
    walks the chain once for all runners together.

    :param blocks_per_runner: claims kept for a runner whose cache size is
        not known.
    """

    __slots__ = ("_blocks_per_runner", "_claims", "_free_bits", "_holders")

    def __init__(
        self, blocks_per_runner: int = DEFAULT_BLOCKS_PER_RUNNER
    ) -> None:
        self._blocks_per_runner = blocks_per_runner
        self._claims: dict[str, _Claims] = {}
        self._free_bits: list[int] = []
        self._holders: dict[int, int] = {}

    @property
    def claims(self) -> int:
        """How many pairs of runner and block are claimed."""
        return sum(len(claims.blocks) for claims in self._claims.values())

    def add_runner(self, runner: str) -> None:
        """Start to keep claims for a runner; known ones stay as they are."""
        if runner in self._claims:
            return
        number = (
            self._free_bits.pop() if self._free_bits else len(self._claims)
        )
        self._claims[runner] = _Claims(1 << number, self._blocks_per_runner)

    def remove_runner(self, runner: str) -> None:
        """Forget a runner and all that it claimed."""
        claims = self._claims.pop(runner, None)
        if claims is None:
            return
        self._drop(claims, list(claims.blocks))
        self._free_bits.append(claims.bit.bit_length() - 1)

    def forget(self, runner: str) -> None:
        """Drop a runner's claims, as after a restart with an empty cache."""
        claims = self._claims.get(runner)
        if claims is not None:
            self._drop(claims, list(claims.blocks))
            claims.next_seq = 0

    def resize(self, runner: str, blocks: int) -> None:
        """Set the size of a runner's cache, in blocks."""
        claims = self._claims.get(runner)
        if claims is not None and blocks > 0:
            claims.capacity = min(blocks, self._blocks_per_runner)
            self._shrink(claims)

    def routed(self, runner: str, blocks: tuple[int, ...]) -> None:
        """Claim the blocks of a prompt that was just sent to a runner."""
        claims = self._claims.get(runner)
        if claims is not None:
            self._claim(claims, blocks)

    def observe(self, runner: str, answer: models.CacheEvents) -> None:
        """Correct the claims by a runner's cache events.

        A gap hides removals. Without the doubt that it adds, claims for
        blocks evicted in the gap would draw requests to a runner that has to
        compute them anew, until the index happened to forget them.
        """
        claims = self._claims.get(runner)
        if claims is None:
            return
        if answer.last + 1 < claims.next_seq:
            self.forget(runner)
        for event in answer.events:
            if event.seq >= claims.next_seq:
                self._doubt(claims, event.seq - claims.next_seq)
                claims.next_seq = event.seq + 1
                self._apply(claims, event)
        if answer.last >= claims.next_seq:
            self._doubt(claims, answer.last + 1 - claims.next_seq)
            claims.next_seq = answer.last + 1

    def depths(self, blocks: tuple[int, ...]) -> dict[int, int]:
        """How many leading blocks each runner claims.

        :returns: depth by the runner's bit; absent runners claim none.
        """
        holders = self._holders
        mask = -1
        found: dict[int, int] = {}
        depth = 0
        for block in blocks:
            held = mask & holders.get(block, 0)
            if held != mask:
                if depth:
                    _note(found, mask & ~held, depth)
                if not held:
                    return found
                mask = held
            depth += 1
        if depth:
            _note(found, mask, depth)
        return found

    def expected(self, blocks: tuple[int, ...]) -> dict[str, float]:
        """The number of leading blocks that each runner likely holds.

        :returns: only runners that claim at least one block.
        """
        depths = self.depths(blocks)
        if not depths:
            return {}
        likely: dict[str, float] = {}
        for name, claims in self._claims.items():
            depth = depths.get(claims.bit)
            if depth is None:
                continue
            likely[name] = depth
            if claims.doubt:
                doubt = claims.doubt - claims.blocks[blocks[depth - 1]]
                likely[name] = depth * math.exp(-doubt)
        return likely

    def _apply(self, claims: _Claims, event: models.CacheEvent) -> None:
        removed = 0 if event.stored else len(event.blocks)
        claims.removed += 0.05 * (removed - claims.removed)
        if event.stored:
            self._claim(claims, event.blocks)
        else:
            self._drop(claims, [b for b in event.blocks if b in claims.blocks])

    def _doubt(self, claims: _Claims, missed: int) -> None:
        """Count events that were missed as possible removals."""
        if missed <= 0 or not claims.blocks:
            return
        lost = min(0.9, missed * claims.removed / len(claims.blocks))
        claims.doubt -= math.log1p(-lost)

    def _claim(self, claims: _Claims, blocks: tuple[int, ...]) -> None:
        holders = self._holders
        known = claims.blocks
        for block in reversed(blocks):
            known[block] = claims.doubt
            known.move_to_end(block)
            holders[block] = holders.get(block, 0) | claims.bit
        self._shrink(claims)

    def _shrink(self, claims: _Claims) -> None:
        excess = len(claims.blocks) - claims.capacity
        if excess > 0:
            oldest = [block for block, _ in zip(claims.blocks, range(excess))]
            self._drop(claims, oldest)

    def _drop(self, claims: _Claims, blocks: list[int]) -> None:
        holders = self._holders
        for block in blocks:
            del claims.blocks[block]
            left = holders[block] & ~claims.bit
            if left:
                holders[block] = left
            else:
                del holders[block]


def _note(found: dict[int, int], mask: int, depth: int) -> None:
    """Record the depth for each runner whose bit is in the mask."""
    while mask:
        bit = mask & -mask
        found[bit] = depth
        mask ^= bit
