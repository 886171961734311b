"""Calls of a plain service, told apart by method and path."""

import posixpath
import urllib.parse

ANY_METHOD = "*"


class Call:
    """Calls of a plain service, by method and prefix of the path.

    :param method: an HTTP method, or ``*`` for all.
    :param path_prefix: starts with a slash.
    """

    __slots__ = ("method", "path_prefix")

    def __init__(self, method: str, path_prefix: str) -> None:
        self.method = method
        self.path_prefix = path_prefix

    @classmethod
    def from_text(cls, text: str) -> "Call":
        """Read ``METHOD /prefix``."""
        method, path_prefix = text.split(" ", 1)
        return cls(method, path_prefix)

    def __str__(self) -> str:
        return f"{self.method} {self.path_prefix}"

    def matches(self, method: str, path: str) -> bool:
        """Whether a request is one of these calls.

        :param method: the request's method, in any case.
        :param path: the request's path, with or without a query.
        """
        if self.method not in (ANY_METHOD, method.upper()):
            return False
        return _plain_path(path).startswith(_plain_path(self.path_prefix))


def _plain_path(path: str) -> str:
    """A path in one spelling.

    Upstreams treat ``/x/../entries``, ``//entries``, ``/%65ntries`` and
    often ``/Entries`` as ``/entries``. A call spelled that way would be
    taken for an idempotent one and sent twice after a failure, which shows
    as a doubled registration.
    """
    bare = path.split("?", 1)[0].split("#", 1)[0]
    decoded = urllib.parse.unquote(bare).casefold()
    return posixpath.normpath("/" + decoded.lstrip("/"))
