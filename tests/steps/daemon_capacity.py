"""Steps for tests/daemon/capacity.feature."""

from behave import given
from behave import then
from behave import when

from tests.daemon import fleet_fixture
from tests.support import fleet


@given("{count:d} more engines can be bought")
def _spares(context, count):
    fixture = context.scene
    names = [f"spare-{number}" for number in range(count)]
    fixture.fleet.start_engines(
        names,
        fleet_fixture.MODEL_POOL,
        fleet_fixture.DATA_CENTRES,
        register=False,
    )
    fixture.fleet.add_spares(names, fleet_fixture.MODEL_POOL)
    prices = [
        {
            "data_centre": data_centre,
            "machine": "small",
            "market": market,
            "per_hour": price,
        }
        for data_centre, extra in zip(
            fleet_fixture.DATA_CENTRES, (0.0, 0.1, 0.2)
        )
        for market, price in (
            ("reclaimable", 1.0 + extra),
            ("on_demand", 3.0 + extra),
        )
    ]
    fixture.fleet.control("cloud", "prices", {"prices": prices})


@given("the cloud loses the next {count:d} answers")
def _lost_answers(context, count):
    context.scene.fleet.set_faults("cloud", lose_answer=count)


@given("the cloud sells no VM in {data_centre}")
def _sold_out(context, data_centre):
    context.scene.fleet.set_faults("cloud", no_capacity=[data_centre])


@when("the catalogue requires at least {minimum:d} runners")
def _minimum(context, minimum):
    document = fleet_fixture.catalogue()
    for entry in document["entries"].values():
        entry["capacity"] = dict(entry["capacity"], min_runners=minimum)
        if entry["kind"] == "service":
            entry["capacity"]["min_runners"] = 0
    context.scene.fleet.put_catalogue(document)


@then("each entry VM has {count:d} runners that are not leaving")
def _has_runners(context, count):
    def all_have_count():
        pages = [context.scene.status(vm) for vm in context.scene.vms]
        not_leaving = [
            [row for row in page["runners"] if not row["leaving"]]
            for page in pages
        ]
        return all(len(rows) == count for rows in not_leaving)

    fleet.wait_for(all_have_count, 45.0)


@then("the cloud has sold {count:d} VMs")
def _sold(context, count):
    fleet.wait_for(lambda: len(_bought(context)) >= count, 45.0)
    bought = _bought(context)
    assert len(bought) == count, bought


def _bought(context):
    listed = fleet.http.call(
        context.scene.fleet.address("cloud"), "GET", "/v1/vms"
    ).payload["vms"]
    return [vm["vm"] for vm in listed if vm["vm"].startswith("spare")]
