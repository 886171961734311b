"""What the ledger is told and what it answers, as typed values."""

import enum
import typing


class Executed(enum.StrEnum):
    """Whether the upstream ran the call, as far as the system can know.

    ``NO`` is a promise: no upstream has seen a call under this key. ``YES``
    says that it ran and was answered.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a keyed call is refused."""

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


class Owner:
    """One incarnation of one entry VM."""

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Owner)
            and self.vm == other.vm
            and self.incarnation == other.incarnation
        )

    def __hash__(self) -> int:
        return hash((self.vm, self.incarnation))

    def __repr__(self) -> str:
        return f"Owner({self.vm}, {self.incarnation})"


class Answer:
    """A whole answer of an upstream, fit to be replayed."""

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
        """An estimate of the memory that keeping it takes."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )


class Run:
    """Run the call; report on it under the token."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class Replay:
    """Give the kept answer again."""

    __slots__ = ("answer",)

    def __init__(self, answer: Answer) -> None:
        self.answer = answer


class Pending:
    """Another exchange is busy: begin again when the token is settled."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class Forward:
    """Only this incarnation's ledger may run or answer the call."""

    __slots__ = ("vm", "incarnation")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation


class Refuse:
    """Don't run the call.

    :param executed: what is known of every call made under this key.
    :param retry_after_s: when the same key may fare better, or None.
    """

    __slots__ = ("reason", "executed", "retry_after_s")

    def __init__(
        self,
        reason: Reason,
        executed: Executed,
        retry_after_s: float | None = None,
    ) -> None:
        self.reason = reason
        self.executed = executed
        self.retry_after_s = retry_after_s


class Claim:
    """Claim a key that the caller made up, then report under the token.

    :param nonce: names this claim, so that the ledger knows its own claim
        again after the answer to the write was lost.
    """

    __slots__ = ("token", "customer", "key", "digest", "nonce", "owner")

    def __init__(
        self,
        token: int,
        customer: str,
        key: str,
        digest: str,
        nonce: str,
        owner: Owner,
    ) -> None:
        self.token = token
        self.customer = customer
        self.key = key
        self.digest = digest
        self.nonce = nonce
        self.owner = owner


class Won:
    """The store holds the claim."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class Held:
    """The store holds an earlier claim of the same call."""

    __slots__ = ("token", "owner")

    def __init__(self, token: int, owner: Owner) -> None:
        self.token = token
        self.owner = owner


class Conflicting:
    """The store holds a claim of the key for a different call."""

    __slots__ = ("token",)

    def __init__(self, token: int) -> None:
        self.token = token


class NotClaimed:
    """The claim could not be made.

    :param maybe_written: the store may hold the claim all the same.
    """

    __slots__ = ("token", "reason", "maybe_written")

    def __init__(
        self, token: int, reason: Reason, maybe_written: bool
    ) -> None:
        self.token = token
        self.reason = reason
        self.maybe_written = maybe_written


Decision: typing.TypeAlias = Run | Replay | Pending | Forward | Refuse | Claim
ClaimResult: typing.TypeAlias = Won | Held | Conflicting | NotClaimed
