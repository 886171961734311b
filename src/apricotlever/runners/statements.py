"""What a runner says of itself in the head of a response.

A dialect finds the values in the head, and this module reads them, so that a
value means the same whichever dialect, path or kind of response it came with.
"""

import enum
import math
import typing

#: Longest part of an unreadable value that is logged, in characters.
MAX_LOGGED_CHARS = 60
#: Greatest number of rejections a second that a runner is taken to bear; more
#: are sent by no fleet.
MAX_REJECTIONS_PER_S = 100_000


class Field(enum.Enum):
    """A statement that a runner may make of itself."""

    LIMIT = "limit"
    REST = "rest"
    LEAVING = "leaving"
    FRAGILE = "fragile"


class Statement:
    """What one response says of its runner.

    :param limit_per_s: the calls a second that the runner takes from all VMs
        together; None if the response names no readable limit.
    :param rest_s: the seconds for which the runner wants no calls of this VM;
        None if the response asks for no readable rest.
    :param leaves: whether the runner says that it leaves.
    :param unreadable: values that could not be read, or that contradict each
        other, by field. A limit that is unreadable is neither named nor
        lifted, and the same holds for fragility.
    :param rejections_per_s: the rejections in a second that the runner, which
        is fragile, bears from all VMs together; None if the response says
        nothing readable of that.
    """

    __slots__ = (
        "limit_per_s",
        "rest_s",
        "leaves",
        "unreadable",
        "rejections_per_s",
    )

    def __init__(
        self,
        limit_per_s: float | None = None,
        rest_s: float | None = None,
        leaves: bool = False,
        unreadable: typing.Mapping[Field, str] | None = None,
        rejections_per_s: int | None = None,
    ) -> None:
        self.limit_per_s = limit_per_s
        self.rest_s = rest_s
        self.leaves = leaves
        self.unreadable = unreadable or {}
        self.rejections_per_s = rejections_per_s

    @property
    def names_no_limit(self) -> bool:
        """Whether the runner says that it has no limit."""
        return self.limit_per_s is None and Field.LIMIT not in self.unreadable

    @property
    def is_sound(self) -> bool:
        """Whether the runner says that it is not fragile."""
        return (
            self.rejections_per_s is None
            and Field.FRAGILE not in self.unreadable
        )


#: The statement of a response that says nothing of its runner.
NOTHING = Statement()


def read_statement(
    limits: typing.Sequence[bytes] = (),
    rests: typing.Sequence[bytes] = (),
    leavings: typing.Sequence[bytes] = (),
    fragilities: typing.Sequence[bytes] = (),
) -> Statement:
    """Read what the head of a response says of its runner.

    Of several different values in one head, the least limit, the longest rest,
    a leaving and the least number of rejections count, as the runner takes no
    harm from them.

    :param limits: the values of the header that names the limit, one for each
        time that the head has it.
    :param rests: the same for the seconds of rest, of a response that turns a
        call away.
    :param leavings: the same for whether the runner leaves: 1 or 0.
    :param fragilities: the same for the rejections that the runner bears in a
        second. A fraction is rounded down, and more than
        :data:`MAX_REJECTIONS_PER_S` count as that many.
    """
    if not (limits or rests or leavings or fragilities):
        return NOTHING
    unreadable = {
        field: _join(values)
        for field, values in (
            (Field.LIMIT, limits),
            (Field.REST, rests),
            (Field.FRAGILE, fragilities),
        )
        if values and not _is_clear(values)
    }
    if leavings and (
        not _is_clear(leavings) or _readable(leavings)[0] not in (0.0, 1.0)
    ):
        unreadable[Field.LEAVING] = _join(leavings)
    return Statement(
        min(_readable(limits), default=None),
        max(_readable(rests), default=None),
        1.0 in _readable(leavings),
        unreadable,
        _count_rejections(fragilities),
    )


def _count_rejections(values: typing.Sequence[bytes]) -> int | None:
    least = min(_readable(values), default=None)
    return None if least is None else int(min(least, MAX_REJECTIONS_PER_S))


def _readable(values: typing.Sequence[bytes]) -> list[float]:
    numbers = map(_parse_number, values)
    return [number for number in numbers if number is not None]


def _is_clear(values: typing.Sequence[bytes]) -> bool:
    """Whether all values can be read, and are the same number."""
    readable = _readable(values)
    return len(readable) == len(values) and len(set(readable)) == 1


def _parse_number(value: bytes) -> float | None:
    """Parse a finite number of at least 0; None for anything else."""
    try:
        number = float(value.decode("ascii"))
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None


def _join(values: typing.Sequence[bytes]) -> str:
    return ", ".join(value.decode("latin-1") for value in values)
