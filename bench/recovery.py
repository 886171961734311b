"""Recomputed tokens after a reclaim wave: evacuation and naive strategies.

Streams run on the runners of one data centre that are reclaimed after a
notice. Each strategy moves the streams, and the tokens that engines compute
again are counted. Export times vary randomly around an actual mean, which the
estimator learns from samples. Arguments: ``--streams N``, ``--seeds N``.
"""

import argparse
import collections
import json
import random
import typing

from apricotlever.requests import evacuation
from apricotlever.requests import export_time_estimator
from apricotlever.requests import recovery

NOTICE_PERIODS_S = (2.0, 5.0, 15.0, 30.0)
RECLAIMED_RUNNERS = 4
REMAINING_RUNNERS = 6
FREE_SLOTS = 24
TOKENS_PER_S = 15.0
STEP_S = 0.2
TOKENS_PER_STEP = 3
ACTUAL_EXPORT_BASE_S = 0.15
ACTUAL_EXPORT_PER_TOKEN_S = 1e-4
ESTIMATOR_SAMPLES = 30
STRATEGIES: dict[str, typing.Callable[..., list[evacuation.StreamMove]]] = {}


def strategy(name: str) -> typing.Callable[[typing.Any], typing.Any]:
    """Register a strategy that moves streams."""

    def register(function: typing.Any) -> typing.Any:
        STRATEGIES[name] = function
        return function

    return register


@strategy("evacuation")
def _evacuation(
    waiting: list[recovery.AffectedStream], rng: random.Random
) -> list[evacuation.StreamMove]:
    return evacuation.plan_evacuation(waiting)


@strategy("export_in_order_of_arrival")
def _export_in_order(
    waiting: list[recovery.AffectedStream], rng: random.Random
) -> list[evacuation.StreamMove]:
    return _decide_each(
        waiting,
        lambda stream: recovery.ExportTo(rng.choice(stream.candidates).runner),
    )


@strategy("replay_all")
def _replay_all(
    waiting: list[recovery.AffectedStream], rng: random.Random
) -> list[evacuation.StreamMove]:
    return _decide_each(
        waiting,
        lambda stream: recovery.Replay(
            rng.choice(stream.candidates).runner, stream.sent_tokens
        ),
    )


@strategy("restart_when_taken")
def _restart_when_reclaimed(
    waiting: list[recovery.AffectedStream], rng: random.Random
) -> list[evacuation.StreamMove]:
    return _decide_each(waiting, lambda stream: recovery.KeepRunning())


def _decide_each(
    waiting: list[recovery.AffectedStream],
    decide: typing.Callable[
        [recovery.AffectedStream], recovery.RecoveryDecision
    ],
) -> list[evacuation.StreamMove]:
    return [
        evacuation.StreamMove(stream.request_id, decide(stream))
        for stream in waiting
        if not stream.moving_to
    ]


def _actual_export_s(tokens: int, rng: random.Random) -> float:
    mean = ACTUAL_EXPORT_BASE_S + ACTUAL_EXPORT_PER_TOKEN_S * tokens
    return mean * rng.lognormvariate(0.0, 0.25)


def _wave(
    count: int, notice_s: float, rng: random.Random
) -> list[recovery.AffectedStream]:
    estimator = export_time_estimator.ExportTimeEstimator()
    for _ in range(ESTIMATOR_SAMPLES):
        tokens = rng.randrange(200, 12_000)
        estimator.observe(tokens, _actual_export_s(tokens, rng))
    candidates = [
        recovery.Candidate(f"left{number}", "sala-b", FREE_SLOTS)
        for number in range(REMAINING_RUNNERS)
    ]
    return [
        _stream(number, notice_s, estimator, candidates, rng)
        for number in range(count)
    ]


def _stream(
    number: int,
    notice_s: float,
    estimator: export_time_estimator.ExportTimeEstimator,
    candidates: list[recovery.Candidate],
    rng: random.Random,
) -> recovery.AffectedStream:
    is_long = rng.random() < 0.3
    prompt = (
        rng.randrange(4_000, 12_000) if is_long else rng.randrange(50, 800)
    )
    answer_tokens = rng.randrange(50, 900)
    sent = rng.randrange(0, answer_tokens)
    return recovery.AffectedStream(
        f"s{number}",
        recovery.RecoveryCause.NOTICE,
        f"leaving{number % RECLAIMED_RUNNERS}",
        rng.randrange(3),
        prompt,
        ["t"] * sent,
        (answer_tokens - sent) / TOKENS_PER_S,
        notice_s,
        estimator.estimate_s(prompt + sent),
        120.0,
        candidates=candidates,
    )


