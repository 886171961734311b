"""Retry budget under partial failure, and quarantine of a poison request.

``python -m bench retries`` prints one JSON line for each fraction of failing
attempts and retry strategy, with the load on the runners and the fraction of
requests answered; one line for each strategy with runners that fail requests
above their capacity; and two lines with the crashes that one request causes
with and without a quarantine.
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
RESEND_INTERVAL_S = 5.0
CANDIDATES = frozenset(f"r{n}" for n in range(RUNNERS))


class _Unbounded(retry_budget.RetryBudget):
    """Grants every retry, so that only the attempt limit bounds them."""

    def try_acquire(self, entry: str) -> bool:
        """Grant every retry."""
        return True


STRATEGIES: dict[str, typing.Callable[[], retry_budget.RetryBudget]] = {
    "budget": retry_budget.RetryBudget,
    "unbounded": _Unbounded,
    "none": lambda: retry_budget.RetryBudget(max_tokens=0.0),
}


def _may_retry(budget: retry_budget.RetryBudget, attempts: int) -> bool:
    failure = retry_policy.FailedAttempt(
        "entry", True, True, attempts, 10.0, 1.0, frozenset({"r0"}), CANDIDATES
    )
    return isinstance(
        retry_policy.decide_retry(failure, budget), retry_policy.Retry
    )


def _partial(
    strategy: str, failing: float, seed: int
) -> dict[str, typing.Any]:
    """Simulate attempts that fail at random with a fixed probability."""
    rng = random.Random(seed)
    budget = STRATEGIES[strategy]()
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
        "way": strategy,
        "failing": failing,
        "load": round(attempts / offered, 3),
        "answered": round(answered / offered, 4),
    }


def _overloaded(strategy: str) -> dict[str, typing.Any]:
    """Simulate runners that fail requests above their capacity.

    The offered load exceeds the capacity in the first half of the time only.
    """
    budget = STRATEGIES[strategy]()
    retries = [0] * retry_policy.MAX_ATTEMPTS
    answered = total_load = total_offered = 0
    for second in range(2 * SECONDS):
        offered = OVERLOAD_PER_S if second < SECONDS else OFFERED_PER_S
        attempts = [offered, *retries[1:]]
        load = sum(attempts)
        failing = max(0.0, 1.0 - CAPACITY_PER_S / load)
        retries = [0] * retry_policy.MAX_ATTEMPTS
        for number, count in enumerate(attempts, start=1):
            failed = round(count * failing)
            answered += count - failed
            for _ in range(count - failed):
                budget.record_success("entry")
            if number < retry_policy.MAX_ATTEMPTS:
                retries[number] = sum(
                    _may_retry(budget, number) for _ in range(failed)
                )
        total_load += load
        total_offered += offered
    return {
        "trial": "overload",
        "way": strategy,
        "load": round(total_load / total_offered, 3),
        "answered": round(answered / total_offered, 4),
        "load_at_the_end_per_s": load,
    }


def _poison(with_quarantine: bool) -> dict[str, typing.Any]:
    """Simulate a caller that resends a request that crashes its runner.

    The request may reach any entry VM; one quarantine models all of them.
    """
    clock = clocks.ManualClock()
    request_quarantine = quarantine.Quarantine(clock)
    fingerprint = quarantine.fingerprint(
        "entry", "customer", b'{"prompt":"x"}'
    )
    crashed = refused = 0
    for number in range(RESENDS):
        clock.advance(RESEND_INTERVAL_S)
        candidates = tuple(
            quarantine.TrialCandidate(f"r{n}", f"dc{n % DATA_CENTRES}")
            for n in range(RUNNERS)
        )
        runner: str | None = candidates[number % RUNNERS].runner
        status = request_quarantine.status(fingerprint)
        on_trial = status.state is quarantine.FingerprintState.SUSPECT
        if (
            with_quarantine
            and status.state is not quarantine.FingerprintState.CLEAR
        ):
            answer = request_quarantine.decide(
                quarantine.TrialRequest(fingerprint, str(number), candidates)
            )
            granted = isinstance(answer, quarantine.RunAsTrial)
            runner = answer.runner if granted else None
        if runner is None:
            refused += 1
            continue
        crashed += 1
        suspect = crashes.SuspectRequest(fingerprint, str(number), 1, on_trial)
        data_centre = f"dc{int(runner[1:]) % DATA_CENTRES}"
        request_quarantine.receive(
            crashes.CrashObservation(
                "vm", runner, data_centre, 0.0, False, (suspect,)
            )
        )
        request_quarantine.end_trial(
            quarantine.TrialEnded(fingerprint, str(number))
        )
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
        _partial(strategy, failing, options.seed)
        for failing in (0.01, 0.05, 0.2, 0.6)
        for strategy in STRATEGIES
    ]
    lines += [_overloaded(strategy) for strategy in STRATEGIES]
    lines += [_poison(with_quarantine) for with_quarantine in (True, False)]
    for line in lines:
        print(json.dumps(line), flush=True)
    return 0
