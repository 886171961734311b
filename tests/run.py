"""Runs the features in parallel processes and counts their real results.

``python -m tests.run [behave arguments]`` exits with 1 if a scenario failed,
or if none ran. Without arguments every feature under ``tests`` runs, a few
at a time, each in a process of its own; with arguments one behave runs in
this process. The last line is ``N passed, N failed``.

A failed scenario that ``KNOWN-RED.txt`` lists is printed as such and does not
fail the whole; nothing else is passed over.
"""

from concurrent import futures
import os
import pathlib
import re
import subprocess
import sys
import time

from behave import __main__ as behave_main
from behave import configuration
from behave import model_core
from behave import runner

PASSED = model_core.Status.passed
NOT_RUN = (model_core.Status.skipped, model_core.Status.untested)
#: Features at once: each of the longest ones starts a dozen processes.
PARALLEL = max(1, min(4, (os.cpu_count() or 2) // 2))
#: A feature that takes so long hangs.
FEATURE_S = 900.0
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
FAILED_LINE = "failed scenario: "
#: Lines of a failed feature's output that say which step failed and why.
COMPLAINT = re.compile(
    rf"\.\.\. (failed|error) in |^(ASSERT FAILED|\w+Error):|^{FAILED_LINE}"
)
MOST_COMPLAINTS = 12
#: Characters of such a line.
MOST_COMPLAINT = 400
COUNTS = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)


class _Counting(runner.Runner):
    """A runner that remembers how each scenario ended."""

    statuses: list[model_core.Status] = []
    failed: list[str] = []

    def run_with_paths(self) -> bool:
        broken = super().run_with_paths()
        ran = [
            scenario
            for feature in self.features
            for scenario in feature.walk_scenarios()
            if scenario.status not in NOT_RUN
        ]
        _Counting.statuses = [scenario.status for scenario in ran]
        _Counting.failed = [str(s.location) for s in ran if s.status != PASSED]
        return broken


class Result:
    """What one feature's process said.

    :param known_red: scenarios that are known to fail.
    """

    __slots__ = ("feature", "passed", "failed", "known", "output", "took_s")

    def __init__(
        self,
        feature: str,
        code: int,
        output: str,
        took_s: float,
        known_red: frozenset[str],
    ) -> None:
        self.feature = feature
        self.output = output
        self.took_s = took_s
        counted = COUNTS.findall(output)
        self.passed, self.failed = (
            (int(counted[-1][0]), int(counted[-1][1])) if counted else (0, 1)
        )
        named = re.findall(f"^{FAILED_LINE}(.+)$", output, re.MULTILINE)
        #: Failed scenarios that are known to fail, not among the failed.
        self.known = [name for name in named if name in known_red]
        self.failed -= len(self.known)
        # A process that broke without a failed scenario has failed too.
        if code and not self.failed and not self.known:
            self.failed = 1

    @property
    def broken(self) -> bool:
        """Whether a scenario failed, known to or not."""
        return bool(self.failed or self.known)

    @property
    def complaints(self) -> list[str]:
        """The lines that tell what failed, cut short.

        They are printed once more at the end: a log of which only the ends
        are kept loses them in the middle.
        """
        if not self.broken:
            return []
        lines = self.output.splitlines()
        telling = [
            line.strip()[:MOST_COMPLAINT]
            for line in lines
            if COMPLAINT.search(line)
        ]
        return [f"in {self.feature}:", *telling[:MOST_COMPLAINTS]]


def known_red() -> frozenset[str]:
    """Scenarios that are known to fail, as ``FILE:LINE``."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(x.partition(" | ")[0].strip() for x in lines if x)


def run_here(arguments: list[str]) -> int:
    """Run one behave in this process.

    :param arguments: behave's own command-line arguments.
    :returns: the exit code of the process.
    """
    config = configuration.Configuration(arguments)
    broken = behave_main.run_behave(config, runner_class=_Counting)
    passed = _Counting.statuses.count(PASSED)
    failed = len(_Counting.statuses) - passed
    for location in _Counting.failed:
        print(f"{FAILED_LINE}{location}")
    print(f"{passed} passed, {failed} failed", flush=True)
    return int(bool(broken or failed or not passed))


def run_all() -> int:
    """Run every feature, each in its own process.

    :returns: the exit code of the process.
    """
    features = sorted(
        pathlib.Path("tests").rglob("*.feature"), key=_cost, reverse=True
    )
    results = []
    with futures.ThreadPoolExecutor(PARALLEL) as executor:
        for result in executor.map(_run_feature, map(str, features)):
            results.append(result)
            _tell(result)
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    for line in (line for r in results for line in r.complaints):
        print(line)
    for location in (name for r in results for name in r.known):
        print(f"known red, failed: {location} (see {KNOWN_RED})")
    print(f"{passed} passed, {failed} failed", flush=True)
    return int(bool(failed or not passed))


def _cost(feature: pathlib.Path) -> tuple[bool, int]:
    """Long ones first: those that start daemons, then by length."""
    starts_daemons = feature.parent.name in ("daemon", "bench", "client")
    return starts_daemons, feature.stat().st_size


def _run_feature(feature: str) -> Result:
    began = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, "-m", "tests.run", feature, "--format=plain"],
            capture_output=True,
            text=True,
            timeout=FEATURE_S,
        )
        code, output = done.returncode, done.stdout + done.stderr
    except subprocess.TimeoutExpired as error:
        code, output = 1, f"hangs: {error}"
    took_s = time.monotonic() - began
    return Result(feature, code, output, took_s, known_red())


def _tell(result: Result) -> None:
    verdict = "FAILED" if result.failed else "ok"
    print(
        f"{verdict} {result.feature}: {result.passed} of "
        f"{result.passed + result.failed} in {result.took_s:.1f} s",
        flush=True,
    )
    if result.broken:
        print(result.output, flush=True)


if __name__ == "__main__":
    arguments_ = sys.argv[1:]
    sys.exit(run_here(arguments_) if arguments_ else run_all())
