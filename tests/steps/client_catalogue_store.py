"""Steps for tests/client/catalogue_store.feature."""

from concurrent import futures

from apricotlever.catalogue import edit
from apricotlever.client import catalogue_store
from apricotlever.client import errors
from apricotlever.links import platform
from behave import given
from behave import then
from behave import when
from standins import object_api

from tests.catalogue import examples
from tests.standins import scenario_server

TIMEOUT_S = 1.0


class _ClientCrash(BaseException):
    """Simulates the end of the client's process."""


class _InterceptedApi(platform.ObjectApi):
    """Runs callbacks before and after the next write of the catalogue.

    :param before: called before the write; None for no call.
    :param after: called after the write; None for no call.
    """

    __slots__ = ("before", "after")

    def __init__(self, url, before=None, after=None):
        super().__init__(url, TIMEOUT_S)
        self.before = before
        self.after = after

    def put(self, name, value, expected_version):
        if name != edit.CURRENT_OBJECT_NAME:
            return super().put(name, value, expected_version)
        before, self.before = self.before, None
        after, self.after = self.after, None
        if before:
            before()
        outcome = super().put(name, value, expected_version)
        if after:
            after()
        return outcome


def _store(context, editor="operator", **callbacks):
    api = _InterceptedApi(context.store_url, **callbacks)
    return catalogue_store.CatalogueStore(api, editor)


def _with_weight(document, customer, weight):
    return examples.changed(document, f"customers.{customer}.weight", weight)


def _overlay(customer, weight):
    value = examples.document()["customers"]["belem"]
    return {"customers": {customer: {**value, "weight": weight}}}


def _set_weight(store, customer, weight, expected=None):
    document = store.current().document
    return store.replace(_with_weight(document, customer, weight), expected)


def _merge(store, overlay):
    return store.update(lambda base: edit.apply_overlay(base, overlay), None)


def _run_edit(context, run):
    context.edit_error = None
    try:
        context.edit_applied = run()
    except (errors.CommandError, _ClientCrash) as error:
        context.edit_error = error


@given("a catalogue store with Procurador's example")
def _store_with_example(context):
    context.store_standin = object_api.ObjectApi()
    address = scenario_server.serve_in_scenario(context, context.store_standin)
    context.store_url = f"http://{address}"
    context.operator_store = _store(context)
    context.operator_store.replace(examples.document(), None)


@given("two operators who read the catalogue")
def _two_operators(context):
    context.read = context.operator_store.current()


@when('the first operator applies {weight:g} as the weight of "{customer}"')
def _apply_first_edit(context, weight, customer):
    _set_weight(_store(context), customer, weight, context.read.version)


@when('the second operator applies {weight:g} as the weight of "{customer}"')
def _apply_second_edit(context, weight, customer):
    document = _with_weight(context.read.document, customer, weight)
    store = _store(context)
    _run_edit(context, lambda: store.replace(document, context.read.version))


@when(
    "the second operator writes {weight:g} as the weight of "
    '"{customer}" unconditionally'
)
def _write_unconditionally(context, weight, customer):
    document = _with_weight(context.read.document, customer, weight)
    api = platform.ObjectApi(context.store_url)
    version = api.get(edit.CURRENT_OBJECT_NAME).unwrap().version
    api.put(edit.CURRENT_OBJECT_NAME, document, version).unwrap()


@then("the second operator's edit is rejected as a conflict")
@then("the operator's edit is rejected as a conflict")
def _check_conflict(context):
    assert isinstance(
        context.edit_error, errors.EditConflict
    ), context.edit_error


@then("the rejected edit shows that it would change {field} back")
def _check_differences(context, field):
    changes = {c.field: c for c in context.edit_error.changes}
    assert (changes[field].before, changes[field].after) == (5.0, 3.0)


@then('the weight of "{customer}" in force is {weight:g}')
def _check_weight(context, customer, weight):
    document = _store(context).current().document
    assert document["customers"][customer]["weight"] == weight


