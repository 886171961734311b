"""Simulated entry VMs, store and upstream with faults chosen by the test.

A test chooses which message arrives next, which answer is lost and which VM
crashes. The fleet checks each answer of a ledger when it is given.
"""

import collections
import random
import typing

from apricotlever import clock
from apricotlever.requests import claims
from apricotlever.requests import ledger_entries
from apricotlever.requests import ledger_messages
from apricotlever.requests import ledger_state

HOPS_MAX = 3
START_INCARNATION = 100


class Call:
    """A call of a caller, who may send it several times.

    :param first: the caller guarantees that it never sent the key before.
    :param hops: number of times that the call was forwarded.
    """

    def __init__(
        self,
        customer: str,
        key: str,
        digest: str,
        first: bool = False,
        hops: int = 0,
    ) -> None:
        self.customer = customer
        self.key = key
        self.digest = digest
        self.first = first
        self.hops = hops

    @property
    def name(self) -> tuple[str, str]:
        return (self.customer, self.key)

    @property
    def call_name(self) -> tuple[str, str, str]:
        return (self.customer, self.key, self.digest)


class Attempt:
    """A run of a call: reserved, then sent, then executed."""

    def __init__(self, process: "Process", token: int, call: Call) -> None:
        self.process = process
        self.token = token
        self.call = call
        self.on_wire = False
        self.body: bytes | None = None


class Process:
    """One incarnation of an entry VM."""

    def __init__(
        self, ledger: typing.Any, claiming: claims.ClaimBatcher
    ) -> None:
        self.ledger = ledger
        self.claims = claiming
        self.calls: dict[int, Call] = {}


class Message:
    """A message to another incarnation."""

    def __init__(
        self,
        target: ledger_messages.VmIncarnation,
        deliver: typing.Callable[[Process], None],
    ) -> None:
        self.target = target
        self.deliver = deliver


