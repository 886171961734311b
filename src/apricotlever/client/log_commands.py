"""Commands that read the logs of entry VMs.

``explain`` shows what happened to one request, and ``report`` plots all.
"""

import argparse
import importlib
import itertools
import pathlib
import sys
import typing

from .. import log_parser
from .. import logs

from . import command_registry
from . import errors
from . import log_summary
from . import request_timeline

STDIN_NAME = "-"
LOG_FILE_PATTERN = "*.log"
DEFAULT_REPORT_FILE = "report.html"


def _add_explain_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request", metavar="ID", help="the request's id")
    parser.add_argument(
        "files",
        nargs="*",
        metavar="LOG",
        default=[STDIN_NAME],
        help="logs of entry VMs, in any order; - or none for standard input",
    )


@command_registry.command("explain", arguments=_add_explain_arguments)
def explain(
    invocation: command_registry.Invocation,
) -> command_registry.Report:
    """Explain how one request ended, from the logs of entry VMs."""
    options = invocation.options
    lines = log_parser.parse_all(_read_all_lines(options.files))
    if not lines:
        raise errors.InvalidInput("no log line in the input")
    timeline = request_timeline.build_timeline(options.request, lines)
    if timeline is None:
        raise errors.InvalidInput(
            f"no line names the request {options.request!r}; "
            f"{len(lines)} lines were read"
        )
    return command_registry.Report(
        _timeline_document(timeline), _timeline_text(timeline)
    )


def _add_report_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "directory", metavar="DIR", help="directory with the VMs' *.log files"
    )
    parser.add_argument(
        "--output",
        metavar="FILE",
        default=DEFAULT_REPORT_FILE,
        help="the page to write (default: %(default)s)",
    )


@command_registry.command("report", arguments=_add_report_arguments)
def report(invocation: command_registry.Invocation) -> command_registry.Report:
    """Write a page of plots from the logs in a directory."""
    options = invocation.options
    files = sorted(pathlib.Path(options.directory).glob(LOG_FILE_PATTERN))
    if not files:
        raise errors.InvalidInput(
            f"{options.directory}: no file is named {LOG_FILE_PATTERN}"
        )
    summary = log_summary.summarize(
        log_parser.parse_all(_read_all_lines(map(str, files)))
    )
    if not summary.results:
        raise errors.InvalidInput(
            f"no request ended in the logs of {options.directory}"
        )
    _write_file(options.output, _load_plots().render_page(summary))
    document = {**summary.document, "page": options.output}
    return command_registry.Report(document, _report_text(document))


def _load_plots() -> typing.Any:
    """Import the plotting module, which needs matplotlib.

    Matplotlib is an optional dependency, since VMs and most commands work
    without it.

    :raises CommandError: if matplotlib is not installed.
    """
    try:
        return importlib.import_module(f"{__package__}.log_summary_plots")
    except ImportError as error:
        raise errors.CommandError(
            f"the report needs matplotlib ({error}); install "
            "apricotlever[reports]"
        ) from error


def _write_file(name: str, text: str) -> None:
    try:
        pathlib.Path(name).write_text(text, encoding="utf-8")
    except OSError as error:
        raise errors.InvalidInput(f"{name}: {error}") from error


def _report_text(document: dict[str, typing.Any]) -> str:
    outcomes = logs.format_fields(**document["outcomes"])
    reasons = logs.format_fields(**document["reasons"])
    return (
        f"{len(document['vms'])} VMs; {outcomes}\n"
        f"not served: {reasons or 'none'}\n"
        f"wrote {document['page']}"
    )


def _read_all_lines(names: typing.Iterable[str]) -> typing.Iterator[str]:
    return itertools.chain.from_iterable(_read_lines(name) for name in names)


def _read_lines(name: str) -> list[str]:
    if name == STDIN_NAME:
        return sys.stdin.read().splitlines()
    try:
        with open(name, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()
    except OSError as error:
        raise errors.InvalidInput(f"{name}: {error}") from error


def _timeline_document(
    timeline: request_timeline.RequestTimeline,
) -> dict[str, typing.Any]:
    return {
        "request": timeline.request_id,
        "cause": timeline.cause,
        "lines": [_line_document(line) for line in timeline.lines],
        "background": [_line_document(line) for line in timeline.background],
        "resumed": [_line_document(line) for line in timeline.first_lines],
    }


def _line_document(line: log_parser.LogLine) -> dict[str, str]:
    return {
        "time": line.time,
        "vm": line.vm,
        "event": line.event,
        **line.fields,
    }


def _timeline_text(timeline: request_timeline.RequestTimeline) -> str:
    lines = [f"request {timeline.request_id}: {timeline.cause}", ""]
    marked = [(x.time, "  ", x) for x in timeline.lines]
    marked += [(x.time, "- ", x) for x in timeline.background]
    marked += [(x.time, "< ", x) for x in timeline.first_lines]
    for time, mark, line in sorted(marked, key=lambda item: item[0]):
        fields = {k: v for k, v in line.fields.items() if k != "request"}
        lines.append(
            f"{mark}{time} {line.vm} {line.event} "
            f"{logs.format_fields(**fields)}"
        )
    lines += ["", "lines with - are background events of its VMs and runners"]
    if timeline.first_lines:
        lines.append("lines with < are of the request whose stream it resumed")
    return "\n".join(lines)
