"""Runs soak tests by seed and reports which guarantees were violated."""

import argparse
import asyncio
import functools
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time
import typing

from . import bad_parts
from . import callers
from . import checks
from . import cut_checks
from . import cuts
from . import faults
from . import fleet
from . import fragile_checks
from . import fragile_times
from . import hard_faults
from . import part_callers
from . import part_checks
from . import releases
from . import retry_checks
from . import retry_faults
from . import statement_checks
from . import statements
from . import version_checks

VM_COUNT = 3
RUNNER_COUNT = 6
#: Further runners where versions are released, so that two of each may serve.
EXTRA_RUNNER_COUNT = 4
CALLER_COUNT = 8
#: Further callers where runners are fragile, who fill the little room that
#: such runners have.
EXTRA_CALLER_COUNT = 8
#: Callers of each route of sound calls with prompts, where parts are bad.
SOUND_CALLERS = 3
DURATION_S = 12.0
#: From the end of the last fault until calls have to be served again, in
#: seconds. In this time the VMs detect silent connections and drop runners
#: whose entries were removed from the store.
RECOVERY_S = 6.0
QUIET_PERIOD_S = 2.0
#: Time in which the last calls of a quiet period end, in seconds.
LAST_CALLS_S = 1.0
#: Calls have to be served again from this time after the last cut on, which
#: is apart from other faults, in seconds.
RECOVERY_AFTER_CUT_S = cut_checks.CONTACT_S
#: The same after the last fragile time.
RECOVERY_AFTER_FALLS_S = 3.0
SEED_RANGE = range(1_000_000)


class SoakResult:
    """Outcome of one soak test.

    :param calls: all calls of the callers.
    :param schedule: start times and names of the faults.
    :param violations: descriptions of the violated guarantees.
    :param resumptions: the calls that resumed a stream.
    """

    def __init__(
        self,
        seed: int,
        calls: list[callers.Call],
        schedule: list[tuple[float, str]],
        violations: list[str],
        resumptions: typing.Sequence[callers.Call] = (),
    ) -> None:
        self.resumptions = resumptions
        self.seed = seed
        self.calls = calls
        self.schedule = schedule
        self.violations = violations

    @property
    def summary(self) -> dict[str, typing.Any]:
        """Summary to print as JSON."""
        return {
            "seed": self.seed,
            "calls": len(self.calls),
            "served": sum(call.served for call in self.calls),
            "resumed": len(self.resumptions),
            "went_on": sum(call.has_gone_on for call in self.resumptions),
            "faults": [f"{at:.1f} {name}" for at, name in self.schedule],
            "broken": self.violations,
        }


