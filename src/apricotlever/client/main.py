"""The ``apricotlever`` command: operators edit and read back."""

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
from . import command
from . import errors
from . import exit_codes
from . import fleet_commands
from . import log_commands

PROGRAM = "apricotlever"
DEFAULT_TIMEOUT_S = 5.0

# Importing a module of commands registers them.
COMMAND_MODULES = (catalogue_commands, fleet_commands, log_commands)


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    :param arguments: the command line without the program's name; the
        process's own when None.
    :returns: one of :mod:`exit_codes`.
    """
    options = _parser().parse_args(arguments)
    try:
        report = options.command.run(command.Invocation(options))
    except root_errors.ApricotleverError as error:
        return _failed(error, options.json)
    print(json.dumps(report.document) if options.json else report.text)
    return exit_codes.FINE


def _failed(error: root_errors.ApricotleverError, as_json: bool) -> int:
    code = _exit_code(error)
    changes = error.changes if isinstance(error, errors.EditLost) else ()
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
        print(catalogue_commands.changes_text(changes), file=sys.stderr)
    return code


def _exit_code(error: root_errors.ApricotleverError) -> int:
    if isinstance(error, (documents.DocumentInvalid, documents.NotJson)):
        return exit_codes.INVALID_INPUT
    return error.exit_code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description="Edit the catalogue and read back what is in force.",
        epilog=_exit_code_help(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=f"{PROGRAM} {__version__}"
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    groups: dict[tuple[str, ...], typing.Any] = {(): commands}
    for known in command.COMMANDS:
        _add_command(groups, known)
    return parser


def _add_command(
    groups: dict[tuple[str, ...], typing.Any], known: command.Command
) -> None:
    parent = known.path[:-1]
    if parent not in groups:
        group = groups[()].add_parser(
            parent[-1], help=f"commands on the {parent[-1]}"
        )
        groups[parent] = group.add_subparsers(required=True, metavar="COMMAND")
    parser = groups[parent].add_parser(
        known.path[-1], help=known.summary, description=known.summary
    )
    if known.add_arguments:
        known.add_arguments(parser)
    _add_connection_arguments(parser)
    parser.set_defaults(command=known)


def _add_connection_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--json", action="store_true", help="print one JSON document"
    )
    parser.add_argument(
        "--objects", metavar="URL", help="the platform's object API"
    )
    parser.add_argument(
        "--entry",
        action="append",
        type=_address,
        metavar="HOST:PORT",
        help="an entry VM to ask first; may be given more than once",
    )
    parser.add_argument(
        "--settings", metavar="FILE", help="a daemon's settings, for both"
    )
    parser.add_argument(
        "--operator-key-file",
        metavar="FILE",
        help="holds the key that entry VMs want from operators",
    )
    parser.add_argument(
        "--call-timeout",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar="S",
        help="for each call to the platform (default: %(default)s)",
    )
    parser.add_argument(
        "--by",
        default=_user(),
        metavar="NAME",
        help="who edits, for the history (default: %(default)s)",
    )


def _address(text: str) -> settings.Address:
    return settings.Address.from_text(text)


def _user() -> str:
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
