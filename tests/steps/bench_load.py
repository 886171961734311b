"""Steps for tests/bench/load.feature."""

import statistics

import behave

from bench import _load_client
from bench import _load_faults
from bench import _load_summary
from bench import _load_workload
from bench import load
from standins import _deterministic_tokens
from tests.bench import rows
from tests.support import answers

SEED = 7
OTHER_SEED = 8
RATE_TOLERANCE = 0.15


def _comparable(arrivals):
    return [
        (each.at_s, each.work, each.customer, each.path, each.body, each.key)
        for each in arrivals
    ]


@behave.when(
    "a load workload is generated twice for {seconds:d} s at {n:d} requests "
    "per second"
)
def generate(context, seconds, n):
    context.rate = n
    context.generated = [
        _load_workload.Workload(seed, n).arrivals(seconds)
        for seed in (SEED, SEED, OTHER_SEED)
    ]


@behave.then(
    "both load workloads are equal and differ from that of another seed"
)
def compare_seeds(context):
    one, same, other = map(_comparable, context.generated)
    assert one == same
    assert one != other


@behave.then(
    "the load workload has every kind of work and Poisson arrivals at that "
    "rate"
)
def has_every_kind(context):
    arrivals = context.generated[0]
    assert {each.work for each in arrivals} == set(_load_workload.work_kinds())
    times = [each.at_s for each in arrivals]
    assert times == sorted(times)
    gaps = [b - a for a, b in zip(times, times[1:])]
    error = abs(statistics.mean(gaps) * context.rate - 1)
    assert error < RATE_TOLERANCE, error
    # The gaps of Poisson arrivals have a standard deviation equal to their
    # mean.
    spread = statistics.pstdev(gaps) / statistics.mean(gaps)
    assert 1 - RATE_TOLERANCE < spread < 1 + RATE_TOLERANCE, spread


@behave.then(
    "the chat history in the load workload contains the answers of the "
    "engines"
)
def contains_answers(context):
    turns = [each.body for each in context.generated[0] if each.work == "chat"]
    expected = {
        "".join(
            _deterministic_tokens.expected_answer(
                _deterministic_tokens.prompt_from_body(body),
                body["seed"],
                body["max_tokens"],
            )
        )
        for body in turns
    }
    answered = [
        message["content"]
        for body in turns
        for message in body["messages"]
        if message["role"] == "assistant"
    ]
    assert answered and set(answered) <= expected


@behave.given(
    "a load run with {on_time:d} streams on time and {refused:d} refused"
)
def load_run(context, on_time, refused):
    refusal = {"outcome": "refused", "tokens": 0, "first_token_s": None}
    context.rows = [rows.row(number=n) for n in range(on_time)]
    context.rows += [rows.row(**refusal, gaps_us=[]) for _ in range(refused)]


@behave.given("a load run whose generator lagged by {lag_s:f} s")
def lagging_run(context, lag_s):
    context.rows = [rows.row(lag_s=lag_s) for _ in range(20)]


@behave.then(
    "a summary of the answered streams alone reports the target as met"
)
def naive_summary_met(context):
    target_s = _load_summary.FIRST_TOKEN_TARGET_S
    assert rows.naive_target_met(context.rows, target_s)


@behave.then("the load summary reports the target as missed")
def reports_missed(context):
    total = _load_summary.summarise(context.rows, 10.0)
    assert not total["target_met"]
    answered = [row for row in context.rows if row["outcome"] == "whole"]
    assert _load_summary.summarise(answered, 10.0)["target_met"]


@behave.then("the load run exits with {code:d}")
def exits(context, code):
    total = _load_summary.summarise(context.rows, 10.0)
    assert load.exit_code(total) == code


@behave.when('the fault schedule "{text}" is parsed')
def parse_fault_schedule(context, text):
    try:
        _load_faults.parse_schedule(text)
        context.refusal = ""
    except _load_faults.ScheduleInvalid as error:
        context.refusal = str(error)


@behave.then('the error of the fault schedule names "{part}"')
def refused(context, part):
    assert part in context.refusal, context.refusal


@behave.when(
    "a {work} of the load tool ends with status {status:d} and executed "
    "{executed}"
)
def end_request(context, work, status, executed):
    arrival = _load_workload.Workload(SEED, 40, [work]).arrivals(5)[0]
    answer = answers.Answer()
    answer.status = status
    answer.executed = "" if executed == "none" else executed
    answer.retry_after_s = 1.0 if status else None
    clients = _load_client.CustomerClients(["127.0.0.1:1"], 5.0)
    context.retry_window_s = clients.retry_window_s(arrival, answer)


@behave.then("the load tool retries it: {retried}")
def retries(context, retried):
    assert (context.retry_window_s > 0) == (
        retried == "yes"
    ), context.retry_window_s


@behave.when("it is compared with a load run that is twice as slow")
def compare_with_slower(context):
    slow = [
        {
            **row,
            "first_token_s": row["first_token_s"] and 2 * row["first_token_s"],
        }
        for row in context.rows
    ]
    runs = [
        [*found, _load_summary.summarise(found, 10.0)]
        for found in (context.rows, slow)
    ]
    context.comparison = _load_summary.compare_latencies(*runs)


@behave.then("the load comparison has a ratio of 2 for the first token")
def has_ratio(context):
    ratios = {
        (row["class"], row["percentile"]): row["ratio"]
        for row in context.comparison
        if row["measure"] == "first_token_s"
    }
    assert ratios["all", "p95"] == 2.0, ratios
    # The histograms have a resolution of two significant digits.
    assert abs(ratios["notary-desk", "p95"] - 2) < 0.05, ratios
