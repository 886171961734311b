"""Errors that a command shows, each with its exit code."""

from .. import errors
from ..catalogue import difference
from . import exit_codes


class CommandFailed(errors.ApricotleverError):
    """Something went wrong that has no exit code of its own."""

    exit_code = exit_codes.FAILURE


class WrongUsage(CommandFailed):
    """The command line lacks something that the command needs."""

    exit_code = exit_codes.USAGE


class InvalidInput(CommandFailed):
    """A file or the catalogue in it is invalid."""

    exit_code = exit_codes.INVALID_INPUT


class EditLost(CommandFailed):
    """Another edit came first.

    :param version: the version in force.
    :param changes: from what is in force to the refused document.
    """

    exit_code = exit_codes.CONFLICT

    def __init__(
        self,
        message: str,
        version: int,
        changes: tuple[difference.Change, ...],
    ) -> None:
        super().__init__(message)
        self._version = version
        self._changes = changes

    @property
    def version(self) -> int:
        """The version in force."""
        return self._version

    @property
    def changes(self) -> tuple[difference.Change, ...]:
        """What the refused document would have changed in it."""
        return self._changes


class Unreachable(CommandFailed):
    """The platform or an entry VM can't be reached."""

    exit_code = exit_codes.UNAVAILABLE


class NotInForce(CommandFailed):
    """A version was not in force at every entry VM in time."""

    exit_code = exit_codes.NOT_IN_FORCE


class OutcomeUnknown(CommandFailed):
    """An edit may have taken effect."""

    exit_code = exit_codes.OUTCOME_UNKNOWN
