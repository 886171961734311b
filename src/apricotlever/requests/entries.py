"""The ledger's table of keys: states, kept answers and what may be dropped.

Dropping an entry must never let its key run again. The entry of a minted
key raises the floor of its origin, below which unseen keys are refused; the
entry of a key that the caller made up leaves its claim in the store.
"""

import collections
import enum
import heapq
import itertools

from . import messages


class State(enum.StrEnum):
    """How far the one run of a key has come."""

    CLAIMING = "claiming"
    CLAIMED = "claimed"
    SENDING = "sending"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


IN_FLIGHT = frozenset((State.CLAIMING, State.CLAIMED, State.SENDING))


class Bounds:
    """How much a ledger keeps, and for how long.

    :param key_life_s: a minted key may start its run this long.
    :param made_life_s: how long an entry of a caller's key is kept here.
    :param margin_s: an entry outlives its key by this much.
    :param reserve_s: a run that hasn't started by then is taken back.
    :param run_s: a run that hasn't ended by then is ``unknown``.
    """

    __slots__ = (
        "key_life_s",
        "made_life_s",
        "margin_s",
        "entries",
        "answers",
        "answers_bytes",
        "answer_s",
        "reserve_s",
        "run_s",
    )

    def __init__(
        self,
        key_life_s: float = 3600.0,
        made_life_s: float = 6 * 3600.0,
        margin_s: float = 60.0,
        entries: int = 200_000,
        answers: int = 20_000,
        answers_bytes: int = 32_000_000,
        answer_s: float = 3600.0,
        reserve_s: float = 120.0,
        run_s: float = 900.0,
    ) -> None:
        self.key_life_s = key_life_s
        self.made_life_s = made_life_s
        self.margin_s = margin_s
        self.entries = entries
        self.answers = answers
        self.answers_bytes = answers_bytes
        self.answer_s = answer_s
        self.reserve_s = reserve_s
        self.run_s = run_s


class Origin:
    """One incarnation whose keys this ledger may judge.

    :param started: this clock's reading when that incarnation started.
    :param floor_s: an unseen key minted by then may have been forgotten.
    :param may_run: False if another heir may hold a live copy.
    :param ended: when it stopped minting, or None for the own one.
    """

    __slots__ = ("owner", "secret", "started", "floor_s", "may_run", "ended")

    def __init__(
        self,
        owner: messages.Owner,
        secret: bytes,
        started: float,
        floor_s: int = -1,
        may_run: bool = True,
        ended: float | None = None,
    ) -> None:
        self.owner = owner
        self.secret = secret
        self.started = started
        self.floor_s = floor_s
        self.may_run = may_run
        self.ended = ended


class Entry:
    """One key of one customer, and the one call it stands for.

    :param minted_s: the mint time in its origin's seconds.
    :param origin: None for a key that the caller made up.
    :param nonce: of the claim in the store, for a caller's key.
    :param certain: the store is known to hold the claim.
    :param written: the store may hold the claim.
    :param away: the incarnation that is still running it, or None.
    """

    __slots__ = (
        "customer",
        "key",
        "digest",
        "state",
        "minted_s",
        "origin",
        "nonce",
        "certain",
        "written",
        "first",
        "token",
        "since",
        "answer",
        "away",
    )

    def __init__(
        self,
        customer: str,
        key: str,
        digest: str,
        state: State,
        minted_s: int,
        origin: Origin | None,
        since: float,
        nonce: str = "",
        certain: bool = False,
        written: bool = False,
    ) -> None:
        self.customer = customer
        self.key = key
        self.digest = digest
        self.state = state
        self.minted_s = minted_s
        self.origin = origin
        self.since = since
        self.nonce = nonce
        self.certain = certain
        self.written = written
        self.first = False
        self.token = 0
        self.answer: messages.Answer | None = None
        self.away: messages.Owner | None = None

    @property
    def in_flight(self) -> bool:
        """Whether some exchange still works on the key."""
        return self.state in IN_FLIGHT

    @property
    def may_claim_again(self) -> bool:
        """Whether the store may hold another VM's claim of the key."""
        unsettled = self.state in (State.CLAIMING, State.NOT_RUN)
        return self.origin is None and unsettled and not self.certain


