"""Decides how long a stopping VM continues to serve callers.

The drain is the time between the stop signal and the end of the process.
Callers learn of it when they next look up the list of VMs to use.
"""

import asyncio
import typing

from .. import clock as clocks
from .. import logs

#: How long callers keep a list of VMs, in seconds. Callers that looked up the
#: list just before the drain still connect to this VM for this time.
CALLER_LIST_MAX_AGE_S = 1.0
#: Time without a call, in seconds, after which a stopping VM ends.
IDLE_PERIOD_S = 0.8
#: Fraction of the shutdown time, which ends with a kill of the process, after
#: which calls that are still open are cut off.
GRACE_FRACTION = 0.95
#: Time between two checks for open calls, in seconds.
POLL_INTERVAL_S = 0.05
#: Time after the stop signal, in seconds, from which new calls are refused.
#: Most callers have a newer list of VMs by then. Calls of the others might be
#: cut off at the end of the shutdown time.
ACCEPT_PERIOD_S = 3.0


async def wait_until_idle(
    clock: clocks.Clock,
    busy: typing.Callable[[], int],
    shutdown_s: float,
    stop_taking: typing.Callable[[], None],
    step_s: float = POLL_INTERVAL_S,
) -> None:
    """Wait until callers know of the drain and make no more calls.

    Callers know of it once the lists of VMs from before have expired. The wait
    ends before the process would be killed, even if calls are still open.

    :param busy: returns the number of calls that are being answered.
    :param shutdown_s: time from the stop signal until the process is killed,
        in seconds.
    :param stop_taking: called once, when it is too late for new calls.
    :param step_s: time between two checks for open calls, in seconds.
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
