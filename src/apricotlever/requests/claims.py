"""Claims idempotency keys that callers chose, in the platform's store.

A claim records which VM incarnation may run the call of a key, and the digest
of that call. It keeps two VMs that receive the same key from both running the
call. A key belongs to one bucket by its hash. A bucket is one object of the
store whose value holds many claims. One conditional write adds all claims
waiting for a bucket, and each bucket has at most one operation in progress.
The VM whose write the store accepts owns the keys in that write. This module
does no I/O: it returns reads and writes for the caller to carry out, and is
given their results.
"""

import hashlib
import itertools
import typing

import xxhash

from .. import clock as clocks
from . import ledger_messages
from ..vms import rendezvous

DEFAULT_BUCKET_COUNT = 256
DEFAULT_RETENTION_S = 2 * 3600.0
VALUE_BYTES_MAX = 900_000
PRUNE_ABOVE_BYTES = 256_000
CLAIM_OVERHEAD_BYTES = 64
CLAIM_TIMEOUT_S = 3.0
STORE_BACKOFF_S = 0.5
CACHED_BUCKETS_MAX = 256

_ID_BYTES = 16


class StoredClaim:
    """A claim in the store: which VM incarnation may run the call of a key.

    :param digest: digest of the call that the key was claimed for.
    :param owner: the VM incarnation that holds the claim.
    :param nonce: identifies the claim attempt, so that a VM recognizes its
        own claim when it reads the bucket.
    :param claimed_at: wall-clock time of the claim, in seconds.
    """

    __slots__ = ("digest", "owner", "nonce", "claimed_at")

    def __init__(
        self,
        digest: str,
        owner: ledger_messages.VmIncarnation,
        nonce: str,
        claimed_at: float,
    ) -> None:
        self.digest = digest
        self.owner = owner
        self.nonce = nonce
        self.claimed_at = claimed_at

    @property
    def size_bytes(self) -> int:
        """Upper bound of the size of the claim's JSON with its identifier."""
        names = len(self.digest) + len(self.owner.vm) + len(self.nonce)
        return CLAIM_OVERHEAD_BYTES + 2 * _ID_BYTES + names


