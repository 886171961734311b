"""The runners that have said in a response to this VM that they leave.

The store may list such a runner as ready for a while, or be down. What the
runner said itself holds until its process has ended.
"""

import typing


class StatedLeavings:
    """The runners that leave by their own word."""

    __slots__ = ("_sequences",)

    def __init__(self) -> None:
        #: The number of the last heartbeat known when a runner said so.
        self._sequences: dict[str, int] = {}

    @property
    def names(self) -> frozenset[str]:
        """The runners that have said that they leave."""
        return frozenset(self._sequences)

    def record(self, runner: str, sequence: int) -> bool:
        """Record that a runner says that it leaves.

        :param sequence: number of the last heartbeat in its entry.
        :returns: whether this is new.
        """
        is_new = runner not in self._sequences
        self._sequences.setdefault(runner, sequence)
        return is_new

    def keep_only(self, sequences: typing.Mapping[str, int]) -> None:
        """Forget the runners whose processes have ended.

        A start resets the number of a runner's heartbeats. That tells a new
        process of the same name if the entry has no time of its start.

        :param sequences: the listed runners, with the numbers of their last
            heartbeats.
        """
        self._sequences = {
            runner: sequence
            for runner, sequence in self._sequences.items()
            if runner in sequences and sequences[runner] >= sequence
        }
