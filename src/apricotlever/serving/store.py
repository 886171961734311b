"""The client of the platform's object store."""

import asyncio
import random
import typing

from .. import clock as clocks
from .. import logs

from . import channels
from . import log_limit
from . import pool as pools

Json = typing.Any

#: The store answers in milliseconds; one that takes so long is not there.
CALL_S = 1.2
#: How much later than it should a watch may end before its connection
#: counts as silent.
WATCH_MARGIN_S = 0.7
WATCH_S = 4.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
#: How long a watch waits after a failure, to see soon that the store is back.
RETURN_WATCH_S = 0.05
#: Failures in a row for longer than this count as an outage.
OUTAGE_S = 0.4
#: Between two looks whether a watch is wanted, in seconds.
UNWANTED_S = 0.2


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


class Listener(typing.Protocol):
    """Takes what a watch brings."""

    def listed(self, page: Page) -> None:
        """The whole list was read."""

    def changed(self, changes: Changes) -> None:
        """Objects changed."""

    def store_returned(self) -> None:
        """The store answers again after an outage."""


class Watcher:
    """Follows one kind of objects for ever.

    :param listener: called on the loop with what comes.
    :param wanted: whether this VM has to follow the store itself, or hears
        the same from its peers.
    :param gather_s: pause after news. Changes come in series, and each call
        that ends for one of them has its price.
    """

    __slots__ = (
        "_failing_since",
        "_gather_s",
        "_kind",
        "_listener",
        "_refusals",
        "_revision",
        "_rng",
        "_store",
        "_wanted",
        "_watching",
    )

    def __init__(
        self,
        store: Store,
        kind: str,
        listener: Listener,
        rng: random.Random,
        wanted: typing.Callable[[], bool] = lambda: True,
        gather_s: float = 0.0,
    ) -> None:
        self._store = store
        self._kind = kind
        self._listener = listener
        self._rng = rng
        self._wanted = wanted
        self._gather_s = gather_s
        self._watching = False
        self._refusals = log_limit.LogLimit(clocks.SystemClock())
        self._revision: int | None = None
        self._failing_since: float | None = None

    @property
    def in_touch(self) -> bool:
        """Whether this VM follows the store, and the last call succeeded."""
        return self._watching and self._failing_since is None

    def doubt(self) -> None:
        """Read the list anew at the next chance."""
        self._revision = None

    @property
    def kind(self) -> str:
        """The kind of objects that is followed."""
        return self._kind

    async def run(self) -> None:
        """Follow for ever; an error of the listener is passed on.

        Started again it reads the list anew: what the listener did not take
        would else be missing until it changes.
        """
        self.doubt()
        try:
            await self._follow()
        finally:
            self._watching = False

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        pause_s = FIRST_PAUSE_S
        while True:
            if self._revision is not None and not self._wanted():
                self._watching = False
                await asyncio.sleep(UNWANTED_S)
                continue
            try:
                await self._step(loop)
                self._watching = True
                pause_s = FIRST_PAUSE_S
            except HistoryGone:
                logs.event("watch_restarted", kind=self._kind)
                self._revision = None
            except (StoreError, ValueError) as error:
                self._failed(loop.time(), error)
                await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                pause_s = min(LONGEST_PAUSE_S, 2.0 * pause_s)

    async def _step(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._revision is None:
            page = await self._store.list_all(self._kind)
            self._answered(loop.time())
            self._note_unreadable(page.unreadable)
            self._listener.listed(page)
            self._revision = page.revision
            return
        wait_s = RETURN_WATCH_S if self._failing_since is not None else WATCH_S
        changes = await self._store.watch(self._kind, self._revision, wait_s)
        self._answered(loop.time())
        self._listener.changed(changes)
        if self._revision is not None:
            self._revision = changes.revision
        if changes.unreadable:
            # What changed shows in the list, if it can be read there.
            self._note_unreadable(changes.unreadable)
            self.doubt()
        if changes.changes and self._gather_s:
            await asyncio.sleep(self._gather_s)

    def _note_unreadable(self, count: int) -> None:
        if count and self._refusals.allows(self._kind):
            logs.event("stored_refused", kind=self._kind, count=count)

    def _failed(self, now: float, error: Exception) -> None:
        if self._failing_since is None:
            self._failing_since = now
            logs.event(
                "dependency_lost",
                dependency="store",
                kind=self._kind,
                error=f"{type(error).__name__}: {error}",
            )

    def _answered(self, now: float) -> None:
        since, self._failing_since = self._failing_since, None
        if since is None:
            return
        logs.event(
            "dependency_regained",
            dependency="store",
            kind=self._kind,
            away_s=now - since,
        )
        if now - since > OUTAGE_S:
            self._listener.store_returned()
