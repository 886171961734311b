"""The client of the platform's object store."""

import typing

from . import channels
from . import pool as pools

Json = typing.Any

#: The store answers in milliseconds; one that takes so long is not there.
CALL_S = 1.2
#: How much later than it should a watch may end before its connection
#: counts as silent.
WATCH_MARGIN_S = 0.7
WATCH_S = 4.0


class StoreError(Exception):
    """Any failure of a call to the store."""


class NotDone(StoreError):
    """The call had no effect and never will."""


class NotFound(NotDone):
    """There is no such object to change."""


class Unanswered(StoreError):
    """The call may have had its effect, or may have it later."""


class Conflict(StoreError):
    """The object is not at the expected revision."""


class HistoryGone(StoreError):
    """The store no longer knows the changes since a revision."""


class StoredObject:
    """One object.

    :param revision: of its last change.
    """

    __slots__ = ("name", "revision", "spec", "status")

    def __init__(
        self, name: str, revision: int, spec: Json, status: Json
    ) -> None:
        self.name = name
        self.revision = revision
        self.spec = spec
        self.status = status


class Page:
    """A part of a list.

    :param more: whether the list goes on after the last object.
    :param revision: of the whole store when the list was read.
    :param unreadable: objects of it that can't be read, names included.
    """

    __slots__ = ("objects", "more", "revision", "unreadable")

    def __init__(
        self,
        objects: list[StoredObject],
        more: bool,
        revision: int,
        unreadable: int = 0,
    ) -> None:
        self.objects = objects
        self.more = more
        self.revision = revision
        self.unreadable = unreadable


class Change:
    """What a watch brings of one object."""

    __slots__ = ("stored", "deleted")

    def __init__(self, stored: StoredObject, deleted: bool) -> None:
        self.stored = stored
        self.deleted = deleted


class Changes:
    """An answer to a watch.

    :param revision: from which the watch goes on.
    :param unreadable: changes of which it can't be read what they are.
    """

    __slots__ = ("changes", "revision", "unreadable")

    def __init__(
        self, changes: list[Change], revision: int, unreadable: int = 0
    ) -> None:
        self.changes = changes
        self.revision = revision
        self.unreadable = unreadable


class Call:
    """A call to the store as it goes over the wire."""

    __slots__ = ("method", "target", "body")

    def __init__(self, method: str, target: str, body: bytes = b"") -> None:
        self.method = method
        self.target = target
        self.body = body


class Codec(typing.Protocol):
    """How calls to the store look."""

    @property
    def durable(self) -> bool:
        """Whether the store keeps whatever it has acknowledged."""

    def list_call(self, kind: str, after: str | None, stale: bool) -> Call:
        """List a kind, from after a name on."""

    def watch_call(self, kind: str, revision: int, wait_s: float) -> Call:
        """Wait for changes of a kind after a revision."""

    def get_call(self, kind: str, name: str) -> Call:
        """Read one object."""

    def create_call(self, kind: str, name: str, spec: Json) -> Call:
        """Create an object."""

    def replace_call(
        self, kind: str, name: str, spec: Json, revision: int | None
    ) -> Call:
        """Replace an object's value, only at a revision if one is given."""

    def status_call(
        self, kind: str, name: str, status: Json, revision: int
    ) -> Call:
        """Replace an object's status if it is at the given revision."""

    def delete_call(self, kind: str, name: str) -> Call:
        """Remove an object."""

    def page(self, body: bytes) -> Page:
        """Read a list."""

    def changes(self, body: bytes) -> Changes:
        """Read the answer to a watch."""

    def stored(self, body: bytes) -> StoredObject:
        """Read one object."""


