"""Call counters and latency histograms, in the Prometheus text format.

Each value has a line of its own, with its labels in braces.
"""

import typing

if typing.TYPE_CHECKING:
    from .. import histograms

#: Maximum number of histograms of single customers. Each pair of customer and
#: kind of call uses two of them, one per measure. Without a limit their number
#: would grow with that of the customers.
MAX_HISTOGRAMS = 48
QUANTILES = (0.5, 0.9, 0.99)
PREFIX = "apricotlever"

#: Metrics with one label. The key is the name of a metric and that of its
#: label; the value maps each value of the label to the metric's value.
LabelledMetrics = typing.Mapping[tuple[str, str], typing.Mapping[str, float]]


class CallMetrics:
    """Counters and histograms of the calls that this process handled."""

    __slots__ = ("_histograms", "_refused", "_served")

    def __init__(self) -> None:
        self._histograms: "histograms.Histograms | None" = None
        self._refused: dict[str, int] = {}
        self._served: dict[str, int] = {}

    def record_refused(self, reason: str) -> None:
        """Record a call that ended without an answer from a runner.

        :param reason: why the call was refused. Only the part before the first
            colon is the label of the counter: the rest may differ for each
            failure, and would add a counter for each.
        """
        kind = reason.partition(":")[0]
        self._refused[kind] = self._refused.get(kind, 0) + 1

    def record_served(
        self,
        customer: str,
        kind: str,
        first_s: float | None,
        whole_s: float,
    ) -> None:
        """Record a call that was answered successfully.

        :param kind: the kind of call, such as a stream.
        :param first_s: the time to the first token, in seconds; None if not
            measured.
        :param whole_s: the time to the end of the answer, in seconds.
        """
        # Imported at the first answer, as the import takes about a tenth of
        # the start of a process, when callers are waiting.
        from .. import histograms

        self._served[customer] = self._served.get(customer, 0) + 1
        if self._histograms is None:
            self._histograms = histograms.Histograms(MAX_HISTOGRAMS)
        record = self._histograms.record
        record(histograms.WHOLE_ANSWER, customer, kind, whole_s)
        if first_s is not None:
            record(histograms.FIRST_TOKEN, customer, kind, first_s)

    def format_text(
        self,
        gauges: typing.Mapping[str, float],
        labelled: LabelledMetrics,
    ) -> str:
        """All metrics in the text format, one value a line.

        :param gauges: further values without a label, by name.
        :param labelled: further values with a label.
        """
        lines = [
            f"{PREFIX}_{name} {_format_value(value)}"
            for name, value in gauges.items()
        ]
        lines += _format_labelled("served_total", "customer", self._served)
        lines += _format_labelled("refused_total", "reason", self._refused)
        for (name, label), values in labelled.items():
            lines += _format_labelled(name, label, values)
        if self._histograms is not None:
            for latency in self._histograms.distributions():
                lines += _format_quantiles(latency)
        return "\n".join([*lines, ""])


def _format_value(value: float) -> str:
    """Format a value: an integer with all digits, else with six significant.

    With six digits, a count in the millions would be rounded to tens.
    """
    return str(int(value)) if value == int(value) else f"{value:.6g}"


def _format_labelled(
    name: str, label: str, values: typing.Mapping[str, float]
) -> list[str]:
    return [
        f'{PREFIX}_{name}{{{label}="{key}"}} {_format_value(value)}'
        for key, value in sorted(values.items())
    ]


def _format_quantiles(latency: "histograms.Distribution") -> list[str]:
    name = f"{PREFIX}_{latency.measure}_seconds"
    labels = f'customer="{latency.customer}",kind="{latency.service_class}"'
    lines = [
        f'{name}{{{labels},quantile="{quantile:g}"}} '
        f"{latency.percentile(100.0 * quantile):.6g}"
        for quantile in QUANTILES
    ]
    return [*lines, f"{name}_count{{{labels}}} {latency.count}"]
