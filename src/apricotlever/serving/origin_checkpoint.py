"""Keeps this VM's records of streams in the store while versions overlap.

While streams of several versions may be alive, only a record tells where one
began. All VMs that have it may be killed at once, so each VM writes what it
knows to an object of its own, and reads it again at its start.
"""

import base64
import binascii
import typing

from .. import clock as clocks
from .. import logs
from .. import validation
from ..runners import model as models
from ..streams import origin_table

from . import store
from . import stream_origin_protocol as protocols
from . import version_records

#: Kind of the objects in the store; each has the name of its VM.
KIND = "stream_origins"
#: Shortest time between two writes of a VM, in seconds, and the writes a
#: second that the VMs of a fleet make together at most.
MIN_INTERVAL_S = 0.5
MAX_WRITES_PER_S = 40.0
#: Upper limit of the records of an object, the newest: some 0.6 MB.
MAX_RECORDS = 16384
ORIGINS = "origins"
RECORDS = "records"
WRITTEN_AT = "written_at"

_IS_ORIGINS = validation.is_list_of(
    validation.is_tuple_of(validation.is_name, validation.is_string)
)
_IS_RECORDS = validation.is_map_of(
    validation.is_name,
    validation.is_tuple_of(
        validation.is_non_negative_int, validation.is_non_negative_number
    ),
)


class Restored:
    """A record that was read.

    :param lifetime_s: for how long it is kept, from now on, in seconds.
    """

    __slots__ = ("key", "origin", "lifetime_s")

    def __init__(
        self, key: bytes, origin: models.StreamOrigin, lifetime_s: float
    ) -> None:
        self.key = key
        self.origin = origin
        self.lifetime_s = lifetime_s


def encode(
    records: typing.Mapping[bytes, origin_table.OriginRecord], wall: float
) -> store.Json:
    """The value of the object that holds some records."""
    newest = list(records.items())[-MAX_RECORDS:]
    origins = {record.origin: None for _, record in newest}
    indices = {origin: index for index, origin in enumerate(origins)}
    return {
        ORIGINS: [[each.service, each.version] for each in origins],
        RECORDS: {
            base64.b64encode(key).decode(): [
                indices[record.origin],
                round(record.until - record.recorded_at, 3),
            ]
            for key, record in newest
        },
        WRITTEN_AT: wall,
    }


def decode(spec: store.Json, wall: float) -> list[Restored]:
    """Read an object's value.

    A record counts its lifetime anew: times of two starts of a VM can't be
    compared. It is kept too long at worst.

    :returns: nothing if it is too old to matter.
    :raises ValueError: if it is malformed.
    """
    found: typing.Any = spec if isinstance(spec, dict) else {}
    origins, records = found.get(ORIGINS), found.get(RECORDS)
    written_at = found.get(WRITTEN_AT)
    if not (
        _IS_ORIGINS(origins)
        and _IS_RECORDS(records)
        and validation.is_non_negative_number(written_at)
    ):
        raise validation.Misshapen(KIND, spec)
    if abs(wall - written_at) > 2.0 * protocols.MAX_LIFETIME_S:
        return []
    return [
        Restored(
            _decode_key(text),
            models.StreamOrigin(*_at(origins, index)),
            min(lifetime_s, protocols.MAX_LIFETIME_S),
        )
        for text, (index, lifetime_s) in records.items()
    ]


def _at(origins: list[list[str]], index: int) -> list[str]:
    if index >= len(origins):
        raise validation.Misshapen(ORIGINS, index)
    return origins[index]


def _decode_key(text: str) -> bytes:
    try:
        key = base64.b64decode(text, validate=True)
    except binascii.Error as error:
        raise validation.Misshapen(RECORDS, text) from error
    if len(key) != origin_table.KEY_BYTES:
        raise validation.Misshapen(RECORDS, text)
    return key


class OriginCheckpoint:
    """Writes a VM's records to the store, and reads those of its last start.

    :param vm: the VM's name, that of its object.
    """

    __slots__ = (
        "_clock",
        "_is_running",
        "_store",
        "_vm",
        "_written_at",
        "_written_keys",
        "write_count",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        vm: str,
        store_: version_records.RecordStore,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._store = store_
        self._written_at = float("-inf")
        self._written_keys: frozenset[bytes] = frozenset()
        self._is_running = False
        #: Number of writes to the store.
        self.write_count = 0

    def is_time(self, fleet_size: int) -> bool:
        """Whether this VM may write again."""
        interval_s = max(MIN_INTERVAL_S, fleet_size / MAX_WRITES_PER_S)
        since_s = self._clock.now() - self._written_at
        return not self._is_running and since_s >= interval_s

    def lacks(
        self, records: typing.Mapping[bytes, origin_table.OriginRecord]
    ) -> bool:
        """Whether some of the records have not been written yet."""
        return not records.keys() <= self._written_keys

    async def write(
        self, records: typing.Mapping[bytes, origin_table.OriginRecord]
    ) -> None:
        """Write some records; a failure is tried again with the next ones."""
        self._is_running = True
        self._written_at = self._clock.now()
        spec = encode(records, self._clock.wall())
        try:
            self.write_count += 1
            await self._put(spec)
        except store.StoreError as error:
            logs.event(
                "stream_versions_failed",
                service=KIND,
                error=f"{type(error).__name__}: {error}",
            )
        else:
            self._written_keys = frozenset(records)
        finally:
            self._is_running = False

    async def _put(self, spec: store.Json) -> None:
        try:
            await self._store.replace(KIND, self._vm, spec, None)
        except store.NotFound:
            await self._store.create(KIND, self._vm, spec)

    async def read(self) -> list[Restored]:
        """Read what this VM has written before its start.

        :returns: nothing if there is nothing, or it can't be read.
        """
        try:
            found = await self._store.get(KIND, self._vm)
            if found is None:
                return []
            return decode(found.spec, self._clock.wall())
        except (store.StoreError, ValueError) as error:
            logs.event(
                "stream_versions_failed",
                service=KIND,
                error=f"{type(error).__name__}: {error}",
            )
            return []
