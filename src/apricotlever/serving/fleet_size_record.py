"""The store's record of the size of the fleet.

See :mod:`..vms.fleet_size`. A process reads the record at its start, again and
again until there is one, and rarely later. The VMs that follow the store write
it.
"""

import asyncio
import random
import typing

from .. import backoff
from .. import logs
from .. import validation
from ..vms import fleet_size

from . import store
from . import version_records

#: Kind and name of the object, and the field with the number of VMs.
KIND = "fleet"
NAME = "size"
SIZE = "vms"
#: Time between two looks whether the record must be written, in seconds.
LOOK_S = 0.5
#: Pauses between two tries to read a record that is missing, in seconds.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 30.0
#: Time between two reads of a record that is known, in seconds.
READ_INTERVAL_S = 300.0
#: Part by which that time varies, so that VMs that start at once don't go on
#: reading at once.
JITTER = 0.5


class FleetSizeRecord:
    """Keeps a process's knowledge of the fleet's size and the record alike.

    :param size: what this process knows.
    :param writes: tells whether this VM writes the record.
    """

    __slots__ = ("_read_at", "_revision", "_rng", "_size", "_store", "_writes")

    def __init__(
        self,
        rng: random.Random,
        size: fleet_size.FleetSize,
        store_: version_records.RecordStore,
        writes: typing.Callable[[], bool],
    ) -> None:
        self._rng = rng
        self._size = size
        self._store = store_
        self._writes = writes
        #: Revision of the object as read last; None if there was none.
        self._revision: int | None = None
        #: When the record was read last, on the event loop's clock.
        self._read_at = float("-inf")

    async def run(self) -> None:
        """Read the record, and keep it as it should be, without end."""
        loop = asyncio.get_running_loop()
        retries = backoff.Backoff(MIN_RETRY_S, MAX_RETRY_S)
        pause_s = 0.0
        while True:
            if loop.time() - self._read_at >= pause_s:
                if await self.read():
                    retries.reset()
                    pause_s = READ_INTERVAL_S
                else:
                    pause_s = retries.record_failure()
                pause_s *= 1.0 + JITTER * self._rng.random()
                self._read_at = loop.time()
            if await self.write():
                pause_s = READ_INTERVAL_S
            await asyncio.sleep(LOOK_S)

    async def read(self) -> bool:
        """Read the record.

        :returns: whether there is a readable one.
        """
        try:
            found = await self._store.get(KIND, NAME)
        except store.StoreError as error:
            logs.event("fleet_size_unread", error=type(error).__name__)
            return False
        if found is None:
            self._revision = None
            self._size.set_stored(None)
            return False
        self._revision = found.revision
        size = found.spec.get(SIZE) if isinstance(found.spec, dict) else None
        if not _is_size(size):
            logs.event("stored_refused", kind=KIND, object=NAME, part=SIZE)
            size = None
        self._size.set_stored(size)
        return size is not None

    async def write(self) -> bool:
        """Write the record if it should name another size.

        :returns: whether it was written.
        """
        size = self._size.size_to_store
        if size is None or not self._writes():
            return False
        try:
            if self._revision is None:
                stored = await self._store.create(KIND, NAME, {SIZE: size})
            else:
                stored = await self._store.replace(
                    KIND, NAME, {SIZE: size}, self._revision
                )
        except (store.Conflict, store.NotFound):
            await self.read()
            return False
        except store.StoreError as error:
            logs.event("fleet_size_unwritten", error=type(error).__name__)
            return False
        self._revision = stored.revision
        self._size.set_stored(size)
        logs.event("fleet_size_written", size=size)
        return True


def _is_size(value: typing.Any) -> bool:
    return (
        validation.is_non_negative_int(value)
        and 1 <= value <= fleet_size.MAX_SIZE
    )
