"""The command ``apricotleverd``: checks its settings, then serves."""

import argparse
import os
import signal
import sys
import typing

from .. import clock as clocks
from .. import errors
from .. import logs
from .. import settings

from . import node

EXIT_INVALID = 3
#: Python's threads take turns this often; with hundreds of streams a longer
#: turn shows as jitter between tokens.
SWITCH_INTERVAL_S = 0.001


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="apricotleverd",
        description="Serves callers on one entry VM.",
    )
    parser.add_argument(
        "--settings", required=True, help="the JSON file of settings"
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="only check the settings; exit 0 when they are valid, else 3",
    )
    return parser


def main(arguments: typing.Sequence[str] | None = None) -> int:
    """Run the daemon.

    :param arguments: the command line; that of the process when None.
    :returns: 0 after a graceful shutdown, 1 when a request was cut off or
        a port is taken, 3 when the settings are invalid.
    """
    options = _parser().parse_args(arguments)
    try:
        config = settings.load(options.settings)
    except settings.SettingsInvalid as error:
        print(error.message, file=sys.stderr)
        return EXIT_INVALID
    if options.check:
        print("the settings are valid")
        return 0
    logs.setup(config.vm, config.log_level)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        daemon = node.Node(config, clocks.SystemClock())
    except OSError as error:
        print(f"can't listen: {error}", file=sys.stderr)
        return errors.EXIT_FAILURE
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.ask_to_stop())
    return daemon.run()


def run() -> typing.NoReturn:
    """Run the daemon as a program.

    Threads that wait in a long poll of the platform can't be woken, and
    the interpreter would wait for them after everything else has ended.
    """
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    run()
