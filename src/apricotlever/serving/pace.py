"""Pauses of a process's repeated work, so placed that they end together.

Each wake-up of the process costs about as much as the work that it is for:
with a timer each, ten kinds of repeated work woke an idle VM 75 times a
second. Pauses that end on one grid need 20.
"""

import asyncio
import math
import random

#: Where the grid of this process begins, in seconds: VMs that started at once
#: must not all tell each other and ask the store at the same moment.
PHASE_S = random.random()
#: The least part of a pause: a step that took long is not followed at once
#: by the next.
MIN_PAUSE_FRACTION = 0.5


def seconds_until_tick(
    now: float, pause_s: float, phase_s: float = PHASE_S
) -> float:
    """Seconds from now to the end of a pause, half to one and a half of it.

    :param now: of a clock that never goes back.
    :param pause_s: of the repeated work.
    """
    steps = math.floor((now - phase_s) / pause_s + MIN_PAUSE_FRACTION) + 1
    return phase_s + steps * pause_s - now


async def pause(pause_s: float) -> None:
    """Wait for the end of a pause.

    :param pause_s: how often the work is repeated, in seconds.
    """
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(seconds_until_tick(now, pause_s))
