"""The target size of the fleet and the cost of each part at that size.

Each cost is computed from a slope or a row in ``docs/capacity/``. Factors
that were neither given nor measured are listed as assumptions.
"""

import json
import pathlib
import typing

DATA_DIR = pathlib.Path("docs/capacity")
PAGE_PATH = pathlib.Path("docs/CAPACITY.md")

DAY_S = 86_400.0
US_PER_S = 1e6
MB = 1e6

# The target that the users gave.
NODES = 3_500
DATA_CENTRES = 22
REGIONS = 6
RUNNERS = 10_000
REQUESTS_PER_S = 100_000.0
TOKENS_PER_S = 45e6
CHANGES_PER_DAY = 12_000
FAILURES_PER_DAY = 110
RESTARTS_PER_DAY = 4_200
RECLAIMABLE_SHARE = 0.79
BETWEEN_TOKENS_S = 0.067

# Budgets of a node for the control plane.
CORE_BUDGET_PCT = 4.0
MEMORY_BUDGET_MB = 256.0
NETWORK_BUDGET_BYTES_PER_S = 12_000.0

# Limits of the object API. Its "several hundred" writes per second are taken
# as 300.
STORE_WRITES_PER_S = 300.0
STORE_READS_PER_S = 2_000.0
MAX_VALUE_BYTES = 1_000_000

# Constants of the current implementation.
POLLERS_PER_RUNNER = 2
LOAD_POLL_INTERVAL_S = 0.5
POLLER_TICK_S = 0.1
LIST_INTERVAL_S = 1.0
LEASE_DURATION_S = 10.0
RENEWALS_PER_LEASE = 3
DUTIES_PER_POOL = 2
CONFIGURATION_WATCHERS = 2
NOTICE_WATCHERS = 2
MAX_RUMOURS = 8_192
WATCH_DURATION_S = 20.0
MESSAGE_BYTES = 1_200
MESSAGES_RECEIVED_PER_S = 2
LOAD_LIFETIME_S = 3.0
FULL_VIEW_MAX_NODES = 64
CALLER_THREADS_PER_PROCESS = 256
SUBSET_SIZE = 64
BLOCKS_PER_RUNNER = 4_096
CLAIM_BUCKETS = 256
CLAIM_RETENTION_S = 7_200.0
WRITES_PER_CLAIM = 2
QUARANTINE_DURATION_S = 1_800.0
MAX_QUARANTINED_DEATHS = 4_096
MAX_QUARANTINED_FEATURES = 50_000
KEPT_OUTCOMES_MB = 32 * 1.048576
WRITES_PER_CHANGE = 2

# Assumptions, which were neither given nor measured.
ENTRIES = 50
POOLS = 50
LIMITED_ENTRIES = 4
NEW_BLOCKS_PER_REQUEST = 4
LEDGER_KEYS = 10_000
# A block's size in a packed field of a message, without the field's tag.
BYTES_PER_BLOCK = 8
# Above this share of a core, the delays of events grow quickly.
CORE_PER_PROCESS = 0.5


class Measurements:
    """The measurements in the files of ``docs/capacity``.

    :param folder: the directory of the files.
    """

    def __init__(self, folder: pathlib.Path = DATA_DIR) -> None:
        self.slopes = {
            row["slope"]: row for row in _read_rows(folder, "slopes")
        }
        self.relay = _read_rows(folder, "relay")
        self.membership = _read_rows(folder, "membership")
        self.configuration = _read_rows(folder, "configuration")

    def value_at(self, slope: str, size: float) -> float:
        """The cost at a size, on the straight line of a slope."""
        row = self.slopes[slope]
        return float(row["start"] + row["growth"] * size)

    def growth_per_unit(self, slope: str) -> float:
        """The cost that each unit of size adds."""
        return float(self.slopes[slope]["growth"])

    def find_row(
        self, rows: str, **wanted: typing.Any
    ) -> dict[str, typing.Any]:
        """The first row of a file that has the wanted values.

        :param rows: the name of the file without its suffix.
        """
        rows_of_file: list[dict[str, typing.Any]] = getattr(self, rows)
        return next(
            row for row in rows_of_file if wanted.items() <= row.items()
        )

    @property
    def peer_call_us(self) -> float:
        """Processor time of one call in microseconds, the sum of both ends."""
        return self.growth_per_unit("peer_call_core")


