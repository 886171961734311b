"""The size that the system has to carry, and what each part costs there.

Every cost comes from a slope or a row in ``docs/capacity/``. What a figure
there has to be multiplied with, and nobody has measured, is an assumption
and named so.
"""

import json
import pathlib
import typing

FOLDER = pathlib.Path("docs/capacity")
PAGE = pathlib.Path("docs/CAPACITY.md")

DAY_S = 86_400.0
US_PER_S = 1e6
MB = 1e6

# The users' target.
NODES = 3_500
DATA_CENTRES = 22
REGIONS = 6
RUNNERS = 10_000
REQUESTS_PER_S = 100_000.0
TOKENS_PER_S = 45e6
CHANGES_PER_DAY = 12_000
FAILURES_PER_DAY = 110
RESTARTS_PER_DAY = 4_200
RECLAIMABLE_PART = 0.79
BETWEEN_TOKENS_S = 0.067

# Budgets of a node for control.
CORE_PCT = 4.0
MEMORY_MB = 256.0
BYTES_PER_S = 12_000.0

# The object API. "Several hundred" writes is taken as 300.
STORE_WRITES_PER_S = 300.0
STORE_READS_PER_S = 2_000.0
VALUE_BYTES = 1_000_000

# Constants of today's code.
KEEPERS = 2
LOAD_POLL_S = 0.5
KEEPER_TICK_S = 0.1
LIST_S = 1.0
LEASE_S = 10.0
RENEWALS_PER_LEASE = 3
DUTIES_PER_POOL = 2
WATCHERS = 2
NOTICE_WATCHERS = 2
RUMOURS_MAX = 8_192
WATCH_S = 20.0
PACKET_BYTES = 1_200
MESSAGES_IN_PER_S = 2
LOAD_LIFETIME_S = 3.0
FULL_VIEW_MAX = 64
CALLER_THREADS = 256
SUBSET = 64
BLOCKS_PER_RUNNER = 4_096
BUCKETS = 256
CLAIM_KEEP_S = 7_200.0
CLAIM_WRITES = 2
QUARANTINE_S = 1_800.0
DEATHS_MAX = 4_096
KEEP_OUTCOMES_MB = 32 * 1.048576
WRITES_PER_CHANGE = 2

# Assumptions: nothing that was given or measured says them.
ENTRIES = 50
POOLS = 50
LIMITED_ENTRIES = 4
NEW_BLOCKS_PER_REQUEST = 4
LEDGER_KEYS = 10_000
# Packed in a message, without its tag.
BYTES_A_BLOCK = 8
# Above this, delays of events grow quickly.
PROCESS_CORE = 0.5


class Measured:
    """What the files of ``docs/capacity`` hold.

    :param folder: where they are.
    """

    def __init__(self, folder: pathlib.Path = FOLDER) -> None:
        self.slopes = {row["slope"]: row for row in _rows(folder, "slopes")}
        self.relay = _rows(folder, "relay")
        self.membership = _rows(folder, "membership")
        self.configuration = _rows(folder, "configuration")

    def at(self, slope: str, size: float) -> float:
        """A slope's straight line at a size."""
        row = self.slopes[slope]
        return float(row["start"] + row["growth"] * size)

    def growth(self, slope: str) -> float:
        """What each unit of size adds."""
        return float(self.slopes[slope]["growth"])

    def row(self, rows: str, **wanted: typing.Any) -> dict[str, typing.Any]:
        """The first row of a file with these values."""
        found: list[dict[str, typing.Any]] = getattr(self, rows)
        return next(row for row in found if wanted.items() <= row.items())

    @property
    def peer_call_us(self) -> float:
        """Processor time of one call, both ends."""
        return self.growth("peer_call_core")


