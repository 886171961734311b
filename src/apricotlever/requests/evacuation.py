"""Moves many streams off runners that are reclaimed together."""

import itertools
import typing

from . import recovery

LANES_PER_RUNNER = 4


class Move:
    """The decision about one stream of the wave."""

    __slots__ = ("request_id", "decision")

    def __init__(self, request_id: str, decision: recovery.Decision) -> None:
        self.request_id = request_id
        self.decision = decision


def plan(
    situations: typing.Iterable[recovery.Situation],
    lanes: int = LANES_PER_RUNNER,
) -> list[Move]:
    """Decide about all streams on leaving runners at once.

    The streams that lose the most go first: by the priority of their class,
    then by the tokens that a replay would compute again. Each target is
    filled no further than its free slots while others have some.

    :param situations: all with the cause NOTICE; their candidates are the
        same runners. Streams already on their way must be among them.
    :param lanes: exports that one runner does side by side.
    """
    ordered = sorted(
        situations,
        key=lambda each: (-each.priority, -each.redo_tokens, each.request_id),
    )
    wave = _Wave(ordered, lanes)
    return [Move(each.request_id, wave.decide(each)) for each in ordered]


class _Wave:
    """Slots and export lanes that are still free."""

    __slots__ = ("_targets", "_lanes")

    def __init__(self, ordered: list[recovery.Situation], lanes: int) -> None:
        known = itertools.chain.from_iterable(
            situation.candidates for situation in ordered
        )
        self._targets = {
            candidate.runner: candidate.free_slots for candidate in known
        }
        self._lanes = {
            situation.runner: [0.0] * lanes for situation in ordered
        }
        for situation in ordered:
            if situation.moving_to:
                self._occupy(situation)

    def decide(self, situation: recovery.Situation) -> recovery.Decision:
        """Decide about the next stream, the most valuable first."""
        if situation.deadline_s <= 0 or situation.moving_to:
            return recovery.plan(situation)
        if recovery.ends_in_time(situation):
            return recovery.CarryOn()
        target = recovery.pick(self._open(situation))
        if target is None:
            return recovery.Wait(min(recovery.RETRY_S, situation.deadline_s))
        lanes = self._lanes[situation.runner]
        lane = min(range(len(lanes)), key=lanes.__getitem__)
        fits = recovery.export_fits(situation, lanes[lane])
        if not fits and target.free_slots <= 0 and self._can_wait(situation):
            return recovery.Wait(recovery.RETRY_S)
        self._targets[target.runner] = target.free_slots - 1
        if not fits:
            return recovery.Replay(target.runner, situation.sent)
        lanes[lane] += situation.export_s
        return recovery.ExportTo(target.runner)

    def _open(self, situation: recovery.Situation) -> list[recovery.Candidate]:
        return [
            recovery.Candidate(
                candidate.runner,
                candidate.data_centre,
                self._targets[candidate.runner],
                candidate.doomed,
            )
            for candidate in situation.candidates
        ]

    def _can_wait(self, situation: recovery.Situation) -> bool:
        return situation.notice_s > 2 * recovery.RETRY_S

    def _occupy(self, situation: recovery.Situation) -> None:
        lanes = self._lanes[situation.runner]
        lane = min(range(len(lanes)), key=lanes.__getitem__)
        lanes[lane] += situation.export_s
