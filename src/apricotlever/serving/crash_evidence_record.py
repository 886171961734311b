"""Keeps what VMs know of runner crashes in the store.

There is one object for each VM that has seen a crash. See
:mod:`..runners.crash_evidence`. A process reads all of them at its start.
"""

import asyncio
import contextlib
import random
import typing

from .. import backoff
from .. import clock as clocks
from .. import logs
from .. import validation
from ..runners import crash_blocklist
from ..runners import crash_evidence
from ..runners import crash_records
from ..runners import crashes

from . import store

#: Kind of the objects in the store; each has the name of its VM.
KIND = "runner_crashes"
#: Fields of an object's value.
CRASHES = "crashes"
ANSWERS = "answers"
WRITTEN_AT = "written_at"
#: Shortest time between two writes of a VM, in seconds.
MIN_INTERVAL_S = 0.5
#: Writes a second that the VMs of a fleet make together at most: those that
#: saw a crash spread their writes, and each writes that often in turn.
MAX_BURST_WRITES_PER_S = 200.0
MAX_WRITES_PER_S = 40.0
#: Pauses between two tries to read the objects, in seconds.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0
#: Age from which an object belongs to a VM that is gone, in seconds, and how
#: many of them a VM removes at its start.
MAX_AGE_S = 2.0 * crashes.QUARANTINE_S
MAX_REMOVED = 8


class EvidenceStore(typing.Protocol):
    """The calls to the store that the record needs."""

    async def list_all(self, kind: str, stale: bool = False) -> store.Page:
        """Get all objects of a kind."""

    async def create(
        self, kind: str, name: str, spec: store.Json
    ) -> store.StoredObject:
        """Create an object."""

    async def replace(
        self, kind: str, name: str, spec: store.Json, revision: int | None
    ) -> store.StoredObject:
        """Replace an object that has a revision."""

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""


def encode(record: crash_records.CrashRecord, wall: float) -> store.Json:
    """The value of the object that holds a VM's evidence.

    :param wall: the wall clock time, in seconds.
    """
    entries, answers, _ = record
    return {
        CRASHES: [list(entry) for entry in entries],
        ANSWERS: answers,
        WRITTEN_AT: wall,
    }


def decode(
    spec: store.Json, wall: float
) -> tuple[crash_records.CrashRecord, float]:
    """Read an object's value.

    :returns: the evidence, and its age in seconds.
    :raises ValueError: if it is malformed.
    """
    found: typing.Any = spec if isinstance(spec, dict) else {}
    record: typing.Any = (found.get(CRASHES), found.get(ANSWERS), {})
    written_at = found.get(WRITTEN_AT)
    if not (
        crash_records.is_crash_record(record)
        and validation.is_non_negative_number(written_at)
    ):
        raise validation.Misshapen(KIND, spec)
    return record, max(0.0, wall - written_at)


class CrashEvidenceRecord:
    """Writes a VM's evidence to the store, and reads that of all at its start.

    :param vm: the VM's name, that of its object.
    """

    __slots__ = (
        "_blocklist",
        "_clock",
        "_due_at",
        "_exists",
        "_fleet_size",
        "_has_read",
        "_is_writing",
        "_revision",
        "_rng",
        "_store",
        "_summary",
        "_vm",
        "_written_at",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        blocklist: crash_blocklist.CrashBlocklist,
        store_: EvidenceStore,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._blocklist = blocklist
        self._store = store_
        self._fleet_size = 1
        self._has_read = False
        self._is_writing = False
        #: Whether this VM's object may be in the store, and what it holds.
        self._exists = False
        self._summary: typing.Hashable = blocklist.evidence().summary
        #: The blocklist's revision that was looked at last.
        self._revision = blocklist.revision
        self._written_at = float("-inf")
        #: When the next write is due, in monotonic seconds; None if none is.
        self._due_at: float | None = None

    def set_fleet_size(self, size: int) -> None:
        """Set how many VMs there are."""
        self._fleet_size = size

    async def read(self) -> None:
        """Read what all VMs have kept, until that has succeeded."""
        retries = backoff.Backoff(MIN_RETRY_S, MAX_RETRY_S)
        while not self._has_read:
            try:
                page = await self._store.list_all(KIND)
            except store.StoreError as error:
                logs.event("crashes_unread", error=type(error).__name__)
                pause_s = retries.record_failure()
                await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                continue
            too_old = self._restore(page.objects)
            self._has_read = True
            await self._remove(too_old)

    @property
    def is_due(self) -> bool:
        """Whether to call :meth:`write` now; to be asked often."""
        now = self._clock.now()
        if self._revision != self._blocklist.revision:
            self._revision = self._blocklist.revision
            if self._due_at is None:
                self._due_at = self._next_write_at(now)
        return (
            self._due_at is not None
            and now >= self._due_at
            and self._has_read
            and not self._is_writing
        )

    async def write(self) -> None:
        """Write this VM's evidence if it has changed."""
        self._due_at = None
        evidence = self._blocklist.evidence()
        if evidence.summary == self._summary:
            return
        self._written_at = self._clock.now()
        self._is_writing = True
        try:
            await self._put(evidence)
        except store.StoreError as error:
            self._due_at = self._next_write_at(self._clock.now())
            logs.event("crashes_unwritten", error=type(error).__name__)
        else:
            self._summary = evidence.summary
        finally:
            self._is_writing = False

    def _next_write_at(self, now: float) -> float:
        spread_s = self._fleet_size / MAX_BURST_WRITES_PER_S
        interval_s = max(MIN_INTERVAL_S, self._fleet_size / MAX_WRITES_PER_S)
        return max(
            now + self._rng.uniform(0.0, spread_s),
            self._written_at + interval_s,
        )

    async def _put(self, evidence: crash_evidence.Evidence) -> None:
        if evidence.is_empty:
            if self._exists:
                with contextlib.suppress(store.NotFound):
                    await self._store.delete(KIND, self._vm)
                self._exists = False
            return
        spec = encode(evidence.record, self._clock.wall())
        self._exists = True
        try:
            await self._store.replace(KIND, self._vm, spec, None)
        except store.NotFound:
            await self._store.create(KIND, self._vm, spec)

    def _restore(self, objects: list[store.StoredObject]) -> list[str]:
        """Merge what was read.

        :returns: the names of objects that are too old to matter.
        """
        wall = self._clock.wall()
        too_old = []
        restored = 0
        for stored in objects:
            if stored.name == self._vm:
                self._exists = True
                # What it holds may have to go.
                self._summary = None
            try:
                record, age_s = decode(stored.spec, wall)
            except ValueError:
                logs.event(
                    "stored_refused",
                    kind=KIND,
                    object=stored.name,
                    part=CRASHES,
                )
                continue
            if age_s > MAX_AGE_S:
                too_old.append(stored.name)
                continue
            self._blocklist.restore(stored.name, record, age_s)
            restored += len(record[0])
        if restored:
            logs.event(
                "crashes_restored",
                entries=restored,
                crashes=self._blocklist.crash_count,
                causes=len(self._blocklist.causes),
            )
        return too_old

    async def _remove(self, names: list[str]) -> None:
        """Remove objects of VMs that are gone."""
        for name in names[:MAX_REMOVED]:
            with contextlib.suppress(store.StoreError):
                await self._store.delete(KIND, name)
