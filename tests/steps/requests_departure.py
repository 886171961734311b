"""Steps for tests/requests/departure.feature."""

import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock
from apricotlever.requests import departure
from apricotlever.requests import handover
from apricotlever.requests import intake
from apricotlever.requests import ledger
from apricotlever.requests import ledger_state
from apricotlever.requests import messages
from apricotlever.requests import records

ME = messages.Owner("a", 1)
FATES = ("taken", "taken", "taken", "part lost", "receipt lost", "peer dies")
STEPS_MAX = 400


def _records(count):
    store = records.Records(clock.ManualClock())
    return [
        store.open(f"a.1.{number:x}", "notary", "drafts", "/", b"body", False)
        for number in range(count)
    ]


class _Scene:
    """A leaving VM and three peers, driven by a list of fates."""

    def __init__(self, count, eager=False):
        self.clock = clock.ManualClock()
        self.ledger = ledger.Ledger(self.clock, random.Random(1), "a", 1)
        self.key = self.ledger.mint("notary")
        self.leaving = departure.Departure(
            self.clock, ME, "sala-a", self.clock.now() + 60
        )
        self.running = _records(count)
        self.eager = eager
        self.intakes, self.held, self.ledgers = {}, {}, {}
        for number, vm in enumerate("bcd"):
            owner = messages.Owner(vm, 1)
            self.intakes[owner] = intake.Intake(owner)
            self.held[owner] = set()
            self.ledgers[owner] = ledger.Ledger(
                self.clock, random.Random(number), vm, 1
            )
        self.parts, self.told, self.finished = [], {}, None

    def peers(self):
        return [
            departure.Peer(owner, f"sala-{owner.vm}") for owner in self.intakes
        ]

    def run(self, fates):
        self.do(self.leaving.begin(self.peers(), self.running, []))
        fates = iter(fates)
        for _ in range(STEPS_MAX):
            if self.finished is not None:
                break
            if self.parts:
                self.deliver(self.parts.pop(0), next(fates, "taken"))
            else:
                self.clock.advance(departure.RESEND_S)
                self.do(self.leaving.tick())

    def do(self, actions):
        for action in actions:
            if isinstance(action, departure.Send):
                self.parts.append(action.part)
                if self.eager:
                    rows = handover.decode_records(action.part.payload)
                    self.tell([row.request_id for row in rows], action.part)
            elif isinstance(action, departure.TellMoved):
                for request_id in action.request_ids:
                    self.told[request_id] = action.vm
                    self.check(request_id)
            elif isinstance(action, departure.ExportLedger):
                heir = action.heir
                state = self.ledger.hand_over(heir.vm, heir.incarnation)
                self.do(self.leaving.exported(state))
            elif isinstance(action, departure.LedgerReceived):
                self.ledger.succession.receipt(action.receipt)
            elif isinstance(action, departure.Finished):
                self.finished = action.complete

    def tell(self, request_ids, part):
        for request_id in request_ids:
            self.told[request_id] = part.heir.vm
            self.check(request_id)

    def check(self, request_id):
        owner = messages.Owner(self.told[request_id], 1)
        assert request_id in self.held[owner], "told before it is there"

    def deliver(self, part, fate):
        if fate == "peer dies" and len(self.intakes) > 1:
            self.intakes.pop(part.heir, None)
        taker = self.intakes.get(part.heir)
        if taker is None:
            self.do(self.leaving.peer_gone(part.heir))
        elif fate != "part lost":
            self.take(part.heir, taker.receive(handover.encode(part)))
            if fate != "receipt lost":
                self.do(self.leaving.receipt(part.sequence))

    def take(self, owner, taken):
        if isinstance(taken, intake.AdoptRecords):
            names = {row.request_id for row in taken.records}
            self.held[owner] |= names
        elif isinstance(taken, intake.AdoptLedger):
            self.ledgers[owner].adopt(taken.state)


def _random_scenes(check):
    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=200
    )
    @hypothesis.given(
        strategies.integers(0, 12),
        strategies.lists(strategies.sampled_from(FATES), max_size=40),
    )
    def run(count, fates):
        scene = _Scene(count)
        scene.run(fates)
        check(scene)

    run()


@then("in random handovers each caller is told where its request is")
def _told(context):
    def check(scene):
        assert scene.finished, "it ends complete, for one peer stays"
        wanted = {record.request_id for record in scene.running}
        assert set(scene.told) == wanted

    _random_scenes(check)


@then("in random handovers one peer at most may run the keys")
def _one_heir(context):
    def check(scene):
        may = [
            owner
            for owner, each in scene.ledgers.items()
            if isinstance(each.begin(scene.key, "notary", "d"), messages.Run)
        ]
        assert len(may) <= 1, may

    _random_scenes(check)


@then("telling callers at once fails in some handover")
def _too_early(context):
    try:
        _Scene(3, eager=True).run([])
    except AssertionError:
        return
    raise AssertionError("the eager departure was not caught")


@given('a departure from "{data_centre}" with {count:d} running requests')
def _departure(context, data_centre, count):
    manual = clock.ManualClock()
    context.departure = departure.Departure(
        manual, ME, data_centre, manual.now() + 60
    )
    context.running = _records(count)
    context.peers = []


@given('peers "{b}" in "{in_b}", "{c}" in "{in_c}" and "{d}" in "{in_d}"')
def _peers(context, b, in_b, c, in_c, d, in_d):
    context.peers = [
        departure.Peer(messages.Owner(vm, 1), data_centre)
        for vm, data_centre in ((b, in_b), (c, in_c), (d, in_d))
    ]


@when("the departure begins")
def _begin(context):
    context.actions = context.departure.begin(
        context.peers, context.running, []
    )


@then('its parts go to "{one}" and "{other}" only')
def _targets(context, one, other):
    heirs = {
        action.part.heir.vm
        for action in context.actions
        if isinstance(action, departure.Send)
    }
    assert heirs == {one, other}, heirs


@then("it is finished, incomplete")
def _incomplete(context):
    assert not context.actions[-1].complete


texts = strategies.text(max_size=9)


@then("any record and ledger come out of their encoding as they went in")
def _codec(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        texts, strategies.binary(max_size=9), strategies.lists(texts)
    )
    def check(text, body, tokens):
        record = records.Record(text, text, text, text, body, True, 0.0)
        record.tokens = tokens
        answer = messages.Answer(200, ((text, text),), body)
        record.outcome = records.Outcome(messages.Executed.YES, None, answer)
        data = handover.encode_records([record])
        (back,) = handover.decode_records(data)
        assert back.body == body and back.tokens == tokens
        assert back.outcome.answer.body == body
        assert handover.encode_records([back]) == data
        source = ledger.Ledger(clock.ManualClock(), random.Random(1), "a", 1)
        run = source.begin(source.mint(text), text, text)
        source.sent(run.token)
        source.finished(run.token, answer)
        state = ledger_state.encode(source.hand_over("b", 2))
        again = ledger_state.encode(ledger_state.decode(state))
        assert again == state

    check()