class TargetFleet:
    """A fleet with the proportions of the target.

    :param nodes: the number of entry VMs. The other totals grow in
        proportion, except the number of data centres.
    """

    def __init__(self, nodes: float = NODES) -> None:
        self.nodes = nodes
        self.scale = nodes / NODES

    @property
    def nodes_per_data_centre(self) -> float:
        """Entry VMs in a data centre."""
        return self.nodes / DATA_CENTRES

    @property
    def runners(self) -> float:
        """Runners of the fleet."""
        return RUNNERS * self.scale

    @property
    def runners_per_data_centre(self) -> float:
        """Runners in a data centre."""
        return self.runners / DATA_CENTRES

    @property
    def listed_vms(self) -> float:
        """VMs in the platform's list."""
        return self.nodes + self.runners

    @property
    def polls_per_s(self) -> float:
        """Runners that one node polls per second."""
        return (
            POLLERS_PER_RUNNER
            * self.runners
            / self.nodes
            / LOAD_POLL_INTERVAL_S
        )

    @property
    def requests_per_s(self) -> float:
        """Requests per second of one node."""
        return REQUESTS_PER_S / NODES

    @property
    def events_per_s(self) -> float:
        """Tokens that one node relays per second."""
        return TOKENS_PER_S / NODES

    @property
    def streams(self) -> float:
        """Streams open at one node, each at the target's token rate."""
        return self.events_per_s * BETWEEN_TOKENS_S

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second; they grow with the fleet."""
        return self.scale * CHANGES_PER_DAY / DAY_S

    @property
    def blocks_per_s(self) -> float:
        """New cache blocks of one runner per second."""
        return NEW_BLOCKS_PER_REQUEST * REQUESTS_PER_S / RUNNERS

    @property
    def polled_runners(self) -> float:
        """Runners that one node polls."""
        return self.polls_per_s * LOAD_POLL_INTERVAL_S

    @property
    def node_store_writes_per_s(self) -> float:
        """One node's share of the store's writes per second."""
        return STORE_WRITES_PER_S / self.nodes


Cost = typing.Callable[[Measurements, TargetFleet], float]


class CostPart:
    """The cost of one part of the system for a node.

    :param name: the name of the part in the tables.
    :param source: the slopes or rows from which the cost is computed.
    :param cost: computes the cost for a fleet.
    """

    __slots__ = ("name", "source", "cost")

    def __init__(self, name: str, source: str, cost: Cost) -> None:
        self.name = name
        self.source = source
        self.cost = cost


def _extrapolate_gossip(
    measurements: Measurements, fleet: TargetFleet, field: str, slope: str
) -> float:
    """The measured cost at the target's size, extrapolated by the slope."""
    measured = measurements.find_row(
        "membership", case="large_cost", vms="all"
    )[field]
    more_nodes = (
        fleet.nodes_per_data_centre - TargetFleet().nodes_per_data_centre
    )
    return max(
        0.0, float(measured + measurements.growth_per_unit(slope) * more_nodes)
    )


def _gossip_core_pct(measurements: Measurements, fleet: TargetFleet) -> float:
    calls = measurements.find_row("membership", case="large_cost", vms="all")[
        "calls_per_s"
    ]
    calls_pct = 100 * calls * measurements.peer_call_us / US_PER_S
    decisions = _extrapolate_gossip(
        measurements, fleet, "decisions_core_pct", "membership_core"
    )
    return decisions + calls_pct


def _added_by_changes(measurements: Measurements, field: str) -> float:
    """The cost that a day's changes add to membership at the target's size."""
    with_changes = measurements.find_row("configuration", case="large")
    without_changes = measurements.find_row(
        "membership", case="large_cost", vms="all"
    )
    return float(with_changes[field] - without_changes[field])


def _dissemination_core_pct(
    measurements: Measurements, fleet: TargetFleet
) -> float:
    calls = _added_by_changes(measurements, "calls_per_s")
    return fleet.scale * 100 * calls * measurements.peer_call_us / US_PER_S


#: Control-plane processor time of a node, in percent of a core.
PROCESSOR = (
    CostPart(
        "membership",
        "membership.jsonl large_cost, membership_core, peer_call_core",
        _gossip_core_pct,
    ),
    CostPart(
        "configuration: calls of the spread",
        "configuration.jsonl large, peer_call_core",
        _dissemination_core_pct,
    ),
    CostPart(
        "configuration: apply a change",
        "catalogue_apply",
        lambda measurements, f: 100
        * f.changes_per_s
        * measurements.value_at("catalogue_apply", ENTRIES)
        / US_PER_S,
    ),
    CostPart(
        "runner keepers: polls",
        "poll_core",
        lambda measurements, f: measurements.value_at(
            "poll_core", f.polls_per_s
        ),
    ),
    CostPart(
        "runner keepers: read the platform's list",
        "list_core",
        lambda measurements, f: 100
        * measurements.value_at("list_core", f.listed_vms)
        / US_PER_S
        / LIST_INTERVAL_S,
    ),
    CostPart(
        "runner keepers: take the list in",
        "listed_core",
        lambda measurements, f: 100
        * measurements.value_at("listed_core", f.runners)
        / US_PER_S
        / LIST_INTERVAL_S,
    ),
    CostPart(
        "runner keepers: find whom to poll, each tick",
        "keeper_tick",
        lambda measurements, f: 100
        * measurements.value_at("keeper_tick", f.runners)
        / US_PER_S
        / POLLER_TICK_S,
    ),
    CostPart(
        "limit shares",
        "shares_core",
        lambda measurements, f: 100
        * measurements.value_at("shares_core", f.nodes_per_data_centre)
        / US_PER_S,
    ),
)

