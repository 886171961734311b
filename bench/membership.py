"""Membership: time to detect a crash, false suspicions, and its cost.

Runs the real membership code on one virtual clock, for 7 VMs in 3 data
centres, 159 VMs in one, and 3,500 VMs in 22. Except in the largest fleet, it
is compared with heartbeats from all VMs to all. ``--large`` adds the largest
fleet, which takes some minutes.
"""

import argparse
import json
import resource
import statistics
import typing

from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import membership
from tests.vms import naive_membership

from . import fleets
from . import gossip_simulation
from . import peer_call

SEED = 1
SMALL_DATA_CENTRE_SIZES = (3, 2, 2)
ONE_DATA_CENTRE_SIZES = (159,)
LARGE_VM_COUNT = 3500
LARGE_DATA_CENTRE_COUNT = 22
TRIALS = {7: 40, 159: 3}
# Virtual seconds after a start by which the additional messages that the
# start causes have ended.
LARGE_WARM_UP_S = 40.0
LOSS = 0.05
SETTLE_S = 20.0
OBSERVATION_S = 30.0
# With 159 VMs, heartbeats from all to all are too many for a longer run.
HEARTBEATS_OBSERVATION_S = 4.0
PAUSE_S = 10.0
CRASH_TIMEOUT_S = 120.0

MEMBERSHIP_CLASSES: dict[str, typing.Any] = {
    "swim": membership.Membership,
    "heartbeats": naive_membership.HeartbeatMembership,
}


class DetectionLog:
    """Records when VMs suspected other VMs or declared them dead."""

    def __init__(self, fleet: gossip_simulation.Fleet) -> None:
        self._fleet = fleet
        self.first_suspected_at: dict[str, float] = {}
        self.declared_dead_at: dict[str, dict[str, float]] = {}
        fleet.observers.append(self._record_change)

    def wrong_deaths(self) -> int:
        """Return the number of declarations that a running VM is dead.

        Each VM that declared it dead counts once.
        """
        return sum(
            len(observers)
            for vm, observers in self.declared_dead_at.items()
            if self._fleet.nodes[vm].running
        )

    def count_wrongly_suspected(self) -> int:
        """Return the number of running VMs that any VM suspected."""
        return sum(
            self._fleet.nodes[vm].running for vm in self.first_suspected_at
        )

    def _record_change(
        self, node: gossip_simulation.Node, action: actions.Action
    ) -> None:
        if not isinstance(action, actions.MemberChanged):
            return
        now = self._fleet.clock.now()
        vm = action.after.vm
        if action.after.state == pb.VM_SUSPECT:
            self.first_suspected_at.setdefault(vm, now)
        if action.after.state == pb.VM_DEAD:
            self.declared_dead_at.setdefault(vm, {})[node.vm] = now


def _start_fleet(
    sizes: typing.Sequence[int], kind: str, seed: int, loss: float
) -> gossip_simulation.Fleet:
    fleet = gossip_simulation.Fleet(seed=seed, loss=loss)
    members = fleets.make_members(sizes)
    hints = [membership.Hint(m.vm, m.peers_address) for m in members]
    if kind == "swim":
        fleets.start_with_known_members(fleet, members)
        fleet.run(SETTLE_S)
        return fleet
    for member in members:
        fleet.add(member, hints, MEMBERSHIP_CLASSES[kind])
    fleet.run(2.0)
    return fleet


def _observation_s(kind: str) -> float:
    return OBSERVATION_S if kind == "swim" else HEARTBEATS_OBSERVATION_S


def _measure_crash(
    sizes: typing.Sequence[int], kind: str, seed: int
) -> tuple[float, float]:
    """Crash one VM and wait until all others declare it dead.

    :returns: seconds until the first VM suspected the crashed one, and until
        the last VM declared it dead.
    """
    fleet = _start_fleet(sizes, kind, seed, 0.0)
    detections = DetectionLog(fleet)
    vm = fleet.rng.choice(sorted(fleet.nodes))
    fleet.crash(vm)
    start_s = fleet.clock.now()
    others = len(fleet.nodes) - 1
    fleet.run_until(
        lambda: len(detections.declared_dead_at.get(vm, ())) == others,
        CRASH_TIMEOUT_S,
    )
    declared_at = detections.declared_dead_at[vm]
    first = detections.first_suspected_at.get(vm, min(declared_at.values()))
    return first - start_s, max(declared_at.values()) - start_s


def _run_crash_case(sizes: typing.Sequence[int], kind: str) -> None:
    count = TRIALS[sum(sizes)]
    delay_pairs = [_measure_crash(sizes, kind, SEED + i) for i in range(count)]
    suspicion_delays_s, declaration_delays_s = zip(*delay_pairs)
    _print_row(
        case="crash",
        kind=kind,
        members=sum(sizes),
        trials=count,
        first_doubt_s_median=round(statistics.median(suspicion_delays_s), 2),
        first_doubt_s_max=round(max(suspicion_delays_s), 2),
        all_know_s_median=round(statistics.median(declaration_delays_s), 2),
        all_know_s_max=round(max(declaration_delays_s), 2),
    )


def _run_loss_case(sizes: typing.Sequence[int], kind: str) -> None:
    fleet = _start_fleet(sizes, kind, SEED, LOSS)
    detections = DetectionLog(fleet)
    fleet.run(_observation_s(kind))
    _print_row(
        case="loss",
        kind=kind,
        members=sum(sizes),
        loss=LOSS,
        seconds=_observation_s(kind),
        vms_suspected=detections.count_wrongly_suspected(),
        wrong_deaths=detections.wrong_deaths(),
    )


