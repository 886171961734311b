"""Fault settings of a stand-in: a checked, shared set of named values."""

import random
import threading
import typing

SEED = 11


class UnknownFault(Exception):
    """A fault that the stand-in does not have was set."""


class Faults:
    """Named fault settings, read by handlers and set by /control/faults.

    :param defaults: each fault with its value after a reset.
    """

    __slots__ = ("_defaults", "_values", "_lock", "_rng", "_changed")

    def __init__(self, defaults: dict[str, typing.Any]) -> None:
        self._defaults = dict(defaults)
        self._values = dict(defaults)
        self._lock = threading.Lock()
        self._rng = random.Random(SEED)
        self._changed: list[typing.Callable[[], None]] = []

    @property
    def values(self) -> dict[str, typing.Any]:
        """A copy of the settings in force."""
        return dict(self._values)

    def __getitem__(self, name: str) -> typing.Any:
        return self._values[name]

    def on_change(self, listener: typing.Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._changed.append(listener)

    def set(self, values: dict[str, typing.Any]) -> None:
        """Merge new settings.

        :raises UnknownFault: for a name that this stand-in lacks, since a
            misspelt fault would make its test pass without the fault.
        """
        unknown = sorted(set(values) - set(self._defaults))
        if unknown:
            raise UnknownFault(f"no such faults: {', '.join(unknown)}")
        with self._lock:
            self._values.update(values)
        self._tell()

    def reset(self) -> None:
        """Go back to the values given at construction."""
        with self._lock:
            self._values = dict(self._defaults)
            self._rng = random.Random(SEED)
        self._tell()

    def take(self, name: str) -> bool:
        """Use up one occurrence of a counted fault.

        :param name: a fault whose value is True for always, or how many
            of the next calls it hits.
        """
        with self._lock:
            left = self._values[name]
            if left is True:
                return True
            if not left:
                return False
            self._values[name] = left - 1
            return True

    def chance(self, name: str) -> bool:
        """Draw with the probability that the fault holds."""
        with self._lock:
            return self._rng.random() < self._values[name]

    def _tell(self) -> None:
        for listener in self._changed:
            listener()
