"""The membership most would write first: heartbeats from all to all.

Each VM calls every other once in an interval, and one that was not heard
for ``TIMEOUT_S`` counts as dead.
"""

import random
import typing

from apricotlever import clock as clocks
from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import membership
from apricotlever.vms import roster as rosters
from apricotlever.vms import timing as timings
from apricotlever.vms import view as views

TIMEOUT_S = 3.0


class HeartbeatMembership:
    """Stands in for ``Membership``, without its care."""

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
        self._heard: dict[str, float] = {}
        self._members: dict[str, pb.Member] = {}
        self._next_at = clock.now() + rng.uniform(0, self._interval_s)

    @property
    def view(self) -> views.View:
        """Those heard of lately."""
        members = {**self._members, self.me.vm: self.me}
        return views.View(self.me, members, {})

    def tick(self) -> list[actions.Action]:
        """Send heartbeats; bury the silent."""
        now = self._clock.now()
        if now < self._next_at:
            return []
        self._next_at = now + self._interval_s
        found = [
            self._bury(vm)
            for vm, at in list(self._heard.items())
            if now - at > TIMEOUT_S
        ]
        message = pb.GossipMessage(sender=self.me)
        return found + [
            actions.Send(vm, address, message)
            for vm, address in self._addresses.items()
            if vm != self.me.vm
        ]

    def receive(self, message: pb.GossipMessage) -> list[actions.Action]:
        """A heartbeat."""
        reply = actions.Reply(pb.GossipMessage(sender=self.me))
        return self.answered(message) + [reply]

    def answered(self, message: pb.GossipMessage) -> list[actions.Action]:
        """The sender lives."""
        sender = message.sender
        before = self._members.get(sender.vm)
        self._members[sender.vm] = sender
        self._heard[sender.vm] = self._clock.now()
        return [] if before else [actions.Changed(None, sender)]

    def _bury(self, vm: str) -> actions.Action:
        del self._heard[vm]
        member = self._members.pop(vm)
        return actions.Changed(
            member, rosters.changed(member, state=pb.VM_DEAD)
        )
