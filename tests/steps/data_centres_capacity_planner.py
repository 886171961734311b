"""Steps for tests/data_centres/capacity_planner.feature."""

import random

from behave import given
from behave import then
from behave import when

from apricotlever import clock
from apricotlever.data_centres import capacity_planner
from apricotlever.data_centres import model
from apricotlever.data_centres import model_load_limiter
from apricotlever.data_centres import placement
from apricotlever.data_centres import price_table
from apricotlever.data_centres import reclaim_risk
from apricotlever.data_centres import sizing

DATA_CENTRES = ("sala-a", "sala-b", "sala-c")
SLOTS = 16
TICK_S = 5.0
LOAD_TICKS = 6


class _Cloud:
    """Simulates a cloud that starts VMs immediately.

    A test can make it lose answers, refuse starts or delay the list of
    VMs.
    """

    def __init__(self, planner_of, least):
        self.clock = clock.ManualClock(60_000.0)
        self.price_table = price_table.PriceTable()
        self.load_limiter = model_load_limiter.ModelLoadLimiter(self.clock)
        self.places = [
            model.Place(data_centre, "large", market)
            for data_centre in DATA_CENTRES
            for market in model.Market
        ]
        self.fluctuate(0.0)
        policy = capacity_planner.CapacityPolicy("large", least, 60, SLOTS)
        self.planner = planner_of(self, policy)
        self.vms, self.vm_by_token, self.sent_tokens = {}, {}, []
        self.refusing_data_centres, self.loses_answers, self.list_delay_s = (
            set(),
            False,
            0.0,
        )
        self.refused_starts, self.released = 0, []
        self.starts_loaded, self.loading, self.max_loads = True, {}, None
        self.load_refusals = 0

    def fluctuate(self, share):
        self.price_table.update(
            {
                place: (3.0 if place.market == "on_demand" else 1.0)
                * (1 + 0.01 * number)
                * (1 + share * (-1) ** number)
                for number, place in enumerate(self.places)
            }
        )

    def run(self, rate, seconds, fluctuation=0.0):
        for number in range(int(seconds / TICK_S)):
            self.fluctuate(fluctuation * (-1) ** number)
            demand = model.Demand(rate, 4.0, 0.8)
            for order in self.planner.tick(demand, self.listed()):
                self.carry_out(order)
            self.end_loads()
            self.clock.advance(TICK_S)

    def listed(self):
        latest = self.clock.now() - self.list_delay_s
        return [holding for holding, at in self.vms.values() if at <= latest]

    def carry_out(self, order):
        if isinstance(order, model.Buy):
            self.buy(order)
        elif isinstance(order, model.LoadModel):
            self.load(order)
        else:
            self.released.append(self.vms.pop(order.vm)[0])

    def buy(self, order):
        self.sent_tokens.append(order.token)
        if order.place.data_centre in self.refusing_data_centres:
            self.refused_starts += 1
            self.planner.record_refusal(order.token)
            return
        if order.token not in self.vm_by_token:
            vm = f"vm-{len(self.vm_by_token)}"
            self.vm_by_token[order.token] = vm
            self.vms[vm] = (
                model.HeldRunner(
                    vm, order.place, model.RunnerState.LIVE, self.starts_loaded
                ),
                self.clock.now(),
            )
        if not self.loses_answers:
            self.planner.record_grant(
                order.token, self.vm_by_token[order.token]
            )

    def load(self, order):
        if len(self.loading) >= self.max_loads:
            self.load_refusals += 1
            self.load_limiter.record_refusal(order.vm, TICK_S)
            return
        self.loading[order.vm] = LOAD_TICKS

    def end_loads(self):
        remaining = {vm: ticks - 1 for vm, ticks in self.loading.items()}
        for vm in [vm for vm, ticks in remaining.items() if not ticks]:
            del remaining[vm]
            self.vms[vm][0].loaded = True
            self.load_limiter.record_end(vm)
        self.loading = remaining

    def count_by_place(self):
        held = {}
        for holding, _ in self.vms.values():
            held[holding.place] = held.get(holding.place, 0) + 1
        return held


@given("a planner for 3 data centres with at least {least:d} runners")
def _planner(context, least):
    def planner_of(cloud, policy):
        return capacity_planner.CapacityPlanner(
            cloud.clock,
            random.Random(1),
            "drafts",
            policy,
            cloud.price_table,
            reclaim_risk.ReclaimRisk(cloud.clock),
            cloud.load_limiter,
        )

    context.cloud = _Cloud(planner_of, least)


