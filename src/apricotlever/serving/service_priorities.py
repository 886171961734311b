"""Levels of calls at contended services, from what all VMs report."""

import typing

from .. import clock as clocks
from .. import logs
from ..contracts import call_priorities
from ..contracts import demand_shares
from ..runners import engine_priority
from ..runners import model as models
from ..runners import routing
from ..vms import shared_samples

from . import configuration_model
from . import modes

#: Topic of the shared samples; the keys are service, a slash and customer.
TOPIC = "demand"
#: Time between two updates of the expected waits, in seconds. Loads arrive ten
#: times a second and each update looks at all runners of a service, while
#: contention lasts for seconds.
UPDATE_INTERVAL_S = 0.2


class QueueLevel:
    """The level of a call in an engine's queue, and why.

    :param level: the level that the engine is told.
    :param cause: in contention, "over_share" if the customer uses more than
        its fair share, else "rank" or "size", whichever counts first;
        "continues" for a call that continues a stream; None for the level
        without contention.
    """

    __slots__ = ("level", "cause")

    def __init__(self, level: int, cause: str | None) -> None:
        self.level = level
        self.cause = cause


class _Service:
    """The state of one service whose routes have several ranks.

    A rank is a route's priority; the lowest number is the most urgent. The
    field ``passing`` measures how much of the tokens are those of short
    prompts of less urgent ranks, which pass longer prompts of more urgent
    ranks in the order by size.
    """

    __slots__ = (
        "plan",
        "contention",
        "passing",
        "shares",
        "changed_levels",
        "ranks",
    )

    def __init__(
        self, clock: clocks.Clock, plan: engine_priority.LevelPlan
    ) -> None:
        self.plan = plan
        self.contention = call_priorities.ServiceContention(clock)
        self.passing = call_priorities.PassingShare(clock)
        self.shares = demand_shares.DemandShares(clock)
        #: Ranks by the routes' names.
        self.ranks: dict[str, int] = {}
        self.changed_levels = 0


def continued_level(
    customer: configuration_model.Customer | None, usual: QueueLevel
) -> QueueLevel:
    """The level of a call that continues a stream.

    Its caller has a part of the answer and waits for the next event, and it
    can't go to the runners of other versions. So it goes before all calls of
    its customer's priority that begin.
    """
    priority = customer.priority if customer is not None else None
    first = engine_priority.first_level(priority)
    if first >= usual.level:
        return usual
    return QueueLevel(first, "continues")


