"""Authenticates callers and authorises their use of catalogue entries.

A catalogue entry is a model or service that customers can name in requests.
Each request reads the catalogue in force once and passes it on. If it were
read twice, an edit could come in between: the entry would be of one version,
and its class would be looked up in another that may not have it.
"""

import hmac

from .. import refusals
from ..catalogue import model as catalogues
from ..links import caller_server

from . import context as contexts

_BEARER_PREFIX = "bearer "


def current_catalogue(context: contexts.Context) -> catalogues.Catalogue:
    """The catalogue in force, which a request uses until its end.

    :param context: holds the catalogue in force.
    :raises Refusal: when no catalogue is in force yet.
    """
    catalogue = context.catalogue
    if not catalogue.version:
        raise refusals.Refusal(
            refusals.NOT_READY,
            "this entry VM has no catalogue in force yet",
            retry_after_s=1.0,
        )
    return catalogue


def authenticate(
    catalogue: catalogues.Catalogue, call: caller_server.Call
) -> catalogues.Customer:
    """The customer to whom the bearer key of a call belongs.

    :param catalogue: the catalogue that the request uses.
    :param call: the HTTP call.
    :raises Refusal: when the key is missing or unknown.
    """
    customer = catalogue.customer_of(_bearer_key(call))
    if customer is None:
        raise refusals.Refusal(
            refusals.UNAUTHENTICATED, "the bearer key is unknown"
        )
    return customer


def authorized_entry(
    catalogue: catalogues.Catalogue,
    customer: catalogues.Customer,
    name: str,
    kind: str,
) -> catalogues.Entry:
    """An entry that a customer is authorised to use.

    :param catalogue: the catalogue that the request uses.
    :param customer: the customer.
    :param name: the entry's name.
    :param kind: ``KIND_MODEL`` or ``KIND_SERVICE``.
    :raises Refusal: when no such entry exists or the customer may not use it.
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
    """Require the operators' key if the settings hold its hash.

    The operators' pages show what every customer spends, so customers must
    not read them.

    :param context: holds the settings.
    :param call: the HTTP call.
    :raises Refusal: when the key is missing or wrong.
    """
    expected = context.config.operator_key_sha256
    if expected is None:
        return
    key_hash = catalogues.hash_key(_bearer_key(call))
    if not hmac.compare_digest(key_hash, expected):
        raise refusals.Refusal(
            refusals.UNAUTHENTICATED, "the operators' key is required"
        )


def _bearer_key(call: caller_server.Call) -> str:
    value = call.header("Authorization")
    if value[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        raise refusals.Refusal(
            refusals.UNAUTHENTICATED, "a bearer key is required"
        )
    return value[len(_BEARER_PREFIX) :].strip()
