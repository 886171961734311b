"""The lease object in the store, and the store calls that access it.

A lease object names the VM that may perform a duty; see :mod:`.leases`.
"""

import typing

from .. import validation

Value = dict[str, typing.Any]


class LeaseAction:
    """Base class of the store calls that :class:`~.leases.Lease` requests.

    :param name: the lease object's name.
    """

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class ReadLease(LeaseAction):
    """Read the lease object.

    Report the result by :meth:`~.leases.Lease.read` or ``failed``.
    """

    __slots__ = ()


class WriteLease(LeaseAction):
    """Write the lease object, conditional on its version.

    Report the result by :meth:`~.leases.Lease.written`, ``conflict``,
    ``ambiguous`` or ``failed``.

    :param value: the JSON value to write.
    :param expected_version: the version to replace; None to create the
        object only if it does not exist.
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


class UnconfirmedWrite:
    """A write of the lease object to which the store gave no answer.

    It may have taken effect, or still may.

    :param sent_at: when the write was sent, on the local monotonic clock.
    """

    __slots__ = ("write", "sent_at")

    def __init__(self, write: WriteLease, sent_at: float) -> None:
        self.write = write
        self.sent_at = sent_at


class ObservedLease:
    """The lease object as this VM last observed it.

    :param version: None when the object does not exist.
    :param value: the object's JSON value, with the holder of the lease.
    :param now: the time of the observation: ``since`` when this version was
        first observed, ``checked_at`` when it was last confirmed.
    """

    __slots__ = ("version", "value", "since", "checked_at")

    def __init__(
        self, version: int | None, value: dict[str, typing.Any], now: float
    ) -> None:
        self.version = version
        self.value = value
        self.since = now
        self.checked_at = now


def unheld_value(fencing: int, duration_s: float) -> dict[str, typing.Any]:
    """The value of a lease without a holder."""
    return {
        "holder": "",
        "incarnation": 0,
        "fencing": fencing,
        "duration_s": duration_s,
    }


def is_lease_value(value: typing.Any) -> bool:
    """Whether a JSON value has the fields and types of a lease."""
    return (
        isinstance(value, dict)
        and validation.is_string(value.get("holder"))
        and validation.is_non_negative_int(value.get("incarnation"))
        and validation.is_non_negative_int(value.get("fencing"))
        and validation.is_non_negative_number(value.get("duration_s"))
    )
