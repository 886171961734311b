"""Store writes, time and memory of at-most-once: minted and claimed keys.

The row of kind ``key`` has the processor time of a whole keyed call in the
ledger, and the memory of the tombstone that the call leaves. Rows of kind
``claims`` simulate VMs that claim callers' keys in a store with a latency of
4 ms, for several numbers of buckets. They have the writes, reads and conflicts
per claim, to compare with one object per claim. ``homes`` tells whether each
claim is forwarded to the home VM of its bucket. Rows of kind ``handover`` have
the processor time of exporting a ledger and of adopting it. ``--seconds``
limits the simulated time.
"""

import argparse
import heapq
import itertools
import json
import random
import time
import tracemalloc
import typing

from apricotlever import clock as clocks
from apricotlever.requests import claims
from apricotlever.requests import ledger
from apricotlever.requests import ledger_messages
from apricotlever.requests import ledger_state

VM_COUNT = 7
VM_NAMES = [str(number) for number in range(VM_COUNT)]
STORE_LATENCY_S = 0.004
BUCKET_COUNTS = (1, 4, 16, 64, 256)
RATES_PER_S = (50, 400, 2000)
KEYED_CALL_COUNT = 20_000
TOMBSTONE_COUNT = 50_000
ANSWER = ledger_messages.Answer(
    200, (("Content-Type", "text/plain"),), b"x" * 200
)
Event: typing.TypeAlias = tuple[float, int, str, typing.Any]


class ClaimSimulation:
    """Simulates VMs that claim keys in one store, on a manual clock.

    :param buckets: the number of buckets in the store.
    :param rate: claims per second of all VMs together.
    :param seconds: the time span in which claims arrive.
    :param homes: whether claims are forwarded to the home VM of their bucket.
    """

    def __init__(
        self, buckets: int, rate: float, seconds: float, homes: bool
    ) -> None:
        rng = random.Random(5)
        self.clock = clocks.ManualClock(0.0)
        self.batchers = [
            claims.ClaimBatcher(self.clock, buckets) for _ in range(VM_COUNT)
        ]
        self.objects: dict[str, tuple[int, typing.Any]] = {}
        self.sequence = itertools.count()
        self.events: list[Event] = []
        self.reads = self.writes = self.conflicts = 0
        self.won = self.refused = 0
        self.durations_s: list[float] = []
        self.started_at: dict[int, float] = {}
        self.buckets = buckets
        self.homes = homes
        self.hops = 0
        at = 0.0
        while at < seconds:
            at += rng.expovariate(rate)
            self._schedule(at, "claim", rng.randrange(VM_COUNT))

    def run(self) -> None:
        """Process all events in the order of their times."""
        while self.events:
            at, _, kind, data = heapq.heappop(self.events)
            self.clock.advance(at - self.clock.now())
            if kind == "claim":
                self._claim(data)
            else:
                self._complete_store_call(*data)

    def _schedule(self, at: float, kind: str, data: typing.Any) -> None:
        heapq.heappush(self.events, (at, next(self.sequence), kind, data))

    def _claim(self, vm: int) -> None:
        token = next(self.sequence)
        arrival_vm = vm
        if self.homes:
            vm = int(
                claims.home_vm(
                    "notary", f"key-{token}", VM_NAMES, self.buckets
                )
            )
        self.hops += vm != arrival_vm
        self.started_at[token] = self.clock.now()
        owner = ledger_messages.VmIncarnation(f"vm-{vm}", 1_700_000_000_000)
        claim = ledger_messages.ClaimKey(
            token, "notary", f"key-{token}", "0" * 16, f"{token:016x}", owner
        )
        self._perform(vm, self.batchers[vm].claim(claim))

    def _perform(self, vm: int, actions: list[claims.Action]) -> None:
        for action in actions:
            if isinstance(action, claims.DeliverResult):
                is_won = isinstance(action.result, ledger_messages.ClaimWon)
                started_at = self.started_at.pop(action.result.token)
                self.durations_s.append(self.clock.now() - started_at)
                self.won += is_won
                self.refused += not is_won
            else:
                at = self.clock.now() + STORE_LATENCY_S
                self._schedule(at, "answer", (vm, action))

    def _complete_store_call(self, vm: int, action: claims.Action) -> None:
        batcher = self.batchers[vm]
        if isinstance(action, claims.ReadBucket):
            self.reads += 1
            stored = self.objects.get(action.name)
            if stored is None:
                self._perform(vm, batcher.on_missing(action.name))
            else:
                self._perform(vm, batcher.on_read(action.name, *stored))
        elif isinstance(action, claims.WriteBucket):
            self.writes += 1
            version = self.objects.get(action.name, (None,))[0]
            if version != action.expected_version:
                self.conflicts += 1
                self._perform(vm, batcher.on_conflict(action.name))
                return
            self.objects[action.name] = (self.writes, action.value)
            self._perform(vm, batcher.on_written(action.name, self.writes))


