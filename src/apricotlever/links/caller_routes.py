"""Finds the handler of a caller's HTTP request by its method and path."""

import re
import typing

from .. import refusals

from . import caller_server


class _Route:
    """A row of the routing table: path pattern, methods and handler."""

    __slots__ = ("pattern", "methods", "handler")

    def __init__(
        self,
        pattern: re.Pattern[str],
        methods: frozenset[str],
        handler: typing.Any,
    ) -> None:
        self.pattern = pattern
        self.methods = methods
        self.handler = handler


class Routes:
    """A routing table, filled by the decorator :meth:`register`."""

    __slots__ = ("_table",)

    def __init__(self) -> None:
        self._table: list[_Route] = []

    def register(
        self, pattern: str, *methods: str
    ) -> typing.Callable[[typing.Any], typing.Any]:
        """Register the decorated function as a handler.

        :param pattern: a regular expression for the whole path; its groups
            become the handler's arguments after the call.
        :param methods: the allowed HTTP methods; none allows any.
        """

        def register(handler: typing.Any) -> typing.Any:
            route = _Route(re.compile(pattern), frozenset(methods), handler)
            self._table.append(route)
            return handler

        return register

    def find(
        self, call: caller_server.Call
    ) -> tuple[typing.Any, tuple[str, ...]]:
        """Find the handler of a call and the arguments from its path.

        :param call: the call to route.
        :returns: the handler, and the groups of the pattern that matched.
        :raises Refusal: when no route matches the path, or none of those
            that match it allows the method.
        """
        matches = [
            (route, match.groups())
            for route in self._table
            if (match := route.pattern.fullmatch(call.path))
        ]
        if not matches:
            raise refusals.Refusal(refusals.NOT_FOUND, "no such path")
        for route, groups in matches:
            if not route.methods or call.method in route.methods:
                return route.handler, groups
        raise refusals.Refusal(
            refusals.METHOD_NOT_ALLOWED, f"{call.method} is not allowed here"
        )
