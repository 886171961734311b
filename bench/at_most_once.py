"""Store writes, time and memory of at-most-once: minted and claimed keys.

Lines ``key``: processor time of a whole keyed call in the ledger, and memory
of its tombstone. Lines ``claims``: several VMs claim callers' keys through a
store that takes a while to answer, with so many buckets; the writes, reads
and conflicts per claim, against one object for each claim. Lines
``handover``: what a ledger's export costs. Argument: ``--seconds N``.
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

VMS = 7
NAMES = [str(number) for number in range(VMS)]
STORE_S = 0.004
BUCKETS = (1, 4, 16, 64, 256)
RATES_PER_S = (50, 400, 2000)
KEYED_CALLS = 20_000
TOMBSTONES = 50_000
ANSWER = ledger_messages.Answer(
    200, (("Content-Type", "text/plain"),), b"x" * 200
)
Event: typing.TypeAlias = tuple[float, int, str, typing.Any]


class Race:
    """VMs that claim keys through one store, on a clock of their own."""

    def __init__(
        self, buckets: int, rate: float, seconds: float, homes: bool
    ) -> None:
        rng = random.Random(5)
        self.clock = clocks.ManualClock(0.0)
        self.claims = [
            claims.ClaimBatcher(self.clock, buckets) for _ in range(VMS)
        ]
        self.objects: dict[str, tuple[int, typing.Any]] = {}
        self.order = itertools.count()
        self.events: list[Event] = []
        self.reads = self.writes = self.conflicts = 0
        self.ended = self.refused = 0
        self.waits: list[float] = []
        self.begun: dict[int, float] = {}
        self.buckets = buckets
        self.homes = homes
        self.hops = 0
        at = 0.0
        while at < seconds:
            at += rng.expovariate(rate)
            self._at(at, "claim", rng.randrange(VMS))

    def run(self) -> None:
        """Play all events."""
        while self.events:
            at, _, kind, data = heapq.heappop(self.events)
            self.clock.advance(at - self.clock.now())
            if kind == "claim":
                self._claim(data)
            else:
                self._answer(*data)

    def _at(self, at: float, kind: str, data: typing.Any) -> None:
        heapq.heappush(self.events, (at, next(self.order), kind, data))

    def _claim(self, vm: int) -> None:
        token = next(self.order)
        arrived = vm
        if self.homes:
            vm = int(
                claims.home_vm("notary", f"key-{token}", NAMES, self.buckets)
            )
        self.hops += vm != arrived
        self.begun[token] = self.clock.now()
        owner = ledger_messages.VmIncarnation(f"vm-{vm}", 1_700_000_000_000)
        claim = ledger_messages.ClaimKey(
            token, "notary", f"key-{token}", "0" * 16, f"{token:016x}", owner
        )
        self._do(vm, self.claims[vm].claim(claim))

    def _do(self, vm: int, actions: list[claims.Action]) -> None:
        for action in actions:
            if isinstance(action, claims.DeliverResult):
                won = isinstance(action.result, ledger_messages.ClaimWon)
                begun = self.begun.pop(action.result.token)
                self.waits.append(self.clock.now() - begun)
                self.ended += won
                self.refused += not won
            else:
                at = self.clock.now() + STORE_S
                self._at(at, "answer", (vm, action))

    def _answer(self, vm: int, action: claims.Action) -> None:
        claimer = self.claims[vm]
        if isinstance(action, claims.ReadBucket):
            self.reads += 1
            stored = self.objects.get(action.name)
            if stored is None:
                self._do(vm, claimer.on_missing(action.name))
            else:
                self._do(vm, claimer.on_read(action.name, *stored))
        elif isinstance(action, claims.WriteBucket):
            self.writes += 1
            version = self.objects.get(action.name, (None,))[0]
            if version != action.expected_version:
                self.conflicts += 1
                self._do(vm, claimer.on_conflict(action.name))
                return
            self.objects[action.name] = (self.writes, action.value)
            self._do(vm, claimer.on_written(action.name, self.writes))


def _claims(seconds: float) -> typing.Iterator[dict[str, typing.Any]]:
    for rate, buckets, homes in itertools.product(
        RATES_PER_S, BUCKETS, (False, True)
    ):
        race = Race(buckets, rate, min(seconds, 2000 / rate), homes)
        race.run()
        waits = sorted(race.waits)
        yield {
            "kind": "claims",
            "claims_per_s": rate,
            "vms": VMS,
            "buckets": buckets,
            "homes": homes,
            "claims": race.ended,
            "refused": race.refused,
            "writes_per_claim": _ratio(race.writes, race.ended),
            "reads_per_claim": _ratio(race.reads, race.ended),
            "conflicts_per_claim": _ratio(race.conflicts, race.ended),
            "hops_per_claim": _ratio(race.hops, race.ended),
            "p50_ms": round(1000 * waits[len(waits) // 2], 1),
            "p99_ms": round(1000 * waits[len(waits) * 99 // 100], 1),
        }


def _ratio(part: int, whole: int) -> float:
    return round(part / whole, 3)


def _keyed_call(keyed: ledger.Ledger) -> None:
    run = keyed.begin(keyed.mint("notary"), "notary", "0" * 16)
    assert isinstance(run, ledger_messages.RunCall)
    keyed.start_sending(run.token)
    keyed.record_answer(run.token, ANSWER)


def _key() -> dict[str, typing.Any]:
    keyed = ledger.Ledger(clocks.SystemClock(), random.Random(1), "vm-1", 1)
    begun = time.process_time()
    for _ in range(KEYED_CALLS):
        _keyed_call(keyed)
    spent = time.process_time() - begun
    keyed = ledger.Ledger(clocks.SystemClock(), random.Random(1), "vm-1", 1)
    tracemalloc.start()
    for _ in range(TOMBSTONES):
        _keyed_call(keyed)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {
        "kind": "key",
        "calls": KEYED_CALLS,
        "us_per_call": round(1e6 * spent / KEYED_CALLS, 1),
        "bytes_per_entry": round(used / TOMBSTONES),
        "entries": TOMBSTONES,
    }


def _handover() -> typing.Iterator[dict[str, typing.Any]]:
    for count in (1000, 10_000, 50_000):
        clock = clocks.SystemClock()
        keyed = ledger.Ledger(clock, random.Random(1), "vm-1", 1)
        heir = ledger.Ledger(clock, random.Random(2), "vm-2", 1)
        for _ in range(count):
            _keyed_call(keyed)
        begun = time.process_time()
        data = ledger_state.encode(keyed.export_to("vm-2", 1))
        exported = time.process_time()
        heir.adopt(ledger_state.decode(data))
        adopted = time.process_time()
        yield {
            "kind": "handover",
            "entries": count,
            "bytes": len(data),
            "export_ms": round(1000 * (exported - begun), 1),
            "adopt_ms": round(1000 * (adopted - exported), 1),
        }


def run(arguments: list[str]) -> int:
    """Print the lines described above."""
    parser = argparse.ArgumentParser(prog="bench at_most_once")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args(arguments)
    lines = itertools.chain([_key()], _handover(), _claims(options.seconds))
    for line in lines:
        print(json.dumps(line), flush=True)
    return 0
