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
        entries = fleet.history.entries
        wanted = {name: said.leaving for name, said in entries.items()}
        for number, vm in enumerate(fleet.vms):
            found = {r.name: r.leaving for r in vm.directory.runners}
            if found != wanted:
                wrong[seed, number] = sorted(
                    set(found.items()) ^ set(wanted.items())
                )
    assert not wrong, wrong


@when(
    "{seconds:d} seconds of news with restarts pass, from seed {first:d} to "
    "{last:d}, read {how}"
)
def _restarts(context, seconds, first, last, how):
    context.fleets = {
        seed: fleet_of_directories.Fleet(
            seed,
            *context.sizes,
            fleet_of_directories.Platform(naive=how == "by name alone"),
            restarts=True,
        )
        for seed in range(first, last + 1)
    }
    for fleet in context.fleets.values():
        fleet.run(seconds, random_news=True)


def _strangers(fleet):
    """What VMs keep of incarnations that have ended, at the end."""
    fleet.settle()
    fleet.run(4, random_news=False)
    living = fleet.history.living
    return [
        (number, runner.name)
        for number, vm in enumerate(fleet.vms)
        for runner in vm.directory.runners
        if vm.kept[runner.runner_id] != living[runner.name].born
    ]


@then("no VM keeps anything of an incarnation before")
def _nothing_of_before(context):
    wrong = {s: _strangers(f) for s, f in context.fleets.items()}
    assert not any(wrong.values()), wrong


@then("some VM keeps something of an incarnation before")
def _something(context):
    assert any(_strangers(fleet) for fleet in context.fleets.values())
