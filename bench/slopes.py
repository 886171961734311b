"""Slopes: how state, messages and processor time of each role grow.

Each slope has at least four sizes and a straight line fitted through them;
``residual`` is the largest distance of a point from the line, as a part of
the largest value. ``--relay`` adds the cost of relayed events, measured on
a real daemon, from `python -m bench relay` output in a file.
"""

import argparse
import json
import statistics

from . import _slope_cases
from . import _slope_links  # noqa: F401


def run(arguments: list[str]) -> int:
    """Measure every slope, or those named."""
    parser = argparse.ArgumentParser(prog="bench slopes", description=__doc__)
    parser.add_argument("names", nargs="*", help="default: all")
    parser.add_argument("--relay", help="a file of bench relay's output")
    options = parser.parse_args(arguments)
    for name in options.names or _slope_cases.SLOPES:
        slope = _slope_cases.SLOPES[name]
        points = [(float(size), slope.measure(size)) for size in slope.sizes]
        print(json.dumps(_line(slope.name, slope.x, slope.y, points)))
    if options.relay:
        for line in _relay_lines(options.relay):
            print(json.dumps(line))
    return 0


def fit(points: _slope_cases.Points) -> tuple[float, float, float]:
    """A straight line by least squares.

    :returns: value at zero, growth for each unit, largest residual as a
        part of the largest value.
    """
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    growth, start = statistics.linear_regression(xs, ys)
    largest = max(map(abs, ys)) or 1.0
    residual = max(abs(y - start - growth * x) for x, y in points) / largest
    return start, growth, residual


def _line(
    name: str, x: str, y: str, points: _slope_cases.Points
) -> dict[str, object]:
    start, growth, residual = fit(points)
    return {
        "slope": name,
        "x": x,
        "y": y,
        "points": [[size, round(value, 4)] for size, value in points],
        "start": round(start, 4),
        "growth": round(growth, 6),
        "residual": round(residual, 4),
    }


def _relay_lines(path: str) -> list[dict[str, object]]:
    with open(path, encoding="utf-8") as lines:
        rows = [json.loads(line) for line in lines if line.strip()]
    streams = [row for row in rows if row.get("case") == "streams"]
    idle = [row for row in rows if row.get("case") == "idle"]
    core = [
        (row["events_per_s"], 100.0 * row["core"])
        for row in idle + streams
        if "events_per_s" in row
    ]
    memory = [(0.0, row["rss_bytes"] / 1e6) for row in idle]
    memory += [(row["streams"], row["rss_bytes"] / 1e6) for row in streams]
    core = [(0.0, 100.0 * row["core"]) for row in idle] + core
    return [
        _line("relay_core", "events/s", "% of a core", core),
        _line("relay_memory", "open streams", "MB", memory),
    ]
