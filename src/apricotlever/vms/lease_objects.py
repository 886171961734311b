"""The lease object in the store, and the calls that read and write it."""

import typing

from .. import shapes

Value = dict[str, typing.Any]


class LeaseAction:
    """Any of the below; each is one store call.

    :param name: the object's name.
    """

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class ReadLease(LeaseAction):
    """Get the object; report by :meth:`Lease.read` or ``failed``."""

    __slots__ = ()


class WriteLease(LeaseAction):
    """Put the object.

    Report by :meth:`Lease.written`, ``conflict``, ``ambiguous`` or
    ``failed``.

    :param value: the JSON value.
    :param expected_version: None to create only.
    """

    __slots__ = ("value", "expected_version")

    def __init__(
        self,
        name: str,
        value: dict[str, typing.Any],
        expected_version: int | None,
    ) -> None:
        super().__init__(name)
        self.value = value
        self.expected_version = expected_version


class Doubt:
    """A write that may or may not have taken effect, or still may."""

    __slots__ = ("write", "sent_at")

    def __init__(self, write: WriteLease, sent_at: float) -> None:
        self.write = write
        self.sent_at = sent_at


class Seen:
    """The object as last seen, and since when it is known to be so."""

    __slots__ = ("version", "value", "since", "checked_at")

    def __init__(
        self, version: int | None, value: dict[str, typing.Any], now: float
    ) -> None:
        self.version = version
        self.value = value
        self.since = now
        self.checked_at = now


def free(fencing: int, duration_s: float) -> dict[str, typing.Any]:
    """The value of a lease that nobody holds."""
    return {
        "holder": "",
        "incarnation": 0,
        "fencing": fencing,
        "duration_s": duration_s,
    }


def is_lease(value: typing.Any) -> bool:
    """Whether a value has the form of a lease."""
    return (
        isinstance(value, dict)
        and shapes.is_any_text(value.get("holder"))
        and shapes.is_whole(value.get("incarnation"))
        and shapes.is_whole(value.get("fencing"))
        and shapes.is_number(value.get("duration_s"))
    )
