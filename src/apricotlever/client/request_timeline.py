"""Reconstructs the timeline of one request from the logs of several VMs."""

import datetime
import typing

from .. import log_parser

#: A timeline includes background events from this many seconds before its
#: request to at least this many seconds after the request's last line.
BACKGROUND_MARGIN_S = 3.0
#: Events of a VM or a runner that are shown as background of a request.
BACKGROUND_EVENTS = frozenset(
    {
        "configuration_in_force",
        "dependency_lost",
        "dependency_regained",
        "lease_handed_over",
        "lease_lost",
        "lease_taken",
        "lines_left_out",
        "member_dead",
        "paused",
        "runner_crashed",
        "runner_gone",
        "runner_leaving",
        "runner_limit",
        "runner_refuses",
        "runner_rest",
        "runners_reachable",
        "runners_unreachable",
        "service_contention",
        "started",
        "stopping",
        "stop_cut_off",
    }
)
#: Events that name the runners whose crashes block a request, and events that
#: tell of these crashes.
BLOCK_EVENTS = frozenset({"request_blocked", "request_on_trial"})
CRASH_EVENTS = frozenset(
    {"runner_crashed", "runner_fell", "crash_cause_found"}
)
#: Prefix of a logged reason, and its meaning. The first match counts, so a
#: longer prefix stands before a shorter one.
REASON_MEANINGS = (
    ("over_the_limit", "its customer was over its limit, so it was not run"),
    ("unknown_key", "no version in force at that VM contained its API key"),
    ("no_route", "no route of the version in force matches its host and path"),
    ("leaving", "its VM was shutting down, so it was not run"),
    ("no_configuration", "its VM had no configuration yet"),
    (
        "no_time",
        "no runner would have begun to answer it in time, so it was not run",
    ),
    ("no_runner", "no runner of the service was available for it"),
    (
        "runners_unavailable",
        "its service's runners rested, left or had no room, by their own word",
    ),
    ("takes_no_calls", "the runner had just said that it takes no calls"),
    ("retry_budget", "the retry budget of the service was exhausted"),
    ("turned_away", "the runners that were tried rejected it"),
    ("replaced", "another runner had taken over the runner's address"),
    ("unreachable", "no connection to the runner could be opened in time"),
    ("connections_used_up", "all connections to the runner were in use"),
    (
        "broken:not an answer",
        "the runner sent what is no answer; it may have run",
    ),
    ("broken", "the runner broke the connection off; it may have run"),
    ("disorder", "the runner's stream skipped or repeated an event"),
    ("ends_within_an_event", "the stream ended in the middle of an event"),
    (
        "not_resumed",
        "the runner that was to resume the stream answered something else",
    ),
    (
        "version_gone",
        "no runner of the version that began its stream was left",
    ),
    (
        "stream_unknown",
        "no VM knew at which version the stream began that it resumed",
    ),
    ("no_answer_in_time", "a runner did not start to answer in time"),
    ("unsigned", "the answer lacked the identification of a runner"),
    ("deadline", "its time, or the route's, was over"),
    ("malformed", "the call was malformed"),
    ("caller_gone", "its caller had disconnected"),
    (
        "crashes_runners",
        "runners ended while they ran the same call, or ones with its part",
    ),
    ("isolated", "its VM reached no runner, and no other VM could run it"),
    (
        "helper_broken",
        "the VM that was to run it broke the connection off; it may have run",
    ),
    (
        "helper_unreachable",
        "no connection to the VM that was to run it opened",
    ),
    (
        "helper_connections_used_up",
        "all connections to the VM that was to run it were in use",
    ),
    ("helper_full", "the VM that was to run it had no room for it"),
    ("helper_leaving", "the VM that was to run it was shutting down"),
    ("helper_isolated", "the VM that was to run it reached no runner either"),
    ("helper_reached_none", "the VM that was to run it met no runner either"),
    ("helper_unready", "the VM that was to run it had no configuration yet"),
    (
        "helper_unknown",
        "the VM that was to run it had another version of the configuration",
    ),
    ("helper_rejects", "the VM that was to run it can't read forwarded calls"),
)


