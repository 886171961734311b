"""What the ledger decides on a keyed call, and results of claiming its key.

The worker that handles a call asks the ledger, which returns one of the
decisions below. A key chosen by the caller must be claimed in the store
first: :class:`ClaimKey` asks for the claim, and one of the results answers.
"""

import enum
import typing


class Executed(enum.StrEnum):
    """Whether the upstream ran the call, as far as the system can tell.

    ``NO`` guarantees that no upstream has seen a call under this key. ``YES``
    means that the call ran and was answered.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class KeyRefusalReason(enum.StrEnum):
    """The reason for refusing a call with an idempotency key."""

    MALFORMED = "key_malformed"
    NOT_YOURS = "key_of_another_customer"
    CONFLICT = "key_used_for_another_call"
    EXPIRED = "key_expired"
    FORGOTTEN = "key_forgotten"
    OWNER_GONE = "key_owner_gone"
    MOVING = "key_owner_moving"
    LEAVING = "vm_leaving"
    LOST = "outcome_unknown"
    ANSWER_GONE = "answer_no_longer_kept"
    FULL = "ledger_full"
    STORE_DOWN = "store_unavailable"
    CLAIMS_FULL = "claims_full"


class VmIncarnation:
    """One process of an entry VM, such as the owner of a key.

    A restarted process is a new incarnation of its VM: it does not have the
    ledger of the old one.

    :param vm: the name of the VM.
    :param incarnation: start time of its process, in ms since the Unix
        epoch.
    """

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, VmIncarnation)
            and self.vm == other.vm
            and self.incarnation == other.incarnation
        )

    def __hash__(self) -> int:
        return hash((self.vm, self.incarnation))

    def __repr__(self) -> str:
        return f"Owner({self.vm}, {self.incarnation})"


class Answer:
    """A complete answer of an upstream, kept to be replayed to retries."""

    __slots__ = ("status", "headers", "body")

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def size_bytes(self) -> int:
        """Estimated memory of the answer."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )


class RunCall:
    """Decision: run the call and report its outcome to the ledger.

    :param token: identifies this run in the reports.
    """

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class ReplayAnswer:
    """Decision: return the kept answer of the earlier run."""

    __slots__ = ("answer",)

    def __init__(self, answer: Answer) -> None:
        self.answer = answer


class WaitForRun:
    """Decision: a run of the key is in progress; retry when it ends.

    :param token: the token of that run.
    """

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class ForwardCall:
    """Decision: forward the call to the VM whose ledger decides on its key.

    :param vm: the name of that VM.
    :param incarnation: its incarnation, which must not have changed since.
    """

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation


class RefuseCall:
    """Decision: refuse the call without running it.

    :param executed: what is known about all calls made under this key.
    :param retry_after_s: seconds after which a retry with the same key may
        succeed, or None.
    """

    __slots__ = ("reason", "executed", "retry_after_s")

    def __init__(
        self,
        reason: KeyRefusalReason,
        executed: Executed,
        retry_after_s: float | None = None,
    ) -> None:
        self.reason = reason
        self.executed = executed
        self.retry_after_s = retry_after_s


class ClaimKey:
    """Decision: claim a key chosen by the caller, then report the result.

    :param token: identifies the run; the result carries the same token.
    :param digest: digest of the call.
    :param nonce: identifies this claim, so that the ledger recognizes its own
        claim after the answer to the write was lost.
    :param owner: the incarnation that claims the key.
    """

    __slots__ = ("token", "customer", "key", "digest", "nonce", "owner")

    def __init__(
        self,
        token: int,
        customer: str,
        key: str,
        digest: str,
        nonce: str,
        owner: VmIncarnation,
    ) -> None:
        self.token = token
        self.customer = customer
        self.key = key
        self.digest = digest
        self.nonce = nonce
        self.owner = owner


class ClaimWon:
    """Result: the store holds this ledger's claim, so it may run the call.

    :param token: the token of the :class:`ClaimKey`, as in all results.
    """

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class ClaimHeld:
    """Result: the store holds another claim of the key for the same call.

    :param owner: the incarnation that holds the other claim.
    """

    __slots__ = ("token", "owner")

    def __init__(self, token: int, owner: VmIncarnation) -> None:
        self.token = token
        self.owner = owner


class ClaimConflict:
    """Result: the store holds a claim of the key for a different call."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class ClaimFailed:
    """Result: the key could not be claimed.

    :param reason: why, for the refusal of the call.
    :param maybe_written: whether the store may hold the claim nevertheless.
    """

    __slots__ = ("token", "reason", "maybe_written")

    def __init__(
        self, token: int, reason: KeyRefusalReason, maybe_written: bool
    ) -> None:
        self.token = token
        self.reason = reason
        self.maybe_written = maybe_written


KeyDecision: typing.TypeAlias = (
    RunCall | ReplayAnswer | WaitForRun | ForwardCall | RefuseCall | ClaimKey
)
ClaimResult: typing.TypeAlias = (
    ClaimWon | ClaimHeld | ClaimConflict | ClaimFailed
)
