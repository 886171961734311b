"""Moves many streams off runners that are reclaimed together."""

import collections
import itertools
import typing

from . import recovery

LANES_PER_RUNNER = 4
LAST_CALL_S = 0.5
TRY_SHARE = 0.6


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
    """Decide about all streams on leaving runners; ask again while any wait.

    The streams that lose the most go first: by the tokens that a replay
    would compute again and, when slots are short, before that by the
    priority of their class. A stream goes on at
    its runner until a lane for its export is free. Those whose turn doesn't
    come are replayed just before the runner is taken, for an export that
    fails costs no more than a replay.

    :param situations: all with the cause NOTICE; their candidates are the
        same runners. Streams already on their way must be among them.
    :param lanes: exports that one runner does side by side.
    """
    ordered = sorted(situations, key=_loss, reverse=True)
    if _slots_short(ordered):
        ordered.sort(key=lambda each: each.priority, reverse=True)
    wave = _Wave(ordered, lanes)
    return [Move(each.request_id, wave.decide(each)) for each in ordered]


def _loss(situation: recovery.Situation) -> tuple[int, str]:
    return (situation.redo_tokens, situation.request_id)


def _slots_short(situations: list[recovery.Situation]) -> bool:
    free = {
        candidate.runner: max(0, candidate.free_slots)
        for situation in situations
        for candidate in situation.candidates
    }
    return sum(free.values()) < len(situations)


def _worth_trying(situation: recovery.Situation, later_s: float = 0) -> bool:
    # The estimate is a careful one. An export that is cut short costs what
    # a replay costs, so one that may just succeed is tried.
    needed = later_s + TRY_SHARE * situation.export_s
    return needed < min(situation.notice_s, situation.deadline_s)


class _Wave:
    """Slots and export lanes that are still free."""

    __slots__ = ("_free_slots", "_free_lanes")

    def __init__(self, ordered: list[recovery.Situation], lanes: int) -> None:
        known = itertools.chain.from_iterable(
            situation.candidates for situation in ordered
        )
        self._free_slots = {
            candidate.runner: candidate.free_slots for candidate in known
        }
        moving = collections.Counter(
            situation.runner for situation in ordered if situation.moving_to
        )
        self._free_lanes = {
            situation.runner: lanes - moving[situation.runner]
            for situation in ordered
        }

    def decide(self, situation: recovery.Situation) -> recovery.Decision:
        """Decide about the next stream, the most valuable first."""
        if situation.deadline_s <= 0 or situation.moving_to:
            return recovery.plan(situation)
        if recovery.ends_in_time(situation):
            return recovery.CarryOn()
        target = recovery.pick(self._open(situation))
        if target is None:
            return recovery.Wait(min(recovery.RETRY_S, situation.deadline_s))
        if _worth_trying(situation):
            return self._export(situation, target)
        if situation.notice_s > LAST_CALL_S:
            return recovery.Wait(recovery.RETRY_S)
        self._free_slots[target.runner] -= 1
        return recovery.Replay(target.runner, situation.sent)

    def _export(
        self, situation: recovery.Situation, target: recovery.Candidate
    ) -> recovery.Decision:
        runner = situation.runner
        full = target.free_slots <= 0
        later = recovery.export_fits(situation, 2 * recovery.RETRY_S)
        if self._free_lanes[runner] <= 0 or (full and later):
            return recovery.Wait(recovery.RETRY_S)
        self._free_lanes[runner] -= 1
        self._free_slots[target.runner] -= 1
        return recovery.ExportTo(target.runner)

    def _open(self, situation: recovery.Situation) -> list[recovery.Candidate]:
        return [
            recovery.Candidate(
                candidate.runner,
                candidate.data_centre,
                self._free_slots[candidate.runner],
                candidate.doomed,
            )
            for candidate in situation.candidates
        ]
