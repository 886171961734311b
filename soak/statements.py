"""What the runners of a soak test say of themselves, and who was told.

The runners write one line for each event into one file. Their clock is the
machine's monotonic one, which all processes share.
"""

import enum
import pathlib
import time
import typing


class Kind(enum.Enum):
    """The kinds of events."""

    #: The runner's process has started and says nothing of itself.
    STARTED = "started"
    #: The runner begins to say something else in all its responses.
    SAYS = "says"
    #: A call of a VM has arrived; the value is the call's id.
    ARRIVED = "arrived"
    #: A VM was sent a response that names the runner's limit.
    TOLD_LIMIT = "told_limit"
    #: A VM was turned away and asked for rest.
    ASKED_REST = "asked_rest"
    #: A VM was sent a response that says that the runner leaves.
    TOLD_LEAVING = "told_leaving"
    #: The runner begins to say that it is fragile; the value is the calls a
    #: second that it can reject.
    SAYS_FRAGILE = "says_fragile"
    #: A VM was sent a response that says so.
    TOLD_FRAGILE = "told_fragile"
    #: A call of a VM is rejected for want of room.
    REJECTED = "rejected"
    #: The runner falls over, as it had to reject too many calls.
    FELL = "fell"
    #: It takes connections again.
    GOT_UP = "got_up"
    #: A call of a VM has arrived whose prompt has a bad part, the value.
    GOT_BAD_PART = "got_bad_part"
    #: The runner crashes, as it began to answer on a bad part, the value.
    CRASHED = "crashed"
    #: A call of a VM begins to run; the value is the call's id.
    BEGAN = "began"
    #: It runs no more, finished or not.
    ENDED = "ended"


class Event:
    """One event at a runner.

    :param at: when it happened, on the machine's monotonic clock.
    :param vm: the VM concerned; "-" for none.
    :param value: the limit or the rejections that the runner stands, in calls
        a second, the rest in seconds or the id of a call; "-" for none.
    """

    __slots__ = ("at", "runner", "kind", "vm", "value")

    def __init__(
        self, at: float, runner: str, kind: Kind, vm: str, value: str
    ) -> None:
        self.at = at
        self.runner = runner
        self.kind = kind
        self.vm = vm
        self.value = value


class Record:
    """The file with the events of all runners.

    :param path: the file; it is appended to.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path

    @property
    def path(self) -> pathlib.Path:
        """The file."""
        return self._path

    def write(
        self, runner: str, kind: Kind, vm: str = "-", value: str = "-"
    ) -> None:
        """Append an event."""
        line = f"{time.monotonic():.6f} {runner} {kind.value} {vm} {value}\n"
        with self._path.open("a", encoding="utf-8") as file:
            file.write(line)

    def read(self) -> list[Event]:
        """All events in the order of their times."""
        events, _ = self.read_from(0)
        return sorted(events, key=lambda event: event.at)

    def read_from(self, offset: int) -> tuple[list[Event], int]:
        """The events that were written from an offset on.

        :param offset: in bytes; 0 for all events.
        :returns: the events as written, and the offset of the next one.
        """
        if not self._path.exists():
            return [], offset
        with self._path.open("rb") as file:
            file.seek(offset)
            data = file.read()
        lines = data[: data.rfind(b"\n") + 1]
        return list(map(_parse, lines.splitlines())), offset + len(lines)


def _parse(line: bytes) -> Event:
    at, runner, kind, vm, value = line.decode().split(" ")
    return Event(float(at), runner, Kind(kind), vm, value)


class Disturbance:
    """A time in which a VM or runner was restarted, suspended or cut off.

    :param name: the VM or runner.
    """

    __slots__ = ("name", "since", "until")

    def __init__(self, name: str, since: float, until: float) -> None:
        self.name = name
        self.since = since
        self.until = until


def is_disturbed(
    name: str,
    since: float,
    until: float,
    disturbances: typing.Iterable[Disturbance],
) -> bool:
    """Whether a VM or runner was disturbed at any time of a period."""
    return any(
        each.name == name and each.since <= until and since <= each.until
        for each in disturbances
    )
