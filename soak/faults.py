"""Faults of a soak test, registered by name.

Each fault repairs what it broke before it ends.
"""

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

#: Time between a runner's crash and the removal of its entry, in seconds.
ENTRY_REMOVAL_DELAY_S = 0.6
#: How long a leaving runner continues to serve, in seconds.
DRAIN_DURATION_S = 2.5
#: Invalid contents that a foreign program writes into a runner's entry.
INVALID_ENTRIES: tuple[typing.Any, ...] = (
    {},
    [],
    7,
    {"service": 3, "port": "x", "leaving": "no"},
    {"service": "s", "host": None, "port": -1, "concurrency": 1e30},
)
LINK_FAULT_MODES = (
    proxy.Mode.DELAY,
    proxy.Mode.RESET,
    proxy.Mode.SILENT,
    proxy.Mode.ONE_WAY,
)


def register_fault(name: str) -> typing.Callable[[Fault], Fault]:
    """Register a function that injects a fault, under a name."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


@register_fault("vm_kill")
async def _vm_kill(processes: fleet.Fleet, rng: random.Random) -> None:
    vm = rng.choice(processes.vms)
    vm.process.kill()
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    _start_if_ended(vm.process)


@register_fault("vm_stop")
async def _vm_stop(processes: fleet.Fleet, rng: random.Random) -> None:
    vm = rng.choice(processes.vms)
    vm.process.send_signal(signal.SIGTERM)
    if not await vm.process.wait_until_ended(vms.SHUTDOWN_S + 1.0):
        vm.process.kill()
    _start_if_ended(vm.process)


@register_fault("vm_pause")
async def _vm_pause(processes: fleet.Fleet, rng: random.Random) -> None:
    await _pause(rng.choice(processes.vms).process, rng.uniform(0.3, 2.5))


@register_fault("vm_reload")
async def _vm_reload(processes: fleet.Fleet, rng: random.Random) -> None:
    for vm in processes.vms:
        vm.process.send_signal(signal.SIGHUP)


@register_fault("runner_kill")
async def _runner_kill(processes: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick_replaceable_runner(processes, rng)
    if runner is None:
        return
    processes.runners.remove(runner)
    runner.process.kill()
    await asyncio.sleep(ENTRY_REMOVAL_DELAY_S)
    await processes.delete_entry(runner)
    await processes.add_runner(runner.service)
    runner.link.close()


@register_fault("runner_reused")
async def _runner_reused(processes: fleet.Fleet, rng: random.Random) -> None:
    """A runner of the other service takes over a crashed runner's address."""
    runner = _pick_replaceable_runner(processes, rng)
    if runner is None:
        return
    processes.runners.remove(runner)
    runner.process.kill()
    others = [s for s in fleet.SERVICES if s != runner.service]
    port = runner.link.target
    await processes.add_runner(rng.choice(others), runner.link, port)
    await asyncio.sleep(ENTRY_REMOVAL_DELAY_S)
    await processes.delete_entry(runner)
    await processes.add_runner(runner.service)


@register_fault("runner_drain")
async def _runner_drain(processes: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick_replaceable_runner(processes, rng)
    if runner is None:
        return
    processes.runners.remove(runner)
    await processes.write_entry(runner, leaving=True)
    await processes.add_runner(runner.service)
    await asyncio.sleep(DRAIN_DURATION_S)
    await processes.delete_entry(runner)
    runner.process.kill()
    runner.link.close()


@register_fault("runner_restart")
async def _runner_restart(processes: fleet.Fleet, rng: random.Random) -> None:
    """A runner crashes and restarts before its entry is removed."""
    runner = _pick_replaceable_runner(processes, rng)
    if runner is None:
        return
    processes.runners.remove(runner)
    runner.process.kill()
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    processes.runners.append(runner)
    await processes.restart_runner(runner)


@register_fault("entry_spoiled")
async def _entry_spoiled(processes: fleet.Fleet, rng: random.Random) -> None:
    """A runner's entry is overwritten until its next heartbeat repairs it."""
    runner = _pick_replaceable_runner(processes, rng)
    if runner is None:
        return
    entry = rng.choice(INVALID_ENTRIES)
    await processes.put_object(dialect.RUNNERS_KIND, runner.name, entry)
    await asyncio.sleep(rng.uniform(0.2, 1.2))
    if runner in processes.runners:
        await processes.write_entry(runner, leaving=False)


@register_fault("runner_pause")
async def _runner_pause(processes: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick_replaceable_runner(processes, rng)
    if runner is not None:
        await _pause(runner.process, rng.uniform(0.3, 2.0))


@register_fault("runner_link")
async def _runner_link(processes: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick_replaceable_runner(processes, rng)
    if runner is not None:
        await _degrade(runner.link, rng)


@register_fault("store_pause")
async def _store_pause(processes: fleet.Fleet, rng: random.Random) -> None:
    await _pause(processes.store, rng.uniform(0.3, 3.0))


@register_fault("store_link")
async def _store_link(processes: fleet.Fleet, rng: random.Random) -> None:
    await _degrade(rng.choice(processes.vms).link, rng)


@register_fault("configuration")
async def _configuration(processes: fleet.Fleet, rng: random.Random) -> None:
    await processes.write_configuration()


def _pick_replaceable_runner(
    processes: fleet.Fleet, rng: random.Random
) -> fleet.RunnerProcess | None:
    """Choose a runner whose service has another one.

    :returns: None when every service has at most one runner.
    """
    services = [runner.service for runner in processes.runners]
    candidates = [
        r for r in processes.runners if services.count(r.service) > 1
    ]
    return rng.choice(candidates) if candidates else None


def _start_if_ended(child: fleet.ChildProcess) -> None:
    if not child.is_running:
        child.start()


async def _pause(child: fleet.ChildProcess, seconds: float) -> None:
    child.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    child.send_signal(signal.SIGCONT)


async def _degrade(link: proxy.FaultProxy, rng: random.Random) -> None:
    link.set_mode(rng.choice(LINK_FAULT_MODES))
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    link.set_mode(proxy.Mode.PASS)


def plan(rng: random.Random, seconds: float) -> list[tuple[float, str]]:
    """Draw start times and names of the faults.

    Some faults start so shortly after the previous one that they overlap.

    :param seconds: length of the period in which faults start.
    :returns: start times, in seconds, with the names of the faults.
    """
    schedule = []
    at = 0.5
    while at < seconds:
        schedule.append((at, rng.choice(sorted(FAULTS))))
        at += rng.choice((0.1, 0.4, 1.0, 2.0))
    return schedule
