"""Latency histograms for each measure, customer and service class.

Values are held in microseconds, to two significant digits, from 1 us to
1 h. Histograms of several VMs merge without loss, which averages and
percentiles don't.
"""

import collections.abc
import threading
import typing

from hdrh import histogram

from . import errors

FIRST_TOKEN = "first_token"
BETWEEN_TOKENS = "between_tokens"
WHOLE = "whole"
MEASURES = (FIRST_TOKEN, BETWEEN_TOKENS, WHOLE)

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
#: Two significant decimal digits need seven bits; one more for rounding.
KEPT_BITS = 8
HISTOGRAMS_MAX = 1000
OTHER = "other"

_US_PER_S = 1_000_000

Key = tuple[str, str, str]
Encoded = dict[str, typing.Any]


class HistogramInvalid(errors.ApricotleverError):
    """What another VM sent is not a histogram."""


class Distribution:
    """How the values of one key are distributed.

    :param measure: one of ``MEASURES``.
    :param customer: a customer's name, or ``OTHER``.
    :param service_class: a class's name, or ``OTHER``.
    """

    __slots__ = ("_measure", "_customer", "_class", "_lock", "_histogram")

    def __init__(
        self, measure: str, customer: str, service_class: str
    ) -> None:
        self._measure = measure
        self._customer = customer
        self._class = service_class
        self._lock = threading.Lock()
        self._histogram = _new_histogram()

    @property
    def measure(self) -> str:
        """One of ``MEASURES``."""
        return self._measure

    @property
    def customer(self) -> str:
        """A customer's name, or ``OTHER``."""
        return self._customer

    @property
    def service_class(self) -> str:
        """A class's name, or ``OTHER``."""
        return self._class

    @property
    def count(self) -> int:
        """How many values were recorded."""
        return int(self._histogram.get_total_count())

    @property
    def encoded(self) -> Encoded:
        """The JSON form, which :func:`merge` reads."""
        with self._lock:
            text = self._histogram.encode().decode("ascii")
        return {
            "measure": self._measure,
            "customer": self._customer,
            "class": self._class,
            "histogram": text,
        }

    def record_us(self, microseconds: int) -> None:
        """Count a value; outside the range it counts as the nearest end.

        Recording adds to a bucket and to a total in two steps. Without the
        lock, threads would lose counts and leave the two in disagreement,
        and percentiles would be wrong from then on.
        """
        value = min(max(microseconds, LOWEST_US), HIGHEST_US)
        with self._lock:
            self._histogram.record_value(value)

    def record_counts(self, counts: collections.abc.Mapping[int, int]) -> None:
        """Count many values at once.

        :param counts: how often each value came, by microseconds.
        """
        with self._lock:
            for value, count in counts.items():
                bounded = min(max(value, LOWEST_US), HIGHEST_US)
                self._histogram.record_value(bounded, count)

    def percentile(self, percent: float) -> float:
        """The value in seconds whose rank is nearest to a percentage."""
        with self._lock:
            value = self._histogram.get_value_at_percentile(percent)
        return float(value) / _US_PER_S

    def counts_below(
        self, bounds_s: collections.abc.Sequence[float]
    ) -> list[int]:
        """How many values lie between each bound and the one before it.

        :param bounds_s: rising upper bounds in seconds.
        :returns: as many counts as bounds, and one of the values above.
        """
        counts = [0] * (len(bounds_s) + 1)
        for value_s, count in self._recorded():
            above = (i for i, bound in enumerate(bounds_s) if value_s <= bound)
            counts[next(above, -1)] += count
        return counts

    def add_encoded(self, text: str) -> None:
        """Add another VM's histogram of the same key.

        :raises HistogramInvalid: if the text is not a histogram.
        """
        try:
            other = histogram.HdrHistogram.decode(text)
            with self._lock:
                self._histogram.add(other)
        except Exception as error:
            # The decoder raises whatever its buffers and zlib raise.
            raise HistogramInvalid(f"not a histogram: {error}") from error

    def _recorded(self) -> list[tuple[float, int]]:
        # The iterator yields one object again and again, changed each time.
        with self._lock:
            return [
                (
                    item.value_iterated_to / _US_PER_S,
                    item.count_added_in_this_iter_step,
                )
                for item in self._histogram.get_recorded_iterator()
            ]


class Histograms:
    """All histograms of one VM.

    At most ``HISTOGRAMS_MAX`` keys have one of their own; the customers
    and classes after them share ``OTHER``, so memory stays bounded.
    """

    __slots__ = ("_lock", "_by_key", "_max")

    def __init__(self, maximum: int = HISTOGRAMS_MAX) -> None:
        self._lock = threading.Lock()
        self._by_key: dict[Key, Distribution] = {}
        self._max = maximum

    def handle(
        self, measure: str, customer: str, service_class: str
    ) -> Distribution:
        """Fetch a key's histogram once, to record many values into it."""
        key = (measure, customer, service_class)
        found = self._by_key.get(key)
        return found or self._made(key)

    def record(
        self,
        measure: str,
        customer: str,
        service_class: str,
        seconds: float,
    ) -> None:
        """Count one value."""
        handle = self.handle(measure, customer, service_class)
        handle.record_us(int(seconds * _US_PER_S))

    def record_gap_us(self, handle: Distribution, microseconds: int) -> None:
        """Count one value by a handle; made for the time between tokens."""
        handle.record_us(microseconds)

    def distributions(self) -> list[Distribution]:
        """Every histogram that holds a value."""
        return [found for found in list(self._by_key.values()) if found.count]

    def encoded(self) -> list[Encoded]:
        """Every histogram in its JSON form."""
        return [found.encoded for found in self.distributions()]

    def _made(self, key: Key) -> Distribution:
        with self._lock:
            if key not in self._by_key and len(self._by_key) >= self._max:
                key = (key[0], OTHER, OTHER)
            return self._by_key.setdefault(key, Distribution(*key))


def rounded_us(microseconds: int) -> int:
    """A value with the precision that histograms keep, at little cost.

    :param microseconds: not negative.
    """
    shift = max(0, microseconds.bit_length() - KEPT_BITS)
    return (microseconds >> shift) << shift


def merge(
    encoded: collections.abc.Iterable[Encoded],
) -> dict[Key, Distribution]:
    """Merge the histograms of several VMs.

    :param encoded: the JSON forms from all of them, in any order.
    :returns: one distribution for each key, sorted by key.
    :raises HistogramInvalid: if one is not a histogram.
    """
    merged: dict[Key, Distribution] = {}
    for item in encoded:
        key = _key_of(item)
        merged.setdefault(key, Distribution(*key)).add_encoded(
            item["histogram"]
        )
    return dict(sorted(merged.items()))


def _key_of(item: Encoded) -> Key:
    try:
        return str(item["measure"]), str(item["customer"]), str(item["class"])
    except (KeyError, TypeError) as error:
        raise HistogramInvalid(f"not a histogram: {error!r}") from error


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
