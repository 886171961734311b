"""Recomputed tokens after a reclaim wave: evacuation and naive ways.

Streams of a table run on the runners of one data centre that is taken back
after a notice. Each way moves them; what their engines compute again is
counted. Export times are drawn around a true time that the estimate learns.
Arguments: ``--streams N``, ``--seeds N``.
"""

import argparse
import collections
import json
import random
import typing

from apricotlever.requests import evacuation
from apricotlever.requests import export_time_estimator
from apricotlever.requests import recovery

NOTICES_S = (2.0, 5.0, 15.0, 30.0)
RUNNERS_LEAVING = 4
RUNNERS_LEFT = 6
SLOTS_LEFT = 24
TOKENS_PER_S = 15.0
STEP_S = 0.2
TOKENS_A_STEP = 3
TRUE_FIXED_S = 0.15
TRUE_PER_TOKEN_S = 1e-4
LEARNED_FROM = 30
RULES: dict[str, typing.Callable[..., list[evacuation.StreamMove]]] = {}


def rule(name: str) -> typing.Callable[[typing.Any], typing.Any]:
    """Register a way to move streams."""

    def register(function: typing.Any) -> typing.Any:
        RULES[name] = function
        return function

    return register


@rule("evacuation")
def _evacuation(
    waiting: list[recovery.AffectedStream], rng: random.Random
) -> list[evacuation.StreamMove]:
    return evacuation.plan_evacuation(waiting)


@rule("export_in_order_of_arrival")
def _in_order(
    waiting: list[recovery.AffectedStream], rng: random.Random
) -> list[evacuation.StreamMove]:
    return _all(
        waiting,
        lambda each: recovery.ExportTo(rng.choice(each.candidates).runner),
    )


@rule("replay_all")
def _replay_all(
    waiting: list[recovery.AffectedStream], rng: random.Random
) -> list[evacuation.StreamMove]:
    return _all(
        waiting,
        lambda each: recovery.Replay(
            rng.choice(each.candidates).runner, each.sent_tokens
        ),
    )


@rule("restart_when_taken")
def _restart(
    waiting: list[recovery.AffectedStream], rng: random.Random
) -> list[evacuation.StreamMove]:
    return _all(waiting, lambda each: recovery.KeepRunning())


def _all(
    waiting: list[recovery.AffectedStream],
    decide: typing.Callable[
        [recovery.AffectedStream], recovery.RecoveryDecision
    ],
) -> list[evacuation.StreamMove]:
    return [
        evacuation.StreamMove(each.request_id, decide(each))
        for each in waiting
        if not each.moving_to
    ]


def _true_s(tokens: int, rng: random.Random) -> float:
    mean = TRUE_FIXED_S + TRUE_PER_TOKEN_S * tokens
    return mean * rng.lognormvariate(0.0, 0.25)


def _wave(
    count: int, notice_s: float, rng: random.Random
) -> list[recovery.AffectedStream]:
    learned = export_time_estimator.ExportTimeEstimator()
    for _ in range(LEARNED_FROM):
        tokens = rng.randrange(200, 12_000)
        learned.observe(tokens, _true_s(tokens, rng))
    candidates = [
        recovery.Candidate(f"left{number}", "sala-b", SLOTS_LEFT)
        for number in range(RUNNERS_LEFT)
    ]
    return [
        _stream(number, notice_s, learned, candidates, rng)
        for number in range(count)
    ]


def _stream(
    number: int,
    notice_s: float,
    learned: export_time_estimator.ExportTimeEstimator,
    candidates: list[recovery.Candidate],
    rng: random.Random,
) -> recovery.AffectedStream:
    long = rng.random() < 0.3
    prompt = rng.randrange(4_000, 12_000) if long else rng.randrange(50, 800)
    whole = rng.randrange(50, 900)
    sent = rng.randrange(0, whole)
    return recovery.AffectedStream(
        f"s{number}",
        recovery.RecoveryCause.NOTICE,
        f"leaving{number % RUNNERS_LEAVING}",
        rng.randrange(3),
        prompt,
        ["t"] * sent,
        (whole - sent) / TOKENS_PER_S,
        notice_s,
        learned.estimate_s(prompt + sent),
        120.0,
        candidates=candidates,
    )


