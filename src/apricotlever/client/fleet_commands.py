"""Commands that query the entry VMs for their state, latency and cost."""

import argparse
import collections
import itertools
import json
import typing

from .. import histograms as latency
from . import command_registry
from . import fleet
from ..links import entry_api
from . import terminal_format
from . import version_status

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


@command_registry.command("in-force", arguments=_add_in_force_arguments)
def in_force(
    invocation: command_registry.Invocation,
) -> command_registry.Report:
    """Show the catalogue version at every live entry VM."""
    options = invocation.options
    version_query = version_status.VersionQuery(
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
        terminal_format.format_table(fleet_versions.rows),
        *filter(None, [fleet_versions.store_problem]),
    ]
    return command_registry.Report(document, "\n".join(lines))


@command_registry.command("status")
def status(invocation: command_registry.Invocation) -> command_registry.Report:
    """Show the status of one entry VM."""
    document = invocation.fleet().query_any(entry_api.EntryApi.status)
    return command_registry.Report(document, json.dumps(document, indent=2))


@command_registry.command("entries")
def entries(
    invocation: command_registry.Invocation,
) -> command_registry.Report:
    """List the entry VMs that are announced to callers."""
    document = invocation.fleet().query_any(entry_api.EntryApi.entries)
    rows = document.get("entries", [])
    text = (
        f"ttl_s={document.get('ttl_s')}\n{terminal_format.format_table(rows)}"
    )
    return command_registry.Report(document, text)


@command_registry.command("histograms")
def histograms(
    invocation: command_registry.Invocation,
) -> command_registry.Report:
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
                **terminal_format.summarize_distribution(found),
                "histogram": found.encoded["histogram"],
            }
            for found in merged
        ],
        "missing": unanswered,
    }
    texts = [
        *map(terminal_format.format_histogram, merged),
        *_unanswered_lines(unanswered),
    ]
    return command_registry.Report(report, "\n".join(texts) or "no values yet")


@command_registry.command("cost")
def cost(invocation: command_registry.Invocation) -> command_registry.Report:
    """Show the cost of entries and customers, summed over the fleet."""
    replies = invocation.fleet().query_all(entry_api.EntryApi.status)
    rows = _sum_costs(replies)
    unanswered = _unanswered_vms(replies)
    text = "\n".join(
        [terminal_format.format_table(rows), *_unanswered_lines(unanswered)]
    )
    return command_registry.Report({"cost": rows, "missing": unanswered}, text)


def _unanswered_vms(replies: tuple[fleet.Reply, ...]) -> list[str]:
    return [reply.member.vm for reply in replies if reply.document is None]


def _unanswered_lines(unanswered: list[str]) -> list[str]:
    """Lines of output that name the VMs missing from a sum; empty if none."""
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
