"""What happened in a stretch of time, counted from the logs of all VMs."""

import collections
import datetime
import typing

from .. import log_parser

from . import losses

#: Events that are marked in plots over time: something changed for everybody.
MARKED = frozenset(
    {"configuration_in_force", "lease_taken", "member_dead", "runner_gone"}
)
SERVED = "served"
FAILED = "failed"
REFUSED = "refused"


class Answer:
    """The end of one request.

    :param at_s: seconds since the first log line.
    :param outcome: served, failed or refused.
    :param took_s: from its first byte to its last; None when it was refused.
    :param reason: why it was not served, by its first word; empty if it was.
    :param first_s: seconds to the first byte of its answer; None if unknown.
    :param objective_s: objective for ``first_s``; None if unknown.
    :param sends: number of times it was sent to a runner.
    """

    __slots__ = (
        "at_s",
        "outcome",
        "route",
        "runner",
        "took_s",
        "reason",
        "first_s",
        "objective_s",
        "sends",
    )

    def __init__(
        self,
        at_s: float,
        outcome: str,
        route: str,
        runner: str,
        took_s: float | None,
        reason: str,
        first_s: float | None = None,
        objective_s: float | None = None,
        sends: int = 1,
    ) -> None:
        self.first_s = first_s
        self.objective_s = objective_s
        self.sends = sends
        self.at_s = at_s
        self.outcome = outcome
        self.route = route
        self.runner = runner
        self.took_s = took_s
        self.reason = reason


class Mark:
    """A change that concerned all requests.

    :param at_s: seconds since the first log line.
    """

    __slots__ = ("at_s", "event")

    def __init__(self, at_s: float, event: str) -> None:
        self.at_s = at_s
        self.event = event


class Day:
    """All ends of requests and all marks, in time order.

    :param vms: whose lines were read.
    :param capacity: samples of the services whose runners are ordered.
    """

    __slots__ = ("answers", "capacity", "marks", "vms")

    def __init__(
        self,
        answers: list[Answer],
        marks: list[Mark],
        vms: list[str],
        capacity: typing.Sequence[losses.Capacity] = (),
    ) -> None:
        self.capacity = capacity
        self.answers = answers
        self.marks = marks
        self.vms = vms

    @property
    def losses(self) -> losses.Losses:
        """The requests that were lost or late."""
        return losses.Losses(self.answers, self.capacity)

    @property
    def document(self) -> dict[str, typing.Any]:
        """The counts, for those who read no plots."""
        reasons = collections.Counter(
            answer.reason for answer in self.answers if answer.reason
        )
        return {
            "vms": self.vms,
            "outcomes": dict(
                collections.Counter(answer.outcome for answer in self.answers)
            ),
            "reasons": dict(reasons.most_common()),
            "losses": self.losses.by_reason(),
            "losses_by_moment": self.losses.rows(),
        }


def read(lines: typing.Sequence[log_parser.LogLine]) -> Day:
    """Count what the lines tell.

    A request that was sent to a runner and then refused has two lines, its
    end and its refusal; the refusal has the last word.

    :param lines: in time order, of all VMs.
    """
    if not lines:
        return Day([], [], [])
    start = _seconds(lines[0].time)
    answers: dict[str, Answer] = {}
    marks: list[Mark] = []
    capacity: list[losses.Capacity] = []
    seen: set[str] = set()
    for line in lines:
        at_s = _seconds(line.time) - start
        if line.event == "request_ended":
            answers[_id(line)] = _ended(at_s, line)
        elif line.event == "request_refused":
            answers[_id(line)] = _refused(at_s, line, answers.get(_id(line)))
        elif line.event == "runners_needed":
            capacity.append(losses.Capacity.from_line(at_s, line))
        elif line.event in MARKED and _is_new(line, seen):
            marks.append(Mark(at_s, line.event))
    return Day(
        list(answers.values()),
        marks,
        sorted({line.vm for line in lines}),
        capacity,
    )


def _id(line: log_parser.LogLine) -> str:
    """The request's id; a malformed one has none and counts by itself."""
    return line.fields.get("request") or f"{line.vm} {line.time}"


def _ended(at_s: float, line: log_parser.LogLine) -> Answer:
    fields = line.fields
    served = fields.get("served") == "True"
    # Without a reason of the VM the runner's own failure was passed on.
    reason = _first_word(fields.get("ended", "")) or "runner_failed"
    return Answer(
        at_s,
        SERVED if served else FAILED,
        fields.get("route", ""),
        fields.get("runner", ""),
        float(fields.get("took_s", 0.0)),
        "" if served else reason,
        _optional_float(fields, "first_s"),
        _optional_float(fields, "objective_s"),
        int(fields.get("sends", 1)),
    )


def _optional_float(
    fields: typing.Mapping[str, str], name: str
) -> float | None:
    return float(fields[name]) if name in fields else None


def _refused(
    at_s: float, line: log_parser.LogLine, before: Answer | None
) -> Answer:
    ran = line.fields.get("status") in ("502", "504")
    return Answer(
        at_s,
        FAILED if ran else REFUSED,
        before.route if before else "",
        before.runner if before else "",
        None,
        _first_word(line.fields.get("reason", "unknown")),
    )


def _first_word(reason: str) -> str:
    return reason.partition(":")[0]


def _is_new(line: log_parser.LogLine, seen: set[str]) -> bool:
    """Whether this is the first VM that tells of a change."""
    what = line.fields.get("version", line.fields.get("runner", ""))
    what = what or line.fields.get("member", line.time)
    key = f"{line.event} {what}"
    if key in seen:
        return False
    seen.add(key)
    return True


def _seconds(time: str) -> float:
    moment = datetime.datetime.fromisoformat(time.removesuffix("Z"))
    return moment.replace(tzinfo=datetime.timezone.utc).timestamp()
