"""Plans the moves of all streams on runners that are reclaimed together.

The streams compete for the free slots of the remaining runners and for the
limited number of exports that a runner does at a time, so they are planned
together. An export copies a stream's state to another runner; a replay makes
the other runner compute it again.
"""

import collections
import itertools
import typing

from . import recovery

EXPORTS_PER_RUNNER = 4
REPLAY_LEAD_S = 0.5
OPTIMISTIC_EXPORT_SHARE = 0.6


class StreamMove:
    """The decision about one stream on a runner that is being reclaimed."""

    __slots__ = ("request_id", "decision")

    def __init__(
        self, request_id: str, decision: recovery.RecoveryDecision
    ) -> None:
        self.request_id = request_id
        self.decision = decision


def plan_evacuation(
    situations: typing.Iterable[recovery.AffectedStream],
    exports_per_runner: int = EXPORTS_PER_RUNNER,
) -> list[StreamMove]:
    """Decide about all streams on leaving runners; repeat while any wait.

    Streams are ordered by the number of tokens that a replay would compute
    again, largest first. If there are fewer free slots than streams, the
    priority of their class takes precedence over that number. A stream keeps
    running until its runner can start another export. Streams that get no
    export are replayed just before the runner is reclaimed. Waiting for an
    export is safe, because a failed export costs no more than a replay.

    :param situations: the streams, all with the cause NOTICE and the same
        candidates; streams that are being moved must be included.
    :param exports_per_runner: number of exports that a runner does at a time.
    :returns: one decision for each stream, in the order of planning.
    """
    ordered = sorted(situations, key=_recompute_cost, reverse=True)
    if _slots_short(ordered):
        ordered.sort(key=lambda each: each.priority, reverse=True)
    capacity = _Capacity(ordered, exports_per_runner)
    return [
        StreamMove(each.request_id, capacity.decide(each)) for each in ordered
    ]


def _recompute_cost(situation: recovery.AffectedStream) -> tuple[int, str]:
    return (situation.recomputed_tokens, situation.request_id)


def _slots_short(situations: list[recovery.AffectedStream]) -> bool:
    free = {
        candidate.runner: max(0, candidate.free_slots)
        for situation in situations
        for candidate in situation.candidates
    }
    return sum(free.values()) < len(situations)


def _may_export_in_time(
    situation: recovery.AffectedStream, delay_s: float = 0
) -> bool:
    # The estimate of the export time is pessimistic. An interrupted export
    # costs the same as a replay, so an export that may succeed is tried.
    needed = delay_s + OPTIMISTIC_EXPORT_SHARE * situation.export_s
    return needed < min(situation.notice_s, situation.deadline_s)


class _Capacity:
    """Free slots and exports of the runners, reduced by each planned move."""

    __slots__ = ("_free_slots", "_free_exports")

    def __init__(
        self, ordered: list[recovery.AffectedStream], exports_per_runner: int
    ) -> None:
        known = itertools.chain.from_iterable(
            situation.candidates for situation in ordered
        )
        self._free_slots = {
            candidate.runner: candidate.free_slots for candidate in known
        }
        moving = collections.Counter(
            situation.runner for situation in ordered if situation.moving_to
        )
        self._free_exports = {
            situation.runner: exports_per_runner - moving[situation.runner]
            for situation in ordered
        }

    def decide(
        self, situation: recovery.AffectedStream
    ) -> recovery.RecoveryDecision:
        """Decide about the next stream and reserve what its move needs.

        Streams must be passed in their order of precedence.
        """
        if situation.deadline_s <= 0 or situation.moving_to:
            return recovery.decide(situation)
        if recovery.ends_in_time(situation):
            return recovery.KeepRunning()
        target = recovery.pick_target(self._current_candidates(situation))
        if target is None:
            return recovery.Wait(
                min(recovery.RETRY_INTERVAL_S, situation.deadline_s)
            )
        if _may_export_in_time(situation):
            return self._export(situation, target)
        if situation.notice_s > REPLAY_LEAD_S:
            return recovery.Wait(recovery.RETRY_INTERVAL_S)
        self._free_slots[target.runner] -= 1
        return recovery.Replay(target.runner, situation.sent_tokens)

    def _export(
        self, situation: recovery.AffectedStream, target: recovery.Candidate
    ) -> recovery.RecoveryDecision:
        runner = situation.runner
        full = target.free_slots <= 0
        can_wait = recovery.export_fits(
            situation, 2 * recovery.RETRY_INTERVAL_S
        )
        if self._free_exports[runner] <= 0 or (full and can_wait):
            return recovery.Wait(recovery.RETRY_INTERVAL_S)
        self._free_exports[runner] -= 1
        self._free_slots[target.runner] -= 1
        return recovery.ExportTo(target.runner)

    def _current_candidates(
        self, situation: recovery.AffectedStream
    ) -> list[recovery.Candidate]:
        return [
            recovery.Candidate(
                candidate.runner,
                candidate.data_centre,
                self._free_slots[candidate.runner],
                candidate.being_reclaimed,
            )
            for candidate in situation.candidates
        ]
