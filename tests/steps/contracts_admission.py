"""Steps for tests/contracts/admission.feature."""

import collections
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever.catalogue import model as catalogue_model
from apricotlever import clock as clocks
from apricotlever.contracts import admission
from apricotlever.contracts import fleet_shares
from apricotlever.runners import model as models
from bench import overload
from tests.contracts import naive

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)
TICK_S = 0.1
TRIAL_S = 50.0
DONE = models.Outcome.DONE


class _Controller:
    """An admission controller and the verdict on each ticket."""

    def __init__(self, slots, limits=None, vm="vm0", members=("vm0",)):
        self.clock = clocks.ManualClock()
        self.admission = admission.AdmissionController(
            self.clock, random.Random(1), vm
        )
        self.admission.configure(naive.catalogue(limits))
        self.admission.set_members(members)
        self.admission.set_pool("pool", slots, 0.0)
        self.verdicts = collections.defaultdict(list)
        self.tickets = {}
        self.in_flight = []

    def offer(self, name, customer="alfa", entry="desk", tokens=100.0):
        now = self.clock.now()
        ticket = admission.Ticket(
            name, customer, entry, entry, tokens, now, now + 60.0
        )
        self.tickets[name] = ticket
        self.take(self.admission.offer(ticket))

    def take(self, verdicts):
        now = self.clock.now()
        for verdict in verdicts:
            self.verdicts[verdict.request_id].append((verdict, now))
            if isinstance(verdict, admission.Admitted):
                self.in_flight.append(verdict.request_id)

    def end(self, name, outcome=DONE, **details):
        self.in_flight.remove(name)
        self.take(self.admission.finished(name, outcome, **details))

    def tick(self, seconds=TICK_S):
        self.clock.advance(seconds)
        self.take(self.admission.tick())

    def refused(self):
        found = [v for vs in self.verdicts.values() for v, _ in vs]
        return [v for v in found if isinstance(v, admission.Refused)]


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("offer", "offer", "offer", "end", "tick")),
        strategies.sampled_from(("alfa", "beira")),
        strategies.sampled_from(("desk", "draft")),
        strategies.integers(1, 500),
        strategies.sampled_from(models.Outcome),
    ),
    max_size=120,
)


def _run_steps(steps, limits):
    controller = _Controller(6, limits)
    for number, (kind, customer, entry, size, outcome) in enumerate(steps):
        if kind == "offer":
            controller.offer(str(number), customer, entry, size)
        elif kind == "end" and controller.in_flight:
            name = controller.in_flight[size % len(controller.in_flight)]
            controller.admission.first_token(name)
            controller.end(name, outcome)
        else:
            controller.tick(size / 500)
        pool = controller.admission.pool_admissions.get("pool")
        if pool is not None:
            assert pool.in_flight == len(controller.in_flight)
            assert pool.in_flight <= 6 * 1.25 + 1
        if limits.concurrent is not None:
            for name in ("desk", "draft"):
                at = [
                    r
                    for r in controller.in_flight
                    if controller.tickets[r].entry == name
                ]
                assert len(at) <= limits.concurrent
    return controller


@then("any offers, ends and ticks give each request one verdict")
def _one_verdict(context):
    limits = strategies.builds(
        catalogue_model.Limits,
        strategies.none() | strategies.integers(0, 5),
        strategies.none() | strategies.floats(0.5, 20.0),
        strategies.none() | strategies.floats(50.0, 5000.0),
    )
    context.controllers = []

    @SETTINGS
    @hypothesis.given(STEPS, limits)
    def check(steps, some_limits):
        controller = _run_steps(steps, some_limits)
        for _ in range(30):
            controller.tick()
        context.controllers.append(controller)
        assert set(controller.verdicts) == set(controller.tickets)
        assert all(len(found) == 1 for found in controller.verdicts.values())

    check()


@then("no request waits longer than its class allows")
def _max_wait(context):
    for controller in context.controllers:
        for name, found in controller.verdicts.items():
            _, at = found[0]
            # The ticks of the trial are up to a second apart.
            assert at - controller.tickets[name].arrived <= 2.0 + 1.0 + 1e-9