class Wave:
    """Simulates a reclaim wave in steps; exports take their actual time."""

    def __init__(
        self,
        streams: list[recovery.AffectedStream],
        notice_s: float,
        seed: int,
    ) -> None:
        self.streams = {stream.request_id: stream for stream in streams}
        self.notice_s = notice_s
        self.rng = random.Random(seed)
        self.export_free_at: dict[str, list[float]] = {
            stream.runner: [0.0] * evacuation.EXPORTS_PER_RUNNER
            for stream in streams
        }
        self.export_done_at: dict[str, float] = {}
        self.assigned: collections.Counter = collections.Counter()
        self.totals: collections.Counter = collections.Counter()

    def run(self, move: typing.Any) -> collections.Counter:
        """Apply a strategy at each step until the runners are reclaimed."""
        now = 0.0
        while now < self.notice_s:
            self._remove_finished(now)
            waiting = list(self.streams.values())
            for stream in waiting:
                stream.notice_s = self.notice_s - now
                stream.remaining_s -= STEP_S
                stream.sent_tokens = [
                    *stream.sent_tokens,
                    *["t"] * TOKENS_PER_STEP,
                ]
            for chosen in move(waiting, self.rng):
                self._apply(chosen, now)
            now += STEP_S
        self._remove_finished(self.notice_s)
        for stream in self.streams.values():
            self._record_loss(stream)
        self.totals["over_slots"] = sum(
            max(0, count - FREE_SLOTS) for count in self.assigned.values()
        )
        return self.totals

    def _remove_finished(self, now: float) -> None:
        exported = [
            name
            for name, done_at in self.export_done_at.items()
            if done_at <= now
        ]
        for name in exported:
            del self.export_done_at[name]
            del self.streams[name]
            self.totals["exported"] += 1
        for name, stream in list(self.streams.items()):
            if stream.remaining_s <= 0 and not stream.moving_to:
                del self.streams[name]
                self.totals["ended"] += 1

    def _apply(self, chosen: evacuation.StreamMove, now: float) -> None:
        stream = self.streams[chosen.request_id]
        decision = chosen.decision
        if isinstance(decision, recovery.ExportTo):
            free_at = self.export_free_at[stream.runner]
            slot = min(range(len(free_at)), key=free_at.__getitem__)
            seconds = _actual_export_s(stream.recomputed_tokens, self.rng)
            free_at[slot] = max(now, free_at[slot]) + seconds
            self.export_done_at[chosen.request_id] = free_at[slot]
            stream.moving_to = decision.runner
            self.assigned[decision.runner] += 1
        elif isinstance(decision, recovery.Replay):
            self.assigned[decision.runner] += 1
            self.totals["replayed"] += 1
            self.totals["recomputed"] += stream.recomputed_tokens
            del self.streams[chosen.request_id]

    def _record_loss(self, stream: recovery.AffectedStream) -> None:
        self.totals["lost_on_the_way"] += bool(stream.moving_to)
        self.totals["taken_with_runner"] += not stream.moving_to
        self.totals["recomputed"] += stream.recomputed_tokens


def run(arguments: list[str]) -> int:
    """Print one JSON line per notice period and strategy."""
    parser = argparse.ArgumentParser(prog="bench recovery")
    parser.add_argument("--streams", type=int, default=120)
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args(arguments)
    for notice_s in NOTICE_PERIODS_S:
        for name, move in STRATEGIES.items():
            totals: collections.Counter = collections.Counter()
            for seed in range(options.seeds):
                wave = _wave(options.streams, notice_s, random.Random(seed))
                totals.update(Wave(wave, notice_s, seed).run(move))
            means = {
                key: round(value / options.seeds, 1)
                for key, value in sorted(totals.items())
            }
            line = {"rule": name, "notice_s": notice_s, **means}
            print(json.dumps(line))
    return 0
