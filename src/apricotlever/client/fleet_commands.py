"""Commands that query the entry VMs for their state, latency and cost."""

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

DEFAULT_WAIT_TIMEOUT_S = 10.0


def _add_in_force_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        type=int,
        metavar="VERSION",
        help="wait until every live entry VM has this version or a later one",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_WAIT_TIMEOUT_S,
        metavar="S",
        help="how many seconds to wait (default: %(default)s)",
    )


@command.command("in-force", arguments=_add_in_force_arguments)
def in_force(invocation: command.Invocation) -> command.Report:
    """Show the catalogue version at every live entry VM."""
    options = invocation.options
    version_query = versions.VersionQuery(
        invocation.fleet(), invocation.optional_store()
    )
    fleet_versions = (
        version_query.query()
        if options.wait is None
        else version_query.wait_for_version(options.wait, options.timeout)
    )
    document = {
        "vms": fleet_versions.rows,
        "store": fleet_versions.store_problem,
    }
    lines = [
        bars.table(fleet_versions.rows),
        *filter(None, [fleet_versions.store_problem]),
    ]
    return command.Report(document, "\n".join(lines))


@command.command("status")
def status(invocation: command.Invocation) -> command.Report:
    """Show the status of one entry VM."""
    document = invocation.fleet().query_any(entry_api.EntryApi.status)
    return command.Report(document, json.dumps(document, indent=2))


@command.command("entries")
def entries(invocation: command.Invocation) -> command.Report:
    """List the entry VMs that are announced to callers."""
    document = invocation.fleet().query_any(entry_api.EntryApi.entries)
    rows = document.get("entries", [])
    text = f"ttl_s={document.get('ttl_s')}\n{bars.table(rows)}"
    return command.Report(document, text)


@command.command("histograms")
def histograms(invocation: command.Invocation) -> command.Report:
    """Show latency histograms of the fleet by customer and class."""
    replies = invocation.fleet().query_all(entry_api.EntryApi.histograms)
    encoded = itertools.chain.from_iterable(
        reply.document.get("histograms", ())
        for reply in replies
        if reply.document is not None
    )
    merged = list(latency.merge(encoded).values())
    unanswered = _unanswered_vms(replies)
    report = {
        "histograms": [
            {
                **bars.summarize_distribution(found),
                "histogram": found.encoded["histogram"],
            }
            for found in merged
        ],
        "missing": unanswered,
    }
    texts = [
        *map(bars.format_histogram, merged),
        *_unanswered_lines(unanswered),
    ]
    return command.Report(report, "\n".join(texts) or "no values yet")


@command.command("cost")
def cost(invocation: command.Invocation) -> command.Report:
    """Show the cost of entries and customers, summed over the fleet."""
    replies = invocation.fleet().query_all(entry_api.EntryApi.status)
    rows = _sum_costs(replies)
    unanswered = _unanswered_vms(replies)
    text = "\n".join([bars.table(rows), *_unanswered_lines(unanswered)])
    return command.Report({"cost": rows, "missing": unanswered}, text)


def _unanswered_vms(replies: tuple[fleet.Reply, ...]) -> list[str]:
    return [reply.member.vm for reply in replies if reply.document is None]


def _unanswered_lines(unanswered: list[str]) -> list[str]:
    """Warn that sums are incomplete because some VMs did not answer."""
    return [f"no answer from: {', '.join(unanswered)}"] if unanswered else []


def _sum_costs(replies: tuple[fleet.Reply, ...]) -> list[dict[str, Json]]:
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
