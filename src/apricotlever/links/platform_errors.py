"""What may go wrong with a call to the platform."""

import typing

from returns import result

from .. import errors

T = typing.TypeVar("T")


class PlatformError(errors.ApricotleverError):
    """The root of the errors of calls to the platform.

    ``kind`` is a short name for logs and metrics.
    """

    kind = "failed"


Outcome = result.Result[T, PlatformError]


class Unavailable(PlatformError):
    """The call had no effect: not reached, turned away, or only a read."""

    kind = "unavailable"


class Ambiguous(PlatformError):
    """The request may have gone out and no answer came.

    A write may have taken effect, or may still do so.
    """

    kind = "ambiguous"


class Conflict(PlatformError):
    """A conditional write was refused since the version differs.

    :param current_version: the version in the store; 0 if there is none.
    """

    kind = "conflict"

    def __init__(self, name: str, current_version: int) -> None:
        super().__init__(f"{name} is at version {current_version}")
        self._current_version = current_version

    @property
    def current_version(self) -> int:
        """The version in the store; 0 if there is none."""
        return self._current_version


class NotFound(PlatformError):
    """There is no such thing."""

    kind = "not_found"


class Throttled(PlatformError):
    """Over the call rate; the call had no effect.

    :param retry_after_s: when the platform wants to be asked again.
    """

    kind = "throttled"

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self._retry_after_s = retry_after_s

    @property
    def retry_after_s(self) -> float:
        """Seconds until the platform wants to be asked again."""
        return self._retry_after_s


class TooLarge(PlatformError):
    """The value is over the platform's limit; the call had no effect."""

    kind = "too_large"


class Compacted(PlatformError):
    """The revision to watch from is gone: list, then watch again."""

    kind = "compacted"


class NoCapacity(PlatformError):
    """The cloud API refused to start a VM."""

    kind = "no_capacity"


class BadAnswer(PlatformError):
    """The platform's answer is not what its interface promises."""

    kind = "bad_answer"
