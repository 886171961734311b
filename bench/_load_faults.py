"""Injects faults at given times of a run: reclaims, kills and stops.

A schedule is a comma-separated list of faults, such as
``6:wave:sala-c:4,20:stop:entry-1``. The form of each fault is
``SECONDS:FAULT:ARGUMENT...``.
"""

import threading
import time
import typing

from . import _load_fleet

DEFAULT_NOTICE_S = 4.0
#: Seconds after a reclaim notice from which the leaving engine must get no
#: new requests.
NEW_WORK_DEADLINE_S = 2.0
STOP_TIMEOUT_S = 30.0
#: Seconds between two reads of the engines' counts. The counts of an engine
#: are lost when it is killed.
COUNTS_INTERVAL_S = 0.5
Document = dict[str, typing.Any]
Action = typing.Callable[[_load_fleet.LoadFleet, list[str]], Document]
_ACTIONS: dict[str, Action] = {}


class ScheduleInvalid(Exception):
    """A fault schedule cannot be parsed."""


def fault(name: str) -> typing.Callable[[Action], Action]:
    """Register the action of a fault under its name in schedules."""

    def register(action: Action) -> Action:
        _ACTIONS[name] = action
        return action

    return register


class ScheduledFault:
    """One fault and the time at which it is injected.

    :param at_s: seconds since the start of the run.
    """

    __slots__ = ("at_s", "name", "arguments")

    def __init__(self, at_s: float, name: str, arguments: list[str]) -> None:
        self.at_s = at_s
        self.name = name
        self.arguments = arguments


def parse_schedule(text: str) -> list[ScheduledFault]:
    """Parse a fault schedule.

    :raises ScheduleInvalid: if a part is invalid; the message names the part.
    """
    return [_parse_fault(part) for part in text.split(",") if part]


class FaultInjector:
    """Injects scheduled faults while a load runs.

    Also records purchased engines and the engines' counts periodically.

    :param fleet: the fleet that the faults are injected into.
    :param schedule: the faults that :func:`parse_schedule` returned.
    :param start_at: the run's start on the monotonic clock.
    """

    def __init__(
        self,
        fleet: _load_fleet.LoadFleet,
        schedule: list[ScheduledFault],
        start_at: float,
    ) -> None:
        self._fleet = fleet
        self._start_at = start_at
        self._rows: list[Document] = []
        self._finished = threading.Event()
        self._threads = [
            threading.Thread(target=self._inject, args=(each,), daemon=True)
            for each in schedule
        ]
        self._threads.append(
            threading.Thread(target=self._poll_counts, daemon=True)
        )
        for thread in self._threads:
            thread.start()

    def wait(self) -> list[Document]:
        """Wait until all faults are over.

        :returns: the record of each fault, in order of time.
        """
        *injectors, poller = self._threads
        for thread in injectors:
            thread.join()
        self._finished.set()
        poller.join()
        return sorted(self._rows, key=lambda row: row["at_s"])

    def _inject(self, scheduled: ScheduledFault) -> None:
        due_at = self._start_at + scheduled.at_s
        self._finished.wait(max(0.0, due_at - time.monotonic()))
        action = _ACTIONS[scheduled.name]
        try:
            result = action(self._fleet, scheduled.arguments)
        except Exception as error:
            result = {"failed": repr(error)}
        self._rows.append(
            {
                "record": "fault",
                "at_s": scheduled.at_s,
                "fault": scheduled.name,
                "arguments": scheduled.arguments,
                **result,
            }
        )

    def _poll_counts(self) -> None:
        while not self._finished.wait(COUNTS_INTERVAL_S):
            self._fleet.record_purchases()
            self._fleet.poll_counts()
        self._fleet.poll_counts()


@fault("wave")
def _wave(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """Reclaim every engine of a data centre after a notice."""
    return _reclaim(
        fleet, fleet.running_engines_in(arguments[0]), arguments[1:]
    )


@fault("reclaim")
def _reclaim_one(
    fleet: _load_fleet.LoadFleet, arguments: list[str]
) -> Document:
    """Reclaim one engine after a notice."""
    return _reclaim(fleet, arguments[:1], arguments[1:])


@fault("kill")
def _kill(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """Kill a process without notice."""
    fleet.kill_without_notice(arguments[:1])
    fleet.record_end(arguments[0])
    return {"vms": arguments[:1]}


@fault("stop")
def _stop(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """Ask an entry VM for a graceful shutdown and wait until it exits."""
    name = arguments[0]
    return _wait_for_exit(fleet, name, lambda: fleet.process(name).terminate())


@fault("notice")
def _notice(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """Reclaim an entry VM after a notice and wait until it exits."""
    name = arguments[0]
    notice_s = _notice_s(arguments[1:])
    return _wait_for_exit(
        fleet, name, lambda: fleet.reclaim([name], notice_s, kill=True)
    )


@fault("start")
def _start(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """Start another engine; the arguments are NAME:POOL:DATA_CENTRE."""
    name, pool, data_centre = arguments
    fleet.start_engine(name, pool, data_centre)
    return {"vms": [name]}


def _wait_for_exit(
    fleet: _load_fleet.LoadFleet,
    name: str,
    stop: typing.Callable[[], None],
) -> Document:
    cost = fleet.status(name)["cost"]
    streams = fleet.status(name)["streams"]
    started_at = time.monotonic()
    stop()
    exit_code = fleet.process(name).wait(STOP_TIMEOUT_S)
    fleet.record_end(name)
    return {
        "vms": [name],
        "streams": streams,
        "exit_code": exit_code,
        "took_s": round(time.monotonic() - started_at, 3),
        "cost_rows": cost,
    }


def _reclaim(
    fleet: _load_fleet.LoadFleet, names: list[str], options: list[str]
) -> Document:
    """Announce a reclaim, check for new requests and kill the engines."""
    notice_s = _notice_s(options)
    deadline = time.monotonic() + notice_s
    fleet.reclaim(names, notice_s, kill=False)
    time.sleep(min(NEW_WORK_DEADLINE_S, 0.6 * notice_s))
    executed_before = {name: fleet.execution_counts(name) for name in names}
    time.sleep(max(0.0, deadline - time.monotonic()))
    fleet.poll_counts()
    new_work = [
        request
        for name in names
        for request in set(fleet.execution_counts(name))
        - set(executed_before[name])
    ]
    for name in names:
        fleet.kill(name)
        fleet.record_end(name)
    return {"vms": names, "notice_s": notice_s, "new_work_after": new_work}


def _notice_s(options: list[str]) -> float:
    return float(options[0]) if options else DEFAULT_NOTICE_S


def _parse_fault(part: str) -> ScheduledFault:
    at, _, rest = part.partition(":")
    name, *arguments = rest.split(":")
    if name not in _ACTIONS:
        known = ", ".join(sorted(_ACTIONS))
        raise ScheduleInvalid(
            f"{part}: unknown fault {name!r}; expected one of {known}"
        )
    if not arguments:
        raise ScheduleInvalid(f"{part}: the fault lacks a target")
    try:
        return ScheduledFault(float(at), name, arguments)
    except ValueError as error:
        raise ScheduleInvalid(
            f"{part}: {at!r} is not a number of seconds"
        ) from error
