"""Records of where streams began, which end by themselves."""

import hashlib
import itertools

from .. import clock as clocks
from ..runners import model as models

#: Length of a stream's key in bytes. A caller that chooses its call's ids must
#: not be able to find two with one key.
KEY_BYTES = 12
#: Upper limit of the records of one VM; the oldest are dropped beyond it.
MAX_RECORDS = 32768


def stream_key(customer: str, call_id: str) -> bytes:
    """The key under which all VMs know a stream.

    A customer's ids are its own: another customer's call with the same id has
    another key.

    :param customer: the customer's name; "" on a route without customers.
    :param call_id: the id of the call whose response began the stream.
    """
    text = f"{customer}\0{call_id}".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


class OriginRecord:
    """Where one stream began, as one VM knows it.

    :param recorded_at: when the stream began or went on last, on the VM's
        monotonic clock.
    :param until: when the record ends, on the same clock.
    """

    __slots__ = ("origin", "recorded_at", "until")

    def __init__(
        self, origin: models.StreamOrigin, recorded_at: float, until: float
    ) -> None:
        self.origin = origin
        self.recorded_at = recorded_at
        self.until = until


class OriginTable:
    """The records of one VM, of its own streams and of other VMs'.

    :param max_records: upper limit of their number.
    """

    __slots__ = ("_clock", "_max_records", "_origins", "_records")

    def __init__(
        self, clock: clocks.Clock, max_records: int = MAX_RECORDS
    ) -> None:
        self._clock = clock
        self._max_records = max_records
        #: In the order in which they were recorded.
        self._records: dict[bytes, OriginRecord] = {}
        #: One object for each origin, as many records share it.
        self._origins: dict[models.StreamOrigin, models.StreamOrigin] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def records(self) -> dict[bytes, OriginRecord]:
        """The records that have not ended, by key."""
        now = self._clock.now()
        return {k: r for k, r in self._records.items() if r.until > now}

    def add(
        self,
        key: bytes,
        origin: models.StreamOrigin,
        lifetime_s: float,
        age_s: float = 0.0,
    ) -> None:
        """Record where a stream began, or that it has gone on.

        :param lifetime_s: for how long the stream may be taken up again.
        :param age_s: how long ago it began or went on, in seconds.
        """
        recorded_at = self._clock.now() - age_s
        known = self._records.pop(key, None)
        if known is not None and known.recorded_at > recorded_at:
            self._records[key] = known
            return
        self._records[key] = OriginRecord(
            self._origins.setdefault(origin, origin),
            recorded_at,
            recorded_at + lifetime_s,
        )
        if len(self._records) > self._max_records:
            del self._records[next(iter(self._records))]

    def get(self, key: bytes) -> OriginRecord | None:
        """The record of a stream; None if there is none, or it has ended."""
        record = self._records.get(key)
        if record is None or record.until <= self._clock.now():
            return None
        return record

    def discard(self, key: bytes) -> None:
        """Drop the record of a stream, which nobody will take up again."""
        self._records.pop(key, None)

    def expire(self) -> None:
        """Drop records that have ended.

        One that lives long keeps later ones until it ends.
        """
        now = self._clock.now()
        ended = list(
            itertools.takewhile(
                lambda key: self._records[key].until <= now, self._records
            )
        )
        for key in ended:
            del self._records[key]
        if not self._records:
            self._origins.clear()
