"""Summarizes the requests and fleet events in the logs of all VMs.

A fleet event is a logged change that affects all requests, such as the loss
of a runner.
"""

import collections
import datetime
import typing

from .. import log_parser

from . import losses

#: Events that affect all requests; plots over time mark them.
FLEET_EVENTS = frozenset(
    {"configuration_in_force", "lease_taken", "member_dead", "runner_gone"}
)
SERVED = "served"
FAILED = "failed"
REFUSED = "refused"


class RequestResult:
    """The result of one request.

    :param at_s: seconds from the first log line to the end of the request.
    :param outcome: ``SERVED``, ``FAILED`` or ``REFUSED``.
    :param route: name of the request's route; empty if unknown.
    :param runner: the last runner that was tried; empty if unknown.
    :param took_s: seconds until the last byte of the answer; None if the
        request's last log line is a refusal.
    :param reason: code of the reason why the request was not served; empty
        if it was served.
    :param first_s: seconds to the first byte of the answer; None if unknown.
    :param objective_s: objective for ``first_s``, in seconds; None if unknown.
    :param sends: number of times the request was sent to a runner.
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


class FleetEvent:
    """A logged change that affected all requests, for marks in plots.

    :param at_s: seconds since the first log line.
    :param event: name of the log event.
    """

    __slots__ = ("at_s", "event")

    def __init__(self, at_s: float, event: str) -> None:
        self.at_s = at_s
        self.event = event


class LogSummary:
    """Results of all requests and all fleet events, in time order.

    :param results: results of the requests.
    :param fleet_events: changes that affected all requests.
    :param vms: names of the VMs whose log lines were read.
    :param capacity: samples of the number of runners, of the services for
        which a VM orders runners.
    """

    __slots__ = ("results", "capacity", "fleet_events", "vms")

    def __init__(
        self,
        results: list[RequestResult],
        fleet_events: list[FleetEvent],
        vms: list[str],
        capacity: typing.Sequence[losses.Capacity] = (),
    ) -> None:
        self.capacity = capacity
        self.results = results
        self.fleet_events = fleet_events
        self.vms = vms

    @property
    def losses(self) -> losses.Losses:
        """The lost and late requests, with counts by reason and time."""
        return losses.Losses(self.results, self.capacity)

    @property
    def document(self) -> dict[str, typing.Any]:
        """The numbers of requests by outcome and reason, as JSON."""
        reasons = collections.Counter(
            result.reason for result in self.results if result.reason
        )
        return {
            "vms": self.vms,
            "outcomes": dict(
                collections.Counter(result.outcome for result in self.results)
            ),
            "reasons": dict(reasons.most_common()),
            "losses": self.losses.by_reason(),
            "losses_by_moment": self.losses.rows(),
        }


def summarize(lines: typing.Sequence[log_parser.LogLine]) -> LogSummary:
    """Summarize log lines.

    A request that was sent to a runner and then refused has two log lines,
    one for its end and one for its refusal. The later line, the refusal,
    determines its result.

    :param lines: log lines of all VMs, in time order.
    """
    if not lines:
        return LogSummary([], [], [])
    start = _timestamp_s(lines[0].time)
    results: dict[str, RequestResult] = {}
    fleet_events: list[FleetEvent] = []
    capacity: list[losses.Capacity] = []
    seen: set[str] = set()
    for line in lines:
        at_s = _timestamp_s(line.time) - start
        if line.event == "request_ended":
            results[_request_key(line)] = _result_of_end(at_s, line)
        elif line.event == "request_refused":
            results[_request_key(line)] = _result_of_refusal(
                at_s, line, results.get(_request_key(line))
            )
        elif line.event == "runners_needed":
            capacity.append(losses.Capacity.from_line(at_s, line))
        elif line.event in FLEET_EVENTS and _is_first_report(line, seen):
            fleet_events.append(FleetEvent(at_s, line.event))
    return LogSummary(
        list(results.values()),
        fleet_events,
        sorted({line.vm for line in lines}),
        capacity,
    )


def _request_key(line: log_parser.LogLine) -> str:
    """The request's id; a unique key for a malformed request without one."""
    return line.fields.get("request") or f"{line.vm} {line.time}"


def _result_of_end(at_s: float, line: log_parser.LogLine) -> RequestResult:
    fields = line.fields
    served = fields.get("served") == "True"
    # Without a reason from the VM, the runner's own error was passed on.
    reason = _reason_code(fields.get("ended", "")) or "runner_failed"
    return RequestResult(
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


def _result_of_refusal(
    at_s: float, line: log_parser.LogLine, earlier: RequestResult | None
) -> RequestResult:
    ran = line.fields.get("status") in ("502", "504")
    return RequestResult(
        at_s,
        FAILED if ran else REFUSED,
        earlier.route if earlier else "",
        earlier.runner if earlier else "",
        None,
        _reason_code(line.fields.get("reason", "unknown")),
    )


def _reason_code(reason: str) -> str:
    return reason.partition(":")[0]


def _is_first_report(line: log_parser.LogLine, seen: set[str]) -> bool:
    """Whether no earlier line, of any VM, reported the same fleet event.

    :param seen: keys of the events reported so far; a new one is added.
    """
    subject = line.fields.get("version", line.fields.get("runner", ""))
    subject = subject or line.fields.get("member", line.time)
    key = f"{line.event} {subject}"
    if key in seen:
        return False
    seen.add(key)
    return True


def _timestamp_s(time: str) -> float:
    moment = datetime.datetime.fromisoformat(time.removesuffix("Z"))
    return moment.replace(tzinfo=datetime.timezone.utc).timestamp()
