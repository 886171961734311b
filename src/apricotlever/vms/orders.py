"""Orders that set the target state of upstreams, under a lease.

An order states the whole target, not a change, so sending it twice is
harmless. The target is read back from the upstream. This shows whether an
order without an answer took effect, and reveals a late order of a previous
lease holder that an upstream without fencing accepted.
"""

import typing

from .. import clock as clocks

Target = dict[str, typing.Any]

# Time between two reads of a confirmed target.
READ_BACK_S = 30.0
# Time until an action that failed or was not reported is repeated.
RETRY_S = 2.0


class OrderAction:
    """Base class of the calls to upstreams that :class:`Orders` requests.

    :param upstream: the upstream to call.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream


class SendOrder(OrderAction):
    """Send an upstream its target; check ``Duties.may_order`` just before.

    Report the result by :meth:`Orders.sent` or :meth:`Orders.not_sent`.

    :param order_id: identifies the order; a repeat of it has the same ID.
    :param target: the target state to order.
    """

    __slots__ = ("order_id", "target")

    def __init__(self, upstream: str, order_id: str, target: Target) -> None:
        super().__init__(upstream)
        self.order_id = order_id
        self.target = target


class ReadBack(OrderAction):
    """Read the target in force at an upstream.

    Report the result by :meth:`Orders.target_read`.
    """

    __slots__ = ()


class _TargetState:
    """The target of one upstream and whether it is confirmed.

    :param number: the number of this target, part of the order ID.
    :param due_at: when the next call is due, on the local monotonic clock.
    """

    __slots__ = ("target", "number", "confirmed", "due_at", "must_read")

    def __init__(self, target: Target, number: int, due_at: float) -> None:
        self.target = target
        self.number = number
        self.confirmed = False
        self.due_at = due_at
        self.must_read = False


class Orders:
    """The targets of upstreams that this VM is responsible for.

    Each target is sent and read back until the upstream shows it, and read
    again from time to time after that.

    :param vm: this VM's name, part of the order IDs.
    :param incarnation: the incarnation of this process.
    """

    __slots__ = ("_clock", "_vm", "_incarnation", "_targets", "_number")

    def __init__(self, clock: clocks.Clock, vm: str, incarnation: int) -> None:
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._targets: dict[str, _TargetState] = {}
        self._number = 0

    @property
    def unconfirmed(self) -> list[str]:
        """Upstreams whose target is not confirmed by a read."""
        return sorted(
            upstream
            for upstream, state in self._targets.items()
            if not state.confirmed
        )

    @property
    def targeted_upstreams(self) -> list[str]:
        """Upstreams that have a target."""
        return sorted(self._targets)

    def set_target(self, upstream: str, target: Target) -> None:
        """Set the target of an upstream; an equal one changes nothing."""
        known = self._targets.get(upstream)
        if known is None or known.target != target:
            self._number += 1
            self._targets[upstream] = _TargetState(
                target, self._number, self._clock.now()
            )

    def drop_target(self, upstream: str) -> None:
        """Drop an upstream's target: it is gone, or another VM directs it."""
        self._targets.pop(upstream, None)

    def tick(self) -> list[OrderAction]:
        """The calls to upstreams that are due.

        A call is due again after ``RETRY_S`` unless its result is reported.
        """
        now = self._clock.now()
        due = [u for u, state in self._targets.items() if state.due_at <= now]
        return [self._next_action(upstream, now) for upstream in due]

    def sent(self, upstream: str) -> None:
        """Report that the upstream accepted the order, or may have done so.

        The target in force is read back next.
        """
        self._schedule_read_back(upstream, 0.0)

    def not_sent(self, upstream: str) -> None:
        """Report that the call had no effect or was refused.

        The target is sent after a delay, also when the call was a read.
        """
        state = self._targets.get(upstream)
        if state is not None:
            state.must_read = False
            state.due_at = self._clock.now() + RETRY_S

    def target_read(self, upstream: str, target: Target) -> None:
        """Report the target in force, as read from the upstream.

        If it is not the one that was set here, that one is sent again.
        """
        state = self._targets.get(upstream)
        if state is None:
            return
        state.confirmed = target == state.target
        # A confirmed target is read again later: where fencing is not
        # checked, a late order of a previous holder may replace it.
        delay_s = READ_BACK_S if state.confirmed else 0.0
        state.must_read = state.confirmed
        state.due_at = self._clock.now() + delay_s

    def _next_action(self, upstream: str, now: float) -> OrderAction:
        state = self._targets[upstream]
        state.due_at = now + RETRY_S
        if state.must_read:
            return ReadBack(upstream)
        order_id = f"{self._vm}.{self._incarnation}.{state.number}"
        return SendOrder(upstream, order_id, state.target)

    def _schedule_read_back(self, upstream: str, delay_s: float) -> None:
        state = self._targets.get(upstream)
        if state is not None:
            state.must_read = True
            state.due_at = self._clock.now() + delay_s
