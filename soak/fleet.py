"""Processes of a soak test: a store, runners and entry VMs on loopback."""

import asyncio
import contextlib
import itertools
import json
import pathlib
import signal
import time
import typing
import urllib.request

from tests.support import ports

from . import child_process
from . import dialect
from . import loopback
from . import proxy
from . import runner_link
from . import runner_paths
from . import statements

HOST = loopback.HOST
START_TIMEOUT_S = 20.0
#: How long a runner, which may be suspended, has for a command, in seconds.
SAY_TIMEOUT_S = 3.0
CONCURRENCY = 16
ROUTE_HOST = "soak.example"
API_KEY = "key-of-clerks"
CUSTOMER = "clerks"
DATA_CENTRES = ("dc-a", "dc-b")
SERVICES = ("plain", "streams")
#: Prefix, service, kind of calls, maximum number of attempts and whether
#: streams are resumable, for each route.
ROUTES = (
    ("/safe/", "plain", "idempotent", 3, False),
    ("/once/", "plain", "non-idempotent", 3, False),
    ("/stream/", "streams", "stream", 3, False),
    ("/stream-on/", "streams", "stream", 3, True),
)
ROUTE_TIMEOUT_S = 4.0
#: Retries that the VMs may make in a window beside a share of the calls.
RETRY_MIN = 10.0
#: The version of the software of runners that no release has replaced.
FIRST_VERSION = "v1"


