"""Steps for tests/histograms.feature."""

import math

from apricotlever import histograms
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

KEY = (histograms.WHOLE_ANSWER, "customer", "class")
RELATIVE_ERROR = 0.02
US_PER_S = 1_000_000

FLEETS = strategies.lists(
    strategies.lists(strategies.integers(1, 10**8), min_size=1, max_size=30),
    min_size=1,
    max_size=4,
)


def _vm(values_us):
    made = histograms.Histograms()
    handle = made.distribution(*KEY)
    for value in values_us:
        made.record_gap_us(handle, value)
    return made


def _merged(vms):
    encoded = [item for vm in vms for item in vm.encoded()]
    return histograms.merge(encoded)[KEY]


@then(
    "percentiles of merged histograms agree with sorting all values "
    "of the fleet"
)
def _agrees(context):
    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=100
    )
    @hypothesis.given(FLEETS, strategies.sampled_from([50, 95, 99]))
    def check(fleet, percent):
        merged = _merged(map(_vm, fleet))
        values = sorted(value for vm in fleet for value in vm)
        nearest_rank = int(len(values) * percent / 100 + 0.5)
        index = max(0, nearest_rank - 1)
        wanted_s = values[index] / US_PER_S
        actual_s = merged.percentile(percent)
        assert merged.count == len(values)
        assert math.isclose(actual_s, wanted_s, rel_tol=RELATIVE_ERROR)
        counts = merged.counts_below([10, 50])
        assert sum(counts) == len(values)

    check()


@given(
    "a VM with {many:d} histogram values of {fast:g} s "
    "and one with {few:d} of {slow:g} s"
)
def _two_vms(context, many, fast, few, slow):
    context.histogram_vms = [
        _vm([int(fast * US_PER_S)] * many),
        _vm([int(slow * US_PER_S)] * few),
    ]


@then("the averaged percentile is wrong and the merged percentile is right")
def _average(context):
    vms = context.histogram_vms
    each = [vm.distribution(*KEY).percentile(95) for vm in vms]
    merged = _merged(vms).percentile(95)
    assert sum(each) / len(each) > 4
    assert math.isclose(merged, 0.1, rel_tol=RELATIVE_ERROR)


@when("histograms for at most {keys:d} keys get values from {n:d} customers")
def _bounded(context, keys, n):
    context.histograms = histograms.Histograms(keys)
    for i in range(n):
        context.histograms.record(
            histograms.WHOLE_ANSWER, f"c{i}", "class", 1.0
        )


@then(
    "no histogram value is lost "
    'and further customers are counted as "{name}"'
)
def _overflow(context, name):
    counts = {d.customer: d.count for d in context.histograms.distributions()}
    assert counts == {"c0": 1, "c1": 1, name: 3}


@then('the text "{text}" is rejected as a histogram')
def _malformed(context, text):
    item = {"measure": "m", "customer": "c", "class": "c", "histogram": text}
    try:
        histograms.merge([item])
    except histograms.HistogramInvalid as error:
        assert "not a histogram" in error.message
        return
    raise AssertionError("a malformed histogram was accepted")
