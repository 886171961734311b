"""What the holder of the duties writes down in the store for all.

One object holds counts that are not reported yet and what is left of each
customer's limit, so that neither dies with the processes that knew it.
"""

import typing

from .. import clock as clocks
from .. import logs
from .. import shapes

from . import store

KIND = "usage"
NAME = "checkpoint"
COUNTS = "counts"
LEVELS = "levels"
WRITTEN_AT = "written_at"
#: Between two writings, in seconds.
WRITTEN_EVERY_S = 1.0
#: How far two VMs' clocks, and the way of a writing, may be apart, in seconds.
CLOCKS_APART_S = 0.2
#: Notes that are older tell nothing of limits, in seconds.
OLD_S = 30.0


class Left:
    """What is left of the limits, by the notes.

    :param levels: by customer, when the notes were written.
    :param quiet_s: for how long nobody has let anything in since, if all
        processes ended together.
    """

    __slots__ = ("levels", "quiet_s")

    def __init__(self, levels: dict[str, float], quiet_s: float) -> None:
        self.levels = levels
        self.quiet_s = quiet_s


def compose(
    counts: store.Json, levels: typing.Mapping[str, float], wall: float
) -> store.Json:
    """The notes as they are stored.

    :param wall: the time of day, in seconds.
    """
    return {COUNTS: counts, LEVELS: dict(levels), WRITTEN_AT: wall}


_IS_COUNTS = shapes.is_map(shapes.is_text, shapes.is_whole)
_IS_TABLES = shapes.is_map(
    lambda window: isinstance(window, str) and window.isdecimal(),
    shapes.is_map(shapes.is_text, _IS_COUNTS),
)
_IS_LEVELS = shapes.is_map(shapes.is_text, shapes.is_finite)


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


async def read_levels(store_: store.Store, clock: clocks.Clock) -> Left:
    """What is left of each limit, by the notes.

    After they were written, limits may have been used as fast as they allow
    until the next writing was due; since then nobody was there to write.

    :raises store.StoreError: when they can't be read.
    """
    found = await store_.get(KIND, NAME)
    if found is None:
        return Left({}, 0.0)
    spec = found.spec if isinstance(found.spec, dict) else {}
    written_at, levels = spec.get(WRITTEN_AT, -1.0), spec.get(LEVELS, {})
    if not shapes.is_number(written_at) or not _IS_LEVELS(levels):
        logs.event("stored_refused", kind=KIND, object=NAME, part=LEVELS)
        return Left({}, 0.0)
    age_s = clock.wall() - written_at
    if abs(age_s) > OLD_S:
        return Left({}, 0.0)
    quiet_s = age_s - WRITTEN_EVERY_S - CLOCKS_APART_S
    return Left(dict(levels), max(0.0, quiet_s))
