"""Steps for orders with a target state."""

import behave

from apricotlever import clock as clocks
from apricotlever.vms import orders

TARGET = {"role": "serve", "models": [{"model": "m", "version": "2"}]}
OTHER = {"role": "drain", "models": []}


def _single_action(context, kind):
    (action,) = context.orders.tick()
    assert type(action) is kind, action
    return action


@behave.given('orders with a target for upstream "r1"')
def target_set(context):
    """It is set twice; an equal target changes nothing."""
    context.clock = clocks.ManualClock()
    context.orders = orders.Orders(context.clock, "v1", 5)
    context.orders.set_target("r1", TARGET)
    context.orders.set_target("r1", dict(TARGET))


@behave.then("the target is sent, read back and confirmed")
def confirmed(context):
    """Nothing more is due then."""
    order = _single_action(context, orders.SendOrder)
    assert (order.order_id, order.target) == ("v1.5.1", TARGET)
    assert not context.orders.tick()
    context.orders.sent("r1")
    _single_action(context, orders.ReadBack)
    assert context.orders.unconfirmed == ["r1"]
    context.orders.target_read("r1", dict(TARGET))
    assert not context.orders.unconfirmed
    assert not context.orders.tick()


@behave.when("the order is sent and its answer is lost")
def answer_lost(context):
    """An order without an answer is reported as sent."""
    _single_action(context, orders.SendOrder)
    context.orders.sent("r1")


@behave.then("the target is read back first")
def read_first(context):
    """It is sent again when it did not take effect."""
    _single_action(context, orders.ReadBack)
    context.orders.target_read("r1", OTHER)
    _single_action(context, orders.SendOrder)


@behave.when("the order is confirmed and a later read returns another target")
def replaced(context):
    """A confirmed target is read again after a while."""
    confirmed(context)
    context.clock.advance(orders.READ_BACK_S)
    _single_action(context, orders.ReadBack)
    context.orders.target_read("r1", OTHER)


@behave.then("the target is sent again")
def sent_again(context):
    """It is due at once."""
    assert _single_action(context, orders.SendOrder).target == TARGET
