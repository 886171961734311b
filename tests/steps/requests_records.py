"""Steps for tests/requests/records.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever import clock
from apricotlever.requests import ledger_messages
from apricotlever.requests import records

NAME = "vm.1.a"
ENDED_MAX = 3
RUNNING_BYTES = 40
BODY = b"0123456789"


def _open(store, name, customer):
    path = "/v1/completions"
    return store.open(name, customer, "drafts", path, BODY, False)


@given('a record of customer "{customer}" with {count:d} tokens')
def _record(context, customer, count):
    context.record_clock = clock.ManualClock()
    context.records = records.RequestRecords(context.record_clock)
    record = _open(context.records, NAME, customer)
    record.tokens.extend(f"t{number}" for number in range(count))


@when("the record ends")
def _end(context):
    context.records.end(
        NAME, records.RequestOutcome(ledger_messages.Executed.YES)
    )


@when('the record is moved to VM "{vm}"')
def _move(context, vm):
    context.records.record_move(NAME, vm)


@when("{seconds:d} seconds pass for the records")
def _pass(context, seconds):
    context.record_clock.advance(seconds)
    context.records.expire()


@then('customer "{customer}" finds no such record')
def _nothing(context, customer):
    found = context.records.resume(NAME, customer, None)
    assert isinstance(found, records.ResumeNotFound)


@then(
    'customer "{customer}" resumes it after token {last:d} with '
    'tokens "{tokens}"'
)
def _resumed(context, customer, last, tokens):
    found = context.records.resume(NAME, customer, last)
    assert isinstance(found, records.ResumeRunning)
    assert found.first_index == last + 1
    assert found.tokens == tuple(tokens.split())


@then(
    'customer "{customer}" resumes it after token {last:d} with ' 'tokens ""'
)
def _resumed_ahead(context, customer, last):
    _resumed(context, customer, last, "")


@then(
    'customer "{customer}" gets its outcome after token {last:d} with '
    'tokens "{tokens}"'
)
def _ended(context, customer, last, tokens):
    found = context.records.resume(NAME, customer, last)
    assert isinstance(found, records.ResumeEnded)
    assert found.tokens == tuple(tokens.split())


@then('customer "{customer}" is redirected to VM "{vm}"')
def _moved(context, customer, vm):
    found = context.records.resume(NAME, customer, None)
    assert isinstance(found, records.ResumeMoved) and found.vm == vm


class _ReferenceRecords:
    """Reference model: states of running and ended requests by name.

    Ended requests are ordered by the time of their end.
    """

    def __init__(self):
        self.running, self.ended = {}, {}

    def open(self, name):
        fits = len(BODY) * (len(self.running) + 1) <= RUNNING_BYTES
        if fits:
            self.running[name] = "running"
        return fits

    def close(self, name, state):
        if self.running.pop(name, None) is not None:
            self.ended[name] = state
            while len(self.ended) > ENDED_MAX:
                self.ended.pop(next(iter(self.ended)))

    def state(self, name):
        return self.running.get(name) or self.ended.get(name) or "none"


KINDS = {
    records.ResumeNotFound: "none",
    records.ResumeRunning: "running",
    records.ResumeEnded: "ended",
    records.ResumeMoved: "moved",
}


@then("random steps on the records agree with a reference model")
def _agree(context):
    steps = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("open", "end", "moved")),
            strategies.integers(0, 9),
        ),
        max_size=40,
    )

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(steps)
    def check(sequence):
        store = records.RequestRecords(
            clock.ManualClock(), RUNNING_BYTES, ENDED_MAX
        )
        plain = _ReferenceRecords()
        outcome = records.RequestOutcome(ledger_messages.Executed.YES)
        for kind, number in sequence:
            name = f"r{number}"
            if kind == "open" and plain.state(name) == "none":
                opened = _open(store, name, "notary") is not None
                assert opened == plain.open(name)
            elif kind == "end":
                store.end(name, outcome)
                plain.close(name, "ended")
            elif kind == "moved":
                store.record_move(name, "b")
                plain.close(name, "moved")
            names = [f"r{each}" for each in range(10)]
            found = [KINDS[type(store.resume(n, "notary", 0))] for n in names]
            assert found == [plain.state(each) for each in names]

    check()
