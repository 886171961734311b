"""A small fleet of real processes, with callers that check their answers."""

from concurrent import futures
import hashlib
import itertools
import time
import typing

from tests.support import answers
from tests.support import caller
from tests.support import fault_relay
from tests.support import fleet

CUSTOMERS = ("ana", "bruno")
MODEL_ENTRY = "drafts"
SERVICE_ENTRY = "registry"
MODEL_POOL = "llm"
SERVICE_POOL = "app"
DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
MAX_CALLERS = 64
STEP_MS = "30"
SLOTS = 16
WORDS = 60
#: Length of the prompt "mandate NN " and WORDS times "clause ", at four bytes
#: per token.
PROMPT_TOKENS = 108
TIMING = {
    "entries_ttl_s": 0.6,
    "stop_s": 20.0,
    "load_poll_s": 0.3,
    "watch_s": 2.0,
    "probe_interval_s": 0.3,
    "probe_timeout_s": 0.2,
    "lease_s": 3.0,
    "order_timeout_s": 1.0,
}
Answers = list[answers.Answer]


def key_of(customer: str) -> str:
    """The bearer key of a customer."""
    return f"key-{customer}"


def catalogue(
    slots_per_runner: int = SLOTS, **limits: float
) -> dict[str, typing.Any]:
    """A catalogue with two model entries and one plain service.

    :param slots_per_runner: how many requests a runner serves at a time.
    :param limits: the limits of the first model entry.
    """
    capacity = {
        "min_runners": 1,
        "max_runners": 12,
        "slots_per_runner": slots_per_runner,
        "machine": "small",
    }
    return {
        "customers": {
            name: {
                "key_sha256": hashlib.sha256(
                    key_of(name).encode()
                ).hexdigest(),
                "weight": 1.0,
            }
            for name in CUSTOMERS
        },
        "classes": {
            "desk": _service_class(0.6, 0, 9),
            "batch": _service_class(2.0, 8, 1),
        },
        "entries": {
            MODEL_ENTRY: _entry("desk", MODEL_POOL, capacity, limits),
            "summaries": _entry("batch", MODEL_POOL, capacity, {}),
            SERVICE_ENTRY: {
                "owner": "tests",
                "kind": "service",
                "class": "desk",
                "upstreams": {"pool": SERVICE_POOL},
                "non_idempotent": ["POST /entries"],
                "capacity": capacity,
            },
        },
    }


def _service_class(
    first_token_s: float, shed_order: int, priority: int
) -> dict[str, typing.Any]:
    return {
        "first_token_s": first_token_s,
        "between_tokens_s": 0.067,
        "deadline_s": 40,
        "queue_s": 2.0,
        "shed_order": shed_order,
        "priority": priority,
    }


def _entry(
    class_name: str,
    pool: str,
    capacity: dict[str, typing.Any],
    limits: dict[str, float],
) -> dict[str, typing.Any]:
    return {
        "owner": "tests",
        "kind": "model",
        "class": class_name,
        "model": "m",
        "version": "1",
        "upstreams": {"pool": pool},
        "limits": limits,
        "capacity": capacity,
    }


