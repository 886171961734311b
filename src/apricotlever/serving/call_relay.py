"""Takes each call of a caller from its receipt to a response.

The relay finds the call's route in the configuration, authenticates its
customer and applies the customer's rate limit. Then a
:class:`.call_execution.CallExecution` sends the call to runners. A call that
ends without a runner's response is refused with an error status.
"""

import asyncio
import random
import typing

from .. import logs
from ..contracts import retry_allowance
from ..contracts import return_slots
from ..contracts import usage_windows

from . import call_context
from . import call_execution
from . import call_metrics
from . import caller_channel
from . import configuration_model
from . import customer_limits
from . import dialects
from . import helpers
from . import messages
from . import reply_writer
from . import response_room
from . import upstreams

#: ``Retry-After`` of a call that is refused because this VM has no
#: configuration yet, in seconds. A VM normally receives it within this time.
NOT_READY_RETRY_AFTER_S = 0.3
#: Added to ``Retry-After`` of a customer over its rate limit, in seconds. At
#: the exact time at which the limit could admit the call, another call of the
#: customer may be admitted first.
LIMIT_MARGIN_S = 0.05
#: Lower limit of ``Retry-After``, in seconds.
MIN_RETRY_AFTER_S = 0.01
#: Upper limit of ``Retry-After`` for a customer over its limit, in seconds.
MAX_LIMIT_RETRY_AFTER_S = 10.0
#: Largest share of its remaining time for which a caller is assumed to wait
#: before a retry. It needs the rest for the retry itself.
HONOURED_SHARE = 1.0 / 3.0


