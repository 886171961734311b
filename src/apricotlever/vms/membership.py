"""Membership of the entry VMs: a SWIM gossip protocol with Lifeguard.

Each VM probes one other VM per interval, first directly and then by asking
other VMs to probe it. A VM that does not answer is suspected; it is declared
dead unless it refutes the suspicion in time. Member records and rumours are
piggybacked on the probes; urgent ones are pushed at once. The class does no
I/O: its caller calls :meth:`Membership.tick` about every ``TICK_S``, hands
over received messages and performs the returned actions.
"""

import random
import typing

from .. import clock as clocks
from . import actions
from . import dissemination
from . import fleet_view as views
from . import gossip_state
from ..links import peer_pb2 as pb
from . import probing
from . import relayed_probes
from . import rumour_buffer as rumour_books
from . import suspicion
from . import timing as timings
from . import update_merger

Hint = gossip_state.PeerHint
Actions = list[actions.Action]
_Handler = typing.Callable[["Membership", pb.GossipMessage], Actions]

# Part of the probe timeout after which a relayed probe fails. The requester
# must receive the negative answer before its own probe interval ends.
RELAY_TIMEOUT_FRACTION = 0.75
# Added to the local health score after a pause of this process.
PAUSE_HEALTH_PENALTY = 2
# After a VM has joined, the next view exchange starts within this time.
JOIN_RESYNC_S = 2.0

_handlers: dict[str, _Handler] = {}


def _handler_for(kind: str) -> typing.Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        _handlers[kind] = handler
        return handler

    return register


