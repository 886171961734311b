"""Commands that read logs."""

import argparse
import importlib
import itertools
import pathlib
import sys
import typing

from .. import log_parser
from .. import logs

from . import command
from . import day as days
from . import errors
from . import stories

STDIN_NAME = "-"
LOG_FILES = "*.log"
DEFAULT_PAGE = "report.html"


def _explain_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request", metavar="ID", help="the request's id")
    parser.add_argument(
        "files",
        nargs="*",
        metavar="LOG",
        default=[STDIN_NAME],
        help="logs of entry VMs, in any order; - or none for standard input",
    )


@command.command("explain", arguments=_explain_arguments)
def explain(invocation: command.Invocation) -> command.Report:
    """Tell one request's story from the logs of entry VMs."""
    options = invocation.options
    lines = log_parser.parse_all(_all_lines(options.files))
    if not lines:
        raise errors.InvalidInput("no log line in what was given")
    story = stories.tell(options.request, lines)
    if story is None:
        raise errors.InvalidInput(
            f"no line names the request {options.request!r}; "
            f"{len(lines)} lines were read"
        )
    return command.Report(_document(story), _text(story))


def _report_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "directory", metavar="DIR", help="where the VMs' *.log files are"
    )
    parser.add_argument(
        "--output",
        metavar="FILE",
        default=DEFAULT_PAGE,
        help="the page to write (default: %(default)s)",
    )


@command.command("report", arguments=_report_arguments)
def report(invocation: command.Invocation) -> command.Report:
    """Draw a page of plots from the logs in a directory."""
    options = invocation.options
    files = sorted(pathlib.Path(options.directory).glob(LOG_FILES))
    if not files:
        raise errors.InvalidInput(
            f"{options.directory}: no file is named {LOG_FILES}"
        )
    day = days.read(log_parser.parse_all(_all_lines(map(str, files))))
    if not day.answers:
        raise errors.InvalidInput(
            f"no request ended in the logs of {options.directory}"
        )
    _write(options.output, _plots().page(day))
    document = {**day.document, "page": options.output}
    return command.Report(document, _summary(document))


def _plots() -> typing.Any:
    """The module that draws; VMs and most commands do without it."""
    try:
        return importlib.import_module(f"{__package__}.day_plots")
    except ImportError as error:
        raise errors.CommandFailed(
            f"the report needs matplotlib ({error}); install "
            "apricotlever[reports]"
        ) from error


def _write(name: str, text: str) -> None:
    try:
        pathlib.Path(name).write_text(text, encoding="utf-8")
    except OSError as error:
        raise errors.InvalidInput(f"{name}: {error}") from error


def _summary(document: dict[str, typing.Any]) -> str:
    outcomes = logs.format_fields(**document["outcomes"])
    reasons = logs.format_fields(**document["reasons"])
    return (
        f"{len(document['vms'])} VMs; {outcomes}\n"
        f"not served: {reasons or 'none'}\n"
        f"wrote {document['page']}"
    )


def _all_lines(names: typing.Iterable[str]) -> typing.Iterator[str]:
    return itertools.chain.from_iterable(_lines(name) for name in names)


def _lines(name: str) -> list[str]:
    if name == STDIN_NAME:
        return sys.stdin.read().splitlines()
    try:
        with open(name, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()
    except OSError as error:
        raise errors.InvalidInput(f"{name}: {error}") from error


def _document(story: stories.Story) -> dict[str, typing.Any]:
    return {
        "request": story.request_id,
        "cause": story.cause,
        "lines": [_record(line) for line in story.lines],
        "background": [_record(line) for line in story.background],
    }


def _record(line: log_parser.LogLine) -> dict[str, str]:
    return {
        "time": line.time,
        "vm": line.vm,
        "event": line.event,
        **line.fields,
    }


def _text(story: stories.Story) -> str:
    lines = [f"request {story.request_id}: {story.cause}", ""]
    marked = [(x.time, "  ", x) for x in story.lines]
    marked += [(x.time, "- ", x) for x in story.background]
    for time, mark, line in sorted(marked, key=lambda item: item[0]):
        fields = {k: v for k, v in line.fields.items() if k != "request"}
        lines.append(
            f"{mark}{time} {line.vm} {line.event} "
            f"{logs.format_fields(**fields)}"
        )
    lines += ["", "lines with - are background of its VMs and runners"]
    return "\n".join(lines)
