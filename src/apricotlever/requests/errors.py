"""Errors of the layer that keeps requests, keys and their handover."""

from .. import errors


class RequestsError(errors.ApricotleverError):
    """The root of what this package raises."""


class LedgerFrozen(RequestsError):
    """The ledger belongs to a leaving VM and mints no more keys."""

    def __init__(self, vm: str) -> None:
        super().__init__(f"VM {vm} is leaving and mints no more keys")


class HandoverInvalid(RequestsError):
    """A part of a handover can't be read or doesn't fit the others."""

    def __init__(self, problem: str) -> None:
        super().__init__(f"handover refused: {problem}")
