"""Faults of a soak, registered by name; each undoes what it did."""

import asyncio
import random
import signal
import typing

from . import dialect
from . import fleet
from . import proxy
from . import vm as vms

Fault = typing.Callable[[fleet.Fleet, random.Random], typing.Awaitable[None]]

FAULTS: dict[str, Fault] = {}

#: Between the crash of a runner and the removal of its entry, in seconds.
NOTICED_S = 0.6
#: A runner that leaves serves on for so long, in seconds.
DRAIN_S = 2.5
#: What stands in an entry that somebody else wrote.
SPOILED: tuple[typing.Any, ...] = (
    {},
    [],
    7,
    {"service": 3, "port": "x", "leaving": "no"},
    {"service": "s", "host": None, "port": -1, "concurrency": 1e30},
)
MODES = (
    proxy.Mode.DELAY,
    proxy.Mode.RESET,
    proxy.Mode.SILENT,
    proxy.Mode.ONE_WAY,
)


def fault(name: str) -> typing.Callable[[Fault], Fault]:
    """Register a fault."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


@fault("vm_kill")
async def _vm_kill(running: fleet.Fleet, rng: random.Random) -> None:
    vm = rng.choice(running.vms)
    vm.child.kill()
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    _start(vm.child)


@fault("vm_stop")
async def _vm_stop(running: fleet.Fleet, rng: random.Random) -> None:
    vm = rng.choice(running.vms)
    vm.child.signal(signal.SIGTERM)
    if not await vm.child.ended(vms.SHUTDOWN_S + 1.0):
        vm.child.kill()
    _start(vm.child)


@fault("vm_pause")
async def _vm_pause(running: fleet.Fleet, rng: random.Random) -> None:
    await _pause(rng.choice(running.vms).child, rng.uniform(0.3, 2.5))


@fault("vm_reload")
async def _vm_reload(running: fleet.Fleet, rng: random.Random) -> None:
    for vm in running.vms:
        vm.child.signal(signal.SIGHUP)


@fault("runner_kill")
async def _runner_kill(running: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick(running, rng)
    if runner is None:
        return
    running.runners.remove(runner)
    runner.child.kill()
    await asyncio.sleep(NOTICED_S)
    await running.remove_runner(runner)
    await running.add_runner(runner.service)
    runner.link.close()


@fault("runner_reused")
async def _runner_reused(running: fleet.Fleet, rng: random.Random) -> None:
    """Another runner, of the other service, takes over an address."""
    runner = _pick(running, rng)
    if runner is None:
        return
    running.runners.remove(runner)
    runner.child.kill()
    others = [s for s in fleet.SERVICES if s != runner.service]
    port = runner.link.target
    await running.add_runner(rng.choice(others), runner.link, port)
    await asyncio.sleep(NOTICED_S)
    await running.remove_runner(runner)
    await running.add_runner(runner.service)


@fault("runner_drain")
async def _runner_drain(running: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick(running, rng)
    if runner is None:
        return
    running.runners.remove(runner)
    await running.list_runner(runner, leaving=True)
    await running.add_runner(runner.service)
    await asyncio.sleep(DRAIN_S)
    await running.remove_runner(runner)
    runner.child.kill()
    runner.link.close()


@fault("runner_restart")
async def _runner_restart(running: fleet.Fleet, rng: random.Random) -> None:
    """A runner crashes, and starts again before its entry is removed."""
    runner = _pick(running, rng)
    if runner is None:
        return
    running.runners.remove(runner)
    runner.child.kill()
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    running.runners.append(runner)
    await running.restart_runner(runner)


@fault("entry_spoiled")
async def _entry_spoiled(running: fleet.Fleet, rng: random.Random) -> None:
    """Somebody writes over a runner's entry; its next heartbeat mends it."""
    runner = _pick(running, rng)
    if runner is None:
        return
    value = rng.choice(SPOILED)
    await running.put(dialect.RUNNERS_KIND, runner.name, value)
    await asyncio.sleep(rng.uniform(0.2, 1.2))
    if runner in running.runners:
        await running.list_runner(runner, leaving=False)


@fault("runner_pause")
async def _runner_pause(running: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick(running, rng)
    if runner is not None:
        await _pause(runner.child, rng.uniform(0.3, 2.0))


@fault("runner_link")
async def _runner_link(running: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick(running, rng)
    if runner is not None:
        await _spoil(runner.link, rng)


@fault("store_pause")
async def _store_pause(running: fleet.Fleet, rng: random.Random) -> None:
    await _pause(running.store, rng.uniform(0.3, 3.0))


@fault("store_link")
async def _store_link(running: fleet.Fleet, rng: random.Random) -> None:
    await _spoil(rng.choice(running.vms).link, rng)


@fault("configuration")
async def _configuration(running: fleet.Fleet, rng: random.Random) -> None:
    await running.configure()


def _pick(running: fleet.Fleet, rng: random.Random) -> fleet.Runner | None:
    """A runner whose service has another one, or None."""
    services = [runner.service for runner in running.runners]
    fit = [r for r in running.runners if services.count(r.service) > 1]
    return rng.choice(fit) if fit else None


def _start(child: fleet.Child) -> None:
    if not child.running:
        child.start()


async def _pause(child: fleet.Child, seconds: float) -> None:
    child.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    child.signal(signal.SIGCONT)


async def _spoil(link: proxy.Proxy, rng: random.Random) -> None:
    link.set_mode(rng.choice(MODES))
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    link.set_mode(proxy.Mode.PASS)


def plan(rng: random.Random, seconds: float) -> list[tuple[float, str]]:
    """When which fault begins; some follow so closely that they overlap."""
    found = []
    at = 0.5
    while at < seconds:
        found.append((at, rng.choice(sorted(FAULTS))))
        at += rng.choice((0.1, 0.4, 1.0, 2.0))
    return found
