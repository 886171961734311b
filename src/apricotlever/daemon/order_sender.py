"""Sends orders to runners under a lease, and reads back what is in force."""

import typing

from returns import result

from .. import logs
from ..links import platform
from ..links import upstream_exchange
from ..runners import model as runners
from ..vms import orders

MayOrder = typing.Callable[[str, float], int | None]

ORDERS_PATH = "/v1/orders"
_STALE = 409


class Ordered:
    """An order was sent, or not.

    :param fenced: the greater number that the runner has seen, or 0.
    """

    __slots__ = ("duty", "runner", "sent", "fenced")

    def __init__(
        self, duty: str, runner: str, sent: bool, fenced: int = 0
    ) -> None:
        self.duty = duty
        self.runner = runner
        self.sent = sent
        self.fenced = fenced


class ReadBack:
    """A runner's target in force was read, or not.

    :param target: None when it was not read.
    """

    __slots__ = ("duty", "runner", "target")

    def __init__(
        self, duty: str, runner: str, target: orders.Target | None
    ) -> None:
        self.duty = duty
        self.runner = runner
        self.target = target


class OrderSender:
    """Makes the calls to runners; each blocks the thread that makes it.

    :param timeout_s: the longest that an order may take.
    :param weights: paces loads of models.
    :param may_order: the fencing number of a duty that this VM holds for
        so many seconds more, or None.
    :param tell: gets an Ordered or a ReadBack after each call.
    """

    __slots__ = ("_timeout_s", "_weights", "_may_order", "_tell")

    def __init__(
        self,
        timeout_s: float,
        weights: platform.WeightStore,
        may_order: MayOrder,
        tell: typing.Callable[[typing.Any], None],
    ) -> None:
        self._timeout_s = timeout_s
        self._weights = weights
        self._may_order = may_order
        self._tell = tell

    def send(
        self, duty: str, runner: runners.Runner, action: orders.SendOrder
    ) -> None:
        """Send one order, if the lease still stands at this moment.

        A holder that was paused between its decision and here would give an
        order under a lease that another VM has by now. Runners that check
        fencing numbers refuse it; for the others the check stands as close
        to the first byte as it can, and the successor waits out the rest.

        :param duty: the duty that the order belongs to.
        :param runner: whom to send it.
        :param action: the order.
        """
        if not self._weights_lent(action.target):
            self._tell(Ordered(duty, runner.name, False))
            return
        exchange = upstream_exchange.Exchange(runner.address, self._timeout_s)
        try:
            exchange.open()
            fencing = self._may_order(duty, self._timeout_s / 2)
            if fencing is None:
                exchange.abandon()
                self._tell(Ordered(duty, runner.name, False))
                return
            body = upstream_exchange.encode_json(
                {
                    "order": action.order_id,
                    "fencing": fencing,
                    "target": action.target,
                }
            )
            exchange.send(
                "POST",
                ORDERS_PATH,
                upstream_exchange.SINGLE_USE_JSON_HEADERS,
                body,
            )
            answer = exchange.read_json()
            status = exchange.status
        except upstream_exchange.UpstreamError as error:
            logs.event(
                "order_failed",
                duty=duty,
                runner=runner.name,
                error=error.message,
            )
            self._tell(Ordered(duty, runner.name, error.sent))
            return
        fenced = int(answer["fencing"]) if status == _STALE else 0
        if not fenced:
            logs.event(
                "order_sent", duty=duty, runner=runner.name, fencing=fencing
            )
        self._tell(Ordered(duty, runner.name, not fenced, fenced))

    def read_back(self, duty: str, runner: runners.Runner) -> None:
        """Read the target that is in force at a runner.

        :param duty: the duty that its orders belong to.
        :param runner: whom to ask.
        """
        try:
            found = upstream_exchange.call_json(
                runner.address,
                "GET",
                ORDERS_PATH,
                timeout_s=self._timeout_s,
            )
            target = found["target"]
        except (upstream_exchange.UpstreamError, KeyError, TypeError):
            target = None
        self._tell(ReadBack(duty, runner.name, target))

    def _weights_lent(self, target: orders.Target) -> bool:
        """Ask the weight store before runners begin to load from it."""
        for model in target["models"]:
            lent = self._weights.lease(model["model"], model["version"])
            if not isinstance(lent, result.Success):
                logs.event(
                    "platform_call_failed",
                    call="weights",
                    kind=lent.failure().kind,
                    error=lent.failure().message,
                )
                return False
        return True
