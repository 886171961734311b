"""Steps for tests/adapter/early_signals.feature."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from behave import given
from behave import then
from behave import when

from tests.support import ports

TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.002
ROLES = ("callers", "checks", "lookups", "peers", "store")


@given("a process of an entry VM that has just been started")
def _start(context):
    reserved = ports.PortReservations()
    context.closers.append(reserved.close)
    context.ports = {role: reserved.reserve() for role in ROLES}
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    path = pathlib.Path(folder.name, "vm.json")
    path.write_text(
        json.dumps(
            {
                "vm": "vm-0",
                "data_centre": "dc-a",
                "seeds": [context.ports["peers"]],
                "retry_min": 10.0,
                **context.ports,
            }
        )
    )
    context.process = subprocess.Popen(
        [sys.executable, "-m", "soak.vm", str(path)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        preexec_fn=_restore_hangups,
    )
    context.closers.append(context.process.wait)
    context.closers.append(context.process.kill)


@when("it is told to reload before it listens")
def _reload(context):
    status = pathlib.Path(f"/proc/{context.process.pid}/status")
    _wait_until(lambda: _ignores_hangups(status.read_text()))
    assert not _listens(context)
    context.process.send_signal(signal.SIGHUP)


@then("it listens")
def _check_listens(context):
    _wait_until(lambda: _listens(context))


def _restore_hangups():
    """Undo what the process of the tests may have inherited."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def _ignores_hangups(status):
    """Whether a process ignores SIGHUP, by its status of the kernel."""
    (line,) = [x for x in status.splitlines() if x.startswith("SigIgn:")]
    return bool(int(line.split()[1], 16) & 1 << (signal.SIGHUP - 1))


def _listens(context):
    with socket.socket() as probe:
        return not probe.connect_ex((ports.HOST, context.ports["checks"]))


def _wait_until(condition):
    until = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(POLL_INTERVAL_S)
