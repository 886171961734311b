"""Plots of a day as one page: latency, outcomes, refusals, runners."""

import collections
import html
import io
import json
import typing

import matplotlib
from matplotlib import axes
from matplotlib import figure

from . import day as days
from . import losses

matplotlib.use("svg")

#: Points of a plot over time.
BINS = 40
PERCENTS = (50, 95, 99)
#: Bars of the plot by runner; the busiest ones.
MOST_RUNNERS = 40


def page(day: days.Day) -> str:
    """A page of HTML with the plots and the counts."""
    shown = html.escape(json.dumps(day.document, indent=2))
    svg = _svg(day)
    return (
        "<!doctype html><meta charset=utf-8><title>apricotlever report"
        f"</title>{svg[svg.index('<svg'):]}<pre>{shown}</pre>\n"
    )


def _svg(day: days.Day) -> str:
    drawn = figure.Figure(figsize=(14, 16), layout="constrained")
    plots = drawn.subplots(4, 2)
    _latency_over_time(plots[0][0], day)
    _outcomes(plots[0][1], day)
    _latency_by_route(plots[1][0], day)
    _reasons(plots[1][1], day)
    _by_runner(plots[2][0], day)
    _failures_by_runner(plots[2][1], day)
    _losses_over_time(plots[3][0], day)
    _losses_by_route(plots[3][1], day)
    text = io.StringIO()
    drawn.savefig(text, format="svg")
    return text.getvalue()


def _latency_over_time(plot: axes.Axes, day: days.Day) -> None:
    width_s = _width_s(day)
    bins: dict[int, list[float]] = collections.defaultdict(list)
    for answer in _served(day):
        bins[int(answer.at_s / width_s)].append(answer.took_s or 0.0)
    at = sorted(bins)
    for percent in PERCENTS:
        values = [_percentile(bins[n], percent) for n in at]
        plot.plot([n * width_s for n in at], values, label=f"p{percent}")
    _mark(plot, day)
    if bins:
        plot.set_yscale("log")
        plot.legend()
    plot.set(title="whole answers", xlabel="s", ylabel="s")


def _outcomes(plot: axes.Axes, day: days.Day) -> None:
    width_s = _width_s(day)
    bottom = [0] * (BINS + 1)
    at = [n * width_s for n in range(BINS + 1)]
    for outcome in (days.SERVED, days.REFUSED, days.FAILED):
        counts = [0] * (BINS + 1)
        for answer in day.answers:
            if answer.outcome == outcome:
                counts[min(BINS, int(answer.at_s / width_s))] += 1
        plot.bar(at, counts, width_s, bottom, align="edge", label=outcome)
        bottom = [a + b for a, b in zip(bottom, counts)]
    _mark(plot, day)
    plot.set(title="requests by outcome", xlabel="s")
    plot.legend()


def _latency_by_route(plot: axes.Axes, day: days.Day) -> None:
    routes: dict[str, list[float]] = collections.defaultdict(list)
    for answer in _served(day):
        routes[answer.route].append(answer.took_s or 0.0)
    names = sorted(routes)
    if not names:
        return
    for offset, percent in enumerate(PERCENTS):
        values = [_percentile(routes[name], percent) for name in names]
        at = [n + 0.3 * offset for n in range(len(names))]
        plot.bar(at, values, 0.3, label=f"p{percent}")
    plot.set_xticks(range(len(names)), names, rotation=20)
    plot.set(title="whole answers by route", ylabel="s")
    plot.legend()


def _reasons(plot: axes.Axes, day: days.Day) -> None:
    counts = collections.Counter(a.reason for a in day.answers if a.reason)
    found = counts.most_common()[::-1]
    plot.barh([name for name, _ in found], [count for _, count in found])
    plot.set(title="not served, by reason")


def _by_runner(plot: axes.Axes, day: days.Day) -> None:
    counts = collections.Counter(a.runner for a in day.answers if a.runner)
    _bars(plot, counts, "requests by runner")


def _failures_by_runner(plot: axes.Axes, day: days.Day) -> None:
    counts = collections.Counter(
        a.runner for a in day.answers if a.runner and a.outcome == days.FAILED
    )
    _bars(plot, counts, "failed requests by runner")


def _losses_over_time(plot: axes.Axes, day: days.Day) -> None:
    by_reason: dict[str, list[float]] = collections.defaultdict(list)
    for answer in day.losses.answers:
        by_reason[losses.loss_reason(answer)].append(answer.at_s)
    if by_reason:
        names = sorted(by_reason, key=lambda name: -len(by_reason[name]))
        plot.hist(
            [by_reason[name] for name in names],
            BINS,
            stacked=True,
            label=names,
        )
        plot.legend(fontsize=6)
    _mark(plot, day)
    plot.set(title="lost or late, by reason", xlabel="s")


def _losses_by_route(plot: axes.Axes, day: days.Day) -> None:
    counts = collections.Counter(a.route for a in day.losses.answers)
    _bars(plot, counts, "lost or late, by route")


def _bars(
    plot: axes.Axes, counts: collections.Counter[str], title: str
) -> None:
    found = counts.most_common(MOST_RUNNERS)
    names = [name for name, _ in found]
    plot.bar(range(len(found)), [count for _, count in found])
    plot.set_xticks(range(len(found)), names, rotation=90, fontsize=6)
    plot.set(title=title)


def _mark(plot: axes.Axes, day: days.Day) -> None:
    for mark in day.marks:
        plot.axvline(mark.at_s, color="black", linestyle=":", linewidth=0.5)


def _served(day: days.Day) -> typing.Iterator[days.Answer]:
    return (a for a in day.answers if a.outcome == days.SERVED)


def _width_s(day: days.Day) -> float:
    return max((a.at_s for a in day.answers), default=1.0) / BINS or 1.0


def _percentile(values: list[float], percent: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]
