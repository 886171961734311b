"""Calls with one prompt part that crashes runners, beside sound ones."""

import asyncio
import collections
import contextlib

from apricotlever.serving import configuration_model
from apricotlever.serving import runners
from tests.serving import request_path
from tests.serving import runner_standin

RUNNERS = 8
#: How long a crashed runner takes until it is back, in seconds.
RESTART_S = 1.0
#: Time between two sound calls, and between two with the bad part, in seconds.
SOUND_INTERVAL_S = 0.05
BAD_INTERVAL_S = 0.2
#: How long sound calls are played before the first bad one, in seconds.
CALM_S = 1.0
#: How long the whole fleet may take to know a crash, in seconds.
CONTACT_S = 3.0
#: A part that all calls share, and one of the bad calls.
COMMON_PART = "00aa"
BAD_PART = "bad0"
#: How a runner ends its connections when it crashes.
ENDS = {"resets": runner_standin.reset, "ends": lambda writer: writer.close()}


class CrashingRunner(runner_standin.RunnerStandIn):
    """A runner that ends as soon as it begins to answer on a bad part.

    :param play: is told of each end, to start the runner again.
    """

    def __init__(self, name, play):
        super().__init__(name, ["answers on any part but a bad one"])
        self.play = play

    def crash(self):
        """End with all connections."""
        self.stop()
        for writer in list(self._writers):
            self.play.end(writer)
        self.play.crashed(self)


async def _work(runner, call, began):
    """Read the prompt, and crash if a part is bad.

    :param began: what the runner has written of the answer until then.
    """
    await asyncio.sleep(0.03)
    parts = call.get("parts", "").split(",")
    if runner.play.bad_part in parts[:-1]:
        runner.play.bad_runs.append(asyncio.get_running_loop().time())
        await began()
        runner.crash()
        await asyncio.sleep(60)


@runner_standin.behaviour("answers on any part but a bad one")
async def _answers_unless_bad(runner, writer, call):
    async def begin():
        writer.write(runner.play.beginning(call))
        await writer.drain()

    await _work(runner, call, begin)
    behave = "streams" if runner.play.streams else "answers"
    # Another call may have ended the runner meanwhile.
    with contextlib.suppress(ConnectionError):
        await runner_standin.BEHAVIOURS[behave](runner, writer, call)


class CrashPlay:
    """One VM, its runners and two kinds of calls.

    :param streams: whether calls are streams.
    :param bad_first: whether the bad part is the first one of its calls.
    :param end: how a crash ends a connection, a key of :data:`ENDS`.
    :param beginning: whether a crash leaves the beginning of an answer.
    :param body: the body of all calls; None if each has its own.
    """

    def __init__(
        self, streams, bad_first, end="resets", beginning=False, body=None
    ):
        self.streams = streams
        self.end = ENDS[end]
        self.bad_part = BAD_PART
        self._bad_first = bad_first
        self._beginning = beginning
        self._body = body
        #: When each call with the part reached a runner.
        self.bad_runs = []
        #: When each runner ended.
        self.crash_times = []
        self._numbers = collections.Counter()
        self._tasks = set()
        #: Pairs of when a sound call was sent, and whether it was answered.
        self.sound = []
        self.statuses = collections.Counter()

    async def run(self, seconds):
        """Play, first with sound calls alone."""
        self.path = path = request_path.RequestPath(min_retries=500.0)
        await path.start()
        kind = configuration_model.CallKind
        if self.streams:
            path.configure(kind.STREAM, max_attempts=3, resumable=True)
        else:
            path.configure(kind.IDEMPOTENT, max_attempts=3)
        for number in range(RUNNERS):
            standin = CrashingRunner(f"runner-{number}", self)
            await standin.start()
            self._list(standin)
            path.standins.append(standin)
        try:
            await self._play(seconds)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await path.stop()

    def crashed(self, standin):
        """Start a runner again, under a new name at its address."""
        self.crash_times.append(asyncio.get_running_loop().time())
        self._spawn(self._restart(standin))

    def beginning(self, call):
        """What a runner has written of its answer when it crashes."""
        if not self._beginning:
            return b""
        head = runner_standin.response_head(200, call)
        return head + (b"id: 1\nda" if self.streams else b"the first hal")

    @property
    def late_bad_runs(self):
        """Calls with the part that ran later than the fifth crash and 3 s."""
        if len(self.crash_times) < 5:
            return 0
        since = self.crash_times[4] + CONTACT_S
        return sum(at > since for at in self.bad_runs)

    def sound_share(self, since, until=float("inf")):
        """The share of sound calls of a time that were answered."""
        answered = [ok for at, ok in self.sound if since <= at < until]
        return sum(answered) / max(1, len(answered))

    async def _restart(self, standin):
        await asyncio.sleep(RESTART_S)
        revision = len(self.crash_times) + 1
        self.path.directory.apply_removal(standin.name, revision)
        self.path.upstreams.refresh()
        place = standin.name.partition(".")[0]
        self._numbers[place] += 1
        standin.name = f"{place}.{self._numbers[place]}"
        await standin.listen_again()
        self._list(standin)

    def _list(self, standin):
        self.path.directory.apply_entry(
            runners.Runner(
                standin.name,
                "service",
                "127.0.0.1",
                standin.port,
                "dc",
                4,
                revision=len(self.crash_times) + 1,
            )
        )
        self.path.upstreams.refresh()

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _play(self, seconds):
        loop = asyncio.get_running_loop()
        self.begin = loop.time()
        self._spawn(self._send_sound())
        await asyncio.sleep(CALM_S)
        self._spawn(self._send_bad())
        await asyncio.sleep(seconds)

    async def _send_sound(self):
        while True:
            self._spawn(self._call_sound())
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def _send_bad(self):
        while True:
            parts = [COMMON_PART, BAD_PART]
            if self._bad_first:
                parts.reverse()
            self._spawn(self._call(",".join(parts), "bad"))
            await asyncio.sleep(BAD_INTERVAL_S)

    async def _call_sound(self):
        at = asyncio.get_running_loop().time()
        ok = False
        try:
            ok = await self._call(COMMON_PART, "sound")
        finally:
            self.sound.append((at, ok))

    async def _call(self, parts, kind):
        self._numbers[kind] += 1
        number = self._numbers[kind]
        reply = await self.path.call_with_parts(
            f"{kind}-{number}", f"{parts},{kind}{number}", self._body
        )
        self.statuses[kind, reply.status] += 1
        return reply.status == 200 and reply.complete
