"""Steps for tests/bench/startup.feature."""

import subprocess
import sys

from behave import then
from behave import when

from bench import startup

PRINT_MODULES = "; import json; print(json.dumps(sorted(sys.modules)))"


@when("the modules that a VM needs to listen are loaded")
def _load_modules(context):
    flags, code = startup.STEPS["listens"]
    completed = subprocess.run(
        [
            sys.executable,
            *flags,
            "-c",
            f"{startup.PREAMBLE}; {code}{PRINT_MODULES}",
        ],
        capture_output=True,
        check=True,
        text=True,
    )
    context.loaded = completed.stdout


@then(
    "neither the event loop nor the request path is among the loaded "
    "modules"
)
def _few_modules(context):
    assert "apricotlever.serving.listening_sockets" in context.loaded
    for name in ("asyncio", "apricotlever.serving.node", "httptools"):
        assert f'"{name}"' not in context.loaded, name


@when("the steps of a start are measured once")
def _measure_start(context):
    context.times_s = startup.measure_steps(1)


@then("listening takes less processor time than serving")
def _less_time(context):
    # Listening needs a third of the modules that serving needs. No other load
    # on the machine adds that much to only one of the two processor times.
    assert context.times_s["listens"] < context.times_s["serves"]
