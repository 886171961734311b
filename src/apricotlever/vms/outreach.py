"""Messages that nobody asked for: pushes, summaries, syncs, reconnects."""

import itertools
import random
import typing

from .. import clock as clocks
from . import actions
from . import knowledge
from ..links import peer_pb2 as pb
from . import timing as timings

Actions = list[actions.Action]

CONTACTS_WHEN_ALONE = 3


def send(member: pb.Member, message: pb.GossipMessage) -> actions.Send:
    """A message to a VM that is known."""
    return actions.Send(member.vm, member.peers_address, message)


class Outreach:
    """Decides whom to tell or ask something beside the probes.

    :param hints: first contacts from the settings.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_known",
        "_timing",
        "_seeds",
        "_hints",
        "_sync_at",
        "_contact_at",
        "_gateway_at",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        known: knowledge.Knowledge,
        timing: timings.MembershipTiming,
        hints: typing.Iterable[knowledge.Hint],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._known = known
        self._timing = timing
        self._seeds = {hint.vm: hint for hint in hints}
        self._hints: dict[str, knowledge.Hint] = {}
        now = clock.now()
        # Views differ most just after a start, so the first one comes soon.
        self._sync_at = now + rng.uniform(0, timing.reconnect_interval_s)
        self._contact_at = now
        self._gateway_at = now

    def set_hints(self, hints: typing.Iterable[knowledge.Hint]) -> None:
        """Replace the names from the platform's list."""
        self._hints = {hint.vm: hint for hint in hints}

    def keep_as_seeds(self, members: typing.Iterable[pb.Member]) -> None:
        """Records that are no longer trusted become first contacts."""
        self._seeds.update((member.vm, _hint(member)) for member in members)

    def sync_within(self, seconds: float) -> None:
        """Exchange views again after that time at the latest."""
        self._sync_at = min(self._sync_at, self._clock.now() + seconds)

    def some(self, count: int, without: set[str]) -> list[pb.Member]:
        """Random live members."""
        live = self._known.roster.live
        names = [vm for vm in live if vm not in without]
        picked = self._rng.sample(names, min(count, len(names)))
        return [live[vm] for vm in picked]

    def push(self) -> Actions:
        """Send what is urgent to a few peers now, not with the probes."""
        peers = self.some(self._timing.push_fanout, set())
        near = peers + self._first_gateway_beside(peers)
        found: Actions = [
            send(peer, self._known.compose(peer)) for peer in near
        ]
        if self._known.is_gateway:
            found += self._tell_data_centres(self._timing.gateway_fanout)
        return found

    def speak_for_data_centre(self) -> Actions:
        """A gateway tells one other data centre in each interval."""
        now = self._clock.now()
        if now < self._gateway_at:
            return []
        self._gateway_at = now + self._timing.probe_interval_s
        if not self._known.is_gateway:
            return []
        gateways = self._known.gateways
        if gateways[0] == self._known.me.vm:
            self._known.summaries.issue_if_due(self._known.here(), gateways)
        return self._tell_data_centres(1)

    def sync(self) -> Actions:
        """Exchange the whole view with one peer now and then."""
        now = self._clock.now()
        if now < self._sync_at:
            return []
        self._sync_at = now + self._timing.sync_interval_s
        return [
            send(peer, self._known.ask_sync(peer))
            for peer in self.some(1, set())
        ]

    def reconnect(self) -> Actions:
        """Ask at the address of somebody who is not seen."""
        now = self._clock.now()
        if now < self._contact_at:
            return []
        alone = not self._known.roster.live
        self._contact_at = now + (
            self._timing.probe_interval_s
            if alone
            else self._timing.reconnect_interval_s
        )
        lost = self._lost()
        count = min(len(lost), CONTACTS_WHEN_ALONE if alone else 1)
        return [
            actions.Send(hint.vm, hint.address, self._known.ask_sync(None))
            for hint in self._rng.sample(lost, count)
        ]

    def _first_gateway_beside(self, peers: list[pb.Member]) -> list[pb.Member]:
        if self._known.is_gateway:
            return []
        live = self._known.roster.live
        told = {peer.vm for peer in peers}
        return [
            live[vm]
            for vm in self._known.gateways[:1]
            if vm in live and vm not in told
        ]

    def _tell_data_centres(self, count: int) -> Actions:
        summaries = self._known.summaries
        names = {summaries.next_data_centre() for _ in range(count)}
        ways = [
            summaries.gateway_of(name)
            for name in sorted(name for name in names if name is not None)
        ]
        found: Actions = []
        for way in ways:
            if way is None:
                continue
            message = self._known.compose(way)
            self._known.add_summaries(message)
            found.append(send(way, message))
        return found

    def _lost(self) -> list[knowledge.Hint]:
        """Who might be there without being seen."""
        known = self._known
        named = itertools.chain(
            self._hints.values(),
            self._seeds.values(),
            map(
                _hint, itertools.chain(known.roster.dead, known.summaries.kin)
            ),
        )
        by_name = {hint.vm: hint for hint in named}
        return [hint for hint in by_name.values() if self._is_lost(hint)]

    def _is_lost(self, hint: knowledge.Hint) -> bool:
        known = self._known
        if hint.vm == known.me.vm or hint.vm in known.roster.live:
            return False
        if not known.large or hint.data_centre == known.me.data_centre:
            return True
        return hint.data_centre not in known.summaries.fresh


def _hint(member: pb.Member) -> knowledge.Hint:
    return knowledge.Hint(member.vm, member.peers_address, member.data_centre)
