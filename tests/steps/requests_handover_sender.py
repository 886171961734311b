"""Steps for tests/requests/handover_sender.feature."""

import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock
from apricotlever.requests import handover_parts
from apricotlever.requests import handover_receiver
from apricotlever.requests import handover_sender
from apricotlever.requests import ledger
from apricotlever.requests import ledger_messages
from apricotlever.requests import ledger_state
from apricotlever.requests import records

ME = ledger_messages.VmIncarnation("a", 1)
DELIVERIES = (
    "taken",
    "taken",
    "taken",
    "part lost",
    "receipt lost",
    "peer crashes",
)
STEPS_MAX = 400


def _records(count):
    store = records.RequestRecords(clock.ManualClock())
    return [
        store.open(f"a.1.{number:x}", "notary", "drafts", "/", b"body", False)
        for number in range(count)
    ]


class _HandoverSimulation:
    """A leaving VM and three peers.

    :param redirect_at_once: whether callers are redirected before a receipt.
    """

    def __init__(self, count, redirect_at_once=False):
        self.clock = clock.ManualClock()
        self.ledger = ledger.Ledger(self.clock, random.Random(1), "a", 1)
        self.key = self.ledger.mint("notary")
        self.leaving = handover_sender.HandoverSender(
            self.clock, ME, "sala-a", self.clock.now() + 60
        )
        self.running = _records(count)
        self.redirect_at_once = redirect_at_once
        self.receivers, self.adopted, self.ledgers = {}, {}, {}
        for number, vm in enumerate("bcd"):
            owner = ledger_messages.VmIncarnation(vm, 1)
            self.receivers[owner] = handover_receiver.HandoverReceiver(owner)
            self.adopted[owner] = set()
            self.ledgers[owner] = ledger.Ledger(
                self.clock, random.Random(number), vm, 1
            )
        self.parts, self.redirected, self.finished = [], {}, None

    def peers(self):
        return [
            handover_sender.Peer(owner, f"sala-{owner.vm}")
            for owner in self.receivers
        ]

    def run(self, deliveries):
        self.do(self.leaving.start(self.peers(), self.running, []))
        deliveries = iter(deliveries)
        for _ in range(STEPS_MAX):
            if self.finished is not None:
                break
            if self.parts:
                self.deliver(self.parts.pop(0), next(deliveries, "taken"))
            else:
                self.clock.advance(handover_sender.RESEND_INTERVAL_S)
                self.do(self.leaving.tick())

    def do(self, actions):
        for action in actions:
            if isinstance(action, handover_sender.SendPart):
                self.parts.append(action.part)
                if self.redirect_at_once:
                    rows = handover_parts.decode_records(action.part.payload)
                    self.redirect(
                        [row.request_id for row in rows], action.part
                    )
            elif isinstance(action, handover_sender.RedirectCallers):
                for request_id in action.request_ids:
                    self.redirected[request_id] = action.vm
                    self.check_adopted(request_id)
            elif isinstance(action, handover_sender.ExportLedger):
                owner = action.successor
                state = self.ledger.export_to(owner.vm, owner.incarnation)
                self.do(self.leaving.on_exported(state))
            elif isinstance(action, handover_sender.DeliverReceipt):
                self.ledger.transfer.apply_receipt(action.receipt)
            elif isinstance(action, handover_sender.HandoverFinished):
                self.finished = action.complete

    def redirect(self, request_ids, part):
        for request_id in request_ids:
            self.redirected[request_id] = part.successor.vm
            self.check_adopted(request_id)

    def check_adopted(self, request_id):
        owner = ledger_messages.VmIncarnation(self.redirected[request_id], 1)
        assert (
            request_id in self.adopted[owner]
        ), "redirected before the peer has the request"

    def deliver(self, part, delivery):
        if delivery == "peer crashes" and len(self.receivers) > 1:
            self.receivers.pop(part.successor, None)
        receiver = self.receivers.get(part.successor)
        if receiver is None:
            self.do(self.leaving.on_peer_gone(part.successor))
        elif delivery != "part lost":
            self.adopt(
                part.successor, receiver.receive(handover_parts.encode(part))
            )
            if delivery != "receipt lost":
                self.do(self.leaving.on_receipt(part.sequence))

    def adopt(self, owner, taken):
        if isinstance(taken, handover_receiver.AdoptRecords):
            names = {row.request_id for row in taken.records}
            self.adopted[owner] |= names
        elif isinstance(taken, handover_receiver.AdoptLedger):
            self.ledgers[owner].adopt(taken.state)


