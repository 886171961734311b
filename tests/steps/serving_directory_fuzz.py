"""Steps for tests/serving/directory_fuzz.feature."""

from behave import given
from behave import then
from behave import when

from tests.serving import directory_simulation


@given("{vms:d} VMs' directories and a store with {count:d} runners")
def _fleet(context, vms, count):
    context.sizes = (vms, count)


@when(
    "{seconds:d} seconds of random changes pass, from seed {first:d} to "
    "{last:d}"
)
def _random_changes(context, seconds, first, last):
    context.fleets = {
        seed: directory_simulation.SimulatedFleet(seed, *context.sizes)
        for seed in range(first, last + 1)
    }
    for fleet in context.fleets.values():
        fleet.run(seconds, random_changes=True)


@then("{seconds:d} seconds later each VM's runners are those of the store")
def _converged(context, seconds):
    wrong = {}
    # Otherwise the test would not cover notices.
    assert sum(
        vm.marked_count for f in context.fleets.values() for vm in f.vms
    )
    for seed, fleet in context.fleets.items():
        fleet.restore_entries()
        fleet.run(seconds, random_changes=False)
        entries = fleet.history.entries
        wanted = {name: state.leaving for name, state in entries.items()}
        for number, vm in enumerate(fleet.vms):
            found = {r.name: r.leaving for r in vm.directory.runners}
            if found != wanted:
                wrong[seed, number] = sorted(
                    set(found.items()) ^ set(wanted.items())
                )
    assert not wrong, wrong


@when(
    "{seconds:d} seconds of changes with restarts pass, from seed {first:d} "
    "to {last:d}, read {how}"
)
def _changes_with_restarts(context, seconds, first, last, how):
    context.fleets = {
        seed: directory_simulation.SimulatedFleet(
            seed,
            *context.sizes,
            directory_simulation.RunnerEntryDecoder(
                naive=how == "by name alone"
            ),
            restarts=True,
        )
        for seed in range(first, last + 1)
    }
    for fleet in context.fleets.values():
        fleet.run(seconds, random_changes=True)


def _outdated_states(fleet):
    """The states of ended incarnations that VMs keep after convergence.

    :returns: pairs of the VM's number and the runner's name.
    """
    fleet.restore_entries()
    fleet.run(4, random_changes=False)
    current = fleet.history.current_states
    return [
        (number, runner.name)
        for number, vm in enumerate(fleet.vms)
        for runner in vm.directory.runners
        if vm.incarnation_states[runner.runner_id] != current[runner.name].born
    ]


@then("no VM keeps state of a previous incarnation")
def _no_outdated_state(context):
    wrong = {s: _outdated_states(f) for s, f in context.fleets.items()}
    assert not any(wrong.values()), wrong


@then("some VM keeps state of a previous incarnation")
def _some_outdated_state(context):
    assert any(_outdated_states(fleet) for fleet in context.fleets.values())
