"""Gossip that a VM sends beside its probes.

Pushes spread urgent updates at once, and summaries go from one data centre to
another. A sync exchanges the whole view with a peer. Reconnects contact VMs
that may run but are missing in the view.
"""

import itertools
import random
import typing

from .. import clock as clocks
from . import actions
from . import gossip_state
from ..links import peer_pb2 as pb
from . import timing as timings

Actions = list[actions.Action]

# Addresses contacted at a time while this VM knows no live member.
CONTACTS_WHEN_ALONE = 3


def send(member: pb.Member, message: pb.GossipMessage) -> actions.Send:
    """The action that sends a gossip message to a known VM."""
    return actions.Send(member.vm, member.peers_address, message)


class Disseminator:
    """Schedules the gossip that is not part of a probe.

    Its methods return the messages to send, as actions.

    :param known: what this VM knows, from which the messages are composed.
    :param hints: the seed nodes from the settings.
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
        "_summaries_at",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        known: gossip_state.GossipState,
        timing: timings.MembershipTiming,
        hints: typing.Iterable[gossip_state.PeerHint],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._known = known
        self._timing = timing
        self._seeds = {hint.vm: hint for hint in hints}
        self._hints: dict[str, gossip_state.PeerHint] = {}
        now = clock.now()
        # Views differ most just after a start, so the first sync is early.
        self._sync_at = now + rng.uniform(0, timing.reconnect_interval_s)
        self._contact_at = now
        self._summaries_at = now

    def set_hints(self, hints: typing.Iterable[gossip_state.PeerHint]) -> None:
        """Replace the possible members that the platform's list names."""
        self._hints = {hint.vm: hint for hint in hints}

    def add_seeds(self, members: typing.Iterable[pb.Member]) -> None:
        """Add VMs as seeds, whose addresses are tried while they are unseen.

        :param members: member records of the VMs, of which only the names and
            addresses are still used.
        """
        self._seeds.update((member.vm, _hint(member)) for member in members)

    def sync_within(self, seconds: float) -> None:
        """Start the next view exchange within this time at the latest."""
        self._sync_at = min(self._sync_at, self._clock.now() + seconds)

    def random_peers(self, count: int, without: set[str]) -> list[pb.Member]:
        """Pick live members at random.

        :param count: the most members to return.
        :param without: names of members to leave out.
        """
        live = self._known.roster.live
        names = [vm for vm in live if vm not in without]
        picked = self._rng.sample(names, min(count, len(names)))
        return [live[vm] for vm in picked]

    def push(self) -> Actions:
        """Send the waiting updates to a few peers now, as some are urgent.

        Otherwise they would wait for the next probes. In a large fleet one
        receiver is a gateway, and a gateway itself sends its updates to other
        data centres as well.
        """
        peers = self.random_peers(self._timing.push_fanout, set())
        recipients = peers + self._first_gateway_not_among(peers)
        result: Actions = [
            send(peer, self._known.compose_message(peer))
            for peer in recipients
        ]
        if self._known.is_gateway:
            result += self._send_to_data_centres(self._timing.gateway_fanout)
        return result

    def send_summaries(self) -> Actions:
        """Send summaries to one other data centre per probe interval.

        Only gateways do so; the first gateway also issues the summary of
        its own data centre when it is due.
        """
        now = self._clock.now()
        if now < self._summaries_at:
            return []
        self._summaries_at = now + self._timing.probe_interval_s
        if not self._known.is_gateway:
            return []
        gateways = self._known.gateways
        if gateways[0] == self._known.me.vm:
            self._known.summaries.issue_if_due(
                self._known.local_members(), gateways
            )
        return self._send_to_data_centres(1)

    def sync(self) -> Actions:
        """Start the periodic exchange of the whole view with one peer."""
        now = self._clock.now()
        if now < self._sync_at:
            return []
        self._sync_at = now + self._timing.sync_interval_s
        return [
            send(peer, self._known.sync_request(peer))
            for peer in self.random_peers(1, set())
        ]

    def reconnect(self) -> Actions:
        """Ask VMs that may run but are not in the view to exchange views.

        Their addresses are those of seeds and of the platform's list, of dead
        members and of gateways named by summaries.
        """
        now = self._clock.now()
        if now < self._contact_at:
            return []
        alone = not self._known.roster.live
        self._contact_at = now + (
            self._timing.probe_interval_s
            if alone
            else self._timing.reconnect_interval_s
        )
        unseen = self._unseen()
        count = min(len(unseen), CONTACTS_WHEN_ALONE if alone else 1)
        return [
            actions.Send(hint.vm, hint.address, self._known.sync_request(None))
            for hint in self._rng.sample(unseen, count)
        ]

    def _first_gateway_not_among(
        self, peers: list[pb.Member]
    ) -> list[pb.Member]:
        if self._known.is_gateway:
            return []
        live = self._known.roster.live
        among = {peer.vm for peer in peers}
        return [
            live[vm]
            for vm in self._known.gateways[:1]
            if vm in live and vm not in among
        ]

    def _send_to_data_centres(self, count: int) -> Actions:
        summaries = self._known.summaries
        names = {summaries.next_data_centre() for _ in range(count)}
        gateways = [
            summaries.gateway_of(name)
            for name in sorted(name for name in names if name is not None)
        ]
        result: Actions = []
        for gateway in gateways:
            if gateway is None:
                continue
            message = self._known.compose_message(gateway)
            self._known.attach_summaries(message)
            result.append(send(gateway, message))
        return result

    def _unseen(self) -> list[gossip_state.PeerHint]:
        """Hints of VMs that may run although the view lacks them."""
        known = self._known
        hints = itertools.chain(
            self._hints.values(),
            self._seeds.values(),
            map(
                _hint,
                itertools.chain(
                    known.roster.dead, known.summaries.own_gateways
                ),
            ),
        )
        by_name = {hint.vm: hint for hint in hints}
        return [hint for hint in by_name.values() if self._is_unseen(hint)]

    def _is_unseen(self, hint: gossip_state.PeerHint) -> bool:
        known = self._known
        if hint.vm == known.me.vm or hint.vm in known.roster.live:
            return False
        if not known.large or hint.data_centre == known.me.data_centre:
            return True
        return hint.data_centre not in known.summaries.fresh


def _hint(member: pb.Member) -> gossip_state.PeerHint:
    return gossip_state.PeerHint(
        member.vm, member.peers_address, member.data_centre
    )
