"""Slopes that ``bench slopes`` measures: one function and four sizes each."""

import gc
import random
import time
import tracemalloc
import typing

from apricotlever import catalogue
from apricotlever import clock as clocks
from apricotlever.contracts import admission
from apricotlever.contracts import fleet_shares
from apricotlever.daemon import gossip_messages
from apricotlever.daemon import model_responses
from apricotlever.daemon import transcripts
from apricotlever import histograms
from apricotlever.requests import ledger
from apricotlever.requests import ledger_messages
from apricotlever.runners import model as runners
from apricotlever.runners import prefix
from apricotlever.runners import routing
from apricotlever.vms import catalogue_deltas

from . import fleets
from . import gossip_simulation

REPEATS = 5
#: Virtual seconds after a start by which the additional messages that the
#: start causes have ended.
WARM_UP_S = 40.0
Points = list[tuple[float, float]]
Measure = typing.Callable[[int], float]


class Slope:
    """A cost that is measured as a function of a size.

    :param name: a stable name; the capacity page refers to it.
    :param x: the size and its unit.
    :param y: the cost and its unit.
    :param sizes: four or more sizes to measure at.
    :param measure: returns the cost at one size.
    """

    __slots__ = ("name", "x", "y", "sizes", "measure")

    def __init__(
        self,
        name: str,
        x: str,
        y: str,
        sizes: tuple[int, ...],
        measure: Measure,
    ) -> None:
        self.name = name
        self.x = x
        self.y = y
        self.sizes = sizes
        self.measure = measure


SLOPES: dict[str, Slope] = {}


def slope(
    name: str, x: str, y: str, *sizes: int
) -> typing.Callable[[Measure], Measure]:
    """Register the decorated function as the measurement of a slope."""

    def register(measure: Measure) -> Measure:
        SLOPES[name] = Slope(name, x, y, sizes, measure)
        return measure

    return register


def measure_processor_us(work: typing.Callable[[], int]) -> float:
    """Return microseconds of processor time per operation.

    The result is the minimum of ``REPEATS`` runs.

    :param work: the code to measure; returns the number of its operations.
    """
    durations_us = []
    for _ in range(REPEATS):
        start_s = time.process_time()
        operations = work()
        durations_us.append((time.process_time() - start_s) / operations * 1e6)
    return min(durations_us)