class ReadBucket:
    """Action: read a bucket's object from the store.

    :param name: the name of the object.
    """

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class WriteBucket:
    """Action: write a bucket's object if its version is the expected one.

    :param name: the name of the object.
    :param value: the new value of the object.
    :param expected_version: the version to replace, or None to write only if
        the object doesn't exist.
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


class DeliverResult:
    """Action: tell the ledger whether its claim of a key succeeded."""

    __slots__ = ("result",)

    def __init__(self, result: ledger_messages.ClaimResult) -> None:
        self.result = result


Action: typing.TypeAlias = ReadBucket | WriteBucket | DeliverResult


class _PendingClaim:
    """A claim that waits for its bucket to be read or written.

    ``name`` identifies the key in the store. ``expires_at`` is the monotonic
    time after which the claim is refused instead of written.
    ``maybe_written`` is set when a write with the claim got no answer.
    """

    __slots__ = ("claim", "name", "expires_at", "maybe_written")

    def __init__(
        self, claim: ledger_messages.ClaimKey, expires_at: float
    ) -> None:
        self.claim = claim
        self.name = claim_id(claim.customer, claim.key)
        self.expires_at = expires_at
        self.maybe_written = False


class _Bucket:
    """An object of the store: its last known content and pending claims.

    ``rows`` holds the claims in the object by identifier, or None while the
    content is unknown. ``version`` is the version of the object, or None if
    it doesn't exist. ``waiting`` holds the claims for the next write and
    ``writing`` those of the write in progress.
    """

    __slots__ = (
        "name",
        "rows",
        "version",
        "operation_pending",
        "waiting",
        "writing",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.rows: dict[str, StoredClaim] | None = None
        self.version: int | None = None
        self.operation_pending = False
        self.waiting: list[_PendingClaim] = []
        self.writing: list[_PendingClaim] = []


class ClaimBatcher:
    """Batches one VM's claims of idempotency keys into conditional writes.

    :param buckets: number of buckets; it must be the same on every VM and
        must never change, because it determines the bucket of a key.
    :param retention_s: minimum time that a claim is kept, in seconds. A key
        whose claim was dropped can be used for another call.
    """

    __slots__ = (
        "_clock",
        "_bucket_count",
        "_retention_s",
        "_buckets",
        "_backoff_until",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        buckets: int = DEFAULT_BUCKET_COUNT,
        retention_s: float = DEFAULT_RETENTION_S,
    ) -> None:
        self._clock = clock
        self._bucket_count = buckets
        self._retention_s = retention_s
        self._buckets: dict[str, _Bucket] = {}
        self._backoff_until = float("-inf")

    def claim(self, claim: ledger_messages.ClaimKey) -> list[Action]:
        """Start claiming a key.

        :param claim: the key and call, as the ledger asks for them.
        :returns: the actions to carry out. The claim's result may be among
            them, or may follow after the bucket's next read or write. While
            :data:`STORE_BACKOFF_S` runs after a failure of the store, the
            claim is refused at once.
        """
        waiting = _PendingClaim(claim, self._clock.now() + CLAIM_TIMEOUT_S)
        if self._clock.now() < self._backoff_until:
            return [
                _not_claimed(
                    waiting, ledger_messages.KeyRefusalReason.STORE_DOWN
                )
            ]
        bucket = self._bucket(waiting.name)
        bucket.waiting.append(waiting)
        return [] if bucket.operation_pending else self._advance(bucket)

    def on_written(self, name: str, version: int) -> list[Action]:
        """Handle the store's acceptance of a write: its claims are won.

        :param name: the name of the bucket's object.
        :param version: the new version of the object.
        """
        bucket = self._buckets[name]
        claimed, bucket.writing = bucket.writing, []
        rows = {**(bucket.rows or {}), **self._claims_by_id(claimed)}
        bucket.rows, bucket.version = rows, version
        results: list[Action] = [
            DeliverResult(_result(each, rows[each.name])) for each in claimed
        ]
        return results + self._advance(bucket)

    def on_conflict(self, name: str) -> list[Action]:
        """Handle a write rejected because the object has another version.

        The bucket is read again, and its pending claims are retried.
        """
        return self._read_again(self._buckets[name])

    def on_ambiguous_write(self, name: str) -> list[Action]:
        """Handle a write without an answer, which may have taken effect.

        The bucket is read back, which shows whether the claims were written.
        A delayed write can't take effect after a newer write of this VM,
        because both expect the same version.
        """
        bucket = self._buckets[name]
        for each in bucket.writing:
            each.maybe_written = True
        return self._read_again(bucket)

    def on_read(
        self, name: str, version: int, value: dict[str, typing.Any]
    ) -> list[Action]:
        """Handle the result of reading a bucket's object.

        :param name: the name of the object.
        :param version: the version of the object that was read.
        :param value: the value of the object, as JSON.
        """
        bucket = self._buckets[name]
        try:
            bucket.rows = _parse(value)
        except (AttributeError, TypeError, ValueError):
            # The object has unexpected content. Guessing its meaning could
            # run a call twice, so its keys are refused until it is repaired.
            return self.on_failure(name)
        bucket.version = version
        return self._advance(bucket)

    def on_missing(self, name: str) -> list[Action]:
        """Handle the result that a bucket's object doesn't exist yet."""
        bucket = self._buckets[name]
        bucket.version, bucket.rows = None, {}
        return self._advance(bucket)

    def on_failure(self, name: str) -> list[Action]:
        """Handle a failed read or write that certainly wrote nothing.

        All claims waiting for the bucket fail, and new claims are refused
        for :data:`STORE_BACKOFF_S`.
        """
        bucket = self._buckets[name]
        self._backoff_until = self._clock.now() + STORE_BACKOFF_S
        refused = bucket.writing + bucket.waiting
        bucket.writing, bucket.waiting = [], []
        bucket.rows, bucket.operation_pending = None, False
        return [
            _not_claimed(each, ledger_messages.KeyRefusalReason.STORE_DOWN)
            for each in refused
        ]

    def _bucket(self, claim_name: str) -> _Bucket:
        name = bucket_name(claim_name, self._bucket_count)
        if name not in self._buckets:
            self._evict_idle_buckets()
            self._buckets[name] = _Bucket(name)
        return self._buckets[name]

    def _evict_idle_buckets(self) -> None:
        if len(self._buckets) >= CACHED_BUCKETS_MAX:
            self._buckets = {
                name: bucket
                for name, bucket in self._buckets.items()
                if bucket.operation_pending
            }

    def _read_again(self, bucket: _Bucket) -> list[Action]:
        bucket.waiting = bucket.writing + bucket.waiting
        bucket.writing = []
        bucket.rows = None
        return self._advance(bucket)

    def _advance(self, bucket: _Bucket) -> list[Action]:
        bucket.operation_pending = bool(bucket.waiting)
        if not bucket.waiting:
            return []
        if bucket.rows is None:
            return [ReadBucket(bucket.name)]
        rows = bucket.rows
        waiting, bucket.waiting = bucket.waiting, []
        results: list[Action] = [
            DeliverResult(_result(each, rows[each.name]))
            for each in waiting
            if each.name in rows
        ]
        unclaimed = [each for each in waiting if each.name not in rows]
        now = self._clock.now()
        timed_out = [each for each in unclaimed if each.expires_at < now]
        in_time = [each for each in unclaimed if each.expires_at >= now]
        results += [
            _not_claimed(each, ledger_messages.KeyRefusalReason.STORE_DOWN)
            for each in timed_out
        ]
        return results + self._write(bucket, in_time)

    def _write(
        self, bucket: _Bucket, in_time: list[_PendingClaim]
    ) -> list[Action]:
        bucket.rows = self._without_expired(bucket.rows or {})
        fitting = self._claims_that_fit(bucket.rows, in_time)
        results: list[Action] = [
            _not_claimed(each, ledger_messages.KeyRefusalReason.CLAIMS_FULL)
            for each in in_time[len(fitting) :]
        ]
        bucket.writing = fitting
        bucket.operation_pending = bool(fitting)
        if not fitting:
            return results
        value = _document({**bucket.rows, **self._claims_by_id(fitting)})
        return results + [WriteBucket(bucket.name, value, bucket.version)]

    def _claims_that_fit(
        self, rows: dict[str, StoredClaim], in_time: list[_PendingClaim]
    ) -> list[_PendingClaim]:
        sizes = (self._stored_claim(each).size_bytes for each in in_time)
        totals = itertools.accumulate(sizes, initial=_size(rows))
        next(totals)
        pairs = itertools.takewhile(
            lambda pair: pair[1] <= VALUE_BYTES_MAX, zip(in_time, totals)
        )
        return [each for each, _ in pairs]

    def _claims_by_id(
        self, writing: list[_PendingClaim]
    ) -> dict[str, StoredClaim]:
        # Reversed, so that the first of two claims of one key wins.
        return {
            each.name: self._stored_claim(each) for each in reversed(writing)
        }

    def _stored_claim(self, waiting: _PendingClaim) -> StoredClaim:
        claim = waiting.claim
        claimed_at = round(self._clock.wall(), 1)
        return StoredClaim(claim.digest, claim.owner, claim.nonce, claimed_at)

    def _without_expired(
        self, rows: dict[str, StoredClaim]
    ) -> dict[str, StoredClaim]:
        # A wall clock that jumped ahead would drop claims that are still
        # valid, so no claim is dropped before the space is needed.
        if _size(rows) < PRUNE_ABOVE_BYTES:
            return rows
        oldest = self._clock.wall() - self._retention_s
        return {
            name: row for name, row in rows.items() if row.claimed_at >= oldest
        }


def claim_id(customer: str, key: str) -> str:
    """Return the identifier of a key's claim in the store.

    It is a hash of the customer and the key, so the store doesn't reveal
    keys.
    """
    text = f"{len(customer)}:{customer}{key}"
    return hashlib.sha256(text.encode()).hexdigest()[: 2 * _ID_BYTES]


def bucket_name(claim_name: str, buckets: int = DEFAULT_BUCKET_COUNT) -> str:
    """Return the name of the store's object that holds a claim.

    :param claim_name: what :func:`claim_id` returned for the key.
    """
    number = xxhash.xxh64_intdigest(claim_name.encode()) % buckets
    return f"claims/{number:04x}"


def home_vm(
    customer: str,
    key: str,
    vms: typing.Iterable[str],
    buckets: int = DEFAULT_BUCKET_COUNT,
) -> str | None:
    """Return the VM that should claim and run a key chosen by a caller.

    While the VMs agree on the membership, only one VM writes to a bucket, so
    its writes don't conflict and need no read first. If they disagree, the
    condition of the write still lets only one VM claim a key.

    :param vms: names of the VMs that accept new work.
    :returns: the name of a VM, or None if there is none.
    """
    bucket = bucket_name(claim_id(customer, key), buckets)
    return rendezvous.pick(bucket, vms)


def _size(rows: dict[str, StoredClaim]) -> int:
    return sum(row.size_bytes for row in rows.values())


def _result(
    waiting: _PendingClaim, row: StoredClaim
) -> ledger_messages.ClaimResult:
    claim = waiting.claim
    if row.digest != claim.digest:
        return ledger_messages.ClaimConflict(claim.token)
    if row.nonce == claim.nonce:
        return ledger_messages.ClaimWon(claim.token)
    return ledger_messages.ClaimHeld(claim.token, row.owner)


def _not_claimed(
    waiting: _PendingClaim, reason: ledger_messages.KeyRefusalReason
) -> DeliverResult:
    return DeliverResult(
        ledger_messages.ClaimFailed(
            waiting.claim.token, reason, waiting.maybe_written
        )
    )


def _document(rows: dict[str, StoredClaim]) -> dict[str, typing.Any]:
    return {
        "claims": {
            name: [
                row.digest,
                row.owner.vm,
                row.owner.incarnation,
                row.nonce,
                row.claimed_at,
            ]
            for name, row in rows.items()
        }
    }


def _parse(value: dict[str, typing.Any]) -> dict[str, StoredClaim]:
    return {
        name: StoredClaim(
            digest,
            ledger_messages.VmIncarnation(vm, incarnation),
            nonce,
            claimed_at,
        )
        for name, (digest, vm, incarnation, nonce, claimed_at) in value.get(
            "claims", {}
        ).items()
    }