def _measure_claims(seconds: float) -> typing.Iterator[dict[str, typing.Any]]:
    for rate, buckets, homes in itertools.product(
        RATES_PER_S, BUCKET_COUNTS, (False, True)
    ):
        simulation = ClaimSimulation(
            buckets, rate, min(seconds, 2000 / rate), homes
        )
        simulation.run()
        durations_s = sorted(simulation.durations_s)
        yield {
            "kind": "claims",
            "claims_per_s": rate,
            "vms": VM_COUNT,
            "buckets": buckets,
            "homes": homes,
            "claims": simulation.won,
            "refused": simulation.refused,
            "writes_per_claim": _round_ratio(
                simulation.writes, simulation.won
            ),
            "reads_per_claim": _round_ratio(simulation.reads, simulation.won),
            "conflicts_per_claim": _round_ratio(
                simulation.conflicts, simulation.won
            ),
            "hops_per_claim": _round_ratio(simulation.hops, simulation.won),
            "p50_ms": round(1000 * durations_s[len(durations_s) // 2], 1),
            "p99_ms": round(
                1000 * durations_s[len(durations_s) * 99 // 100], 1
            ),
        }


def _round_ratio(part: int, whole: int) -> float:
    return round(part / whole, 3)


def _run_keyed_call(call_ledger: ledger.Ledger) -> None:
    run = call_ledger.begin(call_ledger.mint("notary"), "notary", "0" * 16)
    assert isinstance(run, ledger_messages.RunCall)
    call_ledger.start_sending(run.token)
    call_ledger.record_answer(run.token, ANSWER)


def _measure_keyed_calls() -> dict[str, typing.Any]:
    call_ledger = ledger.Ledger(
        clocks.SystemClock(), random.Random(1), "vm-1", 1
    )
    started_at = time.process_time()
    for _ in range(KEYED_CALL_COUNT):
        _run_keyed_call(call_ledger)
    duration_s = time.process_time() - started_at
    call_ledger = ledger.Ledger(
        clocks.SystemClock(), random.Random(1), "vm-1", 1
    )
    tracemalloc.start()
    for _ in range(TOMBSTONE_COUNT):
        _run_keyed_call(call_ledger)
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "kind": "key",
        "calls": KEYED_CALL_COUNT,
        "us_per_call": round(1e6 * duration_s / KEYED_CALL_COUNT, 1),
        "bytes_per_entry": round(allocated_bytes / TOMBSTONE_COUNT),
        "entries": TOMBSTONE_COUNT,
    }


def _measure_handovers() -> typing.Iterator[dict[str, typing.Any]]:
    for count in (1000, 10_000, 50_000):
        clock = clocks.SystemClock()
        call_ledger = ledger.Ledger(clock, random.Random(1), "vm-1", 1)
        receiving_ledger = ledger.Ledger(clock, random.Random(2), "vm-2", 1)
        for _ in range(count):
            _run_keyed_call(call_ledger)
        started_at = time.process_time()
        data = ledger_state.encode(call_ledger.export_to("vm-2", 1))
        exported_at = time.process_time()
        receiving_ledger.adopt(ledger_state.decode(data))
        adopted_at = time.process_time()
        yield {
            "kind": "handover",
            "entries": count,
            "bytes": len(data),
            "export_ms": round(1000 * (exported_at - started_at), 1),
            "adopt_ms": round(1000 * (adopted_at - exported_at), 1),
        }


def run(arguments: list[str]) -> int:
    """Print the rows that the module's docstring describes."""
    parser = argparse.ArgumentParser(prog="bench at_most_once")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args(arguments)
    rows = itertools.chain(
        [_measure_keyed_calls()],
        _measure_handovers(),
        _measure_claims(options.seconds),
    )
    for row in rows:
        print(json.dumps(row), flush=True)
    return 0