class Refusal(Exception):
    """A call ends without a runner's response.

    :param status: HTTP status of the response; 429 and 503 promise that the
        call has not run.
    :param reason: why the call is refused, for the log and the metrics.
    :param retry_after_s: after how many seconds the caller may retry; None
        for no ``Retry-After`` header.
    :param inputs: values on which the decision rests, for the log.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **inputs: typing.Any,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.inputs = inputs


class CallRelay:
    """Handles each call that this VM receives.

    In its methods, a permit is the admission of a call by its customer's rate
    limit. It is refunded if the call has certainly not run.

    :param dialect: translates the protocols of callers and runners.
    :param upstreams_: the runners and this VM's connections to them.
    :param limits_: the customers' rate limits.
    :param budget: the allowance of retries to runners.
    :param usage: the customers' call counts by time window.
    :param rng: selects a service for a route that splits its traffic.
    :param helpers_: the VMs that run calls while this one reaches no runner.
    :param responses: room for whole responses; by default without a limit.
    """

    __slots__ = (
        "_accepts_calls",
        "_configuration",
        "_context",
        "_limits",
        "_observations",
        "_rng",
    )

    def __init__(
        self,
        dialect: dialects.Dialect,
        upstreams_: upstreams.Upstreams,
        limits_: customer_limits.CustomerLimits,
        budget: retry_allowance.RetryAllowance,
        usage: usage_windows.UsageWindows,
        rng: random.Random,
        helpers_: helpers.Helpers,
        responses: response_room.ResponseRoom | None = None,
    ) -> None:
        self._context = call_context.CallContext(
            dialect,
            upstreams_,
            budget,
            usage,
            helpers_,
            responses or response_room.ResponseRoom(),
        )
        self._limits = limits_
        self._rng = rng
        self._configuration: configuration_model.Configuration | None = None
        self._accepts_calls = True
        self._observations = call_metrics.CallMetrics()

    @property
    def context(self) -> call_context.CallContext:
        """What all calls of this VM share."""
        return self._context

    @property
    def upstreams(self) -> upstreams.Upstreams:
        """The runners and this VM's connections to them."""
        return self._context.upstreams

    @property
    def helpers(self) -> helpers.Helpers:
        """The VMs that run calls while this one reaches no runner."""
        return self._context.helpers

    @property
    def configuration(self) -> configuration_model.Configuration | None:
        """The configuration in force; None without one."""
        return self._configuration

    @property
    def accepts_calls(self) -> bool:
        """Whether new calls are accepted."""
        return self._accepts_calls

    @property
    def budget(self) -> retry_allowance.RetryAllowance:
        """The allowance of retries to runners."""
        return self._context.budget

    @property
    def usage(self) -> usage_windows.UsageWindows:
        """The customers' call counts by time window, for usage reports."""
        return self._context.usage

    @property
    def observations(self) -> call_metrics.CallMetrics:
        """Counters and latencies of this VM's calls."""
        return self._observations

    @property
    def dialect(self) -> dialects.Dialect:
        """Translates the protocols of callers and runners."""
        return self._context.dialect

    def refuse_new_calls(self) -> None:
        """Refuse new calls with 503, so that callers retry at another VM."""
        self._accepts_calls = False

    def configure(
        self, configuration: configuration_model.Configuration
    ) -> None:
        """Use a new version of the configuration for the calls that follow."""
        self._configuration = configuration

    async def answer(
        self, raw: caller_channel.RawRequest, reply: reply_writer.ReplyWriter
    ) -> None:
        """Handle one call, and answer it with an error if it is refused.

        :param raw: the call as received.
        :param reply: writes the response.
        """
        call: messages.CallerCall | None = None
        try:
            call = self._parse(raw)
            await self._serve(call, reply)
        except Refusal as refusal:
            self._send_refusal(call, reply, refusal)

    def _parse(self, raw: caller_channel.RawRequest) -> messages.CallerCall:
        try:
            return self._context.dialect.callers.parse_call(
                raw.method, raw.target, raw.headers, raw.body, raw.received_at
            )
        except ValueError as error:
            raise Refusal(400, f"malformed: {error}") from error

    async def _serve(
        self, call: messages.CallerCall, reply: reply_writer.ReplyWriter
    ) -> None:
        configuration = self._configuration
        if not self._accepts_calls:
            raise Refusal(503, "leaving", MIN_RETRY_AFTER_S)
        if configuration is None:
            raise Refusal(503, "no_configuration", NOT_READY_RETRY_AFTER_S)
        route = configuration.find_route(call.host, call.path)
        if route is None:
            raise Refusal(404, "no_route")
        customer = self._authenticate(configuration, route, call)
        permit = await self._apply_limit(customer, call, route)
        point = self._rng.random()
        execution = call_execution.CallExecution(
            self._context,
            call,
            route,
            customer,
            route.select_service(point),
            reply,
        )
        await self._run_and_log(execution, call, route, customer, permit)

    async def _run_and_log(
        self,
        execution: call_execution.CallExecution,
        call: messages.CallerCall,
        route: configuration_model.Route,
        customer: configuration_model.Customer | None,
        permit: customer_limits.AdmissionResult | None,
    ) -> None:
        try:
            await execution.run()
        except call_execution.NotServed as error:
            raise Refusal(
                error.status, error.reason, error.retry_after_s
            ) from error
        finally:
            if not execution.may_have_run and permit is not None:
                self._limits.refund(permit)
            took_s = asyncio.get_running_loop().time() - call.received_at
            if execution.served:
                execution.clear_suspicion()
                self._observations.record_served(
                    customer.name if customer else "",
                    route.kind.value,
                    execution.first_s,
                    took_s,
                )
            logs.event(
                "request_ended",
                request=call.request_id,
                route=route.name,
                customer=customer.name if customer else None,
                units=permit.units if permit else 0.0,
                took_s=took_s,
                **execution.end_fields,
            )

    def _authenticate(
        self,
        configuration: configuration_model.Configuration,
        route: configuration_model.Route,
        call: messages.CallerCall,
    ) -> configuration_model.Customer | None:
        if route.public or not configuration.requires_key:
            return None
        customer = configuration.find_customer(call.key)
        if customer is None:
            raise Refusal(401, "unknown_key")
        return customer

    async def _apply_limit(
        self,
        customer: configuration_model.Customer | None,
        call: messages.CallerCall,
        route: configuration_model.Route,
    ) -> customer_limits.AdmissionResult | None:
        if customer is None:
            return None
        units = 1.0
        if customer.by_tokens:
            prompt = call.prompt
            units = float(
                prompt.tokens_in + prompt.tokens_out
                if prompt is not None
                else customer.default_tokens
            )
        returning = None
        if self._limits.recognises_returns(customer.name):
            returning = _returning_call(customer, call, route)
        permit = await self._limits.admit(customer.name, units, returning)
        if permit.wait_s > 0.0:
            raise Refusal(
                429,
                "over_the_limit",
                min(MAX_LIMIT_RETRY_AFTER_S, permit.wait_s + LIMIT_MARGIN_S),
                customer=customer.name,
                units=units,
                rate=customer.rate,
                part=self._limits.rate_limit(customer).usable_fraction,
                keeper=permit.keeper or None,
                call_hash=f"{returning.call_hash:016x}" if returning else None,
            )
        return permit

    def _send_refusal(
        self,
        call: messages.CallerCall | None,
        reply: reply_writer.ReplyWriter,
        refusal: Refusal,
    ) -> None:
        self._observations.record_refused(refusal.reason)
        logs.event(
            "request_refused",
            request=call.request_id if call else None,
            status=refusal.status,
            reason=refusal.reason,
            version=(
                self._configuration.version if self._configuration else None
            ),
            retry_after_s=refusal.retry_after_s,
            **refusal.inputs,
        )
        if reply.started:
            reply.abort()
            return
        headers = self._context.dialect.callers.refusal_headers(call)
        if refusal.retry_after_s is not None:
            headers.append(
                (
                    b"Retry-After",
                    b"%.2f" % max(MIN_RETRY_AFTER_S, refusal.retry_after_s),
                )
            )
        reply.send_whole(refusal.status, headers)


def _returning_call(
    customer: configuration_model.Customer,
    call: messages.CallerCall,
    route: configuration_model.Route,
) -> return_slots.ReturningCall:
    """Describe a call to the keeper of its customer's limit."""
    left_s = route.timeout_s
    if call.caller_timeout_s is not None:
        left_s = min(left_s, call.caller_timeout_s)
    left_s -= asyncio.get_running_loop().time() - call.received_at
    longest_s = min(MAX_LIMIT_RETRY_AFTER_S, HONOURED_SHARE * left_s)
    return return_slots.ReturningCall(
        return_slots.call_hash(
            customer.name, call.method, call.target, call.body
        ),
        max(0.0, longest_s - LIMIT_MARGIN_S),
    )
