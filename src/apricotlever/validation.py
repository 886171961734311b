"""Validation of values that come from a store or over the network.

Such a value may have any type: another program may have written it, or it
may have been corrupted. If an invalid value is not rejected where it arrives,
unrelated code that uses it later fails.
"""

import math
import re
import typing

Predicate = typing.Callable[[typing.Any], bool]

#: Larger integers have no exact representation as floats. No count, revision
#: or time in milliseconds comes close to it.
MAX_SAFE_INTEGER = 2**53
MAX_PORT = 65535
#: Upper limit of a name in characters. Names stand in messages of one
#: datagram.
MAX_NAME_CHARS = 512
#: No control characters, halves of UTF-16 pairs, or separators of lines.
_TEXT = re.compile("[^\x00-\x1f\x7f-\x9f\ud800-\udfff\u2028\u2029]+")


class Misshapen(ValueError):
    """A value is missing, has the wrong type or is out of range.

    :param name: the name of the field.
    :param value: the value found there.
    """

    def __init__(self, name: str, value: typing.Any) -> None:
        # The value may be of any length, so it is cut to fit into a log line.
        super().__init__(f"{name} is {type(value).__name__} {value!r:.40}")
        self.name = name


def is_non_empty_string(value: typing.Any) -> bool:
    """Whether a value is a string that is not empty."""
    return isinstance(value, str) and bool(value)


def is_string(value: typing.Any) -> bool:
    """Whether a value is a string, possibly empty."""
    return isinstance(value, str)


def is_text(value: typing.Any) -> bool:
    """Whether a value is text that may stand in a head, a log or a metric.

    It is not empty, can be encoded, and holds no control characters such as
    line ends.
    """
    return isinstance(value, str) and _TEXT.fullmatch(value) is not None


def is_name(value: typing.Any) -> bool:
    """Whether a value is text of at most :data:`MAX_NAME_CHARS`."""
    return is_text(value) and len(value) <= MAX_NAME_CHARS


def is_bool(value: typing.Any) -> bool:
    """Whether a value is a Boolean."""
    return isinstance(value, bool)


def is_non_negative_int(value: typing.Any) -> bool:
    """Whether a value is an integer from 0 to ``MAX_SAFE_INTEGER``."""
    return type(value) is int and 0 <= value <= MAX_SAFE_INTEGER


def is_int(value: typing.Any) -> bool:
    """Whether a value is an integer up to ``MAX_SAFE_INTEGER`` either way."""
    return type(value) is int and abs(value) <= MAX_SAFE_INTEGER


def is_hash(value: typing.Any) -> bool:
    """Whether a value is a hash of up to 64 bits."""
    return type(value) is int and 0 <= value < 2**64


def is_non_negative_number(value: typing.Any) -> bool:
    """Whether a value is a finite number from 0 upwards."""
    if type(value) is float:
        return math.isfinite(value) and value >= 0.0
    return is_non_negative_int(value)


def is_finite_number(value: typing.Any) -> bool:
    """Whether a value is a finite number, possibly negative."""
    if type(value) is float:
        return math.isfinite(value)
    return type(value) is int and abs(value) <= MAX_SAFE_INTEGER


def is_address(value: typing.Any) -> bool:
    """Whether a value is ``host:port`` with a port from 1 to 65535."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    # str.isdigit() also accepts the digits of other scripts.
    if not host or not (port.isascii() and port.isdigit()) or len(port) > 5:
        return False
    return str(int(port)) == port and 0 < int(port) <= MAX_PORT


def is_map_of(of_key: Predicate, of_value: Predicate) -> Predicate:
    """A check for a dictionary whose keys and values pass the checks."""

    def check(value: typing.Any) -> bool:
        return isinstance(value, dict) and all(
            of_key(key) and of_value(each) for key, each in value.items()
        )

    return check


def is_list_of(of_item: Predicate) -> Predicate:
    """A check for a list or tuple whose items all pass a check."""

    def check(value: typing.Any) -> bool:
        return isinstance(value, (list, tuple)) and all(map(of_item, value))

    return check


def is_tuple_of(*of_items: Predicate) -> Predicate:
    """A check for a list or tuple of fixed length, with a check per item."""

    def check(value: typing.Any) -> bool:
        return (
            isinstance(value, (list, tuple))
            and len(value) == len(of_items)
            and all(test(item) for test, item in zip(of_items, value))
        )

    return check


def is_none_or(of_value: Predicate) -> Predicate:
    """A check for None or a value that passes a check."""
    return lambda value: value is None or of_value(value)


def validate_record(
    checks: typing.Sequence[tuple[str, Predicate]],
    record: typing.Any,
    optional: int = 0,
) -> list[typing.Any]:
    """Validate a record, which is a list with one value for each field.

    :param checks: the name and the check of each field, in order.
    :param record: a list or tuple with one value for each field.
    :param optional: how many of the last fields may be missing.
    :returns: the values of the fields as a list, without missing ones.
    :raises Misshapen: if the record has another type or length, or a field
        does not pass its check.
    """
    if not isinstance(record, (list, tuple)):
        raise Misshapen("a record", record)
    if not len(checks) - optional <= len(record) <= len(checks):
        raise Misshapen("a record", record)
    for (name, check), value in zip(checks, record):
        if not check(value):
            raise Misshapen(name, value)
    return list(record)


def drop_empty_tail(record: list[typing.Any], optional: int) -> None:
    """Remove the empty ones of the last fields of a record, from its end.

    :param optional: how many of the last fields may be removed.
    """
    for _ in range(optional):
        if record[-1]:
            return
        del record[-1]
