"""Steps for tests/vms/followers.feature."""

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.vms import digests
from apricotlever.vms import followers

STEP_S = 0.1


class Vm:
    """A VM, and whether the store answers it."""

    def __init__(self, clock, number):
        self.name = f"vm-{number}"
        self.followers = followers.Followers(clock, self.name)
        self.is_answered = True
        #: Whether its calls have succeeded, as its last record says.
        self.in_touch = False

    @property
    def digest(self):
        """Its record."""
        return digests.Digest(
            self.name, 1, 1, "a:1", "", "dc", follows=self.in_touch
        )


@given(
    "{count:d} VMs of which each hears all others after {heard_s:g} seconds"
)
def _vms(context, count, heard_s):
    context.clock = clocks.ManualClock()
    context.heard_at = context.clock.now() + heard_s
    context.vms = [Vm(context.clock, number) for number in range(count)]
    context.most = 0


@given("the store answers {count:d} VMs only")
def _answers(context, count):
    for vm in context.vms[count:]:
        vm.is_answered = False


@step("they run for {seconds:g} seconds")
def _run(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        known = context.clock.now() >= context.heard_at
        records = [vm.digest for vm in context.vms if known]
        for vm in context.vms:
            vm.followers.look([r for r in records if r.vm != vm.name])
        for vm in context.vms:
            vm.in_touch = vm.followers.follows and vm.is_answered
        following = sum(vm.followers.follows for vm in context.vms)
        context.most = max(context.most, following)


@when("those that follow end")
def _end(context):
    context.vms = [vm for vm in context.vms if not vm.in_touch]


@then("at most {most:d} of them follow at any time")
def _most(context, most):
    assert context.most <= most, context.most


@then("{count:d} of them follow in the end")
def _in_the_end(context, count):
    following = [vm.name for vm in context.vms if vm.in_touch]
    assert len(following) == count, following
