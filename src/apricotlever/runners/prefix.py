"""An index of the prompt prefixes that runners probably have cached.

A prompt is divided into blocks, and each block's hash is seeded with the
hash of the previous block, so that one hash identifies a whole prefix. The
index is updated when this VM routes a prompt, before the runner confirms
anything, and is corrected by the runners' cache events, which arrive late
and with gaps.

An entry of the index, that a runner has a block cached, is a claim. Sending a
prompt to a runner and each event that the runner stored a block confirm it.
"""

import collections
import math
import typing

import xxhash

from . import model as models

#: The size of a block of a prompt's text.
BLOCK_BYTES = 256
#: The assumed mean length of a token.
BYTES_PER_TOKEN = 4
TOKENS_PER_BLOCK = BLOCK_BYTES // BYTES_PER_TOKEN
#: The greatest number of blocks that the index holds for one runner.
DEFAULT_BLOCKS_PER_RUNNER = 4096


def prompt_text(body: typing.Mapping[str, typing.Any]) -> str:
    """The text that an engine prefills for an OpenAI-style body.

    :param body: the body of a request to ``/v1/completions`` or
        ``/v1/chat/completions``.
    """
    messages = body.get("messages")
    if not isinstance(messages, list):
        return str(body.get("prompt", ""))
    return "".join(
        f"{message.get('role', '')}: {message.get('content', '')}\n"
        for message in messages
        if isinstance(message, dict)
    )


def block_hashes(model: str, text: str) -> tuple[int, ...]:
    """The hash chain of the full blocks of a prompt.

    :param model: the seed of the chain, so that models do not share hashes.
    :param text: the text of the prompt; a rest that fills no block is ignored.
    :returns: the hash of each block, which also depends on all blocks before
        it.
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


def part_block_hashes(
    parts: typing.Iterable[tuple[str, int]],
    before: tuple[int, ...] = (),
) -> tuple[int, ...]:
    """The hash chain of a prompt that is declared in named parts.

    :param parts: name and number of tokens of each part, in order.
    :param before: the hash chain of the preceding parts.
    """
    chain = list(before)
    digest = before[-1] if before else 0
    for name, tokens in parts:
        seed = name.encode()
        for _ in range(max(1, tokens // TOKENS_PER_BLOCK)):
            digest = xxhash.xxh64_intdigest(seed, seed=digest)
            chain.append(digest)
    return tuple(chain)


def count_tokens(text: str) -> int:
    """The estimated number of prompt tokens of a text."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


class _Claims:
    """The blocks that one runner probably has cached.

    The blocks are ordered by their last confirmation, the oldest first.

    :param bit: the bit of the runner in the masks of the index.
    :param capacity: the greatest number of blocks; beyond it, the oldest are
        dropped.
    """

    __slots__ = (
        "bit",
        "blocks",
        "capacity",
        "eviction_doubt",
        "next_seq",
        "mean_removed",
    )

    def __init__(self, bit: int, capacity: int) -> None:
        self.bit = bit
        #: Maps each block to ``eviction_doubt`` at its last confirmation.
        self.blocks: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.capacity = capacity
        #: Sum of ``-log(1 - p)`` over all gaps in the events, where ``p`` is
        #: the estimated share of the blocks that were evicted in a gap. A
        #: claim holds with the probability ``exp(-doubt)``, where ``doubt`` is
        #: the increase of the sum since the claim's last confirmation.
        self.eviction_doubt = 0.0
        #: The sequence number of the next event that is expected.
        self.next_seq = 0
        #: Moving average of the number of blocks removed by one event.
        self.mean_removed = 0.5


