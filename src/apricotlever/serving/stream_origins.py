"""Knows where streams began, also those that other VMs have served.

See :mod:`..streams`. While all runners of a service have one version, the
records of streams that have just begun are sent together: until then, the
store's record of versions shows each VM where they began.
"""

import asyncio
import collections
import enum
import random
import typing

from .. import clock as clocks
from ..runners import model as models
from ..streams import keeper_ring
from ..streams import origin_table
from ..streams import version_history
from ..streams import version_ledger

from . import configuration_model
from . import limit_protocol
from . import messages
from . import origin_checkpoint
from . import stream_origin_protocol as protocols
from . import task_supervisor
from . import version_records

#: For how long a stream may be taken up again after it has begun or gone on,
#: as a multiple of the time that its route gives a call.
LIFETIME_FACTOR = 2.0
#: For how long a directory is taken to be up to date after it was confirmed,
#: in seconds: longer than a watch of the store waits for changes.
CURRENT_S = 5.0
#: A process that has not run its periodic work for so long, in seconds, was
#: suspended.
STALL_S = 0.5
#: For how long other VMs are still asked once this VM hears from none, in
#: seconds. It may be this VM that was suspended.
KEEP_PEERS_S = 3.0
#: Seconds between two updates of the other VMs, each of which looks at all of
#: them.
FLEET_INTERVAL_S = 0.5


class Source(enum.Enum):
    """How it is known where a stream began."""

    #: This VM served it, or keeps its record.
    OWN = "own"
    #: Another VM keeps its record.
    KEEPER = "keeper"
    #: Only one version has served since it can have begun.
    SOLE_VERSION = "sole_version"
    #: It is not known.
    UNKNOWN = "unknown"


class Finding:
    """Where a stream began.

    :param origin: None if that is unknown.
    :param age_s: the age of the record, in seconds; None without one.
    :param seen: the origins that it may have by all that is known, if there is
        no record.
    :param answers: number of other VMs that told what they know.
    :param vouched: who has read the store's record for this question: this VM
        ("store") or another one ("peer"); "" if nobody has.
    """

    __slots__ = (
        "source",
        "origin",
        "age_s",
        "seen",
        "answers",
        "vouched",
        "unconfirmed_s",
    )

    def __init__(
        self,
        source: Source,
        origin: models.StreamOrigin | None,
        age_s: float | None = None,
        seen: frozenset[models.StreamOrigin] = frozenset(),
        answers: int = 0,
        vouched: str = "",
    ) -> None:
        self.source = source
        self.origin = origin
        self.age_s = age_s
        self.seen = seen
        self.answers = answers
        self.vouched = vouched
        #: How long ago the directory was last confirmed, in seconds.
        self.unconfirmed_s: float | None = None


class Peer:
    """Another VM that may keep records.

    :param address: where it receives messages about limits.
    """

    __slots__ = ("address", "data_centre")

    def __init__(
        self, address: limit_protocol.Address, data_centre: str
    ) -> None:
        self.address = address
        self.data_centre = data_centre


def lifetime_s(route: configuration_model.Route) -> float:
    """For how long a route's streams may be taken up again, in seconds."""
    return min(protocols.MAX_LIFETIME_S, LIFETIME_FACTOR * route.timeout_s)


def key_of(
    call: messages.CallerCall, customer: configuration_model.Customer | None
) -> bytes | None:
    """The key of the stream that a call begins or resumes.

    :returns: None if the caller doesn't say which stream it is.
    """
    if not call.stream_id:
        return None
    return origin_table.stream_key(
        customer.name if customer is not None else "", call.stream_id
    )