class Fleet:
    """A fleet with the target's proportions.

    :param nodes: entry VMs; the rest grows with them, but for the data
        centres.
    """

    def __init__(self, nodes: float = NODES) -> None:
        self.nodes = nodes
        self.part = nodes / NODES

    @property
    def per_data_centre(self) -> float:
        """Entry VMs of a data centre."""
        return self.nodes / DATA_CENTRES

    @property
    def runners(self) -> float:
        """All runners."""
        return RUNNERS * self.part

    @property
    def runners_near(self) -> float:
        """Runners of a data centre."""
        return self.runners / DATA_CENTRES

    @property
    def listed(self) -> float:
        """VMs in the platform's list."""
        return self.nodes + self.runners

    @property
    def polls_per_s(self) -> float:
        """Runners polled a second by one node."""
        return KEEPERS * self.runners / self.nodes / LOAD_POLL_S

    @property
    def requests_per_s(self) -> float:
        """Of one node."""
        return REQUESTS_PER_S / NODES

    @property
    def events_per_s(self) -> float:
        """Tokens relayed by one node."""
        return TOKENS_PER_S / NODES

    @property
    def streams(self) -> float:
        """Open at one node, each at the target's pace."""
        return self.events_per_s * BETWEEN_TOKENS_S

    @property
    def changes_per_s(self) -> float:
        """Of the configuration; they grow with the fleet."""
        return self.part * CHANGES_PER_DAY / DAY_S

    @property
    def blocks_per_s(self) -> float:
        """New cache blocks of one runner."""
        return NEW_BLOCKS_PER_REQUEST * REQUESTS_PER_S / RUNNERS

    @property
    def kept(self) -> float:
        """Runners that one node polls."""
        return self.polls_per_s * LOAD_POLL_S

    @property
    def writes_share(self) -> float:
        """One node's share of the store's writes a second."""
        return STORE_WRITES_PER_S / self.nodes


Cost = typing.Callable[[Measured, Fleet], float]


class Part:
    """What one part costs a node.

    :param name: of the part.
    :param by: the slopes or rows that it is worked out from.
    :param cost: at a fleet's size.
    """

    __slots__ = ("name", "by", "cost")

    def __init__(self, name: str, by: str, cost: Cost) -> None:
        self.name = name
        self.by = by
        self.cost = cost


def _gossip(m: Measured, fleet: Fleet, field: str, slope: str) -> float:
    """Measured at the target's size, and by the slope from there."""
    measured = m.row("membership", case="large_cost", vms="all")[field]
    further = fleet.per_data_centre - Fleet().per_data_centre
    return max(0.0, float(measured + m.growth(slope) * further))


def _gossip_core(m: Measured, fleet: Fleet) -> float:
    calls = m.row("membership", case="large_cost", vms="all")["calls_per_s"]
    calls_pct = 100 * calls * m.peer_call_us / US_PER_S
    decisions = _gossip(m, fleet, "decisions_core_pct", "membership_core")
    return decisions + calls_pct


def _added_by_changes(m: Measured, field: str) -> float:
    """What the changes of a day add to membership, measured at the target."""
    changing = m.row("configuration", case="large")
    calm = m.row("membership", case="large_cost", vms="all")
    return float(changing[field] - calm[field])


def _spread_core(m: Measured, fleet: Fleet) -> float:
    calls = _added_by_changes(m, "calls_per_s")
    return fleet.part * 100 * calls * m.peer_call_us / US_PER_S


#: Percent of a core.
PROCESSOR = (
    Part(
        "membership",
        "membership.jsonl large_cost, membership_core, peer_call_core",
        _gossip_core,
    ),
    Part(
        "configuration: calls of the spread",
        "configuration.jsonl large, peer_call_core",
        _spread_core,
    ),
    Part(
        "configuration: apply a change",
        "catalogue_apply",
        lambda m, f: 100
        * f.changes_per_s
        * m.at("catalogue_apply", ENTRIES)
        / US_PER_S,
    ),
    Part(
        "runner keepers: polls",
        "poll_core",
        lambda m, f: m.at("poll_core", f.polls_per_s),
    ),
    Part(
        "runner keepers: read the platform's list",
        "list_core",
        lambda m, f: 100 * m.at("list_core", f.listed) / US_PER_S / LIST_S,
    ),
    Part(
        "runner keepers: take the list in",
        "listed_core",
        lambda m, f: 100 * m.at("listed_core", f.runners) / US_PER_S / LIST_S,
    ),
    Part(
        "runner keepers: find whom to poll, each tick",
        "keeper_tick",
        lambda m, f: 100
        * m.at("keeper_tick", f.runners)
        / US_PER_S
        / KEEPER_TICK_S,
    ),
    Part(
        "limit shares",
        "shares_core",
        lambda m, f: 100 * m.at("shares_core", f.per_data_centre) / US_PER_S,
    ),
)

