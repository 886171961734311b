"""VMs that call runners, on a manual clock, with cuts between them."""

import heapq
import itertools
import random

from apricotlever import clock as clocks
from apricotlever.runners import probe_targets
from apricotlever.runners import reachability

TICK_S = 0.1
CONNECT_TIMEOUT_S = 0.35
#: Time to open a connection, or to have it refused.
OPEN_S = 0.004
ANSWER_S = 0.15
CALL_TIMEOUT_S = 2.0
MAX_ATTEMPTS = 3
#: A runner sends a byte so often in a stream.
STREAM_S = 0.05
KEPT_S = 5.0

ISOLATED = reachability.Reach.ISOLATED
#: A stream is opened at this runner.
STREAM = "stream"


class FailureCount:
    """The naive rival: so many failures in a row, no byte between them."""

    LIMIT = 3

    def __init__(self, clock, rng=None):
        self.failures = self.probes = 0

    @property
    def state(self):
        """As in the real one."""
        cut = self.failures >= self.LIMIT
        return ISOLATED if cut else reachability.Reach.CONNECTED

    def set_runners(self, ids, places=None):
        """Ignored."""

    def connection_failed(self, runner):
        """Count a failure."""
        self.failures += 1

    connection_broken = connection_failed

    def connection_opened(self, runner):
        """Start anew."""
        self.failures = 0

    bytes_received = connection_opened

    def call_sent(self, runner):
        """Ignored."""

    call_ended = call_sent

    def probes_due(self):
        """A runner at once, while isolated."""
        return ["r-0"] if self.state is ISOLATED else []


class World:
    """Runners, VMs and what happens to them, in order of time."""

    def __init__(self, runners, services, data_centres, seed=1):
        self.clock = clocks.ManualClock(100.0)
        self.rng = random.Random(seed)
        self.places = {
            f"r-{n}": probe_targets.Place(
                f"s-{n % services}", f"dc-{n // services % data_centres}"
            )
            for n in range(runners)
        }
        self.down = set()
        self.silent = False
        self._events = []
        self._numbers = itertools.count()

    def at(self, delay_s, action, *args):
        """Let something happen later."""
        when = self.clock.now() + delay_s
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def run(self, seconds):
        """Let time pass."""
        until = self.clock.now() + seconds
        while self._events and self._events[0][0] <= until:
            when, _, action, args = heapq.heappop(self._events)
            self.clock.advance(max(0.0, when - self.clock.now()))
            action(*args)
        self.clock.advance(until - self.clock.now())


class Call:
    """A call in progress at a runner."""

    def __init__(self, runner):
        self.runner = runner
        self.done = False


class Vm:
    """A VM that sends a call at each interval and keeps connections.

    :param answer_s: time to the first byte of an answer.
    :param service: the only service that it calls; None for all.
    """

    def __init__(
        self, world, decider, interval_s, answer_s=ANSWER_S, service=None
    ):
        self.world = world
        self.reach = decider(world.clock, random.Random(world.rng.random()))
        self.reach.set_runners(list(world.places), world.places)
        self.answer_s = answer_s
        self.interval_s = interval_s
        self.called = [
            name
            for name, place in world.places.items()
            if service in (None, place.service)
        ]
        #: None, or how it is cut: "hang", "reset", "refuse" or "hang_new".
        self.cut = None
        self.kept = {}
        self.calls = []
        self.states = []
        self.probes = self.sent = 0
        world.at(world.rng.random() * interval_s, self._send)
        world.at(world.rng.random() * TICK_S, self._tick)

    def now(self):
        """The time."""
        return self.world.clock.now()

    def note(self):
        """Record a change of state."""
        state = self.reach.state
        if not self.states or self.states[-1][1] is not state:
            self.states.append((self.now(), state))

    def set_cut(self, kind):
        """Cut this VM from all runners, or end the cut (None)."""
        self.cut = kind
        if kind == "reset":
            self.kept.clear()
            for call in [c for c in self.calls if not c.done]:
                self.reach.connection_broken(call.runner)
                self._end(call)
        self.note()

    def time_to(self, state, since):
        """Seconds from a time to the begin of a state; None if never."""
        return next(
            (
                at - since
                for at, s in self.states
                if s is state and at >= since
            ),
            None,
        )

    def ever_isolated(self, since=0.0):
        """Whether it took itself for isolated after a time."""
        return any(s is ISOLATED for at, s in self.states if at >= since)

    def start_stream(self, runner, pause_s=STREAM_S):
        """Open a stream that brings bytes for ever, unless cut."""
        call = Call(runner)
        self.reach.connection_opened(runner)
        self.reach.call_sent(runner)
        self.calls.append(call)
        self.world.at(pause_s, self._stream_byte, call, pause_s)

    def _stream_byte(self, call, pause_s):
        if call.done:
            return
        if self._passes_bytes(call.runner):
            self.reach.bytes_received(call.runner)
            self.note()
        self.world.at(pause_s, self._stream_byte, call, pause_s)

    def _tick(self):
        for name in self.reach.probes_due():
            self.probes += 1
            self._open(name, lambda ok: None)
        self.note()
        self.world.at(TICK_S, self._tick)

    def _send(self):
        self.world.at(self.interval_s, self._send)
        if self.reach.state is not ISOLATED:
            self.sent += 1
            self._attempt(frozenset())

    def _attempt(self, tried):
        names = [x for x in self.called if x not in tried]
        if len(tried) >= MAX_ATTEMPTS or not names:
            return
        name = self.world.rng.choice(names)
        if self.kept.pop(name, 0.0) > self.now():
            self._run(name)
            return

        def opened(succeeded):
            if succeeded:
                self._run(name)
            else:
                self._attempt(tried | {name})

        self._open(name, opened)

    def _open(self, name, then):
        def opened():
            self.reach.connection_opened(name)
            self.note()
            then(True)

        def failed():
            self.reach.connection_failed(name)
            self.note()
            then(False)

        if self.cut in ("hang", "hang_new"):
            self.world.at(CONNECT_TIMEOUT_S, failed)
        elif self.cut is not None or name in self.world.down:
            self.world.at(OPEN_S, failed)
        else:
            self.world.at(OPEN_S, opened)

    def _run(self, name):
        call = Call(name)
        self.calls = [c for c in self.calls if not c.done] + [call]
        self.reach.call_sent(name)
        self.world.at(self.answer_s, self._answer, call)
        self.world.at(CALL_TIMEOUT_S, self._end, call)

    def _answer(self, call):
        if call.done:
            return
        if self._passes_bytes(call.runner):
            self.reach.bytes_received(call.runner)
            self.kept[call.runner] = self.now() + KEPT_S
            self._end(call)
        self.note()

    def _end(self, call):
        if not call.done:
            call.done = True
            self.reach.call_ended(call.runner)
            self.note()

    def _passes_bytes(self, name):
        return (
            self.cut not in ("hang", "reset")
            and not self.world.silent
            and name not in self.world.down
        )
