"""Steps for tests/requests/recovery.feature and evacuation.feature."""

import collections

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies

from apricotlever.requests import evacuation
from apricotlever.requests import recovery


def _candidates(count):
    return [
        recovery.Candidate(
            f"r{number}", "sala-a", 2, being_reclaimed=number == 0
        )
        for number in range(count)
    ]


def _situation(**changes):
    fields = {
        "request_id": "x",
        "cause": recovery.RecoveryCause.NOTICE,
        "runner": "old",
        "priority": 1,
        "prompt_tokens": 100,
        "sent_tokens": ["t"] * 3,
        "remaining_s": 60.0,
        "notice_s": 30.0,
        "export_s": 1.0,
        "deadline_s": 100.0,
    }
    return recovery.AffectedStream(**{**fields, **changes})


@given(
    "a stream with {notice:g} s of notice, cause {cause}, {count:d} runners"
)
def _stream(context, notice, cause, count):
    context.situation = _situation(
        notice_s=notice,
        cause=recovery.RecoveryCause(cause),
        candidates=_candidates(count),
    )


@given("it needs {export:g} s to export and ends by itself in {left:g} s")
def _times(context, export, left):
    context.situation.export_s = export
    context.situation.remaining_s = left


@given("its export is in progress")
def _exporting(context):
    context.situation.moving_to = "r1"


@then('the recovery decision is "{decision}"')
def _decision(context, decision):
    found = recovery.decide(context.situation)
    assert type(found).__name__ == decision, type(found)


seconds = strategies.floats(0, 200)
situations = strategies.builds(
    _situation,
    cause=strategies.sampled_from(recovery.RecoveryCause),
    remaining_s=seconds,
    notice_s=seconds,
    export_s=seconds,
    deadline_s=strategies.floats(-1, 200),
    failures=strategies.integers(0, 5),
    reconnects=strategies.integers(0, 2),
    moving_to=strategies.sampled_from(("", "r1")),
    candidates=strategies.integers(0, 3).map(_candidates),
)


@then("no stream is given up before its deadline while attempts are left")
def _never_early(context):
    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=400
    )
    @hypothesis.given(situations)
    def check(situation):
        noticed = situation.cause is recovery.RecoveryCause.NOTICE
        tries_left = situation.failures < situation.failures_max
        lasts = situation.deadline_s > 0 and (noticed or tries_left)
        given_up = isinstance(recovery.decide(situation), recovery.GiveUp)
        assert given_up != lasts

    check()


@given("{count:d} streams on leaving runners with {notice:g} s of notice")
def _wave(context, count, notice):
    context.leaving_streams = [
        _situation(
            request_id=f"s{number}",
            priority=number % 3,
            prompt_tokens=100 * (number % 7),
            notice_s=notice,
            runner=f"old{number % 2}",
        )
        for number in range(count)
    ]


@given(
    "{count:d} runners with {slots:d} free slots, the last one being reclaimed"
)
def _targets(context, count, slots):
    candidates = [
        recovery.Candidate(f"r{number}", "sala-a", slots, number == count - 1)
        for number in range(count)
    ]
    for situation in context.leaving_streams:
        situation.candidates = candidates


def _moves(context):
    return evacuation.plan_evacuation(context.leaving_streams)


def _targets_of(moves):
    return collections.Counter(
        move.decision.runner
        for move in moves
        if hasattr(move.decision, "runner")
    )


@then(
    "no runner gets more than {most:d} streams, the one being reclaimed "
    "{reclaimed:d}"
)
def _spread(context, most, reclaimed):
    counts = _targets_of(_moves(context))
    last = context.leaving_streams[0].candidates[-1].runner
    assert counts.pop(last, 0) == reclaimed, counts
    assert max(counts.values()) - min(counts.values()) <= 1, counts
    assert max(counts.values()) <= most, counts


@then("{count:d} streams wait, all of the lowest rank")
def _wait(context, count):
    moves = _moves(context)
    waiting = {
        move.request_id
        for move in moves
        if isinstance(move.decision, recovery.Wait)
    }
    ranks = {
        each.request_id: (each.priority, each.recomputed_tokens)
        for each in context.leaving_streams
    }
    moved = [ranks[name] for name in ranks if name not in waiting]
    assert len(waiting) == count, len(waiting)
    assert max(ranks[name] for name in waiting) <= min(moved)


def _names(moves, kind):
    return [
        move.request_id for move in moves if isinstance(move.decision, kind)
    ]


@then(
    "{count:d} streams are exported, those with the most tokens, and "
    "{others:d} wait"
)
def _exported(context, count, others):
    moves = _moves(context)
    exported = _names(moves, recovery.ExportTo)
    tokens = {
        each.request_id: each.recomputed_tokens
        for each in context.leaving_streams
    }
    waiting = _names(moves, recovery.Wait)
    assert (len(exported), len(waiting)) == (count, others)
    least = min(tokens[name] for name in exported)
    for runner in ("old0", "old1"):
        mine = {
            each.request_id
            for each in context.leaving_streams
            if each.runner == runner and each.request_id in exported
        }
        assert len(mine) == count // 2
    assert least >= sorted(tokens.values())[-2 * count]


@then("{count:d} streams are replayed")
def _replayed(context, count):
    assert len(_names(_moves(context), recovery.Replay)) == count
