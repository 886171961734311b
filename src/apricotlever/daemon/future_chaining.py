"""Futures that follow other futures."""

from concurrent import futures
import itertools
import typing


def copy(
    future: "futures.Future[typing.Any]", call: "futures.Future[typing.Any]"
) -> None:
    """Settle a future as another one was settled.

    :param future: to settle.
    :param call: settled already.
    """
    error = call.exception()
    if error is not None:
        future.set_exception(error)
    else:
        future.set_result(call.result())


def settle_with_all(
    future: "futures.Future[typing.Any]",
    calls: list["futures.Future[typing.Any]"],
) -> None:
    """Settle a future with None when every call has ended, well or not."""
    ended_count = itertools.count(1)
    if not calls:
        future.set_result(None)

    def ended(call: "futures.Future[typing.Any]") -> None:
        if next(ended_count) == len(calls):
            future.set_result(None)

    for call in calls:
        call.add_done_callback(ended)


def then(
    future: "futures.Future[typing.Any]",
    turn: typing.Callable[[typing.Any], typing.Any],
) -> "futures.Future[typing.Any]":
    """A future of what a function makes of another future's value."""
    turned: futures.Future[typing.Any] = futures.Future()

    def ended(done: "futures.Future[typing.Any]") -> None:
        error = done.exception()
        if error is not None:
            turned.set_exception(error)
        else:
            turned.set_result(turn(done.result()))

    future.add_done_callback(ended)
    return turned
