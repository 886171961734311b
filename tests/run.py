"""Runs the features in parallel processes and counts the scenarios' results.

``python -m tests.run [behave arguments]`` exits with 1 if a scenario failed or
if none passed. Without arguments, every feature under ``tests`` runs in its
own process, a few at a time. With arguments, behave runs once in this process.
The last line is ``N passed, N failed``.

Without arguments, a failed scenario that ``KNOWN-RED.txt`` lists is printed as
such and does not fail the run. Nothing else is tolerated.
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
#: Limits the load: each of the longest features starts a dozen processes.
MAX_PARALLEL_FEATURES = max(1, min(4, (os.cpu_count() or 2) - 1))
#: Features that run last, one at a time: they watch a process's memory.
ALONE = ("crowds.feature",)
#: A feature that runs longer is assumed to hang and counts as failed.
FEATURE_TIMEOUT_S = 900.0
KNOWN_RED_FILE = pathlib.Path("KNOWN-RED.txt")
FAILED_SCENARIO_PREFIX = "failed scenario: "
#: Lines of a feature's output that name a failed step and its cause.
FAILURE_LINE = re.compile(
    r"\.\.\. (failed|error) in |^(ASSERT FAILED|\w+Error):"
    rf"|^{FAILED_SCENARIO_PREFIX}"
)
MAX_FAILURE_LINES = 12
MAX_FAILURE_LINE_CHARS = 400
TOTALS_LINE = re.compile(r"^(\d+) passed, (\d+) failed$", re.MULTILINE)


class _RecordingRunner(runner.Runner):
    """A behave runner that records how each scenario ended."""

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
        _RecordingRunner.statuses = [scenario.status for scenario in ran]
        _RecordingRunner.failed = [
            str(s.location) for s in ran if s.status != PASSED
        ]
        return broken


class FeatureResult:
    """The result of one feature's process.

    :param feature: the path of the feature.
    :param code: the exit code.
    :param output: stdout, then stderr.
    :param duration_s: seconds from its start to its exit.
    :param known_red: the locations of scenarios that are known to fail, as
        ``FILE:LINE``.
    """

    __slots__ = (
        "feature",
        "passed",
        "failed",
        "known_failures",
        "output",
        "duration_s",
    )

    def __init__(
        self,
        feature: str,
        code: int,
        output: str,
        duration_s: float,
        known_red: frozenset[str],
    ) -> None:
        self.feature = feature
        self.output = output
        self.duration_s = duration_s
        totals = TOTALS_LINE.findall(output)
        self.passed, self.failed = (
            (int(totals[-1][0]), int(totals[-1][1])) if totals else (0, 1)
        )
        failed_locations = re.findall(
            f"^{FAILED_SCENARIO_PREFIX}(.+)$", output, re.MULTILINE
        )
        #: Scenarios that failed as known; ``failed`` doesn't count them.
        self.known_failures = [
            name for name in failed_locations if name in known_red
        ]
        self.failed -= len(self.known_failures)
        # A process may fail although no scenario did, for example if behave
        # can't parse the feature; that counts as one failure.
        if code and not self.failed and not self.known_failures:
            self.failed = 1

    @property
    def has_failures(self) -> bool:
        """Whether a scenario failed, known failures included."""
        return bool(self.failed or self.known_failures)

    @property
    def failure_summary(self) -> list[str]:
        """The lines that name the failures and their causes, truncated.

        They are repeated at the end of the run because a log that is cut in
        the middle loses the output of the features.
        """
        if not self.has_failures:
            return []
        lines = self.output.splitlines()
        failure_lines = [
            line.strip()[:MAX_FAILURE_LINE_CHARS]
            for line in lines
            if FAILURE_LINE.search(line)
        ]
        return [f"in {self.feature}:", *failure_lines[:MAX_FAILURE_LINES]]


def load_known_red() -> frozenset[str]:
    """The locations of scenarios that are known to fail, as ``FILE:LINE``."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return frozenset(
        line.partition(" | ")[0].strip() for line in lines if line
    )


def run_behave(arguments: list[str]) -> int:
    """Run behave once in this process.

    :param arguments: behave's own command-line arguments.
    :returns: the exit code of the process.
    """
    config = configuration.Configuration(arguments)
    broken = behave_main.run_behave(config, runner_class=_RecordingRunner)
    passed = _RecordingRunner.statuses.count(PASSED)
    failed = len(_RecordingRunner.statuses) - passed
    for location in _RecordingRunner.failed:
        print(f"{FAILED_SCENARIO_PREFIX}{location}")
    print(f"{passed} passed, {failed} failed", flush=True)
    return int(bool(broken or failed or not passed))


def run_all() -> int:
    """Run every feature in its own process.

    :returns: the exit code of the process.
    """
    features = sorted(
        pathlib.Path("tests").rglob("*.feature"),
        key=_start_priority,
        reverse=True,
    )
    results = []
    alone = [each for each in features if each.name in ALONE]
    features = [each for each in features if each not in alone]
    with futures.ThreadPoolExecutor(MAX_PARALLEL_FEATURES) as executor:
        for result in executor.map(_run_feature, map(str, features)):
            results.append(result)
            _print_result(result)
    for feature in alone:
        results.append(_run_feature(str(feature)))
        _print_result(results[-1])
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    for line in (line for r in results for line in r.failure_summary):
        print(line)
    for location in (name for r in results for name in r.known_failures):
        print(f"known red, failed: {location} (see {KNOWN_RED_FILE})")
    print(f"{passed} passed, {failed} failed", flush=True)
    return int(bool(failed or not passed))


def _start_priority(feature: pathlib.Path) -> tuple[bool, int]:
    """The sort key that starts long features first.

    Features that start daemons come first, then larger files. A long feature
    that starts last would run alone and delay the end.
    """
    starts_daemons = feature.parent.name in ("daemon", "bench", "client")
    return starts_daemons, feature.stat().st_size


def _run_feature(feature: str) -> FeatureResult:
    started_at = time.monotonic()
    try:
        process = subprocess.run(
            [sys.executable, "-m", "tests.run", feature, "--format=plain"],
            capture_output=True,
            text=True,
            timeout=FEATURE_TIMEOUT_S,
        )
        code, output = process.returncode, process.stdout + process.stderr
    except subprocess.TimeoutExpired as error:
        code, output = 1, f"timed out: {error}"
    duration_s = time.monotonic() - started_at
    return FeatureResult(feature, code, output, duration_s, load_known_red())


def _print_result(result: FeatureResult) -> None:
    verdict = "FAILED" if result.failed else "ok"
    print(
        f"{verdict} {result.feature}: {result.passed} of "
        f"{result.passed + result.failed} in {result.duration_s:.1f} s",
        flush=True,
    )
    if result.has_failures:
        print(result.output, flush=True)


if __name__ == "__main__":
    arguments_ = sys.argv[1:]
    sys.exit(run_behave(arguments_) if arguments_ else run_all())
