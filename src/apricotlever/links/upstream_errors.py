"""What can go wrong between this VM and an upstream."""

from .. import errors


class UpstreamError(errors.ApricotleverError):
    """An exchange that did not end with a whole answer.

    :param message: what happened, for the log.
    :param sent: whether the upstream may have seen the request.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self._sent = sent

    @property
    def sent(self) -> bool:
        """Whether the upstream may have seen the request."""
        return self._sent


class ConnectFailed(UpstreamError):
    """No connection came about, so the upstream saw nothing."""


class Silent(UpstreamError):
    """The connection stands, and nothing came within the deadline."""


class Broken(UpstreamError):
    """The connection ended before the answer did."""


class Mismatched(UpstreamError):
    """The answer belongs to another request or attempt.

    A late answer on a connection that was used again would otherwise reach
    the wrong caller; the echoed request ID shows it.
    """


class TooLarge(UpstreamError):
    """The answer exceeds what one request may hold in memory."""


class Declined(UpstreamError):
    """The upstream answered with an error status.

    :param status: its HTTP status.
    :param body: the start of its body.
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(f"the upstream answered {status}", sent=True)
        self._status = status
        self._body = body

    @property
    def status(self) -> int:
        """The upstream's HTTP status."""
        return self._status

    @property
    def body(self) -> bytes:
        """The start of the upstream's body."""
        return self._body
