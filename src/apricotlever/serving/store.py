"""Client of the platform's object store.

An object has a kind and a name, which identify it, a JSON value (its spec) and
a JSON status. The store numbers the changes of its objects by revisions. A
write may name the revision that the object must have. A watch is a long-poll
call that returns the changes of one kind after a revision.
"""

import typing

from . import client_channel
from . import connection_pool as pools

#: A decoded JSON value.
Json = typing.Any

#: Timeout of a call, in seconds. A working store answers in milliseconds.
CALL_TIMEOUT_S = 1.2
#: Time after the end of a watch call's wait until its connection is considered
#: dead, in seconds.
WATCH_TIMEOUT_MARGIN_S = 0.7
#: Default time that a watch call waits for changes, in seconds.
WATCH_WAIT_S = 4.0
#: Upper limit of the objects of one kind.
MAX_LISTED = 200000


class StoreError(Exception):
    """Any failure of a call to the store."""


class NotDone(StoreError):
    """The call had no effect, and will not take effect later."""


class NotFound(NotDone):
    """The object to change does not exist."""


class Unanswered(StoreError):
    """The effect of the call is unknown; it may still take effect."""


class Conflict(StoreError):
    """The object does not have the expected revision, or exists already."""


class HistoryGone(StoreError):
    """The store no longer has the changes after the given revision.

    The list of the objects has to be read again.
    """


class StoredObject:
    """An object in the store, as a call to the store returned it.

    :param revision: the store's revision of the object's last change.
    :param spec: the object's value.
    :param status: the object's status, which is written separately.
    :param unreadable: why value and status are None, if they can't be read;
        "" if they can.
    """

    __slots__ = ("name", "revision", "spec", "status", "unreadable")

    def __init__(
        self,
        name: str,
        revision: int,
        spec: Json,
        status: Json,
        unreadable: str = "",
    ) -> None:
        self.name = name
        self.revision = revision
        self.spec = spec
        self.status = status
        self.unreadable = unreadable


class Page:
    """One page of the list of all objects of a kind.

    :param more: whether more objects follow the last one.
    :param revision: the revision of the whole store when the list was read.
    :param unreadable: the number of objects that can't be read, not even
        their names.
    :param last_name: the name after which the next page begins; None without
        one.
    :param nameless: the number of objects whose names nothing of this fleet
        can have.
    """

    __slots__ = (
        "objects",
        "more",
        "revision",
        "unreadable",
        "last_name",
        "nameless",
    )

    def __init__(
        self,
        objects: list[StoredObject],
        more: bool,
        revision: int,
        unreadable: int = 0,
        last_name: str | None = None,
        nameless: int = 0,
    ) -> None:
        self.objects = objects
        self.more = more
        self.revision = revision
        self.unreadable = unreadable
        self.last_name = last_name
        self.nameless = nameless


class Change:
    """A change of one object, received from a watch.

    :param stored: the object; its state before the removal if it was deleted.
    """

    __slots__ = ("stored", "deleted")

    def __init__(self, stored: StoredObject, deleted: bool) -> None:
        self.stored = stored
        self.deleted = deleted


class Changes:
    """The answer to a watch call: the changes of objects of one kind.

    :param revision: the revision from which the next watch call continues.
    :param unreadable: the number of changes that can't be read.
    :param nameless: the number of changes of objects whose names nothing of
        this fleet can have.
    """

    __slots__ = ("changes", "revision", "unreadable", "nameless")

    def __init__(
        self,
        changes: list[Change],
        revision: int,
        unreadable: int = 0,
        nameless: int = 0,
    ) -> None:
        self.changes = changes
        self.revision = revision
        self.unreadable = unreadable
        self.nameless = nameless


class Call:
    """The HTTP request by which a call to the store is made."""

    __slots__ = ("method", "target", "body")

    def __init__(self, method: str, target: str, body: bytes = b"") -> None:
        self.method = method
        self.target = target
        self.body = body


class Codec(typing.Protocol):
    """Builds the requests of calls to the store, and decodes their answers.

    The decoding methods raise :class:`ValueError` for unreadable bodies.
    """

    @property
    def durable(self) -> bool:
        """Whether the store keeps every acknowledged write."""

    def list_call(self, kind: str, after: str | None, stale: bool) -> Call:
        """Build the call that reads one page of the objects of a kind.

        :param after: the name after which the page starts; None if it is the
            first page.
        :param stale: whether the list may be slightly out of date.
        """

    def watch_call(self, kind: str, revision: int, wait_s: float) -> Call:
        """Build the call that waits for changes of a kind after a revision.

        :param wait_s: the time to wait if there are none, in seconds.
        """

    def get_call(self, kind: str, name: str) -> Call:
        """Build the call that reads one object."""

    def create_call(self, kind: str, name: str, spec: Json) -> Call:
        """Build the call that creates an object."""

    def replace_call(
        self, kind: str, name: str, spec: Json, revision: int | None
    ) -> Call:
        """Build the call that replaces an object's value.

        :param revision: the revision that the object must have; None for any.
        """

    def status_call(
        self, kind: str, name: str, status: Json, revision: int
    ) -> Call:
        """Build the call that replaces the status of an object.

        :param revision: the revision that the object must have.
        """

    def delete_call(self, kind: str, name: str) -> Call:
        """Build the call that deletes an object."""

    def decode_page(self, body: bytes) -> Page:
        """Decode the answer to a call of :meth:`list_call`."""

    def decode_changes(self, body: bytes) -> Changes:
        """Decode the answer to a watch call."""

    def decode_object(self, body: bytes) -> StoredObject:
        """Decode one object, which a read or a write returned."""


