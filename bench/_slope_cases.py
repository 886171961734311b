"""What `bench slopes` measures: one function a slope, four sizes each."""

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
from apricotlever.requests import ledger_messages as keyed
from apricotlever.runners import model as runners
from apricotlever.runners import prefix
from apricotlever.runners import routing
from apricotlever.vms import catalogue_deltas

from . import fleets
from . import gossip_simulation

REPEATS = 5
#: Until what a start has to tell has ebbed away.
WARM_S = 40.0
Points = list[tuple[float, float]]
Measure = typing.Callable[[int], float]


class Slope:
    """How a cost grows with a size.

    :param name: stable; the page refers to it.
    :param x: the size and its unit.
    :param y: the cost and its unit.
    :param sizes: at least four.
    :param measure: the cost at one size.
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
    def register(measure: Measure) -> Measure:
        SLOPES[name] = Slope(name, x, y, sizes, measure)
        return measure

    return register


def processor_us(work: typing.Callable[[], int]) -> float:
    """Processor time for each operation: the least of some repeats.

    :param work: returns how many operations it made.
    """
    found = []
    for _ in range(REPEATS):
        began = time.process_time()
        count = work()
        found.append((time.process_time() - began) / count * 1e6)
    return min(found)


def memory_bytes(make: typing.Callable[[], typing.Any]) -> float:
    """What an object holds in memory, by the allocator's own count."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert made is not None
    return float(held)


def _membership_cost(size: int, seconds: float = 15.0) -> fleets.Cost:
    fleet = gossip_simulation.Fleet(seed=size)
    nodes = fleets.start_with_known_members(
        fleet, fleets.make_members((size,))
    )
    fleet.run(WARM_S)
    fleets.Cost.reset_counters(nodes)
    fleet.run(seconds)
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
    fleet.run(WARM_S)
    fleets.Cost.reset_counters(nodes)
    fleet.run(15.0)
    gateways = [node for node in nodes if node.membership.is_gateway]
    return fleets.Cost(gateways, 15.0, 0.0, 274.0).wire_bytes


def catalogue_of(entries: int) -> dict[str, typing.Any]:
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
    return float(len(catalogue_deltas.canonical_json(catalogue_of(size))))


@slope("catalogue_apply", "entries", "us a change", 50, 100, 200, 400)
def _catalogue_apply(size: int) -> float:
    parser = catalogue.Parser()
    parser.parse(catalogue_of(size), 1)

    def work() -> int:
        document = catalogue_of(size)
        document["entries"]["entry-0"]["version"] = str(time.monotonic())
        began = time.process_time()
        catalogue_deltas.compute_digest(document)
        parser.parse(document, 2)
        spent.append(time.process_time() - began)
        return 1

    spent: list[float] = []
    for _ in range(REPEATS):
        work()
    return min(spent) * 1e6


@slope("catalogue_memory", "entries", "bytes held", 50, 100, 200, 400)
def _catalogue_memory(size: int) -> float:
    return memory_bytes(lambda: catalogue.parse(catalogue_of(size), 1))


def _ledger(size: int) -> ledger.Ledger:
    clock = clocks.ManualClock()
    book = ledger.Ledger(clock, random.Random(1), "vm-1", 1)
    for number in range(size):
        key = book.mint("ana")
        decision = book.begin(key, "ana", f"{number:032x}")
        assert isinstance(decision, keyed.RunCall)
        book.start_sending(decision.token)
        answer = keyed.Answer(200, (("Content-Type", "x"),), b"x" * 120)
        book.record_answer(decision.token, answer)
    return book


@slope("ledger_memory", "keys", "bytes held", 1000, 2000, 4000, 8000)
def _ledger_memory(size: int) -> float:
    return memory_bytes(lambda: _ledger(size))


@slope("ledger_core", "keys", "us for all", 1000, 2000, 4000, 8000)
def _ledger_core(size: int) -> float:
    def work() -> int:
        _ledger(size)
        return 1

    return processor_us(work)


def _router(count: int) -> routing.Router:
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
    router = _router(size)
    blocks = prefix.block_hashes("m", "clause " * 300)
    query = runners.Query(
        "entry", "pool", "m", blocks, 525, 200, 5, frozenset(), 1.2
    )

    def work() -> int:
        for _ in range(300):
            router.choose(query)
        return 300

    return processor_us(work)


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

    return memory_bytes(make)


@slope("admission_core", "customers", "us a request", 5, 20, 80, 320)
def _admission_core(size: int) -> float:
    clock = clocks.ManualClock()
    desk = admission.AdmissionController(clock, random.Random(1), "vm-1")
    desk.configure(catalogue.parse(catalogue_of(4), 1))

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
            desk.offer(ticket)
            desk.first_token(ticket.request_id)
            desk.finished(ticket.request_id, runners.Outcome.DONE, 600)
            clock.advance(0.002)
        return 500

    return processor_us(work)


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

    return processor_us(work)


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

    return memory_bytes(make)


@slope("histogram_memory", "keys", "bytes held", 10, 20, 40, 80)
def _histogram_memory(size: int) -> float:
    def make() -> histograms.Histograms:
        held = histograms.Histograms()
        for number in range(size):
            for micro in (10_000, 60_000, 900_000):
                held.distribution("whole", f"c{number}", "desk").record_us(
                    micro
                )
        return held

    return memory_bytes(make)