def _run_pause_case(sizes: typing.Sequence[int], kind: str) -> None:
    fleet = _start_fleet(sizes, kind, SEED, 0.0)
    detections = DetectionLog(fleet)
    vm = sorted(fleet.nodes)[0]
    fleet.pause(vm, PAUSE_S)
    fleet.run(PAUSE_S + SETTLE_S / 4)
    by_paused = sum(
        vm in observers for observers in detections.declared_dead_at.values()
    )
    _print_row(
        case="pause",
        kind=kind,
        members=sum(sizes),
        pause_s=PAUSE_S,
        deaths_judged_by_paused=by_paused,
        judged_paused_dead=len(detections.declared_dead_at.get(vm, ())),
    )


def _run_cost_case(
    sizes: typing.Sequence[int], kind: str, call: peer_call.CallCost
) -> None:
    fleet = _start_fleet(sizes, kind, SEED, 0.0)
    nodes = list(fleet.nodes.values())
    fleets.Cost.reset_counters(nodes)
    fleet.run(_observation_s(kind))
    cost = fleets.Cost(
        nodes, _observation_s(kind), call.processor_s, call.added_bytes
    )
    _print_row(case="cost", kind=kind, members=sum(sizes), **cost.as_fields())


def _run_large_cases(call: peer_call.CallCost, seconds: float) -> None:
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    fleet = gossip_simulation.Fleet(seed=SEED, delay_s=0.02)
    sizes = fleets.split_evenly(LARGE_VM_COUNT, LARGE_DATA_CENTRE_COUNT)
    nodes = fleets.start_with_known_members(fleet, fleets.make_members(sizes))
    fleet.run(LARGE_WARM_UP_S)
    gateways = [node for node in nodes if node.membership.is_gateway]
    fleets.Cost.reset_counters(nodes)
    fleet.run(seconds)
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for name, group in (("all", nodes), ("gateways", gateways)):
        cost = fleets.Cost(group, seconds, call.processor_s, call.added_bytes)
        _print_row(
            case="large_cost",
            vms=name,
            count=len(group),
            seconds=seconds,
            memory_kb_each=round((after_kb - before_kb) / LARGE_VM_COUNT),
            **cost.as_fields(),
        )
    _run_large_rumour_case(fleet, nodes)
    _run_large_crash_case(fleet, nodes)


def _run_large_rumour_case(
    fleet: gossip_simulation.Fleet, nodes: list[gossip_simulation.Node]
) -> None:
    delivered_at: dict[str, float] = {}

    def record_delivery(
        node: gossip_simulation.Node, action: actions.Action
    ) -> None:
        if isinstance(action, actions.RumourDelivered):
            delivered_at[node.vm] = fleet.clock.now()

    fleet.observers.append(record_delivery)
    start_s = fleet.clock.now()
    nodes[5].membership.announce(
        pb.Rumour(
            scope=pb.SCOPE_FLEET,
            lifetime_ms=60_000,
            runner_leaving=pb.RunnerLeaving(runner="r1", deadline_s=20),
        )
    )
    fleet.run_until(lambda: len(delivered_at) == len(nodes) - 1, 30.0)
    delays_s = sorted(at - start_s for at in delivered_at.values())
    _print_row(
        case="large_rumour",
        reached=len(delays_s),
        of=len(nodes) - 1,
        median_s=round(statistics.median(delays_s), 2),
        p99_s=round(delays_s[int(0.99 * len(delays_s))], 2),
        last_s=round(delays_s[-1], 2),
    )


def _run_large_crash_case(
    fleet: gossip_simulation.Fleet, nodes: list[gossip_simulation.Node]
) -> None:
    detections = DetectionLog(fleet)
    crashed = nodes[7]
    peers = [
        node
        for node in nodes
        if node.member.data_centre == crashed.member.data_centre
    ]
    fleet.crash(crashed.vm)
    start_s = fleet.clock.now()
    others = len(peers) - 1
    fleet.run_until(
        lambda: len(detections.declared_dead_at.get(crashed.vm, ())) == others,
        60.0,
    )
    declared_at = detections.declared_dead_at.get(crashed.vm, {})
    _print_row(
        case="large_crash",
        judges=len(declared_at),
        of=others,
        all_know_s=round(max(declared_at.values(), default=0) - start_s, 2),
        wrong_deaths=detections.wrong_deaths(),
    )


def _print_row(**fields: typing.Any) -> None:
    print(json.dumps(fields), flush=True)


def run(arguments: list[str]) -> int:
    """Print one JSON line for each case."""
    parser = argparse.ArgumentParser(prog="bench membership")
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--only-large", action="store_true")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args(arguments)
    call = peer_call.measure()
    _print_row(
        case="call",
        processor_us=round(call.processor_s * 1e6),
        added_bytes=round(call.added_bytes),
    )
    if not options.only_large:
        for kind in MEMBERSHIP_CLASSES:
            _run_crash_case(SMALL_DATA_CENTRE_SIZES, kind)
            for sizes in (SMALL_DATA_CENTRE_SIZES, ONE_DATA_CENTRE_SIZES):
                _run_loss_case(sizes, kind)
                _run_pause_case(sizes, kind)
                _run_cost_case(sizes, kind, call)
        _run_crash_case(ONE_DATA_CENTRE_SIZES, "swim")
    if options.large or options.only_large:
        _run_large_cases(call, options.seconds)
    return 0
