"""What the holder of the duties writes down in the store for all.

One object holds counts that are not reported yet and what is left of each
customer's limit, so that neither dies with the processes that knew it.
"""

import typing

from .. import clock as clocks
from .. import logs
from .. import validation

from . import store

KIND = "usage"
NAME = "checkpoint"
COUNTS = "counts"
LEVELS = "levels"
WRITTEN_AT = "written_at"
#: Notes that are older tell nothing of limits, in seconds.
MAX_LEVEL_AGE_S = 30.0


def compose(
    counts: store.Json, levels: typing.Mapping[str, float], wall: float
) -> store.Json:
    """The notes as they are stored.

    :param wall: the time of day, in seconds.
    """
    return {COUNTS: counts, LEVELS: dict(levels), WRITTEN_AT: wall}


_IS_COUNTS = validation.is_map_of(
    validation.is_non_empty_string, validation.is_non_negative_int
)
_IS_TABLES = validation.is_map_of(
    lambda window: isinstance(window, str) and window.isdecimal(),
    validation.is_map_of(validation.is_non_empty_string, _IS_COUNTS),
)
_IS_LEVELS = validation.is_map_of(
    validation.is_non_empty_string, validation.is_finite_number
)


def counts(spec: store.Json) -> dict[int, dict[str, dict[str, int]]]:
    """Usage counts by window, process and customer; none if unreadable."""
    found: store.Json = {}
    if isinstance(spec, dict):
        found = spec.get(COUNTS, {})
    if not _IS_TABLES(found):
        logs.event("stored_refused", kind=KIND, object=NAME, part=COUNTS)
        return {}
    return {int(window): table for window, table in found.items()}


def fixed_counts(spec: store.Json) -> dict[str, int] | None:
    """The counts of a window as they were fixed; None if unreadable."""
    return dict(spec) if _IS_COUNTS(spec) else None


async def read_levels(
    store_: store.Store, clock: clocks.Clock
) -> dict[str, float]:
    """What is left of each limit, by the notes.

    :raises store.StoreError: when they can't be read.
    """
    found = await store_.get(KIND, NAME)
    if found is None:
        return {}
    spec = found.spec if isinstance(found.spec, dict) else {}
    written_at, levels = spec.get(WRITTEN_AT, -1.0), spec.get(LEVELS, {})
    if not validation.is_non_negative_number(written_at) or not _IS_LEVELS(
        levels
    ):
        logs.event("stored_refused", kind=KIND, object=NAME, part=LEVELS)
        return {}
    return (
        dict(levels)
        if abs(clock.wall() - written_at) <= MAX_LEVEL_AGE_S
        else {}
    )
