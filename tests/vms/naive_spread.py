"""The spread most would write first: the last answer counts."""

import typing


class NaiveSpread:
    """Takes whatever it is told last."""

    def __init__(self) -> None:
        self.version = 0
        self.document: dict[str, typing.Any] = {}

    def take(self, version: int, document: dict[str, typing.Any]) -> None:
        """An answer of the store or a peer."""
        self.version = version
        self.document = document