class Store:
    """A store of objects with versions."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, dict]] = {}
        self.down = False
        self.writes = 0

    def write(self, action: claims.WriteBucket) -> int | None:
        """Write if the version matches.

        :returns: the new version, or None if the version doesn't match.
        """
        version = self.objects.get(action.name, (None, {}))[0]
        if version != action.expected_version:
            return None
        self.writes += 1
        self.objects[action.name] = (self.writes, action.value)
        return self.writes


class SimulatedFleet:
    """Entry VMs with one store and one upstream.

    :param make_ledger: creates the ledger of an incarnation.
    """

    def __init__(
        self,
        make_ledger: typing.Callable[..., typing.Any],
        limits: ledger_entries.LedgerLimits,
        vms: tuple[str, ...] = ("a", "b", "c"),
    ) -> None:
        self.make_ledger = make_ledger
        self.limits = limits
        self.clock = clock.ManualClock()
        self.store = Store()
        self.live: dict[str, Process] = {}
        self.incarnations = START_INCARNATION
        self.attempts: list[Attempt] = []
        self.store_calls: list[tuple[Process, claims.Action]] = []
        self.late_writes: list[claims.WriteBucket] = []
        self.network: list[Message] = []
        self.successors: dict[
            ledger_messages.VmIncarnation, ledger_messages.VmIncarnation
        ] = {}
        self.runs: collections.Counter = collections.Counter()
        self.sent: set[tuple[str, str, str]] = set()
        self.answers: dict[tuple[str, str], bytes] = {}
        self.calls: list[Call] = []
        self.known_keys: set[tuple[str, str]] = set()
        self.decisions: list[ledger_messages.KeyDecision] = []
        for vm in vms:
            self.start(vm)

    def start(self, vm: str) -> Process:
        self.incarnations += 1
        ledger = self.make_ledger(
            self.clock,
            random.Random(self.incarnations),
            vm,
            self.incarnations,
            self.limits,
        )
        self.live[vm] = Process(
            ledger, claims.ClaimBatcher(self.clock, buckets=1)
        )
        return self.live[vm]

    def crash(self, vm: str) -> None:
        self.live.pop(vm, None)

    def call(self, vm: str, call: Call, forwarded: bool = False) -> None:
        process = self.live.get(vm)
        if process is None:
            return
        self.known_keys.add(call.name)
        self.calls.append(call)
        decision = process.ledger.begin(
            call.key, call.customer, call.digest, call.first, forwarded
        )
        self._answer(process, call, decision)

    def _answer(
        self,
        process: Process,
        call: Call,
        decision: ledger_messages.KeyDecision,
    ) -> None:
        self.decisions.append(decision)
        if isinstance(decision, ledger_messages.RunCall):
            self.attempts.append(Attempt(process, decision.token, call))
        elif isinstance(decision, ledger_messages.ClaimKey):
            process.calls[decision.token] = call
            self._do(process, process.claims.claim(decision))
        elif isinstance(decision, ledger_messages.ForwardCall):
            self._forward(decision, call)
        elif isinstance(decision, ledger_messages.ReplayAnswer):
            self._check_answer(call, decision.answer.body)
        elif isinstance(decision, ledger_messages.RefuseCall):
            self._check_refusal(call, decision)

    def _forward(
        self, decision: ledger_messages.ForwardCall, call: Call
    ) -> None:
        if call.hops >= HOPS_MAX:
            return
        onward = Call(
            call.customer, call.key, call.digest, call.first, call.hops + 1
        )
        owner = ledger_messages.VmIncarnation(
            decision.vm, decision.incarnation
        )
        self.network.append(
            Message(owner, lambda _: self.call(owner.vm, onward, True))
        )

    def _check_answer(self, call: Call, body: bytes) -> None:
        first_body = self.answers.setdefault(call.name, body)
        assert first_body == body, "a replay differs from the answer"
        expected_prefix = "|".join(call.call_name).encode()
        assert body.startswith(
            expected_prefix
        ), "the answer belongs to another call"

    def _check_refusal(
        self, call: Call, refusal: ledger_messages.RefuseCall
    ) -> None:
        if call.first and self._sent_again(call):
            # The caller guaranteed a first send and has sent the key again
            # since, so it ignores this answer.
            return
        if refusal.executed is ledger_messages.Executed.NO:
            assert (
                call.call_name not in self.sent
            ), "refused as not executed, but it was sent"
        if refusal.executed is ledger_messages.Executed.YES:
            assert self.runs[
                call.name
            ], "refused as executed, but it never ran"

    def _sent_again(self, call: Call) -> bool:
        sends = [each for each in self.calls if each.name == call.name]
        return any(each.hops == 0 for each in sends[1:])

    def _do(self, process: Process, actions: list[claims.Action]) -> None:
        for action in actions:
            if not isinstance(action, claims.DeliverResult):
                self.store_calls.append((process, action))
                continue
            call = process.calls.pop(action.result.token)
            decision = process.ledger.on_claim_result(action.result)
            self._answer(process, call, decision)

    def store_answers(self, index: int, fault: str) -> None:
        """Complete one call to the store.

        :param index: position of the call in ``store_calls``.
        :param fault: empty, or what happens to a write whose answer is lost:
            ``applied``, ``lost`` or ``late``. A read fails with any fault.
        """
        process, action = self.store_calls.pop(index)
        if self.store.down:
            self._do(process, process.claims.on_failure(action.name))
        elif isinstance(action, claims.ReadBucket):
            self._read(process, action, fault)
        else:
            self._write(process, action, fault)

    def _read(
        self, process: Process, action: claims.ReadBucket, fault: str
    ) -> None:
        stored = self.store.objects.get(action.name)
        if fault:
            self._do(process, process.claims.on_failure(action.name))
        elif stored is None:
            self._do(process, process.claims.on_missing(action.name))
        else:
            self._do(process, process.claims.on_read(action.name, *stored))

    def _write(
        self, process: Process, action: claims.WriteBucket, fault: str
    ) -> None:
        if fault == "late":
            self.late_writes.append(action)
        version = (
            None if fault in ("late", "lost") else self.store.write(action)
        )
        if fault:
            self._do(process, process.claims.on_ambiguous_write(action.name))
        elif version is None:
            self._do(process, process.claims.on_conflict(action.name))
        else:
            self._do(process, process.claims.on_written(action.name, version))

    def send(self, index: int) -> None:
        """Let a worker send its call if the ledger allows it."""
        attempt = self.attempts[index]
        if not self._is_live(attempt.process):
            self.attempts.pop(index)
        elif attempt.process.ledger.start_sending(attempt.token):
            if attempt.on_wire:
                again = Attempt(attempt.process, attempt.token, attempt.call)
                again.on_wire = True
                self.attempts.append(again)
            attempt.on_wire = True
            self.sent.add(attempt.call.call_name)
        else:
            self.attempts.pop(index)
            self.call(attempt.process.ledger.me.vm, attempt.call)

    def execute(self, index: int) -> None:
        """Deliver a call to the upstream, possibly much later."""
        attempt = self.attempts[index]
        if not attempt.on_wire or attempt.body is not None:
            return
        name = attempt.call.name
        self.runs[name] += 1
        assert self.runs[name] == 1, f"{name} ran twice"
        text = "|".join(attempt.call.call_name)
        attempt.body = f"{text}|{self.runs[name]}".encode()

    def report(self, index: int) -> None:
        """Let a worker report the outcome of its call to the ledger."""
        attempt = self.attempts[index]
        ledger = attempt.process.ledger
        if not self._is_live(attempt.process):
            self.attempts.pop(index)
        elif not attempt.on_wire:
            self.attempts.pop(index)
            ledger.record_not_sent(attempt.token)
        elif attempt.body is not None:
            self.attempts.pop(index)
            answer = ledger_messages.Answer(200, (), attempt.body)
            if ledger.record_answer(attempt.token, answer):
                self._check_answer(attempt.call, attempt.body)
        else:
            ledger.record_lost_answer(attempt.token)

    def vanish(self, index: int) -> None:
        """Lose a run, whether or not its call was sent."""
        self.attempts.pop(index)

    def hand_over(self, vm: str, successor: str) -> None:
        source = self.live[vm]
        target = self.live[successor].ledger.me
        state = source.ledger.export_to(target.vm, target.incarnation)
        data = ledger_state.encode(state)

        def deliver(process: Process) -> None:
            receipt = process.ledger.adopt(ledger_state.decode(data))
            self.network.append(
                Message(
                    state.sender,
                    lambda _: self._receipt(source, receipt),
                )
            )

        self.network.append(Message(target, deliver))

    def _receipt(
        self, source: Process, receipt: ledger_state.LedgerReceipt
    ) -> None:
        source.ledger.transfer.apply_receipt(receipt)
        if source.ledger.transfer.confirmed:
            self.successors[receipt.sender] = source.ledger.transfer.successor

    def send_outcomes(self, vm: str) -> None:
        source = self.live[vm]
        settled = source.ledger.transfer.pending_outcomes()
        data = ledger_state.encode_settled(settled)
        successor = source.ledger.transfer.successor
        if successor is None or not settled:
            return

        def deliver(process: Process) -> None:
            if process.ledger.me != successor:
                return
            process.ledger.settle_remote_calls(
                ledger_state.decode_settled(data)
            )
            source.ledger.transfer.acknowledge_outcomes(settled)

        self.network.append(Message(successor, deliver))

    def arrive(self, index: int, again: bool) -> None:
        """Deliver a message to the current incarnation of its target VM.

        :param again: whether the message is delivered once more later.
        """
        message = self.network[index] if again else self.network.pop(index)
        process = self.live.get(message.target.vm)
        if process is not None:
            message.deliver(process)

    def _is_live(self, process: Process) -> bool:
        return process in self.live.values()
