"""Steps for tests/standins/services.feature."""

from concurrent import futures

from behave import given
from behave import then
from behave import when

from standins import cloud_api
from standins import weight_store
from tests.standins import scenario_server
from tests.support import caller
from tests.support import fleet
from tests.support import http as calls

OPERATION = "register-power-17"
NOTICES = "/v1/notices?after=0&timeout_s=10"
RUNNER = "vm-r1"


def _call_cloud(context, method, path, body=None):
    return calls.call(context.cloud, method, path, body)


def _buy(context, data_centre, token):
    order = {
        "data_centre": data_centre,
        "machine": "small",
        "market": "reclaimable",
        "pool": "llm",
        "token": token,
    }
    return _call_cloud(context, "POST", "/v1/vms", order)


def _listed_states(context):
    vms = _call_cloud(context, "GET", "/v1/vms").payload["vms"]
    return {vm["vm"]: vm["state"] for vm in vms}


@given("a cloud API stand-in whose list lags by {lag_s:g} s")
def _cloud_with_lag(context, lag_s):
    standin = cloud_api.CloudApi()
    standin.faults.set({"lag_s": lag_s})
    context.cloud_standin = standin
    context.cloud = scenario_server.serve_in_scenario(context, standin)


@given("a weight store stand-in with a burst limit of {burst:d} loads")
def _weight_store_with_burst(context, burst):
    standin = weight_store.WeightStore()
    standin.faults.set({"burst": burst, "loads_per_s": 0.01})
    context.weights = scenario_server.serve_in_scenario(context, standin)


@given("a plain service stand-in in its own process")
def _service_process(context):
    context.fleet = fleet.Fleet()
    context.closers.append(context.fleet.close)
    context.fleet.start_services(["s1"], "pool", register=False)


@given("the plain service has the fault {fault} for one call")
def _set_service_fault(context, fault):
    context.fleet.set_faults("s1", **{fault: 1})


@when("the same purchase is sent to the cloud API twice")
def _buy_twice(context):
    first = _buy(context, "dc-a", "token-1")
    context.listed_at_once = _listed_states(context)
    second = _buy(context, "dc-a", "token-1")
    assert first.status == second.status == 201
    context.bought = {first.payload["vm"], second.payload["vm"]}


@when("the cloud API has no capacity in data centre dc-a")
def _remove_capacity(context):
    context.cloud_standin.faults.set({"no_capacity": ["dc-a"]})


@when("a runner is registered and reclaimed in {notice_s:g} s")
def _reclaim_runner(context, notice_s):
    context.notice_s = notice_s
    vm = {"vm": RUNNER, "data_centre": "dc-a", "role": "runner"}
    _call_cloud(context, "POST", "/control/register", vm)
    with futures.ThreadPoolExecutor(1) as pool:
        poll = pool.submit(_call_cloud, context, "GET", NOTICES)
        counts = context.cloud_standin.counts
        fleet.wait_for(lambda: counts()["notices_waiting"])
        order = {"vms": [RUNNER], "notice_s": notice_s}
        _call_cloud(context, "POST", "/control/reclaim", order)
        context.states = _listed_states(context)
        context.notices = poll.result(5.0).payload


@when("{count:d} leases are requested from the weight store")
def _request_leases(context, count):
    body = {"model": "m", "version": "1"}
    context.replies = [
        calls.call(context.weights, "POST", "/v1/leases", body)
        for _ in range(count)
    ]


@when("the operation is sent to the plain service {count:d} times")
def _send_operation(context, count):
    context.errors = []
    for _ in range(count):
        try:
            calls.call(
                context.fleet.address("s1"),
                "POST",
                "/registrations",
                {"operation": OPERATION},
                {"Apricotlever-Request": "vm-1.1.1"},
            )
        except caller.CONNECTION_ERRORS as error:
            context.errors.append(error)


@then("the cloud API has sold 1 VM")
def _one_vm_sold(context):
    assert len(context.bought) == 1


@then("the cloud API's list contains the VM only after its lag")
def _listed_after_lag(context):
    assert context.listed_at_once == {}
    fleet.wait_for(lambda: set(_listed_states(context)) == context.bought)


@then("the cloud API refuses a VM in dc-a and sells a VM in dc-b")
def _refused_without_capacity(context):
    assert _buy(context, "dc-a", "token-1").status == 409
    assert _buy(context, "dc-b", "token-2").status == 201


@then("the cloud API's notice has the runner's name and the remaining time")
def _notice_matches(context):
    (notice,) = context.notices["notices"]
    assert notice["vm"] == RUNNER and notice["seq"] == 1
    assert 0.0 <= notice["deadline_s"] <= context.notice_s


@then("the cloud API's list shows the runner as leaving, then not at all")
def _listed_as_leaving(context):
    assert context.states == {RUNNER: "leaving"}
    fleet.wait_for(lambda: not _listed_states(context))


@then(
    "the weight store grants {granted:d} and refuses {refused:d} with a"
    " retry time"
)
def _leases_granted(context, granted, refused):
    statuses = [reply.status for reply in context.replies]
    assert statuses == [200] * granted + [429] * refused
    last = context.replies[-1]
    assert int(last.headers["Retry-After"]) > 0


@then("the plain service has run the operation {count:d} times")
def _operation_runs(context, count):
    runs = context.fleet.counts("s1")["runs"]
    assert runs == {OPERATION: count}, runs


@then("the plain service has sent no response")
def _no_response(context):
    assert len(context.errors) == 1


@then("after a restart the service has run the operation {count:d} times")
def _runs_after_restart(context, count):
    context.fleet.process("s1").wait(10.0)
    context.fleet.restart("s1")
    runs = context.fleet.counts("s1")["runs"]
    assert runs.get(OPERATION, 0) == count, runs