#: Control-plane traffic of a node in both directions, in bytes per second.
NETWORK = (
    CostPart(
        "membership, rumours included",
        "membership.jsonl large_cost, membership_bytes",
        lambda measurements, f: _extrapolate_gossip(
            measurements, f, "wire_bytes_per_s", "membership_bytes"
        ),
    ),
    CostPart(
        "configuration: spread",
        "configuration.jsonl large",
        lambda measurements, f: f.scale
        * _added_by_changes(measurements, "wire_bytes_per_s"),
    ),
    CostPart(
        "runner keepers: polls",
        "poll_bytes",
        lambda measurements, f: measurements.value_at(
            "poll_bytes", f.polls_per_s
        ),
    ),
    CostPart(
        "runner keepers: cache events",
        "cache_event_bytes",
        lambda measurements, f: f.polled_runners
        * f.blocks_per_s
        * measurements.growth_per_unit("cache_event_bytes"),
    ),
    CostPart(
        "runner keepers: the platform's list",
        "list_bytes",
        lambda measurements, f: measurements.value_at(
            "list_bytes", f.listed_vms
        )
        / LIST_INTERVAL_S,
    ),
)


def claims_per_bucket() -> float:
    """Claims in a bucket if all writes of the store are used for claims."""
    keys_per_s = STORE_WRITES_PER_S / WRITES_PER_CLAIM
    return keys_per_s * CLAIM_RETENTION_S / CLAIM_BUCKETS


def renewals_per_lease_per_s() -> float:
    """Renewals of one lease per second."""
    return RENEWALS_PER_LEASE / LEASE_DURATION_S


def deaths_in_quarantine() -> float:
    """Deaths of runners in quarantine at any time of an ordinary day.

    Failures and restarts are split between nodes and runners in proportion
    to their numbers.
    """
    ends_per_day = FAILURES_PER_DAY + RESTARTS_PER_DAY
    runners_share = RUNNERS / (RUNNERS + NODES)
    return ends_per_day * runners_share * QUARANTINE_DURATION_S / DAY_S


def _quarantine_charges() -> float:
    streams = TOKENS_PER_S * BETWEEN_TOKENS_S / RUNNERS
    return deaths_in_quarantine() * streams


#: Memory of a node, in megabytes.
MEMORY = (
    CostPart(
        "an idle process, its code included",
        "relay.jsonl idle",
        lambda measurements, f: measurements.find_row("relay", case="idle")[
            "rss_bytes"
        ]
        / MB,
    ),
    CostPart(
        "membership's own state",
        "membership.jsonl large_cost",
        lambda measurements, f: measurements.find_row(
            "membership", case="large_cost"
        )["memory_kb_each"]
        / 1000,
    ),
    CostPart(
        "catalogue",
        "catalogue_memory",
        lambda measurements, f: measurements.value_at(
            "catalogue_memory", ENTRIES
        )
        / MB,
    ),
    CostPart(
        "prefix index, one pool, full",
        "prefix_memory",
        lambda measurements, f: measurements.growth_per_unit("prefix_memory")
        * SUBSET_SIZE
        * BLOCKS_PER_RUNNER
        / MB,
    ),
    CostPart(
        "outcomes kept for callers, bounded",
        "Sizes.keep_outcomes_bytes_max",
        lambda measurements, f: KEPT_OUTCOMES_MB,
    ),
    CostPart(
        "quarantine on an ordinary day",
        "quarantine_memory",
        lambda measurements, f: measurements.growth_per_unit(
            "quarantine_memory"
        )
        * _quarantine_charges()
        / MB,
    ),
    CostPart(
        "ledger, 10,000 keys that may still be used",
        "ledger_memory",
        lambda measurements, f: measurements.value_at(
            "ledger_memory", LEDGER_KEYS
        )
        / MB,
    ),
    CostPart(
        "histograms, 80 keys",
        "histogram_memory",
        lambda measurements, f: measurements.value_at("histogram_memory", 80)
        / MB,
    ),
)


def total_cost(
    parts: tuple[CostPart, ...], measurements: Measurements, fleet: TargetFleet
) -> float:
    """The sum of the costs of all parts."""
    return sum(part.cost(measurements, fleet) for part in parts)


def _read_rows(folder: pathlib.Path, name: str) -> list[dict[str, typing.Any]]:
    text = (folder / f"{name}.jsonl").read_text(encoding="utf-8")
    return [json.loads(line) for line in text.splitlines() if line.strip()]
