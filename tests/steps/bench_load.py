"""Steps of the load tool's arithmetic."""

import statistics

import behave

from bench import _load_calls
from bench import _load_faults
from bench import _load_summary
from bench import _load_work
from bench import load
from standins import _deterministic_tokens
from tests.bench import rows
from tests.support import answers

SEED = 7
OTHER_SEED = 8
RATE_TOLERANCE = 0.15


def _documents(arrivals):
    return [
        (each.at_s, each.work, each.customer, each.path, each.body, each.key)
        for each in arrivals
    ]


@behave.when(
    "a load workload is drawn twice for {seconds:d} s at {n:d} a second"
)
def draw(context, seconds, n):
    context.rate = n
    context.drawn = [
        _load_work.Workload(seed, n).arrivals(seconds)
        for seed in (SEED, SEED, OTHER_SEED)
    ]


@behave.then("both load workloads are equal and differ from another seed's")
def equal(context):
    one, same, other = map(_documents, context.drawn)
    assert one == same
    assert one != other


@behave.then("the load workload has every kind of work, at about that rate")
def every_kind(context):
    arrivals = context.drawn[0]
    assert {each.work for each in arrivals} == set(_load_work.kinds())
    times = [each.at_s for each in arrivals]
    assert times == sorted(times)
    gaps = [b - a for a, b in zip(times, times[1:])]
    error = abs(statistics.mean(gaps) * context.rate - 1)
    assert error < RATE_TOLERANCE, error
    # Poisson arrivals: gaps vary as much as they last.
    spread = statistics.pstdev(gaps) / statistics.mean(gaps)
    assert 1 - RATE_TOLERANCE < spread < 1 + RATE_TOLERANCE, spread


@behave.then("the load workload's chats contain the answers that engines give")
def chats(context):
    turns = [each.body for each in context.drawn[0] if each.work == "chat"]
    given = {
        "".join(
            _deterministic_tokens.expected_answer(
                _deterministic_tokens.prompt_from_body(body),
                body["seed"],
                body["max_tokens"],
            )
        )
        for body in turns
    }
    said = [
        message["content"]
        for body in turns
        for message in body["messages"]
        if message["role"] == "assistant"
    ]
    assert said and set(said) <= given


@behave.given(
    "a load run with {fine:d} streams in time and {refused:d} refused"
)
def load_run(context, fine, refused):
    late = {"outcome": "refused", "tokens": 0, "first_token_s": None}
    context.rows = [rows.row(number=n) for n in range(fine)]
    context.rows += [rows.row(**late, gaps_us=[]) for _ in range(refused)]


@behave.given("a load run whose generator was {late_s:f} s late")
def late_run(context, late_s):
    context.rows = [rows.row(lag_s=late_s) for _ in range(20)]


@behave.then("the naive load summary says that the target was met")
def naive_met(context):
    target_s = _load_summary.FIRST_TOKEN_TARGET_S
    assert rows.naive_target_met(context.rows, target_s)


@behave.then("the load summary says that the target was not met")
def not_met(context):
    total = _load_summary.summary(context.rows, 10.0)
    assert not total["target_met"]
    answered = [row for row in context.rows if row["outcome"] == "whole"]
    assert _load_summary.summary(answered, 10.0)["target_met"]


@behave.then("the load run exits with {code:d}")
def exits(context, code):
    total = _load_summary.summary(context.rows, 10.0)
    assert load.exit_code(total) == code


@behave.when('the load schedule "{text}" is read')
def read_schedule(context, text):
    try:
        _load_faults.parse(text)
        context.refusal = ""
    except _load_faults.ScheduleInvalid as error:
        context.refusal = str(error)


@behave.then('the load schedule is refused for "{part}"')
def refused(context, part):
    assert part in context.refusal, context.refusal


@behave.when(
    "a load caller's {work} ends with status {status:d} and {executed}"
)
def ends(context, work, status, executed):
    drawn = _load_work.Workload(SEED, 40, [work]).arrivals(5)[0]
    answer = answers.Answer()
    answer.status = status
    answer.executed = "" if executed == "none" else executed
    answer.retry_after_s = 1.0 if status else None
    customers = _load_calls.Customers(["127.0.0.1:1"], 5.0)
    context.wait_s = customers.wait_s(drawn, answer)


@behave.then("the load caller sends it again: {again}")
def sends_again(context, again):
    assert (context.wait_s > 0) == (again == "yes"), context.wait_s


@behave.when("it is compared to a load run that is twice as slow")
def compare(context):
    slow = [
        {
            **row,
            "first_token_s": row["first_token_s"] and 2 * row["first_token_s"],
        }
        for row in context.rows
    ]
    runs = [
        [*found, _load_summary.summary(found, 10.0)]
        for found in (context.rows, slow)
    ]
    context.compared = _load_summary.compared(*runs)


@behave.then("the load comparison shows a ratio of 2 for the first token")
def shows_ratio(context):
    ratios = {
        (row["class"], row["percentile"]): row["ratio"]
        for row in context.compared
        if row["measure"] == "first_token_s"
    }
    assert ratios["all", "p95"] == 2.0, ratios
    # The histograms hold two significant digits.
    assert abs(ratios["notary-desk", "p95"] - 2) < 0.05, ratios
