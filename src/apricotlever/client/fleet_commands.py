"""Commands that ask the entry VMs what is in force and how it goes."""

import argparse
import collections
import itertools
import json
import typing

from .. import histograms as latency
from . import bars
from . import command
from . import fleet
from ..links import entry_api
from . import versions

Json = typing.Any

DEFAULT_WAIT_S = 10.0


def _in_force_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        type=int,
        metavar="VERSION",
        help="wait until every live entry VM has this version or a later one",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_WAIT_S,
        metavar="S",
        help="how many seconds to wait (default: %(default)s)",
    )


@command.command("in-force", arguments=_in_force_arguments)
def in_force(invocation: command.Invocation) -> command.Report:
    """Show the catalogue version at every live entry VM."""
    options = invocation.options
    asked = versions.Question(invocation.fleet(), invocation.known_store())
    found = (
        asked.ask()
        if options.wait is None
        else asked.wait(options.wait, options.timeout)
    )
    document = {"vms": found.rows, "store": found.store_problem}
    lines = [bars.table(found.rows), *filter(None, [found.store_problem])]
    return command.Report(document, "\n".join(lines))


@command.command("status")
def status(invocation: command.Invocation) -> command.Report:
    """Show what is in force at one entry VM."""
    document = invocation.fleet().ask_any(entry_api.EntryApi.status)
    return command.Report(document, json.dumps(document, indent=2))


@command.command("entries")
def entries(invocation: command.Invocation) -> command.Report:
    """List the entry VMs that callers are told to use."""
    document = invocation.fleet().ask_any(entry_api.EntryApi.entries)
    rows = document.get("entries", [])
    text = f"ttl_s={document.get('ttl_s')}\n{bars.table(rows)}"
    return command.Report(document, text)


@command.command("histograms")
def histograms(invocation: command.Invocation) -> command.Report:
    """Show the latencies of the whole fleet by customer and class."""
    replies = invocation.fleet().ask_all(entry_api.EntryApi.histograms)
    encoded = itertools.chain.from_iterable(
        reply.document.get("histograms", ())
        for reply in replies
        if reply.document is not None
    )
    merged = list(latency.merge(encoded).values())
    missing = _missing(replies)
    report = {
        "histograms": [
            {**bars.summary(found), "histogram": found.encoded["histogram"]}
            for found in merged
        ],
        "missing": missing,
    }
    texts = [*map(bars.histogram, merged), *_missing_lines(missing)]
    return command.Report(report, "\n".join(texts) or "no values yet")


@command.command("cost")
def cost(invocation: command.Invocation) -> command.Report:
    """Show what entries and customers cost, summed over the fleet."""
    replies = invocation.fleet().ask_all(entry_api.EntryApi.status)
    rows = _summed(replies)
    missing = _missing(replies)
    text = "\n".join([bars.table(rows), *_missing_lines(missing)])
    return command.Report({"cost": rows, "missing": missing}, text)


def _missing(replies: tuple[fleet.Reply, ...]) -> list[str]:
    return [reply.member.vm for reply in replies if reply.document is None]


def _missing_lines(missing: list[str]) -> list[str]:
    """Say that sums are incomplete, rather than show them as whole."""
    return [f"no answer from: {', '.join(missing)}"] if missing else []


def _summed(replies: tuple[fleet.Reply, ...]) -> list[dict[str, Json]]:
    rows = itertools.chain.from_iterable(
        reply.document.get("cost", ())
        for reply in replies
        if reply.document is not None
    )
    sums: dict[tuple[str, str], collections.Counter[str]] = {}
    for row in rows:
        key = (str(row["entry"]), str(row["customer"]))
        numbers = {k: v for k, v in row.items() if isinstance(v, (int, float))}
        sums.setdefault(key, collections.Counter()).update(numbers)
    return [
        {"entry": entry, "customer": customer, **sums[entry, customer]}
        for entry, customer in sorted(sums)
    ]
