"""Hooks that behave runs around the scenarios."""

import typing


def before_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """Give each scenario a list of things to close at its end."""
    context.closers = []


def after_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """Close what the scenario opened, the newest first."""
    for close in reversed(context.closers):
        close()
