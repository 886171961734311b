"""Steps for tests/data_centres/prompt_sizes.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.data_centres import prompt_sizes

SERVICES = frozenset({"llm"})


@given(
    "{vms:d} VMs that send prompts of {first:d}, {second:d} and {third:d} "
    "tokens"
)
def _vms(context, vms, first, second, third):
    context.clock = clocks.ManualClock()
    context.vms = [prompt_sizes.PromptSizes(context.clock) for _ in range(vms)]
    for vm in context.vms:
        for _ in range(10):
            for tokens in (first, second, third):
                vm.record("llm", tokens)
            vm.record("plain", 1)
    _exchange(context)


def _exchange(context):
    taken = [vm.take_samples(SERVICES) for vm in context.vms]
    for vm in context.vms:
        for other, samples in zip(context.vms, taken, strict=True):
            if other is not vm:
                vm.merge(samples, SERVICES)


@when("prompts of {tokens:d} tokens follow for {seconds:d} seconds")
def _follow(context, tokens, seconds):
    for _ in range(seconds):
        context.clock.advance(1.0)
        for vm in context.vms:
            vm.record("llm", tokens)
        _exchange(context)


@when("a peer sends {counts} for {service}")
def _peer(context, counts, service):
    sent = [int(count) for count in counts.split(", ")]
    for vm in context.vms:
        vm.merge({prompt_sizes.TOPIC: {service: sent}}, SERVICES)


@then(
    "the mean is {mean:d} tokens and the squared coefficient of variation "
    "{variation:g}"
)
def _sizes(context, mean, variation):
    for vm in context.vms:
        summary = vm.summary("llm")
        assert summary.is_known
        assert abs(summary.mean_tokens - mean) < 0.1
        assert abs(summary.variation - variation) < 0.001
        assert vm.summary("plain").samples == vm.summary("other").samples == 0


@then("the mean is about {mean:d} tokens and the variation near 0")
def _forgotten(context, mean):
    for vm in context.vms:
        summary = vm.summary("llm")
        assert abs(summary.mean_tokens - mean) < 2, summary.mean_tokens
        assert summary.variation < 0.05, summary.variation
