"""A naive replicator, in which the last answer counts."""

import typing


class NaiveReplicator:
    """Puts every document in force, whatever its version."""

    def __init__(self) -> None:
        self.version = 0
        self.document: dict[str, typing.Any] = {}

    def receive(self, version: int, document: dict[str, typing.Any]) -> None:
        """Handle an answer of the store or a peer."""
        self.version = version
        self.document = document
