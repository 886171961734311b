"""Reads and writes claims of idempotency keys in the store.

A claim records which VM may run the call of a key that the caller chose. A
bucket is one object of the store that holds many claims.
"""

from concurrent import futures
import typing

from returns import result

from .. import mailbox
from ..links import platform
from ..requests import claims

from . import store as stores


class BucketRead:
    """Message: a read of a bucket has ended.

    :param name: object name of the bucket.
    :param outcome: a :class:`returns.result.Result` with the object or error.
    """

    __slots__ = ("name", "outcome")

    def __init__(self, name: str, outcome: typing.Any) -> None:
        self.name = name
        self.outcome = outcome


class BucketWritten:
    """Message: a conditional write of a bucket has ended.

    :param name: object name of the bucket.
    :param outcome: a :class:`returns.result.Result` with the object or error.
    """

    __slots__ = ("name", "outcome")

    def __init__(self, name: str, outcome: typing.Any) -> None:
        self.name = name
        self.outcome = outcome


class ClaimStorage:
    """Starts the store calls that a ClaimBatcher requests.

    :param store: the task that runs the calls.
    :param tell: receives the BucketRead or BucketWritten of each
        call, on any thread.
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
        call = stores.read_call(stores.Priority.CLAIM, action.name)
        self._start(call, action.name, BucketRead)

    def write(self, action: claims.WriteBucket) -> None:
        """Start a write that succeeds only at the expected version.

        :param action: the bucket, its new content and the expected version.
        """
        call = stores.write_call(
            stores.Priority.CLAIM,
            action.name,
            action.value,
            action.expected_version,
        )
        self._start(call, action.name, BucketWritten)

    def _start(
        self,
        call: stores.StoreCall,
        name: str,
        result_type: type[BucketRead] | type[BucketWritten],
    ) -> None:
        def on_done(future: "futures.Future[typing.Any]") -> None:
            error = future.exception()
            outcome: typing.Any
            if error is not None:
                unavailable = platform.Unavailable(repr(error))
                outcome = result.Failure(unavailable)
            else:
                outcome = future.result()
            self._tell(result_type(name, outcome))

        self._store.ask(call).add_done_callback(on_done)


def apply_read_result(
    batcher: claims.ClaimBatcher, message: BucketRead
) -> list[claims.Action]:
    """Tell the claim batcher how a read of a bucket ended.

    :param batcher: the claim batcher.
    :param message: the result.
    :returns: the actions that the claim batcher requests next.
    """
    name = message.name
    outcome = message.outcome
    if isinstance(outcome, result.Success):
        stored = outcome.unwrap()
        return batcher.on_read(name, stored.version, stored.value)
    if isinstance(outcome.failure(), platform.NotFound):
        return batcher.on_missing(name)
    return batcher.on_failure(name)


def apply_write_result(
    batcher: claims.ClaimBatcher, message: BucketWritten
) -> list[claims.Action]:
    """Tell the claim batcher how a write of a bucket ended.

    :param batcher: the claim batcher.
    :param message: the result.
    :returns: the actions that the claim batcher requests next.
    """
    name = message.name
    outcome = message.outcome
    if isinstance(outcome, result.Success):
        return batcher.on_written(name, outcome.unwrap().version)
    match outcome.failure():
        case platform.Conflict():
            return batcher.on_conflict(name)
        case platform.Ambiguous():
            return batcher.on_ambiguous_write(name)
        case _:
            return batcher.on_failure(name)
