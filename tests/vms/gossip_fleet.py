"""A simulated fleet of gossip members that records their actions."""

import collections

from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import membership
from apricotlever.vms import timing
from bench import fleets
from bench import gossip_simulation


class GossipFleet:
    """A simulated fleet and the actions of its VMs, by type."""

    def __init__(self, count, data_centres, make, **timings):
        sizes = fleets.split_evenly(count, data_centres)
        self.fleet = gossip_simulation.Fleet(
            timing=timing.MembershipTiming(**timings)
        )
        self.actions_by_type = collections.defaultdict(list)
        self.fleet.observers.append(self._record)
        members = fleets.make_members(sizes)
        hints = [membership.Hint(m.vm, m.peers_address) for m in members]
        all_known = make is not membership.Membership
        for member in members:
            self.fleet.add(member, hints if all_known else hints[:1], make)
        self.since = self.fleet.clock.now()

    def _record(self, node, action):
        now = self.fleet.clock.now()
        self.actions_by_type[type(action)].append((now, node, action))

    def running(self):
        return [n for n in self.fleet.nodes.values() if n.running]

    def seen_by(self, node):
        return set(node.membership.view.members)

    def complete(self):
        names = {node.vm for node in self.running()}
        return all(self.seen_by(node) == names for node in self.running())

    def wrong_deaths(self):
        """Deaths declared of running processes, as (declaring VM, victim)."""
        return [
            (node.vm, action.after.vm)
            for at, node, action in self.actions_by_type[actions.MemberChanged]
            if action.after.state == pb.VM_DEAD
            and at >= self.since
            and self.fleet.nodes[action.after.vm].running
        ]

    def wait_until(self, seconds, done):
        took = self.fleet.run_until(done, seconds)
        assert took is not None, "the condition was not met in time"
