"""Membership: time to notice a crash, false suspicions, and its cost.

Real memberships on one virtual clock: 7 VMs in 3 data centres, 159 in one,
and 3,500 in 22; against heartbeats from all to all. ``--large`` adds the
last, which takes some minutes.
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
SMALL = (3, 2, 2)
ONE_DATA_CENTRE = (159,)
LARGE_VMS = 3500
LARGE_DATA_CENTRES = 22
TRIALS = {7: 40, 159: 3}
# What they tell each other after the start has ebbed away by then.
LARGE_WARM_S = 40.0
LOSS = 0.05
SETTLE_S = 20.0
WATCH_S = 30.0
# Heartbeats from all to all are too many for a longer run at 159.
WATCH_HEARTBEATS_S = 4.0
PAUSE_S = 10.0
LIMIT_S = 120.0

KINDS: dict[str, typing.Any] = {
    "swim": membership.Membership,
    "heartbeats": naive_membership.HeartbeatMembership,
}


class Judgements:
    """When which VM took which other for silent or dead."""

    def __init__(self, fleet: gossip_simulation.Fleet) -> None:
        self._fleet = fleet
        self.suspected: dict[str, float] = {}
        self.dead: dict[str, dict[str, float]] = {}
        fleet.observers.append(self._watch)

    def wrong_deaths(self) -> int:
        """Judgements of death on VMs that run."""
        return sum(
            len(judges)
            for vm, judges in self.dead.items()
            if self._fleet.nodes[vm].running
        )

    def wrong_suspects(self) -> int:
        """VMs that ran and were suspected by anybody."""
        return sum(self._fleet.nodes[vm].running for vm in self.suspected)

    def _watch(
        self, node: gossip_simulation.Node, action: actions.Action
    ) -> None:
        if not isinstance(action, actions.MemberChanged):
            return
        now = self._fleet.clock.now()
        vm = action.after.vm
        if action.after.state == pb.VM_SUSPECT:
            self.suspected.setdefault(vm, now)
        if action.after.state == pb.VM_DEAD:
            self.dead.setdefault(vm, {})[node.vm] = now


def _started(
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
        fleet.add(member, hints, KINDS[kind])
    fleet.run(2.0)
    return fleet


def _span_s(kind: str) -> float:
    return WATCH_S if kind == "swim" else WATCH_HEARTBEATS_S


def _crash(
    sizes: typing.Sequence[int], kind: str, seed: int
) -> tuple[float, float]:
    """Seconds until the first doubt, and until all hold it dead."""
    fleet = _started(sizes, kind, seed, 0.0)
    seen = Judgements(fleet)
    vm = fleet.rng.choice(sorted(fleet.nodes))
    fleet.crash(vm)
    start = fleet.clock.now()
    others = len(fleet.nodes) - 1
    fleet.run_until(lambda: len(seen.dead.get(vm, ())) == others, LIMIT_S)
    judged = seen.dead[vm]
    first = seen.suspected.get(vm, min(judged.values()))
    return first - start, max(judged.values()) - start


def _crashes(sizes: typing.Sequence[int], kind: str) -> None:
    count = TRIALS[sum(sizes)]
    pairs = [_crash(sizes, kind, SEED + i) for i in range(count)]
    doubts, deaths = zip(*pairs)
    _print(
        case="crash",
        kind=kind,
        members=sum(sizes),
        trials=count,
        first_doubt_s_median=round(statistics.median(doubts), 2),
        first_doubt_s_max=round(max(doubts), 2),
        all_know_s_median=round(statistics.median(deaths), 2),
        all_know_s_max=round(max(deaths), 2),
    )


def _losses(sizes: typing.Sequence[int], kind: str) -> None:
    fleet = _started(sizes, kind, SEED, LOSS)
    seen = Judgements(fleet)
    fleet.run(_span_s(kind))
    _print(
        case="loss",
        kind=kind,
        members=sum(sizes),
        loss=LOSS,
        seconds=_span_s(kind),
        vms_suspected=seen.wrong_suspects(),
        wrong_deaths=seen.wrong_deaths(),
    )


def _pause(sizes: typing.Sequence[int], kind: str) -> None:
    fleet = _started(sizes, kind, SEED, 0.0)
    seen = Judgements(fleet)
    vm = sorted(fleet.nodes)[0]
    fleet.pause(vm, PAUSE_S)
    fleet.run(PAUSE_S + SETTLE_S / 4)
    by_paused = sum(vm in judges for judges in seen.dead.values())
    _print(
        case="pause",
        kind=kind,
        members=sum(sizes),
        pause_s=PAUSE_S,
        deaths_judged_by_paused=by_paused,
        judged_paused_dead=len(seen.dead.get(vm, ())),
    )


def _costs(
    sizes: typing.Sequence[int], kind: str, call: peer_call.CallCost
) -> None:
    fleet = _started(sizes, kind, SEED, 0.0)
    nodes = list(fleet.nodes.values())
    fleets.Cost.reset_counters(nodes)
    fleet.run(_span_s(kind))
    cost = fleets.Cost(
        nodes, _span_s(kind), call.processor_s, call.added_bytes
    )
    _print(case="cost", kind=kind, members=sum(sizes), **cost.as_fields())


def _large(call: peer_call.CallCost, seconds: float) -> None:
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    fleet = gossip_simulation.Fleet(seed=SEED, delay_s=0.02)
    sizes = fleets.split_evenly(LARGE_VMS, LARGE_DATA_CENTRES)
    nodes = fleets.start_with_known_members(fleet, fleets.make_members(sizes))
    fleet.run(LARGE_WARM_S)
    gateways = [node for node in nodes if node.membership.is_gateway]
    fleets.Cost.reset_counters(nodes)
    fleet.run(seconds)
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for name, group in (("all", nodes), ("gateways", gateways)):
        cost = fleets.Cost(group, seconds, call.processor_s, call.added_bytes)
        _print(
            case="large_cost",
            vms=name,
            count=len(group),
            seconds=seconds,
            memory_kb_each=round((after_kb - before_kb) / LARGE_VMS),
            **cost.as_fields(),
        )
    _large_rumour(fleet, nodes)
    _large_crash(fleet, nodes)


def _large_rumour(
    fleet: gossip_simulation.Fleet, nodes: list[gossip_simulation.Node]
) -> None:
    heard: dict[str, float] = {}

    def watch(node: gossip_simulation.Node, action: actions.Action) -> None:
        if isinstance(action, actions.RumourDelivered):
            heard[node.vm] = fleet.clock.now()

    fleet.observers.append(watch)
    start = fleet.clock.now()
    nodes[5].membership.announce(
        pb.Rumour(
            scope=pb.SCOPE_FLEET,
            lifetime_ms=60_000,
            runner_leaving=pb.RunnerLeaving(runner="r1", deadline_s=20),
        )
    )
    fleet.run_until(lambda: len(heard) == len(nodes) - 1, 30.0)
    times = sorted(at - start for at in heard.values())
    _print(
        case="large_rumour",
        reached=len(times),
        of=len(nodes) - 1,
        median_s=round(statistics.median(times), 2),
        p99_s=round(times[int(0.99 * len(times))], 2),
        last_s=round(times[-1], 2),
    )


def _large_crash(
    fleet: gossip_simulation.Fleet, nodes: list[gossip_simulation.Node]
) -> None:
    seen = Judgements(fleet)
    victim = nodes[7]
    peers = [
        node
        for node in nodes
        if node.member.data_centre == victim.member.data_centre
    ]
    fleet.crash(victim.vm)
    start = fleet.clock.now()
    others = len(peers) - 1
    fleet.run_until(lambda: len(seen.dead.get(victim.vm, ())) == others, 60.0)
    judged = seen.dead.get(victim.vm, {})
    _print(
        case="large_crash",
        judges=len(judged),
        of=others,
        all_know_s=round(max(judged.values(), default=0) - start, 2),
        wrong_deaths=seen.wrong_deaths(),
    )


def _print(**fields: typing.Any) -> None:
    print(json.dumps(fields), flush=True)


def run(arguments: list[str]) -> int:
    """Print one line for each case."""
    parser = argparse.ArgumentParser(prog="bench membership")
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--only-large", action="store_true")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args(arguments)
    call = peer_call.measure()
    _print(
        case="call",
        processor_us=round(call.processor_s * 1e6),
        added_bytes=round(call.added_bytes),
    )
    if not options.only_large:
        for kind in KINDS:
            _crashes(SMALL, kind)
            for sizes in (SMALL, ONE_DATA_CENTRE):
                _losses(sizes, kind)
                _pause(sizes, kind)
                _costs(sizes, kind, call)
        _crashes(ONE_DATA_CENTRE, "swim")
    if options.large or options.only_large:
        _large(call, options.seconds)
    return 0