@given("the cloud's answers are lost")
def _answers_lost(context):
    context.cloud.loses_answers = True
    context.cloud.list_delay_s = 1000.0


@given('the cloud refuses starts in "{data_centre}"')
def _starts_refused(context, data_centre):
    context.cloud.refusing_data_centres.add(data_centre)


@given("the list of VMs is delayed by {seconds:d} s")
def _list_delayed(context, seconds):
    context.cloud.list_delay_s = seconds


@given(
    "runners start without a model and the store allows {count:d} loads at a "
    "time"
)
def _without_models(context, count):
    context.cloud.starts_loaded = False
    context.cloud.max_loads = count


@given(
    '{count:d} "{market}" and {other:d} "{market2}" runners in each '
    "data centre"
)
def _given_runners(context, count, market, other, market2):
    cloud = context.cloud
    wanted = {market: count, market2: other}
    for place in cloud.places:
        for number in range(wanted[place.market]):
            vm = f"{place}-{number}"
            holding = model.HeldRunner(vm, place, model.RunnerState.LIVE)
            cloud.vms[vm] = (holding, 0.0)


@when("{rate:d} requests/s arrive for {seconds:d} s")
def _requests_arrive(context, rate, seconds):
    context.cloud.run(rate, seconds)


@when(
    "prices fluctuate by {percent:d} percent while {rate:d} requests/s arrive "
    "for {seconds:d} s"
)
def _prices_fluctuate(context, percent, rate, seconds):
    context.cloud.run(rate, seconds, percent / 200)


@when('the cloud reclaims "{data_centre}" and refuses starts there')
def _data_centre_reclaimed(context, data_centre):
    cloud = context.cloud
    cloud.refusing_data_centres.add(data_centre)
    for holding, _ in cloud.vms.values():
        if holding.place.data_centre == data_centre:
            holding.state = model.RunnerState.LEAVING


@then("the held runners suffice for {rate:d} requests/s")
def _runners_suffice(context, rate):
    demand = model.Demand(rate, 4.0, 0.8)
    live = [
        holding
        for holding, _ in context.cloud.vms.values()
        if holding.state is model.RunnerState.LIVE
    ]
    needed = sizing.runners_needed(demand, SLOTS)
    assert len(live) >= needed, (len(live), needed)


@then("at least {count:d} runners remain after the loss of any data centre")
def _runners_remain(context, count):
    remaining = placement.survivors(context.cloud.count_by_place())
    assert remaining >= count, remaining


@then("every order was repeated with its own token")
def _orders_repeated(context):
    sent_tokens = context.cloud.sent_tokens
    assert sent_tokens and all(
        sent_tokens.count(token) > 1 for token in sent_tokens
    )


@then("the cloud started one VM per token")
def _vms_started(context):
    cloud = context.cloud
    assert len(cloud.vms) == len(set(cloud.sent_tokens)) <= 7, len(cloud.vms)


@then("the cloud refused fewer than {count:d} starts")
def _few_starts_refused(context, count):
    assert (
        0 < context.cloud.refused_starts < count
    ), context.cloud.refused_starts


@then("no runner was released")
def _none_released(context):
    assert not context.cloud.released


@then(
    "{count:d} runners are held, {remaining:d} of which survive the loss of a "
    "data centre"
)
def _held_and_surviving(context, count, remaining):
    cloud = context.cloud
    found = (len(cloud.vms), placement.survivors(cloud.count_by_place()))
    assert found == (count, remaining), found


@then("at most {count:d} runners are held")
def _at_most_held(context, count):
    assert len(context.cloud.vms) <= count, len(context.cloud.vms)


@then('the first {count:d} released runners are "{market}"')
def _first_released(context, count, market):
    found = [holding.place.market for holding in context.cloud.released]
    assert found[:count] == [market] * count, found


@then(
    "every runner has its model and the store refused fewer than "
    "{count:d} loads"
)
def _models_loaded(context, count):
    cloud = context.cloud
    held = [holding for holding, _ in cloud.vms.values()]
    assert len(held) > 15 and all(holding.loaded for holding in held)
    assert 0 < cloud.load_refusals < count, cloud.load_refusals
