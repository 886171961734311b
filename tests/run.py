"""Runs behave and closes with a line that counts its real results.

``python -m tests.run [behave arguments]`` exits with 1 if a scenario
failed, or if no scenario ran.
"""

import sys

from behave import __main__ as behave_main
from behave import configuration
from behave import model_core
from behave import runner

PASSED = model_core.Status.passed
NOT_RUN = (model_core.Status.skipped, model_core.Status.untested)


class _Counting(runner.Runner):
    """A runner that remembers how each scenario ended."""

    statuses: list[model_core.Status] = []

    def run_with_paths(self) -> bool:
        broken = super().run_with_paths()
        _Counting.statuses = [
            scenario.status
            for feature in self.features
            for scenario in feature.walk_scenarios()
            if scenario.status not in NOT_RUN
        ]
        return broken


def main(arguments: list[str]) -> int:
    """Run the features and print ``N passed, N failed``.

    :param arguments: behave's own command-line arguments.
    :returns: the exit code of the process.
    """
    config = configuration.Configuration(arguments)
    broken = behave_main.run_behave(config, runner_class=_Counting)
    passed = _Counting.statuses.count(PASSED)
    failed = len(_Counting.statuses) - passed
    print(f"{passed} passed, {failed} failed", flush=True)
    return int(bool(broken or failed or not passed))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
