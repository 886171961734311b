"""Works out the tables of docs/CAPACITY.md from the slopes measured.

A table stands between ``<!-- table: NAME -->`` and ``<!-- end -->`` and is
replaced in place; the text around it is left alone. ``--check`` changes
nothing and exits with 1 when the page differs from what the files give.
"""

import argparse
import pathlib
import re
import sys
import typing

from . import _capacity_bounds as limits
from . import _capacity_target as target

MARKED = re.compile(
    r"(<!-- table: (?P<name>\w+) -->\n)(?P<body>.*?)(<!-- end -->)", re.DOTALL
)
Row = tuple[str, ...]
Table = typing.Callable[[target.Measured, target.Fleet], list[Row]]
TABLES: dict[str, Table] = {}


class PageInvalid(Exception):
    """The page has a table that is not known, or lacks one."""


def _table(name: str) -> typing.Callable[[Table], Table]:
    def register(table: Table) -> Table:
        TABLES[name] = table
        return table

    return register


def _number(value: float) -> str:
    """Three significant digits, whole above a hundred."""
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _verdict(value: float, budget: float) -> str:
    return "within" if value <= budget else f"{value / budget:.3g} x over"


def _budget_rows(
    parts: tuple[target.Part, ...],
    budget: float,
    m: target.Measured,
    fleet: target.Fleet,
) -> list[Row]:
    costs = [(part, part.cost(m, fleet)) for part in parts]
    rows = [
        (part.name, part.by, _number(cost), _number(100 * cost / budget))
        for part, cost in costs
    ]
    whole = sum(cost for _, cost in costs)
    last = ("**all of these**", "", _number(whole), _verdict(whole, budget))
    return [*rows, last]


