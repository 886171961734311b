"""One request's story, put together from the logs of several VMs."""

import datetime
import typing

from .. import log_parser

#: Events of a VM or a runner that count as background of a request when they
#: fall within its time, or this many seconds around it.
AROUND_S = 3.0
BACKGROUND = frozenset(
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
        "started",
        "stopping",
        "stop_cut_off",
    }
)
#: What a reason means, by how it begins.
CAUSES = (
    ("over_the_limit", "its customer was over its limit, so it was not run"),
    ("unknown_key", "no version in force at that VM had its API key"),
    ("no_route", "no route of the version in force fits its host and path"),
    ("leaving", "its VM was about to end, so it was not run"),
    ("no_configuration", "the VM knew no configuration yet"),
    ("no_runner", "no runner of the service could take it"),
    ("retry_budget", "no retry was left for the service"),
    ("turned_away", "the runners that were asked turned it away"),
    ("replaced", "another runner had the address by then"),
    ("unreachable", "no connection to the runner opened in time"),
    ("connections_used_up", "all connections to the runner were in use"),
    (
        "broken:not an answer",
        "the runner sent what is no answer; it may have run",
    ),
    ("broken", "the runner broke the connection off; it may have run"),
    ("disorder", "the runner's stream left an event out or repeated one"),
    ("ends_within_an_event", "the stream ended in the middle of an event"),
    ("no_answer_in_time", "a runner did not begin to answer in time"),
    ("unsigned", "the answer did not bear the mark of a runner"),
    ("deadline", "its time, or the route's, was over"),
    ("malformed", "the call had no valid form"),
    ("caller_gone", "its caller had left"),
    ("crashes_runners", "two runners ended while they ran the same call"),
)


class Story:
    """What the logs say of one request.

    :param lines: those that name it, in time order.
    :param background: of its VMs and runners, around it.
    """

    __slots__ = ("request_id", "lines", "background")

    def __init__(
        self,
        request_id: str,
        lines: list[log_parser.LogLine],
        background: list[log_parser.LogLine],
    ) -> None:
        self.request_id = request_id
        self.lines = lines
        self.background = background

    @property
    def cause(self) -> str:
        """One sentence: how it ended and why."""
        last = self._last("request_ended")
        refused = self._last("request_refused")
        if last is not None and last.fields.get("served") == "True":
            return _answered(last)
        found = refused or last
        if found is None:
            return self._unended
        reason = found.fields.get("reason") or found.fields.get("ended") or ""
        meaning = next(
            (text for start, text in CAUSES if reason.startswith(start)),
            "a runner's own failure was passed on" if not reason else reason,
        )
        status = found.fields.get("status")
        if status is not None:
            return f"ended with {status}: {meaning}"
        how = "cut off midway" if reason else "ended with its runner's status"
        return f"{how}: {meaning}"

    @property
    def _unended(self) -> str:
        """Why there is no end: the VM that had the request had one."""
        vm = self.lines[-1].vm
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

    def _last(self, event: str) -> log_parser.LogLine | None:
        found = [line for line in self.lines if line.event == event]
        return found[-1] if found else None


def _answered(last: log_parser.LogLine) -> str:
    """How an answer came, with what makes a stream late."""
    text = f"answered after {last.fields.get('took_s')} s"
    first_s = last.fields.get("first_s")
    if first_s is not None:
        text += f", its first piece after {first_s} s"
    pause_s = last.fields.get("pause_s")
    if pause_s is not None:
        text += f", its longest pause {pause_s} s"
    return text


def tell(
    request_id: str, lines: typing.Sequence[log_parser.LogLine]
) -> Story | None:
    """Find a request's story.

    :param lines: in time order, of all VMs.
    :returns: None when no line names the request.
    """
    own = [x for x in lines if x.fields.get("request") == request_id]
    if not own:
        return None
    vms = {line.vm for line in own}
    runners = {r for line in own if (r := line.fields.get("runner"))}
    since = _shift(own[0].time, -_took(own) - AROUND_S)
    until = _shift(own[-1].time, max(AROUND_S, _left(own[-1])))
    background = [
        line
        for line in lines
        if line.event in BACKGROUND
        and since <= line.time <= until
        and _concerns(line, vms, runners)
    ]
    return Story(request_id, own, background)


def _concerns(
    line: log_parser.LogLine, vms: set[str], runners: set[str]
) -> bool:
    """Whether a line is about one of a request's VMs or runners."""
    if line.fields.get("member") in vms:
        return True
    if line.vm not in vms:
        return False
    return "runner" not in line.fields or line.fields["runner"] in runners


def _left(line: log_parser.LogLine) -> float:
    """Seconds that a request had left when it was sent to a runner."""
    return float(line.fields.get("left_s", 0.0))


def _took(lines: typing.Iterable[log_parser.LogLine]) -> float:
    return max((float(x.fields.get("took_s", 0.0)) for x in lines), default=0)


def _shift(time: str, seconds: float) -> str:
    moment = datetime.datetime.fromisoformat(time.removesuffix("Z"))
    moved = moment + datetime.timedelta(seconds=seconds)
    return moved.isoformat(timespec="microseconds") + "Z"
