"""Faults at given times during a run: reclaims, kills and stops.

A schedule is text such as ``6:wave:sala-c:4,20:stop:entry-1``, each part
``SECONDS:FAULT:ARGUMENT...``.
"""

import threading
import time
import typing

from . import _load_fleet

NOTICE_S = 4.0
#: After this long a leaving upstream must get no new work.
SETTLED_S = 2.0
STOP_S = 30.0
#: How often counts are read, for a kill takes an engine's away.
COUNTS_EVERY_S = 0.5
Document = dict[str, typing.Any]
Action = typing.Callable[[_load_fleet.LoadFleet, list[str]], Document]
_ACTIONS: dict[str, Action] = {}


class ScheduleInvalid(Exception):
    """The schedule can't be read."""


def fault(name: str) -> typing.Callable[[Action], Action]:
    """Register a kind of fault by the name that a schedule uses."""

    def register(action: Action) -> Action:
        _ACTIONS[name] = action
        return action

    return register


class Planned:
    """One fault and when it strikes.

    :param at_s: since the start of the run.
    """

    __slots__ = ("at_s", "name", "arguments")

    def __init__(self, at_s: float, name: str, arguments: list[str]) -> None:
        self.at_s = at_s
        self.name = name
        self.arguments = arguments


def parse(text: str) -> list[Planned]:
    """Read a schedule.

    :raises ScheduleInvalid: naming the part that is wrong.
    """
    return [_planned(part) for part in text.split(",") if part]


class Faults:
    """Makes faults come true while a load runs.

    :param fleet: what they strike.
    :param schedule: from :func:`parse`.
    :param start_at: the run's start on the monotonic clock.
    """

    def __init__(
        self,
        fleet: _load_fleet.LoadFleet,
        schedule: list[Planned],
        start_at: float,
    ) -> None:
        self._fleet = fleet
        self._start_at = start_at
        self._rows: list[Document] = []
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._strike, args=(each,), daemon=True)
            for each in schedule
        ]
        self._threads.append(threading.Thread(target=self._read, daemon=True))
        for thread in self._threads:
            thread.start()

    def wait(self) -> list[Document]:
        """What happened, when all faults are over."""
        *strikes, reader = self._threads
        for thread in strikes:
            thread.join()
        self._over.set()
        reader.join()
        return sorted(self._rows, key=lambda row: row["at_s"])

    def _strike(self, planned: Planned) -> None:
        due = self._start_at + planned.at_s
        self._over.wait(max(0.0, due - time.monotonic()))
        action = _ACTIONS[planned.name]
        try:
            found = action(self._fleet, planned.arguments)
        except Exception as error:
            found = {"failed": repr(error)}
        self._rows.append(
            {
                "record": "fault",
                "at_s": planned.at_s,
                "fault": planned.name,
                "arguments": planned.arguments,
                **found,
            }
        )

    def _read(self) -> None:
        while not self._over.wait(COUNTS_EVERY_S):
            self._fleet.note_bought()
            self._fleet.read_counts()
        self._fleet.read_counts()


@fault("wave")
def _wave(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """Take every engine of a data centre back, after a notice."""
    return _reclaim(fleet, fleet.in_data_centre(arguments[0]), arguments[1:])


@fault("reclaim")
def _reclaim_one(
    fleet: _load_fleet.LoadFleet, arguments: list[str]
) -> Document:
    """Take one engine back, after a notice."""
    return _reclaim(fleet, arguments[:1], arguments[1:])


@fault("kill")
def _kill(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """End a process without any notice."""
    fleet.vanish(arguments[:1])
    fleet.note_end(arguments[0])
    return {"vms": arguments[:1]}


@fault("stop")
def _stop(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """Ask an entry VM for a graceful shutdown and wait for its end."""
    name = arguments[0]
    return _stopped(fleet, name, lambda: fleet.process(name).terminate())


@fault("notice")
def _notice(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """Take an entry VM back, after a notice."""
    name = arguments[0]
    notice_s = _notice_s(arguments[1:])
    return _stopped(
        fleet, name, lambda: fleet.reclaim([name], notice_s, kill=True)
    )


@fault("start")
def _start(fleet: _load_fleet.LoadFleet, arguments: list[str]) -> Document:
    """Start an engine anew: NAME:POOL:DATA_CENTRE."""
    name, pool, place = arguments
    fleet.start_engine(name, pool, place)
    return {"vms": [name]}


def _stopped(
    fleet: _load_fleet.LoadFleet,
    name: str,
    strike: typing.Callable[[], None],
) -> Document:
    cost = fleet.status(name)["cost"]
    streams = fleet.status(name)["streams"]
    began = time.monotonic()
    strike()
    code = fleet.process(name).wait(STOP_S)
    fleet.note_end(name)
    return {
        "vms": [name],
        "streams": streams,
        "exit_code": code,
        "took_s": round(time.monotonic() - began, 3),
        "cost_rows": cost,
    }


def _reclaim(
    fleet: _load_fleet.LoadFleet, names: list[str], rest: list[str]
) -> Document:
    """Announce, look who still gets new work, and end the processes."""
    notice_s = _notice_s(rest)
    deadline = time.monotonic() + notice_s
    fleet.reclaim(names, notice_s, kill=False)
    time.sleep(min(SETTLED_S, 0.6 * notice_s))
    settled = {name: fleet.journal(name) for name in names}
    time.sleep(max(0.0, deadline - time.monotonic()))
    fleet.read_counts()
    late = [
        request
        for name in names
        for request in set(fleet.journal(name)) - set(settled[name])
    ]
    for name in names:
        fleet.kill(name)
        fleet.note_end(name)
    return {"vms": names, "notice_s": notice_s, "new_work_after": late}


def _notice_s(rest: list[str]) -> float:
    return float(rest[0]) if rest else NOTICE_S


def _planned(part: str) -> Planned:
    at, _, rest = part.partition(":")
    name, *arguments = rest.split(":")
    if name not in _ACTIONS:
        known = ", ".join(sorted(_ACTIONS))
        raise ScheduleInvalid(f"{part}: {name!r} is none of {known}")
    if not arguments:
        raise ScheduleInvalid(f"{part}: what is to be struck is missing")
    try:
        return Planned(float(at), name, arguments)
    except ValueError as error:
        raise ScheduleInvalid(f"{part}: {at!r} is no time") from error
