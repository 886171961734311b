"""Who calls, and what the catalogue opens to that customer.

A request reads the catalogue in force once and passes it on. An edit may
come between any two readings: the entry would then be of one version and
its class be looked for in another, which may have none of that name.
"""

import hmac

from .. import refusals
from ..catalogue import model as catalogues
from ..links import caller_server

from . import context as contexts

_BEARER = "bearer "


def catalogue_of(context: contexts.Context) -> catalogues.Catalogue:
    """The catalogue that a request is held to from beginning to end.

    :param context: knows the catalogue in force.
    :raises Refusal: when none is in force yet.
    """
    catalogue = context.catalogue
    if not catalogue.version:
        raise refusals.Refusal(
            refusals.NOT_READY,
            "no catalogue is in force here yet",
            retry_after_s=1.0,
        )
    return catalogue


def customer_of(
    catalogue: catalogues.Catalogue, call: caller_server.Call
) -> catalogues.Customer:
    """The customer whose key a call brought.

    :param catalogue: that of the request.
    :param call: what the caller sent.
    :raises Refusal: when there is no key or nobody has it.
    """
    customer = catalogue.customer_of(_bearer_key(call))
    if customer is None:
        raise refusals.Refusal(
            refusals.UNAUTHENTICATED, "the bearer key is not known"
        )
    return customer


def entry_of(
    catalogue: catalogues.Catalogue,
    customer: catalogues.Customer,
    name: str,
    kind: str,
) -> catalogues.Entry:
    """An entry that a customer may use.

    :param catalogue: that of the request.
    :param customer: who asks.
    :param name: the entry's name.
    :param kind: ``KIND_MODEL`` or ``KIND_SERVICE``.
    :raises Refusal: when there is no such entry, or not for the customer.
    """
    entry = catalogue.entries.get(name)
    if entry is None or entry.kind != kind:
        raise refusals.Refusal(
            refusals.NOT_FOUND, f"no {kind} entry has this name"
        )
    if not entry.allows(customer.name):
        raise refusals.Refusal(
            refusals.FORBIDDEN, "the entry is not open to this customer"
        )
    return entry


def check_operator(
    context: contexts.Context, call: caller_server.Call
) -> None:
    """Keep operators' pages from others, when the settings name a key.

    They show what every customer spends.

    :param context: knows the settings.
    :param call: what came in.
    :raises Refusal: when the key is missing or wrong.
    """
    wanted = context.config.operator_key_sha256
    if wanted is None:
        return
    given = catalogues.hash_key(_bearer_key(call))
    if not hmac.compare_digest(given, wanted):
        raise refusals.Refusal(
            refusals.UNAUTHENTICATED, "the operators' key is wanted"
        )


def _bearer_key(call: caller_server.Call) -> str:
    given = call.header("Authorization")
    if given[: len(_BEARER)].lower() != _BEARER:
        raise refusals.Refusal(
            refusals.UNAUTHENTICATED, "a bearer key is wanted"
        )
    return given[len(_BEARER) :].strip()
