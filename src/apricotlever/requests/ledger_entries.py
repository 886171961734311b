"""The ledger's bounded table of keys, their run states and kept answers.

An entry is what a ledger holds of one idempotency key: the call that the key
stands for, the state of its run, and the answer for retries.

Dropping an entry must never let its key run again. When the entry of a minted
key is dropped, its issuer refuses all unseen keys minted up to that time. A
dropped entry of a key chosen by the caller still has its claim in the store.
"""

import collections
import enum
import heapq
import itertools

from . import ledger_messages


class RunState(enum.StrEnum):
    """The state of a key's call on the way to its outcome.

    The first three states are those of a run in progress: the key is being
    claimed in the store, is held by this ledger, or its call is being sent.
    The others are outcomes: the call was answered, has not been run and may
    be, or may have been run without an answer.
    """

    CLAIMING = "claiming"
    CLAIMED = "claimed"
    SENDING = "sending"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


IN_FLIGHT = frozenset((RunState.CLAIMING, RunState.CLAIMED, RunState.SENDING))


class LedgerLimits:
    """How much a ledger keeps, and for how long. Times are in seconds.

    :param minted_key_life_s: how long after its minting a key may be run.
        Keys chosen by callers have no such limit.
    :param caller_key_life_s: how long the ledger keeps the entry of a key
        chosen by the caller.
    :param margin_s: how much longer than its minted key an entry is kept.
    :param entries_max: maximum number of entries.
    :param answers_max: maximum number of kept answers.
    :param answers_bytes_max: maximum memory of all kept answers.
    :param answer_retention_s: how long an answer is kept.
    :param unsent_timeout_s: how long a run may take until its call is sent;
        after that the run is cancelled.
    :param run_timeout_s: how long a call may take after it was sent; after
        that its outcome counts as ``unknown``.
    """

    __slots__ = (
        "minted_key_life_s",
        "caller_key_life_s",
        "margin_s",
        "entries_max",
        "answers_max",
        "answers_bytes_max",
        "answer_retention_s",
        "unsent_timeout_s",
        "run_timeout_s",
    )

    def __init__(
        self,
        minted_key_life_s: float = 3600.0,
        caller_key_life_s: float = 6 * 3600.0,
        margin_s: float = 60.0,
        entries_max: int = 200_000,
        answers_max: int = 20_000,
        answers_bytes_max: int = 32_000_000,
        answer_retention_s: float = 3600.0,
        unsent_timeout_s: float = 120.0,
        run_timeout_s: float = 900.0,
    ) -> None:
        self.minted_key_life_s = minted_key_life_s
        self.caller_key_life_s = caller_key_life_s
        self.margin_s = margin_s
        self.entries_max = entries_max
        self.answers_max = answers_max
        self.answers_bytes_max = answers_bytes_max
        self.answer_retention_s = answer_retention_s
        self.unsent_timeout_s = unsent_timeout_s
        self.run_timeout_s = run_timeout_s


class KeyIssuer:
    """A VM incarnation that minted keys which this ledger decides on.

    :param owner: the incarnation that minted the keys.
    :param secret: the secret that authenticates its keys.
    :param started: monotonic time of this VM's clock when the incarnation
        started.
    :param forgotten_until_s: mint time, in seconds since ``started``, up to
        which an unseen key may have had an entry that was dropped.
    :param may_run: False if another successor may run the same keys.
    :param ended: monotonic time when the incarnation stopped minting keys, or
        None for this ledger's own incarnation.
    """

    __slots__ = (
        "owner",
        "secret",
        "started",
        "forgotten_until_s",
        "may_run",
        "ended",
    )

    def __init__(
        self,
        owner: ledger_messages.VmIncarnation,
        secret: bytes,
        started: float,
        forgotten_until_s: int = -1,
        may_run: bool = True,
        ended: float | None = None,
    ) -> None:
        self.owner = owner
        self.secret = secret
        self.started = started
        self.forgotten_until_s = forgotten_until_s
        self.may_run = may_run
        self.ended = ended


class Entry:
    """One key of one customer, with the single call that it stands for.

    :param digest: digest of the call; another digest means that the key was
        reused for a different call.
    :param state: the state of the call.
    :param minted_s: mint time in seconds since the start of the issuer; 0 for
        a key chosen by the caller.
    :param issuer: the issuer of a minted key; None for a key chosen by the
        caller.
    :param updated_at: monotonic time of the entry's creation, or of the last
        start or send of its run.
    :param nonce: identifies the claim in the store, for a key chosen by the
        caller.
    :param claim_held: the store is known to hold this ledger's claim.
    :param maybe_claimed: the store may hold this ledger's claim.

    ``first_send`` is the caller's guarantee that it never sent the key before.
    ``token`` identifies the latest run. ``answer`` is the answer kept for
    replays, or None. ``running_on`` is the incarnation that is still running
    the call after the ledger was transferred, or None.
    """

    __slots__ = (
        "customer",
        "key",
        "digest",
        "state",
        "minted_s",
        "issuer",
        "nonce",
        "claim_held",
        "maybe_claimed",
        "first_send",
        "token",
        "updated_at",
        "answer",
        "running_on",
    )

    def __init__(
        self,
        customer: str,
        key: str,
        digest: str,
        state: RunState,
        minted_s: int,
        issuer: KeyIssuer | None,
        updated_at: float,
        nonce: str = "",
        claim_held: bool = False,
        maybe_claimed: bool = False,
    ) -> None:
        self.customer = customer
        self.key = key
        self.digest = digest
        self.state = state
        self.minted_s = minted_s
        self.issuer = issuer
        self.updated_at = updated_at
        self.nonce = nonce
        self.claim_held = claim_held
        self.maybe_claimed = maybe_claimed
        self.first_send = False
        self.token = 0
        self.answer: ledger_messages.Answer | None = None
        self.running_on: ledger_messages.VmIncarnation | None = None

    @property
    def in_flight(self) -> bool:
        """Whether a run of the key is in progress."""
        return self.state in IN_FLIGHT

    @property
    def may_claim_again(self) -> bool:
        """Whether the store may hold another VM's claim of the key."""
        unsettled = self.state in (RunState.CLAIMING, RunState.NOT_RUN)
        return self.issuer is None and unsettled and not self.claim_held


