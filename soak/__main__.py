"""Runs soak tests by seed and reports which guarantees were violated."""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import sys
import tempfile
import typing

from . import callers
from . import checks
from . import faults
from . import fleet
from . import statement_checks

VM_COUNT = 3
RUNNER_COUNT = 6
CALLER_COUNT = 8
DURATION_S = 12.0
#: From the end of the last fault until calls have to be served again, in
#: seconds. In this time the VMs detect silent connections and drop runners
#: whose entries were removed from the store.
RECOVERY_S = 6.0
QUIET_PERIOD_S = 2.0
SEED_RANGE = range(1_000_000)


class SoakResult:
    """Outcome of one soak test.

    :param calls: all calls of the callers.
    :param schedule: start times and names of the faults.
    :param violations: descriptions of the violated guarantees.
    """

    def __init__(
        self,
        seed: int,
        calls: list[callers.Call],
        schedule: list[tuple[float, str]],
        violations: list[str],
    ) -> None:
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
            "faults": [f"{at:.1f} {name}" for at, name in self.schedule],
            "broken": self.violations,
        }


async def run_soak_test(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    with_statements: bool = False,
) -> SoakResult:
    """Run one soak test.

    :param seconds: length of the period in which faults start.
    :param folder: for logs and the runners' journal.
    :param with_statements: whether runners say things of themselves.
    """
    rng = random.Random(seed)
    test_fleet = fleet.Fleet(folder)
    schedule = faults.plan_faults(rng, seconds)
    if with_statements:
        statements_rng = random.Random(f"statements {seed}")
        schedule += faults.plan_statements(statements_rng, seconds)
        schedule.sort()
    try:
        await test_fleet.start(VM_COUNT, RUNNER_COUNT)
        caller_group = callers.CallerGroup(test_fleet, rng)
        tasks = [
            asyncio.ensure_future(caller_group.run())
            for _ in range(CALLER_COUNT)
        ]
        await _inject_faults(test_fleet, schedule, rng)
        await asyncio.sleep(RECOVERY_S)
        quiet_since_s = caller_group.elapsed_s
        await asyncio.sleep(QUIET_PERIOD_S)
        caller_group.stop()
        await asyncio.gather(*tasks)
        violations = checks.find_violations(
            caller_group.calls, test_fleet.executions(), quiet_since_s
        )
        violations += checks.find_failed_tasks(sorted(folder.glob("vm-*.log")))
        violations += statement_checks.find_violations(
            test_fleet.record.read(), test_fleet.disturbances
        )
        return SoakResult(seed, caller_group.calls, schedule, violations)
    finally:
        test_fleet.close()


async def _inject_faults(
    test_fleet: fleet.Fleet,
    schedule: list[tuple[float, str]],
    rng: random.Random,
) -> None:
    """Start each fault at its scheduled time and wait for all to end."""
    inject = {**faults.FAULTS, **faults.STATEMENTS}
    started_at = asyncio.get_running_loop().time()
    tasks = []
    for at, name in schedule:
        now = asyncio.get_running_loop().time() - started_at
        await asyncio.sleep(max(0.0, at - now))
        fault_rng = random.Random(rng.random())
        tasks.append(
            asyncio.ensure_future(inject[name](test_fleet, fault_rng))
        )
    await asyncio.gather(*tasks)


def _run_seed(
    seed: int, seconds: float, keep_folder: pathlib.Path
) -> SoakResult:
    """Run one soak test; keep its folder if a guarantee was violated."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    result = asyncio.run(run_soak_test(seed, seconds, folder, True))
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
    options = parser.parse_args(arguments)
    system_rng = random.SystemRandom()
    seeds = options.seed or [
        system_rng.choice(SEED_RANGE) for _ in range(options.seeds)
    ]
    failed_soaks = 0
    for seed in seeds:
        result = _run_seed(seed, options.seconds, options.keep)
        print(json.dumps(result.summary), flush=True)
        failed_soaks += bool(result.violations)
    return int(bool(failed_soaks))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