class StreamOrigins:
    """Records where this VM's streams begin, and finds where others began.

    :param vm: this VM's name.
    :param unconfirmed_s: tells how long ago, in seconds, this VM's directory
        of runners was last known to be up to date.
    """

    __slots__ = (
        "_checkpoint",
        "_clock",
        "_data_centre",
        "_fleet_set_at",
        "_had_peers_at",
        "_history",
        "_ledger",
        "_peers",
        "_protocol",
        "_records",
        "_ring",
        "_results",
        "_table",
        "_tasks",
        "_ticked_at",
        "_unconfirmed_s",
        "_unsent",
        "_vm",
        "sent_count",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        vm: str,
        data_centre: str,
        unconfirmed_s: typing.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._data_centre = data_centre
        self._unconfirmed_s = unconfirmed_s
        self._ticked_at: float | None = None
        self._had_peers_at = float("-inf")
        self._table = origin_table.OriginTable(clock)
        self._history = version_history.VersionHistory(clock)
        self._ledger = version_ledger.VersionLedger(clock)
        self._records: version_records.VersionRecords | None = None
        self._checkpoint: origin_checkpoint.OriginCheckpoint | None = None
        self._tasks: task_supervisor.TaskSupervisor | None = None
        self._ring = keeper_ring.KeeperRing()
        self._protocol: protocols.StreamOriginProtocol | None = None
        self._peers: dict[str, Peer] = {}
        self._fleet_set_at = float("-inf")
        #: Keys of this VM's streams whose records are not sent yet, in the
        #: order of their beginnings.
        self._unsent: dict[bytes, None] = {}
        #: How often a caller resumed a stream, by what was known of it.
        self._results: collections.Counter[str] = collections.Counter()
        #: How many records were sent.
        self.sent_count = 0

    @property
    def history(self) -> version_history.VersionHistory:
        """The versions of each service."""
        return self._history

    @property
    def results(self) -> dict[str, int]:
        """How often a caller resumed a stream, by :class:`Source`."""
        return dict(self._results)

    @property
    def counters(self) -> dict[str, float]:
        """Values for the metrics, by name."""
        records = self._records
        return {
            "stream_records": len(self._table),
            "stream_records_sent_total": self.sent_count,
            "stream_versions_recorded": self._ledger.recorded_count,
            "stream_versions_held": len(self._ledger.held),
            "stream_version_reads_total": records.read_count if records else 0,
            "stream_version_writes_total": (
                records.write_count if records else 0
            ),
            "stream_checkpoint_writes_total": (
                self._checkpoint.write_count if self._checkpoint else 0
            ),
        }

    @property
    def held(self) -> frozenset[models.StreamOrigin]:
        """Versions at which no stream may begin yet.

        What nobody has written down would be lost with all VMs.
        """
        return self._ledger.held if self._records else frozenset()

    @property
    def wants_fleet(self) -> bool:
        """Whether :meth:`set_fleet` is due."""
        if self._protocol is None:
            return False
        return self._clock.now() - self._fleet_set_at >= FLEET_INTERVAL_S

    def enable_protocol(self, transport: limit_protocol.LimitProtocol) -> None:
        """From now on, exchange messages with the other VMs."""
        self._protocol = protocols.StreamOriginProtocol(
            transport, self, int(self._clock.now() * 1e6)
        )

    def enable_records(
        self,
        rng: random.Random,
        store: version_records.RecordStore,
        tasks: task_supervisor.TaskSupervisor,
        changed: typing.Callable[[], None],
        tidies: typing.Callable[[], bool],
    ) -> None:
        """From now on, keep the versions of all streams in the store.

        :param changed: see :class:`.version_records.VersionRecords`, as for
            `tidies`.
        """
        self._records = version_records.VersionRecords(
            self._clock, rng, self._ledger, store, tasks, changed, tidies
        )
        self._tasks = tasks
        self._checkpoint = origin_checkpoint.OriginCheckpoint(
            self._clock, self._vm, store
        )
        tasks.spawn(self._restore(self._checkpoint))

    async def _restore(
        self, checkpoint: origin_checkpoint.OriginCheckpoint
    ) -> None:
        """Take up the records that this VM had before its start."""
        for each in await checkpoint.read():
            self._table.add(each.key, each.origin, each.lifetime_s)

    def _write_checkpoint(self) -> None:
        """Write the records that only VMs know while versions overlap."""
        checkpoint, tasks = self._checkpoint, self._tasks
        if checkpoint is None or tasks is None:
            return
        if not checkpoint.is_time(len(self._peers) + 1):
            return
        services = [s for s in self._ledger.services if self._has_several(s)]
        if not services:
            return
        records = {
            key: record
            for key, record in self._table.records.items()
            if record.origin.service in services
        }
        if checkpoint.lacks(records):
            tasks.spawn(checkpoint.write(records))

    def configure(
        self, configuration: configuration_model.Configuration
    ) -> None:
        """Set which services' streams may be taken up again."""
        lifetimes: dict[str, float] = {}
        for route in configuration.routes:
            if not route.resumable:
                continue
            for service, _ in route.targets:
                known_s = lifetimes.get(service, 0.0)
                lifetimes[service] = max(known_s, lifetime_s(route))
        self._ledger.set_lifetimes(lifetimes)

    def set_fleet(
        self, peers: typing.Mapping[str, Peer], eligible: bool
    ) -> None:
        """Set which VMs there are; the caller does so when it is due.

        :param peers: the other VMs that may keep records, by name.
        :param eligible: whether this VM may keep records, too.
        """
        now = self._clock.now()
        self._fleet_set_at = now
        if peers:
            self._had_peers_at = now
        elif now - self._had_peers_at < KEEP_PEERS_S:
            return
        self._peers = dict(peers)
        if self._records is not None:
            self._records.set_fleet_size(len(peers) + 1)
        vms = {name: peer.data_centre for name, peer in peers.items()}
        if eligible:
            vms[self._vm] = self._data_centre
        self._ring.set_vms(vms)

    def set_origins(
        self, origins: typing.Iterable[models.StreamOrigin]
    ) -> None:
        """Set the origins of all runners that serve now.

        Once a service has several versions, its streams' records go out
        before anybody needs them.
        """
        present = frozenset(origins)
        self._history.observe(present)
        self._ledger.observe(present)
        if self._records is not None:
            self._records.check()
        self._send(
            [
                key
                for key in self._unsent
                if (record := self._table.get(key)) is None
                or self._has_several(record.origin.service)
            ]
        )

    def began(
        self, key: bytes, origin: models.StreamOrigin, life_s: float
    ) -> None:
        """Record that a stream of this VM's caller has begun or gone on.

        To be called before the caller gets its first event.

        :param life_s: for how long it may be taken up again, in seconds.
        """
        self._table.add(key, origin, life_s)
        self._unsent[key] = None
        if self._has_several(origin.service):
            self._send([key])

    def ended(self, key: bytes) -> None:
        """Record that a stream is complete, so that nobody resumes it."""
        if key in self._unsent:
            del self._unsent[key]
            self._table.discard(key)

    def tick(self) -> None:
        """Send the records that are due, and drop those that have ended.

        The caller does so several times a second.
        """
        self._ledger.set_watching(self._is_current)
        self._ticked_at = self._clock.now()
        if self._records is not None:
            self._records.tick()
        self._write_checkpoint()
        self._send(list(self._unsent))
        self._table.expire()
        self._history.expire()

    def hand_over(self) -> None:
        """Send all records to VMs that stay, as this one is about to end."""
        self._send(list(self._table.records))

    async def find(
        self,
        key: bytes | None,
        services: typing.Collection[str],
        within_s: float,
    ) -> Finding:
        """Find where a stream began that a caller resumes.

        :param key: None if the caller doesn't say which stream it is.
        :param services: the services whose runners may have begun it.
        :param within_s: how long ago it may have begun, in seconds.
        """
        finding = await self._find(key, services, within_s)
        finding.unconfirmed_s = self._unconfirmed_s()
        self._results[finding.source.value] += 1
        return finding

    # Methods of stream_origin_protocol.Vm.

    def known_origin(
        self, key: bytes, services: typing.Collection[str], within_s: float
    ) -> protocols.KeeperAnswer:
        """Answer another VM's question."""
        seen = self._seen(services, within_s) if self._is_current else None
        return self._answer(key, seen)

    async def read_origin(
        self,
        key: bytes | None,
        services: typing.Collection[str],
        within_s: float,
    ) -> protocols.KeeperAnswer:
        """Read the store for another VM, and answer its question."""
        is_read = await self._read_records(services)
        seen = self._seen(services, within_s) if is_read else None
        return self._answer(key, seen)

    def receive_record(self, record: protocols.SentRecord) -> None:
        """Keep a record of another VM."""
        self._table.add(
            record.key, record.origin, record.lifetime_s, record.age_s
        )

    def _answer(
        self, key: bytes | None, seen: frozenset[models.StreamOrigin] | None
    ) -> protocols.KeeperAnswer:
        """What this VM knows of a stream, and of all streams' origins."""
        record = None if key is None else self._table.get(key)
        if record is None:
            return protocols.KeeperAnswer(None, 0.0, seen)
        age_s = self._clock.now() - record.recorded_at
        return protocols.KeeperAnswer(record.origin, max(0.0, age_s), seen)

    @property
    def _is_current(self) -> bool:
        """Whether this VM's directory may show which versions serve.

        After a suspension it does so only once it was confirmed again.
        """
        now = self._clock.now()
        if self._ticked_at is not None and now - self._ticked_at > STALL_S:
            return False
        return self._unconfirmed_s() < CURRENT_S

    async def _find(
        self,
        key: bytes | None,
        services: typing.Collection[str],
        within_s: float,
    ) -> Finding:
        if key is not None:
            own = self._table.get(key)
            if own is not None:
                age_s = self._clock.now() - own.recorded_at
                return Finding(Source.OWN, own.origin, age_s)
        read = asyncio.ensure_future(self._read_records(services))
        answers = 0
        others: frozenset[models.StreamOrigin] = frozenset()
        if key is not None:
            # The store most likely tells it, so lost VMs aren't waited for.
            is_sole = len(self._seen(services, within_s)) == 1
            tries = 1 if is_sole and self._is_current else protocols.TRIES
            async for answer in self._ask(key, services, within_s, tries):
                if answer.origin is not None:
                    return Finding(Source.KEEPER, answer.origin, answer.age_s)
                if answer.seen is not None:
                    answers += 1
                    others |= answer.seen
        vouched = ""
        if await read:
            vouched = "store"
        else:
            async for answer in self._ask_to_read(key, services, within_s):
                if answer.origin is not None:
                    return Finding(Source.KEEPER, answer.origin, answer.age_s)
                if answer.seen is not None:
                    vouched = "peer"
                    others |= answer.seen
                    break
        seen = others | self._seen(services, within_s)
        if len(seen) == 1 and vouched:
            (origin,) = seen
            return Finding(
                Source.SOLE_VERSION, origin, None, seen, answers, vouched
            )
        return Finding(Source.UNKNOWN, None, None, seen, answers, vouched)

    async def _read_records(self, services: typing.Collection[str]) -> bool:
        """Read which versions' streams may be alive; whether that worked."""
        if self._records is None:
            return False
        return await self._records.refresh(services)

    def _seen(
        self, services: typing.Collection[str], within_s: float
    ) -> frozenset[models.StreamOrigin]:
        """The origins that streams may have by all that this VM knows."""
        return self._history.seen(services, within_s) | self._ledger.recorded(
            services
        )

    def _has_several(self, service: str) -> bool:
        """Whether a service's streams may have begun at several versions."""
        return (
            self._history.has_several(service)
            or len(self._ledger.recorded((service,))) > 1
        )

    def _ask(
        self,
        key: bytes,
        services: typing.Collection[str],
        within_s: float,
        tries: int,
    ) -> typing.AsyncIterator[protocols.KeeperAnswer]:
        """Ask the VMs that may have the record of a stream.

        :param tries: how often each is asked that doesn't answer.
        :returns: their answers, in the order in which they come.
        """
        return self._collect(
            key,
            lambda protocol, address: protocol.ask(
                address, key, services, within_s, tries
            ),
        )

    def _ask_to_read(
        self,
        key: bytes | None,
        services: typing.Collection[str],
        within_s: float,
    ) -> typing.AsyncIterator[protocols.KeeperAnswer]:
        """Ask some VMs to read the store, those that may have the record.

        :returns: their answers, in the order in which they come.
        """
        return self._collect(
            # Without a key, each VM asks others.
            key or origin_table.stream_key(self._vm, ""),
            lambda protocol, address: protocol.ask_to_read(
                address, key, services, within_s
            ),
        )

    async def _collect(
        self,
        key: bytes,
        ask: typing.Callable[
            [protocols.StreamOriginProtocol, limit_protocol.Address],
            typing.Coroutine[typing.Any, typing.Any, protocols.KeeperAnswer],
        ],
    ) -> typing.AsyncIterator[protocols.KeeperAnswer]:
        """Ask the VMs that may keep a key.

        :param ask: asks a VM at an address.
        :returns: their answers, in the order in which they come.
        """
        if self._protocol is None:
            return
        questions = [
            asyncio.ensure_future(ask(self._protocol, self._peers[vm].address))
            for vm in self._ring.candidates(key)
            if vm in self._peers
        ]
        try:
            for question in asyncio.as_completed(questions):
                try:
                    yield await question
                except TimeoutError:
                    continue
        finally:
            for task in questions:
                task.cancel()

    def _send(self, keys: typing.Iterable[bytes]) -> None:
        """Send the records of some streams to their keepers."""
        now = self._clock.now()
        by_keeper: dict[str, list[protocols.SentRecord]] = {}
        for key in keys:
            self._unsent.pop(key, None)
            record = self._table.get(key)
            if record is None:
                continue
            sent = protocols.SentRecord(
                key,
                record.origin,
                record.until - record.recorded_at,
                now - record.recorded_at,
            )
            for vm in self._ring.keepers(key, self._vm):
                if vm in self._peers:
                    by_keeper.setdefault(vm, []).append(sent)
        if self._protocol is None:
            return
        for vm, records in by_keeper.items():
            self.sent_count += len(records)
            self._protocol.send_records(self._peers[vm].address, records)
