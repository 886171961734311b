"""Steps for tests/client/fleet_commands.feature."""

import json

from behave import given
from behave import then

from tests.client import command_runner
from tests.daemon import fleet_fixture
from tests.daemon import outages
from tests.support import fleet
from tests.support import launcher

PRICE_PER_HOUR = 3600.0
#: Slots of each engine in the scene; a request occupies one slot.
SLOTS_PER_ENGINE = 16
MAX_SLOT_TIME_S = 5.0


class _PricedScene(fleet_fixture.FleetFixture):
    """A fleet whose runners have a price."""

    def _start_platform(self):
        super()._start_platform()
        prices = [
            {
                "data_centre": data_centre,
                "machine": launcher.DEFAULT_MACHINE,
                "market": "reclaimable",
                "per_hour": PRICE_PER_HOUR,
            }
            for data_centre in fleet_fixture.DATA_CENTRES
        ]
        self.fleet.control("cloud", "prices", {"prices": prices})


@given("a fleet of {engines:d} engines with prices and {vms:d} entry VMs")
def _start_priced_fleet(context, engines, vms):
    context.scene = _PricedScene(engines, 0, vms)
    context.closers.append(context.scene.close)


def _run_json(context, name):
    command_runner.run_in_scenario(context, [name, "--json"])
    assert context.exit_code == 0, context.printed + context.complaint
    return json.loads(context.printed)


@then("in JSON the status is that of the queried entry VM")
def _check_status(context):
    assert _run_json(context, "status")["vm"] == "vm-0"
    expected = dict.fromkeys(context.scene.vms, "alive")

    def all_alive():
        found = _run_json(context, "status")
        known = {peer["vm"]: peer["state"] for peer in found["peers"]}
        return known == expected

    # Peers rightly suspect a VM that gets no processor time for a second, so
    # the check waits until every VM is alive.
    fleet.wait_for(all_alive)


@then("in JSON the entries are all entry VMs")
def _check_entries(context):
    found = _run_json(context, "entries")["entries"]
    named = {row["vm"]: row["address"] for row in found}
    assert named == outages.addresses(context.scene), named


@then(
    "in JSON the histograms count {count:d} first tokens of {customer} in "
    "class {service_class}"
)
def _check_histograms(context, count, customer, service_class):
    found = _run_json(context, "histograms")
    assert not found["missing"], found
    [row] = [
        row
        for row in found["histograms"]
        if row["measure"] == "first_token"
        and (row["customer"], row["class"]) == (customer, service_class)
    ]
    assert row["count"] == count, row
    assert 0 < row["p50_s"] <= row["p99_s"], row


@then(
    "in JSON the cost is that of {count:d} requests of {customer} to {entry}"
)
def _check_cost(context, count, customer, entry):
    found = _run_json(context, "cost")
    assert not found["missing"], found
    [row] = found["cost"]
    assert (row["customer"], row["entry"]) == (customer, entry), row
    assert row["requests"] == count, row
    max_cost = (
        count * MAX_SLOT_TIME_S * PRICE_PER_HOUR / 3600.0 / SLOTS_PER_ENGINE
    )
    assert 0 < row["cost"] < max_cost, row


@then("in JSON every entry VM has the store's version in force")
def _check_in_force(context):
    found = _run_json(context, "in-force")
    stored = outages.stored(context.scene)["version"]
    versions = {row["vm"]: row["version"] for row in found["vms"]}
    assert versions == dict.fromkeys(context.scene.vms, stored), found
    assert found["store"] is None, found


@then("the output does not name {vm}")
def _check_not_named(context, vm):
    assert vm not in context.printed, context.printed


@then("within {seconds:f} s the output names {vm} with that version")
def _wait_until_named(context, seconds, vm):
    stored = outages.stored(context.scene)["version"]

    def named():
        rows = _run_json(context, "in-force")["vms"]
        return any((row["vm"], row["version"]) == (vm, stored) for row in rows)

    fleet.wait_for(named, seconds)


@then("in-force, status, entries, histograms and cost exit with {code:d}")
def _check_exit_codes(context, code):
    for name in ("in-force", "status", "entries", "histograms", "cost"):
        command_runner.run_in_scenario(context, [name])
        assert context.exit_code == code, (name, context.complaint)
        assert context.scene.fleet.address("vm-0") in context.complaint
