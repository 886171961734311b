"""Steps for tests/bench/startup.feature."""

import subprocess
import sys

from behave import then
from behave import when

from bench import startup

SHOW = "; import json; print(json.dumps(sorted(sys.modules)))"


@when("the modules are loaded that a VM needs to listen")
def _load(context):
    flags, code = startup.STEPS["listens"]
    done = subprocess.run(
        [sys.executable, *flags, "-c", f"{startup.PREPARE}; {code}{SHOW}"],
        capture_output=True,
        check=True,
        text=True,
    )
    context.loaded = done.stdout


@then("neither the event loop nor the path of calls is among them")
def _few(context):
    assert "apricotlever.serving.listening_sockets" in context.loaded
    for name in ("asyncio", "apricotlever.serving.node", "httptools"):
        assert f'"{name}"' not in context.loaded, name


@when("the steps of a start are measured once")
def _measure(context):
    context.found = startup.measure(1)


@then("listening takes less than serving")
def _less(context):
    # A process that loads a third of the other's modules; no load beside it
    # adds that much to one of two processor times alone.
    assert context.found["listens"] < context.found["serves"]
