"""Parser for the log lines that :mod:`apricotlever.logs` writes."""

import json
import re
import typing

_KEY_VALUE = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')


class LogLine:
    """One logged event.

    :param time: the time in UTC as logged; sorts chronologically as text.
    :param level: the level in capitals, or an empty string.
    :param event: the name of the event.
    :param vm: the name of the VM that logged it, or an empty string.
    :param fields: the other fields, in the order of the line.
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
    """Parse one log line, skipping any text before its ``time=`` field.

    :returns: the event, or None if the line holds none.
    """
    start = text.find("time=")
    if start < 0:
        return None
    fields = {
        key: _unquoted(value)
        for key, value in _KEY_VALUE.findall(text[start:])
    }
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
    """Parse the log lines of one or several VMs.

    :returns: the events, sorted by time; lines without one are skipped.
    """
    found = [line for text in lines if (line := parse(text)) is not None]
    return sorted(found, key=lambda line: line.time)


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
