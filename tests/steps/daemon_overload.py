"""Steps for tests/daemon/overload.feature."""

import itertools

from behave import given
from behave import then
from behave import when

from tests.daemon import fleet_fixture
from tests.daemon import flood

TRICKLE_PER_S = 2.5


@given("{engines:d} engines with {slots:d} slots each and {vms:d} entry VMs")
def _small_fleet(context, engines, slots, vms):
    context.scene = fleet_fixture.FleetFixture(engines, 0, vms, slots=slots)
    context.closers.append(context.scene.close)
    context.capacity_per_s = engines * slots * flood.REQUESTS_PER_SLOT_PER_S
    context.sent_by_ana = []


def _run_floods(context, addresses, seconds, times):
    rate = times * context.capacity_per_s
    entry = fleet_fixture.MODEL_ENTRY
    context.ana, context.bruno = flood.run_together(
        seconds,
        flood.Flood(addresses, "ana", entry, rate),
        flood.Flood(addresses, "bruno", entry, TRICKLE_PER_S),
    )
    context.seconds = seconds
    context.sent_by_ana = context.ana


@when(
    "ana sends {times:f} times the capacity directly to the engines for "
    "{seconds:f} s, and bruno sends a trickle"
)
def _flood_engines(context, times, seconds):
    fixture = context.scene
    addresses = [fixture.fleet.address(name) for name in fixture.engines]
    _run_floods(context, addresses, seconds, times)


@when(
    "ana sends {times:f} times the capacity for {seconds:f} s, and bruno "
    "sends a trickle"
)
def _flood_entries(context, times, seconds):
    _run_floods(context, context.scene.fleet.entry_addresses, seconds, times)


@when(
    "ana floods drafts and summaries at {times:f} times capacity each for "
    "{seconds:f} s"
)
def _flood_two_classes(context, times, seconds):
    rate = times * context.capacity_per_s
    entries = context.scene.fleet.entry_addresses
    context.drafts, context.summaries = flood.run_together(
        seconds,
        flood.Flood(entries, "ana", "drafts", rate),
        flood.Flood(entries, "ana", "summaries", rate),
    )
    context.sent_by_ana = [*context.drafts, *context.summaries]


@then("some of bruno's first tokens came later than {seconds:f} s")
def _first_tokens_late(context, seconds):
    assert _slowest_s(context.bruno) > seconds, _slowest_s(context.bruno)


def _slowest_s(received):
    return max(
        float("inf") if a.first_token_s is None else a.first_token_s
        for a in received
    )


@then(
    "all of bruno's requests are served, with first tokens within "
    "{seconds:f} s"
)
def _trickle_served(context, seconds):
    wrong = fleet_fixture.problems(context.bruno)
    assert not wrong, wrong
    assert _slowest_s(context.bruno) <= seconds, _slowest_s(context.bruno)


@then(
    "ana's refusals came within {seconds:f} s, with a time to retry, and "
    "did not run"
)
def _refusals(context, seconds):
    refused = [a for a in context.sent_by_ana if not a.done]
    assert refused
    wrong = [
        (a.status, a.executed, a.retry_after_s, a.total_s, a.error)
        for a in refused
        if not (a.refused and a.retry_after_s and a.total_s <= seconds)
    ]
    assert not wrong, (len(wrong), wrong[:3])
    executed = context.scene.fleet.total_execution_counts()
    ran = [a.error for a in refused if a.request_id in executed]
    assert not ran, ran[:3]


@then("at least {share:f} of the capacity was served to ana")
def _served(context, share):
    count = len(flood.served(context.ana))
    expected = share * context.seconds * context.capacity_per_s
    assert count >= expected, (count, expected)


@then("the extra executions are at most {share:f} of the executed requests")
def _extra_executions(context, share):
    journals = context.scene.fleet.total_execution_counts()
    extra = sum(journals.values()) - len(journals)
    assert extra <= share * len(journals), (extra, len(journals))


@then("summaries were refused rather than drafts")
def _summaries_refused(context):
    drafts = len(flood.served(context.drafts)) / len(context.drafts)
    summaries = len(flood.served(context.summaries)) / len(context.summaries)
    first_summaries = itertools.islice(context.summaries, 3)
    details = (drafts, summaries, [a.error for a in first_summaries])
    assert drafts >= 2 * summaries and drafts > 0.25, details
