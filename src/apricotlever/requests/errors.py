"""Exceptions raised by the ledger of idempotency keys and its handover.

The ledger decides which calls a VM may run; the handover passes it on to
another VM when its own VM leaves.
"""

from .. import errors


class RequestsError(errors.ApricotleverError):
    """Base class of the exceptions in this package."""


class LedgerFrozen(RequestsError):
    """The ledger mints no more keys because its VM is leaving.

    :param vm: the name of the leaving VM.
    """

    def __init__(self, vm: str) -> None:
        super().__init__(f"VM {vm} is leaving and mints no more keys")


class HandoverInvalid(RequestsError):
    """A part of a handover can't be decoded or is inconsistent.

    :param problem: what is wrong with the part, for the message.
    """

    def __init__(self, problem: str) -> None:
        super().__init__(f"handover refused: {problem}")
