"""Slopes of calls to other processes and of the state kept for them.

``bench slopes`` measures them as well. The slopes of polling, and of listing
VMs over HTTP, run real stand-in processes for the runners and the cloud API.
Their processor time is that of the calling thread. The slopes of the runner
monitor use a fake cloud API that returns its list without a connection.
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
from apricotlever.links import json_calls
from apricotlever.links import peer_link
from apricotlever.links import peer_pb2 as pb
from apricotlever.links import platform
from apricotlever.links import upstream_exchange
from apricotlever.requests import claims
from apricotlever.requests import ledger_messages
from apricotlever.runners import crash_log
from apricotlever.runners import crashes
from apricotlever import settings
from tests.support import http
from tests.support import processes

from . import _slope_cases as cases
from . import peer_call

READY_S = 20.0
POLL_S = 2.0
SETTLE_S = 0.3
#: A poll makes two requests: one for the load, one for the cache events.
POLL_HEADER_BYTES = 2 * peer_call.HEADER_BYTES
DATA_CENTRE_COUNT = 22
LOCAL_VM_COUNT = 159
ENTRY_COUNT = 50
CHARGES_PER_CRASH = 8
LEASE_SIMULATED_S = 36_000.0
LEASE_ATTEMPT_INTERVAL_S = 0.5


@contextlib.contextmanager
def _run_standin(module: str) -> typing.Iterator[str]:
    """Run a stand-in process and yield its address."""
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


class _CountingProxy:
    """Forwards TCP connections to one server and counts their bytes."""

    def __init__(self, target: str) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._target = target
        self.carried_bytes = 0
        self._start(self._accept)

    @property
    def address(self) -> str:
        """The address on which the proxy accepts connections."""
        return "127.0.0.1:%d" % self._listener.getsockname()[1]

    def _start(self, work: typing.Any, *arguments: socket.socket) -> None:
        threading.Thread(target=work, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        host, port = self._target.split(":")
        while True:
            client, _ = self._listener.accept()
            server = socket.create_connection((host, int(port)))
            self._start(self._pump, client, server)
            self._start(self._pump, server, client)

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        while chunk := source.recv(peer_call.CHUNK_BYTES):
            self.carried_bytes += len(chunk)
            target.sendall(chunk)


def _poll_runner(
    address: str, pool: upstream_exchange.ConnectionPool
) -> float:
    """Read a runner's load and cache events as the runner monitor does.

    :returns: processor seconds of this thread.
    """
    start_s = time.thread_time()
    for path in ("/v1/load", "/v1/cache/events?after=0"):
        json_calls.call_json(address, "GET", path, timeout_s=5.0, pool=pool)
    return time.thread_time() - start_s


def _poll_at_rate(address: str, per_s: int) -> float:
    """Poll a runner at a constant rate for ``POLL_S`` seconds.

    :returns: processor seconds of this thread for all polls.
    """
    pool = upstream_exchange.ConnectionPool(clocks.SystemClock())
    _poll_runner(address, pool)
    start = time.monotonic()
    spent_s = 0.0
    for number in range(round(per_s * POLL_S)):
        time.sleep(max(0.0, start + number / per_s - time.monotonic()))
        spent_s += _poll_runner(address, pool)
    return spent_s


@cases.slope("poll_core", "runners polled/s", "% of a core", 4, 8, 16, 32)
def _poll_core(size: int) -> float:
    with _run_standin("engine") as address:
        return 100.0 * _poll_at_rate(address, size) / POLL_S


@cases.slope("poll_bytes", "runners polled/s", "bytes/s", 4, 8, 16, 32)
def _poll_bytes(size: int) -> float:
    with _run_standin("engine") as address:
        proxy = _CountingProxy(address)
        _poll_at_rate(proxy.address, size)
        polls = round(size * POLL_S) + 1
        return size * (proxy.carried_bytes / polls + POLL_HEADER_BYTES)


@cases.slope("peer_call_core", "calls", "us, both ends", 100, 200, 400, 800)
def _peer_call_core(size: int) -> float:
    handlers = peer_link.Handlers()
    response = pb.GossipMessage(ack=pb.Ack(sequence=1))
    handlers.register("Gossip")(lambda message: response)
    server = peer_link.PeerLink("127.0.0.1", 0, handlers)
    client = peer_link.PeerLink("127.0.0.1", 0, peer_link.Handlers())
    request = pb.GossipMessage(probe=pb.Probe(sequence=1, target="v1"))
    server.start()
    client.start()

    def work() -> int:
        for _ in range(size):
            client.call(server.address, "Gossip", request, 5.0).result()
        return 1

    duration_us = cases.measure_processor_us(work)
    client.stop()
    server.stop()
    return duration_us


def _vm_record(number: int) -> dict[str, str]:
    return {
        "vm": f"runner-{number:05}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80",
        "data_centre": f"dc-{number % DATA_CENTRE_COUNT}",
        "role": "runner",
        "pool": f"pool-{number % ENTRY_COUNT}",
        "machine": "large",
        "market": "reclaimable",
    }


@contextlib.contextmanager
def _run_cloud_api(vms: int) -> typing.Iterator[str]:
    with _run_standin("cloud_api") as address:
        for number in range(vms):
            http.call(address, "POST", "/control/register", _vm_record(number))
        deadline_s = time.monotonic() + READY_S
        while len(_list_vms(address)["vms"]) < vms:
            # The cloud API lists a registered VM only after a delay.
            assert (
                time.monotonic() < deadline_s
            ), "not all VMs were listed in time"
            time.sleep(0.2)
        yield address


def _list_vms(address: str) -> dict[str, typing.Any]:
    document: dict[str, typing.Any] = http.call(
        address, "GET", "/v1/vms"
    ).payload
    return document


@cases.slope("list_bytes", "VMs listed", "bytes", 250, 500, 1000, 2000)
def _list_bytes(size: int) -> float:
    with _run_cloud_api(size) as address:
        document = _list_vms(address)
        return float(len(json.dumps(document, separators=(",", ":"))))


@cases.slope("list_core", "VMs listed", "us a reading", 250, 500, 1000, 2000)
def _list_core(size: int) -> float:
    with _run_cloud_api(size) as address:
        api = platform.CloudApi(f"http://{address}", 5.0)

        def read() -> float:
            start_s = time.thread_time()
            assert isinstance(api.vms(), result.Success)
            return time.thread_time() - start_s

        return 1e6 * min(read() for _ in range(cases.REPEATS))


class _FakeCloudApi:
    """A cloud API that lists runners without a connection."""

    def __init__(self, size: int) -> None:
        self._vms = tuple(
            platform.Vm(**{**_vm_record(number), "state": "live"})
            for number in range(size)
        )

    def vms(self) -> typing.Any:
        """Return the list of all runners."""
        return result.Success(self._vms)

    def prices(self) -> typing.Any:
        """Return no prices."""
        return result.Success(())

    def notices(self, after: int, timeout_s: float) -> typing.Any:
        """Return no notices, without waiting."""
        return result.Success(platform.ReclaimNotices((), after))


class _NullListener:
    """A listener and a task that ignore all calls and messages."""

    def __getattr__(self, name: str) -> typing.Callable[..., None]:
        return lambda *arguments: None

    def tell(self, message: typing.Any) -> None:
        """Ignore a message."""


class _SteppedMonitor(runner_monitor.RunnerMonitor):
    """A runner monitor that handles its queued messages on demand."""

    def stopped(self) -> None:
        """Keep the threads, so that the monitor can run again."""

    def process_queue(self) -> float:
        """Handle all queued messages.

        :returns: processor seconds of this thread.
        """
        self.stop()
        start_s = time.thread_time()
        self.run()
        return time.thread_time() - start_s


def _start_monitor(size: int) -> tuple[_SteppedMonitor, clocks.ManualClock]:
    """Return a runner monitor that has read the list, and its clock."""
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
    listener: typing.Any = _NullListener()
    cloud: typing.Any = _FakeCloudApi(size)
    monitor = _SteppedMonitor(clock, config, cloud, listener, listener)
    serving = {f"dc-{i}": list[str]() for i in range(DATA_CENTRE_COUNT)}
    serving["dc-0"] = [f"vm-{i}" for i in range(LOCAL_VM_COUNT)]
    document = catalogue.parse(cases.make_catalogue(ENTRY_COUNT), 1)
    monitor.tell(dispatcher_messages.CatalogueInForce(document))
    monitor.tell(runner_monitor.ServingVms(serving))
    monitor.process_queue()
    monitor.tick()
    time.sleep(SETTLE_S)
    monitor.process_queue()
    return monitor, clock


@cases.slope("listed_core", "runners", "us a list", 500, 1000, 2000, 4000)
def _listed_core(size: int) -> float:
    monitor, clock = _start_monitor(size)

    def refresh_list() -> float:
        clock.advance(runner_monitor.LIST_INTERVAL_S)
        monitor.tick()
        time.sleep(SETTLE_S)
        return monitor.process_queue()

    return 1e6 * min(refresh_list() for _ in range(cases.REPEATS))


@cases.slope("keeper_tick", "runners", "us a tick", 500, 1000, 2000, 4000)
def _keeper_tick(size: int) -> float:
    monitor, _ = _start_monitor(size)
    monitor.tick()
    time.sleep(SETTLE_S)

    def tick() -> float:
        start_s = time.thread_time()
        monitor.tick()
        return time.thread_time() - start_s

    return 1e6 * min(tick() for _ in range(2 * cases.REPEATS))


@cases.slope("quarantine_memory", "charges", "bytes", 2048, 4096, 8192, 16384)
def _quarantine_memory(size: int) -> float:
    def make() -> crash_log.CrashLog:
        log = crash_log.CrashLog(clocks.ManualClock())
        for crash in range(size // CHARGES_PER_CRASH):
            charges = tuple(
                crashes.SuspectRequest(
                    f"{crash:060x}{i:04x}", f"vm-1.1.{i}", 1
                )
                for i in range(CHARGES_PER_CRASH)
            )
            log.add(
                crashes.CrashObservation(
                    "vm", f"r{crash}", "dc", 0.0, False, charges
                )
            )
        return log

    return cases.measure_memory_bytes(make)


def _claim(number: int) -> ledger_messages.ClaimKey:
    owner = ledger_messages.VmIncarnation("vm-1234", 1_796_240_221_394)
    return ledger_messages.ClaimKey(
        number, "ana", f"key-{number}", f"{number:064x}", "n" * 16, owner
    )


def _fill_bucket(size: int) -> tuple[claims.ClaimBatcher, claims.WriteBucket]:
    """Fill one bucket with claims.

    :returns: the batcher, and the write that contains all claims.
    """
    batcher = claims.ClaimBatcher(clocks.ManualClock(), buckets=1)
    read = batcher.claim(_claim(0))[0]
    assert isinstance(read, claims.ReadBucket)
    write = batcher.on_missing(read.name)[0]
    for number in range(1, size):
        batcher.claim(_claim(number))
    assert isinstance(write, claims.WriteBucket)
    write = batcher.on_written(write.name, 1)[-1]
    assert isinstance(write, claims.WriteBucket)
    return batcher, write


@cases.slope("claims_bytes", "claims", "bytes", 100, 200, 400, 800)
def _claims_bytes(size: int) -> float:
    _, write = _fill_bucket(size)
    return float(len(json.dumps(write.value, separators=(",", ":"))))


@cases.slope("claims_core", "claims held", "us a write", 100, 200, 400, 800)
def _claims_core(size: int) -> float:
    batcher, write = _fill_bucket(size)
    batcher.on_written(write.name, 2)
    numbers = iter(range(size, 10**9))

    def work() -> int:
        for version in range(20):
            next_write = batcher.claim(_claim(next(numbers)))[-1]
            assert isinstance(next_write, claims.WriteBucket)
            json.dumps(next_write.value)
            batcher.on_written(next_write.name, version)
        return 20

    return cases.measure_processor_us(work)


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
    for _ in range(round(LEASE_SIMULATED_S / LEASE_ATTEMPT_INTERVAL_S)):
        allowed += budget.try_acquire(call_budget.CallPriority.LEASE)
        clock.advance(LEASE_ATTEMPT_INTERVAL_S)
    return LEASE_SIMULATED_S / allowed
