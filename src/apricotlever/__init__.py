"""A serving system for language models and plain services.

The module exports the public API: settings and catalogue with their errors,
clocks, the base class of tasks and refusals.
"""

import importlib
import typing

__version__ = "0.1.0"

# The modules are imported on first use: some of them import a large JSON
# schema validator, which would cost memory and start-up time in a process
# that does not need it.
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
