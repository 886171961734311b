"""Validated fault settings, shared by the threads of a stand-in."""

import random
import threading
import typing

RANDOM_SEED = 11


class UnknownFault(Exception):
    """A setting was given for a fault that the stand-in does not have."""


class FaultSettings:
    """Named fault settings, read by handlers and set by /control/faults.

    :param defaults: initial value of each fault, restored by a reset.
    """

    __slots__ = ("_defaults", "_values", "_lock", "_random", "_listeners")

    def __init__(self, defaults: dict[str, typing.Any]) -> None:
        self._defaults = dict(defaults)
        self._values = dict(defaults)
        self._lock = threading.Lock()
        self._random = random.Random(RANDOM_SEED)
        self._listeners: list[typing.Callable[[], None]] = []

    @property
    def values(self) -> dict[str, typing.Any]:
        """A copy of the current settings."""
        return dict(self._values)

    def __getitem__(self, name: str) -> typing.Any:
        return self._values[name]

    def add_listener(self, listener: typing.Callable[[], None]) -> None:
        """Register a listener that is called after each change or reset."""
        self._listeners.append(listener)

    def set(self, values: dict[str, typing.Any]) -> None:
        """Update the given settings and keep the others.

        :raises UnknownFault: for a name that this stand-in does not have. A
            misspelt name would otherwise let a test pass without its fault.
        """
        unknown = sorted(set(values) - set(self._defaults))
        if unknown:
            raise UnknownFault(f"unknown faults: {', '.join(unknown)}")
        with self._lock:
            self._values.update(values)
        self._notify_listeners()

    def reset(self) -> None:
        """Restore the default values and the random seed."""
        with self._lock:
            self._values = dict(self._defaults)
            self._random = random.Random(RANDOM_SEED)
        self._notify_listeners()

    def consume(self, name: str) -> bool:
        """Decide whether a counted fault applies to this call.

        A finite count is reduced by one each time the fault applies.

        :param name: a fault whose value is True for every call, or the
            number of calls that it still applies to.
        :returns: whether the fault applies.
        """
        with self._lock:
            remaining = self._values[name]
            if remaining is True:
                return True
            if not remaining:
                return False
            self._values[name] = remaining - 1
            return True

    def draw(self, name: str) -> bool:
        """Return True at random, with the fault's value as probability."""
        with self._lock:
            return self._random.random() < self._values[name]

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()
