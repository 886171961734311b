"""Starts a fleet of real processes for the load tool and the demo.

The fleet runs both users' catalogues, engines for their two models and plain
services, spread over three data centres.
"""

import itertools
import json
import pathlib
import shutil
import subprocess
import sys
import time
import typing

from tests.support import fleet
from tests.support import http
from tests.support import processes

DATA_CENTRES = ("sala-a", "sala-b", "sala-c")
MODEL_POOLS = ("apricot-pool", "concierge-llm")
SERVICE_POOLS = ("registo-app", "access-core")
MACHINE_CLASS_BY_POOL = {
    "apricot-pool": "gpu-large",
    "concierge-llm": "gpu-medium",
    "registo-app": "small",
    "access-core": "small",
}
#: Price per hour of a reclaimable VM, by machine class; an on-demand VM costs
#: three times as much.
RECLAIMABLE_PRICES = {"gpu-large": 1.20, "gpu-medium": 0.70, "small": 0.04}
DATA_CENTRE_PRICE_FACTORS = {"sala-a": 1.0, "sala-b": 0.85, "sala-c": 0.7}
ON_DEMAND_FACTOR = 3.0
SECONDS_PER_HOUR = 3600.0
EXAMPLES_DIR = processes.ROOT / "examples"
READY_TIMEOUT_S = 30.0
SPARE_PREFIX = "spare-"
TIMING = {"entries_ttl_s": 2.0, "load_poll_s": 0.3, "stop_s": 60.0}

JsonValue = typing.Any


class BilledVm:
    """A VM of the fleet and how long it is paid for.

    ``started_at`` and ``ended_at`` are times on the monotonic clock;
    ``ended_at`` is None while the VM runs.

    :param pool: the pool of a runner; empty for an entry VM.
    """

    __slots__ = (
        "name",
        "pool",
        "data_centre",
        "market",
        "started_at",
        "ended_at",
    )

    def __init__(
        self, name: str, pool: str, data_centre: str, market: str
    ) -> None:
        self.name = name
        self.pool = pool
        self.data_centre = data_centre
        self.market = market
        self.started_at = time.monotonic()
        self.ended_at: float | None = None

    @property
    def machine_class(self) -> str:
        """The machine class as the cloud API names it."""
        return MACHINE_CLASS_BY_POOL.get(self.pool, "small")

    def cost(self, now: float) -> float:
        """The cost of the VM so far."""
        billed_s = (self.ended_at or now) - self.started_at
        price = price_per_hour(
            self.data_centre, self.machine_class, self.market
        )
        return billed_s / SECONDS_PER_HOUR * price


def price_per_hour(data_centre: str, machine: str, market: str) -> float:
    """The hourly price of a VM."""
    factor = 1.0 if market == "reclaimable" else ON_DEMAND_FACTOR
    return (
        RECLAIMABLE_PRICES[machine]
        * DATA_CENTRE_PRICE_FACTORS[data_centre]
        * factor
    )


class TokenCounts:
    """The token counts of all runners, including those that have ended.

    ``recomputed`` counts the tokens that engines computed again.

    :param rows: the counts of each runner.
    """

    __slots__ = ("recomputed", "generated", "prefilled", "cached")

    def __init__(self, rows: typing.Iterable[dict[str, JsonValue]]) -> None:
        counts = list(rows)
        self.recomputed = sum(row["recomputed_total"] for row in counts)
        self.generated = sum(row["generated_total"] for row in counts)
        self.prefilled = sum(row["prefilled_total"] for row in counts)
        self.cached = sum(row["cached_total"] for row in counts)


