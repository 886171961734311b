"""Steps for tests/catalogue/difference.feature."""

import json

from apricotlever.catalogue import difference
from behave import then
import hypothesis
from hypothesis import strategies

NAMES = strategies.sampled_from(["a", "b", "c"])
DOCUMENTS = strategies.dictionaries(
    NAMES,
    strategies.recursive(
        strategies.integers(0, 3),
        lambda inner: strategies.dictionaries(NAMES, inner, max_size=3),
        max_leaves=8,
    ),
    max_size=3,
)


def _apply(document, change):
    *parents, last = change.field.split(".")
    place = document
    for name in parents:
        place = place[name]
    if change.kind == difference.REMOVED:
        assert place.pop(last) == change.before
    else:
        place[last] = change.after


@then("applying a catalogue difference gives the other document")
def _check(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(DOCUMENTS, DOCUMENTS)
    def check(before, after):
        result = json.loads(json.dumps(before))
        found = difference.changes(before, after)
        for change in found:
            _apply(result, change)
        assert result == after
        assert bool(found) == (before != after)

    check()