class Wave:
    """Plays a wave in steps, each export taking its true time."""

    def __init__(
        self,
        streams: list[recovery.AffectedStream],
        notice_s: float,
        seed: int,
    ) -> None:
        self.streams = {each.request_id: each for each in streams}
        self.notice_s = notice_s
        self.rng = random.Random(seed)
        self.lanes: dict[str, list[float]] = {
            each.runner: [0.0] * evacuation.EXPORTS_PER_RUNNER
            for each in streams
        }
        self.exported: dict[str, float] = {}
        self.load: collections.Counter = collections.Counter()
        self.totals: collections.Counter = collections.Counter()

    def play(self, move: typing.Any) -> collections.Counter:
        """Let a rule decide step by step until the runners are taken."""
        now = 0.0
        while now < self.notice_s:
            self._end(now)
            waiting = list(self.streams.values())
            for each in waiting:
                each.notice_s = self.notice_s - now
                each.remaining_s -= STEP_S
                each.sent_tokens = [*each.sent_tokens, *["t"] * TOKENS_A_STEP]
            for chosen in move(waiting, self.rng):
                self._obey(chosen, now)
            now += STEP_S
        self._end(self.notice_s)
        for left in self.streams.values():
            self._lose(left)
        self.totals["over_slots"] = sum(
            max(0, count - SLOTS_LEFT) for count in self.load.values()
        )
        return self.totals

    def _end(self, now: float) -> None:
        exported = [name for name, at in self.exported.items() if at <= now]
        for name in exported:
            del self.exported[name]
            del self.streams[name]
            self.totals["exported"] += 1
        for name, each in list(self.streams.items()):
            if each.remaining_s <= 0 and not each.moving_to:
                del self.streams[name]
                self.totals["ended"] += 1

    def _obey(self, chosen: evacuation.StreamMove, now: float) -> None:
        stream = self.streams[chosen.request_id]
        decision = chosen.decision
        if isinstance(decision, recovery.ExportTo):
            lanes = self.lanes[stream.runner]
            lane = min(range(len(lanes)), key=lanes.__getitem__)
            seconds = _true_s(stream.recomputed_tokens, self.rng)
            lanes[lane] = max(now, lanes[lane]) + seconds
            self.exported[chosen.request_id] = lanes[lane]
            stream.moving_to = decision.runner
            self.load[decision.runner] += 1
        elif isinstance(decision, recovery.Replay):
            self.load[decision.runner] += 1
            self.totals["replayed"] += 1
            self.totals["recomputed"] += stream.recomputed_tokens
            del self.streams[chosen.request_id]

    def _lose(self, stream: recovery.AffectedStream) -> None:
        self.totals["lost_on_the_way"] += bool(stream.moving_to)
        self.totals["taken_with_runner"] += not stream.moving_to
        self.totals["recomputed"] += stream.recomputed_tokens


def run(arguments: list[str]) -> int:
    """Print one line per notice and way."""
    parser = argparse.ArgumentParser(prog="bench recovery")
    parser.add_argument("--streams", type=int, default=120)
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args(arguments)
    for notice_s in NOTICES_S:
        for name, move in RULES.items():
            totals: collections.Counter = collections.Counter()
            for seed in range(options.seeds):
                wave = _wave(options.streams, notice_s, random.Random(seed))
                totals.update(Wave(wave, notice_s, seed).play(move))
            means = {
                key: round(value / options.seeds, 1)
                for key, value in sorted(totals.items())
            }
            line = {"rule": name, "notice_s": notice_s, **means}
            print(json.dumps(line))
    return 0
