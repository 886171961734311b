"""Steps for tests/contracts/fair_queue.feature."""

import collections

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever.contracts import fair_queue
from apricotlever.contracts import tickets
from tests.contracts import naive

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
WEIGHTS = {"alfa": 1.0, "beira": 2.0, "cinta": 0.5}


def _ticket(name, customer, tokens=10.0, deadline=100.0):
    return tickets.Ticket(
        str(name), customer, "entry", "desk", tokens, 0.0, deadline
    )


def _always(ticket):
    return True


def _drain(queue):
    return list(iter(lambda: queue.pop(_always), None))


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("push", "push", "push", "pop", "remove")),
        strategies.sampled_from(sorted(WEIGHTS)),
        strategies.integers(0, 100),
        strategies.integers(0, 3),
        strategies.integers(0, 20),
    ),
    max_size=60,
)


@then("the fair queue serves in the order of a linear search after any steps")
def _linear_search_order(context):
    @SETTINGS
    @hypothesis.given(STEPS, strategies.sets(strategies.integers(0, 60)))
    def check(steps, blocked):
        def may_start(ticket):
            return int(ticket.request_id) not in blocked

        queue = fair_queue.FairQueue()
        queue.set_weights(WEIGHTS)
        reference = naive.FairList(WEIGHTS)
        for number, (kind, customer, tokens, order, other) in enumerate(steps):
            if kind == "push":
                ticket = _ticket(number, customer, tokens, other)
                queue.push(ticket, order, 0.0)
                reference.push(ticket, order)
            elif kind == "remove":
                queue.remove(str(other))
                reference.remove(str(other))
            else:
                assert queue.pop(may_start) is reference.pop(may_start)
            assert len(queue) == len(reference.waiting)
        assert _drain(queue) == _drain(reference)

    check()


@then("customers with queued tickets get service by their weights")
def _by_weight(context):
    sizes = strategies.lists(
        strategies.integers(1, 200), min_size=40, max_size=40
    )

    @SETTINGS
    @hypothesis.given(sizes, sizes)
    def check(first, second):
        queue = fair_queue.FairQueue()
        queue.set_weights(WEIGHTS)
        for number, tokens in enumerate(first):
            queue.push(_ticket(f"a{number}", "alfa", tokens), 0, 0.0)
        for number, tokens in enumerate(second):
            queue.push(_ticket(f"b{number}", "beira", tokens), 0, 0.0)
        served = collections.Counter()
        while {"alfa", "beira"} <= set(queue.customers):
            ticket = queue.pop(_always)
            served[ticket.customer] += ticket.tokens / WEIGHTS[ticket.customer]
            assert abs(served["alfa"] - served["beira"]) <= 300

    check()


@then("the work ahead of a ticket is exact to a ticket for each customer")
def _work_ahead(context):
    pushes = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(sorted(WEIGHTS)),
            strategies.integers(1, 100),
            strategies.integers(0, 2),
        ),
        min_size=1,
        max_size=40,
    )

    @SETTINGS
    @hypothesis.given(pushes, strategies.integers(0, 39))
    def check(described, pick):
        queue = fair_queue.FairQueue()
        queue.set_weights(WEIGHTS)
        waiting = [
            queue.push(_ticket(n, customer, tokens), order, 0.0)
            for n, (customer, tokens, order) in enumerate(described)
        ]
        target = waiting[pick % len(waiting)]
        expected = queue.work_ahead(target)
        served = _drain(queue)
        position = served.index(target.ticket)
        actual = sum(ticket.tokens for ticket in served[:position])
        # A customer is at most one ticket ahead of or behind its share by
        # weight, and with weights of 2 and 0.5 a ticket counts fourfold.
        assert abs(expected - actual) <= 100 * 4 * len(WEIGHTS)

    check()


@given('a queue in which customer "{customer}" has {count:d} tickets')
def _backlog(context, customer, count):
    context.queue = fair_queue.FairQueue()
    context.fifo = naive.Fifo()
    for number in range(count):
        ticket = _ticket(number, customer)
        context.queue.push(ticket, 0, 0.0)
        context.fifo.push(ticket, 0)


@when('customer "{customer}" puts a ticket into the queue')
def _push_one(context, customer):
    context.queue.pop(_always)
    ticket = _ticket("one", customer)
    context.queue.push(ticket, 0, 0.0)
    context.fifo.push(ticket, 0)


@then('the fair queue serves "{customer}" among the first {count:d}')
def _served_early(context, customer, count):
    served = [context.queue.pop(_always).customer for _ in range(count)]
    assert customer in served


@then('first in, first out serves "{customer}" after {count:d} others')
def _fifo_served_late(context, customer, count):
    served = [ticket.customer for ticket in _drain(context.fifo)]
    assert served.index(customer) == count


@given('a queue that has served customer "{customer}" {count:d} times alone')
def _served_alone(context, customer, count):
    context.queue = fair_queue.FairQueue()
    for number in range(count):
        context.queue.push(_ticket(number, customer), 0, 0.0)
        context.queue.pop(_always)


@when("both customers put {count:d} tickets into the queue")
def _push_both(context, count):
    for number in range(count):
        for customer in ("alfa", "beira"):
            ticket = _ticket(f"{customer}{number}", customer)
            context.queue.push(ticket, 0, 0.0)


@then("the first {count:d} served are shared evenly")
def _shared_evenly(context, count):
    served = [context.queue.pop(_always).customer for _ in range(count)]
    counts = collections.Counter(served)
    assert abs(counts["alfa"] - counts["beira"]) <= 2


@given('a customer\'s tickets "{listed}" as shed order and deadline')
def _push_listed(context, listed):
    context.queue = fair_queue.FairQueue()
    for name in listed.split():
        order, deadline = name.split(":")
        ticket = _ticket(name, "alfa", deadline=float(deadline))
        context.queue.push(ticket, int(order), 0.0)


@then('the fair queue serves them in the order "{listed}"')
def _served_in_order(context, listed):
    served = [ticket.request_id for ticket in _drain(context.queue)]
    assert served == listed.split()


@then("no queued ticket is checked while no customer has room")
def _not_checked(context):
    checked = []

    def may_start(ticket):
        checked.append(ticket)
        return False

    assert context.queue.pop(may_start, lambda customer: False) is None
    assert not checked
    assert context.queue.pop(may_start, lambda customer: True) is None
    assert len(checked) == 500
