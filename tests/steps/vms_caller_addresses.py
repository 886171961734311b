"""Steps for tests/vms/caller_addresses.feature."""

from behave import given
from behave import then

from apricotlever.vms import caller_addresses
from apricotlever.vms import vm_records


def _peer(number, state):
    return vm_records.VmRecord(
        f"p-{number}",
        1,
        1,
        f"10.0.0.{number}:1",
        f"p-{number}",
        "dc",
        ready="not ready" not in state,
        leaving="leaving" in state,
        isolated="isolated" in state,
    )


@given("this VM is {state}")
def _own(context, state):
    context.own = state


@given("its peers are {states}")
def _peers(context, states):
    context.alive = [
        _peer(number, state)
        for number, state in enumerate(states.split(", "), 1)
    ]


@then("the listed VMs are {names}")
def _listed(context, names):
    found = caller_addresses.listed(
        "own",
        context.own != "not ready",
        context.own == "isolated",
        context.alive,
    )
    assert found == names.split(", "), found