class EntryTable:
    """The entries of a ledger by customer and key.

    The number of entries, and the number and memory of the answers, are
    limited.
    """

    __slots__ = (
        "_limits",
        "_entries",
        "_expiry_queue",
        "_answers",
        "_answers_bytes",
        "_insertion_order",
    )

    def __init__(self, limits: LedgerLimits) -> None:
        self._limits = limits
        self._entries: dict[tuple[str, str], Entry] = {}
        self._expiry_queue: list[tuple[float, int, Entry]] = []
        self._answers: collections.OrderedDict[
            tuple[str, str], tuple[float, int]
        ] = collections.OrderedDict()
        self._answers_bytes = 0
        self._insertion_order = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def answers_bytes(self) -> int:
        """Estimated memory of the kept answers."""
        return self._answers_bytes

    def all(self) -> list[Entry]:
        """Return all entries, oldest first."""
        return list(self._entries.values())

    def get(self, customer: str, key: str) -> Entry | None:
        """Return the entry of a customer's key, or None."""
        return self._entries.get((customer, key))

    def add(self, entry: Entry) -> bool:
        """Add an entry; if the table is full, drop the first to expire.

        :returns: False if the table is full of entries in flight; the entry
            is not added then.
        """
        if (
            len(self._entries) >= self._limits.entries_max
            and not self._evict()
        ):
            return False
        self._entries[(entry.customer, entry.key)] = entry
        self._schedule(entry)
        return True

    def remove(self, entry: Entry) -> None:
        """Remove an entry whose key this ledger has never run."""
        name = (entry.customer, entry.key)
        if self._entries.get(name) is entry:
            self._drop_answer(name)
            del self._entries[name]

    def forget(self, entry: Entry) -> None:
        """Drop an entry whose key may have run and must not run again."""
        # A key without an entry looks new and would run a second time. The
        # raised time limit makes the ledger refuse such a key.
        if entry.issuer is not None:
            forgotten_until_s = max(
                entry.issuer.forgotten_until_s, entry.minted_s
            )
            entry.issuer.forgotten_until_s = forgotten_until_s
        self.remove(entry)

    def keep_answer(
        self, entry: Entry, answer: ledger_messages.Answer, now: float
    ) -> None:
        """Keep an answer for replays to retries, within the limits.

        The oldest answers are dropped to make room. An answer that exceeds
        the memory limit by itself is not kept.
        """
        size = answer.size_bytes
        if size > self._limits.answers_bytes_max:
            return
        name = (entry.customer, entry.key)
        entry.answer = answer
        self._answers[name] = (now, size)
        self._answers_bytes += size
        while (
            len(self._answers) > self._limits.answers_max
            or self._answers_bytes > self._limits.answers_bytes_max
        ):
            self._drop_answer(next(iter(self._answers)))

    def expire(self, now: float) -> None:
        """Drop answers and entries whose retention time has passed.

        Entries with a run in flight are kept.

        :param now: monotonic time in seconds.
        """
        oldest = now - self._limits.answer_retention_s
        while self._answers:
            name, (kept_at, _) = next(iter(self._answers.items()))
            if kept_at >= oldest:
                break
            self._drop_answer(name)
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            entry = heapq.heappop(self._expiry_queue)[2]
            if self._entries.get((entry.customer, entry.key)) is not entry:
                continue
            if entry.in_flight:
                self._schedule(entry, now + self._limits.margin_s)
            else:
                self.forget(entry)

    def _schedule(self, entry: Entry, at: float | None = None) -> None:
        expires_at = self._expiry_of(entry) if at is None else at
        heapq.heappush(
            self._expiry_queue,
            (expires_at, next(self._insertion_order), entry),
        )

    def _expiry_of(self, entry: Entry) -> float:
        limits = self._limits
        if entry.issuer is None:
            return entry.updated_at + limits.caller_key_life_s
        minted_at = entry.issuer.started + entry.minted_s
        return minted_at + limits.minted_key_life_s + limits.margin_s

    def _evict(self) -> bool:
        in_flight = []
        evicted = False
        while self._expiry_queue and not evicted:
            item = heapq.heappop(self._expiry_queue)
            entry = item[2]
            if self._entries.get((entry.customer, entry.key)) is not entry:
                continue
            if entry.in_flight:
                in_flight.append(item)
                continue
            self.forget(entry)
            evicted = True
        for item in in_flight:
            heapq.heappush(self._expiry_queue, item)
        return evicted

    def _drop_answer(self, name: tuple[str, str]) -> None:
        kept = self._answers.pop(name, None)
        if kept is None:
            return
        self._answers_bytes -= kept[1]
        entry = self._entries.get(name)
        if entry is not None:
            entry.answer = None
