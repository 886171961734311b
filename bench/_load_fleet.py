"""A fleet of real processes for the load tool and the demo.

Both users' catalogues, engines for their two models and plain services,
spread over three data centres.
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
MACHINES = {
    "apricot-pool": "gpu-large",
    "concierge-llm": "gpu-medium",
    "registo-app": "small",
    "access-core": "small",
}
#: Per hour of reclaimable capacity; on demand costs three times as much.
PRICES = {"gpu-large": 1.20, "gpu-medium": 0.70, "small": 0.04}
PLACE_FACTORS = {"sala-a": 1.0, "sala-b": 0.85, "sala-c": 0.7}
ON_DEMAND_FACTOR = 3.0
SECONDS_PER_HOUR = 3600.0
EXAMPLES = processes.ROOT / "examples"
READY_S = 30.0
SPARE = "spare-"
TIMING = {"entries_ttl_s": 2.0, "load_poll_s": 0.3, "stop_s": 60.0}

Json = typing.Any


class Machine:
    """A VM of the fleet, for the bill.

    :param started: on the monotonic clock.
    """

    __slots__ = ("name", "pool", "data_centre", "market", "started", "ended")

    def __init__(
        self, name: str, pool: str, data_centre: str, market: str
    ) -> None:
        self.name = name
        self.pool = pool
        self.data_centre = data_centre
        self.market = market
        self.started = time.monotonic()
        self.ended: float | None = None

    @property
    def kind(self) -> str:
        """The machine class of the cloud API."""
        return MACHINES.get(self.pool, "small")

    def cost(self, now: float) -> float:
        """What it has cost so far."""
        held_s = (self.ended or now) - self.started
        price = price_of(self.data_centre, self.kind, self.market)
        return held_s / SECONDS_PER_HOUR * price


def price_of(data_centre: str, machine: str, market: str) -> float:
    """The price of a VM per hour."""
    factor = 1.0 if market == "reclaimable" else ON_DEMAND_FACTOR
    return PRICES[machine] * PLACE_FACTORS[data_centre] * factor


class Counts:
    """What runners have counted, the ended ones included.

    :param recomputed: tokens that engines computed again.
    """

    __slots__ = ("recomputed", "generated", "prefilled", "cached")

    def __init__(self, rows: typing.Iterable[dict[str, Json]]) -> None:
        known = list(rows)
        self.recomputed = sum(row["recomputed_total"] for row in known)
        self.generated = sum(row["generated_total"] for row in known)
        self.prefilled = sum(row["prefilled_total"] for row in known)
        self.cached = sum(row["cached_total"] for row in known)


class LoadFleet(fleet.Fleet):
    """The fleet, with the operators' client and a bill.

    :param timing: changes to ``TIMING``.
    :param sizes: the daemons' settings of that name.
    """

    def __init__(
        self,
        timing: dict[str, Json] | None = None,
        sizes: dict[str, Json] | None = None,
    ) -> None:
        super().__init__({**TIMING, **(timing or {})}, sizes, "here")
        self.machines: dict[str, Machine] = {}
        self._last_counts: dict[str, dict[str, Json]] = {}

    @property
    def spares(self) -> list[str]:
        """The engines that were offered to be bought."""
        return [name for name in self.names if name.startswith(SPARE)]

    @property
    def engines(self) -> list[str]:
        """The names of all engines started so far."""
        return [
            name
            for name, machine in self.machines.items()
            if machine.pool in MODEL_POOLS and name in self.names
        ]

    def in_data_centre(self, data_centre: str) -> list[str]:
        """The engines in a data centre that run now."""
        return [
            name
            for name in self.engines
            if self.machines[name].data_centre == data_centre
            and self.machines[name].ended is None
        ]

    def bring_up(
        self,
        vms: int,
        engines: int,
        services: int,
        engine_flags: typing.Sequence[str] = (),
    ) -> int:
        """Start everything.

        :returns: the catalogue's version.
        """
        self.start_platform()
        self._set_prices()
        # Without this the cloud would sell VMs that have no address.
        self.control("cloud", "spares", {"spares": []})
        self._start_pools("engine", engines, MODEL_POOLS, engine_flags)
        self._start_pools("service", services, SERVICE_POOLS, ())
        version = self.apply_examples()
        places = zip((f"entry-{n}" for n in range(vms)), _cycle())
        self.start_daemons(dict(places))
        for name, place in zip(self.daemons, _cycle()):
            self.machines[name] = Machine(name, "", place, "reclaimable")
        fleet.wait_for(lambda: self._ready(version), READY_S)
        return version

    def apply_examples(self) -> int:
        """Put both users' catalogues in force with the real client."""
        self.client("catalogue", "apply", str(EXAMPLES / "procurador.json"))
        merged = self.client(
            "catalogue", "apply", "--merge", str(EXAMPLES / "consorzio.json")
        )
        return merged["version"]

    def client(self, *arguments: str, check: bool = True) -> Json:
        """Run ``apricotlever ... --json`` in a process of its own."""
        objects = f"http://{self.address('objects')}"
        running = [n for n in self.daemons if self.process(n).running]
        places = [f"--entry={self.address(name)}" for name in running]
        ran = subprocess.run(
            [
                sys.executable,
                "-m",
                "apricotlever.client.main",
                *arguments,
                "--json",
                f"--objects={objects}",
                *places,
            ],
            capture_output=True,
            cwd=processes.ROOT,
            timeout=READY_S,
        )
        if check and ran.returncode:
            raise RuntimeError(f"{arguments}: {ran.stdout!r} {ran.stderr!r}")
        return json.loads(ran.stdout)

    def start_engine(self, name: str, pool: str, place: str) -> None:
        """Start one more engine and put it on the cloud's list."""
        self.start_engines([name], pool, register=False)
        self._enlist(name, pool, place, "reclaimable")

    def offer_engines(self, pools: typing.Sequence[str]) -> None:
        """Start engines that the cloud sells when it is asked for them."""
        for number, pool in enumerate(pools):
            name = f"{SPARE}{number}"
            self.start_engines([name], pool, register=False)
            self.offer([name], pool)

    def note_bought(self) -> None:
        """Put the engines that entry VMs have bought on the bill."""
        reply = http.call(self.address("cloud"), "GET", "/v1/vms")
        for vm in reply.payload["vms"]:
            if vm["vm"] not in self.machines and vm["role"] == "runner":
                self.machines[vm["vm"]] = Machine(
                    vm["vm"], vm["pool"], vm["data_centre"], vm["market"]
                )

    def status(self, name: str) -> dict[str, Json]:
        """The status page of an entry VM."""
        return http.call(self.address(name), "GET", "/v1/status").payload

    def read_counts(self) -> None:
        """Read each living engine's counts, for when it is gone."""
        for name in self.engines:
            if not self.process(name).running:
                continue
            try:
                self._last_counts[name] = self.counts(name)
            except OSError:
                continue

    def engine_counts(self) -> Counts:
        """What the engines counted, as it was last read from each."""
        return Counts(self._last_counts.values())

    def note_end(self, name: str) -> None:
        """A VM is gone: it costs nothing any more."""
        self.machines[name].ended = time.monotonic()

    def bill(self) -> float:
        """What all VMs have cost so far."""
        now = time.monotonic()
        return sum(each.cost(now) for each in self.machines.values())

    def copy_logs(self, folder: str) -> None:
        """Copy every process's log to a folder."""
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
        # Services keep to capacity that is not reclaimed: a doubled call
        # costs more than the VM.
        market = "reclaimable" if kind == "engine" else "on_demand"
        start(names, pools[0], flags=flags, register=False)
        for name, pool, place in zip(names, itertools.cycle(pools), _cycle()):
            self._enlist(name, pool, place, market)

    def _enlist(self, name: str, pool: str, place: str, market: str) -> None:
        machine = Machine(name, pool, place, market)
        self.machines[name] = machine
        self.register(
            name,
            data_centre=place,
            role="runner",
            pool=pool,
            machine=machine.kind,
            market=market,
        )

    def _set_prices(self) -> None:
        prices = [
            {
                "data_centre": place,
                "machine": machine,
                "market": market,
                "per_hour": price_of(place, machine, market),
            }
            for place, machine, market in itertools.product(
                DATA_CENTRES, PRICES, ("reclaimable", "on_demand")
            )
        ]
        self.control("cloud", "prices", {"prices": prices})

    def _ready(self, version: int) -> bool:
        pages = [self.status(name) for name in self.daemons]
        wanted = sum(bool(each.pool) for each in self.machines.values())
        return all(
            page.get("catalogue_version") == version
            and len(page["runners"]) == wanted
            and len(page["peers"]) == len(self.daemons)
            for page in pages
        )


def _cycle() -> typing.Iterator[str]:
    return itertools.cycle(DATA_CENTRES)
