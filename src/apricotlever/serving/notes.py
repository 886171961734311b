"""What the holder of the duties writes down in the store for all.

One object holds counts that are not reported yet and what is left of each
customer's limit, so that neither dies with the processes that knew it.
"""

import typing

from .. import clock as clocks

from . import store

KIND = "usage"
NAME = "checkpoint"
COUNTS = "counts"
LEVELS = "levels"
WRITTEN_AT = "written_at"
#: Notes that are older tell nothing of limits, in seconds.
OLD_S = 30.0


def compose(
    counts: store.Json, levels: typing.Mapping[str, float], wall: float
) -> store.Json:
    """The notes as they are stored.

    :param wall: the time of day, in seconds.
    """
    return {COUNTS: counts, LEVELS: dict(levels), WRITTEN_AT: wall}


def counts(spec: store.Json) -> dict[int, dict[str, dict[str, int]]]:
    """Usage counts by window, process and customer."""
    return {
        int(window): table for window, table in spec.get(COUNTS, {}).items()
    }


async def read_levels(
    store_: store.Store, clock: clocks.Clock
) -> dict[str, float]:
    """What is left of each limit, by the notes.

    :raises store.StoreError: when they can't be read.
    """
    found = await store_.get(KIND, NAME)
    if found is None:
        return {}
    if abs(clock.wall() - float(found.spec[WRITTEN_AT])) > OLD_S:
        return {}
    return {str(k): float(v) for k, v in found.spec[LEVELS].items()}
