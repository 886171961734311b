"""The table from a call's method and path to its handler."""

import re
import typing

from .. import refusals

from . import callers


class _Route:
    """One row of the table of routes."""

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
    """A table from method and path to handler, filled by a decorator."""

    __slots__ = ("_table",)

    def __init__(self) -> None:
        self._table: list[_Route] = []

    def on(
        self, pattern: str, *methods: str
    ) -> typing.Callable[[typing.Any], typing.Any]:
        """Register a handler.

        :param pattern: a regular expression for the whole path; its groups
            become the handler's arguments after the call.
        :param methods: methods taken; none means any.
        """

        def register(handler: typing.Any) -> typing.Any:
            route = _Route(re.compile(pattern), frozenset(methods), handler)
            self._table.append(route)
            return handler

        return register

    def find(self, call: callers.Call) -> tuple[typing.Any, tuple[str, ...]]:
        """The handler of a call and the arguments from its path.

        :param call: what came in.
        :raises Refusal: when no path matches, or not with this method.
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
            refusals.METHOD, f"{call.method} is not taken here"
        )
