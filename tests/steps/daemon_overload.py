"""Steps for tests/daemon/overload.feature."""

import itertools

from behave import given
from behave import then
from behave import when

from tests.daemon import flood
from tests.daemon import scene

TRICKLE_PER_S = 2.5


@given("{engines:d} engines of {slots:d} slots and {vms:d} entry VMs")
def _small_fleet(context, engines, slots, vms):
    context.scene = scene.Scene(engines, 0, vms, slots=slots)
    context.closers.append(context.scene.close)
    context.fits_per_s = engines * slots * flood.PER_SLOT_S
    context.refusable = []


def _flood(context, addresses, seconds, times):
    rate = times * context.fits_per_s
    entry = scene.MODEL_ENTRY
    context.ana, context.bruno = flood.together(
        seconds,
        flood.Flood(addresses, "ana", entry, rate),
        flood.Flood(addresses, "bruno", entry, TRICKLE_PER_S),
    )
    context.seconds = seconds
    context.refusable = context.ana


@when(
    "ana sends {times:f} times what fits straight to the engines for "
    "{seconds:f} s, and bruno a trickle"
)
def _naive(context, times, seconds):
    running = context.scene
    addresses = [running.fleet.address(name) for name in running.engines]
    _flood(context, addresses, seconds, times)


@when(
    "ana sends {times:f} times what fits for {seconds:f} s, and bruno a "
    "trickle"
)
def _one_floods(context, times, seconds):
    _flood(context, context.scene.fleet.entries, seconds, times)


@when(
    "ana floods drafts and summaries at {times:f} times what fits for "
    "{seconds:f} s"
)
def _two_classes(context, times, seconds):
    rate = times * context.fits_per_s
    entries = context.scene.fleet.entries
    context.drafts, context.summaries = flood.together(
        seconds,
        flood.Flood(entries, "ana", "drafts", rate),
        flood.Flood(entries, "ana", "summaries", rate),
    )
    context.refusable = [*context.drafts, *context.summaries]


@then("some of bruno's first tokens came later than {seconds:f} s")
def _late(context, seconds):
    assert _slowest_s(context.bruno) > seconds, _slowest_s(context.bruno)


def _slowest_s(found):
    return max(
        float("inf") if a.first_token_s is None else a.first_token_s
        for a in found
    )


@then(
    "all of bruno's requests are served, with first tokens within "
    "{seconds:f} s"
)
def _trickle_served(context, seconds):
    wrong = scene.problems(context.bruno)
    assert not wrong, wrong
    assert _slowest_s(context.bruno) <= seconds, _slowest_s(context.bruno)


@then("ana's refusals came within {seconds:f} s, with a time, and did not run")
def _refusals(context, seconds):
    refused = [a for a in context.refusable if not a.done]
    assert refused
    wrong = [
        (a.status, a.executed, a.retry_after_s, a.whole_s, a.error)
        for a in refused
        if not (a.refused and a.retry_after_s and a.whole_s <= seconds)
    ]
    assert not wrong, (len(wrong), wrong[:3])
    begun = context.scene.fleet.journals()
    ran = [a.error for a in refused if a.request_id in begun]
    assert not ran, ran[:3]


@then("at least {share:f} of what fits was served to ana")
def _served(context, share):
    count = len(flood.served(context.ana))
    wanted = share * context.seconds * context.fits_per_s
    assert count >= wanted, (count, wanted)


@then("at most {share:f} of the executions were extra ones")
def _extra(context, share):
    journals = context.scene.fleet.journals()
    extra = sum(journals.values()) - len(journals)
    assert extra <= share * len(journals), (extra, len(journals))


@then("summaries were refused rather than drafts")
def _shed(context):
    drafts = len(flood.served(context.drafts)) / len(context.drafts)
    summaries = len(flood.served(context.summaries)) / len(context.summaries)
    firsts = itertools.islice(context.summaries, 3)
    shown = (drafts, summaries, [a.error for a in firsts])
    assert drafts >= 2 * summaries and drafts > 0.25, shown
