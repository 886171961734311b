"""A small deployment: store, cloud API, runners and entry VMs on loopback."""

import asyncio
import os
import pathlib
import shutil
import signal
import tempfile
import time
import typing

from . import caller
from . import platform
from . import record
from . import runner
from . import vm as vms

PLATFORM_HOST = "127.0.0.1"
RUNNER_HOST = "127.0.0.2"
SERVICE = "pool"
HEARTBEAT_S = 1.2
#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def route(
    prefix: str,
    kind: str,
    attempts: int,
    timeout_ms: int,
    resume: bool = False,
) -> dict[str, typing.Any]:
    """A route of the configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "hostname": caller.HOST,
        "path_prefix": prefix,
        "type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 600,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": attempts,
        "public": False,
        "session_affinity": False,
        "stream_resume": resume,
        "target_gap_ms": 300,
    }


class Deployment:
    """All processes and stand-ins of a case.

    :param folder: the folder of the case, for its record.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.log = record.Record(folder / "record.txt")
        self.store = platform.Store()
        self.cloud = platform.Cloud()
        self.runners: dict[str, runner.Runner] = {}
        self.vms: list[vms.Vm] = []
        self.version = 0
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._heartbeats: dict[str, asyncio.Task[None]] = {}
        self._store_port = 0
        self._cloud_port = 0

    async def start_platform(
        self, routes: typing.Sequence[dict[str, typing.Any]]
    ) -> None:
        """Start store and cloud API, and write the first configuration."""
        self._store_port = vms.free_port(PLATFORM_HOST)
        await self.store.listen(PLATFORM_HOST, self._store_port)
        self._cloud_port = vms.free_port(PLATFORM_HOST)
        await self.cloud.listen(PLATFORM_HOST, self._cloud_port)
        await self.configure(routes)

    async def configure(
        self, routes: typing.Sequence[dict[str, typing.Any]]
    ) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        await self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": list(routes),
                "services": [
                    {
                        "name": SERVICE,
                        "health_check_path": "/healthz",
                        "max_connections": 610,
                        "protocol": "h1",
                        "tls": False,
                    }
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "tenants": [
                    {
                        "name": "hule930",
                        "api_keys": [caller.KEY],
                        "priority": 1,
                        "rate_per_s": 0,
                        "burst": 0,
                    }
                ],
            },
        )

    async def add_runner(self, added: runner.Runner, zone: str) -> None:
        """Start a runner, which registers itself and sends heartbeats."""
        await added.listen(RUNNER_HOST, vms.free_port(RUNNER_HOST))
        self.runners[added.name] = added
        self.log.write(
            f"runner {added.name} of version {added.version} registers"
            f" at {added.host}:{added.port}"
        )
        self._heartbeats[added.name] = asyncio.ensure_future(
            self._beat(added, zone)
        )

    async def remove_entry(self, name: str) -> None:
        """End a runner's heartbeats and remove its entry; it serves on."""
        self._heartbeats.pop(name).cancel()
        await self.store.delete("servers", name)
        self.log.write(f"the entry of runner {name} is removed")

    async def _beat(self, beating: runner.Runner, zone: str) -> None:
        while True:
            await self.store.put(
                "servers", beating.name, beating.entry(SERVICE, zone)
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def start_vms(self, count: int) -> None:
        """Start entry VMs, and wait until they are ready."""
        hosts = vms.free_hosts(count)
        seeds = [f"{host}:{vms.PEERS}" for host in hosts]
        for number, host in enumerate(hosts):
            self.vms.append(
                vms.Vm(
                    f"edge-{number + 1}",
                    ("zone-a", "zone-b")[number % 2],
                    host,
                    seeds,
                    f"{PLATFORM_HOST}:{self._store_port}",
                    f"{PLATFORM_HOST}:{self._cloud_port}",
                    self._temporary,
                )
            )
        for each in self.vms:
            each.start()
        for each in self.vms:
            await each.wait_until_ready()
        self.log.write(f"{count} VMs are ready")

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for each in self.vms:
            each.kill()
        for task in self._heartbeats.values():
            task.cancel()
        for each in self.runners.values():
            await each.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self._temporary, kept, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)


#: Plays a case; returns whether the rule held, and a line that says why.
Play = typing.Callable[[Deployment, bool], typing.Awaitable[tuple[bool, str]]]


def main(folder: pathlib.Path, play: Play) -> int:
    """Play a case and return its exit code.

    Without the disruption (``TROUBLE=0``) it does the same else.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    return asyncio.run(_main(folder, play, trouble))


async def _main(folder: pathlib.Path, play: Play, trouble: bool) -> int:
    deployment = Deployment(folder)
    started_at = time.monotonic()
    playing = asyncio.current_task()
    assert playing is not None
    # A case that is stopped early ends its processes, too.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, playing.cancel
    )
    try:
        async with asyncio.timeout(100.0):
            held, text = await play(deployment, trouble)
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        deployment.log.write(f"the case could not run: {error!r}")
        print(f"not run: {error!r}")
        return NOT_RUN
    finally:
        await deployment.close()
    result = "held" if held else "broken"
    deployment.log.write(f"result: the rule is {result}: {text}")
    took_s = time.monotonic() - started_at
    print(f"trouble={int(trouble)} {result}: {text} ({took_s:.1f} s)")
    return HELD if held else BROKEN
