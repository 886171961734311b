"""Steps for tests/vms/follower_selection.feature."""

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.vms import follower_selection
from apricotlever.vms import vm_records

STEP_S = 0.1


class Vm:
    """A VM and whether the store answers it."""

    def __init__(self, clock, number):
        self.name = f"vm-{number}"
        self.followers = follower_selection.FollowerSelection(clock, self.name)
        self.is_answered = True
        #: Whether its calls to the store succeed, as its record reports.
        self.follows_store = False

    @property
    def record(self):
        """The record that it sends to the other VMs."""
        return vm_records.VmRecord(
            self.name, 1, 1, "a:1", "", "dc", follows=self.follows_store
        )


@given("{count:d} VMs that all know each other after {known_s:g} seconds")
def _vms(context, count, known_s):
    context.clock = clocks.ManualClock()
    context.known_at = context.clock.now() + known_s
    context.vms = [Vm(context.clock, number) for number in range(count)]
    context.most = 0


@given("the store answers {count:d} VMs only")
def _limit_store(context, count):
    for vm in context.vms[count:]:
        vm.is_answered = False


@step("they run for {seconds:g} seconds")
def _run(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        known = context.clock.now() >= context.known_at
        records = [vm.record for vm in context.vms if known]
        for vm in context.vms:
            vm.followers.update([r for r in records if r.vm != vm.name])
        for vm in context.vms:
            vm.follows_store = vm.followers.follows and vm.is_answered
        following = sum(vm.followers.follows for vm in context.vms)
        context.most = max(context.most, following)


@when("the followers end")
def _end_followers(context):
    context.vms = [vm for vm in context.vms if not vm.follows_store]


@then("at most {most:d} of them follow at any time")
def _follow_at_most(context, most):
    assert context.most <= most, context.most


@then("{count:d} of them follow at the end")
def _follow_at_end(context, count):
    following = [vm.name for vm in context.vms if vm.follows_store]
    assert len(following) == count, following
