"""Registry of the subcommands, and the arguments and output of one run."""

import argparse
import sys
import typing

from .. import documents
from .. import errors as root_errors
from .. import settings
from . import catalogue_store
from . import errors
from . import fleet
from ..links import platform

Json = typing.Any
Run = typing.Callable[["Invocation"], "Report"]
AddArguments = typing.Callable[[argparse.ArgumentParser], None]

STDIN_NAME = "-"


class Report:
    """Output of a command, as JSON and as text.

    :param document: JSON document that ``--json`` prints.
    :param text: plain text that is printed otherwise.
    """

    __slots__ = ("document", "text")

    def __init__(self, document: Json, text: str) -> None:
        self.document = document
        self.text = text


class Command:
    """A registered subcommand.

    :param path: words of the command, such as ``("catalogue", "show")``.
    :param summary: one line of help.
    :param run: function that executes the command.
    :param add_arguments: adds the command's own arguments to its parser;
        None if it has none.
    """

    __slots__ = ("path", "summary", "run", "add_arguments")

    def __init__(
        self,
        path: tuple[str, ...],
        summary: str,
        run: Run,
        add_arguments: AddArguments | None,
    ) -> None:
        self.path = path
        self.summary = summary
        self.run = run
        self.add_arguments = add_arguments


COMMANDS: list[Command] = []


def command(
    *path: str, arguments: AddArguments | None = None
) -> typing.Callable[[Run], Run]:
    """Register a function as a command.

    The first line of the function's docstring is the command's help text.

    :param path: words of the command.
    :param arguments: adds the command's own arguments to its parser.
    """

    def register(run: Run) -> Run:
        summary = (run.__doc__ or "").splitlines()[0]
        COMMANDS.append(Command(path, summary, run, arguments))
        return run

    return register


class Invocation:
    """One run of a command: its arguments and the services it connects to.

    :param options: the parsed command line.
    :raises SettingsInvalid: if the settings file is missing or invalid.
    """

    __slots__ = ("_options", "_settings")

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._settings = (
            settings.load(options.settings) if options.settings else None
        )

    @property
    def options(self) -> argparse.Namespace:
        """The parsed command line."""
        return self._options

    def store(self) -> catalogue_store.CatalogueStore:
        """Build a client of the catalogue in the configured object API.

        :raises UsageError: if neither an object API nor a settings file is
            given.
        """
        found = self.optional_store()
        if found is None:
            raise errors.UsageError("give --objects URL or --settings FILE")
        return found

    def optional_store(self) -> catalogue_store.CatalogueStore | None:
        """Like :meth:`store`, but None if no object API is configured."""
        url = self._options.objects
        if url is None and self._settings:
            url = self._settings.platform.objects
        if url is None:
            return None
        api = platform.ObjectApi(url, self._options.call_timeout)
        return catalogue_store.CatalogueStore(api, self._options.by)

    def fleet(self) -> fleet.Fleet:
        """Build a client of the configured entry VMs.

        :raises UsageError: if neither an entry VM nor a settings file is
            given.
        """
        addresses = list(self._options.entry or ())
        if not addresses and self._settings:
            addresses = [self._settings.callers]
        if not addresses:
            raise errors.UsageError(
                "give --entry HOST:PORT or --settings FILE"
            )
        return fleet.Fleet(addresses, self._operator_key())

    def _operator_key(self) -> str:
        """Read the operator key from its file; empty if no file is given.

        The key is passed in a file because other users of the machine can
        read the arguments of a process.

        :raises InvalidInput: if the file can't be read.
        """
        name = self._options.operator_key_file
        if name is None:
            return ""
        try:
            with open(name, encoding="utf-8") as file:
                return file.read().strip()
        except OSError as error:
            raise errors.InvalidInput(f"{name}: {error}") from error

    def load_document(self) -> Json:
        """Parse the JSON file named on the command line; ``-`` is stdin.

        :raises InvalidInput: if the file can't be read or is not JSON.
        """
        name = self._options.file
        try:
            return documents.loads(_read_file(name))
        except (OSError, root_errors.ApricotleverError) as error:
            raise errors.InvalidInput(f"{name}: {error}") from error


def _read_file(name: str) -> bytes:
    if name == STDIN_NAME:
        return sys.stdin.buffer.read()
    with open(name, "rb") as file:
        return file.read()
