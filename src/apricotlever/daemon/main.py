"""The command ``apricotleverd``, which runs the daemon of an entry VM."""

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
#: Interval at which CPython switches between threads. With hundreds of streams
#: a longer one causes jitter between tokens.
SWITCH_INTERVAL_S = 0.001


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="apricotleverd",
        description="Serves the callers of one entry VM.",
    )
    parser.add_argument(
        "--settings", required=True, help="path of the JSON settings file"
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="only check the settings; exit with 0 if they are valid, else 3",
    )
    return parser


def main(arguments: typing.Sequence[str] | None = None) -> int:
    """Run the daemon.

    :param arguments: the command line; None for that of the process.
    :returns: 0 after a graceful shutdown, 1 when a request was cut off or
        a port is in use, 3 when the settings are invalid.
    """
    options = _create_parser().parse_args(arguments)
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
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: daemon.request_stop())
    return daemon.run()


def run() -> typing.NoReturn:
    """Run the daemon as a program.

    The process ends by ``os._exit``, because the interpreter would wait for
    threads that are blocked in a long poll of the platform, which can't be
    interrupted.
    """
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    run()
