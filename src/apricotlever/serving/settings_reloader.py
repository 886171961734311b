"""Reloads the settings of a process while it runs.

Only changes of the seeds, the addresses of some other VMs, take effect.
"""

import typing

from .. import logs

from . import settings

#: Time between two reads of the settings file, in seconds. The file may change
#: without a signal to the process. A VM that starts between two reads is found
#: through other VMs anyway.
RELOAD_INTERVAL_S = 5.0


class SettingsReloader:
    """Reads the settings at the start, and later the seeds again.

    The seeds are peer addresses by which this VM finds the fleet.

    :param read: reads the settings file.
    :param on_seeds: called with changed seeds. They are the only setting that
        may change without a restart of the process.
    :raises OSError: if the file can't be read at the start.
    :raises ValueError: if the file is invalid at the start.
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
        """The settings as read at the start."""
        return self._settings

    def reload(self) -> None:
        """Read the settings file again, and apply changed seeds.

        A file that is invalid or can't be read changes nothing.
        """
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
        """Reload the file, which may have changed without a signal."""
        self.reload()
