"""A naive membership, the baseline for tests: heartbeats from all to all.

Each VM calls every other VM once per interval and declares a VM dead after
``TIMEOUT_S`` without a message from it.
"""

import random
import typing

from apricotlever import clock as clocks
from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import fleet_view as views
from apricotlever.vms import membership
from apricotlever.vms import roster as rosters
from apricotlever.vms import timing as timings

TIMEOUT_S = 3.0


class HeartbeatMembership:
    """Has the interface of ``Membership`` without its safeguards."""

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        me: pb.Member,
        timing: timings.MembershipTiming,
        hints: typing.Iterable[membership.Hint] = (),
    ) -> None:
        self._clock = clock
        self._interval_s = timing.probe_interval_s
        self.me = me
        self._addresses = {hint.vm: hint.address for hint in hints}
        self._last_message_at: dict[str, float] = {}
        self._members: dict[str, pb.Member] = {}
        self._next_at = clock.now() + rng.uniform(0, self._interval_s)

    @property
    def view(self) -> views.FleetView:
        """The VMs that sent a message within ``TIMEOUT_S``."""
        members = {**self._members, self.me.vm: self.me}
        return views.FleetView(self.me, members, {})

    def tick(self) -> list[actions.Action]:
        """Send heartbeats and declare silent VMs dead."""
        now = self._clock.now()
        if now < self._next_at:
            return []
        self._next_at = now + self._interval_s
        result = [
            self._declare_dead(vm)
            for vm, at in list(self._last_message_at.items())
            if now - at > TIMEOUT_S
        ]
        message = pb.GossipMessage(sender=self.me)
        return result + [
            actions.Send(vm, address, message)
            for vm, address in self._addresses.items()
            if vm != self.me.vm
        ]

    def receive(self, message: pb.GossipMessage) -> list[actions.Action]:
        """Process a heartbeat and answer it."""
        reply = actions.Reply(pb.GossipMessage(sender=self.me))
        return self.receive_reply(message) + [reply]

    def receive_reply(self, message: pb.GossipMessage) -> list[actions.Action]:
        """Record that the sender is alive."""
        sender = message.sender
        before = self._members.get(sender.vm)
        self._members[sender.vm] = sender
        self._last_message_at[sender.vm] = self._clock.now()
        return [] if before else [actions.MemberChanged(None, sender)]

    def _declare_dead(self, vm: str) -> actions.Action:
        del self._last_message_at[vm]
        member = self._members.pop(vm)
        return actions.MemberChanged(
            member, rosters.with_fields(member, state=pb.VM_DEAD)
        )