class ServicePriorities:
    """Decides the levels of calls.

    Services without an engine, or with a single rank, keep no state here.

    :param router: knows the prompt tokens that wait at each runner.
    :param token_s: seconds of the prefill of a token at a runner of mean
        speed, by service; 0 while unknown.
    :param speed: relative prefill speed of a runner.
    :param mode: the mode of the part ``priorities``.
    """

    __slots__ = (
        "_clock",
        "_customers",
        "_ignored_samples",
        "_mode",
        "_router",
        "_samples",
        "_services",
        "_speed",
        "_token_s",
        "_updated_at",
        "_weights",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        router: routing.Router,
        token_s: typing.Callable[[str], float],
        speed: typing.Callable[[str], float],
        mode: modes.Mode,
    ) -> None:
        self._clock = clock
        self._router = router
        self._token_s = token_s
        self._speed = speed
        self._mode = mode
        self._services: dict[str, _Service] = {}
        self._customers: frozenset[str] = frozenset()
        self._weights: dict[str, float] = {}
        self._samples: shared_samples.SampleBuffer | None = None
        self._ignored_samples = 0
        self._updated_at = float("-inf")

    def send_samples(self, buffer: shared_samples.SampleBuffer) -> None:
        """Set the buffer of the counts that are sent to the other VMs."""
        self._samples = buffer

    def configure(
        self, configuration: configuration_model.Configuration
    ) -> None:
        """Compute the levels for a new version of the configuration."""
        if self._mode is modes.Mode.OFF:
            return
        self._customers = frozenset(configuration.customers)
        customers = configuration.customers.values()
        self._weights = {c.name: c.rate for c in customers if c.rate > 0.0}
        priorities = {c.priority or 0 for c in customers} or {0}
        ranks: dict[str, set[int]] = {}
        for route in configuration.routes:
            for target, _ in route.targets:
                ranks.setdefault(target, set()).add(route.priority)
        before, self._services = self._services, {}
        for name, service in configuration.services.items():
            if service.engine is None or len(ranks.get(name, ())) < 2:
                continue
            plan = engine_priority.LevelPlan(priorities, ranks[name])
            state = before.get(name) or _Service(self._clock, plan)
            state.plan = plan
            state.ranks = {
                route.name: route.priority
                for route in configuration.routes
                if any(target == name for target, _ in route.targets)
            }
            self._services[name] = state

    def level(
        self,
        service: str,
        route: configuration_model.Route,
        customer: configuration_model.Customer | None,
        prompt_tokens: int,
    ) -> QueueLevel:
        """The level of a call that is about to be sent.

        :param prompt_tokens: tokens of the whole prompt.
        """
        priority = customer.priority if customer is not None else None
        usual = engine_priority.queue_level(
            priority, route.priority, prompt_tokens
        )
        state = self._services.get(service)
        if state is None:
            return QueueLevel(usual, None)
        state.contention.record_call(route.priority, route.objective_s)
        if not state.contention.contended:
            return QueueLevel(usual, None)
        over = customer is not None and customer.name in state.shares.over
        decide = (
            state.plan.level
            if state.passing.is_high
            else state.plan.level_by_size
        )
        level = decide(priority, route.priority, prompt_tokens, over)
        state.changed_levels += level != usual
        if self._mode is not modes.Mode.ON:
            return QueueLevel(usual, None)
        if over:
            return QueueLevel(level, "over_share")
        return QueueLevel(level, "rank" if state.passing.is_high else "size")

    def record_sent(
        self,
        service: str,
        customer: str | None,
        query: models.Query,
        tokens: int,
    ) -> None:
        """Count a prompt that was sent to a runner.

        :param customer: name of the customer; None for calls without one.
        :param tokens: tokens that the runner probably has to prefill.
        """
        state = self._services.get(service)
        if state is None:
            return
        is_short = query.prompt_tokens < engine_priority.SHORT_PROMPT_TOKENS
        first = state.plan.ranks[0]
        state.passing.record(
            tokens, is_short and state.ranks.get(query.entry, first) > first
        )
        if customer is None:
            return
        state.shares.add(customer, 1, tokens)
        if self._samples is not None:
            self._samples.add(TOPIC, f"{service}/{customer}", [1, tokens])

    def merge_samples(self, samples: shared_samples.Samples) -> None:
        """Add the counts of the other VMs.

        Counts of unknown services and customers, of another length and beyond
        the limits are ignored.
        """
        for key, counts in samples.get(TOPIC, {}).items():
            service, _, customer = key.partition("/")
            state = self._services.get(service)
            if state is None or customer not in self._customers:
                continue
            self._ignored_samples += not state.shares.merge(customer, counts)

    def update(self) -> None:
        """Apply the loads of all VMs, which have changed.

        Calls within :data:`UPDATE_INTERVAL_S` of an update do nothing.
        """
        now = self._clock.now()
        if now < self._updated_at + UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        for name, state in self._services.items():
            waiting = self._router.waiting_tokens(name)
            speeds = {
                runner: self._speed(runner)
                for runner, tokens in waiting.items()
                if tokens
            }
            wait_s = call_priorities.mean_wait_s(
                waiting, self._token_s(name), speeds
            )
            if state.contention.observe_wait(wait_s):
                logs.event(
                    "service_contention",
                    service=name,
                    contended=state.contention.contended,
                    wait_s=wait_s,
                    objective_s=state.contention.objective_s,
                    mode=self._mode.value,
                )
            if state.contention.contended:
                self._update_shares(name, state, sum(waiting.values()))

    def metrics(self) -> dict[tuple[str, str], dict[str, float]]:
        """Values for the metrics of this VM, by name and label."""
        services = self._services.items()
        calls: dict[str, float] = {}
        tokens: dict[str, float] = {}
        fair_tokens: dict[str, float] = {}
        put_behind: dict[str, float] = {}
        for name, state in services:
            over = state.shares.over if state.contention.contended else ()
            for customer, demand in state.shares.demands().items():
                key = f"{name}/{customer}"
                calls[key] = demand.calls
                tokens[key] = demand.tokens
                put_behind[key] = float(customer in over)
                share = state.shares.shares.get(customer, float("inf"))
                if share != float("inf"):
                    fair_tokens[key] = share
        return {
            ("service_contended", "service"): {
                name: float(state.contention.contended)
                for name, state in services
            },
            ("service_wait_s", "service"): {
                name: state.contention.wait_s for name, state in services
            },
            ("demand_reports_ignored_total", "topic"): (
                {TOPIC: self._ignored_samples} if self._services else {}
            ),
            ("levels_changed_total", "service"): {
                name: state.changed_levels for name, state in services
            },
            ("demand_calls", "demand"): calls,
            ("demand_tokens", "demand"): tokens,
            ("demand_fair_tokens", "demand"): fair_tokens,
            ("demand_put_behind", "demand"): put_behind,
        }

    def _update_shares(
        self, service: str, state: _Service, waiting_tokens: int
    ) -> None:
        before = state.shares.over
        state.shares.update(waiting_tokens, self._weights)
        demands = state.shares.demands()
        # A customer's last calls may have left the window since the update.
        for customer in (state.shares.over - before) & demands.keys():
            logs.event(
                "customer_over_share",
                service=service,
                customer=customer,
                tokens=demands[customer].tokens,
                share=state.shares.shares[customer],
                mode=self._mode.value,
            )
