"""Compares ways to keep the limit of one runner by all VMs of a fleet."""

import argparse
import itertools
import json
import typing

from apricotlever.contracts import token_bucket
from apricotlever.runners import limit_keeper
from apricotlever.serving import keeper_fleet
from bench import _limited_fleet

#: Spans in which the load is steady, for the used part of the limit.
STEADY_S = ((5.0, 8.0), (17.0, 20.0), (32.0, 72.0))
#: What the rule allows in a span of 4 s: one and a half times the limit, and
#: five calls. It holds from 3 s after the runner first named a limit.
RULE_SPAN_S, RULE_FACTOR, RULE_CALLS, RULE_FROM_S = 4.0, 1.5, 5.0, 3.0


def _keep_part(fleet: _limited_fleet.Fleet, vm: _limited_fleet.Vm) -> None:
    """Each VM keeps an equal part of the limit for itself."""
    limit = vm.stated.in_force[_limited_fleet.RUNNER] / len(fleet.vms)
    if vm.bucket is None:
        vm.bucket = token_bucket.TokenBucket(fleet.network.clock, limit, 1.0)
    vm.bucket.set_rate(limit, 1.0)
    if vm.bucket.take(1.0):
        fleet.send_call(vm)


def _share_counts(fleet: _limited_fleet.Fleet, vm: _limited_fleet.Vm) -> None:
    """Each VM counts for itself, and learns of the others' counts later."""
    clock = fleet.network.clock
    limit = vm.stated.in_force[_limited_fleet.RUNNER]
    burst = limit_keeper.BURST_CALLS + limit * limit_keeper.BURST_S
    if vm.bucket is None:
        vm.bucket = token_bucket.TokenBucket(clock, limit, burst)
    vm.bucket.set_rate(limit, burst)
    if not vm.bucket.take(1.0):
        return
    fleet.send_call(vm)
    for peer in fleet.vms:
        if peer.is_cut == vm.is_cut and peer is not vm:
            delay_s = fleet.network.rng.uniform(
                0.0, _limited_fleet.RECORD_INTERVAL_S
            )
            fleet.network.after(delay_s, lambda p=peer: _charge(p))


def _charge(vm: _limited_fleet.Vm) -> None:
    if vm.bucket is not None:
        vm.bucket.charge(1.0)


def _ask_keeper(fleet: _limited_fleet.Fleet, vm: _limited_fleet.Vm) -> None:
    """One VM is asked before each call."""
    if _limited_fleet.RUNNER in vm.full.names:
        return
    fleet.asks += 1
    vm.update_fleet()
    _ask(
        fleet, vm, vm.keepers.keeper(_limited_fleet.RUNNER), may_ask_other=True
    )


def _ask(
    fleet: _limited_fleet.Fleet,
    vm: _limited_fleet.Vm,
    keeper: str,
    may_ask_other: bool,
) -> None:
    """Ask a VM, and the next one in the order if it does not answer."""
    network = fleet.network
    asked = fleet.by_name[keeper]
    answered: list[bool] = []

    def decide() -> None:
        limit = vm.stated.in_force.get(_limited_fleet.RUNNER)
        if limit is None:
            answer(limit_keeper.Admission(True, 0.0))
            return
        asked.update_fleet()
        known = asked.stated.in_force.get(_limited_fleet.RUNNER, limit)
        admission = asked.keeper.admit(
            _limited_fleet.RUNNER,
            known,
            is_deputy=not asked.keepers.is_first(_limited_fleet.RUNNER),
        )
        if asked is vm:
            answer(admission)
        else:
            network.send(asked, vm, lambda: answer(admission))

    def answer(admission: limit_keeper.Admission) -> None:
        if answered:
            return
        answered.append(True)
        if admission.admitted:
            fleet.send_call(vm)
        else:
            vm.full.record(
                _limited_fleet.RUNNER, admission.wait_s, admission.ask_again_s
            )

    def give_up() -> None:
        if answered or not vm.alive:
            return
        answered.append(True)
        vm.keepers.record_timeout(keeper)
        if may_ask_other:
            _ask(
                fleet,
                vm,
                vm.keepers.keeper(_limited_fleet.RUNNER),
                may_ask_other=False,
            )
        else:
            retry_s = keeper_fleet.UNANSWERED_RETRY_S
            vm.full.record(_limited_fleet.RUNNER, retry_s, retry_s)

    if asked is vm:
        decide()
        return
    for attempt in range(2):
        network.after(
            attempt * 0.02,
            lambda: None if answered else network.send(vm, asked, decide),
        )
    network.after(0.04, give_up)


