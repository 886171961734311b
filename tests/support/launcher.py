"""Starts stand-ins and daemons as real processes and stops them.

Closing the launcher kills each process by its own process ID.
"""

import itertools
import json
import pathlib
import sys
import tempfile
import typing

from tests.support import http
from tests.support import ports
from tests.support import processes

HOST = ports.HOST
READY_TIMEOUT_S = 30.0
MAX_SEEDS = 3
PLATFORM_MODULES = {
    "objects": "object_api",
    "cloud": "cloud_api",
    "weights": "weight_store",
}
DEFAULT_MACHINE = "small"
RUNNER_ROLE = "runner"
ENTRY_ROLE = "entry"
DAEMON_MODULE = "apricotlever.daemon.main"


class Node:
    """A process with the addresses that it serves.

    :param process: the child process.
    :param address: ``host:port`` for callers.
    :param control_address: ``host:port`` for fault settings and counters of a
        stand-in.
    :param peers: ``host:port`` for the peers of an entry VM; empty for others.
    """

    __slots__ = ("process", "address", "control_address", "peer_address")

    def __init__(
        self,
        process: processes.Process,
        address: str,
        control_address: str = "",
        peer_address: str = "",
    ) -> None:
        self.process = process
        self.address = address
        self.control_address = control_address
        self.peer_address = peer_address