async def run_soak_test(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    with_statements: bool = False,
    with_cuts: bool = False,
    with_fragility: bool = False,
    with_releases: bool = False,
    with_bad_parts: bool = False,
    with_hard_faults: bool = False,
    with_retry_faults: bool = False,
) -> SoakResult:
    """Run one soak test.

    :param seconds: length of the period in which faults start.
    :param folder: for logs and the runners' journal.
    :param with_statements: whether runners say things of themselves.
    :param with_cuts: whether VMs are cut off from all runners, and callers
        give calls up.
    :param with_fragility: whether runners are fragile for some times.
    :param with_releases: whether runners are replaced by others of another
        version, and callers take broken streams up again.
    :param with_bad_parts: whether calls are sent with prompt parts that crash
        their runners, beside sound ones.
    :param with_hard_faults: whether all VMs are killed at once, runners spoil
        streams or send without end, and others write unreadable entries.
    :param with_retry_faults: whether runners lose most answers while VMs are
        killed in series.
    """
    rng = random.Random(seed)
    retry_min = (
        retry_faults.RETRY_MIN if with_retry_faults else fleet.RETRY_MIN
    )
    test_fleet = fleet.Fleet(folder, retry_min)
    schedule = faults.plan_faults(rng, seconds)
    if with_statements:
        statements_rng = random.Random(f"statements {seed}")
        schedule += faults.plan_statements(statements_rng, seconds)
        schedule.sort()
    cut_schedule = (
        cuts.plan(random.Random(f"plan cuts {seed}"), seconds)
        if with_cuts
        else []
    )
    injector = cuts.Injector(test_fleet, random.Random(f"cuts {seed}"))
    fragile_schedule = (
        fragile_times.plan(random.Random(f"plan fragility {seed}"), seconds)
        if with_fragility
        else []
    )
    fragility = fragile_times.Injector(
        test_fleet, random.Random(f"fragility {seed}")
    )
    leave_rng = random.Random(f"leave {seed}") if with_cuts else None
    release_schedule = (
        releases.plan(random.Random(f"plan releases {seed}"), seconds)
        if with_releases
        else []
    )
    releasing = releases.Injector(
        test_fleet, random.Random(f"releases {seed}")
    )
    hard_schedule = (
        hard_faults.plan(random.Random(f"plan hard {seed}"), seconds)
        if with_hard_faults
        else []
    )
    hard = hard_faults.Injector(test_fleet, random.Random(f"hard {seed}"))
    retry_schedule = (
        retry_faults.plan(random.Random(f"plan retries {seed}"), seconds)
        if with_retry_faults
        else []
    )
    retries = retry_faults.Injector(
        test_fleet, random.Random(f"retries {seed}")
    )
    resume_rng = random.Random(f"resume {seed}") if with_releases else None
    runner_count = RUNNER_COUNT + (EXTRA_RUNNER_COUNT if with_releases else 0)
    try:
        await test_fleet.start(VM_COUNT, runner_count)
        caller_group = callers.CallerGroup(
            test_fleet, rng, leave_rng, resume_rng
        )
        any_vm = CALLER_COUNT + (EXTRA_CALLER_COUNT if with_fragility else 0)
        prompts = part_callers.PartCallers(
            test_fleet, caller_group, random.Random(f"prompts {seed}")
        )
        bad_injector = bad_parts.Injector(
            test_fleet, random.Random(f"bad parts {seed}"), prompts.send_bad
        )
        bad_schedule = (
            bad_parts.plan(random.Random(f"plan bad parts {seed}"), seconds)
            if with_bad_parts
            else []
        )
        vms = [None] * any_vm + (test_fleet.vms if with_cuts else [])
        tasks = [asyncio.ensure_future(caller_group.run(vm)) for vm in vms]
        if with_bad_parts:
            tasks += [
                asyncio.ensure_future(prompts.run(prefix))
                for prefix in SOUND_CALLERS * bad_parts.PREFIXES
            ]
        repeatable = retry_faults.RepeatableCalls(
            test_fleet, caller_group, random.Random(f"repeatable {seed}")
        )
        if with_retry_faults:
            tasks.append(asyncio.ensure_future(repeatable.run()))
        await asyncio.gather(
            _inject_faults(test_fleet, schedule, rng),
            injector.inject(cut_schedule),
            fragility.inject(fragile_schedule),
            releasing.inject(release_schedule),
            bad_injector.inject(bad_schedule),
            hard.inject(hard_schedule),
            retries.inject(retry_schedule),
        )
        caller_group.stop_dropping()
        repeatable.stop()
        quiet_periods = [await _wait_quietly(caller_group, RECOVERY_S)]
        if with_fragility:
            await asyncio.sleep(LAST_CALLS_S)
            at = caller_group.elapsed_s
            fragile_schedule.append((at, await fragility.inject_last()))
            quiet_periods.append(
                await _wait_quietly(caller_group, RECOVERY_AFTER_FALLS_S)
            )
        if with_cuts:
            await asyncio.sleep(LAST_CALLS_S)
            at = caller_group.elapsed_s
            last_cut = await injector.inject_last(
                functools.partial(_inject_fault, test_fleet)
            )
            cut_schedule.append((at, last_cut))
            quiet_periods.append(
                await _wait_quietly(caller_group, RECOVERY_AFTER_CUT_S)
            )
        caller_group.stop()
        prompts.stop()
        await asyncio.gather(*tasks)
        violations = _find_violations(
            test_fleet,
            caller_group,
            quiet_periods,
            injector.periods,
            [*prompts.sound, *prompts.bad, *repeatable.calls],
        )
        violations += part_checks.find_violations(
            part_checks.Observations(
                bad_injector.times,
                test_fleet.record.read(),
                prompts.sound,
                caller_group.started_at,
                injector.periods,
                test_fleet.disturbances,
            )
        )
        violations += retry_checks.find_violations(
            [
                *caller_group.calls,
                *caller_group.resumptions,
                *prompts.sound,
                *prompts.bad,
                *repeatable.calls,
            ],
            caller_group.started_at,
            test_fleet.record.read(),
            retry_min,
        )
        logs = sorted(folder.glob("vm-*.log"))
        violations += checks.find_failed_tasks(logs)
        violations += fragile_checks.find_violations(
            test_fleet.record.read(),
            test_fleet.disturbances,
            fragility.times,
            fragile_checks.read_crashes(logs),
        )
        schedule = sorted(
            schedule
            + cut_schedule
            + fragile_schedule
            + release_schedule
            + bad_schedule
            + hard_schedule
            + retry_schedule
        )
        return SoakResult(
            seed,
            caller_group.calls,
            schedule,
            violations,
            caller_group.resumptions,
        )
    finally:
        test_fleet.close()


