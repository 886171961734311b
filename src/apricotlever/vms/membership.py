"""Which entry VMs are there: a gossip protocol after SWIM, with Lifeguard.

Each VM probes one other in each interval, directly and then through others;
a silent one is suspected, may deny it, and else counts as dead. Records and
rumours ride on the probes; urgent ones are pushed at once. The class does
no I/O: its owner calls :meth:`Membership.tick` about every ``TICK_S``,
hands it received messages and carries out the actions returned.
"""

import random
import typing

from .. import clock as clocks
from . import actions
from . import knowledge
from . import learning
from ..links import peer_pb2 as pb
from . import mediation
from . import outreach
from . import probing
from . import rumours as rumour_books
from . import suspicion
from . import timing as timings
from . import view as views

Hint = knowledge.Hint
Actions = list[actions.Action]
_Handler = typing.Callable[["Membership", pb.GossipMessage], Actions]

# The asker has to hear that nothing came before its own interval ends.
MEDIATION_PART = 0.75
PAUSE_HEALTH_COST = 2
RESYNC_S = 2.0

_handlers: dict[str, _Handler] = {}


def _handles(kind: str) -> typing.Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        _handlers[kind] = handler
        return handler

    return register


class Membership:
    """One VM's part in the membership of the fleet.

    :param me: this VM's own record, alive, with both addresses and the
        incarnation of this process.
    :param timing: intervals and bounds.
    :param hints: first contacts from the settings.
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
        self._known = knowledge.Knowledge(clock, rng, me, self._timing)
        self._health = suspicion.LocalHealth()
        self._learner = learning.Learner(
            clock, self._known, self._health, self._timing
        )
        self._prober = probing.Prober(clock, rng, self._timing, self._health)
        self._outreach = outreach.Outreach(
            clock, rng, self._known, self._timing, hints
        )
        self._mediations = mediation.Mediations(
            clock, MEDIATION_PART * self._timing.probe_timeout_s
        )
        self._departed = False
        self._last_tick = clock.now()
        self._purge_at = self._last_tick

    @property
    def me(self) -> pb.Member:
        """This VM's own record as others are told it."""
        return self._known.me

    @property
    def health_factor(self) -> int:
        """1 when well; timeouts are stretched by it."""
        return self._health.factor

    @property
    def is_gateway(self) -> bool:
        """Whether this VM speaks to other data centres for its own."""
        return self._known.is_gateway

    @property
    def view(self) -> views.View:
        """The members as seen now."""
        return self._known.view()

    def hint(self, hints: typing.Iterable[Hint]) -> None:
        """Replace the names known from the platform's lagging list."""
        self._outreach.set_hints(hints)

    def announce(self, rumour: pb.Rumour) -> pb.Rumour:
        """Spread a rumour; it is not delivered to this VM itself.

        :param rumour: body, ``scope``, ``lifetime_ms`` and, if newer ones
            replace it, ``replaces_key``; the rest is filled in.
        :returns: the rumour as it is sent.
        """
        own = self._known.rumours.stamp(rumour)
        self._learner.push_due |= rumour_books.is_urgent(own)
        return own

    def set_catalogue(self, version: int, digest: int) -> None:
        """Mention what is in force here in every message from now on."""
        self._known.catalogue = pb.CatalogueVersion(
            version=version, digest=digest
        )

    def tick(self) -> Actions:
        """What is due now; to be called about every ``TICK_S``."""
        if self._departed:
            return []
        found = self._notice_pause()
        self._known.resize()
        found += self._probe()
        found += [
            self._tell_asker(late, alive=False)
            for late in self._mediations.expired()
        ]
        found += self._learner.bury()
        found += self._push_if_due()
        found += self._outreach.speak_for_data_centre()
        found += self._outreach.sync()
        found += self._outreach.reconnect()
        self._purge()
        return found

    def receive(self, message: pb.GossipMessage) -> Actions:
        """Take in an incoming call.

        :returns: actions, among them one :class:`~.actions.Reply`, or none
            at all when the message is not to be answered.
        """
        if self._departed or not message.sender.vm:
            return []
        found = self._hear(message)
        if not any(isinstance(action, actions.Reply) for action in found):
            found.append(actions.Reply(self._answer_carrier(message)))
        return found

    def answered(self, message: pb.GossipMessage) -> Actions:
        """Take in the answer to one of our calls; it is not answered."""
        if self._departed or not message.sender.vm:
            return []
        return self._hear(message)

    def leave(self) -> Actions:
        """Announce that this VM takes no new work; it goes on probing."""
        if self.me.leaving:
            return []
        self._learner.restate(leaving=True, state=pb.VM_LEAVING)
        return self._push_if_due()

    def depart(self) -> Actions:
        """Tell some peers that this process ends now; the last call."""
        self._learner.restate(state=pb.VM_DEAD, suspected_by=self.me.vm)
        found = self._push_if_due()
        self._departed = True
        return found

    def _hear(self, message: pb.GossipMessage) -> Actions:
        found = self._notice_pause()
        self._known.hear_size(message.fleet_members)
        found += self._learner.hear(message)
        handler = _handlers.get(message.WhichOneof("kind") or "")
        return found if handler is None else found + handler(self, message)

    def _answer_carrier(self, message: pb.GossipMessage) -> pb.GossipMessage:
        sender = message.sender
        if not self._known.is_far(sender):
            # Whoever pushes something has it from where we got it: sends
            # spent on telling it back would be missing for others.
            return self._known.receipt(sender)
        answer = self._known.compose(sender)
        if message.summaries:
            self._known.add_summaries(answer)
        return answer

    @_handles("probe")
    def _hear_probe(self, message: pb.GossipMessage) -> Actions:
        # Answered also when another VM was meant that had this address
        # before: the prober sees from the sender that it is not the one.
        answer = self._known.compose(message.sender)
        answer.ack.sequence = message.probe.sequence
        return [actions.Reply(answer)]

    @_handles("ack")
    def _hear_ack(self, message: pb.GossipMessage) -> Actions:
        vm = message.sender.vm
        sequence = message.ack.sequence
        self._prober.acked(vm, sequence)
        mediated = self._mediations.acked(vm, sequence)
        if mediated is None:
            return []
        return [self._tell_asker(mediated, alive=True)]

    @_handles("indirect_probe")
    def _hear_indirect_probe(self, message: pb.GossipMessage) -> Actions:
        target = message.indirect_probe.target
        own = self._prober.next_sequence()
        self._mediations.begin(own, message.sender, message.indirect_probe)
        return [self._probe_message(target, own)]

    @_handles("indirect_ack")
    def _hear_indirect_ack(self, message: pb.GossipMessage) -> Actions:
        heard = message.indirect_ack
        if heard.alive:
            self._prober.acked(heard.target, heard.sequence)
        else:
            self._prober.denied(heard.target, heard.sequence)
        return []

    @_handles("sync")
    def _hear_sync(self, message: pb.GossipMessage) -> Actions:
        sync = message.sync
        self._known.learn_summaries(sync.summaries)
        vm = message.sender.vm
        found = self._learner.learn_view(sync.members, vm)
        if any(map(_is_newcomer, found)):
            # Where many join at once one view does not have them all.
            self._outreach.sync_within(RESYNC_S)
        found += self._learner.learn_rumours(sync.rumours, vm)
        if sync.question:
            answer = self._known.answer_sync(message.sender)
            found.append(actions.Reply(answer))
        return found

    def _probe(self) -> Actions:
        live = self._known.roster.live
        return [
            action
            for step in self._prober.step(live)
            if step.vm in live
            for action in self._take_step(step, live[step.vm])
        ]

    def _take_step(self, step: probing.Step, member: pb.Member) -> Actions:
        if isinstance(step, probing.Suspect):
            return self._learner.suspect(member.vm)
        if isinstance(step, probing.AskOthers):
            return self._ask_others(step.sequence, member)
        return [self._probe_message(member, step.sequence)]

    def _probe_message(
        self, member: pb.Member, sequence: int
    ) -> actions.Action:
        message = self._known.compose(member)
        message.probe.sequence = sequence
        message.probe.target = member.vm
        return outreach.send(member, message)

    def _ask_others(self, sequence: int, target: pb.Member) -> Actions:
        count = self._timing.indirect_probes
        others = self._outreach.some(count, {target.vm})
        self._prober.asked(len(others))
        found: Actions = []
        for other in others:
            message = self._known.compose(other)
            message.indirect_probe.sequence = sequence
            message.indirect_probe.target.CopyFrom(target)
            found.append(outreach.send(other, message))
        return found

    def _tell_asker(
        self, mediated: mediation.Mediation, alive: bool
    ) -> actions.Action:
        message = self._known.compose(mediated.origin)
        message.indirect_ack.sequence = mediated.sequence
        message.indirect_ack.target = mediated.target
        message.indirect_ack.alive = alive
        return outreach.send(mediated.origin, message)

    def _push_if_due(self) -> Actions:
        if not self._learner.push_due:
            return []
        self._learner.push_due = False
        return self._outreach.push()

    def _notice_pause(self) -> Actions:
        """Find out that this process stood still.

        After a pause every timer here is over at once: all the others
        would be taken for dead, though it was us who did not listen. It
        shows as a gap between ticks. Timers are moved by the gap, the
        probe in progress is dropped, and others are told that we live.
        """
        now = self._clock.now()
        gap_s = now - self._last_tick
        self._last_tick = now
        if gap_s <= self._timing.pause_s:
            return []
        self._learner.postpone(gap_s)
        self._prober.abandon()
        self._mediations.clear()
        self._health.worse(PAUSE_HEALTH_COST)
        self._learner.restate()
        self._outreach.sync_within(0.0)
        if gap_s > self._timing.tombstone_s / 2:
            self._distrust_everything()
        return [actions.Paused(gap_s)]

    def _distrust_everything(self) -> None:
        # Others have forgotten by now who died meanwhile, so our old list
        # would resurrect the dead. Its names become mere hints.
        records = list(self._known.roster.all.values())
        self._outreach.keep_as_seeds(records)
        for member in records:
            self._known.roster.forget(member.vm)
        self._learner.drop_suspicions()

    def _purge(self) -> None:
        now = self._clock.now()
        if now >= self._purge_at:
            self._purge_at = now + self._timing.probe_interval_s
            self._known.roster.purge()
            self._known.rumours.purge()


def _is_newcomer(action: actions.Action) -> bool:
    return isinstance(action, actions.Changed) and action.before is None
