"""State machine that searches for faults which run a call twice."""

import itertools
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from apricotlever.requests import ledger_entries
from tests.requests import simulated_fleet

VMS = ("a", "b", "c")
PAIRS = tuple(itertools.permutations(VMS, 2))
CUSTOMERS = ("notary", "lounge")
DIGESTS = ("register", "revoke")
CALLER_KEYS = ("order-1",)
KEYS_MAX = 6
FAULTS = ("", "", "", "applied", "lost", "late")
WORKER_STEPS = (
    ("send",),
    ("send", "execute"),
    ("send", "execute", "report"),
    ("send", "report"),
    ("execute",),
    ("execute", "report"),
    ("report",),
    ("vanish",),
)
INITIAL_STATES = (
    "nothing",
    "handover",
    "send, handover",
    "send, wire, handover",
    "claim",
    "claim, handover",
)
PAUSES_S = (0.3, 70.0, 700.0, 4000.0)

SMALL_LIMITS = ledger_entries.LedgerLimits(
    minted_key_life_s=3600.0,
    caller_key_life_s=7200.0,
    entries_max=4,
    answers_max=2,
    answer_retention_s=600.0,
    unsent_timeout_s=60.0,
    run_timeout_s=600.0,
)

vms = strategies.sampled_from(VMS)
numbers = strategies.integers(0, 20)
booleans = strategies.booleans()