async def _wait_quietly(
    caller_group: callers.CallerGroup, recovery_s: float
) -> tuple[float, float]:
    """Wait for the fleet to recover, and then for a quiet period.

    :returns: the begin and end of that period, in seconds since the start of
        the soak test.
    """
    await asyncio.sleep(recovery_s)
    since_s = caller_group.elapsed_s
    await asyncio.sleep(QUIET_PERIOD_S)
    return since_s, caller_group.elapsed_s


def _find_violations(
    test_fleet: fleet.Fleet,
    caller_group: callers.CallerGroup,
    quiet_periods: list[tuple[float, float]],
    cut_periods: list[cuts.CutPeriod],
    other_calls: list[callers.Call],
) -> list[str]:
    """Describe each violated guarantee but those that the logs show.

    :param other_calls: calls beside those of the caller group.
    """
    calls = caller_group.calls
    *first_periods, (last_since_s, _) = quiet_periods
    violations = checks.find_violations(
        [*calls, *other_calls],
        test_fleet.executions(),
        last_since_s,
        caller_group.resumptions,
    )
    for since_s, until_s in first_periods:
        violations += checks.check_recovery(calls, since_s, until_s)
    events = test_fleet.record.read()
    violations += statement_checks.find_violations(
        events, test_fleet.disturbances
    )
    seen = cut_checks.Observations(
        calls,
        caller_group.started_at,
        cut_periods,
        test_fleet.faults,
        events,
        test_fleet.disturbances,
        caller_group.empty_lookups,
    )
    violations += cut_checks.find_violations(seen)
    return violations + version_checks.find_violations(
        version_checks.Observations(
            calls,
            caller_group.resumptions,
            caller_group.started_at,
            test_fleet.spans,
            cut_periods,
            test_fleet.disturbances,
        )
    )


async def _inject_faults(
    test_fleet: fleet.Fleet,
    schedule: list[tuple[float, str]],
    rng: random.Random,
) -> None:
    """Start each fault at its scheduled time and wait for all to end."""
    started_at = asyncio.get_running_loop().time()
    tasks = []
    for at, name in schedule:
        now = asyncio.get_running_loop().time() - started_at
        await asyncio.sleep(max(0.0, at - now))
        fault_rng = random.Random(rng.random())
        tasks.append(
            asyncio.ensure_future(_inject_fault(test_fleet, name, fault_rng))
        )
    await asyncio.gather(*tasks)


async def _inject_fault(
    test_fleet: fleet.Fleet, name: str, rng: random.Random
) -> None:
    """Inject a fault or statement and note its time."""
    inject = {**faults.FAULTS, **faults.STATEMENTS}[name]
    since = time.monotonic()
    try:
        await inject(test_fleet, rng)
    finally:
        test_fleet.faults.append(
            statements.Disturbance(name, since, time.monotonic())
        )


def _run_seed(
    seed: int,
    seconds: float,
    keep_folder: pathlib.Path,
    with_retry_faults: bool,
) -> SoakResult:
    """Run one soak test; keep its folder if a guarantee was violated."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    result = asyncio.run(
        run_soak_test(seed, seconds, folder, *[True] * 6, with_retry_faults)
    )
    if result.violations:
        kept = keep_folder / f"seed-{seed}"
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(folder, kept)
    shutil.rmtree(folder, ignore_errors=True)
    return result


def main(arguments: list[str]) -> int:
    """Run the soak tests that the command line asks for.

    :returns: 1 if a guarantee was violated, else 0.
    """
    parser = argparse.ArgumentParser("soak", description=__doc__)
    parser.add_argument(
        "--seeds",
        type=int,
        default=5,
        help="number of random seeds (default: 5)",
    )
    parser.add_argument(
        "--seed",
        type=int,
        action="append",
        help="a seed to run; may be repeated",
    )
    parser.add_argument("--seconds", type=float, default=DURATION_S)
    parser.add_argument(
        "--keep",
        type=pathlib.Path,
        default=pathlib.Path("soak-logs"),
        help="where to keep the folders of failed soak tests",
    )
    parser.add_argument(
        "--retries",
        action="store_true",
        help="also lose most answers while VMs are killed in series",
    )
    options = parser.parse_args(arguments)
    system_rng = random.SystemRandom()
    seeds = options.seed or [
        system_rng.choice(SEED_RANGE) for _ in range(options.seeds)
    ]
    failed_soaks = 0
    for seed in seeds:
        result = _run_seed(
            seed, options.seconds, options.keep, options.retries
        )
        print(json.dumps(result.summary), flush=True)
        failed_soaks += bool(result.violations)
    return int(bool(failed_soaks))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
