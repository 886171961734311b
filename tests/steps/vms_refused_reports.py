"""Steps for tests/vms/refused_reports.feature."""

from behave import then
from behave import when

RUNNER = "runner-1"


@when("{count:d} VMs report a runner that refuses connections")
def _report(context, count):
    context.reporters = list(context.world.vms.values())[:count]
    _set_reports(context, [RUNNER])


@when("the VMs report it no longer")
def _report_no_longer(context):
    _set_reports(context, [])


def _set_reports(context, runners):
    for vm in context.reporters:
        vm.refused = runners
        vm.record_change()


@then("all other VMs hear {count:d} reports")
def _check_heard(context, count):
    heard = [
        vm.exchange.loads.refused.get(RUNNER, 0)
        for vm in context.world.vms.values()
        if vm not in context.reporters
    ]
    assert set(heard) == {count}, heard