def measure_memory_bytes(make: typing.Callable[[], typing.Any]) -> float:
    """Return the bytes that an object allocates, as tracemalloc counts.

    :param make: creates the object.
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    created = make()
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert created is not None
    return float(held_bytes)


def _membership_cost(size: int, seconds: float = 15.0) -> fleets.Cost:
    fleet = gossip_simulation.Fleet(seed=size)
    nodes = fleets.start_with_known_members(
        fleet, fleets.make_members((size,))
    )
    fleet.run(WARM_UP_S)
    fleets.Cost.reset_counters(nodes)
    fleet.run(seconds)
    # HTTP/2, TCP and IP add 274 bytes to each peer call.
    return fleets.Cost(nodes, seconds, 0.0, 274.0)


@slope("membership_bytes", "members", "bytes/s a node", 20, 40, 80, 160)
def _membership_bytes(size: int) -> float:
    return _membership_cost(size).wire_bytes


@slope("membership_core", "members", "% of a core", 20, 40, 80, 160)
def _membership_core(size: int) -> float:
    return 100.0 * _membership_cost(size).decisions


@slope("gateway_bytes", "data centres", "bytes/s a gateway", 4, 8, 12, 22)
def _gateway_bytes(size: int) -> float:
    fleet = gossip_simulation.Fleet(seed=size)
    sizes = fleets.split_evenly(20 * size, size)
    nodes = fleets.start_with_known_members(fleet, fleets.make_members(sizes))
    fleet.run(WARM_UP_S)
    fleets.Cost.reset_counters(nodes)
    fleet.run(15.0)
    gateways = [node for node in nodes if node.membership.is_gateway]
    # HTTP/2, TCP and IP add 274 bytes to each peer call.
    return fleets.Cost(gateways, 15.0, 0.0, 274.0).wire_bytes


def make_catalogue(entries: int) -> dict[str, typing.Any]:
    """Create a catalogue document with a number of entries."""
    return {
        "customers": {
            f"customer-{i}": {"key_sha256": f"{i:064x}", "weight": 1.0}
            for i in range(max(1, entries // 4))
        },
        "classes": {
            "desk": {
                "first_token_s": 1.2,
                "between_tokens_s": 0.067,
                "deadline_s": 120,
                "queue_s": 2.0,
                "shed_order": 1,
                "priority": 8,
            }
        },
        "entries": {
            f"entry-{i}": {
                "owner": "an owner",
                "kind": "model",
                "class": "desk",
                "model": f"model-{i}",
                "version": "1",
                "upstreams": {"pool": f"pool-{i}"},
                "limits": {"concurrent": 100},
                "capacity": {
                    "min_runners": 1,
                    "max_runners": 9,
                    "slots_per_runner": 16,
                    "machine": "large",
                },
            }
            for i in range(entries)
        },
    }


@slope("catalogue_bytes", "entries", "bytes whole", 50, 100, 200, 400)
def _catalogue_bytes(size: int) -> float:
    return float(len(catalogue_deltas.canonical_json(make_catalogue(size))))


@slope("catalogue_apply", "entries", "us a change", 50, 100, 200, 400)
def _catalogue_apply(size: int) -> float:
    parser = catalogue.Parser()
    parser.parse(make_catalogue(size), 1)

    def work() -> int:
        document = make_catalogue(size)
        document["entries"]["entry-0"]["version"] = str(time.monotonic())
        start_s = time.process_time()
        catalogue_deltas.compute_digest(document)
        parser.parse(document, 2)
        durations_s.append(time.process_time() - start_s)
        return 1

    durations_s: list[float] = []
    for _ in range(REPEATS):
        work()
    return min(durations_s) * 1e6


@slope("catalogue_memory", "entries", "bytes held", 50, 100, 200, 400)
def _catalogue_memory(size: int) -> float:
    return measure_memory_bytes(
        lambda: catalogue.parse(make_catalogue(size), 1)
    )


def _make_ledger(size: int) -> ledger.Ledger:
    clock = clocks.ManualClock()
    filled = ledger.Ledger(clock, random.Random(1), "vm-1", 1)
    for number in range(size):
        key = filled.mint("ana")
        decision = filled.begin(key, "ana", f"{number:032x}")
        assert isinstance(decision, ledger_messages.RunCall)
        filled.start_sending(decision.token)
        answer = ledger_messages.Answer(
            200, (("Content-Type", "x"),), b"x" * 120
        )
        filled.record_answer(decision.token, answer)
    return filled


@slope("ledger_memory", "keys", "bytes held", 1000, 2000, 4000, 8000)
def _ledger_memory(size: int) -> float:
    return measure_memory_bytes(lambda: _make_ledger(size))


@slope("ledger_core", "keys", "us for all", 1000, 2000, 4000, 8000)
def _ledger_core(size: int) -> float:
    def work() -> int:
        _make_ledger(size)
        return 1

    return measure_processor_us(work)


def _make_router(count: int) -> routing.Router:
    clock = clocks.ManualClock()
    router = routing.Router(clock, random.Random(1), "vm-1", "dc-0")
    router.set_runners(
        runners.Runner(
            f"runner-{i}",
            f"h:{i}",
            f"dc-{i % 3}",
            "pool",
            "reclaimable",
            "large",
            1.0 + i % 5,
            16,
        )
        for i in range(count)
    )
    return router


@slope("routing_core", "runners", "us a choice", 8, 16, 32, 64)
def _routing_core(size: int) -> float:
    router = _make_router(size)
    blocks = prefix.block_hashes("m", "clause " * 300)
    query = runners.Query(
        "entry", "pool", "m", blocks, 525, 200, 5, frozenset(), 1.2
    )

    def work() -> int:
        for _ in range(300):
            router.choose(query)
        return 300

    return measure_processor_us(work)


@slope("prefix_memory", "blocks", "bytes held", 2000, 4000, 8000, 16000)
def _prefix_memory(size: int) -> float:
    def make() -> prefix.PrefixIndex:
        index = prefix.PrefixIndex()
        per_runner = size // 8
        for name in map("runner-{}".format, range(8)):
            index.add_runner(name)
            base = hash(name) & 0xFFFFFFFF
            blocks = tuple(base + i for i in range(per_runner))
            index.claim(name, blocks)
        return index

    return measure_memory_bytes(make)


@slope("admission_core", "customers", "us a request", 5, 20, 80, 320)
def _admission_core(size: int) -> float:
    clock = clocks.ManualClock()
    controller = admission.AdmissionController(clock, random.Random(1), "vm-1")
    controller.configure(catalogue.parse(make_catalogue(4), 1))

    def work() -> int:
        for number in range(500):
            ticket = admission.Ticket(
                f"r{number}",
                f"customer-{number % size}",
                "entry-0",
                "desk",
                600.0,
                clock.now(),
                clock.now() + 100,
            )
            controller.offer(ticket)
            controller.first_token(ticket.request_id)
            controller.finished(ticket.request_id, runners.Outcome.DONE, 600)
            clock.advance(0.002)
        return 500

    return measure_processor_us(work)


@slope("shares_core", "reports/s", "us a second", 25, 50, 100, 200)
def _shares_core(size: int) -> float:
    clock = clocks.ManualClock()
    shares = fleet_shares.FleetShares(clock, "vm-0")
    kind = fleet_shares.LimitKind.CONCURRENT
    shares.set_limits({("entry-0", kind): 1000.0})
    names = [f"vm-{i}" for i in range(size)]
    shares.set_members(names)
    numbers = iter(range(1, 10**9))

    def work() -> int:
        clock.advance(1.0)
        for name in names:
            demand = fleet_shares.Demand("entry-0", kind, 5.0)
            shares.receive(
                fleet_shares.DemandReport(name, next(numbers), (demand,))
            )
        shares.units("entry-0", kind)
        return 1

    return measure_processor_us(work)


@slope("demand_bytes", "limited entries", "bytes a report", 1, 2, 4, 8)
def _demand_bytes(size: int) -> float:
    kind = fleet_shares.LimitKind.CONCURRENT
    demands = tuple(
        fleet_shares.Demand(f"entry-{i}", kind, 5.0) for i in range(size)
    )
    report = fleet_shares.DemandReport("vm-123", 1_800_000_000_000, demands)
    return float(gossip_messages.demand_rumour(report).ByteSize())


@slope("load_bytes", "runners", "bytes of digests", 8, 16, 32, 64)
def _load_bytes(size: int) -> float:
    report = runners.LoadReport(12, 3, 16, age_s=0.4)
    return float(
        sum(
            gossip_messages.load_rumour(f"runner-{i:05}", report).ByteSize()
            for i in range(size)
        )
    )


@slope("stream_memory", "tokens", "bytes a stream", 64, 128, 256, 512)
def _stream_memory(size: int) -> float:
    request_id = "vm-1.1796240221394.9059129f8d1b27a1"

    def make() -> transcripts.Transcript:
        return transcripts.Transcript(
            model_responses.token_event(request_id, index, " bah", False)
            for index in range(size)
        )

    return measure_memory_bytes(make)


@slope("histogram_memory", "keys", "bytes held", 10, 20, 40, 80)
def _histogram_memory(size: int) -> float:
    def make() -> histograms.Histograms:
        created = histograms.Histograms()
        for number in range(size):
            for duration_us in (10_000, 60_000, 900_000):
                created.distribution("whole", f"c{number}", "desk").record_us(
                    duration_us
                )
        return created

    return measure_memory_bytes(make)
