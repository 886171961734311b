"""Faults of a soak test, registered by name.

Each fault repairs what it broke before it ends.
"""

import asyncio
import random
import signal
import typing

from . import child_process
from . import dialect
from . import fleet
from . import proxy
from . import runner_link
from . import vm as vms

Fault = typing.Callable[[fleet.Fleet, random.Random], typing.Awaitable[None]]

FAULTS: dict[str, Fault] = {}
#: What runners say of themselves for some seconds. They are planned apart from
#: the faults, so that a seed's faults stay the same with and without them.
STATEMENTS: dict[str, Fault] = {}

#: Time between a runner's crash and the removal of its entry, in seconds.
ENTRY_REMOVAL_DELAY_S = 0.6
#: How long a leaving runner continues to serve, in seconds.
DRAIN_DURATION_S = 2.5
#: Invalid contents, as another program could write into a runner's entry.
INVALID_ENTRIES: tuple[typing.Any, ...] = (
    {},
    [],
    7,
    {"service": 3, "ports": "x", "leaving": "no"},
    {"service": "s", "host": None, "ports": {"": -1}, "concurrency": 1e30},
)
#: After which time the platform starts a process that has ended, in seconds.
RESTART_DELAY_S = 0.5
#: Limits that runners name, in calls a second.
LIMITS_PER_S = (1.0, 2.5, 6.0)
#: Rests that runners ask for, in seconds.
RESTS_S = (0.8, 1.5, 3.0)
#: How long a runner goes on serving after it said that it leaves, in seconds.
LEAVING_DURATION_S = 4.0
#: Shortest and longest time for which a runner says something, in seconds.
STATEMENT_DURATION_S = (4.0, 8.0)
#: Shortest and longest time between two such beginnings, in seconds.
STATEMENT_INTERVAL_S = (0.3, 2.5)
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


def register_statement(name: str) -> typing.Callable[[Fault], Fault]:
    """Register a function that lets a runner say something, under a name."""

    def register(function: Fault) -> Fault:
        STATEMENTS[name] = function
        return function

    return register


