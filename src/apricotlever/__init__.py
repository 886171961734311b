"""A serving system for language models and plain services.

The public names for those who build on the package: the settings and the
catalogue with their errors, the clocks, the mailbox of a task and refusals.
"""

import importlib
import typing

__version__ = "0.1.0"

# Loaded when first used: the checker of JSON schemas behind some of them is
# large, and a process that needs none of them would pay for it.
_PUBLIC = {
    "ApricotleverError": (".errors", "ApricotleverError"),
    "Catalogue": (".catalogue", "Catalogue"),
    "CatalogueInvalid": (".catalogue", "CatalogueInvalid"),
    "Clock": (".clock", "Clock"),
    "ManualClock": (".clock", "ManualClock"),
    "Refusal": (".refusals", "Refusal"),
    "Settings": (".settings", "Settings"),
    "SettingsInvalid": (".settings", "SettingsInvalid"),
    "SystemClock": (".clock", "SystemClock"),
    "Task": (".mailbox", "Task"),
    "load_settings": (".settings", "load"),
    "parse_catalogue": (".catalogue", "parse"),
}


def __getattr__(name: str) -> typing.Any:
    if name not in _PUBLIC:
        raise AttributeError(f"module {__name__!r} has no {name!r}")
    module, attribute = _PUBLIC[name]
    return getattr(importlib.import_module(module, __name__), attribute)


__all__ = [
    "ApricotleverError",
    "Catalogue",
    "CatalogueInvalid",
    "Clock",
    "ManualClock",
    "Refusal",
    "Settings",
    "SettingsInvalid",
    "SystemClock",
    "Task",
    "load_settings",
    "parse_catalogue",
]
