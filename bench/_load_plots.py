"""Plots a load run as an SVG file or an HTML page with the SVG inline."""

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
from . import _load_client  # noqa: E402

TIME_BINS = 30
HISTOGRAM_BINS = 60
US_PER_S = 1_000_000
MIN_S = 1e-4
Document = dict[str, typing.Any]


def write_report(
    rows: list[Document], faults: list[Document], total: Document, path: str
) -> None:
    """Write the plots of a run to a file.

    :param rows: the records of the requests.
    :param faults: the records of the faults; the plots over time mark them.
    :param total: the summary; only an HTML page contains it.
    :param path: the file. It contains an HTML page if the suffix is
        ``.html``, else SVG.
    """
    svg = _render_svg(rows, faults)
    target = pathlib.Path(path)
    if target.suffix != ".html":
        target.write_text(svg)
        return
    printed = {k: v for k, v in total.items() if k != "histograms"}
    summary = html.escape(json.dumps(printed, indent=2))
    target.write_text(
        "<!doctype html><meta charset=utf-8><title>load run</title>"
        f"{svg[svg.index('<svg'):]}<pre>{summary}</pre>\n"
    )


def _render_svg(rows: list[Document], faults: list[Document]) -> str:
    chart = figure.Figure(figsize=(14, 12), layout="constrained")
    plots = chart.subplots(3, 2)
    _plot_first_tokens(plots[0][0], rows, faults)
    _plot_outcomes(plots[0][1], rows, faults)
    first_tokens = [
        row["first_token_s"] for row in rows if row["first_token_s"]
    ]
    _plot_histogram(plots[1][0], first_tokens, "time to the first token")
    gaps = [us / US_PER_S for row in rows for us in row["gaps_us"]]
    _plot_histogram(plots[1][1], gaps, "time between tokens")
    _plot_classes(plots[2][0], rows)
    _plot_lag(plots[2][1], rows)
    text = io.StringIO()
    chart.savefig(text, format="svg")
    return text.getvalue()


def _plot_first_tokens(
    plot: axes.Axes, rows: list[Document], faults: list[Document]
) -> None:
    width_s = _bin_width_s(rows)
    bins: dict[int, list[float]] = collections.defaultdict(list)
    for row in rows:
        if row["first_token_s"] is not None:
            bins[int(row["at_s"] / width_s)].append(row["first_token_s"])
    times = sorted(bins)
    for percent in (50, 95, 99):
        values = [_demo_report.percentile(bins[n], percent) for n in times]
        plot.plot([n * width_s for n in times], values, label=f"p{percent}")
    _mark_faults(plot, faults)
    plot.set_yscale("log")
    plot.set(title="time to the first token", xlabel="s", ylabel="s")
    plot.legend()


def _plot_outcomes(
    plot: axes.Axes, rows: list[Document], faults: list[Document]
) -> None:
    width_s = _bin_width_s(rows)
    names = sorted({row["outcome"] for row in rows})
    last_bin = max((int(row["at_s"] / width_s) for row in rows), default=0)
    bottom = [0] * (last_bin + 1)
    for name in names:
        counts = [0] * (last_bin + 1)
        for row in rows:
            if row["outcome"] == name:
                counts[int(row["at_s"] / width_s)] += 1
        times = [n * width_s for n in range(last_bin + 1)]
        plot.bar(times, counts, width_s, bottom, align="edge", label=name)
        bottom = [a + b for a, b in zip(bottom, counts)]
    _mark_faults(plot, faults)
    plot.set(title="requests by outcome", xlabel="s")
    plot.legend()


def _plot_histogram(plot: axes.Axes, values: list[float], title: str) -> None:
    max_value = max(values, default=1.0)
    factor = (max(max_value, MIN_S * 2) / MIN_S) ** (1 / HISTOGRAM_BINS)
    edges = [MIN_S * factor**n for n in range(HISTOGRAM_BINS + 1)]
    plot.hist([max(value, MIN_S) for value in values], bins=edges)
    plot.set_xscale("log")
    plot.set(title=title, xlabel="s")


def _plot_classes(plot: axes.Axes, rows: list[Document]) -> None:
    names = sorted({row["class"] for row in rows})
    for offset, percent in enumerate((50, 95)):
        values = [
            _demo_report.percentile(
                (
                    row["first_token_s"] or row["whole_s"]
                    for row in rows
                    if row["class"] == name
                    and row["outcome"] == _load_client.WHOLE
                ),
                percent,
            )
            or 0.0
            for name in names
        ]
        positions = [n + 0.4 * offset for n in range(len(names))]
        plot.bar(positions, values, 0.4, label=f"p{percent}")
    plot.set_xticks(range(len(names)), names, rotation=20)
    plot.set(
        title="time to the first token or whole answer, by class",
        ylabel="s",
    )
    plot.legend()


def _plot_lag(plot: axes.Axes, rows: list[Document]) -> None:
    times = [row["at_s"] for row in rows]
    plot.plot(times, [row["lag_s"] * 1000 for row in rows], ".", markersize=2)
    plot.set(title="lag of the load generator", xlabel="s", ylabel="ms")


def _mark_faults(plot: axes.Axes, faults: list[Document]) -> None:
    for each in faults:
        plot.axvline(each["at_s"], color="black", linestyle=":")
        label = f" {each['fault']} {' '.join(each['arguments'][:1])}"
        top = plot.get_ylim()[1]
        plot.text(each["at_s"], top, label, rotation=90, va="top", fontsize=7)


def _bin_width_s(rows: list[Document]) -> float:
    return max((row["at_s"] for row in rows), default=1.0) / TIME_BINS or 1.0
