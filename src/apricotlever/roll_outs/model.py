"""Roll-out orders, their state, and the roles of runners in a roll-out.

A roll-out moves a service to a new version while both versions take calls.
"""

import enum
import typing

from .. import validation


class RollOutState(enum.IntEnum):
    """State of a roll-out; merging two states keeps the higher value."""

    #: A share of the calls goes to the new version.
    RUNNING = 0
    #: The new version is bad; the result is not in the store yet.
    FAILED = 1
    #: All calls go to the new version; the old runners have stopped.
    COMPLETED = 2
    #: No calls go to the new version.
    ROLLED_BACK = 3
    #: The operators deleted the order.
    WITHDRAWN = 4

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended and needs no write to the store."""
        return self >= RollOutState.COMPLETED


class RollOutLimits:
    """Limits on the exposure of a service to a bad version.

    :param exposure_share: share of the service's calls that a bad version may
        receive.
    :param exposure_slack: number of calls that a bad version may receive in
        addition to this share.
    :param rollback_s: time limit for the rollback after the 50th bad answer of
        a version, in seconds.
    """

    __slots__ = ("exposure_share", "exposure_slack", "rollback_s")

    def __init__(
        self,
        exposure_share: float = 0.1,
        exposure_slack: float = 50.0,
        rollback_s: float = 5.0,
    ) -> None:
        self.exposure_share = exposure_share
        self.exposure_slack = exposure_slack
        self.rollback_s = rollback_s


class RollOutOrder:
    """An order to move a service to another version.

    :param service: the name of the service.
    :param version: the version to move to.

    :param revision: the latest known revision of the order in the store.
    :param started_at: time at which the first VM received the order, in
        seconds since 1970.
    :param duration_s: time limit in seconds, counted from the start.
    """

    __slots__ = (
        "service",
        "version",
        "revision",
        "started_at",
        "duration_s",
        "state",
    )

    def __init__(
        self,
        service: str,
        version: str,
        revision: int,
        started_at: float,
        duration_s: float,
        state: RollOutState = RollOutState.RUNNING,
    ) -> None:
        self.service = service
        self.version = version
        self.revision = revision
        self.started_at = started_at
        self.duration_s = duration_s
        self.state = state

    def merge(self, other: "RollOutOrder") -> "RollOutOrder":
        """Merge with another order for the same service.

        Of orders for different versions, the one with the higher revision is
        kept. The result of several merges does not depend on their sequence,
        so that all VMs reach the same order.
        """
        if other.version != self.version:
            return other if other.revision > self.revision else self
        only_one_is_final = self.state.is_final != other.state.is_final
        if only_one_is_final and self.revision != other.revision:
            # The lower revision belongs to an earlier order for this version.
            return other if other.revision > self.revision else self
        return RollOutOrder(
            self.service,
            self.version,
            max(self.revision, other.revision),
            min(self.started_at, other.started_at),
            (self if self.revision >= other.revision else other).duration_s,
            max(self.state, other.state),
        )

    def with_state(self, state: RollOutState) -> "RollOutOrder":
        """A copy of the order in another state."""
        return RollOutOrder(
            self.service,
            self.version,
            self.revision,
            self.started_at,
            self.duration_s,
            state,
        )

    def equals(self, other: "RollOutOrder") -> bool:
        """Whether all fields are equal."""
        return self.to_record() == other.to_record()

    def to_record(self) -> list[typing.Any]:
        """Serialize the order as a list of JSON values for other entry VMs."""
        fields = [getattr(self, name) for name in self.__slots__]
        return [*fields[:-1], int(self.state)]

    @classmethod
    def from_record(cls, record: typing.Any) -> "RollOutOrder":
        """Deserialize an order from a record of :meth:`to_record`.

        :raises validation.Misshapen: if the record is malformed.
        """
        fields = validation.validate_record(_FIELDS, record)
        fields[-1] = RollOutState(fields[-1])
        return cls(*fields)


def _is_state(value: typing.Any) -> bool:
    return (
        validation.is_non_negative_int(value)
        and value in RollOutState._value2member_map_
    )


_FIELDS: tuple[tuple[str, validation.Predicate], ...] = (
    ("service", validation.is_non_empty_string),
    ("version", validation.is_non_empty_string),
    ("revision", validation.is_non_negative_int),
    ("started_at", validation.is_non_negative_number),
    ("duration_s", validation.is_non_negative_number),
    ("state", _is_state),
)


def is_order_record(value: typing.Any) -> bool:
    """Whether a value is a valid record of :meth:`RollOutOrder.to_record`."""
    try:
        RollOutOrder.from_record(value)
    except validation.Misshapen:
        return False
    return True


class RunnerRole(enum.Enum):
    """The role of a runner in the roll-out of its service."""

    #: Takes regular calls.
    SERVING = "serving"
    #: Runs the new version and takes its share of the calls.
    CANARY = "canary"
    #: Runs the new version and takes no calls before the takeover.
    STANDBY = "standby"
    #: Takes no calls: its version failed, was withdrawn or was replaced.
    EXCLUDED = "excluded"
