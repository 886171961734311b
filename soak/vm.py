"""Entry VM process of a soak test.

Usage: ``python -m soak.vm SETTINGS.json``
"""

import json
import os
import pathlib
import signal
import sys
import typing

# As in platform/serve.py, which imports as much after it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from apricotlever.serving import main  # noqa: E402
from apricotlever.serving import settings  # noqa: E402

from . import dialect  # noqa: E402
from . import runner_paths  # noqa: E402

HOST = "127.0.0.1"
BYTES_PER_MB = 1_000_000
#: How long a VM may take to shut down, in seconds.
SHUTDOWN_TIMEOUT_S = 4.0


def read_settings(path: pathlib.Path) -> settings.NodeSettings:
    """Read the settings of a VM."""
    document = json.loads(path.read_text())

    def address_of(name: str) -> settings.Address:
        return settings.Address(HOST, document[name])

    return settings.NodeSettings(
        document["vm"],
        document["data_centre"],
        ("dc-a", "dc-b"),
        address_of("callers"),
        address_of("checks"),
        address_of("lookups"),
        address_of("peers"),
        None,
        tuple(f"{HOST}:{port}" for port in document["seeds"]),
        address_of("store"),
        None,
        False,
        False,
        settings.FleetBounds(
            shutdown_s=SHUTDOWN_TIMEOUT_S, retry_min=document["retry_min"]
        ),
        settings.Address(HOST, 0),
        machine=settings.Machine(
            document.get("memory_mb", 0) * BYTES_PER_MB,
            document.get("max_descriptors", 0),
        ),
    )


def run(arguments: typing.Sequence[str]) -> int:
    """Serve until the process is asked to shut down.

    :param arguments: path of the settings file.
    :returns: exit code of the process.
    """
    path = pathlib.Path(arguments[0])
    vm = read_settings(path).vm
    os.environ[dialect.VM_VARIABLE] = vm
    runner_paths.use_paths_of(vm)
    return main.run("soak", lambda: read_settings(path))


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
