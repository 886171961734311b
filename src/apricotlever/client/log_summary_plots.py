"""Plots a log summary as one HTML page."""

import collections
import html
import io
import json
import typing

import matplotlib
from matplotlib import axes
from matplotlib import figure

from . import log_summary
from . import losses

matplotlib.use("svg")

#: Number of time bins in a plot over time.
TIME_BINS = 40
PERCENTILES = (50, 95, 99)
#: Maximum number of bars in a plot by name; the highest are kept.
MAX_BARS = 40


def render_page(summary: log_summary.LogSummary) -> str:
    """Render an HTML page with the plots and the counts."""
    document = html.escape(json.dumps(summary.document, indent=2))
    svg = _render_svg(summary)
    return (
        "<!doctype html><meta charset=utf-8><title>apricotlever report"
        f"</title>{svg[svg.index('<svg'):]}<pre>{document}</pre>\n"
    )


def _render_svg(summary: log_summary.LogSummary) -> str:
    drawn = figure.Figure(figsize=(14, 16), layout="constrained")
    plots = drawn.subplots(4, 2)
    _plot_latency_over_time(plots[0][0], summary)
    _plot_outcomes(plots[0][1], summary)
    _plot_latency_by_route(plots[1][0], summary)
    _plot_reasons(plots[1][1], summary)
    _plot_requests_by_runner(plots[2][0], summary)
    _plot_failures_by_runner(plots[2][1], summary)
    _plot_losses_over_time(plots[3][0], summary)
    _plot_losses_by_route(plots[3][1], summary)
    text = io.StringIO()
    drawn.savefig(text, format="svg")
    return text.getvalue()


def _plot_latency_over_time(
    plot: axes.Axes, summary: log_summary.LogSummary
) -> None:
    width_s = _bin_width_s(summary)
    bins: dict[int, list[float]] = collections.defaultdict(list)
    for result in _served_results(summary):
        bins[int(result.at_s / width_s)].append(result.took_s or 0.0)
    at = sorted(bins)
    for percent in PERCENTILES:
        values = [_percentile(bins[n], percent) for n in at]
        plot.plot([n * width_s for n in at], values, label=f"p{percent}")
    _draw_fleet_events(plot, summary)
    if bins:
        plot.set_yscale("log")
        plot.legend()
    plot.set(title="latency of whole answers", xlabel="s", ylabel="s")


def _plot_outcomes(plot: axes.Axes, summary: log_summary.LogSummary) -> None:
    width_s = _bin_width_s(summary)
    bottom = [0] * (TIME_BINS + 1)
    at = [n * width_s for n in range(TIME_BINS + 1)]
    for outcome in (
        log_summary.SERVED,
        log_summary.REFUSED,
        log_summary.FAILED,
    ):
        counts = [0] * (TIME_BINS + 1)
        for result in summary.results:
            if result.outcome == outcome:
                counts[min(TIME_BINS, int(result.at_s / width_s))] += 1
        plot.bar(at, counts, width_s, bottom, align="edge", label=outcome)
        bottom = [a + b for a, b in zip(bottom, counts)]
    _draw_fleet_events(plot, summary)
    plot.set(title="requests by outcome", xlabel="s")
    plot.legend()


def _plot_latency_by_route(
    plot: axes.Axes, summary: log_summary.LogSummary
) -> None:
    routes: dict[str, list[float]] = collections.defaultdict(list)
    for result in _served_results(summary):
        routes[result.route].append(result.took_s or 0.0)
    names = sorted(routes)
    if not names:
        return
    for offset, percent in enumerate(PERCENTILES):
        values = [_percentile(routes[name], percent) for name in names]
        at = [n + 0.3 * offset for n in range(len(names))]
        plot.bar(at, values, 0.3, label=f"p{percent}")
    plot.set_xticks(range(len(names)), names, rotation=20)
    plot.set(title="latency of whole answers by route", ylabel="s")
    plot.legend()


def _plot_reasons(plot: axes.Axes, summary: log_summary.LogSummary) -> None:
    counts = collections.Counter(
        result.reason for result in summary.results if result.reason
    )
    found = counts.most_common()[::-1]
    plot.barh([name for name, _ in found], [count for _, count in found])
    plot.set(title="requests not served, by reason")


def _plot_requests_by_runner(
    plot: axes.Axes, summary: log_summary.LogSummary
) -> None:
    counts = collections.Counter(
        result.runner for result in summary.results if result.runner
    )
    _plot_bars(plot, counts, "requests by runner")


def _plot_failures_by_runner(
    plot: axes.Axes, summary: log_summary.LogSummary
) -> None:
    counts = collections.Counter(
        result.runner
        for result in summary.results
        if result.runner and result.outcome == log_summary.FAILED
    )
    _plot_bars(plot, counts, "failed requests by runner")


def _plot_losses_over_time(
    plot: axes.Axes, summary: log_summary.LogSummary
) -> None:
    by_reason: dict[str, list[float]] = collections.defaultdict(list)
    for result in summary.losses.results:
        by_reason[losses.loss_reason(result)].append(result.at_s)
    if by_reason:
        names = sorted(by_reason, key=lambda name: -len(by_reason[name]))
        plot.hist(
            [by_reason[name] for name in names],
            TIME_BINS,
            stacked=True,
            label=names,
        )
        plot.legend(fontsize=6)
    _draw_fleet_events(plot, summary)
    plot.set(title="lost or late requests by reason", xlabel="s")


def _plot_losses_by_route(
    plot: axes.Axes, summary: log_summary.LogSummary
) -> None:
    counts = collections.Counter(
        result.route for result in summary.losses.results
    )
    _plot_bars(plot, counts, "lost or late requests by route")


def _plot_bars(
    plot: axes.Axes, counts: collections.Counter[str], title: str
) -> None:
    found = counts.most_common(MAX_BARS)
    names = [name for name, _ in found]
    plot.bar(range(len(found)), [count for _, count in found])
    plot.set_xticks(range(len(found)), names, rotation=90, fontsize=6)
    plot.set(title=title)


def _draw_fleet_events(
    plot: axes.Axes, summary: log_summary.LogSummary
) -> None:
    for event in summary.fleet_events:
        plot.axvline(event.at_s, color="black", linestyle=":", linewidth=0.5)


def _served_results(
    summary: log_summary.LogSummary,
) -> typing.Iterator[log_summary.RequestResult]:
    return (
        result
        for result in summary.results
        if result.outcome == log_summary.SERVED
    )


def _bin_width_s(summary: log_summary.LogSummary) -> float:
    return (
        max((result.at_s for result in summary.results), default=1.0)
        / TIME_BINS
        or 1.0
    )


def _percentile(values: list[float], percent: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]