@given("an admission controller whose pool has {slots:d} slots")
def _controller(context, slots):
    context.controller = _Controller(slots)


@given("its requests take {seconds:d} seconds and all its slots are taken")
def _fill_slots(context, seconds):
    controller = context.controller
    for number in range(4):
        controller.offer(f"first{number}")
    controller.clock.advance(seconds)
    for name in list(controller.in_flight):
        controller.admission.first_token(name)
        controller.end(name)
    for number in range(40):
        controller.offer(f"taking{number}")
    for _ in range(40):
        controller.tick()


@when("{count:d} more tickets are offered")
def _offer_more(context, count):
    context.more = [f"more{n}" for n in range(count)]
    for name in context.more:
        context.controller.offer(name)


@then(
    "at least {count:d} of them are refused in the same moment as"
    ' "{reason}"'
)
def _at_once(context, count, reason):
    now = context.controller.clock.now()
    found = [context.controller.verdicts[n] for n in context.more]
    first_verdicts = [f[0] for f in found if f]
    context.refused_now = [
        verdict for verdict, at in first_verdicts if at == now
    ]
    assert len(context.refused_now) >= count
    assert {v.reason.value for v in context.refused_now} == {reason}


@then(
    "the refused callers are told to retry after at least {seconds:d} second"
)
def _retry_after(context, seconds):
    assert min(v.retry_after_s for v in context.refused_now) >= seconds


@then('a ticket for entry "{entry}" is refused as "{reason}"')
def _refused_as(context, entry, reason):
    context.controller.offer("asked", "alfa", entry)
    for _ in range(40):
        context.controller.tick()
    verdict, _ = context.controller.verdicts["asked"][0]
    assert verdict.reason.value == reason
    assert verdict.retry_after_s > 0


@given("an entry that may admit {rate:d} requests a second")
def _rate_limited(context, rate):
    limits = catalogue_model.Limits(requests_per_s=float(rate))
    context.controller = _Controller(1000, limits)
    context.controller.tick(fleet_shares.DISCOVERY_S)


@given("an entry that may spend {amount:f} an hour")
def _spend_limited(context, amount):
    limits = catalogue_model.Limits(spend_per_hour=amount)
    context.controller = _Controller(8, limits)
    context.controller.tick(fleet_shares.DISCOVERY_S)
    context.controller.offer("first")


@when("a request ends that cost {amount:f}")
def _request_costs(context, amount):
    context.controller.end("first", cost=amount)


@when("{count:d} tickets are offered at once")
def _offer_many(context, count):
    for number in range(count):
        context.controller.offer(str(number))


@then("later refused callers are told to retry later")
def _increasing_retries(context):
    retry_delays = [v.retry_after_s for v in context.controller.refused()]
    assert len(retry_delays) >= 100
    third = len(retry_delays) // 3
    assert min(retry_delays) > 0
    assert sum(retry_delays[-third:]) > 2 * sum(retry_delays[:third])
    # 160 callers that retry at 10 a second need 16 seconds.
    assert 12.0 < max(retry_delays) < 24.0, max(retry_delays)


@when(
    '"alfa" offers {a:d} and "beira" {b:d} tickets a second for {s:d} seconds'
)
def _offer_two_rates(context, a, b, s):
    rng = random.Random(5)
    arrivals = sorted(
        (rng.uniform(0, s), customer, number)
        for customer, rate in (("alfa", a), ("beira", b))
        for number in range(rate * s)
    )
    start = context.controller.clock.now()
    for at, customer, number in arrivals:
        while context.controller.clock.now() < start + at:
            context.controller.tick(0.02)
            for name in list(context.controller.in_flight):
                context.controller.end(name)
        context.controller.offer(f"{customer}{number}", customer)
    for _ in range(40):
        context.controller.tick()


def _admitted(controller, customer=""):
    return [
        name
        for name, found in controller.verdicts.items()
        if isinstance(found[0][0], admission.Admitted)
        and controller.tickets[name].customer.startswith(customer)
    ]


@then("at most {count:d} requests were admitted in all")
def _check_admitted_total(context, count):
    assert 150 <= len(_admitted(context.controller)) <= count


