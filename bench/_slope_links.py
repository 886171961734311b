"""More of what `bench slopes` measures: calls to others, and what is kept.

Runners and the cloud API are real stand-in processes here; the processor
time is that of the thread that makes the calls.
"""

import contextlib
import json
import pathlib
import random
import socket
import sys
import tempfile
import threading
import time
import typing

from returns import result

from apricotlever import catalogue
from apricotlever import clock as clocks
from apricotlever.contracts import call_budget
from apricotlever.daemon import dispatcher_messages
from apricotlever.daemon import runner_monitor
from apricotlever.links import peer_link
from apricotlever.links import peer_pb2 as pb
from apricotlever.links import platform
from apricotlever.links import upstream_exchange
from apricotlever.requests import claims
from apricotlever.requests import ledger_messages as keyed
from apricotlever.runners import crashes
from apricotlever import settings
from tests.support import http
from tests.support import processes

from . import _slope_cases as cases
from . import peer_call

READY_S = 20.0
POLL_S = 2.0
SETTLE_S = 0.3
#: A poll is two exchanges: load, and cache events.
POLL_HEADER_BYTES = 2 * peer_call.HEADER_BYTES
DATA_CENTRES = 22
VMS_HERE = 159
ENTRIES = 50
CHARGES = 8
LEASE_TRIAL_S = 36_000.0
LEASE_TRY_S = 0.5


@contextlib.contextmanager
def _standin(module: str) -> typing.Iterator[str]:
    """A stand-in's address while it runs."""
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", f"standins.{module}", "--port", "0"]
        log = pathlib.Path(folder) / "log"
        process = processes.Process(module, command, log)
        process.start()
        try:
            port, _ = process.wait_listening(READY_S)
            yield f"127.0.0.1:{port}"
        finally:
            process.kill()