@when("{count:d} operators merge one customer each at the same time")
def _merge_concurrently(context, count):
    def merge(i):
        overlay = _overlay(f"c{i}", 1.0)
        overlay["customers"][f"c{i}"]["key_sha256"] = f"{i:064x}"
        for _ in range(count):
            try:
                return _merge(_store(context, f"op-{i}"), overlay)
            except errors.EditConflict:
                continue

    with futures.ThreadPoolExecutor(count) as pool:
        list(pool.map(merge, range(count)))


@then("all {count:d} customers are in force")
def _check_customers(context, count):
    customers = context.operator_store.current().document["customers"]
    assert {f"c{i}" for i in range(count)} <= set(customers)


@then("the catalogue history names the editor of each of the {count:d} edits")
def _check_editors(context, count):
    history = context.operator_store.history()
    editors = [stamp.by for stamp in history]
    assert sorted(editors) == sorted(
        ["operator", *(f"op-{i}" for i in range(count))]
    )


@given(
    'another operator sets the weight of "{customer}" during the next write'
)
def _edit_during_write(context, customer):
    other = _store(context, "other")
    context.operator_store = _store(
        context, before=lambda: _set_weight(other, customer, 9.0)
    )


@when('an operator merges another weight of "{customer}"')
def _merge_weight(context, customer):
    overlay = _overlay(customer, 8.0)
    _run_edit(context, lambda: _merge(context.operator_store, overlay))


@given("the store loses the response to the edit and another edit follows")
def _lose_response_then_edit(context):
    faults = context.store_standin.faults
    other = _store(context, "other")
    context.operator_store = _store(
        context,
        before=lambda: faults.set({"lose_answer": 1}),
        after=lambda: _set_weight(other, "alfama", 2.0),
    )


@given("the store loses the response to the edit and is then down")
def _lose_response_then_down(context):
    faults = context.store_standin.faults
    context.operator_store = _store(
        context,
        before=lambda: faults.set({"lose_answer": 1}),
        after=lambda: faults.set({"down": True}),
    )


@given("the client crashes between its two writes")
def _crash_between_writes(context):
    def crash():
        raise _ClientCrash

    context.operator_store = _store(context, before=crash)


@when('an operator applies {weight:g} as the weight of "{customer}"')
def _apply_weight(context, weight, customer):
    store = context.operator_store
    _run_edit(context, lambda: _set_weight(store, customer, weight))


@then("the edit is reported with its own version")
def _check_edit_version(context):
    assert context.edit_error is None, context.edit_error
    store = _store(context)
    version = store.version(context.edit_applied.version)
    assert version.stamp.by == "operator"
    assert version.document["customers"]["belem"]["weight"] == 5.0
    assert store.current().stamp.by == "other"


@then("the edit's outcome is unknown")
def _check_outcome_unknown(context):
    assert isinstance(context.edit_error, errors.OutcomeUnknown)


@then('the weight of "{customer}" in force is {weight:g} once the store is up')
def _check_weight_after_recovery(context, customer, weight):
    context.store_standin.faults.set({"down": False})
    _check_weight(context, customer, weight)


@then(
    'the catalogue history shows the weights {a:g} and {b:g} of "{customer}"'
)
def _check_history_weights(context, a, b, customer):
    store = _store(context)
    documents = [store.version(s.version).document for s in store.history()]
    weights = [d["customers"][customer]["weight"] for d in documents]
    assert weights == [a, b], weights


@when('an operator applies {count:d} weights of "{customer}"')
def _apply_weights(context, count, customer):
    for i in range(count):
        _set_weight(context.operator_store, customer, 10.0 + i)


@then("the store holds {count:d} objects of catalogue history")
def _check_history_size(context, count):
    api = platform.ObjectApi(context.store_url)
    kept = api.list(edit.HISTORY_PREFIX).unwrap().items
    assert len(kept) == count, len(kept)
