"""Requests that were lost or late, by route, time window and reason."""

import collections
import typing

from .. import log_parser

#: Length of a time window, in seconds.
WINDOW_S = 2.0
#: Rows of the table, those with the most requests.
MOST_ROWS = 40
#: Reported texts of the reasons for which a request was not served.
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


class Answer(typing.Protocol):
    """The fields of a request's end that determine its loss."""

    @property
    def at_s(self) -> float:
        """Seconds since the first log line."""

    @property
    def route(self) -> str:
        """Name of the route that the request took."""

    @property
    def reason(self) -> str:
        """First word of why it was not served; empty if it was."""

    @property
    def first_s(self) -> float | None:
        """Seconds to the first byte of its answer; None if unknown."""

    @property
    def objective_s(self) -> float | None:
        """Objective for ``first_s``, in seconds; None if unknown."""

    @property
    def sends(self) -> int:
        """Number of times it was sent to a runner."""


def loss_reason(answer: Answer) -> str:
    """Why a request was lost or late; empty if it was neither."""
    if answer.reason:
        return _REASON_TEXTS.get(answer.reason, answer.reason)
    if answer.first_s is None or answer.objective_s is None:
        return ""
    if answer.first_s <= answer.objective_s:
        return ""
    return (
        "late, retried" if answer.sends > 1 else "late, waited at its runner"
    )


class Capacity:
    """Runners of a service, as logged by the VM that orders them.

    :param present: runners that are listed.
    :param needed: runners that the work needs.
    :param in_flight: calls of all VMs in flight at these runners.
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
    """All requests that were lost or late.

    :param answers: the ends of all requests.
    :param capacity: samples of the services whose runners are ordered.
    """

    __slots__ = ("_answers", "_capacity")

    def __init__(
        self,
        answers: typing.Iterable[Answer],
        capacity: typing.Sequence[Capacity] = (),
    ) -> None:
        self._answers = [answer for answer in answers if loss_reason(answer)]
        self._capacity = capacity

    @property
    def answers(self) -> list[Answer]:
        """The ends of the requests that were lost or late."""
        return self._answers

    def rows(self) -> list[dict[str, typing.Any]]:
        """Rows by route, window and reason, most requests first."""
        counts = collections.Counter(
            (answer.route, _window(answer.at_s), loss_reason(answer))
            for answer in self._answers
        )
        return [
            {
                "route": route,
                "from_s": window * WINDOW_S,
                "reason": reason,
                "calls": count,
                "runners": self._runners_in(window),
            }
            for (route, window, reason), count in counts.most_common(MOST_ROWS)
        ]

    def by_reason(self) -> dict[str, int]:
        """Number of requests by reason, highest first."""
        return dict(
            collections.Counter(map(loss_reason, self._answers)).most_common()
        )

    def _runners_in(self, window: int) -> dict[str, list[float]]:
        """Runners present and needed, and calls in flight, by service."""
        found = {}
        for sample in self._capacity:
            if _window(sample.at_s) == window:
                found[sample.service] = [
                    sample.present,
                    sample.needed,
                    sample.in_flight,
                ]
        return found


def _window(at_s: float) -> int:
    return int(at_s // WINDOW_S)
