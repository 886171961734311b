"""Steps for tests/catalogue/model.feature."""

from apricotlever import catalogue
from behave import then

from tests.catalogue import examples


def _parsed(path=examples.BOTH):
    return catalogue.parse(examples.document(path), 1)


@then("the catalogue's registo-app call {method} {path} is {kind}")
def _kind(context, method, path, kind):
    entry = _parsed().entries["registo-app"]
    expected = kind == "non-idempotent"
    assert entry.is_non_idempotent(method, path) == expected


@then('the catalogue key "{key}" belongs to "{name}"')
def _owner(context, key, name):
    assert _parsed().customer_of(key).name == name


@then('the catalogue key "{key}" belongs to nobody')
def _unknown_key(context, key):
    assert _parsed().customer_of(key) is None


@then('the catalogue key "" belongs to nobody')
def _empty_key(context):
    _unknown_key(context, "")


@then('the catalogue entry "{name}" allows "{one}" and not "{other}"')
def _allows_one(context, name, one, other):
    entry = _parsed().entries[name]
    assert entry.allows(one) and not entry.allows(other)


@then('the catalogue entry "{name}" allows "{one}" and "{other}"')
def _allows_all(context, name, one, other):
    entry = _parsed().entries[name]
    assert entry.allows(one) and entry.allows(other)


@then("parsing and serializing the example catalogues changes nothing")
def _round_trip(context):
    paths = (examples.PROCURADOR, examples.CONSORZIO, examples.BOTH)
    for path in paths:
        document = examples.document(path)
        for entry in document["entries"].values():
            if "customers" in entry:
                entry["customers"].sort()
        written = catalogue.parse(document, 1).document
        assert written == document
