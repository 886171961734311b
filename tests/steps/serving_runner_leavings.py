"""Steps for tests/serving/runner_leavings.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever.serving import runners

#: A VM must keep away from this time after it was told.
KEPT_AFTER_S = 0.5


@given("runner {number:d} says that it leaves")
def _leave(context, number):
    context.fleet.runners[number - 1].statements = ["Leaving: 1"]


@given("the runner says that it leaves")
def _leave_alone(context):
    context.world.standins[-1].statements = ["Leaving: 1"]


def _write_entry(context, number, **changes):
    for vm in context.fleet.vms:
        known = vm.directory.get(f"runner-{number}")
        values = {
            name: getattr(known, name)
            for name in runners.Runner.__slots__
            if name != "runner_id"
        }
        values.update(revision=known.revision + 1, **changes)
        vm.directory.apply_entry(runners.Runner(**values))
        vm.upstreams.refresh()


@when("a later entry lists runner {number:d} as ready")
def _list_ready(context, number):
    _write_entry(context, number, sequence=7)


@when("runner {number:d} starts again")
def _start_again(context, number):
    context.fleet.runners[number - 1].statements = []
    _write_entry(context, number, born=5)


@then(
    "runner {number:d} gets no call of a VM that it told half a second before"
)
def _check_kept_away(context, number):
    runner = context.fleet.runners[number - 1]
    # The runner tells a VM with the response to its first call.
    late = {
        vm: [at - times[0] for at in times if at - times[0] > KEPT_AFTER_S]
        for vm, times in runner.arrived_from.items()
    }
    assert late and not any(late.values()), {
        vm: len(times) for vm, times in late.items()
    }
