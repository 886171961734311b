"""Steps for tests/serving/reloading.feature."""

from behave import given
from behave import then
from behave import when

from apricotlever.serving import reloading


class _Settings:
    def __init__(self, seeds):
        self.seeds = seeds


class _File:
    """A settings file that may be cut short."""

    def __init__(self, seeds):
        self.seeds = seeds

    def read(self):
        """Its settings.

        :raises ValueError: when it is cut short.
        """
        if self.seeds is None:
            raise ValueError("cut short")
        return _Settings(self.seeds)


def _seeds(text):
    return tuple(text.split(", "))


@given('a process that was started with seeds "{seeds}"')
def _started(context, seeds):
    context.file = _File(_seeds(seeds))
    context.taken = []
    context.reloading = reloading.SettingsReloader(
        context.file.read, context.taken.append
    )


@when('its file says seeds "{seeds}" and is read {times:d} times')
def _says(context, seeds, times):
    context.file.seeds = _seeds(seeds)
    for _ in range(times):
        context.reloading.reload()


@when("its file is cut short and is read {times:d} times")
def _cut_short(context, times):
    context.file.seeds = None
    for _ in range(times):
        context.reloading.reload()


@then('it took over "{seeds}" {times:d} times')
def _took(context, seeds, times):
    assert context.taken == [_seeds(seeds)] * times, context.taken


@then("it took over nothing")
def _nothing(context):
    assert not context.taken, context.taken
