"""A writer that retries ambiguous writes without reading them back."""

import typing

from returns import result

from apricotlever.links import platform

ATTEMPTS = 3


def put(
    objects: platform.ObjectApi,
    name: str,
    value: typing.Any,
    expected_version: int | None,
) -> platform.Outcome[platform.PlatformObject]:
    """Write, and repeat an ambiguous write without reading the object."""
    for _ in range(ATTEMPTS):
        outcome = objects.put(name, value, expected_version)
        match outcome:
            case result.Failure(platform.Ambiguous()):
                continue
        return outcome
    return outcome
