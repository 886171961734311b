"""Plots of a load run, as an SVG file or a page that holds it."""

import collections
import html
import io
import json
import pathlib
import typing

import matplotlib

matplotlib.use("svg")

from matplotlib import axes  # noqa: E402
from matplotlib import figure  # noqa: E402

from . import _demo_report  # noqa: E402
from . import _load_calls  # noqa: E402

BINS = 30
LOG_BINS = 60
US_PER_S = 1_000_000
LEAST_S = 1e-4
Document = dict[str, typing.Any]


def write(
    rows: list[Document], faults: list[Document], total: Document, path: str
) -> None:
    """Write the report.

    :param rows: records of requests.
    :param faults: records of faults, marked in the plots over time.
    :param total: the summary.
    :param path: ends in ``.svg`` or ``.html``.
    """
    svg = _svg(rows, faults)
    target = pathlib.Path(path)
    if target.suffix != ".html":
        target.write_text(svg)
        return
    shown = {k: v for k, v in total.items() if k != "histograms"}
    summary = html.escape(json.dumps(shown, indent=2))
    target.write_text(
        "<!doctype html><meta charset=utf-8><title>load run</title>"
        f"{svg[svg.index('<svg'):]}<pre>{summary}</pre>\n"
    )


def _svg(rows: list[Document], faults: list[Document]) -> str:
    page = figure.Figure(figsize=(14, 12), layout="constrained")
    plots = page.subplots(3, 2)
    _over_time(plots[0][0], rows, faults)
    _outcomes(plots[0][1], rows, faults)
    first = [row["first_token_s"] for row in rows if row["first_token_s"]]
    _histogram(plots[1][0], first, "time to the first token")
    gaps = [us / US_PER_S for row in rows for us in row["gaps_us"]]
    _histogram(plots[1][1], gaps, "time between tokens")
    _by_class(plots[2][0], rows)
    _lag(plots[2][1], rows)
    text = io.StringIO()
    page.savefig(text, format="svg")
    return text.getvalue()


def _over_time(
    plot: axes.Axes, rows: list[Document], faults: list[Document]
) -> None:
    width_s = _bin_width_s(rows)
    bins: dict[int, list[float]] = collections.defaultdict(list)
    for row in rows:
        if row["first_token_s"] is not None:
            bins[int(row["at_s"] / width_s)].append(row["first_token_s"])
    at = sorted(bins)
    for percent in (50, 95, 99):
        values = [_demo_report.percentile(bins[n], percent) for n in at]
        plot.plot([n * width_s for n in at], values, label=f"p{percent}")
    _mark(plot, faults)
    plot.set_yscale("log")
    plot.set(title="time to the first token", xlabel="s", ylabel="s")
    plot.legend()


def _outcomes(
    plot: axes.Axes, rows: list[Document], faults: list[Document]
) -> None:
    width_s = _bin_width_s(rows)
    names = sorted({row["outcome"] for row in rows})
    last = max((int(row["at_s"] / width_s) for row in rows), default=0)
    bottom = [0] * (last + 1)
    for name in names:
        counts = [0] * (last + 1)
        for row in rows:
            if row["outcome"] == name:
                counts[int(row["at_s"] / width_s)] += 1
        at = [n * width_s for n in range(last + 1)]
        plot.bar(at, counts, width_s, bottom, align="edge", label=name)
        bottom = [a + b for a, b in zip(bottom, counts)]
    _mark(plot, faults)
    plot.set(title="requests by outcome", xlabel="s")
    plot.legend()


def _histogram(plot: axes.Axes, values: list[float], title: str) -> None:
    most = max(values, default=1.0)
    factor = (max(most, LEAST_S * 2) / LEAST_S) ** (1 / LOG_BINS)
    edges = [LEAST_S * factor**n for n in range(LOG_BINS + 1)]
    plot.hist([max(value, LEAST_S) for value in values], bins=edges)
    plot.set_xscale("log")
    plot.set(title=title, xlabel="s")


def _by_class(plot: axes.Axes, rows: list[Document]) -> None:
    names = sorted({row["class"] for row in rows})
    for offset, percent in enumerate((50, 95)):
        values = [
            _demo_report.percentile(
                (
                    row["first_token_s"] or row["whole_s"]
                    for row in rows
                    if row["class"] == name
                    and row["outcome"] == _load_calls.WHOLE
                ),
                percent,
            )
            or 0.0
            for name in names
        ]
        at = [n + 0.4 * offset for n in range(len(names))]
        plot.bar(at, values, 0.4, label=f"p{percent}")
    plot.set_xticks(range(len(names)), names, rotation=20)
    plot.set(title="first token or whole answer by class", ylabel="s")
    plot.legend()


def _lag(plot: axes.Axes, rows: list[Document]) -> None:
    at = [row["at_s"] for row in rows]
    plot.plot(at, [row["lag_s"] * 1000 for row in rows], ".", markersize=2)
    plot.set(title="lateness of the generator", xlabel="s", ylabel="ms")


def _mark(plot: axes.Axes, faults: list[Document]) -> None:
    for each in faults:
        plot.axvline(each["at_s"], color="black", linestyle=":")
        label = f" {each['fault']} {' '.join(each['arguments'][:1])}"
        top = plot.get_ylim()[1]
        plot.text(each["at_s"], top, label, rotation=90, va="top", fontsize=7)


def _bin_width_s(rows: list[Document]) -> float:
    return max((row["at_s"] for row in rows), default=1.0) / BINS or 1.0
