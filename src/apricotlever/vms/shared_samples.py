"""Counts that VMs observe and add up over the fleet, by topic and key.

A single VM sees too few calls to know how fast a runner is or how much a
customer sends. Each VM therefore sends what it has counted since its last full
record, and the others add it to their own sums. Receivers weigh old counts
less as time passes, so a count that is lost with a message or that arrives
twice makes little difference.
"""

import itertools
import typing

from .. import validation

#: Number of keys of one topic in a VM's record.
MAX_KEYS_PER_RECORD = 64
#: Number of keys of one topic in an aggregate, which covers many VMs.
MAX_KEYS_PER_AGGREGATE = 512
#: Number of counts of one key.
MAX_COUNTS = 12

#: Counts by topic and key.
Samples = dict[str, dict[str, list[int]]]

is_samples = validation.is_map_of(
    validation.is_non_empty_string,
    validation.is_map_of(
        validation.is_non_empty_string,
        lambda value: validation.is_list_of(validation.is_int)(value)
        and len(value) <= MAX_COUNTS,
    ),
)


class SampleBuffer:
    """Counts that have been observed but not been sent yet."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: Samples = {}

    def add(self, topic: str, key: str, counts: typing.Sequence[int]) -> None:
        """Add counts to those of a key.

        Counts of another length than before replace those of the key, as VMs
        of another version may count something else.
        """
        known = self._counts.setdefault(topic, {})
        before = known.get(key)
        if before is None or len(before) != len(counts):
            known[key] = list(counts)
            return
        for index, count in enumerate(counts):
            before[index] += count

    def merge(self, samples: Samples) -> None:
        """Add the counts that another VM has sent."""
        for topic, by_key in samples.items():
            for key, counts in by_key.items():
                self.add(topic, key, counts)

    def take(self, max_keys: int) -> Samples:
        """Remove counts from the buffer, to be sent.

        :param max_keys: number of keys of each topic, in the order in which
            they were first added; the others stay in the buffer.
        """
        taken: Samples = {}
        for topic, by_key in self._counts.items():
            keys = list(itertools.islice(by_key, max_keys))
            if keys:
                taken[topic] = {key: by_key.pop(key) for key in keys}
        return taken