class _Counting:
    """Forwards one connection after the other and counts its bytes."""

    def __init__(self, target: str) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._target = target
        self.carried_bytes = 0
        self._start(self._accept)

    @property
    def address(self) -> str:
        """Where to connect."""
        return "127.0.0.1:%d" % self._listener.getsockname()[1]

    def _start(self, work: typing.Any, *arguments: socket.socket) -> None:
        threading.Thread(target=work, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        host, port = self._target.split(":")
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection((host, int(port)))
            self._start(self._pump, near, far)
            self._start(self._pump, far, near)

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        while chunk := source.recv(peer_call.CHUNK_BYTES):
            self.carried_bytes += len(chunk)
            target.sendall(chunk)


def _poll(address: str, pool: upstream_exchange.ConnectionPool) -> float:
    """Read load and cache events as a keeper does.

    :returns: processor seconds of this thread.
    """
    began = time.thread_time()
    for path in ("/v1/load", "/v1/cache/events?after=0"):
        upstream_exchange.call_json(
            address, "GET", path, timeout_s=5.0, pool=pool
        )
    return time.thread_time() - began


def _paced(address: str, per_s: int) -> float:
    """Processor seconds of polls spread over ``POLL_S``."""
    pool = upstream_exchange.ConnectionPool(clocks.SystemClock())
    _poll(address, pool)
    start = time.monotonic()
    spent_s = 0.0
    for number in range(round(per_s * POLL_S)):
        time.sleep(max(0.0, start + number / per_s - time.monotonic()))
        spent_s += _poll(address, pool)
    return spent_s


@cases.slope("poll_core", "runners polled/s", "% of a core", 4, 8, 16, 32)
def _poll_core(size: int) -> float:
    with _standin("engine") as address:
        return 100.0 * _paced(address, size) / POLL_S


@cases.slope("poll_bytes", "runners polled/s", "bytes/s", 4, 8, 16, 32)
def _poll_bytes(size: int) -> float:
    with _standin("engine") as address:
        relay = _Counting(address)
        _paced(relay.address, size)
        polls = round(size * POLL_S) + 1
        return size * (relay.carried_bytes / polls + POLL_HEADER_BYTES)


@cases.slope("peer_call_core", "calls", "us, both ends", 100, 200, 400, 800)
def _peer_call_core(size: int) -> float:
    handlers = peer_link.Handlers()
    answer = pb.GossipMessage(ack=pb.Ack(sequence=1))
    handlers.register("Gossip")(lambda message: answer)
    server = peer_link.PeerLink("127.0.0.1", 0, handlers)
    client = peer_link.PeerLink("127.0.0.1", 0, peer_link.Handlers())
    question = pb.GossipMessage(probe=pb.Probe(sequence=1, target="v1"))
    server.start()
    client.start()

    def work() -> int:
        for _ in range(size):
            client.call(server.address, "Gossip", question, 5.0).result()
        return 1

    spent = cases.processor_us(work)
    client.stop()
    server.stop()
    return spent


def _vm(number: int) -> dict[str, str]:
    return {
        "vm": f"runner-{number:05}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80",
        "data_centre": f"dc-{number % DATA_CENTRES}",
        "role": "runner",
        "pool": f"pool-{number % ENTRIES}",
        "machine": "large",
        "market": "reclaimable",
    }


@contextlib.contextmanager
def _cloud(vms: int) -> typing.Iterator[str]:
    with _standin("cloud_api") as address:
        for number in range(vms):
            http.call(address, "POST", "/control/register", _vm(number))
        until = time.monotonic() + READY_S
        while len(_listed(address)["vms"]) < vms:
            # The list lags.
            assert time.monotonic() < until, "not all VMs were listed"
            time.sleep(0.2)
        yield address


def _listed(address: str) -> dict[str, typing.Any]:
    listed: dict[str, typing.Any] = http.call(
        address, "GET", "/v1/vms"
    ).payload
    return listed


@cases.slope("list_bytes", "VMs listed", "bytes", 250, 500, 1000, 2000)
def _list_bytes(size: int) -> float:
    with _cloud(size) as address:
        listed = _listed(address)
        return float(len(json.dumps(listed, separators=(",", ":"))))


@cases.slope("list_core", "VMs listed", "us a reading", 250, 500, 1000, 2000)
def _list_core(size: int) -> float:
    with _cloud(size) as address:
        api = platform.CloudApi(f"http://{address}", 5.0)

        def read() -> float:
            began = time.thread_time()
            assert isinstance(api.vms(), result.Success)
            return time.thread_time() - began

        return 1e6 * min(read() for _ in range(cases.REPEATS))


class _Cloud:
    """Lists runners, without a connection."""

    def __init__(self, size: int) -> None:
        self._vms = tuple(
            platform.Vm(**{**_vm(number), "state": "live"})
            for number in range(size)
        )

    def vms(self) -> typing.Any:
        """The list."""
        return result.Success(self._vms)

    def prices(self) -> typing.Any:
        """None."""
        return result.Success(())

    def notices(self, after: int, timeout_s: float) -> typing.Any:
        """None, at once."""
        return result.Success(platform.ReclaimNotices((), after))


class _Silent:
    """Takes anything that is reported."""

    def __getattr__(self, name: str) -> typing.Callable[..., None]:
        return lambda *found: None

    def tell(self, message: typing.Any) -> None:
        """Take a message."""


class _Keeper(runner_monitor.RunnerMonitor):
    """Handles what waits, and can go on afterwards."""

    def stopped(self) -> None:
        """Its threads stay."""

    def handle_waiting(self) -> float:
        """Processor seconds that it took."""
        self.stop()
        began = time.thread_time()
        self.run()
        return time.thread_time() - began


def _keeper(size: int) -> tuple[_Keeper, clocks.ManualClock]:
    """A keeper that has the list, and its clock."""
    clock = clocks.ManualClock()
    config = settings.parse(
        {
            "vm": "vm-0",
            "data_centre": "dc-0",
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "platform": dict.fromkeys(
                ("objects", "cloud", "weights"), "http://127.0.0.1:1"
            ),
        }
    )
    silent: typing.Any = _Silent()
    cloud: typing.Any = _Cloud(size)
    made = _Keeper(clock, config, cloud, silent, silent)
    serving = {f"dc-{i}": list[str]() for i in range(DATA_CENTRES)}
    serving["dc-0"] = [f"vm-{i}" for i in range(VMS_HERE)]
    document = catalogue.parse(cases.catalogue_of(ENTRIES), 1)
    made.tell(dispatcher_messages.CatalogueInForce(document))
    made.tell(runner_monitor.ServingVms(serving))
    made.handle_waiting()
    made.tick()
    time.sleep(SETTLE_S)
    made.handle_waiting()
    return made, clock


@cases.slope("listed_core", "runners", "us a list", 500, 1000, 2000, 4000)
def _listed_core(size: int) -> float:
    made, clock = _keeper(size)

    def list_again() -> float:
        clock.advance(runner_monitor.LIST_INTERVAL_S)
        made.tick()
        time.sleep(SETTLE_S)
        return made.handle_waiting()

    return 1e6 * min(list_again() for _ in range(cases.REPEATS))


@cases.slope("keeper_tick", "runners", "us a tick", 500, 1000, 2000, 4000)
def _keeper_tick(size: int) -> float:
    made, _ = _keeper(size)
    made.tick()
    time.sleep(SETTLE_S)

    def tick() -> float:
        began = time.thread_time()
        made.tick()
        return time.thread_time() - began

    return 1e6 * min(tick() for _ in range(2 * cases.REPEATS))


@cases.slope("quarantine_memory", "charges", "bytes", 2048, 4096, 8192, 16384)
def _quarantine_memory(size: int) -> float:
    def make() -> crashes.CrashLog:
        log = crashes.CrashLog(clocks.ManualClock())
        for death in range(size // CHARGES):
            charges = tuple(
                crashes.SuspectRequest(
                    f"{death:060x}{i:04x}", f"vm-1.1.{i}", 1
                )
                for i in range(CHARGES)
            )
            log.add(
                crashes.CrashObservation(
                    "vm", f"r{death}", "dc", 0.0, False, charges
                )
            )
        return log

    return cases.memory_bytes(make)


def _claim(number: int) -> keyed.ClaimKey:
    owner = keyed.VmIncarnation("vm-1234", 1_796_240_221_394)
    return keyed.ClaimKey(
        number, "ana", f"key-{number}", f"{number:064x}", "n" * 16, owner
    )


def _bucket(size: int) -> tuple[claims.ClaimBatcher, claims.WriteBucket]:
    """Claims in one bucket, and the write of the last of them."""
    book = claims.ClaimBatcher(clocks.ManualClock(), buckets=1)
    read = book.claim(_claim(0))[0]
    assert isinstance(read, claims.ReadBucket)
    write = book.on_missing(read.name)[0]
    for number in range(1, size):
        book.claim(_claim(number))
    assert isinstance(write, claims.WriteBucket)
    write = book.on_written(write.name, 1)[-1]
    assert isinstance(write, claims.WriteBucket)
    return book, write


@cases.slope("claims_bytes", "claims", "bytes", 100, 200, 400, 800)
def _claims_bytes(size: int) -> float:
    _, write = _bucket(size)
    return float(len(json.dumps(write.value, separators=(",", ":"))))


@cases.slope("claims_core", "claims held", "us a write", 100, 200, 400, 800)
def _claims_core(size: int) -> float:
    book, write = _bucket(size)
    book.on_written(write.name, 2)
    numbers = iter(range(size, 10**9))

    def work() -> int:
        for version in range(20):
            begun = book.claim(_claim(next(numbers)))[-1]
            assert isinstance(begun, claims.WriteBucket)
            json.dumps(begun.value)
            book.on_written(begun.name, version)
        return 20

    return cases.processor_us(work)


@cases.slope("cache_event_bytes", "blocks", "bytes read", 8, 16, 32, 64)
def _cache_event_bytes(size: int) -> float:
    rng = random.Random(size)
    blocks = [f"{rng.getrandbits(64):016x}" for _ in range(size)]
    event = {"seq": 1234567, "kind": "stored", "blocks": blocks}
    return float(len(json.dumps(event, separators=(",", ":"))))


@cases.slope(
    "lease_gap", "nodes", "s between renewals", 1500, 2000, 3000, 4000
)
def _lease_gap(size: int) -> float:
    clock = clocks.ManualClock()
    budget = call_budget.CallBudget(clock, 2000.0, 300.0)
    budget.set_fleet_size(size)
    allowed = 0
    for _ in range(round(LEASE_TRIAL_S / LEASE_TRY_S)):
        allowed += budget.try_acquire(call_budget.CallPriority.LEASE)
        clock.advance(LEASE_TRY_S)
    return LEASE_TRIAL_S / allowed
