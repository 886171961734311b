"""The retry budget under a partial failure, and the quarantine in a fleet.

``python -m bench retries`` prints one JSON line for each share of failing
attempts and way to retry: the load on the runners and the part answered; a
line for runners that fail what is above their capacity; and lines with the
crashes that one request causes with and without a quarantine.
"""

import argparse
import json
import random
import typing

from apricotlever import clock as clocks
from apricotlever.contracts import retry_budget
from apricotlever.contracts import retry_policy
from apricotlever.runners import crashes
from apricotlever.runners import quarantine

OFFERED_PER_S = 100
SECONDS = 60
CAPACITY_PER_S = 105
OVERLOAD_PER_S = 126
RUNNERS = 9
DATA_CENTRES = 3
RESENDS = 40
RESEND_S = 5.0
TAKERS = frozenset(f"r{n}" for n in range(RUNNERS))


class _Unbounded(retry_budget.RetryBudget):
    """Retries each failure as long as its attempts last."""

    def try_acquire(self, entry: str) -> bool:
        """Always."""
        return True


WAYS: dict[str, typing.Callable[[], retry_budget.RetryBudget]] = {
    "budget": retry_budget.RetryBudget,
    "unbounded": _Unbounded,
    "none": lambda: retry_budget.RetryBudget(most=0.0),
}


def _may_retry(budget: retry_budget.RetryBudget, attempts: int) -> bool:
    failure = retry_policy.FailedAttempt(
        "entry", True, True, attempts, 10.0, 1.0, frozenset({"r0"}), TAKERS
    )
    return isinstance(
        retry_policy.decide_retry(failure, budget), retry_policy.Retry
    )


def _partial(way: str, failing: float, seed: int) -> dict[str, typing.Any]:
    """Each attempt fails by chance."""
    rng = random.Random(seed)
    budget = WAYS[way]()
    attempts = answered = 0
    offered = OFFERED_PER_S * SECONDS
    for _ in range(offered):
        for attempt in range(1, retry_policy.MAX_ATTEMPTS + 1):
            attempts += 1
            if rng.random() >= failing:
                budget.record_success("entry")
                answered += 1
                break
            if not _may_retry(budget, attempt):
                break
    return {
        "trial": "partial_failure",
        "way": way,
        "failing": failing,
        "load": round(attempts / offered, 3),
        "answered": round(answered / offered, 4),
    }


def _overloaded(way: str) -> dict[str, typing.Any]:
    """Runners fail whatever is above their capacity; half the time calm."""
    budget = WAYS[way]()
    again = [0] * retry_policy.MAX_ATTEMPTS
    answered = total = offered_sum = 0
    for second in range(2 * SECONDS):
        offered = OVERLOAD_PER_S if second < SECONDS else OFFERED_PER_S
        attempts = [offered, *again[1:]]
        load = sum(attempts)
        failing = max(0.0, 1.0 - CAPACITY_PER_S / load)
        again = [0] * retry_policy.MAX_ATTEMPTS
        for number, count in enumerate(attempts, start=1):
            failed = round(count * failing)
            answered += count - failed
            for _ in range(count - failed):
                budget.record_success("entry")
            if number < retry_policy.MAX_ATTEMPTS:
                again[number] = sum(
                    _may_retry(budget, number) for _ in range(failed)
                )
        total += load
        offered_sum += offered
    return {
        "trial": "overload",
        "way": way,
        "load": round(total / offered_sum, 3),
        "answered": round(answered / offered_sum, 4),
        "load_at_the_end_per_s": load,
    }


def _poison(with_quarantine: bool) -> dict[str, typing.Any]:
    """A caller sends the same request again at any entry VM."""
    clock = clocks.ManualClock()
    rule = quarantine.Quarantine(clock)
    name = quarantine.fingerprint("entry", "customer", b'{"prompt":"x"}')
    crashed = refused = 0
    for number in range(RESENDS):
        clock.advance(RESEND_S)
        places = tuple(
            quarantine.TrialCandidate(f"r{n}", f"dc{n % DATA_CENTRES}")
            for n in range(RUNNERS)
        )
        runner: str | None = places[number % RUNNERS].runner
        standing = rule.status(name)
        on_trial = standing.state is quarantine.FingerprintState.SUSPECT
        if (
            with_quarantine
            and standing.state is not quarantine.FingerprintState.CLEAR
        ):
            answer = rule.decide(
                quarantine.TrialRequest(name, str(number), places)
            )
            run = isinstance(answer, quarantine.RunAsTrial)
            runner = answer.runner if run else None
        if runner is None:
            refused += 1
            continue
        crashed += 1
        charge = crashes.SuspectRequest(name, str(number), 1, on_trial)
        data_centre = f"dc{int(runner[1:]) % DATA_CENTRES}"
        rule.receive(
            crashes.CrashObservation(
                "vm", runner, data_centre, 0.0, False, (charge,)
            )
        )
        rule.end_trial(quarantine.TrialEnded(name, str(number)))
    return {
        "trial": "poison",
        "quarantine": with_quarantine,
        "sent": RESENDS,
        "crashed_runners": crashed,
        "refused": refused,
    }


def run(arguments: list[str]) -> int:
    """Run the trials.

    :param arguments: of the command line.
    :returns: the exit code.
    """
    parser = argparse.ArgumentParser(prog="bench retries")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    lines = [
        _partial(way, failing, options.seed)
        for failing in (0.01, 0.05, 0.2, 0.6)
        for way in WAYS
    ]
    lines += [_overloaded(way) for way in WAYS]
    lines += [_poison(known) for known in (True, False)]
    for line in lines:
        print(json.dumps(line), flush=True)
    return 0
