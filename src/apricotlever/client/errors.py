"""Errors that commands report, each with its exit code."""

from .. import errors
from ..catalogue import difference
from . import exit_codes


class CommandError(errors.ApricotleverError):
    """A command failed for a reason without an exit code of its own."""

    exit_code = exit_codes.FAILURE


class UsageError(CommandError):
    """An argument that the command needs is missing."""

    exit_code = exit_codes.USAGE


class InvalidInput(CommandError):
    """An argument, a file or the catalogue in a file is invalid."""

    exit_code = exit_codes.INVALID_INPUT


class EditConflict(CommandError):
    """A concurrent edit of the catalogue came first; this one changed nothing.

    :param version: the catalogue version in force.
    :param changes: differences from the version in force to the rejected
        document.
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
        """The catalogue version in force."""
        return self._version

    @property
    def changes(self) -> tuple[difference.Change, ...]:
        """Differences from the version in force to the rejected document."""
        return self._changes


class Unreachable(CommandError):
    """The platform or an entry VM can't be reached."""

    exit_code = exit_codes.UNAVAILABLE


class VersionNotInForce(CommandError):
    """A catalogue version was not in force everywhere before the timeout.

    Every entry VM has to apply it, or a later one.
    """

    exit_code = exit_codes.NOT_IN_FORCE


class OutcomeUnknown(CommandError):
    """An edit of the catalogue may or may not have taken effect.

    The store did not tell whether the write succeeded.
    """

    exit_code = exit_codes.OUTCOME_UNKNOWN
