"""Claims of keys that callers made up, grouped into objects of the store.

A key falls into one bucket by its hash. A bucket is one object whose value
holds many claims; a conditional write adds all the claims that wait, and
only one write per bucket is under way. Whoever's write the store takes owns
the keys in it. The decisions are pure: they return reads and writes for the
platform's task to do and take their results back.
"""

import hashlib
import itertools
import typing

import xxhash

from .. import clock as clocks
from . import messages
from ..vms import rendezvous

DEFAULT_BUCKETS = 256
DEFAULT_KEEP_S = 2 * 3600.0
VALUE_BYTES_MAX = 900_000
PRUNE_ABOVE_BYTES = 256_000
ROW_BYTES = 64
GIVE_UP_S = 3.0
DOWN_S = 0.5
CACHED_BUCKETS_MAX = 256

_ID_BYTES = 16


class Row:
    """One claim as the store keeps it."""

    __slots__ = ("digest", "owner", "nonce", "at")

    def __init__(
        self, digest: str, owner: messages.Owner, nonce: str, at: float
    ) -> None:
        self.digest = digest
        self.owner = owner
        self.nonce = nonce
        self.at = at

    @property
    def size_bytes(self) -> int:
        """An upper estimate of the row's JSON, its identifier included."""
        names = len(self.digest) + len(self.owner.vm) + len(self.nonce)
        return ROW_BYTES + 2 * _ID_BYTES + names


class ReadBucket:
    """Read an object of the store."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class WriteBucket:
    """Write an object of the store on a condition.

    :param expected_version: None to create it only.
    """

    __slots__ = ("name", "value", "expected_version")

    def __init__(
        self,
        name: str,
        value: dict[str, typing.Any],
        expected_version: int | None,
    ) -> None:
        self.name = name
        self.value = value
        self.expected_version = expected_version


class Tell:
    """Give the ledger the result of a claim."""

    __slots__ = ("result",)

    def __init__(self, result: messages.ClaimResult) -> None:
        self.result = result


Action: typing.TypeAlias = ReadBucket | WriteBucket | Tell


class _Waiting:
    """A claim on its way; ``maybe`` says that a write of it got lost."""

    __slots__ = ("claim", "name", "until", "maybe")

    def __init__(self, claim: messages.Claim, until: float) -> None:
        self.claim = claim
        self.name = claim_id(claim.customer, claim.key)
        self.until = until
        self.maybe = False


class _Bucket:
    """One object: what is known of it and what waits for it."""

    __slots__ = ("name", "rows", "version", "busy", "waiting", "writing")

    def __init__(self, name: str) -> None:
        self.name = name
        self.rows: dict[str, Row] | None = None
        self.version: int | None = None
        self.busy = False
        self.waiting: list[_Waiting] = []
        self.writing: list[_Waiting] = []


class Claims:
    """The claims that one VM has under way.

    :param buckets: the same on every VM, for ever.
    :param keep_s: a claim is kept at least this long; after that its key
        may be used again for another call.
    """

    __slots__ = ("_clock", "_count", "_keep_s", "_buckets", "_down_until")

    def __init__(
        self,
        clock: clocks.Clock,
        buckets: int = DEFAULT_BUCKETS,
        keep_s: float = DEFAULT_KEEP_S,
    ) -> None:
        self._clock = clock
        self._count = buckets
        self._keep_s = keep_s
        self._buckets: dict[str, _Bucket] = {}
        self._down_until = float("-inf")

    def claim(self, claim: messages.Claim) -> list[Action]:
        """Start to claim a key."""
        waiting = _Waiting(claim, self._clock.now() + GIVE_UP_S)
        if self._clock.now() < self._down_until:
            return [_not_claimed(waiting, messages.Reason.STORE_DOWN)]
        bucket = self._bucket(waiting.name)
        bucket.waiting.append(waiting)
        return [] if bucket.busy else self._advance(bucket)

    def written(self, name: str, version: int) -> list[Action]:
        """The store took the write."""
        bucket = self._buckets[name]
        ended, bucket.writing = bucket.writing, []
        rows = {**(bucket.rows or {}), **self._added(ended)}
        bucket.rows, bucket.version = rows, version
        told: list[Action] = [
            Tell(_result(each, rows[each.name])) for each in ended
        ]
        return told + self._advance(bucket)

    def conflict(self, name: str) -> list[Action]:
        """Another write came first: read again, claim what is left."""
        return self._read_again(self._buckets[name])

    def ambiguous(self, name: str) -> list[Action]:
        """The write went out and no answer came: read it back.

        A write that is only late can't take effect after a newer one of
        ours, for both expect the same version.
        """
        bucket = self._buckets[name]
        for each in bucket.writing:
            each.maybe = True
        return self._read_again(bucket)

    def read(
        self, name: str, version: int, value: dict[str, typing.Any]
    ) -> list[Action]:
        """The bucket was read."""
        bucket = self._buckets[name]
        try:
            bucket.rows = _parse(value)
        except (AttributeError, TypeError, ValueError):
            # Somebody else wrote into the object. To guess at it might run
            # a call twice, so its keys are refused until it is mended.
            return self.failed(name)
        bucket.version = version
        return self._advance(bucket)

    def missing(self, name: str) -> list[Action]:
        """The bucket doesn't exist yet."""
        bucket = self._buckets[name]
        bucket.version, bucket.rows = None, {}
        return self._advance(bucket)

    def failed(self, name: str) -> list[Action]:
        """The store is down or refuses calls; nothing was written now."""
        bucket = self._buckets[name]
        self._down_until = self._clock.now() + DOWN_S
        refused = bucket.writing + bucket.waiting
        bucket.writing, bucket.waiting = [], []
        bucket.rows, bucket.busy = None, False
        return [
            _not_claimed(each, messages.Reason.STORE_DOWN) for each in refused
        ]

    def _bucket(self, claim_name: str) -> _Bucket:
        name = bucket_of(claim_name, self._count)
        if name not in self._buckets:
            self._shrink()
            self._buckets[name] = _Bucket(name)
        return self._buckets[name]

    def _shrink(self) -> None:
        if len(self._buckets) >= CACHED_BUCKETS_MAX:
            self._buckets = {
                name: bucket
                for name, bucket in self._buckets.items()
                if bucket.busy
            }

    def _read_again(self, bucket: _Bucket) -> list[Action]:
        bucket.waiting = bucket.writing + bucket.waiting
        bucket.writing = []
        bucket.rows = None
        return self._advance(bucket)

    def _advance(self, bucket: _Bucket) -> list[Action]:
        bucket.busy = bool(bucket.waiting)
        if not bucket.waiting:
            return []
        if bucket.rows is None:
            return [ReadBucket(bucket.name)]
        rows = bucket.rows
        waiting, bucket.waiting = bucket.waiting, []
        told: list[Action] = [
            Tell(_result(each, rows[each.name]))
            for each in waiting
            if each.name in rows
        ]
        fresh = [each for each in waiting if each.name not in rows]
        now = self._clock.now()
        tired = [each for each in fresh if each.until < now]
        eager = [each for each in fresh if each.until >= now]
        told += [
            _not_claimed(each, messages.Reason.STORE_DOWN) for each in tired
        ]
        return told + self._write(bucket, eager)

    def _write(self, bucket: _Bucket, eager: list[_Waiting]) -> list[Action]:
        bucket.rows = self._pruned(bucket.rows or {})
        fitting = self._fitting(bucket.rows, eager)
        told: list[Action] = [
            _not_claimed(each, messages.Reason.CLAIMS_FULL)
            for each in eager[len(fitting) :]
        ]
        bucket.writing = fitting
        bucket.busy = bool(fitting)
        if not fitting:
            return told
        value = _document({**bucket.rows, **self._added(fitting)})
        return told + [WriteBucket(bucket.name, value, bucket.version)]

    def _fitting(
        self, rows: dict[str, Row], eager: list[_Waiting]
    ) -> list[_Waiting]:
        sizes = (self._row(each).size_bytes for each in eager)
        totals = itertools.accumulate(sizes, initial=_size(rows))
        next(totals)
        pairs = itertools.takewhile(
            lambda pair: pair[1] <= VALUE_BYTES_MAX, zip(eager, totals)
        )
        return [each for each, _ in pairs]

    def _added(self, writing: list[_Waiting]) -> dict[str, Row]:
        # Of two claims of one key in the same write the first wins.
        return {each.name: self._row(each) for each in reversed(writing)}

    def _row(self, waiting: _Waiting) -> Row:
        claim = waiting.claim
        at = round(self._clock.wall(), 1)
        return Row(claim.digest, claim.owner, claim.nonce, at)

    def _pruned(self, rows: dict[str, Row]) -> dict[str, Row]:
        # A wall clock that jumped ahead would drop claims that still count,
        # so nothing is dropped before the room is needed.
        if _size(rows) < PRUNE_ABOVE_BYTES:
            return rows
        oldest = self._clock.wall() - self._keep_s
        return {name: row for name, row in rows.items() if row.at >= oldest}


