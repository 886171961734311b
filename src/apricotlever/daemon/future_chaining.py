"""Completes futures from the results of other futures."""

from concurrent import futures
import itertools
import typing


def copy_result(
    target: "futures.Future[typing.Any]", source: "futures.Future[typing.Any]"
) -> None:
    """Complete a future with the result or the error of another one.

    :param target: the future to complete.
    :param source: a future that is done.
    """
    error = source.exception()
    if error is not None:
        target.set_exception(error)
    else:
        target.set_result(source.result())


def complete_after_all(
    target: "futures.Future[typing.Any]",
    calls: list["futures.Future[typing.Any]"],
) -> None:
    """Complete a future with None when all calls have ended or failed.

    :param target: the future to complete; at once if there is no call.
    :param calls: the futures to wait for.
    """
    ended_count = itertools.count(1)
    if not calls:
        target.set_result(None)

    def ended(call: "futures.Future[typing.Any]") -> None:
        if next(ended_count) == len(calls):
            target.set_result(None)

    for call in calls:
        call.add_done_callback(ended)


def map_result(
    source: "futures.Future[typing.Any]",
    transform: typing.Callable[[typing.Any], typing.Any],
) -> "futures.Future[typing.Any]":
    """Apply a function to the result of a future.

    :returns: a future for the function's return value, or for the error of
        the source.
    """
    target: futures.Future[typing.Any] = futures.Future()

    def ended(done: "futures.Future[typing.Any]") -> None:
        error = done.exception()
        if error is not None:
            target.set_exception(error)
        else:
            target.set_result(transform(done.result()))

    source.add_done_callback(ended)
    return target
