"""Registry of the commands and what each is given."""

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
    """What a command has to say.

    :param document: for ``--json``.
    :param text: for people.
    """

    __slots__ = ("document", "text")

    def __init__(self, document: Json, text: str) -> None:
        self.document = document
        self.text = text


class Command:
    """A command of the command line.

    :param path: its words, such as ``("catalogue", "show")``.
    :param summary: one line of help.
    :param run: does the work.
    :param add_arguments: adds its own arguments.
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
    """Register a function as a command; its docstring is the help.

    :param path: the command's words.
    :param arguments: adds the command's own arguments to its parser.
    """

    def register(run: Run) -> Run:
        summary = (run.__doc__ or "").splitlines()[0]
        COMMANDS.append(Command(path, summary, run, arguments))
        return run

    return register


class Invocation:
    """One run of a command: its arguments and where to connect.

    :param options: the parsed command line.
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
        """The catalogue in the object API that the command line names."""
        found = self.known_store()
        if found is None:
            raise errors.WrongUsage("give --objects URL or --settings FILE")
        return found

    def known_store(self) -> catalogue_store.CatalogueStore | None:
        """As :meth:`store`; None when the command line names none."""
        url = self._options.objects
        if url is None and self._settings:
            url = self._settings.platform.objects
        if url is None:
            return None
        api = platform.ObjectApi(url, self._options.call_timeout)
        return catalogue_store.CatalogueStore(api, self._options.by)

    def fleet(self) -> fleet.Fleet:
        """The entry VMs that the command line names."""
        addresses = list(self._options.entry or ())
        if not addresses and self._settings:
            addresses = [self._settings.callers]
        if not addresses:
            raise errors.WrongUsage(
                "give --entry HOST:PORT or --settings FILE"
            )
        return fleet.Fleet(addresses, self._operator_key())

    def _operator_key(self) -> str:
        """The key in the file that the command line names, or none.

        A file, for others can read a process's arguments.
        """
        name = self._options.operator_key_file
        if name is None:
            return ""
        try:
            with open(name, encoding="utf-8") as file:
                return file.read().strip()
        except OSError as error:
            raise errors.InvalidInput(f"{name}: {error}") from error

    def document(self) -> Json:
        """The JSON file that the command line names; ``-`` is stdin."""
        name = self._options.file
        try:
            return documents.loads(_content(name))
        except (OSError, root_errors.ApricotleverError) as error:
            raise errors.InvalidInput(f"{name}: {error}") from error


def _content(name: str) -> bytes:
    if name == STDIN_NAME:
        return sys.stdin.buffer.read()
    with open(name, "rb") as file:
        return file.read()
