"""Adds up counts by name, such as those of several VMs by runner."""

import typing

#: Counts by name.
Counts = dict[str, int]
#: Pairs of counts by name.
Pairs = dict[str, tuple[int, int]]


def sum_counts(parts: typing.Iterable[typing.Mapping[str, int]]) -> Counts:
    """Add up maps of counts, name by name."""
    sums: Counts = {}
    for part in parts:
        for name, count in part.items():
            sums[name] = sums.get(name, 0) + count
    return sums


def sum_pairs(
    parts: typing.Iterable[typing.Mapping[str, tuple[int, int]]],
) -> Pairs:
    """Add up maps of pairs of counts, name by name."""
    sums: Pairs = {}
    for part in parts:
        for name, (one, two) in part.items():
            before = sums.get(name, (0, 0))
            sums[name] = (before[0] + one, before[1] + two)
    return sums


def count_lists(lists: typing.Iterable[typing.Iterable[str]]) -> Counts:
    """Count the lists that contain a name, by name."""
    return sum_counts(dict.fromkeys(names, 1) for names in lists)
