"""Answers callers: checks, limits, attempts, and the final answer."""

import asyncio
import random
import typing

from .. import logs
from ..contracts import retry_allowance
from ..contracts import usage_windows

from . import callers
from . import dialects
from . import exchange
from . import limits
from . import messages
from . import observations
from . import replies
from . import routes
from . import upstreams

#: When a caller that was refused for want of a configuration or of runners
#: should come back, in seconds: news of either travels within this time.
COME_BACK_S = 0.3
#: Added to the time until a limit allows a call, in seconds: a caller that
#: comes back exactly then may find another one there.
LIMIT_MARGIN_S = 0.05
#: No caller is told to come back sooner, in seconds.
LEAST_COME_BACK_S = 0.01
#: The most that a caller of a customer over its limit is sent away for.
MOST_LIMITED_S = 10.0


class Refusal(Exception):
    """A call is not run.

    :param status: of the answer; 429 and 503 promise that it has not run.
    :param retry_after_s: when to come back; None for never.
    :param inputs: what decided it, for the log.
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


class Relay:
    """The way of each call through this VM.

    :param dialect: how callers and runners speak.
    """

    __slots__ = (
        "_budget",
        "_configuration",
        "_dialect",
        "_limits",
        "_numbers",
        "_observations",
        "_rng",
        "_takes",
        "_upstreams",
        "_usage",
    )

    def __init__(
        self,
        dialect: dialects.Dialect,
        upstreams_: upstreams.Upstreams,
        limits_: limits.Limits,
        budget: retry_allowance.RetryAllowance,
        usage: usage_windows.UsageWindows,
        rng: random.Random,
    ) -> None:
        self._dialect = dialect
        self._upstreams = upstreams_
        self._limits = limits_
        self._budget = budget
        self._usage = usage
        self._rng = rng
        self._configuration: routes.Configuration | None = None
        self._numbers = 0
        self._takes = True
        self._observations = observations.Observations()

    @property
    def upstreams(self) -> upstreams.Upstreams:
        """The runners."""
        return self._upstreams

    @property
    def budget(self) -> retry_allowance.RetryAllowance:
        """The retries that this VM may send."""
        return self._budget

    @property
    def usage(self) -> usage_windows.UsageWindows:
        """What customers used."""
        return self._usage

    @property
    def observations(self) -> observations.Observations:
        """What this VM counts of its calls."""
        return self._observations

    @property
    def dialect(self) -> dialects.Dialect:
        """How callers and runners speak."""
        return self._dialect

    def stop_taking(self) -> None:
        """Refuse all calls that come from now on; another VM takes them."""
        self._takes = False

    def configure(self, configuration: routes.Configuration) -> None:
        """Take over a version of the configuration."""
        self._configuration = configuration

    def next_number(self) -> int:
        """A new number for an attempt."""
        self._numbers += 1
        return self._numbers

    async def answer(self, raw: callers.RawCall, reply: replies.Reply) -> None:
        """Answer one call."""
        call: messages.CallerCall | None = None
        try:
            call = self._read(raw)
            await self._serve(call, reply)
        except Refusal as refusal:
            self._refuse(call, reply, refusal)

    def _read(self, raw: callers.RawCall) -> messages.CallerCall:
        try:
            return self._dialect.callers.read(
                raw.method, raw.target, raw.headers, raw.body, raw.received_at
            )
        except ValueError as error:
            raise Refusal(400, f"malformed: {error}") from error

    async def _serve(
        self, call: messages.CallerCall, reply: replies.Reply
    ) -> None:
        configuration = self._configuration
        if not self._takes:
            raise Refusal(503, "leaving", LEAST_COME_BACK_S)
        if configuration is None:
            raise Refusal(503, "no_configuration", COME_BACK_S)
        route = configuration.route_of(call.host, call.path)
        if route is None:
            raise Refusal(404, "no_route")
        customer = self._customer(configuration, route, call)
        permit = await self._let_in(customer, call)
        point = self._rng.random()
        work = exchange.Exchange(
            self, call, route, customer, route.service_at(point), reply
        )
        await self._run(work, call, route, customer, permit)

    async def _run(
        self,
        work: exchange.Exchange,
        call: messages.CallerCall,
        route: routes.Route,
        customer: routes.Customer | None,
        permit: limits.Permit | None,
    ) -> None:
        try:
            await work.run()
        except exchange.NotServed as error:
            raise Refusal(
                error.status, error.reason, error.retry_after_s
            ) from error
        finally:
            if not work.may_have_run and permit is not None:
                self._limits.give_back(permit)
            took_s = asyncio.get_running_loop().time() - call.received_at
            if work.served:
                self._upstreams.crashes.answered(call, customer)
                self._observations.served(
                    customer.name if customer else "",
                    route.kind.value,
                    work.first_s,
                    took_s,
                )
            logs.event(
                "request_ended",
                request=call.request_id,
                route=route.name,
                customer=customer.name if customer else None,
                units=permit.units if permit else 0.0,
                runner=work.runner_id,
                sends=work.sends,
                served=work.served,
                ended=work.reason or None,
                first_s=work.first_s,
                objective_s=route.objective_s,
                pause_s=work.longest_pause_s or None,
                took_s=took_s,
            )

    def _customer(
        self,
        configuration: routes.Configuration,
        route: routes.Route,
        call: messages.CallerCall,
    ) -> routes.Customer | None:
        if route.public or not configuration.keyed:
            return None
        customer = configuration.customer_of(call.key)
        if customer is None:
            raise Refusal(401, "unknown_key")
        return customer

    async def _let_in(
        self, customer: routes.Customer | None, call: messages.CallerCall
    ) -> limits.Permit | None:
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
        permit = await self._limits.let_in(customer.name, units)
        if permit.wait_s > 0.0:
            raise Refusal(
                429,
                "over_the_limit",
                min(MOST_LIMITED_S, permit.wait_s + LIMIT_MARGIN_S),
                customer=customer.name,
                units=units,
                rate=customer.rate,
                part=self._limits.of(customer).usable_fraction,
                keeper=permit.keeper or None,
            )
        return permit

    def _refuse(
        self,
        call: messages.CallerCall | None,
        reply: replies.Reply,
        refusal: Refusal,
    ) -> None:
        self._observations.refused(refusal.reason)
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
            reply.cut()
            return
        headers = self._dialect.callers.refusal_headers(call)
        if refusal.retry_after_s is not None:
            headers.append(
                (
                    b"Retry-After",
                    b"%.2f" % max(LEAST_COME_BACK_S, refusal.retry_after_s),
                )
            )
        reply.whole(refusal.status, headers)
