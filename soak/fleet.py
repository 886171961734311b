"""The soaked processes: a store, runners and entry VMs on loopback."""

import asyncio
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing
import urllib.request

from tests.support import ports

from . import dialect
from . import proxy

HOST = ports.HOST
ROOT = pathlib.Path(__file__).resolve().parents[1]
START_S = 20.0
POLL_S = 0.05
CONCURRENCY = 16
ROUTE_HOST = "soak.example"
KEY = "key-of-clerks"
CUSTOMER = "clerks"
DATA_CENTRES = ("dc-a", "dc-b")
SERVICES = ("plain", "streams")
#: What may be repeated, below each prefix.
ROUTES = (
    ("/safe/", "plain", "idempotent", 3, False),
    ("/once/", "plain", "non-idempotent", 3, False),
    ("/stream/", "streams", "stream", 3, False),
    ("/stream-on/", "streams", "stream", 3, True),
)
TIMEOUT_S = 4.0


class Child:
    """One process; it is ended by its id only.

    :param log: where its output goes.
    """

    def __init__(self, arguments: list[str], log: pathlib.Path) -> None:
        self._arguments = arguments
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start it, again after an end."""
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal, if it still runs."""
        if self._process is not None and self.running:
            os.kill(self._process.pid, number)

    async def ended(self, timeout_s: float) -> bool:
        """Wait for its end."""
        return await until(lambda: not self.running, timeout_s)

    def kill(self) -> None:
        """End it at once, also when it stands still."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait()


class Vm:
    """One entry VM with its proxy to the store."""

    def __init__(
        self,
        name: str,
        child: Child,
        served: dict[str, int],
        link: proxy.Proxy,
    ) -> None:
        self.name = name
        self.child = child
        self.ports = served
        self.link = link


class Runner:
    """One runner with the proxy that all VMs reach it by."""

    def __init__(
        self, name: str, service: str, child: Child, link: proxy.Proxy
    ) -> None:
        self.name = name
        self.service = service
        self.child = child
        self.link = link
        self.born = 0
        self.sequence = 0
        self.started()

    def started(self) -> None:
        """Its process is a new one."""
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.sequence = 0


class Fleet:
    """All processes of one soak.

    :param folder: for settings, logs and journals.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._numbers = itertools.count(1)
        self._ports = ports.Reservations()
        self._store_port = self._ports.reserve()
        self._version = 0
        self.store = Child(
            ["standins.object_api", "--port", str(self._store_port)],
            folder / "store.log",
        )
        self.vms: list[Vm] = []
        self.runners: list[Runner] = []

    async def start(self, vms: int, runners: int) -> None:
        """Start everything.

        :raises TimeoutError: when a VM does not get ready.
        """
        self.store.start()
        await self._wait(lambda: self._store("GET", "/v1/objects"))
        await self.configure()
        for number in range(runners):
            await self.add_runner(SERVICES[number % len(SERVICES)])
        addresses = [self._vm_ports() for _ in range(vms)]
        seeds = [each["peers"] for each in addresses[:3]]
        for number, each in enumerate(addresses):
            await self._add_vm(f"vm-{number}", each, seeds)
        for vm in self.vms:
            await self._wait(lambda vm=vm: ready(vm))

    async def configure(self) -> None:
        """Put the next version in force; only its number changes."""
        self._version += 1
        await self.put(
            dialect.CONFIGURATION_KIND,
            dialect.CONFIGURATION_NAME,
            {
                "version": self._version,
                "services": list(SERVICES),
                "customers": {CUSTOMER: [KEY]},
                "routes": [_route_document(*route) for route in ROUTES],
            },
        )

    async def add_runner(
        self, service: str, link: proxy.Proxy | None = None, port: int = 0
    ) -> Runner:
        """Start a runner and list it.

        :param link: of a former runner, whose address it takes over.
        """
        name = f"r-{next(self._numbers)}"
        port = port or self._ports.reserve()
        child = Child(
            ["soak.runner", name, str(port), str(self.journal)],
            self._folder / f"{name}.log",
        )
        child.start()
        await until(lambda: _listens(port), START_S)
        if link is None:
            link = proxy.Proxy(port)
            await link.start()
        runner = Runner(name, service, child, link)
        self.runners.append(runner)
        await self.list_runner(runner, leaving=False)
        return runner

    async def list_runner(self, runner: Runner, leaving: bool) -> None:
        """Write a runner's entry."""
        number = int(runner.name.rpartition("-")[2])
        runner.sequence += 1
        entry = {
            "service": runner.service,
            "host": HOST,
            "port": runner.link.port,
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
            "concurrency": CONCURRENCY,
            "leaving": leaving,
            "born": runner.born,
            "sequence": runner.sequence,
        }
        await self.put(dialect.RUNNERS_KIND, runner.name, entry)

    async def restart_runner(self, runner: Runner) -> None:
        """Start a runner again, under its name and at its address."""
        port = runner.link.target
        runner.child.start()
        await until(lambda: _listens(port), START_S)
        runner.started()
        await self.list_runner(runner, leaving=False)

    async def remove_runner(self, runner: Runner) -> None:
        """Remove an entry; the store may stand still meanwhile."""
        path = f"/v1/objects/{dialect.RUNNERS_KIND}/{runner.name}"
        await self._wait(lambda: self._store("DELETE", path))

    async def put(self, kind: str, name: str, value: typing.Any) -> None:
        """Write an object as the platform does, until it is written."""
        path = f"/v1/objects/{kind}/{name}"
        await self._wait(lambda: self._store("PUT", path, {"value": value}))

    @property
    def journal(self) -> pathlib.Path:
        """Where all runners write what they run."""
        return self._folder / "journal.txt"

    def ran(self) -> list[list[str]]:
        """Call id, customer and path of each run."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_text().splitlines()
        return [line.split(" ") for line in lines]

    def close(self) -> None:
        """End all processes."""
        children = [vm.child for vm in self.vms]
        children += [runner.child for runner in self.runners]
        for child in [*children, self.store]:
            child.signal(signal.SIGCONT)
            child.kill()
        for each in [*self.vms, *self.runners]:
            each.link.close()
        self._ports.close()

    def _vm_ports(self) -> dict[str, int]:
        names = ("callers", "checks", "lookups", "peers")
        return {name: self._ports.reserve() for name in names}

    async def _add_vm(
        self, name: str, served: dict[str, int], seeds: list[int]
    ) -> None:
        link = proxy.Proxy(self._store_port)
        await link.start()
        number = len(self.vms)
        document = {
            "vm": name,
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
            "seeds": seeds,
            "store": link.port,
            **served,
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(document))
        child = Child(["soak.vm", str(path)], self._folder / f"{name}.log")
        child.start()
        self.vms.append(Vm(name, child, served, link))

    def _store(
        self, method: str, path: str, document: typing.Any = None
    ) -> bool:
        body = None if document is None else json.dumps(document).encode()
        url = f"http://{HOST}:{self._store_port}{path}"
        request = urllib.request.Request(url, body, method=method)
        try:
            with urllib.request.urlopen(request, timeout=1.0):
                return True
        except urllib.error.HTTPError as error:
            return method == "DELETE" and error.code == 404
        except OSError:
            return False

    async def _wait(self, done: typing.Callable[[], bool]) -> None:
        """Repeat a blocking step in a thread until it has succeeded."""
        deadline = asyncio.get_running_loop().time() + START_S
        while not await asyncio.to_thread(done):
            if asyncio.get_running_loop().time() > deadline:
                raise TimeoutError("a step of the soak does not succeed")
            await asyncio.sleep(POLL_S)


def ready(vm: Vm) -> bool:
    """Whether a VM says that callers may be sent to it."""
    url = f"http://{HOST}:{vm.ports['checks']}/ready"
    try:
        with urllib.request.urlopen(url, timeout=0.5) as answer:
            return bool(answer.status == 200)
    except OSError:
        return False


async def until(done: typing.Callable[[], bool], timeout_s: float) -> bool:
    """Poll until something is so, or the time is over."""
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not done():
        if asyncio.get_running_loop().time() > deadline:
            return False
        await asyncio.sleep(POLL_S)
    return True


def _listens(port: int) -> bool:
    with socket.socket() as found:
        return found.connect_ex((HOST, port)) == 0


def _route_document(
    prefix: str, service: str, kind: str, attempts: int, resumable: bool
) -> dict[str, typing.Any]:
    return {
        "name": prefix.strip("/"),
        "host": ROUTE_HOST,
        "prefix": prefix,
        "service": service,
        "kind": kind,
        "resumable": resumable,
        "timeout_s": TIMEOUT_S,
        "objective_s": 0.5,
        "max_attempts": attempts,
    }
