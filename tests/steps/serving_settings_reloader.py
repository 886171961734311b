"""Steps for tests/serving/settings_reloader.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever.serving import settings_reloader


class _Settings:
    def __init__(self, seeds):
        self.seeds = seeds


class _File:
    """A settings file that may be truncated."""

    def __init__(self, seeds):
        self.seeds = seeds

    def read(self):
        """Return the settings in the file.

        :raises ValueError: if the file is truncated.
        """
        if self.seeds is None:
            raise ValueError("settings file is truncated")
        return _Settings(self.seeds)


def _seeds(text):
    return tuple(text.split(", "))


@given('a process that was started with seeds "{seeds}"')
def _started(context, seeds):
    context.file = _File(_seeds(seeds))
    context.applied = []
    context.reloader = settings_reloader.SettingsReloader(
        context.file.read, context.applied.append
    )


@when('its settings file has seeds "{seeds}" and is read {times:d} times')
def _has(context, seeds, times):
    context.file.seeds = _seeds(seeds)
    for _ in range(times):
        context.reloader.reload()


@when("its settings file is truncated and is read {times:d} times")
def _truncated(context, times):
    context.file.seeds = None
    for _ in range(times):
        context.reloader.reload()


@then('the seeds "{seeds}" were applied {times:d} times')
def _applied(context, seeds, times):
    assert context.applied == [_seeds(seeds)] * times, context.applied


@then("no seeds were applied")
def _nothing(context):
    assert not context.applied, context.applied
