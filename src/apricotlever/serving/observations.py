"""Counters and latency histograms, shown as text to metrics readers.

The text is in the format of Prometheus: one line a value, its labels in
braces.
"""

import typing

if typing.TYPE_CHECKING:
    from .. import histograms

#: Pairs of customer and kind of call that have histograms of their own, twice.
#: Without a bound they would grow with the customers.
MOST_HISTOGRAMS = 48
QUANTILES = (0.5, 0.9, 0.99)
PREFIX = "apricotlever"

#: Values by the name of a metric with its label, and by the label's value.
Families = typing.Mapping[tuple[str, str], typing.Mapping[str, float]]


class Observations:
    """What this process counts of its calls."""

    __slots__ = ("_histograms", "_refused", "_served")

    def __init__(self) -> None:
        self._histograms: "histograms.Histograms | None" = None
        self._refused: dict[str, int] = {}
        self._served: dict[str, int] = {}

    def refused(self, reason: str) -> None:
        """A call ended without a runner's answer.

        :param reason: its first word is the label; a label for each runner's
            words would make a new counter for each failure.
        """
        kind = reason.partition(":")[0]
        self._refused[kind] = self._refused.get(kind, 0) + 1

    def served(
        self,
        customer: str,
        kind: str,
        first_s: float | None,
        whole_s: float,
    ) -> None:
        """A call was answered with success."""
        # Loaded with the first answer and not before it: that takes about a
        # tenth of a start, and callers are waiting then.
        from .. import histograms

        self._served[customer] = self._served.get(customer, 0) + 1
        if self._histograms is None:
            self._histograms = histograms.Histograms(MOST_HISTOGRAMS)
        record = self._histograms.record
        record(histograms.WHOLE_ANSWER, customer, kind, whole_s)
        if first_s is not None:
            record(histograms.FIRST_TOKEN, customer, kind, first_s)

    def text(
        self,
        gauges: typing.Mapping[str, float],
        families: Families,
    ) -> str:
        """All that is known, one value a line.

        :param gauges: further values by name.
        :param families: further values that have a label.
        """
        lines = [
            f"{PREFIX}_{name} {_shown(value)}"
            for name, value in gauges.items()
        ]
        lines += _labelled("served_total", "customer", self._served)
        lines += _labelled("refused_total", "reason", self._refused)
        for (name, label), values in families.items():
            lines += _labelled(name, label, values)
        if self._histograms is not None:
            for found in self._histograms.distributions():
                lines += _quantiles(found)
        return "\n".join([*lines, ""])


def _shown(value: float) -> str:
    """All digits of a count: six make steps of ten of a count of millions."""
    return str(int(value)) if value == int(value) else f"{value:.6g}"


def _labelled(
    name: str, label: str, values: typing.Mapping[str, float]
) -> list[str]:
    return [
        f'{PREFIX}_{name}{{{label}="{key}"}} {_shown(value)}'
        for key, value in sorted(values.items())
    ]


def _quantiles(found: "histograms.Distribution") -> list[str]:
    name = f"{PREFIX}_{found.measure}_seconds"
    labels = f'customer="{found.customer}",kind="{found.service_class}"'
    lines = [
        f'{name}{{{labels},quantile="{quantile:g}"}} '
        f"{found.percentile(100.0 * quantile):.6g}"
        for quantile in QUANTILES
    ]
    return [*lines, f"{name}_count{{{labels}}} {found.count}"]