class Table:
    """All entries by customer and key, bounded."""

    __slots__ = ("_bounds", "_entries", "_due", "_answers", "_bytes", "_order")

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._entries: dict[tuple[str, str], Entry] = {}
        self._due: list[tuple[float, int, Entry]] = []
        self._answers: collections.OrderedDict[
            tuple[str, str], tuple[float, int]
        ] = collections.OrderedDict()
        self._bytes = 0
        self._order = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def answers_bytes(self) -> int:
        """The memory that kept answers take."""
        return self._bytes

    def all(self) -> list[Entry]:
        """Every entry, the oldest first."""
        return list(self._entries.values())

    def get(self, customer: str, key: str) -> Entry | None:
        """Find the entry of a customer's key."""
        return self._entries.get((customer, key))

    def add(self, entry: Entry) -> bool:
        """Keep an entry, dropping the oldest settled one if need be.

        :returns: False, and nothing is kept, if all entries are in flight.
        """
        if len(self._entries) >= self._bounds.entries and not self._evict():
            return False
        self._entries[(entry.customer, entry.key)] = entry
        self._schedule(entry)
        return True

    def remove(self, entry: Entry) -> None:
        """Take out an entry whose key this ledger has never run."""
        name = (entry.customer, entry.key)
        if self._entries.get(name) is entry:
            self._drop_answer(name)
            del self._entries[name]

    def forget(self, entry: Entry) -> None:
        """Drop an entry whose key may have run."""
        # A key whose entry is gone looks like a new one and would run a
        # second time. The floor turns it into a refusal instead.
        if entry.origin is not None:
            floor = max(entry.origin.floor_s, entry.minted_s)
            entry.origin.floor_s = floor
        self.remove(entry)

    def keep_answer(
        self, entry: Entry, answer: messages.Answer, now: float
    ) -> None:
        """Keep an answer for replays, as long as the bounds allow it."""
        size = answer.size_bytes
        if size > self._bounds.answers_bytes:
            return
        name = (entry.customer, entry.key)
        entry.answer = answer
        self._answers[name] = (now, size)
        self._bytes += size
        while (
            len(self._answers) > self._bounds.answers
            or self._bytes > self._bounds.answers_bytes
        ):
            self._drop_answer(next(iter(self._answers)))

    def expire(self, now: float) -> None:
        """Drop answers and entries whose time is over."""
        oldest = now - self._bounds.answer_s
        while self._answers:
            name, (kept_at, _) = next(iter(self._answers.items()))
            if kept_at >= oldest:
                break
            self._drop_answer(name)
        while self._due and self._due[0][0] <= now:
            entry = heapq.heappop(self._due)[2]
            if self._entries.get((entry.customer, entry.key)) is not entry:
                continue
            if entry.in_flight:
                self._schedule(entry, now + self._bounds.margin_s)
            else:
                self.forget(entry)

    def _schedule(self, entry: Entry, at: float | None = None) -> None:
        due = self._end_of(entry) if at is None else at
        heapq.heappush(self._due, (due, next(self._order), entry))

    def _end_of(self, entry: Entry) -> float:
        bounds = self._bounds
        if entry.origin is None:
            return entry.since + bounds.made_life_s
        minted = entry.origin.started + entry.minted_s
        return minted + bounds.key_life_s + bounds.margin_s

    def _evict(self) -> bool:
        in_flight = []
        evicted = False
        while self._due and not evicted:
            item = heapq.heappop(self._due)
            entry = item[2]
            if self._entries.get((entry.customer, entry.key)) is not entry:
                continue
            if entry.in_flight:
                in_flight.append(item)
                continue
            self.forget(entry)
            evicted = True
        for item in in_flight:
            heapq.heappush(self._due, item)
        return evicted

    def _drop_answer(self, name: tuple[str, str]) -> None:
        kept = self._answers.pop(name, None)
        if kept is None:
            return
        self._bytes -= kept[1]
        entry = self._entries.get(name)
        if entry is not None:
            entry.answer = None
