"""Entry point of the ``apricotlever`` command for operators."""

import argparse
import getpass
import json
import sys
import typing

from .. import __version__
from .. import documents
from .. import errors as root_errors
from .. import settings
from . import catalogue_commands
from . import command_registry
from . import errors
from . import exit_codes
from . import fleet_commands
from . import log_commands
from . import room_command
from . import runner_commands

PROGRAM = "apricotlever"
DEFAULT_CALL_TIMEOUT_S = 5.0

# Importing these modules registers their commands.
COMMAND_MODULES = (
    catalogue_commands,
    fleet_commands,
    log_commands,
    room_command,
    runner_commands,
)


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    :param arguments: command-line arguments without the program name; None
        for those of the process.
    :returns: one of :mod:`exit_codes`.
    """
    options = _build_parser().parse_args(arguments)
    try:
        report = options.registered_command.run(
            command_registry.Invocation(options)
        )
    except root_errors.ApricotleverError as error:
        return _print_failure(error, options.json)
    print(json.dumps(report.document) if options.json else report.text)
    return exit_codes.SUCCESS


def _print_failure(error: root_errors.ApricotleverError, as_json: bool) -> int:
    code = _exit_code(error)
    changes = error.changes if isinstance(error, errors.EditConflict) else ()
    if as_json:
        document = {
            "error": error.message,
            "exit_code": code,
            "changes": [change.document for change in changes],
        }
        print(json.dumps(document))
        return code
    print(f"{PROGRAM}: {error.message}", file=sys.stderr)
    if changes:
        print("what your document would change in it:", file=sys.stderr)
        print(catalogue_commands.format_changes(changes), file=sys.stderr)
    return code


def _exit_code(error: root_errors.ApricotleverError) -> int:
    if isinstance(error, (documents.DocumentInvalid, documents.NotJson)):
        return exit_codes.INVALID_INPUT
    return error.exit_code


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description="Edit the catalogue and query the entry VMs.",
        epilog=_exit_code_help(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=f"{PROGRAM} {__version__}"
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    groups: dict[tuple[str, ...], typing.Any] = {(): commands}
    for registered in command_registry.COMMANDS:
        _add_command(groups, registered)
    return parser


def _add_command(
    groups: dict[tuple[str, ...], typing.Any],
    registered: command_registry.Command,
) -> None:
    parent = registered.path[:-1]
    if parent not in groups:
        group = groups[()].add_parser(
            parent[-1], help=f"commands on the {parent[-1]}"
        )
        groups[parent] = group.add_subparsers(required=True, metavar="COMMAND")
    parser = groups[parent].add_parser(
        registered.path[-1],
        help=registered.summary,
        description=registered.summary,
    )
    if registered.add_arguments:
        registered.add_arguments(parser)
    _add_connection_arguments(parser)
    parser.set_defaults(registered_command=registered)


def _add_connection_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--json",
        action="store_true",
        help="print the output as one JSON document",
    )
    parser.add_argument(
        "--objects", metavar="URL", help="URL of the platform's object API"
    )
    parser.add_argument(
        "--entry",
        action="append",
        type=_parse_address,
        metavar="HOST:PORT",
        help="an entry VM to connect to; may be given more than once",
    )
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help="a daemon's settings; defaults for --objects and --entry",
    )
    parser.add_argument(
        "--operator-key-file",
        metavar="FILE",
        help="file with the operator key that entry VMs require",
    )
    parser.add_argument(
        "--call-timeout",
        type=float,
        default=DEFAULT_CALL_TIMEOUT_S,
        metavar="S",
        help="timeout of each call to the platform (default: %(default)s)",
    )
    parser.add_argument(
        "--by",
        default=_current_user(),
        metavar="NAME",
        help="editor name for the history (default: %(default)s)",
    )


def _parse_address(text: str) -> settings.Address:
    return settings.Address.from_text(text)


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _exit_code_help() -> str:
    lines = [
        f"  {code}  {meaning}" for code, meaning in exit_codes.MEANINGS.items()
    ]
    return "exit codes:\n" + "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
