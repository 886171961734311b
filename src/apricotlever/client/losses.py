"""Counts lost and late requests by route, time window and reason.

A request is lost if it was not served. It is late if the first byte of its
answer came later than its objective.
"""

import collections
import typing

from .. import log_parser

#: Length of a time window, in seconds.
WINDOW_S = 2.0
#: Maximum number of table rows; rows with the most requests are kept.
MAX_ROWS = 40
#: Text shown for each reason code of a request that was not served.
_REASON_TEXTS = {
    "over_the_limit": "refused by a limit",
    "no_runner": "no runner",
    "turned_away": "runner full",
    "retry_budget": "no retries left",
    "deadline": "deadline",
    "leaving": "VM leaving",
    "no_configuration": "VM starting",
    "runner_failed": "failed by its runner",
    "broken": "cut off by its runner",
    "no_answer_in_time": "silent runner",
    "unreachable": "runner not reached",
    "crashes_runners": "crashes runners",
}


class LossFields(typing.Protocol):
    """Fields of a request's result that classify it as lost or late."""

    @property
    def at_s(self) -> float:
        """Seconds since the first log line."""

    @property
    def route(self) -> str:
        """Name of the request's route."""

    @property
    def reason(self) -> str:
        """Code of the reason why the request was not served; else empty."""

    @property
    def first_s(self) -> float | None:
        """Seconds until the first byte of the answer; None if unknown."""

    @property
    def objective_s(self) -> float | None:
        """Objective for ``first_s``, in seconds; None if unknown."""

    @property
    def sends(self) -> int:
        """Number of times the request was sent to a runner."""


def loss_reason(result: LossFields) -> str:
    """Reason why a request was lost or late; empty if it was neither."""
    if result.reason:
        return _REASON_TEXTS.get(result.reason, result.reason)
    if result.first_s is None or result.objective_s is None:
        return ""
    if result.first_s <= result.objective_s:
        return ""
    return (
        "late, retried" if result.sends > 1 else "late, waited at its runner"
    )


class Capacity:
    """Sample of a service's runners, logged by the VM that orders runners.

    :param at_s: seconds since the first log line.
    :param present: number of listed runners.
    :param needed: number of runners that the measured load requires.
    :param in_flight: calls in flight at these runners, from all VMs.
    """

    __slots__ = ("at_s", "service", "present", "needed", "in_flight")

    def __init__(
        self,
        at_s: float,
        service: str,
        present: int,
        needed: float,
        in_flight: int,
    ) -> None:
        self.at_s = at_s
        self.service = service
        self.present = present
        self.needed = needed
        self.in_flight = in_flight

    @classmethod
    def from_line(cls, at_s: float, line: log_parser.LogLine) -> "Capacity":
        """Parse a ``runners_needed`` line."""
        fields = line.fields
        return cls(
            at_s,
            fields.get("service", ""),
            int(fields.get("present", 0)),
            float(fields.get("measured", 0.0)),
            int(fields.get("in_flight", 0)),
        )


class Losses:
    """The requests that were lost or late, and their counts.

    :param results: results of all requests.
    :param capacity: samples of the number of runners, of the services for
        which a VM orders runners.
    """

    __slots__ = ("_results", "_capacity")

    def __init__(
        self,
        results: typing.Iterable[LossFields],
        capacity: typing.Sequence[Capacity] = (),
    ) -> None:
        self._results = [result for result in results if loss_reason(result)]
        self._capacity = capacity

    @property
    def results(self) -> list[LossFields]:
        """Results of the requests that were lost or late."""
        return self._results

    def rows(self) -> list[dict[str, typing.Any]]:
        """Table rows by route, window and reason, most requests first."""
        counts = collections.Counter(
            (result.route, _window_index(result.at_s), loss_reason(result))
            for result in self._results
        )
        return [
            {
                "route": route,
                "from_s": window * WINDOW_S,
                "reason": reason,
                "calls": count,
                "runners": self._capacity_in_window(window),
            }
            for (route, window, reason), count in counts.most_common(MAX_ROWS)
        ]

    def by_reason(self) -> dict[str, int]:
        """Number of lost or late requests by reason, highest first."""
        return dict(
            collections.Counter(map(loss_reason, self._results)).most_common()
        )

    def _capacity_in_window(self, window: int) -> dict[str, list[float]]:
        """Last capacity sample of each service in a time window.

        :param window: index of the time window.
        :returns: by service: runners present, runners needed, calls in
            flight.
        """
        found = {}
        for sample in self._capacity:
            if _window_index(sample.at_s) == window:
                found[sample.service] = [
                    sample.present,
                    sample.needed,
                    sample.in_flight,
                ]
        return found


def _window_index(at_s: float) -> int:
    return int(at_s // WINDOW_S)