@_table("target")
def _target(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    figures = (
        ("nodes in a data centre", fleet.per_data_centre),
        ("runners in a data centre", fleet.runners_near),
        ("runners to a node", fleet.runners / fleet.nodes),
        ("requests/s of a node", fleet.requests_per_s),
        ("relayed events/s of a node", fleet.events_per_s),
        ("open streams of a node at 67 ms a token", fleet.streams),
        ("tokens of an answer", target.TOKENS_PER_S / target.REQUESTS_PER_S),
        ("changes of configuration/s", fleet.changes_per_s),
        ("runners polled/s by a node", fleet.polls_per_s),
        ("VMs in the platform's list", fleet.listed),
        ("store writes/s that are a node's share", fleet.writes_share),
    )
    head = ("worked out from the target", "figure")
    return [head, *((name, _number(value)) for name, value in figures)]


@_table("slopes")
def _slopes(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    head = ("slope", "size", "cost", "at 0", "for each", "residual")
    return [
        head,
        *(
            (
                f"`{name}`",
                row["x"],
                row["y"],
                _number(row["start"]),
                _number(row["growth"]),
                f"{100 * row['residual']:.1f}%",
            )
            for name, row in sorted(m.slopes.items())
        ),
    ]


@_table("processor")
def _processor(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    head = ("part", "from", "% of a core", "% of the budget")
    parts = target.PROCESSOR
    return [head, *_budget_rows(parts, target.CORE_PCT, m, fleet)]


@_table("network")
def _network(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    head = ("part", "from", "bytes/s", "% of the budget")
    parts = target.NETWORK
    return [head, *_budget_rows(parts, target.BYTES_PER_S, m, fleet)]


@_table("memory")
def _memory(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    head = ("part", "from", "MB", "% of the budget")
    parts = target.MEMORY
    rows = _budget_rows(parts, target.MEMORY_MB, m, fleet)
    pool = next(p for p in parts if p.by == "prefix_memory").cost(m, fleet)
    left = target.MEMORY_MB - target.total(parts, m, fleet) + pool
    fitting = ("pools whose full index fits beside the rest", "", "", "")
    return [head, *rows, (*fitting[:2], _number(left // pool), "")]


@_table("rumours")
def _rumours(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    room = target.MESSAGES_IN_PER_S * target.PACKET_BYTES
    load = m.growth("load_bytes")
    demand = m.at("demand_bytes", target.LIMITED_ENTRIES)
    blocks = fleet.blocks_per_s * target.BYTES_A_BLOCK
    kinds = (
        ("load digests", fleet.runners_near / target.LOAD_POLL_S * load),
        ("demand on limits", fleet.per_data_centre * demand),
        ("cache blocks", fleet.runners_near * blocks),
    )
    head = ("rumours in a data centre", "bytes/s for each to hear once")
    rows = [(name, _number(cost)) for name, cost in kinds]
    fresh = fleet.runners_near * load / room
    hold = target.LOAD_LIFETIME_S * room / load
    return [
        head,
        *rows,
        ("**room in the messages that a node gets**", _number(room)),
        ("seconds to hear each runner's load once, at best", _number(fresh)),
        ("a digest's lifetime, s", _number(target.LOAD_LIFETIME_S)),
        ("runners whose load fits into that, at best", _number(hold)),
    ]


@_table("store")
def _store(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    watchers = target.WATCHERS * target.DATA_CENTRES
    duties = target.DUTIES_PER_POOL * target.POOLS
    writes = target.lease_writes_per_s() * duties
    changes = target.WRITES_PER_CHANGE * fleet.changes_per_s
    reads = watchers * (1 / target.WATCH_S + fleet.changes_per_s)
    left = target.STORE_WRITES_PER_S - writes - changes
    held = target.claims_held()
    size = m.at("claims_bytes", held)
    return [
        ("store calls of the whole fleet", "figure"),
        ("watches waiting at any time", _number(watchers)),
        ("reads/s: watches that end, by time or change", _number(reads)),
        (
            "part of the reads",
            f"{100 * reads / target.STORE_READS_PER_S:.2g}%",
        ),
        ("duties held (two for a pool)", _number(duties)),
        ("writes/s: renewals of leases", _number(writes)),
        ("writes/s: changes and their history", _number(changes)),
        ("writes/s left for claims", _number(left)),
        ("caller-made keys/s, two writes each", _number(left / 2)),
        (
            "part of the requests that may bring a key of their own",
            f"{100 * left / 2 / target.REQUESTS_PER_S:.2g}%",
        ),
        (
            "caller-made keys of one node, one in s",
            _number(target.CLAIM_WRITES / fleet.writes_share),
        ),
        ("bytes of a bucket at that rate, kept 2 h", _number(size)),
        (
            "us of processor for a write of it",
            _number(m.at("claims_core", held)),
        ),
        (
            "bytes/s of a node that spends its share on claims",
            _number(2 * fleet.writes_share * size),
        ),
    ]


@_table("data_path")
def _data_path(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    event_us = 1e4 * m.growth("relay_core")
    request_us = m.row("relay", case="requests")["processor_us_per_request"]
    events = event_us * fleet.events_per_s / target.US_PER_S
    requests = request_us * fleet.requests_per_s / target.US_PER_S
    streams = m.at("relay_memory", fleet.streams)
    cores = events + requests
    answer = target.TOKENS_PER_S / target.REQUESTS_PER_S
    processes = cores / target.PROCESS_CORE
    return [
        ("data path of a node", "figure"),
        ("us of processor for a relayed event", _number(event_us)),
        ("us of processor for a request of one token", _number(request_us)),
        ("cores for events", _number(events)),
        ("cores for requests", _number(requests)),
        ("cores together", _number(cores)),
        (
            f"processes at {100 * target.PROCESS_CORE:g}% of a core each",
            _number(-(-processes // 1)),
        ),
        ("MB of one process with all the streams", _number(streams)),
        (
            "MB of it for the tokens sent, when all answers are at their end",
            _number(fleet.streams * m.at("stream_memory", answer) / target.MB),
        ),
        (
            "processes for the streams at 256 callers each",
            _number(-(-fleet.streams // target.CALLER_THREADS)),
        ),
        (
            "us of it for a choice among 64 runners",
            _number(m.at("routing_core", target.SUBSET)),
        ),
        (
            "us of it for admission with 320 customers",
            _number(m.at("admission_core", 320)),
        ),
    ]


@_table("breaks")
def _breaks(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    head = ("budget or bound", "broken from, nodes", "at the target")
    known = sorted(
        (found, name)
        for name, cost, budget in limits.bounds(m)
        if (found := limits.breaks_at(cost, budget)) is not None
    )
    costs = {
        name: _verdict(cost(fleet), budget)
        for name, cost, budget in limits.bounds(m)
    }
    return [
        head,
        *(
            (
                name,
                "any size" if found <= 1 else _number(found),
                costs[name],
            )
            for found, name in known
        ),
    ]


@_table("losses")
def _losses(m: target.Measured, fleet: target.Fleet) -> list[Row]:
    streams = target.TOKENS_PER_S * target.BETWEEN_TOKENS_S / fleet.runners
    charge = m.growth("quarantine_memory")
    told = target.NOTICE_WATCHERS * target.DATA_CENTRES
    events = (
        ("all the rumours that a node holds", target.RUMOURS_MAX / told),
        ("an ordinary half hour", target.ordinary_deaths()),
        ("a lost data centre", fleet.runners_near),
        ("79% reclaimed", fleet.runners * target.RECLAIMABLE_PART),
    )
    head = (
        "runners that end within 30 min",
        "deaths kept",
        "MB of quarantine",
        "rumours of notices",
        "streams to move or replay",
        "of all streams",
    )
    return [
        head,
        *(
            (
                name,
                _number(min(deaths, target.DEATHS_MAX)),
                _number(
                    min(deaths, target.DEATHS_MAX) * streams * charge / 1e6
                ),
                _number(deaths * told),
                _number(deaths * streams),
                f"{100 * deaths / fleet.runners:.2g}%",
            )
            for name, deaths in events
        ),
    ]


def _markdown(rows: list[Row]) -> str:
    head, *body = ("| " + " | ".join(row) + " |" for row in rows)
    rule = "|" + "---|" * len(rows[0])
    return "\n".join([head, rule, *body]) + "\n"


def render(page: str, measured: target.Measured) -> str:
    """The page with each table as the files give it.

    :raises PageInvalid: if a table is missing or not known.
    """
    fleet = target.Fleet()
    named = [found["name"] for found in MARKED.finditer(page)]
    if sorted(named) != sorted(TABLES):
        odd = ", ".join(sorted(set(named) ^ set(TABLES))) or "a table twice"
        raise PageInvalid(f"not each table once: {odd}")

    def table(found: re.Match[str]) -> str:
        rows = TABLES[found["name"]](measured, fleet)
        return found[1] + _markdown(rows) + found[4]

    return MARKED.sub(table, page)


def run(arguments: list[str]) -> int:
    """Write the tables, or check them.

    :returns: 1 with ``--check`` when the page differs, else 0.
    """
    parser = argparse.ArgumentParser(prog="bench capacity_page")
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--page", type=pathlib.Path, default=target.PAGE)
    parser.add_argument("--data", type=pathlib.Path, default=target.FOLDER)
    options = parser.parse_args(arguments)
    page = options.page.read_text(encoding="utf-8")
    wanted = render(page, target.Measured(options.data))
    if options.check and page != wanted:
        message = f"{options.page} differs: run bench capacity_page"
        print(message, file=sys.stderr)
        return 1
    if page != wanted:
        options.page.write_text(wanted, encoding="utf-8")
    return 0
