"""Makes edits of the catalogue and checks that they are in force."""

import typing

from tests.daemon import followers
from tests.daemon import outages


def store_edit(context: typing.Any, edit: int) -> int:
    """Store an edited catalogue, as an operator does.

    :param edit: number of the edit, which determines its contents.
    :returns: version of the stored catalogue.
    """
    document = followers.edited_catalogue(edit)
    context.version = context.scene.fleet.put_catalogue(document)
    edits_by_version(context)[context.version] = edit
    return context.version


def edits_by_version(context: typing.Any) -> dict[int, int]:
    """The numbers of the scenario's edits, by catalogue version."""
    if not hasattr(context, "edits"):
        context.edits = {}
    return context.edits


def check_in_force(context: typing.Any, seconds: float) -> None:
    """Check that the latest edit comes into force completely at each VM.

    :param seconds: the time limit.
    """
    outages.wait_in_force(context.scene, context.version, seconds)
    check_contents(context, edits_by_version(context)[context.version])


def check_contents(context: typing.Any, edit: int) -> None:
    """Check that each entry VM accepts the customers' keys of an edit."""
    for address in outages.addresses(context.scene).values():
        for customer in followers.EDITED_CUSTOMERS:
            key = followers.bearer_key(customer, edit)
            assert followers.accepts_key(address, key), (address, customer)
