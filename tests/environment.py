"""Behave hooks that run before and after each scenario."""

import typing


def before_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """Give each scenario a list of functions to call at its end."""
    context.closers = []


def after_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """Close the scenario's resources, the newest first."""
    for close in reversed(context.closers):
        close()
