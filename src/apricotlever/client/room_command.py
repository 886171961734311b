"""Command that shows whether a service is contended, and by whom.

It reads the metrics of entry VMs as text, each VM's from one file or all from
standard input.
"""

import argparse
import sys
import typing

from . import command_registry
from . import errors
from . import metrics_text
from . import terminal_format

STDIN_NAME = "-"


class Room:
    """What the VMs report of one service.

    :param service: the service's name.
    :param text: the metrics of any number of VMs, one value a line.
    """

    __slots__ = ("_values",)

    def __init__(self, service: str, text: str) -> None:
        #: Values of all VMs by metric and customer, "" for the service.
        self._values: dict[tuple[str, str], list[float]] = {}
        for metric in metrics_text.labelled_metrics(text):
            if len(metric.labels) != 1:
                continue
            [(label, name)] = metric.labels.items()
            owner, _, customer = name.partition("/")
            if label in ("service", "demand") and owner == service:
                values = self._values.setdefault((metric.name, customer), [])
                values.append(metric.value)

    @property
    def vms(self) -> int:
        """Number of VMs that report the service."""
        return len(self._values.get(("service_contended", ""), ()))

    @property
    def document(self) -> dict[str, typing.Any]:
        """The service's state and its customers, as JSON."""
        return {
            "vms": self.vms,
            "contended": self._total("service_contended"),
            "wait_s": round(self._mean("service_wait_s"), 3),
            "levels_changed": self._total("levels_changed_total"),
            "customers": self._customers(),
        }

    def _customers(self) -> list[dict[str, typing.Any]]:
        names = {
            customer
            for metric, customer in self._values
            if metric == "demand_tokens"
        }
        rows = [
            {
                "customer": name,
                "calls": round(self._mean("demand_calls", name)),
                "tokens": round(self._mean("demand_tokens", name)),
                "fair_tokens": (
                    round(self._mean("demand_fair_tokens", name))
                    if ("demand_fair_tokens", name) in self._values
                    else None
                ),
                "put_behind": self._total("demand_put_behind", name),
            }
            for name in names
        ]
        return sorted(rows, key=lambda row: -row["tokens"])

    def _mean(self, metric: str, customer: str = "") -> float:
        values = self._values.get((metric, customer), [0.0])
        return sum(values) / len(values)

    def _total(self, metric: str, customer: str = "") -> int:
        return int(sum(self._values.get((metric, customer), ())))


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("service", metavar="SERVICE")
    parser.add_argument(
        "files",
        nargs="*",
        metavar="METRICS",
        default=[STDIN_NAME],
        help="metrics of entry VMs as text; - or none for standard input",
    )


@command_registry.command("room", arguments=_add_arguments)
def room(invocation: command_registry.Invocation) -> command_registry.Report:
    """Show whether a service is contended, from the metrics of entry VMs."""
    options = invocation.options
    found = Room(options.service, "\n".join(map(_read, options.files)))
    if not found.vms:
        raise errors.InvalidInput(
            f"no metric of a service {options.service!r} with an engine and "
            "several ranks"
        )
    document = found.document
    text = "\n".join(
        [
            f"contended at {document['contended']} of {document['vms']} VMs, "
            f"a new prompt waits {document['wait_s']} s on average",
            terminal_format.format_table(document["customers"]),
        ]
    )
    return command_registry.Report(document, text)


def _read(name: str) -> str:
    if name == STDIN_NAME:
        return sys.stdin.read()
    try:
        with open(name, encoding="utf-8", errors="replace") as file:
            return file.read()
    except OSError as error:
        raise errors.InvalidInput(f"{name}: {error}") from error