class Store:
    """Calls to the store; each gets an answer or a typed error.

    :param codec: how the calls look.
    """

    __slots__ = ("_codec", "_host", "_port", "_pool", "_watches", "calls")

    def __init__(self, codec: Codec, host: str, port: int) -> None:
        self._codec = codec
        self._host = host
        self._port = port
        self._pool = pools.Pool(host, port)
        self._watches: dict[str, pools.Pool] = {}
        #: Calls made so far.
        self.calls = 0

    @property
    def durable(self) -> bool:
        """Whether the store keeps whatever it has acknowledged."""
        return self._codec.durable

    async def list_all(self, kind: str, stale: bool = False) -> Page:
        """All objects of a kind, page by page."""
        objects: list[StoredObject] = []
        unreadable = 0
        after: str | None = None
        while True:
            call = self._codec.list_call(kind, after, stale)
            page = _read(self._codec.page, await self._call(call))
            objects += page.objects
            unreadable += page.unreadable
            if not page.more or not page.objects:
                return Page(objects, False, page.revision, unreadable)
            after = page.objects[-1].name

    async def watch(
        self, kind: str, revision: int, wait_s: float = WATCH_S
    ) -> Changes:
        """Wait for changes of a kind.

        :raises HistoryGone: when the list has to be read anew.
        """
        pool = self._watches.setdefault(
            kind, pools.Pool(self._host, self._port)
        )
        call = self._codec.watch_call(kind, revision, wait_s)
        answer = await self._call(call, pool, wait_s + WATCH_MARGIN_S)
        return _read(self._codec.changes, answer)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """One object, None if there is none."""
        answer = await self._call(self._codec.get_call(kind, name))
        if answer.status == 404:
            return None
        return _read(self._codec.stored, answer)

    async def create(self, kind: str, name: str, spec: Json) -> StoredObject:
        """Create an object.

        :raises Conflict: when there is one.
        """
        call = self._codec.create_call(kind, name, spec)
        return _read(self._codec.stored, await self._call(call))

    async def replace(
        self, kind: str, name: str, spec: Json, revision: int | None
    ) -> StoredObject:
        """Replace an object's value.

        :raises Conflict: when it is at another revision.
        """
        call = self._codec.replace_call(kind, name, spec, revision)
        return _read(self._codec.stored, await self._call(call))

    async def replace_status(
        self, kind: str, name: str, status: Json, revision: int
    ) -> StoredObject:
        """Replace an object's status.

        :raises Conflict: when it is at another revision.
        """
        call = self._codec.status_call(kind, name, status, revision)
        return _read(self._codec.stored, await self._call(call))

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; one that is not there is no error."""
        await self._call(self._codec.delete_call(kind, name))

    async def _call(
        self,
        call: Call,
        pool: pools.Pool | None = None,
        timeout_s: float = CALL_S,
    ) -> pools.Answer:
        request = pools.request_bytes(
            call.method, call.target, f"{self._host}:{self._port}", call.body
        )
        self.calls += 1
        try:
            answer = await pools.call(pool or self._pool, request, timeout_s)
        except channels.NotConnected as error:
            raise NotDone("not connected") from error
        except (channels.ChannelError, TimeoutError) as error:
            # After a silence the other kept connections may be silent too.
            (pool or self._pool).close()
            raise Unanswered(type(error).__name__) from error
        if answer.status in (429, 503):
            raise NotDone(f"status {answer.status}")
        if answer.status in (409, 412):
            raise Conflict(call.target)
        if answer.status == 410:
            raise HistoryGone(call.target)
        if answer.status == 404 and call.method != "GET":
            raise NotFound(call.target)
        if answer.status >= 400 and answer.status != 404:
            raise NotDone(f"status {answer.status}")
        return answer


_Found = typing.TypeVar("_Found")


def _read(
    decode: typing.Callable[[bytes], _Found], answer: pools.Answer
) -> _Found:
    """What an answer says.

    :raises Unanswered: when it can't be read: a write has had its effect,
        but nothing tells which.
    """
    try:
        return decode(answer.body)
    except ValueError as error:
        raise Unanswered(f"unreadable: {error}") from error
