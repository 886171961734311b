"""Latency histograms for each measure, customer and service class.

The measures are the time to the first token, the time between two tokens and
the time of a whole answer.

Values are recorded in microseconds, to two significant digits, from 1 us to
1 h. Unlike averages and percentiles, the histograms of several VMs can be
merged without loss.
"""

import collections.abc
import threading
import typing

from hdrh import histogram

from . import errors

FIRST_TOKEN = "first_token"
BETWEEN_TOKENS = "between_tokens"
WHOLE_ANSWER = "whole"
MEASURES = (FIRST_TOKEN, BETWEEN_TOKENS, WHOLE_ANSWER)

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
#: Significant bits that :func:`rounded_down_us` keeps. Two significant
#: decimal digits need seven bits; the eighth allows for rounding.
PRECISION_BITS = 8
HISTOGRAMS_MAX = 1000
OVERFLOW_NAME = "other"

_US_PER_S = 1_000_000

Key = tuple[str, str, str]
Encoded = dict[str, typing.Any]


class HistogramInvalid(errors.ApricotleverError):
    """An encoded histogram is malformed."""


class Distribution:
    """The histogram of one measure, customer and service class.

    Its methods may be called from several threads.

    :param measure: one of ``MEASURES``.
    :param customer: the name of a customer, or ``OVERFLOW_NAME``.
    :param service_class: the name of a service class, or
        ``OVERFLOW_NAME``.
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
        """The name of a customer, or ``OVERFLOW_NAME``."""
        return self._customer

    @property
    def service_class(self) -> str:
        """The name of a service class, or ``OVERFLOW_NAME``."""
        return self._class

    @property
    def count(self) -> int:
        """The number of values recorded."""
        return int(self._histogram.get_total_count())

    @property
    def encoded(self) -> Encoded:
        """The histogram in JSON form, as :func:`merge` reads it."""
        with self._lock:
            text = self._histogram.encode().decode("ascii")
        return {
            "measure": self._measure,
            "customer": self._customer,
            "class": self._class,
            "histogram": text,
        }

    def record_us(self, microseconds: int) -> None:
        """Record a latency in microseconds, clamped to the histogram's range.

        Recording increments a bucket and a total in two steps. Without the
        lock, concurrent threads would lose counts and leave the total
        different from the sum of the buckets, and all later percentiles
        would be wrong.
        """
        value = min(max(microseconds, LOWEST_US), HIGHEST_US)
        with self._lock:
            self._histogram.record_value(value)

    def record_counts(self, counts: collections.abc.Mapping[int, int]) -> None:
        """Record many values at once, clamped like a single one.

        :param counts: the number of occurrences of each value, keyed by the
            value in microseconds.
        """
        with self._lock:
            for value, count in counts.items():
                bounded = min(max(value, LOWEST_US), HIGHEST_US)
                self._histogram.record_value(bounded, count)

    def percentile(self, percent: float) -> float:
        """The value in seconds at a percentile from 0 to 100."""
        with self._lock:
            value = self._histogram.get_value_at_percentile(percent)
        return float(value) / _US_PER_S

    def counts_below(
        self, bounds_s: collections.abc.Sequence[float]
    ) -> list[int]:
        """Count the values between each bound and the previous one.

        :param bounds_s: inclusive upper bounds in seconds, ascending.
        :returns: one count for each bound, then the count of the values
            above the last bound.
        """
        counts = [0] * (len(bounds_s) + 1)
        for value_s, count in self._recorded_counts():
            above = (i for i, bound in enumerate(bounds_s) if value_s <= bound)
            counts[next(above, -1)] += count
        return counts

    def merge_encoded(self, text: str) -> None:
        """Merge another VM's histogram of the same key into this one.

        :param text: the ``histogram`` field of its JSON form.
        :raises HistogramInvalid: if the text is not a histogram.
        """
        try:
            other = histogram.HdrHistogram.decode(text)
            with self._lock:
                self._histogram.add(other)
        except Exception as error:
            # The decoder lets the errors of its buffers and of zlib through.
            raise HistogramInvalid(f"not a histogram: {error}") from error

    def _recorded_counts(self) -> list[tuple[float, int]]:
        # The iterator yields the same object each time, with other values, so
        # the values are copied within the loop.
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

    A key is a measure, a customer and a service class. At most ``maximum``
    keys have a histogram of their own. For any further key, customer and
    class are replaced by ``OVERFLOW_NAME``, so memory stays bounded.

    :param maximum: the number of keys with a histogram of their own.
    """

    __slots__ = ("_lock", "_by_key", "_max")

    def __init__(self, maximum: int = HISTOGRAMS_MAX) -> None:
        self._lock = threading.Lock()
        self._by_key: dict[Key, Distribution] = {}
        self._max = maximum

    def distribution(
        self, measure: str, customer: str, service_class: str
    ) -> Distribution:
        """The histogram of a key, created if there is none.

        A caller that records many values keeps the returned histogram and
        saves the look-ups.
        """
        key = (measure, customer, service_class)
        found = self._by_key.get(key)
        return found or self._get_or_create(key)

    def record(
        self,
        measure: str,
        customer: str,
        service_class: str,
        seconds: float,
    ) -> None:
        """Record a latency in the histogram of its measure and its origin.

        :param measure: one of ``MEASURES``.
        :param customer: the name of the customer.
        :param service_class: the name of the service class.
        :param seconds: the latency.
        """
        handle = self.distribution(measure, customer, service_class)
        handle.record_us(int(seconds * _US_PER_S))

    def record_gap_us(self, handle: Distribution, microseconds: int) -> None:
        """Record one time between two tokens in a histogram.

        :param handle: what :meth:`distribution` returned.
        """
        handle.record_us(microseconds)

    def distributions(self) -> list[Distribution]:
        """Every histogram that holds at least one value."""
        return [found for found in list(self._by_key.values()) if found.count]

    def encoded(self) -> list[Encoded]:
        """The JSON forms of all histograms that hold a value."""
        return [found.encoded for found in self.distributions()]

    def _get_or_create(self, key: Key) -> Distribution:
        with self._lock:
            if key not in self._by_key and len(self._by_key) >= self._max:
                key = (key[0], OVERFLOW_NAME, OVERFLOW_NAME)
            return self._by_key.setdefault(key, Distribution(*key))


def rounded_down_us(microseconds: int) -> int:
    """Round a value down to the precision of the histograms.

    This is a cheap way to group values before they are recorded.

    :param microseconds: a value that is not negative.
    """
    shift = max(0, microseconds.bit_length() - PRECISION_BITS)
    return (microseconds >> shift) << shift


def merge(
    encoded: collections.abc.Iterable[Encoded],
) -> dict[Key, Distribution]:
    """Merge the histograms of several VMs.

    :param encoded: the JSON forms of the histograms of all VMs, in any
        order.
    :returns: one merged histogram for each key, sorted by key.
    :raises HistogramInvalid: if a measure, customer or class is missing, or
        a histogram can't be decoded.
    """
    merged: dict[Key, Distribution] = {}
    for item in encoded:
        key = _key_of(item)
        merged.setdefault(key, Distribution(*key)).merge_encoded(
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
