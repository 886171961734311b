"""Schedules of a soak test: what begins when."""

import asyncio
import random
import time
import typing

#: Start times, in seconds from the beginning on, with names.
Schedule = list[tuple[float, str]]
_Result = typing.TypeVar("_Result")


async def follow(
    schedule: Schedule,
    rng: random.Random,
    begin: typing.Callable[
        [str, random.Random], typing.Coroutine[typing.Any, typing.Any, _Result]
    ],
) -> list[_Result]:
    """Begin each entry as scheduled and wait for all to end.

    :param rng: seeds the random source of each entry.
    :param begin: is given an entry's name and random source.
    :returns: the results in the order of the schedule.
    """
    began_at = time.monotonic()
    tasks = []
    for at, name in schedule:
        await asyncio.sleep(max(0.0, began_at + at - time.monotonic()))
        entry_rng = random.Random(rng.random())
        tasks.append(asyncio.ensure_future(begin(name, entry_rng)))
    return list(await asyncio.gather(*tasks))
