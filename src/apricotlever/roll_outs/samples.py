"""Counts of calls at the old and the new version of a service in a roll-out.

A sample holds the calls, failures and response times of one route, at one
runner of the new version or at all runners of the old one.

All values are monotonic sums, so the values of many VMs can be added in any
order and grouping.
"""

import math
import typing

from .. import validation

#: Runner ID that stands for all runners of the old version.
OLD_VERSION = ""
#: Lower bound of recorded times, in seconds; keeps the logarithm finite.
MIN_TIME_S = 0.001


class SampleKey(typing.NamedTuple):
    """Identifies a sample among those of all roll-outs.

    :param service: the service of the roll-out.
    :param version: target version of the roll-out.
    :param runner: ID of a runner of that version; :data:`OLD_VERSION` for all
        runners of the old version.
    :param route: the route of the calls.
    """

    service: str
    version: str
    runner: str
    route: str

    @property
    def text(self) -> str:
        """The key as text, for exchange between entry VMs."""
        return "\n".join(self)

    @classmethod
    def from_text(cls, text: str) -> "SampleKey":
        """Parse a key from :attr:`text`.

        :raises ValueError: if the text is malformed.
        """
        service, version, runner, route = text.split("\n")
        return cls(service, version, runner, route)


class TimeSums:
    """Sums of the logarithms of response times, for mean and variance.

    :param count: number of times.
    :param total: sum of their logarithms.
    :param squares: sum of the squares of their logarithms.
    """

    __slots__ = ("count", "total", "squares")

    def __init__(
        self, count: int = 0, total: float = 0.0, squares: float = 0.0
    ) -> None:
        self.count = count
        self.total = total
        self.squares = squares

    def add(self, duration_s: float) -> None:
        """Add a response time in seconds."""
        logarithm = math.log(max(MIN_TIME_S, duration_s))
        self.count += 1
        self.total += logarithm
        self.squares += logarithm * logarithm

    def plus(self, other: "TimeSums") -> "TimeSums":
        """The sums over the times of both objects."""
        return TimeSums(
            self.count + other.count,
            self.total + other.total,
            self.squares + other.squares,
        )

    def since(self, before: "TimeSums") -> "TimeSums":
        """The difference from earlier sums; empty if the count decreased."""
        if before.count > self.count:
            return TimeSums()
        return TimeSums(
            self.count - before.count,
            self.total - before.total,
            max(0.0, self.squares - before.squares),
        )

    @property
    def mean(self) -> float:
        """Mean of the logarithms; 0 if there are none."""
        return self.total / self.count if self.count else 0.0

    @property
    def variance(self) -> float:
        """Variance of the logarithms; 0 for fewer than two."""
        if self.count < 2:
            return 0.0
        spread = self.squares - self.count * self.mean**2
        return max(0.0, spread / (self.count - 1))


class Sample:
    """The calls of one route at one version of a service, or at one runner.

    :param calls: calls sent.
    :param ended: calls that were answered or failed.
    :param failed: calls that failed.
    :param first_byte: times to the first byte, relative to the expected time.
    :param last_byte: times to the last byte, in seconds.
    """

    __slots__ = ("calls", "ended", "failed", "first_byte", "last_byte")

    def __init__(
        self,
        calls: int = 0,
        ended: int = 0,
        failed: int = 0,
        first_byte: TimeSums | None = None,
        last_byte: TimeSums | None = None,
    ) -> None:
        self.calls = calls
        self.ended = ended
        self.failed = failed
        self.first_byte = first_byte or TimeSums()
        self.last_byte = last_byte or TimeSums()

    def plus(self, other: "Sample") -> "Sample":
        """The sample with the calls of both objects."""
        return Sample(
            self.calls + other.calls,
            self.ended + other.ended,
            self.failed + other.failed,
            self.first_byte.plus(other.first_byte),
            self.last_byte.plus(other.last_byte),
        )

    def since(self, before: "Sample") -> "Sample":
        """The difference from an earlier sample of the same key.

        The result is empty if the counts have decreased, because the counts
        of a VM were lost.
        """
        if before.calls > self.calls or before.ended > self.ended:
            return Sample()
        ended = self.ended - before.ended
        return Sample(
            self.calls - before.calls,
            ended,
            # The counts of one VM may be lost while those of others grow.
            min(ended, max(0, self.failed - before.failed)),
            self.first_byte.since(before.first_byte),
            self.last_byte.since(before.last_byte),
        )

    def to_record(self) -> list[float]:
        """Serialize the sample as a list of numbers for other entry VMs."""
        return [
            self.calls,
            self.ended,
            self.failed,
            *(
                value
                for times in (self.first_byte, self.last_byte)
                for value in (
                    times.count,
                    round(times.total, 3),
                    round(times.squares, 3),
                )
            ),
        ]

    @classmethod
    def from_record(cls, record: typing.Sequence[typing.Any]) -> "Sample":
        """Deserialize a validated record of :meth:`to_record`."""
        calls, ended, failed, *times = record
        return cls(
            calls, ended, failed, TimeSums(*times[:3]), TimeSums(*times[3:])
        )


Record = list[float]
Records = dict[str, Record]
is_records = validation.is_map_of(
    validation.is_non_empty_string,
    validation.is_tuple_of(
        *[validation.is_non_negative_int] * 4,
        *[validation.is_finite_number] * 2,
        validation.is_non_negative_int,
        *[validation.is_finite_number] * 2,
    ),
)


def sum_records(
    parts: typing.Iterable[typing.Mapping[str, Record]],
) -> Records:
    """Add up the serialized samples of several VMs by key.

    :param parts: for each VM, records of :meth:`Sample.to_record` by the
        text of their :class:`SampleKey`.
    """
    sums: Records = {}
    for part in parts:
        for key, record in part.items():
            known = sums.get(key)
            sums[key] = (
                list(record)
                if known is None
                else [a + b for a, b in zip(known, record, strict=True)]
            )
    return sums


def sum_samples(samples: typing.Iterable[Sample]) -> Sample:
    """Add up samples; without any, the sum is an empty sample."""
    total = Sample()
    for sample in samples:
        total = total.plus(sample)
    return total
