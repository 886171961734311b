"""Patterns that select calls of a plain service by method and path.

A catalogue entry lists with them the calls that are not idempotent, which
must run at most once.
"""

import posixpath
import urllib.parse

ANY_METHOD = "*"


class CallPattern:
    """A pattern for calls of a plain service.

    :param method: an HTTP method, or ``*`` for all methods.
    :param path_prefix: the prefix of the path; starts with a slash.
    """

    __slots__ = ("method", "path_prefix")

    def __init__(self, method: str, path_prefix: str) -> None:
        self.method = method
        self.path_prefix = path_prefix

    @classmethod
    def from_text(cls, text: str) -> "CallPattern":
        """Parse a pattern in the catalogue's form, ``METHOD /prefix``."""
        method, path_prefix = text.split(" ", 1)
        return cls(method, path_prefix)

    def __str__(self) -> str:
        return f"{self.method} {self.path_prefix}"

    def matches(self, method: str, path: str) -> bool:
        """Whether a request matches the pattern.

        :param method: the method of the request, in upper or lower case.
        :param path: the path of the request, with or without a query.
        """
        if self.method not in (ANY_METHOD, method.upper()):
            return False
        return _normalized_path(path).startswith(
            _normalized_path(self.path_prefix)
        )


def _normalized_path(path: str) -> str:
    """Normalize a path, so that equivalent paths compare equal.

    Upstreams treat ``/x/../entries``, ``//entries``, ``/%65ntries`` and
    often ``/Entries`` as ``/entries``. Without normalization, a
    non-idempotent call with such a path would count as idempotent and would
    be sent again after a failure, which could create a duplicate
    registration, for example.
    """
    bare = path.split("?", 1)[0].split("#", 1)[0]
    decoded = urllib.parse.unquote(bare).casefold()
    return posixpath.normpath("/" + decoded.lstrip("/"))
