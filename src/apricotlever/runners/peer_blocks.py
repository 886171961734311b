"""Blocks of calls that peers report, of whose crashes this VM may not know."""

import typing

from .. import clock as clocks

from . import quarantine


class _PeerBlock:
    """A block that a peer reported.

    :param heard_at: when this VM heard of it, in monotonic seconds.
    :param until: its end.
    """

    __slots__ = ("heard_at", "until")

    def __init__(self, heard_at: float, until: float) -> None:
        self.heard_at = heard_at
        self.until = until


class PeerBlocks:
    """The blocks that peers reported, by fingerprint of the call."""

    __slots__ = ("_blocks", "_clock")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._blocks: dict[str, _PeerBlock] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._blocks

    def add(self, blocked: typing.Mapping[str, float]) -> None:
        """Add the blocks of a peer's record.

        A known block is not extended: two VMs that report it to each other
        would otherwise keep it alive for ever.

        :param blocked: the seconds left of each, by fingerprint.
        """
        now = self._clock.now()
        for fingerprint, left_s in blocked.items():
            block = _PeerBlock(now, now + left_s)
            self._blocks.setdefault(fingerprint, block)

    def left_s(self, fingerprint: str) -> float:
        """Seconds until a block ends; 0 if there is none."""
        block = self._blocks.get(fingerprint)
        if block is None:
            return 0.0
        return max(0.0, block.until - self._clock.now())

    def remove(self, fingerprint: str) -> None:
        """Remove a block, if there is one."""
        self._blocks.pop(fingerprint, None)

    def answered(self, name: str, age_s: float) -> None:
        """Remove a block after an answer, unless its crashes came later.

        :param age_s: seconds since the answer.
        """
        block = self._blocks.get(name)
        if block is None:
            return
        # Peers list a block only after its crashes have settled.
        crashed_at = block.heard_at - quarantine.CRASH_SETTLE_S
        if self._clock.now() - age_s > crashed_at:
            del self._blocks[name]

    def tick(self) -> None:
        """Remove the blocks that have ended."""
        now = self._clock.now()
        self._blocks = {
            fingerprint: block
            for fingerprint, block in self._blocks.items()
            if block.until > now
        }
