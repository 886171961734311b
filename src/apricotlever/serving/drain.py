"""How long a VM that was told to stop goes on serving."""

import asyncio
import typing

from .. import clock as clocks
from .. import logs

#: How long callers keep the list of VMs, in seconds: those who asked just
#: before the drain still come.
CALLER_LIST_MAX_AGE_S = 1.0
#: A leaving VM ends after this time without a call, in seconds.
IDLE_PERIOD_S = 0.8
#: Part of the grace time after which calls are cut off.
GRACE_FRACTION = 0.95
POLL_INTERVAL_S = 0.05
#: Calls that come later than this after the signal, in seconds, are refused.
#: Most callers have another list by then; what is begun for the others would
#: be cut off when the grace time is over.
ACCEPT_PERIOD_S = 3.0


async def wait_until_idle(
    clock: clocks.Clock,
    busy: typing.Callable[[], int],
    shutdown_s: float,
    stop_taking: typing.Callable[[], None],
    step_s: float = POLL_INTERVAL_S,
) -> None:
    """Wait until callers know of the drain and no call is left.

    :param busy: how many calls are being answered.
    :param shutdown_s: from the signal until the process is killed.
    :param stop_taking: called once, when it is too late for new calls.
    :param step_s: between two looks.
    """
    began = quiet_since = clock.now()
    last = began + GRACE_FRACTION * shutdown_s
    taking = True
    while clock.now() < last:
        await asyncio.sleep(step_s)
        if busy():
            quiet_since = clock.now()
        now = clock.now()
        if taking and now - began > ACCEPT_PERIOD_S:
            taking = False
            stop_taking()
        told = now - began > CALLER_LIST_MAX_AGE_S + IDLE_PERIOD_S
        if told and now - quiet_since > IDLE_PERIOD_S:
            return
    if busy():
        logs.event("stop_cut_off", busy=busy())
