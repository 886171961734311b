"""Errors of calls to the platform's services.

They tell whether a call may have taken effect, which decides whether it may
be repeated.
"""

import typing

from returns import result

from .. import errors

T = typing.TypeVar("T")


class PlatformError(errors.ApricotleverError):
    """Base class of the errors of calls to the platform.

    ``kind`` is the error's short name in logs and metrics.
    """

    kind = "failed"


Outcome = result.Result[T, PlatformError]


class Unavailable(PlatformError):
    """The service could not be reached, is down, or did not answer a read.

    The call had no effect.
    """

    kind = "unavailable"


class Ambiguous(PlatformError):
    """A write may have been sent, and no valid answer arrived.

    The write may have taken effect, or may still do so.
    """

    kind = "ambiguous"


class Conflict(PlatformError):
    """A conditional write was refused because the version differs.

    :param name: the object or the call, for the message.
    :param current_version: the object's version in the store; 0 if the
        object does not exist.
    """

    kind = "conflict"

    def __init__(self, name: str, current_version: int) -> None:
        super().__init__(f"{name} is at version {current_version}")
        self._current_version = current_version

    @property
    def current_version(self) -> int:
        """The object's version in the store; 0 if it does not exist."""
        return self._current_version


class NotFound(PlatformError):
    """The requested object, VM or model does not exist."""

    kind = "not_found"


class Throttled(PlatformError):
    """The call exceeded the platform's rate limit and had no effect.

    :param message: the call and its failure.
    :param retry_after_s: seconds to wait before the call is repeated.
    """

    kind = "throttled"

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self._retry_after_s = retry_after_s

    @property
    def retry_after_s(self) -> float:
        """Seconds to wait before the call is repeated."""
        return self._retry_after_s


class ValueTooLarge(PlatformError):
    """The value exceeds the platform's size limit; the call had no effect."""

    kind = "too_large"


class Compacted(PlatformError):
    """The store has dropped the changes after the revision to watch from.

    The objects have to be listed before they are watched again.
    """

    kind = "compacted"


class NoCapacity(PlatformError):
    """The cloud API refused to start a VM."""

    kind = "no_capacity"


class BadAnswer(PlatformError):
    """The platform's answer does not follow its interface."""

    kind = "bad_answer"
