"""Configuration spread over a virtual fleet, with a store beside it."""

import functools
import random
import typing

from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import catalogue_replicator
from apricotlever.vms import replication_actions as wanted

from . import virtual

LOOK_S = 0.5
TICK_S = 0.1


class Store:
    """The platform's object, its version and who watches it.

    :param watch_s: how long a waiting watch stays open.
    """

    def __init__(self, watch_s: float = 30.0) -> None:
        self.version = 0
        self.document: dict[str, typing.Any] | None = None
        self.watch_s = watch_s
        self.up = True
        self.calls = 0
        self.watchers: dict[str, virtual.Node] = {}


class SpreadFleet:
    """Each VM of a fleet with its part in the spread.

    :param fleet: VMs are added to it through this class or already there.
    """

    def __init__(self, fleet: virtual.Fleet) -> None:
        self.fleet = fleet
        self.store = Store()
        self.spreads: dict[str, catalogue_replicator.CatalogueReplicator] = {}
        self.applied: dict[str, list[tuple[int, float]]] = {}
        self.faults: list[tuple[str, wanted.Fault]] = []
        self.fetched_bytes = 0
        fleet.watchers.append(self._watch)

    def join(self, node: virtual.Node) -> None:
        """Give a VM its part; its name replaces an older one's."""
        vm = node.vm
        own = random.Random(self.fleet.rng.random())
        self.spreads[vm] = catalogue_replicator.CatalogueReplicator(
            self.fleet.clock, own, vm, node.member.data_centre
        )
        self.applied[vm] = []
        self.fleet.later(own.uniform(0, LOOK_S), self._look, node)
        self.fleet.later(own.uniform(0, TICK_S), self._tick, node)

    def put(self, document: dict[str, typing.Any]) -> int:
        """An operator's edit; watchers hear of it."""
        self.store.version += 1
        self.store.document = document
        for node in self.store.watchers.values():
            self._read(node)
        return self.store.version

    def version_at(self, vm: str) -> int:
        """What is in force there."""
        return self.spreads[vm].in_force.version

    def lagging(self) -> list[str]:
        """Running VMs that don't have the store's version in force."""
        return [
            vm
            for vm in self.spreads
            if self.fleet.nodes[vm].running
            and self.version_at(vm) != self.store.version
        ]

    def _look(self, node: virtual.Node) -> None:
        if node.running:
            view = node.membership.view
            self._perform(node, self.spreads[node.vm].update_view(view))
            self.fleet.later(LOOK_S, self._look, node)

    def _tick(self, node: virtual.Node) -> None:
        if node.running:
            self._perform(node, self.spreads[node.vm].tick())
            self.fleet.later(TICK_S, self._tick, node)

    def _watch(self, node: virtual.Node, action: actions.Action) -> None:
        if node.vm not in self.spreads:
            return
        part = self.spreads[node.vm]
        if isinstance(action, actions.CatalogueAdvertised):
            self._perform(
                node,
                part.peer_has_version(
                    action.version, action.digest, action.via
                ),
            )
        if isinstance(
            action, actions.RumourDelivered
        ) and action.rumour.HasField("catalogue"):
            self._perform(node, part.receive_rumour(action.rumour, action.via))

    @functools.singledispatchmethod
    def _do(self, action: typing.Any, node: virtual.Node) -> None:
        raise TypeError(action)

    @_do.register
    def _start_watching(
        self, action: wanted.StartWatching, node: virtual.Node
    ) -> None:
        self.store.watchers[node.vm] = node
        self._read(node)
        self.fleet.later(self.store.watch_s, self._watch_again, node)

    @_do.register
    def _stop_watching(
        self, action: wanted.StopWatching, node: virtual.Node
    ) -> None:
        self.store.watchers.pop(node.vm, None)

    @_do.register
    def _fetch(self, action: wanted.FetchFromPeer, node: virtual.Node) -> None:
        target = self.fleet.nodes.get(action.vm)
        if target is not None and target.running:
            self.fleet.later(
                self.fleet.delay_s, self._serve, target, node, action.message
            )

    @_do.register
    def _apply(
        self, action: wanted.ApplyCatalogue, node: virtual.Node
    ) -> None:
        now = self.fleet.clock.now()
        self.applied[node.vm].append((action.version, now))
        node.membership.set_catalogue(action.version, action.digest)

    @_do.register
    def _announce(
        self, action: wanted.AnnounceRumour, node: virtual.Node
    ) -> None:
        node.membership.announce(action.rumour)

    @_do.register
    def _fault(self, action: wanted.Fault, node: virtual.Node) -> None:
        self.faults.append((node.vm, action))

    def _perform(
        self, node: virtual.Node, found: list[wanted.ReplicationAction]
    ) -> None:
        for action in found:
            self._do(action, node)

    def _read(self, node: virtual.Node) -> None:
        self.store.calls += 1
        if self.store.up:
            self.fleet.later(2 * self.fleet.delay_s, self._stored, node)

    def _watch_again(self, node: virtual.Node) -> None:
        if self.store.watchers.get(node.vm) is node and node.running:
            self._read(node)
            self.fleet.later(self.store.watch_s, self._watch_again, node)

    def _stored(self, node: virtual.Node) -> None:
        if node.running:
            part = self.spreads[node.vm]
            self._perform(
                node,
                part.receive_stored(self.store.version, self.store.document),
            )

    def _serve(
        self,
        target: virtual.Node,
        asker: virtual.Node,
        request: pb.FetchCatalogue,
    ) -> None:
        answer = self.spreads[target.vm].answer_fetch(request)
        size = answer.ByteSize() + request.ByteSize()
        self.fetched_bytes += size
        target.sent_bytes += size
        asker.received_bytes += size
        asker.calls += 1
        self.fleet.later(
            self.fleet.delay_s, self._answered, asker, target.vm, answer
        )

    def _answered(
        self, node: virtual.Node, vm: str, answer: pb.CatalogueDocument
    ) -> None:
        if node.running:
            self._perform(
                node, self.spreads[node.vm].receive_answer(vm, answer)
            )
