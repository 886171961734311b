"""The command that shows how fast runners are, from the VMs' metrics."""

import argparse
import http.client
import typing

from . import command_registry
from . import errors
from . import metrics_text
from . import terminal_format

DEFAULT_PATH = "/metrics"
PHASES = ("prefill", "decode", "plain")
#: Metrics that each VM counts for itself, and their columns.
SUMMED = {"in_flight": "calls", "waiting_tokens": "waiting_tokens"}

Rows = dict[str, dict[str, typing.Any]]


class _MetricsAddress(typing.NamedTuple):
    host: str
    port: int
    path: str


def _parse_metrics_address(text: str) -> _MetricsAddress:
    address, slash, path = text.partition("/")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise argparse.ArgumentTypeError(f"{text}: not HOST:PORT[/PATH]")
    return _MetricsAddress(host, int(port), slash + path or DEFAULT_PATH)


def _add_runners_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--metrics",
        action="append",
        required=True,
        type=_parse_metrics_address,
        metavar="HOST:PORT/PATH",
        help="metrics of an entry VM; may be repeated, and calls and waiting "
        "tokens are then summed",
    )


@command_registry.command("runners", arguments=_add_runners_arguments)
def runners(
    invocation: command_registry.Invocation,
) -> command_registry.Report:
    """Show the speed of each runner, its calls and waiting tokens."""
    options = invocation.options
    texts, missing = [], []
    for address in options.metrics:
        try:
            texts.append(_read(address, options.call_timeout))
        except (OSError, http.client.HTTPException, UnicodeDecodeError):
            missing.append(f"{address.host}:{address.port}")
    if not texts:
        raise errors.Unreachable(f"no answer from: {', '.join(missing)}")
    rows = runner_rows(texts)
    lines = [terminal_format.format_table(rows)]
    if missing:
        lines.append(f"no answer from: {', '.join(missing)}")
    return command_registry.Report(
        {"runners": rows, "missing": missing}, "\n".join(lines)
    )


def runner_rows(texts: typing.Iterable[str]) -> list[dict[str, typing.Any]]:
    """One row for each runner, from the metrics of VMs.

    Speed is 1 / slowness, 1.0 for the median runner. All VMs estimate it from
    the same samples, so the estimate with the most of them is shown.
    """
    rows: Rows = {}
    for text in texts:
        slowness: dict[tuple[str, str], float] = {}
        samples: dict[tuple[str, str], float] = {}
        for name, labels, value in metrics_text.labelled_metrics(text):
            if "runner" not in labels:
                continue
            key = labels["runner"], labels.get("phase", "")
            if name in SUMMED:
                row = rows.setdefault(key[0], _empty_row(key[0]))
                row[SUMMED[name]] += int(value)
            elif name == "runner_slowness":
                slowness[key] = value
            elif name == "runner_slowness_samples":
                samples[key] = value
        for (runner, phase), ratio in slowness.items():
            row = rows.setdefault(runner, _empty_row(runner))
            count = samples.get((runner, phase), 0.0)
            if ratio > 0 and count >= row.get(f"{phase}_samples", -1.0):
                row[f"{phase}_speed"] = round(1 / ratio, 2)
                row[f"{phase}_samples"] = round(count, 1)
    return [rows[runner] for runner in sorted(rows)]


def _empty_row(runner: str) -> dict[str, typing.Any]:
    row: dict[str, typing.Any] = {"runner": runner}
    for phase in PHASES:
        row |= {f"{phase}_speed": 1.0, f"{phase}_samples": 0.0}
    return row | dict.fromkeys(SUMMED.values(), 0)


def _read(address: _MetricsAddress, timeout_s: float) -> str:
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=timeout_s
    )
    try:
        connection.request("GET", address.path)
        answer = connection.getresponse()
        if answer.status != 200:
            raise http.client.HTTPException(f"status {answer.status}")
        return answer.read().decode()
    finally:
        connection.close()