#: Bytes a second, both ways.
NETWORK = (
    Part(
        "membership, rumours included",
        "membership.jsonl large_cost, membership_bytes",
        lambda m, f: _gossip(m, f, "wire_bytes_per_s", "membership_bytes"),
    ),
    Part(
        "configuration: spread",
        "configuration.jsonl large",
        lambda m, f: f.part * _added_by_changes(m, "wire_bytes_per_s"),
    ),
    Part(
        "runner keepers: polls",
        "poll_bytes",
        lambda m, f: m.at("poll_bytes", f.polls_per_s),
    ),
    Part(
        "runner keepers: cache events",
        "cache_event_bytes",
        lambda m, f: f.kept * f.blocks_per_s * m.growth("cache_event_bytes"),
    ),
    Part(
        "runner keepers: the platform's list",
        "list_bytes",
        lambda m, f: m.at("list_bytes", f.listed) / LIST_S,
    ),
)


def claims_held() -> float:
    """Claims of a bucket when the store's writes are all spent on them."""
    keys_per_s = STORE_WRITES_PER_S / CLAIM_WRITES
    return keys_per_s * CLAIM_KEEP_S / BUCKETS


def lease_writes_per_s() -> float:
    """Renewals of one lease."""
    return RENEWALS_PER_LEASE / LEASE_S


def ordinary_deaths() -> float:
    """Ends of runners that quarantine keeps on an ordinary day.

    The restarts fall on nodes and runners as those are many.
    """
    ends_per_day = FAILURES_PER_DAY + RESTARTS_PER_DAY
    of_runners = RUNNERS / (RUNNERS + NODES)
    return ends_per_day * of_runners * QUARANTINE_S / DAY_S


def _charges() -> float:
    streams = TOKENS_PER_S * BETWEEN_TOKENS_S / RUNNERS
    return ordinary_deaths() * streams


#: Megabytes.
MEMORY = (
    Part(
        "an idle process, its code included",
        "relay.jsonl idle",
        lambda m, f: m.row("relay", case="idle")["rss_bytes"] / MB,
    ),
    Part(
        "membership's own state",
        "membership.jsonl large_cost",
        lambda m, f: m.row("membership", case="large_cost")["memory_kb_each"]
        / 1000,
    ),
    Part(
        "catalogue",
        "catalogue_memory",
        lambda m, f: m.at("catalogue_memory", ENTRIES) / MB,
    ),
    Part(
        "prefix index, one pool, full",
        "prefix_memory",
        lambda m, f: m.growth("prefix_memory")
        * SUBSET
        * BLOCKS_PER_RUNNER
        / MB,
    ),
    Part(
        "outcomes kept for callers, bounded",
        "Sizes.keep_outcomes_bytes_max",
        lambda m, f: KEEP_OUTCOMES_MB,
    ),
    Part(
        "quarantine on an ordinary day",
        "quarantine_memory",
        lambda m, f: m.growth("quarantine_memory") * _charges() / MB,
    ),
    Part(
        "ledger, 10,000 keys that may still be used",
        "ledger_memory",
        lambda m, f: m.at("ledger_memory", LEDGER_KEYS) / MB,
    ),
    Part(
        "histograms, 80 keys",
        "histogram_memory",
        lambda m, f: m.at("histogram_memory", 80) / MB,
    ),
)


def total(parts: tuple[Part, ...], m: Measured, fleet: Fleet) -> float:
    """The sum of the parts."""
    return sum(part.cost(m, fleet) for part in parts)


def _rows(folder: pathlib.Path, name: str) -> list[dict[str, typing.Any]]:
    text = (folder / f"{name}.jsonl").read_text(encoding="utf-8")
    return [json.loads(line) for line in text.splitlines() if line.strip()]
