"""How long a decision that tells when it is due makes its task wait."""

import typing

from apricotlever import clock as clocks

STEP_S = 0.25


class Due(typing.Protocol):
    """Something that is due at a time."""

    @property
    def due(self) -> bool:
        """Whether it is due now."""


def waited_s(clock: clocks.ManualClock, decision: Due) -> float:
    """Advance the clock until a decision is due.

    :returns: how long that took, in seconds.
    """
    waited = 0.0
    while not decision.due:
        clock.advance(STEP_S)
        waited += STEP_S
    return waited
