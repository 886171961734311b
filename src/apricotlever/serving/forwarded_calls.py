"""Runs the calls that other VMs forward to this one.

The sending VM reaches no runner. It has applied the customer's limit and holds
the permit; this VM finds the route in its own configuration, sends the call to
runners and never forwards it again. It counts the call for the customer's
usage and for the allowance of retries.
"""

import asyncio
import typing

from .. import logs
from .. import refusals

from . import call_execution
from . import call_relay
from . import caller_channel
from . import configuration_model
from . import forwarding_attempt
from . import forwarding_protocol
from . import helpers
from . import reply_writer

#: Forwarded calls that are in progress here at most. Each takes memory and
#: time of this VM, whose own callers go first.
MAX_CALLS = 256
#: Delay of this VM's event loop, in seconds, above which it takes no forwarded
#: calls: its own callers wait.
MAX_LOOP_DELAY_S = 0.15
#: When a sending VM may return that was turned away for lack of room, in
#: seconds.
FULL_RETRY_AFTER_S = 0.2
#: The same if this VM can't help at all for now.
UNABLE_RETRY_AFTER_S = 1.0
#: The reason of a VM that has lost its paths to runners itself.
ISOLATED = "helper_isolated"


class Unfit(Exception):
    """This VM itself turns a forwarded call away, which has not run.

    :param reason: why, for the log; such reasons begin with ``helper_``.
    :param retry_after_s: when the sending VM may return, in seconds; None if
        it is only this call that can't be run here.
    """

    def __init__(
        self,
        reason: str,
        retry_after_s: float | None = None,
        status: int = 503,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.status = status


class ForwardedCalls:
    """Handles the calls that other VMs forward.

    :param reach: tells whether this VM reaches runners.
    :param is_leaving: tells whether this VM is about to end.
    """

    __slots__ = (
        "_in_progress",
        "_is_leaving",
        "_loop_delay_s",
        "_reach",
        "_relay",
        "_results",
        "_turned_away_full",
    )

    def __init__(
        self,
        relay_: call_relay.CallRelay,
        reach: helpers.Reachability,
        is_leaving: typing.Callable[[], bool],
    ) -> None:
        self._relay = relay_
        self._reach = reach
        self._is_leaving = is_leaving
        self._in_progress = 0
        self._turned_away_full = 0
        self._loop_delay_s = 0.0
        #: Number of ended calls by result.
        self._results: dict[str, int] = {}

    @property
    def in_progress(self) -> int:
        """Number of forwarded calls that are in progress here."""
        return self._in_progress

    @property
    def results(self) -> dict[str, int]:
        """Number of ended calls by result."""
        return self._results

    @property
    def counters(self) -> dict[str, float]:
        """Metrics without labels, by name."""
        return {
            "helped_calls": self._in_progress,
            "helped_calls_refused_full_total": self._turned_away_full,
        }

    def record_loop_delay(self, delay_s: float) -> None:
        """Record how late a task of the event loop was.

        :param delay_s: in seconds; below 0 if it was early.
        """
        self._loop_delay_s = delay_s

    async def answer(
        self, raw: caller_channel.RawRequest, reply: reply_writer.ReplyWriter
    ) -> None:
        """Handle one forwarded call."""
        forwarded: forwarding_protocol.ForwardedCall | None = None
        try:
            forwarded = self._decode(raw, reply)
            execution = self._prepare(forwarded, raw, reply)
        except Unfit as error:
            self._turn_away(forwarded, reply, error)
            return
        self._in_progress += 1
        try:
            await self._run(execution, forwarded, reply)
        finally:
            self._in_progress -= 1

    def _decode(
        self, raw: caller_channel.RawRequest, reply: reply_writer.ReplyWriter
    ) -> forwarding_protocol.ForwardedCall:
        try:
            return forwarding_protocol.ForwardedCall.decode(raw.body)
        except ValueError as error:
            logs.event(
                "peer_refused", peer=reply.caller_host, reason=str(error)
            )
            raise Unfit("helper_rejects:400", status=400) from error

    def _prepare(
        self,
        forwarded: forwarding_protocol.ForwardedCall,
        raw: caller_channel.RawRequest,
        reply: reply_writer.ReplyWriter,
    ) -> call_execution.CallExecution:
        """Check that the call can run here.

        :raises Unfit: if it can't.
        """
        if self._is_leaving() or not self._relay.accepts_calls:
            raise Unfit("helper_leaving", UNABLE_RETRY_AFTER_S)
        if self._reach.is_isolated or self._reach.lacks_new_connections:
            raise Unfit(ISOLATED, UNABLE_RETRY_AFTER_S)
        if (
            self._in_progress >= MAX_CALLS
            or self._loop_delay_s > MAX_LOOP_DELAY_S
        ):
            self._turned_away_full += 1
            raise Unfit("helper_full", FULL_RETRY_AFTER_S)
        configuration = self._relay.configuration
        if configuration is None:
            raise Unfit("helper_unready", UNABLE_RETRY_AFTER_S)
        call = forwarded.to_call(raw.received_at)
        return call_execution.CallExecution(
            self._relay.context,
            call,
            _find_route(configuration, forwarded),
            _find_customer(configuration, forwarded),
            forwarded.service,
            reply,
            forwarded,
        )

    async def _run(
        self,
        execution: call_execution.CallExecution,
        forwarded: forwarding_protocol.ForwardedCall,
        reply: reply_writer.ReplyWriter,
    ) -> None:
        started_at = asyncio.get_running_loop().time()
        result = "cancelled"
        try:
            await execution.run()
            result = "served" if execution.served else "failed"
            if execution.served:
                execution.clear_suspicion()
        except call_execution.NotServed as error:
            result = "refused"
            if reply.started:
                reply.abort()
            else:
                self._send_refusal(execution, reply, error)
        finally:
            self._results[result] = self._results.get(result, 0) + 1
            logs.event(
                "forwarded_call",
                request=forwarded.request_id,
                peer=reply.caller_host,
                route=forwarded.route,
                customer=forwarded.customer,
                result=result,
                executed=_executed(execution).value,
                took_s=asyncio.get_running_loop().time() - started_at,
                **execution.end_fields,
            )

    def _send_refusal(
        self,
        execution: call_execution.CallExecution,
        reply: reply_writer.ReplyWriter,
        error: call_execution.NotServed,
    ) -> None:
        """Tell the sending VM that no runner's response comes, and why.

        If this VM has reached no runner and may have lost its paths, another
        one may do better. It names no time then: it may run other calls, of a
        service whose runners are not down.
        """
        reason, retry_after_s = error.reason, error.retry_after_s
        if (
            not execution.may_have_run
            and reason.startswith(call_execution.UNREACHED)
            and self._relay.helpers.may_be_needed
        ):
            reason, retry_after_s = forwarding_attempt.REACHED_NONE, None
        refusal = forwarding_protocol.HelperRefusal(
            reason, _executed(execution), retry_after_s, execution.sends
        )
        reply.send_whole(error.status, refusal.headers())

    def _turn_away(
        self,
        forwarded: forwarding_protocol.ForwardedCall | None,
        reply: reply_writer.ReplyWriter,
        unfit: Unfit,
    ) -> None:
        self._results["turned_away"] = self._results.get("turned_away", 0) + 1
        logs.event(
            "forwarded_call",
            request=forwarded.request_id if forwarded is not None else None,
            peer=reply.caller_host,
            result="turned_away",
            executed=refusals.Executed.NO.value,
            ended=unfit.reason,
        )
        refusal = forwarding_protocol.HelperRefusal(
            unfit.reason,
            refusals.Executed.NO,
            unfit.retry_after_s,
            forwarded.sends if forwarded is not None else 0,
        )
        reply.send_whole(unfit.status, refusal.headers())


def _find_route(
    configuration: configuration_model.Configuration,
    forwarded: forwarding_protocol.ForwardedCall,
) -> configuration_model.Route:
    """The route of a call, which must mean the same at both VMs.

    Otherwise a call could be repeated here that must not be, or go to a
    service to which its host and path don't lead.

    :raises Unfit: if there is no such route in the configuration here.
    """
    path = forwarded.target.partition("?")[0]
    route = configuration.find_route(forwarded.host, path)
    if (
        route is None
        or route.name != forwarded.route
        or route.kind.value != forwarded.kind
        or forwarded.service not in dict(route.targets)
    ):
        raise Unfit("helper_unknown_route")
    return route


def _find_customer(
    configuration: configuration_model.Configuration,
    forwarded: forwarding_protocol.ForwardedCall,
) -> configuration_model.Customer | None:
    """The customer of a call.

    :raises Unfit: if it is not in the configuration here.
    """
    if forwarded.customer is None:
        return None
    customer = configuration.customers.get(forwarded.customer)
    if customer is None:
        raise Unfit("helper_unknown_customer")
    return customer


def _executed(
    execution: call_execution.CallExecution,
) -> refusals.Executed:
    if execution.served:
        return refusals.Executed.YES
    if execution.may_have_run:
        return refusals.Executed.UNKNOWN
    return refusals.Executed.NO