@register_fault("vm_kill")
async def _kill_vm(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    vm = rng.choice(test_fleet.vms)
    with test_fleet.disturbance(vm.name):
        vm.process.kill()
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        _start_if_ended(vm.process)


@register_fault("vm_stop")
async def _stop_vm(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    vm = rng.choice(test_fleet.vms)
    vm.process.send_signal(signal.SIGTERM)
    ended = await vm.process.wait_until_ended(vms.SHUTDOWN_TIMEOUT_S + 1.0)
    with test_fleet.disturbance(vm.name):
        if not ended:
            vm.process.kill()
        _start_if_ended(vm.process)


@register_fault("vm_pause")
async def _pause_vm(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    vm = rng.choice(test_fleet.vms)
    with test_fleet.disturbance(vm.name):
        await _pause_process(vm.process, rng.uniform(0.3, 2.5))


@register_fault("vm_reload")
async def _reload_vms(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """Signal all VMs; one that has just begun to start may end by it."""
    running = [vm for vm in test_fleet.vms if vm.process.is_running]
    for vm in running:
        vm.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(RESTART_DELAY_S)
    for vm in running:
        _start_if_ended(vm.process)


@register_fault("runner_kill")
async def _kill_runner(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick_replaceable_runner(test_fleet, rng)
    if runner is None:
        return
    test_fleet.runners.remove(runner)
    _kill(test_fleet, runner)
    await asyncio.sleep(ENTRY_REMOVAL_DELAY_S)
    await test_fleet.delete_entry(runner)
    await test_fleet.add_runner(runner.service, version=runner.version)
    runner.link.close()


@register_fault("runner_reused")
async def _reuse_runner_address(
    test_fleet: fleet.Fleet, rng: random.Random
) -> None:
    """A runner of the other service takes over a crashed runner's address."""
    runner = _pick_replaceable_runner(test_fleet, rng)
    if runner is None:
        return
    test_fleet.runners.remove(runner)
    _kill(test_fleet, runner)
    others = [s for s in fleet.SERVICES if s != runner.service]
    port = runner.link.target
    await test_fleet.add_runner(rng.choice(others), runner.link, port)
    await asyncio.sleep(ENTRY_REMOVAL_DELAY_S)
    await test_fleet.delete_entry(runner)
    await test_fleet.add_runner(runner.service, version=runner.version)


@register_fault("runner_drain")
async def _drain_runner(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick_replaceable_runner(test_fleet, rng)
    if runner is None:
        return
    test_fleet.runners.remove(runner)
    await asyncio.gather(
        drain(test_fleet, runner),
        test_fleet.add_runner(runner.service, version=runner.version),
    )


async def drain(test_fleet: fleet.Fleet, runner: fleet.RunnerProcess) -> None:
    """Let a runner announce that it leaves, and end it later."""
    await test_fleet.write_entry(runner, leaving=True)
    await asyncio.sleep(DRAIN_DURATION_S)
    await test_fleet.delete_entry(runner)
    runner.process.kill()
    runner.link.close()


@register_fault("runner_restart")
async def _restart_runner(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """A runner crashes and restarts before its entry is removed."""
    runner = _pick_replaceable_runner(test_fleet, rng)
    if runner is None:
        return
    test_fleet.runners.remove(runner)
    _kill(test_fleet, runner)
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    test_fleet.runners.append(runner)
    await test_fleet.restart_runner(runner)


@register_fault("entry_spoiled")
async def _corrupt_entry(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """A runner's entry is overwritten until its next heartbeat repairs it."""
    runner = _pick_replaceable_runner(test_fleet, rng)
    if runner is None:
        return
    entry = rng.choice(INVALID_ENTRIES)
    await test_fleet.put_object(dialect.RUNNERS_KIND, runner.name, entry)
    await asyncio.sleep(rng.uniform(0.2, 1.2))
    if runner in test_fleet.runners:
        await test_fleet.write_entry(runner, leaving=False)


@register_fault("runner_pause")
async def _pause_runner(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    runner = _pick_replaceable_runner(test_fleet, rng)
    if runner is not None:
        with test_fleet.disturbance(runner.name):
            await _pause_process(runner.process, rng.uniform(0.3, 2.0))


@register_fault("runner_link")
async def _degrade_runner_link(
    test_fleet: fleet.Fleet, rng: random.Random
) -> None:
    runner = _pick_replaceable_runner(test_fleet, rng)
    if runner is not None:
        with test_fleet.disturbance(runner.name):
            await _degrade_link(runner.link, rng)


@register_fault("store_pause")
async def _pause_store(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    await _pause_process(test_fleet.store, rng.uniform(0.3, 3.0))


@register_fault("store_link")
async def _degrade_store_link(
    test_fleet: fleet.Fleet, rng: random.Random
) -> None:
    await _degrade_link(rng.choice(test_fleet.vms).link, rng)


@register_fault("configuration")
async def _update_configuration(
    test_fleet: fleet.Fleet, rng: random.Random
) -> None:
    await test_fleet.write_configuration()


@register_statement("runner_limited")
async def _limit_runner(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """A runner names a limit, and lifts it after some seconds."""
    runner = rng.choice(test_fleet.runners)
    await test_fleet.say(
        runner, f"Limit-Per-S: {rng.choice(LIMITS_PER_S)}\r\n"
    )
    await asyncio.sleep(rng.uniform(*STATEMENT_DURATION_S))
    await test_fleet.say(runner)


@register_statement("runner_asks_for_rest")
async def _ask_for_rest(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """A runner turns calls away and asks the VMs to stay away."""
    runner = rng.choice(test_fleet.runners)
    await test_fleet.say(runner, f"Rest-S: {rng.choice(RESTS_S)}\r\n")
    await asyncio.sleep(rng.uniform(*STATEMENT_DURATION_S))
    await test_fleet.say(runner)


@register_statement("runner_says_leaving")
async def _say_leaving(test_fleet: fleet.Fleet, rng: random.Random) -> None:
    """A runner says that it leaves, and its entry doesn't, and then ends."""
    runner = _pick_replaceable_runner(test_fleet, rng)
    if runner is None:
        return
    test_fleet.runners.remove(runner)
    test_fleet.end_span(runner)
    await test_fleet.add_runner(runner.service, version=runner.version)
    await test_fleet.say(runner, "Leaving: 1\r\n")
    await asyncio.sleep(LEAVING_DURATION_S)
    await test_fleet.delete_entry(runner)
    runner.process.kill()
    runner.link.close()


def _pick_replaceable_runner(
    test_fleet: fleet.Fleet, rng: random.Random
) -> fleet.RunnerProcess | None:
    """Choose a runner whose service has another one.

    :returns: None when every service has at most one runner.
    """
    services = [runner.service for runner in test_fleet.runners]
    candidates = [
        r for r in test_fleet.runners if services.count(r.service) > 1
    ]
    return rng.choice(candidates) if candidates else None


def _kill(test_fleet: fleet.Fleet, runner: fleet.RunnerProcess) -> None:
    test_fleet.end_span(runner)
    runner.process.kill()


def _start_if_ended(child: child_process.ChildProcess) -> None:
    if not child.is_running:
        child.start()


async def _pause_process(
    child: child_process.ChildProcess, seconds: float
) -> None:
    child.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    child.send_signal(signal.SIGCONT)


async def _degrade_link(
    link: proxy.FaultProxy | runner_link.RunnerLink, rng: random.Random
) -> None:
    link.set_mode(rng.choice(LINK_FAULT_MODES))
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    link.set_mode(proxy.Mode.PASS)


def plan_faults(rng: random.Random, seconds: float) -> list[tuple[float, str]]:
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


def plan_statements(
    rng: random.Random, seconds: float
) -> list[tuple[float, str]]:
    """Draw when runners begin to say something of themselves, and what.

    :param seconds: length of the period in which they begin.
    :returns: start times, in seconds, with the names of the statements.
    """
    schedule = []
    at = 0.2
    while at < seconds:
        schedule.append((at, rng.choice(sorted(STATEMENTS))))
        at += rng.uniform(*STATEMENT_INTERVAL_S)
    return schedule
