"""Formats histograms and tables as text for a terminal."""

import collections.abc
import itertools
import typing

from .. import histograms

Json = typing.Any

BUCKET_BOUNDS_S = (
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
MAX_BAR_WIDTH = 40
BAR_CHARACTER = "#"
PERCENTILES = (50.0, 95.0, 99.0)


def format_duration(seconds: float) -> str:
    """Format a duration in milliseconds or seconds.

    :param seconds: the duration, in seconds.
    """
    if seconds < 1.0:
        return f"{seconds * 1000:.3g}ms"
    return f"{seconds:.4g}s"


def summarize_distribution(
    distribution: histograms.Distribution,
) -> dict[str, Json]:
    """The labels, count and percentiles of a latency distribution.

    :returns: fields by name; percentiles are in seconds.
    """
    percentiles = {
        f"p{percent:g}_s": distribution.percentile(percent)
        for percent in PERCENTILES
    }
    return {
        "measure": distribution.measure,
        "customer": distribution.customer,
        "class": distribution.service_class,
        "count": distribution.count,
        **percentiles,
    }


def format_histogram(distribution: histograms.Distribution) -> str:
    """Format a latency distribution as a title and one bar per bucket.

    Empty buckets are left out.
    """
    fields = summarize_distribution(distribution)
    title = " ".join(f"{k}={_format_field(k, v)}" for k, v in fields.items())
    counts = distribution.counts_below(BUCKET_BOUNDS_S)
    labels = [f"<= {format_duration(bound)}" for bound in BUCKET_BOUNDS_S]
    labels.append(f" > {format_duration(BUCKET_BOUNDS_S[-1])}")
    highest = max(counts, default=0)
    bars = [
        f"  {label:>9} {_format_bar(count, highest)} {count}"
        for label, count in zip(labels, counts)
        if count
    ]
    return "\n".join([title, *bars])


def format_table(rows: collections.abc.Sequence[dict[str, Json]]) -> str:
    """Format rows as aligned columns under a heading.

    :param rows: fields by name; a missing field is shown as ``-``.
    """
    if not rows:
        return "none"
    names = list(dict.fromkeys(itertools.chain.from_iterable(rows)))
    lines = [
        names,
        *([_format_cell(row.get(n)) for n in names] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*lines)]
    padded = (
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths))
        for line in lines
    )
    return "\n".join(line.rstrip() for line in padded)


def _format_bar(count: int, highest: int) -> str:
    # The division rounds up, so that every non-zero count has a visible bar.
    length = -(-count * MAX_BAR_WIDTH // highest)
    return BAR_CHARACTER * length


def _format_field(name: str, value: Json) -> str:
    return format_duration(value) if name.endswith("_s") else str(value)


def _format_cell(value: Json) -> str:
    if value is None:
        return "-"
    return f"{value:.6g}" if isinstance(value, float) else str(value)
