"""Modes of the parts of the request path that operators can turn off.

A part that only observes makes its decisions, counts and logs them, and
changes nothing. An operator can so compare its decisions with those in force.
"""

import enum
import typing

#: Where the modes stand in a settings file, for error messages.
SETTING = "modes"


class Mode(enum.Enum):
    """Whether a part decides."""

    #: The part does nothing.
    OFF = "off"
    #: The part decides and logs, but its decisions have no effect.
    OBSERVE = "observe"
    #: The part's decisions take effect.
    ON = "on"


class ModesInvalid(ValueError):
    """The modes in the settings name an unknown part or mode.

    :param path: the invalid field, such as ``modes.slots``.
    :param allowed: the allowed names.
    """

    def __init__(self, path: str, allowed: typing.Iterable[str]) -> None:
        super().__init__(f"{path}: allowed are {', '.join(allowed)}")
        self.path = path


class PartModes:
    """The mode of each part.

    :param performance: learning how fast each runner is, and placing by it.
    :param sizing: computing the number of runners from their speed; it
        observes unless the settings turn it on, as fewer runners leave less
        for the moments in which many are lost.
    :param priorities: priorities at contended engines, and calls that find no
        runner.
    :param slots: granting the slots of plain services.
    :param returns: times at which refused calls find room; off unless the
        settings turn it on, as units that nobody comes back for are missing
        to new calls.
    :param notices: telling of leaving runners with every message to peers.
    """

    __slots__ = (
        "performance",
        "sizing",
        "priorities",
        "slots",
        "returns",
        "notices",
    )

    def __init__(
        self,
        performance: Mode = Mode.ON,
        sizing: Mode = Mode.OBSERVE,
        priorities: Mode = Mode.ON,
        slots: Mode = Mode.ON,
        returns: Mode = Mode.OFF,
        notices: Mode = Mode.ON,
    ) -> None:
        self.performance = performance
        self.sizing = sizing
        self.priorities = priorities
        self.slots = slots
        self.returns = returns
        self.notices = notices

    @classmethod
    def from_setting(cls, value: typing.Any) -> "PartModes":
        """Read the modes from their object in the settings.

        :param value: a mode by part; parts that it doesn't name have their
            defaults. None if the settings have no modes.
        :raises ModesInvalid: if a part or a mode is unknown.
        """
        if value is None:
            return cls()
        if not isinstance(value, dict):
            raise ModesInvalid(SETTING, cls.__slots__)
        names = {mode.value: mode for mode in Mode}
        for part, name in value.items():
            if part not in cls.__slots__:
                raise ModesInvalid(f"{SETTING}.{part}", cls.__slots__)
            if not isinstance(name, str) or name not in names:
                raise ModesInvalid(f"{SETTING}.{part}", names)
        return cls(**{part: names[name] for part, name in value.items()})
