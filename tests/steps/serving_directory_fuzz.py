"""Steps for tests/serving/directory_fuzz.feature."""

from behave import given
from behave import then
from behave import when

from tests.serving import fleet_of_directories


@given("{vms:d} VMs' directories and a store with {count:d} runners")
def _fleet(context, vms, count):
    context.sizes = (vms, count)


@when(
    "{seconds:d} seconds of random news pass, from seed {first:d} to {last:d}"
)
def _pass(context, seconds, first, last):
    context.fleets = {
        seed: fleet_of_directories.Fleet(seed, *context.sizes)
        for seed in range(first, last + 1)
    }
    for fleet in context.fleets.values():
        fleet.run(seconds, random_news=True)


@then("{seconds:d} seconds later each VM's runners are those of the store")
def _same(context, seconds):
    wrong = {}
    for seed, fleet in context.fleets.items():
        fleet.settle()
        fleet.run(seconds, random_news=False)
        wanted = fleet.history.entries
        for number, vm in enumerate(fleet.vms):
            found = {r.runner_id: r.leaving for r in vm.directory.runners}
            if found != wanted:
                wrong[seed, number] = sorted(
                    set(found.items()) ^ set(wanted.items())
                )
    assert not wrong, wrong