def _has(name: str) -> typing.Callable[[typing.Any], bool]:
    return lambda machine: bool(getattr(machine.fleet, name))


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Steps of callers, VMs, the store and the upstream in random order."""

    make_ledger: typing.Any = None

    def __init__(self) -> None:
        super().__init__()
        self.fleet = simulated_fleet.SimulatedFleet(
            type(self).make_ledger, SMALL_LIMITS, VMS
        )
        self.keys = [
            (customer, key) for customer in CUSTOMERS for key in CALLER_KEYS
        ]
        self.mint(VMS[0], CUSTOMERS[0])

    @stateful.initialize(initial_state=strategies.sampled_from(INITIAL_STATES))
    def open(self, initial_state: str) -> None:
        """Start from a state that is close to known faults."""
        if "send" in initial_state:
            self.call(
                VMS[0], 0, DIGESTS[0], other_customer=False, first_send=False
            )
        if "wire" in initial_state:
            self.work(0, ("send",))
        if "claim" in initial_state:
            self.call(
                VMS[0], 1, DIGESTS[0], other_customer=False, first_send=False
            )
            self.fleet.store_answers(0, "")
        if "handover" in initial_state:
            self.hand_over(PAIRS[0], at_once=True)

    @stateful.rule(vm=vms, customer=strategies.sampled_from(CUSTOMERS))
    def mint(self, vm: str, customer: str) -> None:
        process = self.fleet.live.get(vm)
        full = len(self.keys) >= KEYS_MAX
        if process is not None and not process.ledger.frozen and not full:
            self.keys.append((customer, process.ledger.mint(customer)))

    @stateful.rule(
        vm=vms,
        number=numbers,
        digest=strategies.sampled_from(DIGESTS[:1] * 7 + DIGESTS[1:]),
        other_customer=strategies.sampled_from((False,) * 7 + (True,)),
        first_send=booleans,
    )
    def call(
        self,
        vm: str,
        number: int,
        digest: str,
        other_customer: bool,
        first_send: bool,
    ) -> None:
        customer, key = self.keys[-1 - number % len(self.keys)]
        if other_customer:
            customer = CUSTOMERS[1 - CUSTOMERS.index(customer)]
        first = first_send and (customer, key) not in self.fleet.known_keys
        self.fleet.call(vm, simulated_fleet.Call(customer, key, digest, first))

    @stateful.precondition(_has("calls"))
    @stateful.rule(vm=vms, number=numbers, settle=booleans)
    def resend(self, vm: str, number: int, settle: bool) -> None:
        call = self.fleet.calls[-1 - number % len(self.fleet.calls)]
        self.fleet.call(
            vm, simulated_fleet.Call(call.customer, call.key, call.digest)
        )
        if settle:
            self.store_answers_all()

    @stateful.precondition(_has("calls"))
    @stateful.rule()
    def resend_everywhere(self) -> None:
        call = self.fleet.calls[-1]
        for each in VMS:
            again = simulated_fleet.Call(call.customer, call.key, call.digest)
            self.fleet.call(each, again)

    @stateful.precondition(_has("attempts"))
    @stateful.rule(steps=strategies.sampled_from(WORKER_STEPS))
    def work_on_all(self, steps: tuple[str, ...]) -> None:
        for number in reversed(range(len(self.fleet.attempts))):
            if self.fleet.attempts:
                self.work(number, steps)

    @stateful.precondition(_has("attempts"))
    @stateful.rule(steps=strategies.sampled_from(WORKER_STEPS))
    def work_on_newest(self, steps: tuple[str, ...]) -> None:
        self.work(0, steps)

    @stateful.precondition(_has("attempts"))
    @stateful.rule(number=numbers, steps=strategies.sampled_from(WORKER_STEPS))
    def work(self, number: int, steps: tuple[str, ...]) -> None:
        attempts = self.fleet.attempts
        attempt = attempts[-1 - number % len(attempts)]
        for step in steps:
            if attempt in attempts:
                getattr(self.fleet, step)(attempts.index(attempt))

    @stateful.precondition(_has("store_calls"))
    @stateful.rule(number=numbers, fault=strategies.sampled_from(FAULTS))
    def store_answers(self, number: int, fault: str) -> None:
        index = number % len(self.fleet.store_calls)
        self.fleet.store_answers(index, fault)

    @stateful.precondition(_has("late_writes"))
    @stateful.rule(number=numbers)
    def late_write(self, number: int) -> None:
        writes = self.fleet.late_writes
        self.fleet.store.write(writes.pop(number % len(writes)))

    @stateful.rule(down=strategies.sampled_from((False, False, True)))
    def outage(self, down: bool) -> None:
        self.fleet.store.down = down

    @stateful.precondition(_has("network"))
    @stateful.rule(number=numbers, again=booleans)
    def arrive(self, number: int, again: bool) -> None:
        self.fleet.arrive(number % len(self.fleet.network), again)

    @stateful.precondition(_has("network"))
    @stateful.rule()
    def arrive_all(self) -> None:
        for _ in range(len(self.fleet.network)):
            self.fleet.arrive(0, again=False)

    @stateful.precondition(_has("store_calls"))
    @stateful.rule()
    def store_answers_all(self) -> None:
        for _ in range(len(self.fleet.store_calls)):
            self.fleet.store_answers(0, "")

    @stateful.precondition(_has("network"))
    @stateful.rule(number=numbers)
    def drop(self, number: int) -> None:
        self.fleet.network.pop(number % len(self.fleet.network))

    @stateful.rule(vm=vms, really=strategies.integers(0, 3))
    def crash(self, vm: str, really: int) -> None:
        if vm not in self.fleet.live:
            self.fleet.start(vm)
        elif really == 3:
            self.fleet.crash(vm)

    @stateful.rule(pair=strategies.sampled_from(PAIRS), at_once=booleans)
    def hand_over(self, pair: tuple[str, str], at_once: bool) -> None:
        if all(vm in self.fleet.live for vm in pair):
            self.fleet.hand_over(*pair)
            if at_once:
                self.fleet.arrive(len(self.fleet.network) - 1, again=False)

    @stateful.precondition(_has("successors"))
    @stateful.rule()
    def send_outcomes(self) -> None:
        for vm in self.fleet.live:
            self.fleet.send_outcomes(vm)

    @stateful.rule(vm=vms, other=vms, truth=booleans)
    def hear_of(self, vm: str, other: str, truth: bool) -> None:
        process = self.fleet.live.get(vm)
        if process is None:
            return
        subject = self.fleet.live.get(other)
        if subject is not None and truth:
            me = subject.ledger.me
            process.ledger.on_incarnation_alive(me.vm, me.incarnation)
        elif subject is not None:
            # A false suspicion: the VM was only slow.
            process.ledger.on_incarnation_gone(
                other, subject.ledger.me.incarnation
            )
        for owner, successor in self.fleet.successors.items():
            process.ledger.on_ledger_transferred(owner, successor)

    @stateful.rule(seconds=strategies.sampled_from(PAUSES_S))
    def pause(self, seconds: float) -> None:
        self.fleet.clock.advance(seconds)
        for process in self.fleet.live.values():
            process.ledger.tick()


def check_at_most_once(
    make_ledger: typing.Any, examples: int, steps: int
) -> None:
    """Search for a sequence of steps that runs a call twice.

    :param make_ledger: a class with the ledger's interface.
    :param examples: number of sequences.
    :param steps: maximum number of steps in a sequence.
    :raises AssertionError: if a sequence runs a call twice or makes the
        ledger give a false answer.
    """
    machine = type("Machine", (AtMostOnce,), {"make_ledger": make_ledger})
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=examples,
            stateful_step_count=steps,
            phases=[hypothesis.Phase.generate],
            report_multiple_bugs=False,
            suppress_health_check=list(hypothesis.HealthCheck),
            print_blob=False,
        ),
    )
