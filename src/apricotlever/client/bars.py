"""Histograms and tables for a terminal."""

import collections.abc
import itertools
import typing

from .. import histograms

Json = typing.Any

BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
    60.0,
    300.0,
)
BAR_CHARACTERS_MAX = 40
BAR_CHARACTER = "#"
PERCENTS = (50.0, 95.0, 99.0)


def duration(seconds: float) -> str:
    """Seconds in the unit that reads best."""
    if seconds < 1.0:
        return f"{seconds * 1000:.3g}ms"
    return f"{seconds:.4g}s"


def summary(found: histograms.Distribution) -> dict[str, Json]:
    """Count and percentiles of a distribution, in seconds."""
    percentiles = {
        f"p{percent:g}_s": found.percentile(percent) for percent in PERCENTS
    }
    return {
        "measure": found.measure,
        "customer": found.customer,
        "class": found.service_class,
        "count": found.count,
        **percentiles,
    }


def histogram(found: histograms.Distribution) -> str:
    """A title line, then one bar for each range that holds values."""
    named = summary(found)
    title = " ".join(f"{k}={_cell(k, v)}" for k, v in named.items())
    counts = found.counts_below(BOUNDS_S)
    labels = [f"<= {duration(bound)}" for bound in BOUNDS_S]
    labels.append(f" > {duration(BOUNDS_S[-1])}")
    highest = max(counts, default=0)
    bars = [
        f"  {label:>9} {_bar(count, highest)} {count}"
        for label, count in zip(labels, counts)
        if count
    ]
    return "\n".join([title, *bars])


def table(rows: collections.abc.Sequence[dict[str, Json]]) -> str:
    """Rows of equal fields as aligned columns under a heading."""
    if not rows:
        return "none"
    names = list(dict.fromkeys(itertools.chain.from_iterable(rows)))
    lines = [names, *([_text(row.get(n)) for n in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines)]
    padded = (
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths))
        for line in lines
    )
    return "\n".join(line.rstrip() for line in padded)


def _bar(count: int, highest: int) -> str:
    length = -(-count * BAR_CHARACTERS_MAX // highest)
    return BAR_CHARACTER * length


def _cell(name: str, value: Json) -> str:
    return duration(value) if name.endswith("_s") else str(value)


def _text(value: Json) -> str:
    if value is None:
        return "-"
    return f"{value:.6g}" if isinstance(value, float) else str(value)
