"""A serving system for language models and plain services.

The public names for those who build on the package: the settings and the
catalogue with their errors, the clocks, the mailbox of a task and refusals.
"""

from . import catalogue as _catalogue
from . import clock as _clock
from . import errors as _errors
from . import mailbox as _mailbox
from . import refusals as _refusals
from . import settings as _settings

__version__ = "0.1.0"

ApricotleverError = _errors.ApricotleverError
Catalogue = _catalogue.Catalogue
CatalogueInvalid = _catalogue.CatalogueInvalid
Clock = _clock.Clock
ManualClock = _clock.ManualClock
Refusal = _refusals.Refusal
Settings = _settings.Settings
SettingsInvalid = _settings.SettingsInvalid
SystemClock = _clock.SystemClock
Task = _mailbox.Task
load_settings = _settings.load
parse_catalogue = _catalogue.parse

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
