"""Steps for orders with a target state."""

import behave

from apricotlever import clock as clocks
from apricotlever.vms import orders

TARGET = {"role": "serve", "models": [{"model": "m", "version": "2"}]}
OTHER = {"role": "drain", "models": []}


def _one(context, kind):
    (action,) = context.orders.tick()
    assert type(action) is kind, action
    return action


@behave.given('orders that want a target at upstream "r1"')
def wanted(context):
    """Set twice: the same again changes nothing."""
    context.clock = clocks.ManualClock()
    context.orders = orders.Orders(context.clock, "v1", 5)
    context.orders.want("r1", TARGET)
    context.orders.want("r1", dict(TARGET))


@behave.then("the target is sent, read back and confirmed")
def confirmed(context):
    """And nothing more is due."""
    order = _one(context, orders.SendOrder)
    assert (order.order_id, order.target) == ("v1.5.1", TARGET)
    assert not context.orders.tick()
    context.orders.sent("r1")
    _one(context, orders.ReadBack)
    assert context.orders.unconfirmed == ["r1"]
    context.orders.found("r1", dict(TARGET))
    assert not context.orders.unconfirmed
    assert not context.orders.tick()


@behave.when("the order is sent and its answer is lost")
def lost(context):
    """Reported as sent."""
    _one(context, orders.SendOrder)
    context.orders.sent("r1")


@behave.then("the target is read back first")
def read_first(context):
    """And sent again when it did not take effect."""
    _one(context, orders.ReadBack)
    context.orders.found("r1", OTHER)
    _one(context, orders.SendOrder)


@behave.when("the order is confirmed and later read back as something else")
def undone(context):
    """It is read again after a while."""
    confirmed(context)
    context.clock.advance(orders.READ_BACK_S)
    _one(context, orders.ReadBack)
    context.orders.found("r1", OTHER)


@behave.then("the target is sent again")
def sent_again(context):
    """At once."""
    assert _one(context, orders.SendOrder).target == TARGET