#: Cause of a call's level in an engine's queue, and its meaning.
LEVEL_MEANINGS = {
    "rank": "its service was contended, so its route's rank counted first",
    "size": "its service was contended, and short prompts came first",
    "continues": "it continued a stream, which goes before what begins",
    "over_share": "its customer was over its share of a contended service",
}


class RequestTimeline:
    """The log lines that concern one request, and why the request ended.

    :param request_id: the request's id.
    :param lines: lines that name the request, in time order.
    :param background: background events of the request's VMs and runners
        around the time of the request, in time order.
    :param first_lines: lines that name the request whose stream this one
        resumed, in time order; none if it resumed no stream.
    """

    __slots__ = ("request_id", "lines", "background", "first_lines")

    def __init__(
        self,
        request_id: str,
        lines: list[log_parser.LogLine],
        background: list[log_parser.LogLine],
        first_lines: list[log_parser.LogLine],
    ) -> None:
        self.request_id = request_id
        self.lines = lines
        self.background = background
        self.first_lines = first_lines

    @property
    def cause(self) -> str:
        """How the request ended and why, in one sentence."""
        return f"{self._end_cause}{self._level_cause}{self._resumption}"

    @property
    def _level_cause(self) -> str:
        """Why the request had an unusual level; "" if it had none."""
        routed = self._last_line("request_routed")
        cause = routed.fields.get("level_cause") if routed else None
        if routed is None or cause not in LEVEL_MEANINGS:
            return ""
        level = routed.fields.get("queue_level")
        return f"; level {level}: {LEVEL_MEANINGS[cause]}"

    @property
    def _resumption(self) -> str:
        """Which stream the request resumed; "" if it resumed none."""
        first = _resumed_request(self.lines)
        return f"; it resumed the stream of request {first}" if first else ""

    @property
    def _end_cause(self) -> str:
        """How the request ended and why, without its level."""
        last = self._last_line("request_ended")
        refused = self._last_line("request_refused")
        if last is not None and last.fields.get("served") == "True":
            return _describe_answer(last)
        found = refused or last
        if found is None:
            return self._missing_end_cause
        reason = found.fields.get("reason") or found.fields.get("ended") or ""
        meaning = next(
            (
                text
                for start, text in REASON_MEANINGS
                if reason.startswith(start)
            ),
            "a runner's own failure was passed on" if not reason else reason,
        )
        status = found.fields.get("status")
        if status is not None:
            return f"ended with {status}: {meaning}{self._forwarding}"
        how = "cut off midway" if reason else "ended with its runner's status"
        return f"{how}: {meaning}"

    @property
    def _forwarding(self) -> str:
        """To which VM the request was forwarded last; "" for none."""
        forwarded = self._last_line("request_forwarded")
        if forwarded is None:
            return ""
        helper = forwarded.fields.get("helper")
        return f"; its VM {forwarded.vm} had forwarded it to {helper}"

    @property
    def _own_vm(self) -> str:
        """The VM that the caller called.

        A VM that ran the request for it may have logged the last line.
        """
        forwarded = self._last_line("request_forwarded")
        return (forwarded or self.lines[-1]).vm

    @property
    def _missing_end_cause(self) -> str:
        """The likely reason why no log line reports the request's end."""
        vm = self._own_vm
        for line in self.background:
            if line.time <= self.lines[-1].time:
                continue
            if line.event == "started" and line.vm == vm:
                return (
                    f"its VM {vm} ended while it ran; a new process started "
                    f"there at {line.time}"
                )
            if line.event == "member_dead" and line.vm != vm:
                return (
                    f"its VM {vm} was lost to the others at {line.time}: "
                    "killed, stopped or cut off"
                )
        return "still running, or its end was not logged"

    def _last_line(self, event: str) -> log_parser.LogLine | None:
        found = [line for line in self.lines if line.event == event]
        return found[-1] if found else None