def _simulate_random_handovers(check):
    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=200
    )
    @hypothesis.given(
        strategies.integers(0, 12),
        strategies.lists(strategies.sampled_from(DELIVERIES), max_size=40),
    )
    def run(count, deliveries):
        simulation = _HandoverSimulation(count)
        simulation.run(deliveries)
        check(simulation)

    run()


@then("in random handovers each caller is redirected to its request")
def _redirected(context):
    def check(simulation):
        assert simulation.finished, "incomplete although one peer is left"
        expected = {record.request_id for record in simulation.running}
        assert set(simulation.redirected) == expected

    _simulate_random_handovers(check)


@then("in random handovers at most one peer may run the keys")
def _one_successor(context):
    def check(simulation):
        runnable_on = [
            owner
            for owner, each in simulation.ledgers.items()
            if isinstance(
                each.begin(simulation.key, "notary", "d"),
                ledger_messages.RunCall,
            )
        ]
        assert len(runnable_on) <= 1, runnable_on

    _simulate_random_handovers(check)


@then("redirecting callers at once fails in some handover")
def _too_early(context):
    try:
        _HandoverSimulation(3, redirect_at_once=True).run([])
    except AssertionError:
        return
    raise AssertionError("redirecting at once caused no failure")


@given('a handover from "{data_centre}" with {count:d} running requests')
def _handover(context, data_centre, count):
    manual = clock.ManualClock()
    context.handover = handover_sender.HandoverSender(
        manual, ME, data_centre, manual.now() + 60
    )
    context.running = _records(count)
    context.peers = []


@given('peers "{b}" in "{in_b}", "{c}" in "{in_c}" and "{d}" in "{in_d}"')
def _peers(context, b, in_b, c, in_c, d, in_d):
    context.peers = [
        handover_sender.Peer(ledger_messages.VmIncarnation(vm, 1), data_centre)
        for vm, data_centre in ((b, in_b), (c, in_c), (d, in_d))
    ]


@when("the handover starts")
def _begin(context):
    context.actions = context.handover.start(
        context.peers, context.running, []
    )


@then('its parts go to "{one}" and "{other}" only')
def _targets(context, one, other):
    successors = {
        action.part.successor.vm
        for action in context.actions
        if isinstance(action, handover_sender.SendPart)
    }
    assert successors == {one, other}, successors


@then("the handover ends incomplete")
def _incomplete(context):
    assert not context.actions[-1].complete


texts = strategies.text(max_size=9)


@then("any record and ledger are decoded as they were encoded")
def _codec(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        texts, strategies.binary(max_size=9), strategies.lists(texts)
    )
    def check(text, body, tokens):
        record = records.RequestRecord(text, text, text, text, body, True, 0.0)
        record.tokens = tokens
        answer = ledger_messages.Answer(200, ((text, text),), body)
        record.outcome = records.RequestOutcome(
            ledger_messages.Executed.YES, None, answer
        )
        data = handover_parts.encode_records([record])
        (back,) = handover_parts.decode_records(data)
        assert back.body == body and back.tokens == tokens
        assert back.outcome.answer.body == body
        assert handover_parts.encode_records([back]) == data
        source = ledger.Ledger(clock.ManualClock(), random.Random(1), "a", 1)
        run = source.begin(source.mint(text), text, text)
        source.start_sending(run.token)
        source.record_answer(run.token, answer)
        state = ledger_state.encode(source.export_to("b", 2))
        again = ledger_state.encode(ledger_state.decode(state))
        assert again == state

    check()
