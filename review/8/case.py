"""A VM is partitioned from all runners while one runner hangs at times.

The VM has other VMs run its calls. Callers send requests of a `safe` route
that may go to two runners.
"""

import asyncio
import json
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import client  # noqa: E402
import fleet as fleets  # noqa: E402
import http_server  # noqa: E402
import runner as runners  # noqa: E402

MAX_ATTEMPTS = 2
TIMEOUT_MS = 2000
#: As `registo-lookup` of pc-central has it.
TARGET_MS = 300
WORK_S = 0.06
HANG_SHARE = 0.45
#: Of each episode: the cut, and the hanging runner within it.
CUT_S = 8.5
HANG_S = 5.0
EPISODES = 7
REQUESTS_PER_S = 20


class Paths:
    """The paths of one VM to all runners, which may be cut.

    The VM reads the store through a view of its own, in which each runner has
    the address of a relay. A cut closes the relays: connections are reset,
    and new ones are refused.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._relays = {}
        self._servers = []
        self._writers = set()
        self.view = http_server.Server(self._handle)

    async def start(self):
        await self.view.start("127.0.0.4")
        for number, runner in enumerate(self._fleet.runners):
            server = await self._listen(runner, f"127.0.2.{1 + number}", 0)
            address = server.sockets[0].getsockname()[:2]
            self._relays[runner.name] = address

    async def _listen(self, runner, host, port):
        server = await asyncio.start_server(
            lambda reader, writer: self._relay(runner, reader, writer),
            host, port,
        )
        self._servers.append(server)
        return server

    def cut(self):
        for server in self._servers:
            server.close()
        self._servers.clear()
        for writer in list(self._writers):
            writer.transport.abort()

    async def heal(self):
        for runner in self._fleet.runners:
            await self._listen(runner, *self._relays[runner.name])

    async def _handle(self, request):
        reply = await self._fleet.store.handle(request)
        for runner in self._fleet.runners:
            host, port = self._relays[runner.name]
            reply.body = reply.body.replace(
                json.dumps(runner.address).encode(),
                json.dumps(f"{host}:{port}").encode(),
            )
        return reply

    async def _relay(self, runner, reader, writer):
        try:
            there, back = await asyncio.open_connection(
                runner.host, runner.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        try:
            await asyncio.gather(
                self._copy(reader, back), self._copy(there, writer))
        except asyncio.CancelledError:
            pass
        self._writers -= {writer, back}

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def test(trouble, folder):
    fleet = fleets.Fleet(3)
    record = fleets.Record(folder / "record.txt")
    rng = random.Random(8)
    fleet.runners = [
        runners.Runner(f"i-app{n}", "registo-app", zone, work_s=WORK_S,
                       concurrency=6)
        for n, zone in enumerate(fleets.ZONES)
    ]
    hanging = {"runner": None}

    async def behave(run, writer):
        if run.runner is hanging["runner"] and rng.random() < HANG_SHARE:
            # It works on, and never answers; it ends with its channel.
            run.result = "hangs"
            until = time.monotonic() + 30.0
            while time.monotonic() < until:
                if run.runner.left(run, writer):
                    return False
                await asyncio.sleep(0.05)
            return False
        return await run.runner.serve(run, writer)

    for runner in fleet.runners:
        runner.behaviour = behave
    paths = Paths(fleet)
    vm = fleet.vms[0]
    settings_of = fleet.settings_of

    def with_view(each):
        document = settings_of(each)
        if each is vm:
            document["platform"]["address"] = paths.view.address
        return document

    fleet.settings_of = with_view
    answers = []
    try:
        for number, runner in enumerate(fleet.runners):
            await runner.start(f"127.0.1.{1 + number}")
        await paths.start()
        await fleet.start(
            [fleets.route("/lookups/", "registo-app", timeout_ms=TIMEOUT_MS,
                          target_latency_ms=TARGET_MS,
                          max_attempts=MAX_ATTEMPTS)],
            [fleets.service("registo-app", 100)],
        )
        sending = []

        async def send():
            answers.append(await client.call(
                vm.frontend, "GET", "/lookups/1", fleets.HOST_NAME,
                [fleets.authorization()], timeout_s=4.0,
            ))

        async def send_for(seconds):
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                sending.append(asyncio.create_task(send()))
                await asyncio.sleep(1.0 / REQUESTS_PER_S)

        await send_for(2.0)
        for episode in range(EPISODES):
            if trouble:
                paths.cut()
                record.add(f"{time.time():.3f} cut {vm.name}")
            await send_for(3.0)
            if trouble:
                hanging["runner"] = fleet.runners[episode % 3]
            await send_for(HANG_S)
            hanging["runner"] = None
            await send_for(CUT_S - 3.0 - HANG_S)
            if trouble:
                await paths.heal()
                record.add(f"{time.time():.3f} healed {vm.name}")
            await send_for(2.0)
        await asyncio.gather(*sending)
        ran_at = {}
        for runner in fleet.runners:
            for run in runner.runs:
                ran_at.setdefault(run.request_id, set()).add(runner.name)
        often = [n for n, at in ran_at.items() if len(at) > MAX_ATTEMPTS]
        text = (f"{len(answers)} requests,"
                f" {sum(a.status == 200 for a in answers)} served,"
                f" {sum(len(at) == 2 for at in ran_at.values())} ran at two"
                f" runners, {len(often)} at more than max_attempts="
                f"{MAX_ATTEMPTS}: {' '.join(often[:8])}")
        record.add(text)
        print(text)
        # "More than three requests of requesters run, in one requester
        # attempt, on more runners than their route's `max_attempts`".
        return len(often) > 3
    finally:
        record.write(fleet, answers)
        paths.cut()
        paths.view.close()
        await fleet.close(folder / "logs" if "--logs" in sys.argv else None)


fleets.main(test, HERE)