def _describe_answer(last: log_parser.LogLine) -> str:
    """Describe a served request with the delays of its stream."""
    text = f"answered after {last.fields.get('took_s')} s"
    first_s = last.fields.get("first_s")
    if first_s is not None:
        text += f", its first piece after {first_s} s"
    pause_s = last.fields.get("pause_s")
    if pause_s is not None:
        text += f", its longest pause {pause_s} s"
    helper = last.fields.get("helper")
    if helper is not None:
        text += f", forwarded by its VM {last.vm} to {helper}"
    return text + _describe_last_response(last)


def _describe_last_response(last: log_parser.LogLine) -> str:
    """Describe what is special in the response that ended a request."""
    text = ""
    status = last.fields.get("runner_status")
    if status is not None:
        text += f", its last runner's status {status}"
    if last.fields.get("body_end") == "closed":
        text += ", its end shown by the end of its runner's connection"
    events = last.fields.get("events")
    if events is not None:
        text += f", {events} events from the runner that resumed it"
    return text


def build_timeline(
    request_id: str, lines: typing.Sequence[log_parser.LogLine]
) -> RequestTimeline | None:
    """Build the timeline of a request.

    :param request_id: the request's id.
    :param lines: log lines of all VMs, in time order.
    :returns: the timeline; None if no line names the request.
    """
    request_lines = [x for x in lines if x.fields.get("request") == request_id]
    if not request_lines:
        return None
    vms = {line.vm for line in request_lines}
    runners = {r for line in request_lines if (r := line.fields.get("runner"))}
    runners.update(
        each.partition("=")[0]
        for line in request_lines
        for each in line.fields.get("passed_over", "").split(",")
    )
    since = _shift_time(
        request_lines[0].time,
        -_longest_duration_s(request_lines) - BACKGROUND_MARGIN_S,
    )
    until = _shift_time(
        request_lines[-1].time,
        max(BACKGROUND_MARGIN_S, _time_left_s(request_lines[-1])),
    )
    blamed_runners, features = _blocks(request_lines)
    background = [
        line
        for line in lines
        if (
            line.event in BACKGROUND_EVENTS
            and since <= line.time <= until
            and _is_related(line, vms, runners)
        )
        or (
            line.event in CRASH_EVENTS
            and line.time <= until
            and (
                line.fields.get("runner") in blamed_runners
                or line.fields.get("feature") in features
            )
        )
    ]
    first = _resumed_request(request_lines)
    first_lines = [
        x for x in lines if first and x.fields.get("request") == first
    ]
    return RequestTimeline(request_id, request_lines, background, first_lines)


def _blocks(
    lines: typing.Iterable[log_parser.LogLine],
) -> tuple[set[str], set[str]]:
    """The runners whose crashes blocked a request, and the features."""
    blocks = [x for x in lines if x.event in BLOCK_EVENTS]
    runners = {
        runner
        for line in blocks
        for runner in line.fields.get("runners", "").split(",")
        if runner
    }
    return runners, {f for x in blocks if (f := x.fields.get("feature"))}


def _resumed_request(lines: typing.Iterable[log_parser.LogLine]) -> str:
    """The request whose stream a request resumed; "" if it resumed none."""
    return next((r for x in lines if (r := x.fields.get("resumes"))), "")


def _is_related(
    line: log_parser.LogLine, vms: set[str], runners: set[str]
) -> bool:
    """Whether a log line is about one of a request's VMs or runners."""
    if line.fields.get("member") in vms:
        return True
    if line.vm not in vms:
        return False
    return "runner" not in line.fields or line.fields["runner"] in runners


def _time_left_s(line: log_parser.LogLine) -> float:
    """Seconds left to the request's deadline as logged; 0 if not logged."""
    return float(line.fields.get("left_s", 0.0))


def _longest_duration_s(lines: typing.Iterable[log_parser.LogLine]) -> float:
    return max((float(x.fields.get("took_s", 0.0)) for x in lines), default=0)


def _shift_time(time: str, seconds: float) -> str:
    moment = datetime.datetime.fromisoformat(time.removesuffix("Z"))
    moved = moment + datetime.timedelta(seconds=seconds)
    return moved.isoformat(timespec="microseconds") + "Z"
