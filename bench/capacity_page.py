"""Generates the tables of docs/CAPACITY.md from the measured slopes.

A table between ``<!-- table: NAME -->`` and ``<!-- end -->`` is replaced in
place; the text around it is unchanged. ``--check`` changes nothing and exits
with 1 if the page differs from the generated one.
"""

import argparse
import pathlib
import re
import sys
import typing

from . import _capacity_bounds as bounds
from . import _capacity_target as target

TABLE_PATTERN = re.compile(
    r"(<!-- table: (?P<name>\w+) -->\n)(?P<body>.*?)(<!-- end -->)", re.DOTALL
)
Row = tuple[str, ...]
TableBuilder = typing.Callable[
    [target.Measurements, target.TargetFleet], list[Row]
]
TABLE_BUILDERS: dict[str, TableBuilder] = {}


class PageInvalid(Exception):
    """The page has an unknown or repeated table, or lacks one."""


def _register_table(
    name: str,
) -> typing.Callable[[TableBuilder], TableBuilder]:
    def register(table: TableBuilder) -> TableBuilder:
        TABLE_BUILDERS[name] = table
        return table

    return register


def _format_number(value: float) -> str:
    """Format with three significant digits; values from 100 as integers."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _format_verdict(value: float, budget: float) -> str:
    return "within" if value <= budget else f"{value / budget:.3g} x over"


def _budget_rows(
    parts: tuple[target.CostPart, ...],
    budget: float,
    measurements: target.Measurements,
    fleet: target.TargetFleet,
) -> list[Row]:
    costs = [(part, part.cost(measurements, fleet)) for part in parts]
    rows = [
        (
            part.name,
            part.source,
            _format_number(cost),
            _format_number(100 * cost / budget),
        )
        for part, cost in costs
    ]
    total = sum(cost for _, cost in costs)
    last = (
        "**all of these**",
        "",
        _format_number(total),
        _format_verdict(total, budget),
    )
    return [*rows, last]


@_register_table("target")
def _target(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    figures = (
        ("nodes in a data centre", fleet.nodes_per_data_centre),
        ("runners in a data centre", fleet.runners_per_data_centre),
        ("runners to a node", fleet.runners / fleet.nodes),
        ("requests/s of a node", fleet.requests_per_s),
        ("relayed events/s of a node", fleet.events_per_s),
        ("open streams of a node at 67 ms a token", fleet.streams),
        ("tokens of an answer", target.TOKENS_PER_S / target.REQUESTS_PER_S),
        ("changes of configuration/s", fleet.changes_per_s),
        ("runners polled/s by a node", fleet.polls_per_s),
        ("VMs in the platform's list", fleet.listed_vms),
        (
            "store writes/s that are a node's share",
            fleet.node_store_writes_per_s,
        ),
    )
    header = ("worked out from the target", "figure")
    return [
        header,
        *((name, _format_number(value)) for name, value in figures),
    ]


@_register_table("slopes")
def _slopes(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    header = ("slope", "size", "cost", "at 0", "for each", "residual")
    return [
        header,
        *(
            (
                f"`{name}`",
                row["x"],
                row["y"],
                _format_number(row["start"]),
                _format_number(row["growth"]),
                f"{100 * row['residual']:.1f}%",
            )
            for name, row in sorted(measurements.slopes.items())
        ),
    ]


@_register_table("processor")
def _processor(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    header = ("part", "from", "% of a core", "% of the budget")
    parts = target.PROCESSOR
    return [
        header,
        *_budget_rows(parts, target.CORE_BUDGET_PCT, measurements, fleet),
    ]


@_register_table("network")
def _network(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    header = ("part", "from", "bytes/s", "% of the budget")
    parts = target.NETWORK
    return [
        header,
        *_budget_rows(
            parts, target.NETWORK_BUDGET_BYTES_PER_S, measurements, fleet
        ),
    ]


@_register_table("memory")
def _memory(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    header = ("part", "from", "MB", "% of the budget")
    parts = target.MEMORY
    rows = _budget_rows(parts, target.MEMORY_BUDGET_MB, measurements, fleet)
    pool_mb = next(p for p in parts if p.source == "prefix_memory").cost(
        measurements, fleet
    )
    left_mb = (
        target.MEMORY_BUDGET_MB
        - target.total_cost(parts, measurements, fleet)
        + pool_mb
    )
    pools_row = ("pools whose full index fits beside the rest", "", "", "")
    return [
        header,
        *rows,
        (*pools_row[:2], _format_number(left_mb // pool_mb), ""),
    ]


@_register_table("rumours")
def _rumours(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    receivable_bytes_per_s = (
        target.MESSAGES_RECEIVED_PER_S * target.MESSAGE_BYTES
    )
    load_bytes = measurements.growth_per_unit("load_bytes")
    demand_bytes = measurements.value_at(
        "demand_bytes", target.LIMITED_ENTRIES
    )
    blocks = fleet.blocks_per_s * target.BYTES_PER_BLOCK
    kinds = (
        (
            "load digests",
            fleet.runners_per_data_centre
            / target.LOAD_POLL_INTERVAL_S
            * load_bytes,
        ),
        ("demand on limits", fleet.nodes_per_data_centre * demand_bytes),
        ("cache blocks", fleet.runners_per_data_centre * blocks),
    )
    header = ("rumours in a data centre", "bytes/s for each to hear once")
    rows = [(name, _format_number(cost)) for name, cost in kinds]
    full_refresh_s = (
        fleet.runners_per_data_centre * load_bytes / receivable_bytes_per_s
    )
    max_runners = target.LOAD_LIFETIME_S * receivable_bytes_per_s / load_bytes
    return [
        header,
        *rows,
        (
            "**room in the messages that a node gets**",
            _format_number(receivable_bytes_per_s),
        ),
        (
            "seconds to hear each runner's load once, at best",
            _format_number(full_refresh_s),
        ),
        ("a digest's lifetime, s", _format_number(target.LOAD_LIFETIME_S)),
        (
            "runners whose load fits into that, at best",
            _format_number(max_runners),
        ),
    ]


@_register_table("store")
def _store(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    watchers = target.CONFIGURATION_WATCHERS * target.DATA_CENTRES
    duties = target.DUTIES_PER_POOL * target.POOLS
    writes = target.renewals_per_lease_per_s() * duties
    changes = target.WRITES_PER_CHANGE * fleet.changes_per_s
    reads = watchers * (1 / target.WATCH_DURATION_S + fleet.changes_per_s)
    spare_writes = target.STORE_WRITES_PER_S - writes - changes
    claims = target.claims_per_bucket()
    size = measurements.value_at("claims_bytes", claims)
    return [
        ("store calls of the whole fleet", "figure"),
        ("watches waiting at any time", _format_number(watchers)),
        (
            "reads/s: watches that end, by time or change",
            _format_number(reads),
        ),
        (
            "part of the reads",
            f"{100 * reads / target.STORE_READS_PER_S:.2g}%",
        ),
        ("duties held (two for a pool)", _format_number(duties)),
        ("writes/s: renewals of leases", _format_number(writes)),
        ("writes/s: changes and their history", _format_number(changes)),
        ("writes/s left for claims", _format_number(spare_writes)),
        (
            "caller-made keys/s, two writes each",
            _format_number(spare_writes / 2),
        ),
        (
            "part of the requests that may bring a key of their own",
            f"{100 * spare_writes / 2 / target.REQUESTS_PER_S:.2g}%",
        ),
        (
            "caller-made keys of one node, one in s",
            _format_number(
                target.WRITES_PER_CLAIM / fleet.node_store_writes_per_s
            ),
        ),
        ("bytes of a bucket at that rate, kept 2 h", _format_number(size)),
        (
            "us of processor for a write of it",
            _format_number(measurements.value_at("claims_core", claims)),
        ),
        (
            "bytes/s of a node that spends its share on claims",
            _format_number(2 * fleet.node_store_writes_per_s * size),
        ),
    ]


@_register_table("data_path")
def _data_path(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    event_us = 1e4 * measurements.growth_per_unit("relay_core")
    request_us = measurements.find_row("relay", case="requests")[
        "processor_us_per_request"
    ]
    events = event_us * fleet.events_per_s / target.US_PER_S
    requests = request_us * fleet.requests_per_s / target.US_PER_S
    streams = measurements.value_at("relay_memory", fleet.streams)
    cores = events + requests
    answer = target.TOKENS_PER_S / target.REQUESTS_PER_S
    processes = cores / target.CORE_PER_PROCESS
    return [
        ("data path of a node", "figure"),
        ("us of processor for a relayed event", _format_number(event_us)),
        (
            "us of processor for a request of one token",
            _format_number(request_us),
        ),
        ("cores for events", _format_number(events)),
        ("cores for requests", _format_number(requests)),
        ("cores together", _format_number(cores)),
        (
            f"processes at {100 * target.CORE_PER_PROCESS:g}% of a core each",
            _format_number(-(-processes // 1)),
        ),
        ("MB of one process with all the streams", _format_number(streams)),
        (
            "MB of it for the tokens sent, when all answers are at their end",
            _format_number(
                fleet.streams
                * measurements.value_at("stream_memory", answer)
                / target.MB
            ),
        ),
        (
            "processes for the streams at 256 callers each",
            _format_number(
                -(-fleet.streams // target.CALLER_THREADS_PER_PROCESS)
            ),
        ),
        (
            "us of it for a choice among 64 runners",
            _format_number(
                measurements.value_at("routing_core", target.SUBSET_SIZE)
            ),
        ),
        (
            "us of it for admission with 320 customers",
            _format_number(measurements.value_at("admission_core", 320)),
        ),
    ]


@_register_table("breaks")
def _breaks(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    header = ("budget or bound", "broken from, nodes", "at the target")
    sorted_bounds = sorted(
        (found, name)
        for name, cost, budget in bounds.all_bounds(measurements)
        if (found := bounds.exceeded_from(cost, budget)) is not None
    )
    costs = {
        name: _format_verdict(cost(fleet), budget)
        for name, cost, budget in bounds.all_bounds(measurements)
    }
    return [
        header,
        *(
            (
                name,
                "any size" if found <= 1 else _format_number(found),
                costs[name],
            )
            for found, name in sorted_bounds
        ),
    ]


@_register_table("losses")
def _losses(
    measurements: target.Measurements, fleet: target.TargetFleet
) -> list[Row]:
    streams = target.TOKENS_PER_S * target.BETWEEN_TOKENS_S / fleet.runners
    charge = measurements.growth_per_unit("quarantine_memory")
    rumours_per_death = target.NOTICE_WATCHERS * target.DATA_CENTRES
    events = (
        (
            "all the rumours that a node holds",
            target.MAX_RUMOURS / rumours_per_death,
        ),
        ("an ordinary half hour", target.deaths_in_quarantine()),
        ("a lost data centre", fleet.runners_per_data_centre),
        ("79% reclaimed", fleet.runners * target.RECLAIMABLE_SHARE),
    )
    header = (
        "runners that end within 30 min",
        "deaths kept",
        "MB of quarantine",
        "rumours of notices",
        "streams to move or replay",
        "of all streams",
    )
    return [
        header,
        *(
            (
                name,
                _format_number(min(deaths, target.MAX_QUARANTINED_DEATHS)),
                _format_number(
                    min(
                        deaths * streams,
                        target.MAX_QUARANTINED_FEATURES,
                    )
                    * charge
                    / 1e6
                ),
                _format_number(deaths * rumours_per_death),
                _format_number(deaths * streams),
                f"{100 * deaths / fleet.runners:.2g}%",
            )
            for name, deaths in events
        ),
    ]


def _markdown(rows: list[Row]) -> str:
    header, *body = ("| " + " | ".join(row) + " |" for row in rows)
    rule = "|" + "---|" * len(rows[0])
    return "\n".join([header, rule, *body]) + "\n"


def render(page: str, measurements: target.Measurements) -> str:
    """Replace each table of the page by one generated from measurements.

    :returns: the new page.
    :raises PageInvalid: unless the page has each known table exactly once.
    """
    fleet = target.TargetFleet()
    table_names = [found["name"] for found in TABLE_PATTERN.finditer(page)]
    if sorted(table_names) != sorted(TABLE_BUILDERS):
        mismatch = (
            ", ".join(sorted(set(table_names) ^ set(TABLE_BUILDERS)))
            or "a repeated table"
        )
        raise PageInvalid(
            f"the page must have each table exactly once: {mismatch}"
        )

    def table(found: re.Match[str]) -> str:
        rows = TABLE_BUILDERS[found["name"]](measurements, fleet)
        return found[1] + _markdown(rows) + found[4]

    return TABLE_PATTERN.sub(table, page)


def run(arguments: list[str]) -> int:
    """Update or check the tables of the page.

    :returns: the exit code: 1 if ``--check`` found a difference, else 0.
    """
    parser = argparse.ArgumentParser(prog="bench capacity_page")
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--page", type=pathlib.Path, default=target.PAGE_PATH)
    parser.add_argument("--data", type=pathlib.Path, default=target.DATA_DIR)
    options = parser.parse_args(arguments)
    page = options.page.read_text(encoding="utf-8")
    updated = render(page, target.Measurements(options.data))
    if options.check and page != updated:
        message = (
            f"{options.page} is out of date: run python -m bench capacity_page"
        )
        print(message, file=sys.stderr)
        return 1
    if page != updated:
        options.page.write_text(updated, encoding="utf-8")
    return 0
