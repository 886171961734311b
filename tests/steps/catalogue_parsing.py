"""Steps for tests/catalogue/parsing.feature."""

from apricotlever import catalogue
from behave import then
import hypothesis
from hypothesis import strategies

from tests.catalogue import examples

ANY = strategies.sampled_from
EDITS = strategies.one_of(
    strategies.tuples(
        ANY(["customers.belem.weight", "customers.alfama.weight"]),
        ANY([1.0, 2, 0, "heavy", True]),
    ),
    strategies.tuples(
        ANY(["classes.register.queue_s", "classes.register.priority"]),
        ANY([1, 1.0, 9, 10, None]),
    ),
    strategies.tuples(
        ANY(["entries.registo-app.class", "entries.mandate-check.class"]),
        ANY(["register", "notary-desk", "none"]),
    ),
    strategies.tuples(
        ANY(["entries.mandate-check.customers", "customers", "edit"]),
        ANY([["belem"], [], ["nobody"], {}, {"id": "x"}]),
    ),
)


def _outcome(parse, document):
    try:
        return parse(document, 1).document
    except catalogue.CatalogueInvalid as error:
        return error.field


@then("parsing catalogues incrementally equals parsing each from scratch")
def _check(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.lists(EDITS, max_size=6))
    def check(edits):
        parser = catalogue.Parser()
        document = catalogue.filled_in(examples.document())
        assert parser.parse(document, 1).document == document
        for field, value in edits:
            changed = examples.changed(document, field, value)
            in_turn = _outcome(parser.parse, changed)
            assert in_turn == _outcome(catalogue.parse, changed)
            document = changed if isinstance(in_turn, dict) else document

    check()