class Launcher:
    """Starts processes by name in a folder of settings and logs.

    :param timing: the ``timing`` part of each daemon's settings.
    :param sizes: the ``sizes`` part of each daemon's settings.
    :param region: the region of each daemon.
    """

    def __init__(
        self,
        timing: dict[str, typing.Any] | None = None,
        sizes: dict[str, typing.Any] | None = None,
        region: str = "here",
    ) -> None:
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="fleet-")
        self._folder = pathlib.Path(self._temporary_folder.name)
        self._nodes: dict[str, Node] = {}
        self._timing = timing or {}
        self._sizes = sizes or {}
        self._region = region
        self._daemons: list[str] = []
        self._daemon_module = DAEMON_MODULE
        self._ports = ports.PortReservations()

    @property
    def folder(self) -> pathlib.Path:
        """The folder of settings, logs and journals.

        :meth:`close` removes it.
        """
        return self._folder

    @property
    def names(self) -> list[str]:
        """The names of all processes, in the order of their start."""
        return list(self._nodes)

    @property
    def daemons(self) -> list[str]:
        """The names of the entry VMs, in the order of their start."""
        return list(self._daemons)

    @property
    def entry_addresses(self) -> list[str]:
        """The entry VMs' addresses for callers, as ``host:port``."""
        return [self._nodes[name].address for name in self._daemons]

    @property
    def platform_urls(self) -> dict[str, str]:
        """The ``platform`` part of a daemon's settings: URLs by service."""
        return {
            name: f"http://{self.address(name)}" for name in PLATFORM_MODULES
        }

    def __enter__(self) -> "Launcher":
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def node(self, name: str) -> Node:
        """The process of a name, with its addresses."""
        return self._nodes[name]

    def process(self, name: str) -> processes.Process:
        """The child process of a name."""
        return self._nodes[name].process

    def address(self, name: str) -> str:
        """The ``host:port`` at which a process serves its callers."""
        return self._nodes[name].address

    def log(self, name: str) -> str:
        """The output of a process since its latest start."""
        return self.process(name).log

    def set_daemon_module(self, module: str) -> None:
        """Set the module that :meth:`start_daemons` runs from now on.

        :param module: the module's full name, for ``python -m``.
        """
        self._daemon_module = module

    def start_platform(self) -> None:
        """Start the object API, the cloud API and the weight store."""
        started = [
            self._launch_standin(name, module, [])
            for name, module in PLATFORM_MODULES.items()
        ]
        for name in started:
            self._await_standin(name)

    def start_engines(
        self,
        names: typing.Iterable[str],
        pool: str,
        data_centres: typing.Sequence[str] = ("dc-a",),
        market: str = "reclaimable",
        flags: typing.Sequence[str] = (),
        register: bool = True,
    ) -> None:
        """Start engine stand-ins, distributed over data centres in rotation.

        :param pool: the pool that the engines belong to.
        :param market: the market that the VMs are bought in.
        :param flags: further arguments of ``standins.engine``, for each one.
        :param register: whether the cloud lists the VMs at once.
        """
        self._start_runners(
            "engine", names, pool, data_centres, market, flags, register
        )

    def start_services(
        self,
        names: typing.Iterable[str],
        pool: str,
        data_centres: typing.Sequence[str] = ("dc-a",),
        market: str = "reclaimable",
        flags: typing.Sequence[str] = (),
        register: bool = True,
    ) -> None:
        """Start plain services, distributed over data centres in rotation.

        The parameters are those of :meth:`start_engines`.
        """
        self._start_runners(
            "plain_service", names, pool, data_centres, market, flags, register
        )

    def start_daemons(self, data_centre_by_vm: dict[str, str]) -> None:
        """Start entry VMs that have some of the others as seeds.

        :param data_centre_by_vm: the data centre of each VM to start, by name.
        """
        for name in data_centre_by_vm:
            self._nodes[name] = Node(
                self._daemon_process(name),
                f"{HOST}:{self._ports.reserve()}",
                peer_address=f"{HOST}:{self._ports.reserve()}",
            )
        self._daemons += data_centre_by_vm
        for name, data_centre in data_centre_by_vm.items():
            self._write_settings(name, data_centre)
            self._register_entry(name, data_centre)
            self.process(name).start()
        for name in data_centre_by_vm:
            self._await_daemon(name)

    def register(self, name: str, **fields: str) -> None:
        """Add a VM to the cloud's list.

        :param fields: further fields of the list's entry; the address and
            the state have defaults.
        """
        node = self._nodes[name]
        address = node.peer_address or node.address
        vm = {"vm": name, "address": address, **fields}
        self.control("cloud", "register", vm)

    def register_runner(
        self,
        name: str,
        pool: str,
        data_centre: str = "dc-a",
        market: str = "reclaimable",
        address: str = "",
    ) -> None:
        """Add a runner to the cloud's list.

        :param address: ``host:port`` of a relay in front of the runner; the
            runner's own address if empty.
        """
        self.register(
            name,
            address=address or self.address(name),
            data_centre=data_centre,
            role=RUNNER_ROLE,
            pool=pool,
            machine=DEFAULT_MACHINE,
            market=market,
        )

    def add_spares(self, names: typing.Iterable[str], pool: str) -> None:
        """Let the cloud API sell running runners that are not in its list.

        :param pool: the pool that the runners belong to.
        """
        spares = [
            {"vm": name, "address": self.address(name), "pool": pool}
            for name in names
        ]
        self.control("cloud", "spares", {"spares": spares})

    def control(
        self, name: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Call a stand-in's control interface: POST with a body, else GET.

        :param path: the part after ``/control/``.
        :returns: the decoded response.
        """
        method = "GET" if body is None else "POST"
        address = self._nodes[name].control_address
        reply = http.call(address, method, f"/control/{path}", body)
        assert reply.status == 200, (name, path, reply.status, reply.payload)
        return reply.payload

    def restart(self, name: str) -> None:
        """Kill a process if it runs, and start it at the same addresses."""
        self.process(name).kill()
        if name in self._daemons:
            self.process(name).start()
            self._await_daemon(name)
            return
        self.process(name).start()
        self._await_standin(name)

    def close(self) -> None:
        """Kill all processes, release their ports and remove the folder."""
        for node in self._nodes.values():
            node.process.resume()
            node.process.signal(9)
        for node in self._nodes.values():
            node.process.kill()
        self._ports.close()
        self._temporary_folder.cleanup()

    def _start_runners(
        self,
        module: str,
        names: typing.Iterable[str],
        pool: str,
        data_centres: typing.Sequence[str],
        market: str,
        flags: typing.Sequence[str],
        register: bool,
    ) -> None:
        started = [
            self._launch_standin(
                name,
                module,
                ["--journal", str(self.journal_path(name)), *flags],
            )
            for name in names
        ]
        for name, data_centre in zip(started, itertools.cycle(data_centres)):
            self._await_standin(name)
            if register:
                self.register_runner(name, pool, data_centre, market)

    def _launch_standin(
        self, name: str, module: str, flags: typing.Sequence[str]
    ) -> str:
        port_flags = ("--port", str(self._ports.reserve()))
        command = [
            sys.executable,
            "-m",
            f"standins.{module}",
            *flags,
            *port_flags,
        ]
        log_path = self._folder / f"{name}.log"
        process = processes.Process(name, command, log_path)
        self._nodes[name] = Node(process, "")
        process.start()
        return name

    def _await_standin(self, name: str) -> None:
        node = self._nodes[name]
        port, control_port = node.process.wait_listening(READY_TIMEOUT_S)
        node.address = f"{HOST}:{port}"
        node.control_address = f"{HOST}:{control_port}"

    def _daemon_process(self, name: str) -> processes.Process:
        settings = str(self.settings_path(name))
        module = self._daemon_module
        command = [sys.executable, "-m", module, "--settings", settings]
        log_path = self._folder / f"{name}.log"
        return processes.Process(name, command, log_path)

    def _await_daemon(self, name: str) -> None:
        node = self._nodes[name]
        node.process.wait_until(
            lambda: _is_answering(node.address), READY_TIMEOUT_S, "answering"
        )

    def _register_entry(self, name: str, data_centre: str) -> None:
        self.register(
            name,
            data_centre=data_centre,
            role=ENTRY_ROLE,
            pool="",
            machine=DEFAULT_MACHINE,
            market="reclaimable",
        )

    def _write_settings(self, name: str, data_centre: str) -> None:
        node = self._nodes[name]
        others = [vm for vm in self._daemons if vm != name][:MAX_SEEDS]
        settings = {
            "vm": name,
            "data_centre": data_centre,
            "region": self._region,
            "callers": node.address,
            "peers": node.peer_address,
            "platform": self.platform_urls,
            "seeds": [
                {"vm": vm, "address": self._nodes[vm].peer_address}
                for vm in others
            ],
            "log_level": "info",
            "timing": self._timing,
            "sizes": self._sizes,
        }
        self.settings_path(name).write_text(json.dumps(settings, indent=2))

    def settings_path(self, name: str) -> pathlib.Path:
        """The path of an entry VM's settings file."""
        return self._folder / f"{name}.json"

    def journal_path(self, name: str) -> pathlib.Path:
        """The path of the file that holds a runner's counts after a kill."""
        return self._folder / f"{name}.journal"


def _is_answering(address: str) -> bool:
    try:
        return http.call(address, "GET", "/v1/entries").status < 500
    except OSError:
        return False