@then('at least {part:d} of 100 tickets of "{customer}" were admitted')
def _check_admitted_share(context, part, customer):
    admitted = len(_admitted(context.controller, customer))
    offered = sum(
        t.customer == customer for t in context.controller.tickets.values()
    )
    assert 100 * admitted / offered >= part, 100 * admitted / offered


@given(
    "{count:d} admission controllers that share a limit of {n:d} concurrent"
    " requests"
)
def _sharing_limit(context, count, n):
    names = [f"vm{number}" for number in range(count)]
    limits = catalogue_model.Limits(concurrent=n)
    context.controllers = [
        _Controller(100, limits, name, names) for name in names
    ]


@when("each is offered more and they exchange their demand")
def _exchange_demand(context):
    for second in range(20):
        for place, controller in enumerate(context.controllers):
            for number in range(5 * (place + 1)):
                controller.offer(f"{second}-{number}")
        for _ in range(10):
            for controller in context.controllers:
                controller.tick()
                report = controller.admission.take_report()
                for other in context.controllers if report else ():
                    if other is not controller:
                        other.admission.shares.receive(report)
        if second % 4 == 1:
            for controller in context.controllers:
                for name in list(controller.in_flight):
                    controller.end(name)


@then("together they have {count:d} requests in flight")
def _total_in_flight(context, count):
    assert (
        sum(len(controller.in_flight) for controller in context.controllers)
        == count
    )


@when("{count:d} tickets are offered and then the catalogue becomes empty")
def _empty_catalogue(context, count):
    _offer_many(context, count)
    context.controller.admission.configure(catalogue_model.EMPTY)


@then("every offered ticket still gets its verdict")
def _all_decided(context):
    controller = context.controller
    for _ in range(40):
        controller.tick()
        for name in list(controller.in_flight):
            controller.admission.first_token(name)
            controller.end(name)
    assert set(controller.verdicts) == set(controller.tickets)
    assert len(_admitted(controller)) >= 8


@when("{count:d} tickets are offered and the queued ones are withdrawn")
def _withdraw_queued(context, count):
    _offer_many(context, count)
    controller = context.controller
    waiting = [n for n in controller.tickets if not controller.verdicts[n]]
    assert waiting and controller.in_flight
    for name in waiting:
        assert controller.admission.withdraw(name) == []


@when("the tickets in flight are withdrawn")
def _withdraw_in_flight(context):
    for name in list(context.controller.in_flight):
        context.controller.admission.withdraw(name)


@then("no ticket is queued any more")
def _nothing_queued(context):
    assert (
        context.controller.admission.pool_admissions["pool"].queue_length == 0
    )


@then("no ticket is in flight any more")
def _nothing_in_flight(context):
    assert context.controller.admission.pool_admissions["pool"].in_flight == 0


def _run_trial(way, load):
    return overload.AdmissionSimulation(
        way, overload.loads()[load], TRIAL_S
    ).run()


@then("at 2x and 5x the goodput is within a tenth of the highest")
def _goodput(context):
    good = [
        _run_trial("ours", load)["good_per_s"] for load in ("1x", "2x", "5x")
    ]
    context.highest_goodput = max(good)
    assert min(good[1:]) >= 0.9 * context.highest_goodput, good


@then("with a FIFO queue the goodput at 2x is less than a tenth of it")
def _fifo(context):
    assert (
        _run_trial("fifo", "2x")["good_per_s"] < 0.1 * context.highest_goodput
    )


@then("at least {part:d} of 100 requests of each other customer are in time")
def _other_customers(context, part):
    good = _run_trial("ours", "flood")["good_part"]
    calm = [good[customer] for customer in ("alfa", "beira", "cinta")]
    assert 100 * min(calm) >= part, good


@then("with a fixed limit less than {part:d} of 100 are")
def _fixed_limit(context, part):
    good = _run_trial("fixed", "flood")["good_part"]
    assert 100 * good["alfa"] < part


@then('at 5x the class "draft" has at most a fifth of the goodput of "desk"')
def _class_goodput(context):
    parts = _run_trial("ours", "5x")["good_part_by_class"]
    assert parts["draft"] <= parts["desk"] / 5, parts
