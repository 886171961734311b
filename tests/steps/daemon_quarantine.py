"""Steps for tests/daemon/quarantine.feature."""

import json
import time

from behave import given
from behave import then
from behave import when

from tests.daemon import fleet_fixture
from tests.daemon import poison
from tests.support import fleet

SETTLE_S = 0.3


def _poisoned(context, engines, vms, after_tokens=0):
    context.scene = fleet_fixture.FleetFixture(engines, 0, vms)
    context.closers.append(context.scene.close)
    context.poison = poison.Poison(context.scene, after_tokens)


@given(
    "engines that crash on poison, {engines:d} of them behind {vms:d} entry "
    "VMs"
)
def _at_once(context, engines, vms):
    _poisoned(context, engines, vms)


@given(
    "engines that crash on poison at once, {engines:d} of them behind "
    "{vms:d} entry VMs"
)
def _at_once_explicit(context, engines, vms):
    _poisoned(context, engines, vms)


@given(
    "engines that crash on poison after some tokens, {engines:d} of them "
    "behind {vms:d} entry VMs"
)
def _after_tokens(context, engines, vms):
    _poisoned(context, engines, vms, poison.SOME_TOKENS)


@when("a naive caller sends the poison to each engine in turn")
def _naive(context):
    context.poison.send_to_each_engine()


@when("ana sends the poison {times:d} times, to one entry VM after another")
def _in_turn(context, times):
    context.poison.send_in_turn(times)


@when(
    "ana sends {times:d} different requests with the poison in {part}, to one "
    "entry VM after another"
)
def _send_variants(context, times, part):
    context.poison.send_variants(times, part == "a common message")


@then("a request of ana without the poison is served")
def _sound_served(context):
    answer = context.poison.send_sound_variant()
    assert not answer.problem, answer.problem


@when("{callers:d} callers send the poison at once, {times:d} times each")
def _concurrently(context, callers, times):
    context.last = callers
    context.poison.send_concurrently(callers, times)


@when("the poison is harmless from now on")
def _disarmed(context):
    context.poison.disarm()


@then("{count:d} engines have crashed")
def _crashed(context, count):
    fleet.wait_for(lambda: len(context.poison.crashed()) == count)


@then("at most {count:d} engines have crashed")
def _few_crashed(context, count):
    time.sleep(SETTLE_S)
    found = context.poison.crashed()
    assert 1 <= len(found) <= count, (found, _answer_rows(context))


@then("the last attempts were refused as quarantined, with a time to retry")
def _quarantined(context):
    for answer in context.poison.sent[-getattr(context, "last", 2) :]:
        _check_quarantined(context, answer)


def _check_quarantined(context, answer):
    error = json.loads(answer.error)["error"]
    assert error["type"] == "quarantined", _answer_rows(context)
    assert answer.executed == "no", _answer_rows(context)
    assert answer.retry_after_s, _answer_rows(context)


def _answer_rows(context):
    return [
        (
            answer.status,
            answer.executed,
            len(answer.event_ids),
            answer.error,
            round(answer.total_s, 1),
        )
        for answer in context.poison.sent
    ]


@then("no poison reported as not executed had reached an engine")
def _no_false_denials(context):
    assert not context.poison.false_denials(), context.poison.false_denials()


@then("the same request from bruno is served")
def _served(context):
    answer = context.poison.send("vm-0", "bruno")
    assert not answer.problem, answer.problem


@then("the request from ana is still refused as quarantined")
def _still_refused(context):
    _check_quarantined(context, context.poison.send("vm-0"))


@then("the same requests are served again, as none is quarantined")
def _none_quarantined(context):
    context.scene.repeat_streams(20)
    wrong = fleet_fixture.problems(context.scene.answers())
    assert not wrong, wrong
