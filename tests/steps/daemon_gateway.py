"""Steps for tests/daemon/gateway.feature."""

from concurrent import futures
import hashlib
import types

from apricotlever.catalogue import model as catalogues
from apricotlever import clock as clocks
from apricotlever.daemon import gateway
from apricotlever.links import caller_server
from apricotlever import refusals
from behave import given
from behave import then
from behave import when

KEY = "key"
CALLS = {
    "model": ("/v1/completions", b'{"model": "entry", "prompt": "p"}'),
    "service": ("/v1/services/entry/things", b""),
}


def _catalogue(kind):
    entry = catalogues.Entry(
        "entry",
        "owner",
        kind,
        "desk",
        "model",
        "1",
        "pool",
        (),
        None,
        catalogues.Limits(),
        catalogues.Capacity(1, 1, 1, "machine"),
    )
    service_class = catalogues.ServiceClass(
        "desk", 0.8, 0.067, 30.0, 1.0, 1, 8
    )
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    customer = catalogues.Customer("alfa", digest, 1.0)
    return catalogues.Catalogue(
        1, {"entry": entry}, {"desk": service_class}, {"alfa": customer}
    )


class _RefusingDispatcher:
    """A dispatcher that refuses every request."""

    def ask(self, message):
        future = futures.Future()
        refusal = refusals.Refusal(
            refusals.OVERLOADED, "full", retry_after_s=1.0
        )
        future.set_exception(refusal)
        return future

    def tell(self, message):
        """Ignore a message."""


class _Context:
    """A context that returns the next of some catalogues at each read."""

    def __init__(self, catalogue_versions):
        self._catalogues = catalogue_versions
        self.clock = clocks.ManualClock()
        self.config = types.SimpleNamespace(vm="vm")
        self.incarnation = 1
        self.dispatcher = _RefusingDispatcher()
        self.metrics = types.SimpleNamespace(count=lambda name, of: None)

    @property
    def catalogue(self):
        return self._catalogues.pop(0)

    def wait_for_reply(self, future, wait_s=0.0):
        return future.result(wait_s)


@given("a gateway whose catalogue is replaced after {count:d} reads")
def _gateway(context, count):
    presence = types.SimpleNamespace(takes_new_work=True)

    def create(kind):
        empty = catalogues.Catalogue(2, {}, {}, {})
        catalogue_versions = [_catalogue(kind)] * count + [empty] * 9
        return gateway.Gateway(_Context(catalogue_versions), presence)

    context.make_gateway = create


@when("a {kind} request reaches a gateway whose dispatcher refuses everything")
def _request(context, kind):
    path, body = CALLS[kind]
    environ = {"HTTP_AUTHORIZATION": f"Bearer {KEY}"}
    call = caller_server.Call("POST", path, {}, environ, body)
    context.refusal = None
    try:
        context.make_gateway(kind)(call)
    except refusals.Refusal as refusal:
        context.refusal = refusal


@then('the gateway refuses the request with "{name}"')
def _refused(context, name):
    assert context.refusal.kind.name == name, context.refusal
