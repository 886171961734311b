"""The claims' reads and writes in the store, and what came of them."""

from concurrent import futures
import typing

from returns import result

from .. import mailbox
from ..links import platform
from ..requests import claims

from . import store as stores


class BucketRead:
    """A bucket of claims was read, or not.

    :param outcome: the Result of the read.
    """

    __slots__ = ("name", "outcome")

    def __init__(self, name: str, outcome: typing.Any) -> None:
        self.name = name
        self.outcome = outcome


class BucketWritten:
    """A bucket of claims was written, or not.

    :param outcome: the Result of the write.
    """

    __slots__ = ("name", "outcome")

    def __init__(self, name: str, outcome: typing.Any) -> None:
        self.name = name
        self.outcome = outcome


class ClaimCalls:
    """Starts the calls that the claims ask for.

    :param store: the task that runs them.
    :param tell: gets a BucketRead or BucketWritten after each.
    """

    __slots__ = ("_store", "_tell")

    def __init__(
        self, store: mailbox.Task, tell: typing.Callable[[typing.Any], None]
    ) -> None:
        self._store = store
        self._tell = tell

    def read(self, action: claims.ReadBucket) -> None:
        """Start reading a bucket.

        :param action: names the bucket.
        """
        call = stores.read(stores.Rank.CLAIM, action.name)
        self._start(call, action.name, BucketRead)

    def write(self, action: claims.WriteBucket) -> None:
        """Start writing a bucket, if it still has the version expected.

        :param action: the bucket and what to put there.
        """
        call = stores.write(
            stores.Rank.CLAIM,
            action.name,
            action.value,
            action.expected_version,
        )
        self._start(call, action.name, BucketWritten)

    def _start(
        self,
        call: stores.StoreCall,
        name: str,
        heard: type[BucketRead] | type[BucketWritten],
    ) -> None:
        def ended(future: "futures.Future[typing.Any]") -> None:
            error = future.exception()
            outcome: typing.Any
            if error is not None:
                stopped = platform.Unavailable(repr(error))
                outcome = result.Failure(stopped)
            else:
                outcome = future.result()
            self._tell(heard(name, outcome))

        self._store.ask(call).add_done_callback(ended)


def after_read(
    held: claims.ClaimBatcher, message: BucketRead
) -> list[claims.Action]:
    """What the claims do after a read.

    :param held: the claims.
    :param message: how the read went.
    """
    name = message.name
    outcome = message.outcome
    if isinstance(outcome, result.Success):
        stored = outcome.unwrap()
        return held.on_read(name, stored.version, stored.value)
    if isinstance(outcome.failure(), platform.NotFound):
        return held.on_missing(name)
    return held.on_failure(name)


def after_write(
    held: claims.ClaimBatcher, message: BucketWritten
) -> list[claims.Action]:
    """What the claims do after a write.

    :param held: the claims.
    :param message: how the write went.
    """
    name = message.name
    outcome = message.outcome
    if isinstance(outcome, result.Success):
        return held.on_written(name, outcome.unwrap().version)
    match outcome.failure():
        case platform.Conflict():
            return held.on_conflict(name)
        case platform.Ambiguous():
            return held.on_ambiguous_write(name)
        case _:
            return held.on_failure(name)