class VmProcess:
    """One entry VM and its proxy to the store.

    :param ports_by_role: ports for callers, checks, lookups and peers.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        process: child_process.ChildProcess,
        ports_by_role: dict[str, int],
        link: proxy.FaultProxy,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.process = process
        self.ports = ports_by_role
        self.link = link


class RunnerSpan:
    """A time in which a runner served new calls.

    :param runner: its name.
    :param since: the beginning, on the machine's monotonic clock.
    """

    __slots__ = ("runner", "version", "since", "until")

    def __init__(self, runner: str, version: str, since: float) -> None:
        self.runner = runner
        self.version = version
        self.since = since
        self.until = float("inf")


class RunnerProcess:
    """One runner and the proxies through which the VMs reach it."""

    def __init__(
        self,
        name: str,
        service: str,
        version: str,
        process: child_process.ChildProcess,
        link: runner_link.RunnerLink,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.process = process
        self.link = link
        self.born = 0
        self.sequence = 0
        self.reset_incarnation()

    def reset_incarnation(self) -> None:
        """Record that the runner runs in a new process."""
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.sequence = 0


class Fleet:
    """All processes of one soak test.

    :param folder: for settings, logs and the runners' journal.
    :param retry_min: see :class:`apricotlever.serving.settings.FleetBounds`.
    :param memory_mb: memory of a VM's machine; 0 if that isn't limited.
    :param max_descriptors: the same for its descriptors.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        retry_min: float = RETRY_MIN,
        memory_mb: int = 0,
        max_descriptors: int = 0,
    ) -> None:
        self._folder = folder
        self._machine = {
            "memory_mb": memory_mb,
            "max_descriptors": max_descriptors,
        }
        self.retry_min = retry_min
        self._runner_numbers = itertools.count(1)
        self._ports = ports.PortReservations()
        self._store_port = self._ports.reserve()
        self._version = 0
        self.store = child_process.ChildProcess(
            ["standins.object_api", "--port", str(self._store_port)],
            folder / "store.log",
        )
        self.record = statements.Record(folder / "statements.txt")
        #: Times in which VMs and runners are excused from what they were told.
        self.disturbances: list[statements.Disturbance] = []
        #: The names and times of the faults.
        self.faults: list[statements.Disturbance] = []
        #: When which runners served new calls.
        self.spans: list[RunnerSpan] = []
        self.vms: list[VmProcess] = []
        self.runners: list[RunnerProcess] = []
        self._vm_names: list[str] = []
        #: Links to all runners, also to those that are leaving.
        self._links: list[runner_link.RunnerLink] = []
        #: The VMs that are cut off from all runners, and how.
        self._cuts: dict[str, proxy.Cut] = {}

    async def start(self, vms: int, runners: int, apart: int = 0) -> None:
        """Start all processes.

        :param vms: number of entry VMs.
        :param runners: number of runners.
        :param apart: number of VMs, the first ones, that know only each other.
        :raises TimeoutError: when a VM does not become ready.
        """
        self._vm_names = [f"vm-{number}" for number in range(vms)]
        self.store.start()
        await self._retry(
            lambda: self._try_store_request("GET", "/v1/objects")
        )
        await self.write_configuration()
        for number in range(runners):
            await self.add_runner(SERVICES[number % len(SERVICES)])
        addresses = [self._reserve_vm_ports() for _ in range(vms)]
        peers = [each["peers"] for each in addresses]
        for number, name in enumerate(self._vm_names):
            known = peers[:apart] if number < apart else peers[apart:]
            await self._add_vm(name, addresses[number], known[:3])
        for vm in self.vms:
            await self._retry(lambda vm=vm: is_ready(vm))

    def cut_off(self, vms: typing.Iterable[str], cut: proxy.Cut) -> None:
        """Cut VMs off from all runners; all else still reaches them.

        :param vms: names of VMs that are not cut off yet.
        """
        for vm in vms:
            self._cuts[vm] = cut
            for link in self._links:
                link.cut(vm, cut)

    def is_cut_off(self, vm: str) -> bool:
        """Whether a VM is cut off from all runners."""
        return vm in self._cuts

    def reconnect(self, vms: typing.Iterable[str]) -> None:
        """End the cut of VMs."""
        for vm in vms:
            del self._cuts[vm]
            for link in self._links:
                link.heal(vm)

    async def write_configuration(self) -> None:
        """Write the next configuration; only its version changes."""
        self._version += 1
        await self.put_object(
            dialect.CONFIGURATION_KIND,
            dialect.CONFIGURATION_NAME,
            {
                "version": self._version,
                "services": list(SERVICES),
                "customers": {CUSTOMER: [API_KEY]},
                "routes": [_route_document(*route) for route in ROUTES],
            },
        )

    async def add_runner(
        self,
        service: str,
        link: runner_link.RunnerLink | None = None,
        port: int = 0,
        version: str = FIRST_VERSION,
        is_entered: bool = True,
    ) -> RunnerProcess:
        """Start a runner and write its entry.

        :param link: link of a former runner whose address the new runner
            takes over; None for a new address.
        :param port: of the former runner's process; 0 for a new port.
        :param version: of its software.
        :param is_entered: whether its entry is written at once.
        """
        name = f"r-{next(self._runner_numbers)}"
        port = port or self._ports.reserve()
        process = child_process.ChildProcess(
            [
                "soak.runner",
                name,
                str(port),
                str(self.journal),
                str(self._folder / "statements.txt"),
                version,
            ],
            self._folder / f"{name}.log",
        )
        process.start()
        await child_process.wait_until(
            lambda: loopback.is_listening(port), START_TIMEOUT_S
        )
        if link is None:
            link = runner_link.RunnerLink(port, self._vm_names)
            link.start()
            for vm, cut in self._cuts.items():
                link.cut(vm, cut)
            self._links.append(link)
        runner = RunnerProcess(name, service, version, process, link)
        self.runners.append(runner)
        if is_entered:
            await self.write_entry(runner, leaving=False)
        return runner

    async def write_entry(self, runner: RunnerProcess, leaving: bool) -> None:
        """Write the entry of a runner into the store."""
        number = int(runner.name.rpartition("-")[2])
        runner.sequence += 1
        entry = {
            "service": runner.service,
            "host": runner_paths.RUNNER_HOST,
            "port": runner.link.port,
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
            "concurrency": CONCURRENCY,
            "leaving": leaving,
            "born": runner.born,
            "sequence": runner.sequence,
            "version": runner.version,
        }
        if leaving:
            self.end_span(runner)
        await self.put_object(dialect.RUNNERS_KIND, runner.name, entry)
        if not leaving and self._open_span(runner) is None:
            self.spans.append(
                RunnerSpan(runner.name, runner.version, time.monotonic())
            )

    def end_span(self, runner: RunnerProcess) -> None:
        """Note that a runner serves no new calls from now on."""
        span = self._open_span(runner)
        if span is not None:
            span.until = time.monotonic()

    def _open_span(self, runner: RunnerProcess) -> RunnerSpan | None:
        """The time that goes on in which a runner serves, if there is one."""
        spans = (s for s in self.spans if s.runner == runner.name)
        return next((s for s in spans if s.until == float("inf")), None)

    async def restart_runner(self, runner: RunnerProcess) -> None:
        """Start a runner again with the same name and address."""
        port = runner.link.target
        runner.process.start()
        await child_process.wait_until(
            lambda: loopback.is_listening(port), START_TIMEOUT_S
        )
        runner.reset_incarnation()
        await self.write_entry(runner, leaving=False)

    @contextlib.contextmanager
    def disturbance(self, name: str) -> typing.Iterator[None]:
        """Note that a VM or runner is disturbed while the block runs."""
        since = time.monotonic()
        try:
            yield
        finally:
            self.disturbances.append(
                statements.Disturbance(name, since, time.monotonic())
            )

    async def say(self, runner: RunnerProcess, headers: str = "") -> None:
        """Set what a runner says of itself from now on.

        :param headers: header lines, each with its line end; "" for nothing.
        """
        request = f"POST /say HTTP/1.1\r\n{headers}Content-Length: 0\r\n\r\n"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SAY_TIMEOUT_S):
                while (
                    runner.process.is_running
                    and not await loopback.try_exchange(
                        runner.link.target, request.encode()
                    )
                ):
                    await asyncio.sleep(child_process.POLL_INTERVAL_S)

    async def delete_entry(self, runner: RunnerProcess) -> None:
        """Delete the entry of a runner, retrying while the store is down."""
        await self.delete_object(dialect.RUNNERS_KIND, runner.name)

    async def delete_object(self, kind: str, name: str) -> None:
        """Delete an object, retrying while the store is down."""
        path = f"/v1/objects/{kind}/{name}"
        await self._retry(lambda: self._try_store_request("DELETE", path))

    async def put_object(
        self, kind: str, name: str, value: typing.Any
    ) -> None:
        """Write an object of the platform, retrying until it is stored."""
        path = f"/v1/objects/{kind}/{name}"
        await self._retry(
            lambda: self._try_store_request("PUT", path, {"value": value})
        )

    @property
    def journal(self) -> pathlib.Path:
        """Path of the file in which all runners record their calls."""
        return self._folder / "journal.txt"

    def executions(self) -> list[list[str]]:
        """Return call id, customer and path of each execution on a runner."""
        if not self.journal.exists():
            return []
        lines = self.journal.read_text().splitlines()
        return [line.split(" ") for line in lines]

    def close(self) -> None:
        """Kill all processes and close the proxies."""
        processes = [vm.process for vm in self.vms]
        processes += [runner.process for runner in self.runners]
        for process in [*processes, self.store]:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for each in [*self.vms, *self.runners]:
            each.link.close()
        self._ports.close()

    def _reserve_vm_ports(self) -> dict[str, int]:
        names = ("callers", "checks", "lookups", "peers")
        return {name: self._ports.reserve() for name in names}

    async def _add_vm(
        self, name: str, ports_by_role: dict[str, int], seeds: list[int]
    ) -> None:
        link = proxy.FaultProxy(self._store_port)
        link.start()
        data_centre = DATA_CENTRES[len(self.vms) % len(DATA_CENTRES)]
        document = {
            "vm": name,
            "data_centre": data_centre,
            "seeds": seeds,
            "store": link.port,
            "retry_min": self.retry_min,
            **self._machine,
            **ports_by_role,
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(document))
        process = child_process.ChildProcess(
            ["soak.vm", str(path)], self._folder / f"{name}.log"
        )
        process.start()
        self.vms.append(
            VmProcess(name, data_centre, process, ports_by_role, link)
        )

    def _try_store_request(
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

    async def _retry(self, operation: typing.Callable[[], bool]) -> None:
        """Repeat a blocking operation in a thread until it succeeds.

        :raises TimeoutError: when the operation fails for too long.
        """
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while not await asyncio.to_thread(operation):
            if asyncio.get_running_loop().time() > deadline:
                raise TimeoutError("store or VM did not respond in time")
            await asyncio.sleep(child_process.POLL_INTERVAL_S)


def is_ready(vm: VmProcess) -> bool:
    """Whether a VM reports that it is ready for callers."""
    url = f"http://{HOST}:{vm.ports['checks']}/ready"
    try:
        with urllib.request.urlopen(url, timeout=0.5) as answer:
            return bool(answer.status == 200)
    except OSError:
        return False


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
        "timeout_s": ROUTE_TIMEOUT_S,
        "objective_s": 0.5,
        "max_attempts": attempts,
    }
