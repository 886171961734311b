"""Steps for tests/soak/hard.feature."""

import asyncio
import pathlib
import random
import tempfile

from behave import then
from behave import when

from soak import __main__ as soak_main
from soak import hard_faults


@when(
    "a soak test with seed {seed:d} injects hard faults and releases for "
    "{s:f} s"
)
def _run_soak(context, seed, s):
    with tempfile.TemporaryDirectory() as folder:
        context.result = asyncio.run(
            soak_main.run_soak_test(
                seed,
                s,
                pathlib.Path(folder),
                with_releases=True,
                with_hard_faults=True,
            )
        )


@then(
    "the plans of hard faults of seed 7 are equal and that of seed 8 differs"
)
def _check_plans(context):
    def plan(seed):
        return hard_faults.plan(random.Random(seed), 30.0)

    assert plan(7) == plan(7) != plan(8)
