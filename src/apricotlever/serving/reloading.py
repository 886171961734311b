"""The settings of a process, read again while it runs."""

import typing

from .. import logs

from . import settings

#: Between two looks at the settings file, in seconds. It may change without
#: a signal, and a VM that starts meanwhile is found by others anyway.
RELOAD_INTERVAL_S = 5.0


class SettingsReloader:
    """Reads the settings at the start, and what may change in one life.

    :param read: reads the settings file.
    :param on_seeds: takes over other seeds, the only setting that may change
        without a new process.
    :raises OSError: when the file can't be read at the start.
    :raises ValueError: when it is invalid then.
    """

    __slots__ = ("_on_seeds", "_read", "_seeds", "_settings")

    def __init__(
        self,
        read: settings.SettingsReader,
        on_seeds: typing.Callable[[typing.Sequence[str]], None],
    ) -> None:
        self._read = read
        self._on_seeds = on_seeds
        self._settings = read()
        self._seeds = self._settings.seeds

    @property
    def settings(self) -> settings.NodeSettings:
        """As they were at the start."""
        return self._settings

    def reload(self) -> None:
        """Read the file again; one that is invalid changes nothing."""
        try:
            seeds = self._read().seeds
        except (OSError, ValueError, KeyError) as error:
            logs.event("settings_invalid", error=repr(error))
            return
        if seeds != self._seeds:
            self._seeds = seeds
            self._on_seeds(seeds)
            logs.event("reloaded", seeds=len(seeds))

    async def poll(self) -> None:
        """Read a file that may have changed without a signal."""
        self.reload()
