"""Checkpoint that the holder of the usage duty writes to the store.

One object holds the usage counts that are not reported yet and the level of
each customer's limit, the units left. Both survive the end of all processes
that knew them.
"""

import typing

from .. import clock as clocks
from .. import logs
from .. import validation

from . import store

#: Kind and name of the checkpoint's object in the store.
KIND = "usage"
NAME = "checkpoint"
#: Fields of the object's value.
COUNTS = "counts"
LEVELS = "levels"
WRITTEN_AT = "written_at"
#: Maximum age of a checkpoint, in seconds, for its levels to be used. The
#: usage counts are used at any age.
MAX_LEVEL_AGE_S = 30.0


def compose_checkpoint(
    counts: store.Json, levels: typing.Mapping[str, float], wall: float
) -> store.Json:
    """Build the value of the checkpoint's object.

    :param counts: usage counts by window, process and customer.
    :param levels: units left of each limit, by customer.
    :param wall: the wall clock time, in seconds.
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


def parse_counts(spec: store.Json) -> dict[int, dict[str, dict[str, int]]]:
    """Read the usage counts of a checkpoint.

    :returns: counts by window, process and customer; empty if the checkpoint
        is malformed.
    """
    found: store.Json = {}
    if isinstance(spec, dict):
        found = spec.get(COUNTS, {})
    if not _IS_TABLES(found):
        logs.event("stored_refused", kind=KIND, object=NAME, part=COUNTS)
        return {}
    return {int(window): table for window, table in found.items()}


def parse_fixed_counts(spec: store.Json) -> dict[str, int] | None:
    """Read the usage counts of one window that were fixed for its report.

    They are in an object of their own, of the same kind as the checkpoint.

    :param spec: the object's value.
    :returns: counts by customer; None if the stored object is malformed.
    """
    return dict(spec) if _IS_COUNTS(spec) else None


async def read_levels(
    store_: store.Store, clock: clocks.Clock
) -> dict[str, float]:
    """Read the levels of all customers' limits from the checkpoint.

    :returns: units left, by customer; empty if the checkpoint is missing, too
        old or malformed.
    :raises store.StoreError: if the store can't be read.
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