class PrefixIndex:
    """Claims of blocks that runners probably have cached, in bounded memory.

    Each known block has a bit mask of the runners that claim it, so that a
    lookup walks the hash chain only once for all runners.

    :param blocks_per_runner: the maximum number of claims for a runner.
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
        """The number of claimed pairs of runner and block."""
        return sum(len(claims.blocks) for claims in self._claims.values())

    def add_runner(self, runner: str) -> None:
        """Start to track a runner's cache, unless it is already tracked.

        Claims for runners that are not tracked are ignored.
        """
        if runner in self._claims:
            return
        number = (
            self._free_bits.pop() if self._free_bits else len(self._claims)
        )
        self._claims[runner] = _Claims(1 << number, self._blocks_per_runner)

    def remove_runner(self, runner: str) -> None:
        """Stop tracking a runner and drop its claims."""
        claims = self._claims.pop(runner, None)
        if claims is None:
            return
        self._drop(claims, list(claims.blocks))
        self._free_bits.append(claims.bit.bit_length() - 1)

    def clear_runner(self, runner: str) -> None:
        """Drop a runner's claims after it restarted with an empty cache."""
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

    def claim(self, runner: str, blocks: tuple[int, ...]) -> None:
        """Note that a prompt was sent to a runner, which caches its blocks.

        :param blocks: the hash chain of the prompt.
        """
        claims = self._claims.get(runner)
        if claims is not None:
            self._claim(claims, blocks)

    def observe(self, runner: str, answer: models.CacheEvents) -> None:
        """Correct the claims by a runner's cache events.

        Sequence numbers that start anew show that the runner has restarted
        with an empty cache. A gap in the events may hide removals, so it
        lowers the confidence in all earlier claims. Otherwise claims for
        evicted blocks would attract requests to a runner that has to recompute
        them, until the index dropped the claims for lack of space.
        """
        claims = self._claims.get(runner)
        if claims is None:
            return
        if answer.last + 1 < claims.next_seq:
            self.clear_runner(runner)
        for event in answer.events:
            if event.seq >= claims.next_seq:
                self._add_eviction_doubt(claims, event.seq - claims.next_seq)
                claims.next_seq = event.seq + 1
                self._apply(claims, event)
        if answer.last >= claims.next_seq:
            self._add_eviction_doubt(claims, answer.last + 1 - claims.next_seq)
            claims.next_seq = answer.last + 1

    def depths(self, blocks: tuple[int, ...]) -> dict[int, int]:
        """The number of leading blocks of a prompt that are claimed by runner.

        :param blocks: the hash chain of the prompt.
        :returns: depth by the runner's bit, without runners of depth 0.
        """
        holders = self._holders
        mask = -1
        found: dict[int, int] = {}
        depth = 0
        for block in blocks:
            held = mask & holders.get(block, 0)
            if held != mask:
                if depth:
                    _set_depth(found, mask & ~held, depth)
                if not held:
                    return found
                mask = held
            depth += 1
        if depth:
            _set_depth(found, mask, depth)
        return found

    def expected(self, blocks: tuple[int, ...]) -> dict[str, float]:
        """The expected number of leading blocks in each runner's cache.

        It is lower than the number of claimed blocks if some of them may have
        been evicted in a gap of the events.

        :param blocks: the hash chain of the prompt.
        :returns: blocks by runner, for runners that claim at least one.
        """
        depths = self.depths(blocks)
        if not depths:
            return {}
        expected_blocks: dict[str, float] = {}
        for name, claims in self._claims.items():
            depth = depths.get(claims.bit)
            if depth is None:
                continue
            expected_blocks[name] = depth
            if claims.eviction_doubt:
                doubt = (
                    claims.eviction_doubt - claims.blocks[blocks[depth - 1]]
                )
                expected_blocks[name] = depth * math.exp(-doubt)
        return expected_blocks

    def _apply(self, claims: _Claims, event: models.CacheEvent) -> None:
        removed = 0 if event.stored else len(event.blocks)
        claims.mean_removed += 0.05 * (removed - claims.mean_removed)
        if event.stored:
            self._claim(claims, event.blocks)
        else:
            self._drop(claims, [b for b in event.blocks if b in claims.blocks])

    def _add_eviction_doubt(self, claims: _Claims, missed: int) -> None:
        """Lower the confidence in a runner's claims after missed events.

        :param missed: the number of missed events, each of which is assumed
            to have removed the mean number of blocks.
        """
        if missed <= 0 or not claims.blocks:
            return
        lost = min(0.9, missed * claims.mean_removed / len(claims.blocks))
        claims.eviction_doubt -= math.log1p(-lost)

    def _claim(self, claims: _Claims, blocks: tuple[int, ...]) -> None:
        holders = self._holders
        known = claims.blocks
        for block in reversed(blocks):
            known[block] = claims.eviction_doubt
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
            remaining = holders[block] & ~claims.bit
            if remaining:
                holders[block] = remaining
            else:
                del holders[block]


def _set_depth(found: dict[int, int], mask: int, depth: int) -> None:
    """Set the number of claimed leading blocks of the runners in a mask.

    :param found: the numbers set so far, by the runner's bit.
    """
    while mask:
        bit = mask & -mask
        found[bit] = depth
        mask ^= bit
