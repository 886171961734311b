"""Reads metrics of entry VMs in the Prometheus text format."""

import re
import typing

from ..serving import call_metrics

_LINE = re.compile(rf"{call_metrics.PREFIX}_(\w+)\{{(.*)\}} (\S+)")
_LABEL = re.compile(r'(\w+)="([^"]*)"')


class Metric(typing.NamedTuple):
    """One value of a metric with labels.

    ``name`` is without :data:`.call_metrics.PREFIX`; ``labels`` are the values
    of the labels by their names.
    """

    name: str
    labels: dict[str, str]
    value: float


def labelled_metrics(text: str) -> typing.Iterator[Metric]:
    """Yield the product's metrics with labels in a text.

    :raises ValueError: if a value is not a number.
    """
    for name, labels, value in _LINE.findall(text):
        yield Metric(name, dict(_LABEL.findall(labels)), float(value))
