"""Slopes: growth of each role's state, messages and processor time.

Each slope is measured at four or more sizes, and a straight line is fitted to
the values. ``residual`` is the largest distance of a value from the line, as
a fraction of the largest value. ``--relay`` adds the cost of relayed events,
which ``python -m bench relay`` measures on a real daemon; the option names a
file with the output of that command.
"""

import argparse
import json
import statistics

from . import _slope_call_cases  # noqa: F401
from . import _slope_cases


def run(arguments: list[str]) -> int:
    """Measure all slopes, or those that the arguments name."""
    parser = argparse.ArgumentParser(prog="bench slopes", description=__doc__)
    parser.add_argument("names", nargs="*", help="slopes (default: all)")
    parser.add_argument("--relay", help="output file of bench relay")
    options = parser.parse_args(arguments)
    for name in options.names or _slope_cases.SLOPES:
        slope = _slope_cases.SLOPES[name]
        points = [(float(size), slope.measure(size)) for size in slope.sizes]
        print(json.dumps(_slope_row(slope.name, slope.x, slope.y, points)))
    if options.relay:
        for row in _relay_rows(options.relay):
            print(json.dumps(row))
    return 0


def fit_line(points: _slope_cases.Points) -> tuple[float, float, float]:
    """Fit a straight line by least squares.

    :returns: the value at zero, the growth per unit, and the largest
        residual as a fraction of the largest value.
    """
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    growth, start = statistics.linear_regression(xs, ys)
    largest = max(map(abs, ys)) or 1.0
    residual = max(abs(y - start - growth * x) for x, y in points) / largest
    return start, growth, residual


def _slope_row(
    name: str, x: str, y: str, points: _slope_cases.Points
) -> dict[str, object]:
    start, growth, residual = fit_line(points)
    return {
        "slope": name,
        "x": x,
        "y": y,
        "points": [[size, round(value, 4)] for size, value in points],
        "start": round(start, 4),
        "growth": round(growth, 6),
        "residual": round(residual, 4),
    }


def _relay_rows(path: str) -> list[dict[str, object]]:
    with open(path, encoding="utf-8") as lines:
        rows = [json.loads(line) for line in lines if line.strip()]
    streams = [row for row in rows if row.get("case") == "streams"]
    idle = [row for row in rows if row.get("case") == "idle"]
    core_points = [
        (row["events_per_s"], 100.0 * row["core"])
        for row in idle + streams
        if "events_per_s" in row
    ]
    memory_points = [(0.0, row["rss_bytes"] / 1e6) for row in idle]
    memory_points += [
        (row["streams"], row["rss_bytes"] / 1e6) for row in streams
    ]
    core_points = [(0.0, 100.0 * row["core"]) for row in idle] + core_points
    return [
        _slope_row("relay_core", "events/s", "% of a core", core_points),
        _slope_row("relay_memory", "open streams", "MB", memory_points),
    ]