def claim_id(customer: str, key: str) -> str:
    """Name a customer's key in the store without showing it."""
    text = f"{len(customer)}:{customer}{key}"
    return hashlib.sha256(text.encode()).hexdigest()[: 2 * _ID_BYTES]


def bucket_of(claim_name: str, buckets: int = DEFAULT_BUCKETS) -> str:
    """Name the object that holds a claim."""
    number = xxhash.xxh64_intdigest(claim_name.encode()) % buckets
    return f"claims/{number:04x}"


def home(
    customer: str,
    key: str,
    vms: typing.Iterable[str],
    buckets: int = DEFAULT_BUCKETS,
) -> str | None:
    """Choose the VM that had best claim and run a caller's key.

    While the VMs agree on who is there, only one of them writes to a bucket,
    so its writes don't conflict and it need not read before them. When they
    don't agree, the store's condition still lets one claimer win.

    :param vms: those that take new work.
    """
    bucket = bucket_of(claim_id(customer, key), buckets)
    return rendezvous.pick(bucket, vms)


def _size(rows: dict[str, Row]) -> int:
    return sum(row.size_bytes for row in rows.values())


def _result(waiting: _Waiting, row: Row) -> messages.ClaimResult:
    claim = waiting.claim
    if row.digest != claim.digest:
        return messages.Conflicting(claim.token)
    if row.nonce == claim.nonce:
        return messages.Won(claim.token)
    return messages.Held(claim.token, row.owner)


def _not_claimed(waiting: _Waiting, reason: messages.Reason) -> Tell:
    return Tell(
        messages.NotClaimed(waiting.claim.token, reason, waiting.maybe)
    )


def _document(rows: dict[str, Row]) -> dict[str, typing.Any]:
    return {
        "claims": {
            name: [
                row.digest,
                row.owner.vm,
                row.owner.incarnation,
                row.nonce,
                row.at,
            ]
            for name, row in rows.items()
        }
    }


def _parse(value: dict[str, typing.Any]) -> dict[str, Row]:
    return {
        name: Row(digest, messages.Owner(vm, incarnation), nonce, at)
        for name, (digest, vm, incarnation, nonce, at) in value.get(
            "claims", {}
        ).items()
    }
