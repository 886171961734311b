"""Measures how long a clock must advance until something is due."""

import typing

from apricotlever import clock as clocks

STEP_S = 0.25


class Due(typing.Protocol):
    """Something that becomes due at some time."""

    @property
    def due(self) -> bool:
        """Whether it is due now."""


def waited_s(clock: clocks.ManualClock, decision: Due) -> float:
    """Advance a clock until something is due.

    :param clock: the clock to advance, in steps of ``STEP_S``.
    :param decision: the object that becomes due.
    :returns: how many seconds the clock was advanced.
    """
    waited = 0.0
    while not decision.due:
        clock.advance(STEP_S)
        waited += STEP_S
    return waited