class Store:
    """Client of the store. Each call returns an answer or raises `StoreError`.

    Watch calls use a connection pool of their own for each kind.

    :param codec: builds the requests of the calls and decodes the answers.
    """

    __slots__ = ("_codec", "_host", "_port", "_pool", "_watches", "calls")

    def __init__(self, codec: Codec, host: str, port: int) -> None:
        self._codec = codec
        self._host = host
        self._port = port
        self._pool = pools.ConnectionPool(host, port)
        self._watches: dict[str, pools.ConnectionPool] = {}
        #: Number of calls made so far.
        self.calls = 0

    @property
    def durable(self) -> bool:
        """Whether the store keeps every acknowledged write."""
        return self._codec.durable

    async def list_all(self, kind: str, stale: bool = False) -> Page:
        """Get all objects of a kind, page by page.

        :param stale: whether the list may be slightly out of date.
        :returns: all objects as one page, with the revision of the last page.
        :raises Unanswered: if a page doesn't tell where the next one begins.
        """
        objects: list[StoredObject] = []
        unreadable = nameless = 0
        after: str | None = None
        while len(objects) <= MAX_LISTED:
            call = self._codec.list_call(kind, after, stale)
            page = _read(self._codec.decode_page, await self._call(call))
            objects += page.objects
            unreadable += page.unreadable
            nameless += page.nameless
            if not page.more:
                return Page(
                    objects,
                    False,
                    page.revision,
                    unreadable,
                    nameless=nameless,
                )
            if page.last_name is None or page.last_name == after:
                # To go without the rest would take its objects for removed.
                raise Unanswered("a page of the list has no end")
            after = page.last_name
        raise Unanswered("the list has too many objects")

    async def watch(
        self, kind: str, revision: int, wait_s: float = WATCH_WAIT_S
    ) -> Changes:
        """Wait for changes of a kind after a revision.

        :param wait_s: the time to wait if there are none, in seconds.
        :returns: the changes; none if the time has passed without any.
        :raises HistoryGone: if the list has to be read again.
        """
        pool = self._watches.setdefault(
            kind, pools.ConnectionPool(self._host, self._port)
        )
        call = self._codec.watch_call(kind, revision, wait_s)
        answer = await self._call(call, pool, wait_s + WATCH_TIMEOUT_MARGIN_S)
        return _read(self._codec.decode_changes, answer)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Get one object; None if it does not exist."""
        answer = await self._call(self._codec.get_call(kind, name))
        if answer.status == 404:
            return None
        return _read(self._codec.decode_object, answer)

    async def create(self, kind: str, name: str, spec: Json) -> StoredObject:
        """Create an object.

        :raises Conflict: if it exists already.
        """
        call = self._codec.create_call(kind, name, spec)
        return _read(self._codec.decode_object, await self._call(call))

    async def replace(
        self, kind: str, name: str, spec: Json, revision: int | None
    ) -> StoredObject:
        """Replace an object's value.

        :param revision: the revision that the object must have; None for any.
        :raises Conflict: if it has another revision.
        :raises NotFound: if it does not exist.
        """
        call = self._codec.replace_call(kind, name, spec, revision)
        return _read(self._codec.decode_object, await self._call(call))

    async def replace_status(
        self, kind: str, name: str, status: Json, revision: int
    ) -> StoredObject:
        """Replace an object's status.

        :param revision: the revision that the object must have.
        :raises Conflict: if it has another revision.
        :raises NotFound: if it does not exist.
        """
        call = self._codec.status_call(kind, name, status, revision)
        return _read(self._codec.decode_object, await self._call(call))

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object.

        :raises NotFound: if it does not exist.
        """
        await self._call(self._codec.delete_call(kind, name))

    async def _call(
        self,
        call: Call,
        pool: pools.ConnectionPool | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> pools.HttpResponse:
        request = pools.encode_request(
            call.method, call.target, f"{self._host}:{self._port}", call.body
        )
        self.calls += 1
        try:
            answer = await pools.exchange(
                pool or self._pool, request, timeout_s
            )
        except client_channel.NotConnected as error:
            raise NotDone("not connected") from error
        except (client_channel.ChannelError, TimeoutError) as error:
            # The pool's other idle connections may be dead as well.
            (pool or self._pool).close_idle()
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
    decode: typing.Callable[[bytes], _Found], answer: pools.HttpResponse
) -> _Found:
    """Decode the answer to a call.

    :raises Unanswered: if the answer is unreadable: a write took effect, but
        its result, such as the new revision, is unknown.
    """
    try:
        return decode(answer.body)
    except ValueError as error:
        raise Unanswered(f"unreadable: {error}") from error
