"""Sends orders to runners under a lease, and reads their targets back.

An order states a runner's target: the models that it must have loaded. The
lease confirms that this VM alone performs the duty that the order belongs to.
"""

import typing

from returns import result

from .. import logs
from ..links import json_calls
from ..links import platform
from ..links import upstream_exchange
from ..runners import model as runners
from ..vms import orders

MayOrder = typing.Callable[[str, float], int | None]

ORDERS_PATH = "/v1/orders"
_FENCED_OFF_STATUS = 409


class OrderResult:
    """The result of sending an order.

    :param sent: whether the runner accepted the order or may have done so.
    :param highest_fencing: the highest fencing number that the runner has
        seen, if it refused the order for its number; otherwise 0.
    """

    __slots__ = ("duty", "runner", "sent", "highest_fencing")

    def __init__(
        self, duty: str, runner: str, sent: bool, highest_fencing: int = 0
    ) -> None:
        self.duty = duty
        self.runner = runner
        self.sent = sent
        self.highest_fencing = highest_fencing


class ReadBackResult:
    """The result of reading the target in force at a runner.

    :param target: the target; None if it could not be read.
    """

    __slots__ = ("duty", "runner", "target")

    def __init__(
        self, duty: str, runner: str, target: orders.Target | None
    ) -> None:
        self.duty = duty
        self.runner = runner
        self.target = target


class OrderSender:
    """Sends orders and reads targets; each call blocks its thread.

    :param timeout_s: the maximum duration of an order, in seconds.
    :param weights: leases model weights, which limits the loads in progress.
    :param may_order: returns the fencing number of a duty, or None if this
        VM does not hold the duty's lease for the given number of seconds.
    :param report: called with the :class:`OrderResult` or the
        :class:`ReadBackResult` of each call.
    """

    __slots__ = ("_timeout_s", "_weights", "_may_order", "_report")

    def __init__(
        self,
        timeout_s: float,
        weights: platform.WeightStore,
        may_order: MayOrder,
        report: typing.Callable[[typing.Any], None],
    ) -> None:
        self._timeout_s = timeout_s
        self._weights = weights
        self._may_order = may_order
        self._report = report

    def send(
        self, duty: str, runner: runners.Runner, action: orders.SendOrder
    ) -> None:
        """Send one order if this VM still holds the lease.

        If the process was paused after the decision to send the order,
        another VM may hold the lease by now. Runners that check fencing
        numbers refuse such an order. For runners that ignore them, the lease
        is checked as close to the first byte as possible, and the next
        holder waits for the longest order before it sends its own.

        :param duty: the duty that the order belongs to.
        :param runner: the runner that receives the order.
        :param action: the order.
        """
        if not self._lease_weights(action.target):
            self._report(OrderResult(duty, runner.name, False))
            return
        exchange = upstream_exchange.Exchange(runner.address, self._timeout_s)
        try:
            exchange.open()
            fencing = self._may_order(duty, self._timeout_s / 2)
            if fencing is None:
                exchange.abandon()
                self._report(OrderResult(duty, runner.name, False))
                return
            body = json_calls.encode_json(
                {
                    "order": action.order_id,
                    "fencing": fencing,
                    "target": action.target,
                }
            )
            exchange.send(
                "POST",
                ORDERS_PATH,
                json_calls.SINGLE_USE_JSON_HEADERS,
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
            self._report(OrderResult(duty, runner.name, error.sent))
            return
        highest_fencing = (
            int(answer["fencing"]) if status == _FENCED_OFF_STATUS else 0
        )
        if not highest_fencing:
            logs.event(
                "order_sent", duty=duty, runner=runner.name, fencing=fencing
            )
        self._report(
            OrderResult(
                duty, runner.name, not highest_fencing, highest_fencing
            )
        )

    def read_back(self, duty: str, runner: runners.Runner) -> None:
        """Read the target in force at a runner.

        :param duty: the duty that the runner's orders belong to.
        :param runner: the runner.
        """
        try:
            found = json_calls.call_json(
                runner.address,
                "GET",
                ORDERS_PATH,
                timeout_s=self._timeout_s,
            )
            target = found["target"]
        except (upstream_exchange.UpstreamError, KeyError, TypeError):
            target = None
        self._report(ReadBackResult(duty, runner.name, target))

    def _lease_weights(self, target: orders.Target) -> bool:
        """Lease the weights of a target's models, before runners load them.

        :returns: whether the weight store granted all leases.
        """
        for model in target["models"]:
            lease = self._weights.lease(model["model"], model["version"])
            if not isinstance(lease, result.Success):
                logs.event(
                    "platform_call_failed",
                    call="weights",
                    kind=lease.failure().kind,
                    error=lease.failure().message,
                )
                return False
        return True