class Membership:
    """This VM's side of the membership protocol.

    Methods that process a message or the passage of time return the actions
    that the caller has to perform.

    :param me: this VM's own member record: alive, with both addresses and the
        incarnation of this process.
    :param timing: the protocol's intervals and bounds.
    :param hints: the seed nodes from the settings.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        me: pb.Member,
        timing: timings.MembershipTiming | None = None,
        hints: typing.Iterable[Hint] = (),
    ) -> None:
        self._clock = clock
        self._timing = timing or timings.MembershipTiming()
        self._known = gossip_state.GossipState(clock, rng, me, self._timing)
        self._health = suspicion.LocalHealth()
        self._merger = update_merger.UpdateMerger(
            clock, self._known, self._health, self._timing
        )
        self._prober = probing.Prober(clock, rng, self._timing, self._health)
        self._disseminator = dissemination.Disseminator(
            clock, rng, self._known, self._timing, hints
        )
        self._relayed_probes = relayed_probes.RelayedProbes(
            clock, RELAY_TIMEOUT_FRACTION * self._timing.probe_timeout_s
        )
        self._exited = False
        self._last_active_at = clock.now()
        self._purge_at = self._last_active_at

    @property
    def me(self) -> pb.Member:
        """This VM's own member record, as it is sent to others."""
        return self._known.me

    @property
    def health_factor(self) -> int:
        """The factor by which this VM lengthens probe interval and timeout.

        It is 1 when this VM is healthy.
        """
        return self._health.factor

    @property
    def is_gateway(self) -> bool:
        """Whether this VM represents its data centre to the others."""
        return self._known.is_gateway

    @property
    def view(self) -> views.FleetView:
        """The current view of the fleet."""
        return self._known.view()

    def set_hints(self, hints: typing.Iterable[Hint]) -> None:
        """Replace the possible members that the platform's list names.

        The list may be stale.
        """
        self._disseminator.set_hints(hints)

    def announce(self, rumour: pb.Rumour) -> pb.Rumour:
        """Spread a rumour to other VMs; it is not delivered to this VM itself.

        :param rumour: the body, ``scope``, ``lifetime_ms`` and, if newer
            rumours replace it, ``replaces_key``; other fields are filled in.
        :returns: the rumour as it is sent.
        """
        stamped = self._known.rumours.add_own(rumour)
        self._merger.push_due |= rumour_books.is_urgent(stamped)
        return stamped

    def set_catalogue(self, version: int, digest: int) -> None:
        """Advertise the catalogue in force here in all later messages."""
        self._known.catalogue = pb.CatalogueVersion(
            version=version, digest=digest
        )

    def tick(self) -> Actions:
        """Return the messages and events that are due by the passage of time.

        To be called about every ``TICK_S``.
        """
        if self._exited:
            return []
        result = self._check_for_pause()
        self._known.update_fleet_size()
        result += self._step_prober()
        result += [
            self._send_indirect_ack(late, alive=False)
            for late in self._relayed_probes.expired()
        ]
        result += self._merger.expire_suspicions()
        result += self._push_if_due()
        result += self._disseminator.send_summaries()
        result += self._disseminator.sync()
        result += self._disseminator.reconnect()
        self._purge_expired()
        return result

    def receive(self, message: pb.GossipMessage) -> Actions:
        """Process the message that a peer sent by a Gossip call.

        :returns: actions, among them one :class:`~.actions.Reply`; an empty
            list when the message must not be answered.
        """
        if self._exited or not message.sender.vm:
            return []
        result = self._process(message)
        if not any(isinstance(action, actions.Reply) for action in result):
            result.append(actions.Reply(self._default_reply(message)))
        return result

    def receive_reply(self, message: pb.GossipMessage) -> Actions:
        """Process a peer's answer to a Gossip call that this VM made."""
        if self._exited or not message.sender.vm:
            return []
        return self._process(message)

    def announce_leave(self) -> Actions:
        """Announce that this VM takes no new work; probing continues."""
        if self.me.leaving:
            return []
        self._merger.raise_refutation(leaving=True, state=pb.VM_LEAVING)
        return self._push_if_due()

    def announce_exit(self) -> Actions:
        """Tell some peers that this process ends; must be the last call."""
        self._merger.raise_refutation(
            state=pb.VM_DEAD, suspected_by=self.me.vm
        )
        result = self._push_if_due()
        self._exited = True
        return result

    def _process(self, message: pb.GossipMessage) -> Actions:
        result = self._check_for_pause()
        self._known.observe_fleet_size(message.fleet_members)
        result += self._merger.merge_message(message)
        handler = _handlers.get(message.WhichOneof("kind") or "")
        return result if handler is None else result + handler(self, message)

    def _default_reply(self, message: pb.GossipMessage) -> pb.GossipMessage:
        sender = message.sender
        if not self._known.is_remote(sender):
            # A peer that pushes news usually got it from the same source as
            # this VM. The limited number of sends is kept for other peers.
            return self._known.minimal_reply(sender)
        answer = self._known.compose_message(sender)
        if message.summaries:
            self._known.attach_summaries(answer)
        return answer

    @_handler_for("probe")
    def _handle_probe(self, message: pb.GossipMessage) -> Actions:
        # A probe meant for another VM that used this address before is
        # answered, too: the ack's sender shows the prober the mismatch.
        answer = self._known.compose_message(message.sender)
        answer.ack.sequence = message.probe.sequence
        return [actions.Reply(answer)]

    @_handler_for("ack")
    def _handle_ack(self, message: pb.GossipMessage) -> Actions:
        vm = message.sender.vm
        sequence = message.ack.sequence
        self._prober.acked(vm, sequence)
        relayed = self._relayed_probes.acked(vm, sequence)
        if relayed is None:
            return []
        return [self._send_indirect_ack(relayed, alive=True)]

    @_handler_for("indirect_probe")
    def _handle_indirect_probe(self, message: pb.GossipMessage) -> Actions:
        target = message.indirect_probe.target
        own_sequence = self._prober.next_sequence()
        self._relayed_probes.begin(
            own_sequence, message.sender, message.indirect_probe
        )
        return [self._send_probe(target, own_sequence)]

    @_handler_for("indirect_ack")
    def _handle_indirect_ack(self, message: pb.GossipMessage) -> Actions:
        ack = message.indirect_ack
        if ack.alive:
            self._prober.acked(ack.target, ack.sequence)
        else:
            self._prober.nacked(ack.target, ack.sequence)
        return []

    @_handler_for("sync")
    def _handle_sync(self, message: pb.GossipMessage) -> Actions:
        sync = message.sync
        self._known.merge_summaries(sync.summaries)
        vm = message.sender.vm
        result = self._merger.merge_full_view(sync.members, vm)
        if any(map(_is_join, result)):
            # When many VMs join at once, a single view lacks some of them.
            self._disseminator.sync_within(JOIN_RESYNC_S)
        result += self._merger.merge_rumours(sync.rumours, vm)
        if sync.question:
            answer = self._known.sync_reply(message.sender)
            result.append(actions.Reply(answer))
        return result

    def _step_prober(self) -> Actions:
        live = self._known.roster.live
        return [
            action
            for step in self._prober.step(live)
            if step.vm in live
            for action in self._perform_step(step, live[step.vm])
        ]

    def _perform_step(
        self, step: probing.ProbeStep, member: pb.Member
    ) -> Actions:
        if isinstance(step, probing.Suspect):
            return self._merger.suspect(member.vm)
        if isinstance(step, probing.ProbeIndirectly):
            return self._send_indirect_probes(step.sequence, member)
        return [self._send_probe(member, step.sequence)]

    def _send_probe(self, member: pb.Member, sequence: int) -> actions.Action:
        message = self._known.compose_message(member)
        message.probe.sequence = sequence
        message.probe.target = member.vm
        return dissemination.send(member, message)

    def _send_indirect_probes(
        self, sequence: int, target: pb.Member
    ) -> Actions:
        count = self._timing.indirect_probes
        others = self._disseminator.random_peers(count, {target.vm})
        self._prober.indirect_probes_sent(len(others))
        result: Actions = []
        for other in others:
            message = self._known.compose_message(other)
            message.indirect_probe.sequence = sequence
            message.indirect_probe.target.CopyFrom(target)
            result.append(dissemination.send(other, message))
        return result

    def _send_indirect_ack(
        self, relayed: relayed_probes.RelayedProbe, alive: bool
    ) -> actions.Action:
        message = self._known.compose_message(relayed.origin)
        message.indirect_ack.sequence = relayed.sequence
        message.indirect_ack.target = relayed.target
        message.indirect_ack.alive = alive
        return dissemination.send(relayed.origin, message)

    def _push_if_due(self) -> Actions:
        if not self._merger.push_due:
            return []
        self._merger.push_due = False
        return self._disseminator.push()

    def _check_for_pause(self) -> Actions:
        """Detect a pause of this process by a gap in its activity.

        After a pause all timers of this VM have expired, and all other VMs
        would be declared dead although this VM was the one not receiving.
        Suspicion timers are therefore moved by the gap, the probe in
        progress is cancelled, and this VM announces that it is alive.
        """
        now = self._clock.now()
        gap_s = now - self._last_active_at
        self._last_active_at = now
        if gap_s <= self._timing.pause_s:
            return []
        self._merger.extend_suspicions(gap_s)
        self._prober.cancel()
        self._relayed_probes.clear()
        self._health.degrade(PAUSE_HEALTH_PENALTY)
        self._merger.raise_refutation()
        self._disseminator.sync_within(0.0)
        if gap_s > self._timing.tombstone_s / 2:
            self._discard_records()
        return [actions.PauseDetected(gap_s)]

    def _discard_records(self) -> None:
        # The other VMs may have dropped the records of VMs that died during
        # the pause, so this VM's old records would resurrect those. The
        # records are demoted to contact addresses.
        records = list(self._known.roster.all.values())
        self._disseminator.add_seeds(records)
        for member in records:
            self._known.roster.forget(member.vm)
        self._merger.clear_suspicions()

    def _purge_expired(self) -> None:
        now = self._clock.now()
        if now >= self._purge_at:
            self._purge_at = now + self._timing.probe_interval_s
            self._known.roster.purge()
            self._known.rumours.drop_expired()


def _is_join(action: actions.Action) -> bool:
    return isinstance(action, actions.MemberChanged) and action.before is None