class LoadFleet(fleet.Fleet):
    """A fleet with the operators' client and cost accounting.

    :param timing: overrides of ``TIMING``.
    :param sizes: the ``sizes`` section of the daemons' settings.
    """

    def __init__(
        self,
        timing: dict[str, JsonValue] | None = None,
        sizes: dict[str, JsonValue] | None = None,
    ) -> None:
        super().__init__({**TIMING, **(timing or {})}, sizes, "here")
        self.billed_vms: dict[str, BilledVm] = {}
        self._last_counts: dict[str, dict[str, JsonValue]] = {}

    @property
    def offered_engines(self) -> list[str]:
        """The names of the engines that the cloud API offers for sale."""
        return [name for name in self.names if name.startswith(SPARE_PREFIX)]

    @property
    def engines(self) -> list[str]:
        """The names of all engines started so far."""
        return [
            name
            for name, machine in self.billed_vms.items()
            if machine.pool in MODEL_POOLS and name in self.names
        ]

    def running_engines_in(self, data_centre: str) -> list[str]:
        """The names of the engines that are running in a data centre."""
        return [
            name
            for name in self.engines
            if self.billed_vms[name].data_centre == data_centre
            and self.billed_vms[name].ended_at is None
        ]

    def start_all(
        self,
        vms: int,
        engines: int,
        services: int,
        engine_flags: typing.Sequence[str] = (),
    ) -> int:
        """Start the platform stand-ins, all runners and all entry VMs.

        Returns when each entry VM knows the catalogue, its peers and all
        runners.

        :param vms: the number of entry VMs.
        :param engine_flags: extra command-line flags of the engines.
        :returns: the catalogue's version.
        """
        self.start_platform()
        self._set_prices()
        # Until spares were configured, the cloud API stand-in sells VMs that
        # have no address.
        self.control("cloud", "spares", {"spares": []})
        self._start_pools("engine", engines, MODEL_POOLS, engine_flags)
        self._start_pools("service", services, SERVICE_POOLS, ())
        version = self.apply_examples()
        data_centres = zip(
            (f"entry-{n}" for n in range(vms)), _cycle_data_centres()
        )
        self.start_daemons(dict(data_centres))
        for name, data_centre in zip(self.daemons, _cycle_data_centres()):
            self.billed_vms[name] = BilledVm(
                name, "", data_centre, "reclaimable"
            )
        fleet.wait_for(lambda: self._is_ready(version), READY_TIMEOUT_S)
        return version

    def apply_examples(self) -> int:
        """Apply both users' catalogues with the operators' client.

        :returns: the version of the merged catalogue.
        """
        self.run_client(
            "catalogue", "apply", str(EXAMPLES_DIR / "procurador.json")
        )
        merged = self.run_client(
            "catalogue",
            "apply",
            "--merge",
            str(EXAMPLES_DIR / "consorzio.json"),
        )
        return merged["version"]

    def run_client(self, *arguments: str, check: bool = True) -> JsonValue:
        """Run ``apricotlever ... --json`` as a separate process.

        :param check: whether a non-zero exit code raises ``RuntimeError``.
        :returns: the decoded output.
        """
        objects = f"http://{self.address('objects')}"
        running = [n for n in self.daemons if self.process(n).running]
        entry_options = [f"--entry={self.address(name)}" for name in running]
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "apricotlever.client.main",
                *arguments,
                "--json",
                f"--objects={objects}",
                *entry_options,
            ],
            capture_output=True,
            cwd=processes.ROOT,
            timeout=READY_TIMEOUT_S,
        )
        if check and completed.returncode:
            raise RuntimeError(
                f"{arguments}: {completed.stdout!r} {completed.stderr!r}"
            )
        return json.loads(completed.stdout)

    def start_engine(self, name: str, pool: str, data_centre: str) -> None:
        """Start another engine and register it with the cloud API."""
        self.start_engines([name], pool, register=False)
        self._register(name, pool, data_centre, "reclaimable")

    def offer_engines(self, pools: typing.Sequence[str]) -> None:
        """Start engines that the cloud API sells when VMs are ordered."""
        for number, pool in enumerate(pools):
            name = f"{SPARE_PREFIX}{number}"
            self.start_engines([name], pool, register=False)
            self.add_spares([name], pool)

    def record_purchases(self) -> None:
        """Start accounting for the engines that entry VMs have bought."""
        reply = http.call(self.address("cloud"), "GET", "/v1/vms")
        for vm in reply.payload["vms"]:
            if vm["vm"] not in self.billed_vms and vm["role"] == "runner":
                self.billed_vms[vm["vm"]] = BilledVm(
                    vm["vm"], vm["pool"], vm["data_centre"], vm["market"]
                )

    def status(self, name: str) -> dict[str, JsonValue]:
        """Get the status page of an entry VM."""
        return http.call(self.address(name), "GET", "/v1/status").payload

    def poll_counts(self) -> None:
        """Store the counts of each running engine.

        The counts of an engine cannot be read after its end.
        """
        for name in self.engines:
            if not self.process(name).running:
                continue
            try:
                self._last_counts[name] = self.counts(name)
            except OSError:
                continue

    def engine_counts(self) -> TokenCounts:
        """The sums of the counts last read from each engine."""
        return TokenCounts(self._last_counts.values())

    def record_end(self, name: str) -> None:
        """Record that a VM has ended and costs nothing from now on."""
        self.billed_vms[name].ended_at = time.monotonic()

    def total_cost(self) -> float:
        """The cost of all VMs so far."""
        now = time.monotonic()
        return sum(each.cost(now) for each in self.billed_vms.values())

    def copy_logs(self, folder: str) -> None:
        """Copy the log of each process to a folder."""
        target = pathlib.Path(folder)
        target.mkdir(parents=True, exist_ok=True)
        for path in self.folder.glob("*.log"):
            shutil.copy(path, target)

    def _start_pools(
        self,
        kind: str,
        count: int,
        pools: tuple[str, ...],
        flags: typing.Sequence[str],
    ) -> None:
        names = [f"{kind}-{number}" for number in range(count)]
        start = self.start_engines if kind == "engine" else self.start_services
        # Services run on demand, where VMs are not reclaimed: a call that is
        # executed twice costs more than the VM.
        market = "reclaimable" if kind == "engine" else "on_demand"
        start(names, pools[0], flags=flags, register=False)
        for name, pool, data_centre in zip(
            names, itertools.cycle(pools), _cycle_data_centres()
        ):
            self._register(name, pool, data_centre, market)

    def _register(
        self, name: str, pool: str, data_centre: str, market: str
    ) -> None:
        machine = BilledVm(name, pool, data_centre, market)
        self.billed_vms[name] = machine
        self.register(
            name,
            data_centre=data_centre,
            role="runner",
            pool=pool,
            machine=machine.machine_class,
            market=market,
        )

    def _set_prices(self) -> None:
        prices = [
            {
                "data_centre": data_centre,
                "machine": machine,
                "market": market,
                "per_hour": price_per_hour(data_centre, machine, market),
            }
            for data_centre, machine, market in itertools.product(
                DATA_CENTRES, RECLAIMABLE_PRICES, ("reclaimable", "on_demand")
            )
        ]
        self.control("cloud", "prices", {"prices": prices})

    def _is_ready(self, version: int) -> bool:
        pages = [self.status(name) for name in self.daemons]
        expected_runners = sum(
            bool(each.pool) for each in self.billed_vms.values()
        )
        return all(
            page.get("catalogue_version") == version
            and len(page["runners"]) == expected_runners
            and len(page["peers"]) == len(self.daemons)
            for page in pages
        )


def _cycle_data_centres() -> typing.Iterator[str]:
    return itertools.cycle(DATA_CENTRES)