class FleetFixture:
    """A fleet under test.

    :param engines: number of engines, assigned to the data centres in turn.
    :param services: number of plain services, assigned likewise.
    :param vms: number of entry VMs, assigned likewise.
    :param timing: changes to ``TIMING``.
    :param flags: further command-line flags of each engine.
    :param slots: slots of each engine, also stated in the catalogue.
    :param sizes: the ``sizes`` in the daemons' settings.
    :param runner_relays: whether each runner is reached through a relay.
    :param store_relay: whether the object API is reached through a relay.
    """

    def __init__(
        self,
        engines: int = 3,
        services: int = 0,
        vms: int = 2,
        timing: dict[str, typing.Any] | None = None,
        flags: typing.Sequence[str] = (),
        slots: int = SLOTS,
        sizes: dict[str, typing.Any] | None = None,
        runner_relays: bool = False,
        store_relay: bool = False,
    ) -> None:
        self.fleet = fleet.Fleet({**TIMING, **(timing or {})}, sizes)
        self._pool = futures.ThreadPoolExecutor(MAX_CALLERS)
        self._running: list[futures.Future[answers.Answer]] = []
        self._numbers = itertools.count()
        self.engines = [f"engine-{i}" for i in range(engines)]
        self.services = [f"service-{i}" for i in range(services)]
        self.vms = [f"vm-{i}" for i in range(vms)]
        self.relays: dict[str, fault_relay.FaultRelay] = {}
        self._slots = slots
        self._has_runner_relays = runner_relays
        self._has_store_relay = store_relay
        try:
            self._start(flags)
        except BaseException:
            self.fleet.close()
            raise

    def close(self) -> None:
        """End every process and every relay."""
        self.fleet.close()
        for relay in self.relays.values():
            relay.close()
        self._pool.shutdown(wait=True, cancel_futures=True)

    def silence(
        self, names: typing.Iterable[str], new_too: bool = False
    ) -> int:
        """Make open connections through relays drop all data.

        :param names: the runners, or ``objects``, that the relays lead to.
        :param new_too: whether new connections drop all data as well.
        :returns: how many connections went silent.
        """
        return sum(self.relays[name].blackhole(new_too) for name in names)

    def data_centre(self, name: str) -> str:
        """The data centre of an engine or service."""
        number = int(name.rpartition("-")[2])
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def engines_in(self, data_centre: str) -> list[str]:
        """The engines of a data centre."""
        return [e for e in self.engines if self.data_centre(e) == data_centre]

    def caller(self, customer: str = CUSTOMERS[0]) -> caller.Caller:
        """A new caller with a customer's key."""
        return caller.Caller(
            self.fleet.entry_addresses, key_of(customer), idle_timeout_s=10.0
        )

    def stream(
        self,
        count: int,
        tokens: int,
        customer: str = CUSTOMERS[0],
        vm: str = "",
        words: int = WORDS,
    ) -> None:
        """Start callers that each stream one answer.

        :param count: number of callers.
        :param tokens: length of each answer, in tokens.
        :param customer: the customer whose key the callers use.
        :param vm: the entry VM that the callers try first; empty to let each
            caller choose.
        :param words: number of words in each prompt.
        """
        address = self.fleet.address(vm) if vm else ""
        for _ in range(count):
            number = next(self._numbers)
            prompt = f"mandate {number} " + "clause " * words
            body = {
                "model": MODEL_ENTRY,
                "prompt": prompt,
                "max_tokens": tokens,
                "seed": number,
                "stream": True,
            }
            sender = self.caller(customer)
            self._running.append(
                self._pool.submit(
                    sender.stream, "/v1/completions", body, address
                )
            )

    def repeat_streams(self, tokens: int) -> None:
        """Send all requests made so far again, for shorter answers.

        :param tokens: length of each answer, in tokens.
        """
        count = next(self._numbers)
        self._numbers = itertools.count()
        self.stream(count, tokens)

    def request_answers(self, count: int, tokens: int, vm: str) -> None:
        """Start callers that each request one answer without streaming."""
        address = self.fleet.address(vm)
        for _ in range(count):
            number = next(self._numbers)
            body = {
                "model": MODEL_ENTRY,
                "prompt": f"mandate {number}",
                "max_tokens": tokens,
                "seed": number,
            }
            sender = self.caller()
            self._running.append(
                self._pool.submit(
                    sender.complete_unstreamed,
                    "/v1/completions",
                    body,
                    address,
                )
            )

    def first_request_id(self, vm: str) -> str:
        """The ID of a request from an entry VM that an engine has executed.

        :param vm: name of the entry VM.
        :returns: the ID; empty when there is none.
        """
        ids = (
            request_id
            for name in self.engines
            for request_id in self.fleet.counts(name)["executions"]
        )
        from_vm = (each for each in ids if each.startswith(vm))
        return next(from_vm, "")

    def answers(self, timeout_s: float = 60.0) -> Answers:
        """Wait for all callers and return their answers."""
        received = [each.result(timeout_s) for each in self._running]
        self._running = []
        return received

    def status(self, vm: str) -> dict[str, typing.Any]:
        """The status page of an entry VM."""
        address = self.fleet.address(vm)
        return fleet.http.call(address, "GET", "/v1/status").payload

    def holder_of(self, duty: str) -> str:
        """The entry VM that holds a duty's lease; empty when none does."""
        holders = (vm for vm in self.vms if duty in self.status(vm)["duties"])
        return next(holders, "")

    def wait_running(self, count: int) -> None:
        """Wait until the entry VMs serve a number of streams.

        :param count: the number of streams.
        """

        def all_running() -> bool:
            counts = [self.status(vm)["streams"] for vm in self.vms]
            return sum(counts) >= count

        fleet.wait_for(all_running)
        time.sleep(0.4)

    def recomputed_tokens(self) -> int:
        """Number of tokens that engines still running computed again."""
        running = [
            name for name in self.engines if self.fleet.process(name).running
        ]
        return sum(
            self.fleet.counts(name)["recomputed_total"] for name in running
        )

    def _start(self, flags: typing.Sequence[str]) -> None:
        fleet_ = self.fleet
        self._start_platform()
        fleet_.start_engines(
            self.engines,
            MODEL_POOL,
            DATA_CENTRES,
            flags=["--step-ms", STEP_MS, "--slots", str(self._slots), *flags],
            register=not self._has_runner_relays,
        )
        fleet_.start_services(
            self.services,
            SERVICE_POOL,
            DATA_CENTRES,
            register=not self._has_runner_relays,
        )
        if self._has_runner_relays:
            self._add_relays(self.engines, MODEL_POOL)
            self._add_relays(self.services, SERVICE_POOL)
        fleet_.put_catalogue(catalogue(self._slots))
        fleet_.start_daemons(
            dict(zip(self.vms, itertools.cycle(DATA_CENTRES)))
        )
        fleet.wait_for(self._ready)

    def _start_platform(self) -> None:
        self.fleet.start_platform()
        if self._has_store_relay:
            relay = fault_relay.FaultRelay(self.fleet.address("objects"))
            self.relays["objects"] = relay
            self.fleet.node("objects").address = relay.address

    def _add_relays(self, names: typing.Sequence[str], pool: str) -> None:
        for name in names:
            relay = fault_relay.FaultRelay(self.fleet.address(name))
            self.relays[name] = relay
            self.fleet.register_runner(
                name, pool, self.data_centre(name), address=relay.address
            )

    def _ready(self) -> bool:
        runner_count = len(self.engines) + len(self.services)
        pages = [self.status(vm) for vm in self.vms]
        return all(
            page.get("catalogue_version")
            and len(page["runners"]) == runner_count
            and len(page["peers"]) == len(self.vms)
            for page in pages
        )


def problems(received: Answers) -> list[str]:
    """Descriptions of the answers that are wrong."""
    return [answer.problem for answer in received if answer.problem]
