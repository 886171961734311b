"""Edits of the catalogue that a scenario made, and what they opened."""

import typing

from tests.daemon import followers
from tests.daemon import outages


def put(context: typing.Any, edit: int) -> int:
    """Put an edit in force as an operator does.

    :param edit: its number, which shows in its contents.
    :returns: its version.
    """
    document = followers.edited(edit)
    context.version = context.scene.fleet.put_catalogue(document)
    made(context)[context.version] = edit
    return context.version


def made(context: typing.Any) -> dict[int, int]:
    """The scenario's edits by version."""
    if not hasattr(context, "edits"):
        context.edits = {}
    return context.edits


def check_in_force(context: typing.Any, seconds: float) -> None:
    """The latest edit comes into force everywhere, as a whole."""
    outages.wait_in_force(context.scene, context.version, seconds)
    check_contents(context, made(context)[context.version])


def check_contents(context: typing.Any, edit: int) -> None:
    """Each entry VM takes the customers' keys of an edit."""
    for address in outages.addresses(context.scene).values():
        for customer in followers.PAIR:
            key = followers.key_at(customer, edit)
            assert followers.takes(address, key), (address, customer)
