"""Checks of values that came over a wire, before anything relies on them.

What is read from a store or a peer may be of any type: another program wrote
it, or it was spoiled on the way. A value that is taken on trust fails far from
where it came in, and takes what it meets there with it.
"""

import math
import typing

Check = typing.Callable[[typing.Any], bool]

#: No count, revision or time in milliseconds comes near it; larger whole
#: numbers are no longer exact as floats.
MOST_WHOLE = 2**53
MOST_PORT = 65535


class Misshapen(ValueError):
    """A value is missing, of another type or out of range.

    :param name: of the field.
    :param value: what stood there.
    """

    def __init__(self, name: str, value: typing.Any) -> None:
        # Anything may stand there, at any length; a log line may not.
        super().__init__(f"{name} is {type(value).__name__} {value!r:.40}")
        self.name = name


def is_text(value: typing.Any) -> bool:
    """A string that is not empty."""
    return isinstance(value, str) and bool(value)


def is_any_text(value: typing.Any) -> bool:
    """A string."""
    return isinstance(value, str)


def is_flag(value: typing.Any) -> bool:
    """True or false."""
    return isinstance(value, bool)


def is_whole(value: typing.Any) -> bool:
    """A whole number from 0 on."""
    return type(value) is int and 0 <= value <= MOST_WHOLE


def is_number(value: typing.Any) -> bool:
    """A finite number from 0 on."""
    if type(value) is float:
        return math.isfinite(value) and value >= 0.0
    return is_whole(value)


def is_finite(value: typing.Any) -> bool:
    """A finite number, negative ones included."""
    if type(value) is float:
        return math.isfinite(value)
    return type(value) is int and abs(value) <= MOST_WHOLE


def is_address(value: typing.Any) -> bool:
    """``host:port`` with a port that exists."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    # A digit of another script would pass ``isdigit``.
    if not host or not (port.isascii() and port.isdigit()) or len(port) > 5:
        return False
    return str(int(port)) == port and 0 < int(port) <= MOST_PORT


def is_map(of_key: Check, of_value: Check) -> Check:
    """A map whose keys and values pass checks."""

    def check(value: typing.Any) -> bool:
        return isinstance(value, dict) and all(
            of_key(key) and of_value(each) for key, each in value.items()
        )

    return check


def is_list(of_item: Check) -> Check:
    """A list, or a tuple, whose items pass a check."""

    def check(value: typing.Any) -> bool:
        return isinstance(value, (list, tuple)) and all(map(of_item, value))

    return check


def is_row(*of_items: Check) -> Check:
    """A list, or a tuple, of so many items that pass a check each."""

    def check(value: typing.Any) -> bool:
        return (
            isinstance(value, (list, tuple))
            and len(value) == len(of_items)
            and all(test(item) for test, item in zip(of_items, value))
        )

    return check


def is_none_or(of_value: Check) -> Check:
    """None, or a value that passes a check."""
    return lambda value: value is None or of_value(value)


def checked_record(
    checks: typing.Sequence[tuple[str, Check]], record: typing.Any
) -> list[typing.Any]:
    """A record whose fields pass their checks, in order.

    :param checks: names and checks of the fields.
    :raises Misshapen: when it is none.
    """
    if not isinstance(record, (list, tuple)) or len(record) != len(checks):
        raise Misshapen("a record", record)
    for (name, check), value in zip(checks, record):
        if not check(value):
            raise Misshapen(name, value)
    return list(record)
