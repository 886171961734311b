"""Reads log lines back."""

import json
import re
import typing

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')


class LogLine:
    """One event as it was logged.

    :param time: as logged, in UTC; sorts as text.
    :param fields: all but time, level, event and vm, in their order.
    """

    __slots__ = ("time", "level", "event", "vm", "fields")

    def __init__(
        self,
        time: str,
        level: str,
        event: str,
        vm: str,
        fields: dict[str, str],
    ) -> None:
        self.time = time
        self.level = level
        self.event = event
        self.vm = vm
        self.fields = fields


def parse(text: str) -> LogLine | None:
    """Read one line; what stands before its time is skipped.

    :returns: None for a line that is no event.
    """
    start = text.find("time=")
    if start < 0:
        return None
    fields = {key: _plain(value) for key, value in _PAIR.findall(text[start:])}
    if "event" not in fields:
        return None
    return LogLine(
        fields.pop("time"),
        fields.pop("level", ""),
        fields.pop("event"),
        fields.pop("vm", ""),
        fields,
    )


def parse_all(lines: typing.Iterable[str]) -> list[LogLine]:
    """Read many lines, of one VM or of several, into time order."""
    found = [line for text in lines if (line := parse(text)) is not None]
    return sorted(found, key=lambda line: line.time)


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