#: The compared ways.
WAYS: dict[str, _limited_fleet.Way] = {
    "parts": _keep_part,
    "shared_counts": _share_counts,
    "keeper": _ask_keeper,
}


class Result:
    """What one simulation measured.

    :param excess: calls in the worst span beyond what the rule allows,
        negative if none are. The rule counts VMs that had been told.
    :param excess_of_all: the same for the calls of all VMs, told or not.
    :param used: part of the limit that the runner got while the load was
        steady.
    :param asks_per_s: questions to keepers a second.
    :param messages_per_vm_s: messages a second and VM.
    """

    __slots__ = (
        "excess",
        "excess_of_all",
        "used",
        "asks_per_s",
        "messages_per_vm_s",
    )

    def __init__(
        self,
        excess: float,
        excess_of_all: float,
        used: float,
        asks_per_s: float,
        messages_per_vm_s: float,
    ) -> None:
        self.excess = excess
        self.excess_of_all = excess_of_all
        self.used = used
        self.asks_per_s = asks_per_s
        self.messages_per_vm_s = messages_per_vm_s


def simulate(
    way: str, count: int, limit: float, seed: int, loss: float
) -> Result:
    """Play the scenario.

    :param way: a name in :data:`WAYS`.
    :param count: number of VMs.
    :param limit: calls a second that the runner takes.
    :param loss: part of the messages that is lost.
    """
    fleet = _limited_fleet.Fleet(WAYS[way], count, limit, seed, loss)
    fleet.run()
    steady_s = sum(end - start for start, end in STEADY_S)
    got = sum(
        start <= at < end for at in fleet.arrived for start, end in STEADY_S
    )
    return Result(
        _excess(fleet, fleet.counted),
        _excess(fleet, fleet.arrived),
        got / (limit * steady_s),
        fleet.asks / _limited_fleet.DURATION_S,
        fleet.network.messages / _limited_fleet.DURATION_S / count,
    )


def _excess(fleet: _limited_fleet.Fleet, arrived: list[float]) -> float:
    """The calls beyond what the rule allows, in the worst span.

    While the limit changes, the greatest limit that was named in a span
    counts, as the rule allows what the runner took then.
    """
    since = _limited_fleet.LIMIT_STEPS[0][0] + RULE_FROM_S
    worst = float("-inf")
    times = [at for at in arrived if at >= since]
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - RULE_SPAN_S:
            first += 1
        limits = [
            fleet.named_limit(at - back * RULE_SPAN_S / 40)
            for back in range(41)
        ]
        if None in limits:
            continue
        greatest = max(limit for limit in limits if limit is not None)
        allowed = RULE_FACTOR * RULE_SPAN_S * greatest + RULE_CALLS
        worst = max(worst, last - first + 1 - allowed)
    return worst


def run(arguments: typing.Sequence[str]) -> int:
    """Compare the ways at several sizes and limits."""
    parser = argparse.ArgumentParser(prog="python -m bench runner_limits")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--loss", type=float, default=0.03)
    parser.add_argument(
        "--vms", type=int, nargs="+", default=[7, 70, 195, 3500]
    )
    parser.add_argument("--limits", type=float, nargs="+", default=[1.5, 15.0])
    options = parser.parse_args(arguments)
    for count, limit, way in itertools.product(
        options.vms, options.limits, WAYS
    ):
        results = [
            simulate(way, count, limit, seed, options.loss)
            for seed in range(options.seeds)
        ]
        print(
            json.dumps(
                {
                    "vms": count,
                    "limit_per_s": limit,
                    "way": way,
                    "worst_excess": max(r.excess for r in results),
                    "worst_excess_of_all": max(
                        r.excess_of_all for r in results
                    ),
                    "least_used": round(min(r.used for r in results), 2),
                    "asks_per_s": round(max(r.asks_per_s for r in results), 1),
                    "messages_per_vm_s": round(
                        max(r.messages_per_vm_s for r in results), 2
                    ),
                }
            ),
            flush=True,
        )
    return 0
