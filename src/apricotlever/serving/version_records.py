"""Keeps the store's records of the versions whose streams may be alive.

There is one object for each service. See :mod:`..streams.version_ledger`.
"""

import asyncio
import random
import typing

from .. import backoff
from .. import clock as clocks
from .. import log_rate_limiter
from .. import logs
from .. import validation
from ..streams import version_ledger

from . import store
from . import task_supervisor

#: Kind of the objects in the store; each has the name of its service.
KIND = "stream_versions"
#: Field of an object's value.
VERSIONS = "versions"
#: How long a caller that resumes a stream waits for the record, in seconds.
READ_TIMEOUT_S = 0.25
#: Pauses between two tries to bring a record up to date, in seconds.
MIN_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 2.0
#: Time over which the VMs of a fleet spread a write that each of them would
#: make, in seconds for each VM, and its upper limit.
SPREAD_PER_VM_S = 0.0005
MAX_SPREAD_S = 1.0
#: Time between two looks for versions that are over, in seconds.
TIDY_INTERVAL_S = 2.0
#: Upper limit of a record's versions. A writer that isn't a VM of this fleet
#: may have written more.
MAX_VERSIONS = 1000

_STATES = {state.value: state for state in version_ledger.VersionState}
_IS_VERSIONS = validation.is_map_of(
    validation.is_string, lambda state: state in _STATES
)


class RecordStore(typing.Protocol):
    """The calls to the store that the records need."""

    async def get(self, kind: str, name: str) -> store.StoredObject | None:
        """Get an object; None if it does not exist."""

    async def create(
        self, kind: str, name: str, spec: store.Json
    ) -> store.StoredObject:
        """Create an object."""

    async def replace(
        self, kind: str, name: str, spec: store.Json, revision: int | None
    ) -> store.StoredObject:
        """Replace an object that has a revision."""


def encode_record(record: version_ledger.Record) -> store.Json:
    """The value of a record's object."""
    return {VERSIONS: {v: state.value for v, state in sorted(record.items())}}


def decode_record(spec: store.Json) -> dict[str, version_ledger.VersionState]:
    """The record that an object holds.

    :raises ValueError: if it is malformed.
    """
    found: store.Json = spec.get(VERSIONS) if isinstance(spec, dict) else None
    if not _IS_VERSIONS(found) or len(found) > MAX_VERSIONS:
        raise validation.Misshapen(VERSIONS, found)
    return {version: _STATES[state] for version, state in found.items()}


class VersionRecords:
    """Reads and writes the records for a ledger.

    :param changed: called when streams may begin at more versions.
    :param tidies: tells whether this VM marks and removes versions.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_fleet_size",
        "_held",
        "_ledger",
        "_log_limit",
        "_reads",
        "_rng",
        "_store",
        "_tasks",
        "_tidied_at",
        "_tidies",
        "_updates",
        "read_count",
        "write_count",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        ledger: version_ledger.VersionLedger,
        store_: RecordStore,
        tasks: task_supervisor.TaskSupervisor,
        changed: typing.Callable[[], None],
        tidies: typing.Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._ledger = ledger
        self._store = store_
        self._tasks = tasks
        self._changed = changed
        self._tidies = tidies
        self._fleet_size = 1
        self._held = ledger.held
        self._log_limit = log_rate_limiter.LogRateLimiter(clock)
        self._tidied_at = clock.now()
        #: Services whose records are being brought up to date.
        self._updates: set[str] = set()
        #: Reads that resuming callers wait for, by service.
        self._reads: dict[str, asyncio.Task[bool]] = {}
        #: Numbers of calls to the store.
        self.read_count = 0
        self.write_count = 0

    def set_fleet_size(self, count: int) -> None:
        """Set how many VMs there are."""
        self._fleet_size = count

    def check(self) -> None:
        """Bring the records up to date that need it."""
        for service in self._ledger.must_read():
            self._begin(service, False)

    def tick(self) -> None:
        """Look for what the time brings; to be called often."""
        self.check()
        held = self._ledger.held
        if held != self._held:
            self._held = held
            self._changed()
        now = self._clock.now()
        if now - self._tidied_at < TIDY_INTERVAL_S:
            return
        self._tidied_at = now
        if self._tidies():
            for service in self._ledger.must_tidy():
                self._begin(service, True)

    async def refresh(self, services: typing.Collection[str]) -> bool:
        """Read the records of some services anew.

        :returns: whether all could be read in time. The store's answer is
            then as of after the call.
        """
        reads = [self._read_shared(service) for service in set(services)]
        done, _ = await asyncio.wait(reads, timeout=READ_TIMEOUT_S)
        return len(done) == len(reads) and all(
            not read.cancelled() and read.result() for read in done
        )

    def _read_shared(self, service: str) -> "asyncio.Task[bool]":
        """A read that has not been sent yet, shared by all who wait."""
        read = self._reads.get(service)
        if read is None:
            read = asyncio.ensure_future(self._read_soon(service))
            self._reads[service] = read
        return read

    async def _read_soon(self, service: str) -> bool:
        # All callers of this turn of the loop share the call.
        await asyncio.sleep(0)
        del self._reads[service]
        try:
            await self._read(service)
        except (store.StoreError, ValueError):
            return False
        return True

    async def _read(
        self, service: str
    ) -> tuple[dict[str, version_ledger.VersionState], int | None]:
        asked_at = self._clock.now()
        self.read_count += 1
        stored = await self._store.get(KIND, service)
        record = {} if stored is None else decode_record(stored.spec)
        self._ledger.read(service, record, asked_at)
        return record, None if stored is None else stored.revision

    def _begin(self, service: str, tidies: bool) -> None:
        if service not in self._updates:
            self._updates.add(service)
            self._tasks.spawn(self._update(service, tidies))

    async def _update(self, service: str, tidies: bool) -> None:
        delays = backoff.Backoff(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        try:
            while not await self._try_update(service, tidies):
                delay_s = delays.record_failure()
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
        finally:
            self._updates.discard(service)
        self._changed()

    async def _try_update(self, service: str, tidies: bool) -> bool:
        """Read a service's record, and write it if it has to change."""
        try:
            record, revision = await self._read(service)
            if self._ledger.next_record(service, record, tidies) == record:
                return True
            spread_s = min(MAX_SPREAD_S, SPREAD_PER_VM_S * self._fleet_size)
            await asyncio.sleep(self._rng.uniform(0.0, spread_s))
            record, revision = await self._read(service)
            following = self._ledger.next_record(service, record, tidies)
            if following != record:
                await self._write(service, following, revision)
        except store.Conflict:
            return False
        except (store.StoreError, ValueError) as error:
            if self._log_limit.allows(service):
                logs.event(
                    "stream_versions_failed",
                    service=service,
                    error=f"{type(error).__name__}: {error}",
                )
            return False
        return True

    async def _write(
        self,
        service: str,
        record: dict[str, version_ledger.VersionState],
        revision: int | None,
    ) -> None:
        if len(record) > MAX_VERSIONS:
            # Nobody could read it any more.
            raise validation.Misshapen(VERSIONS, len(record))
        asked_at = self._clock.now()
        self.write_count += 1
        spec = encode_record(record)
        if revision is None:
            await self._store.create(KIND, service, spec)
        else:
            await self._store.replace(KIND, service, spec, revision)
        self._ledger.read(service, record, asked_at)
        logs.event(
            "stream_versions_recorded",
            service=service,
            versions=",".join(
                f"{version}:{state.value}"
                for version, state in sorted(record.items())
            ),
        )
