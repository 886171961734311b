"""Orders to upstreams: a target state, sent under a lease, read back.

An order says what should be in force there, not what to change, so sending
it twice does no harm. An order whose answer was lost, or that an upstream
without fencing took from an old holder, shows when the target is read back.
"""

import typing

from .. import clock as clocks

Target = dict[str, typing.Any]

READ_BACK_S = 30.0
RETRY_S = 2.0


class OrderAction:
    """Any of the below.

    :param upstream: whom to call.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream


class SendOrder(OrderAction):
    """Send the target; ask ``Duties.may_order`` just before.

    Report by :meth:`Orders.sent` or :meth:`Orders.not_sent`.
    """

    __slots__ = ("order_id", "target")

    def __init__(self, upstream: str, order_id: str, target: Target) -> None:
        super().__init__(upstream)
        self.order_id = order_id
        self.target = target


class ReadBack(OrderAction):
    """Read the target in force; report by :meth:`Orders.found`."""

    __slots__ = ()


class _Wanted:
    """What one upstream should have, and how far that is known."""

    __slots__ = ("target", "number", "confirmed", "due_at", "must_read")

    def __init__(self, target: Target, number: int, due_at: float) -> None:
        self.target = target
        self.number = number
        self.confirmed = False
        self.due_at = due_at
        self.must_read = False


class Orders:
    """The targets that this VM has to bring about.

    :param vm: this VM, for the order IDs.
    :param incarnation: of this process.
    """

    __slots__ = ("_clock", "_vm", "_incarnation", "_wanted", "_number")

    def __init__(self, clock: clocks.Clock, vm: str, incarnation: int) -> None:
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._wanted: dict[str, _Wanted] = {}
        self._number = 0

    @property
    def unconfirmed(self) -> list[str]:
        """Upstreams whose target was not read back yet."""
        return sorted(
            upstream
            for upstream, wanted in self._wanted.items()
            if not wanted.confirmed
        )

    @property
    def wanted(self) -> list[str]:
        """Upstreams that have a target."""
        return sorted(self._wanted)

    def want(self, upstream: str, target: Target) -> None:
        """Set what should be in force; the same again changes nothing."""
        known = self._wanted.get(upstream)
        if known is None or known.target != target:
            self._number += 1
            self._wanted[upstream] = _Wanted(
                target, self._number, self._clock.now()
            )

    def forget(self, upstream: str) -> None:
        """It is gone, or another VM's business."""
        self._wanted.pop(upstream, None)

    def tick(self) -> list[OrderAction]:
        """What is due; each has to be reported before it comes again."""
        now = self._clock.now()
        due = [u for u, wanted in self._wanted.items() if wanted.due_at <= now]
        return [self._next(upstream, now) for upstream in due]

    def sent(self, upstream: str) -> None:
        """The upstream took the order, or its answer was lost."""
        self._read_next(upstream, 0.0)

    def not_sent(self, upstream: str) -> None:
        """It surely did not get there, or was refused: tried again."""
        wanted = self._wanted.get(upstream)
        if wanted is not None:
            wanted.must_read = False
            wanted.due_at = self._clock.now() + RETRY_S

    def found(self, upstream: str, target: Target) -> None:
        """What is in force there, as read back."""
        wanted = self._wanted.get(upstream)
        if wanted is None:
            return
        wanted.confirmed = target == wanted.target
        # Read again later: an old holder's late order may undo it where
        # fencing is not checked.
        delay_s = READ_BACK_S if wanted.confirmed else 0.0
        wanted.must_read = wanted.confirmed
        wanted.due_at = self._clock.now() + delay_s

    def _next(self, upstream: str, now: float) -> OrderAction:
        wanted = self._wanted[upstream]
        wanted.due_at = now + RETRY_S
        if wanted.must_read:
            return ReadBack(upstream)
        order_id = f"{self._vm}.{self._incarnation}.{wanted.number}"
        return SendOrder(upstream, order_id, wanted.target)

    def _read_next(self, upstream: str, delay_s: float) -> None:
        wanted = self._wanted.get(upstream)
        if wanted is not None:
            wanted.must_read = True
            wanted.due_at = self._clock.now() + delay_s
