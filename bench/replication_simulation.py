"""Simulation of catalogue replication in a fleet with a store."""

import functools
import random
import typing

from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import catalogue_replicator
from apricotlever.vms import replication_actions

from . import gossip_simulation

VIEW_INTERVAL_S = 0.5
TICK_S = 0.1


class Store:
    """The platform's store, with the catalogue and its watchers.

    :param watch_s: interval at which an open watch is renewed.
    """

    def __init__(self, watch_s: float = 30.0) -> None:
        self.version = 0
        self.document: dict[str, typing.Any] | None = None
        self.watch_s = watch_s
        self.is_available = True
        self.calls = 0
        self.watchers: dict[str, gossip_simulation.Node] = {}


class ReplicatedFleet:
    """Catalogue replicators of the VMs of a simulated fleet.

    :param fleet: fleet whose VMs are passed to ``join``.
    """

    def __init__(self, fleet: gossip_simulation.Fleet) -> None:
        self.fleet = fleet
        self.store = Store()
        self.replicators: dict[
            str, catalogue_replicator.CatalogueReplicator
        ] = {}
        self.applied: dict[str, list[tuple[int, float]]] = {}
        self.faults: list[tuple[str, replication_actions.Fault]] = []
        self.fetched_bytes = 0
        fleet.observers.append(self._handle_action)

    def join(self, node: gossip_simulation.Node) -> None:
        """Add a replicator to a VM; it replaces one of the same VM name."""
        vm = node.vm
        rng = random.Random(self.fleet.rng.random())
        self.replicators[vm] = catalogue_replicator.CatalogueReplicator(
            self.fleet.clock, rng, vm, node.member.data_centre
        )
        self.applied[vm] = []
        self.fleet.schedule(
            rng.uniform(0, VIEW_INTERVAL_S), self._refresh_view, node
        )
        self.fleet.schedule(rng.uniform(0, TICK_S), self._tick, node)

    def put(self, document: dict[str, typing.Any]) -> int:
        """Store a new version, as by an operator, and notify the watchers."""
        self.store.version += 1
        self.store.document = document
        for node in self.store.watchers.values():
            self._read_store(node)
        return self.store.version

    def version_at(self, vm: str) -> int:
        """Return the version in force at a VM."""
        return self.replicators[vm].in_force.version

    def lagging(self) -> list[str]:
        """Return the running VMs where the store's version isn't in force."""
        return [
            vm
            for vm in self.replicators
            if self.fleet.nodes[vm].running
            and self.version_at(vm) != self.store.version
        ]

    def _refresh_view(self, node: gossip_simulation.Node) -> None:
        if node.running:
            view = node.membership.view
            self._perform(node, self.replicators[node.vm].update_view(view))
            self.fleet.schedule(VIEW_INTERVAL_S, self._refresh_view, node)

    def _tick(self, node: gossip_simulation.Node) -> None:
        if node.running:
            self._perform(node, self.replicators[node.vm].tick())
            self.fleet.schedule(TICK_S, self._tick, node)

    def _handle_action(
        self, node: gossip_simulation.Node, action: actions.Action
    ) -> None:
        if node.vm not in self.replicators:
            return
        replicator = self.replicators[node.vm]
        if isinstance(action, actions.CatalogueAdvertised):
            self._perform(
                node,
                replicator.peer_has_version(
                    action.version, action.digest, action.via
                ),
            )
        if isinstance(
            action, actions.RumourDelivered
        ) and action.rumour.HasField("catalogue"):
            self._perform(
                node, replicator.receive_rumour(action.rumour, action.via)
            )

    @functools.singledispatchmethod
    def _carry_out(
        self, action: typing.Any, node: gossip_simulation.Node
    ) -> None:
        raise TypeError(action)

    @_carry_out.register
    def _start_watching(
        self,
        action: replication_actions.StartWatching,
        node: gossip_simulation.Node,
    ) -> None:
        self.store.watchers[node.vm] = node
        self._read_store(node)
        self.fleet.schedule(self.store.watch_s, self._renew_watch, node)

    @_carry_out.register
    def _stop_watching(
        self,
        action: replication_actions.StopWatching,
        node: gossip_simulation.Node,
    ) -> None:
        self.store.watchers.pop(node.vm, None)

    @_carry_out.register
    def _fetch(
        self,
        action: replication_actions.FetchFromPeer,
        node: gossip_simulation.Node,
    ) -> None:
        target = self.fleet.nodes.get(action.vm)
        if target is not None and target.running:
            self.fleet.schedule(
                self.fleet.delay_s,
                self._answer_fetch,
                target,
                node,
                action.message,
            )

    @_carry_out.register
    def _apply(
        self,
        action: replication_actions.ApplyCatalogue,
        node: gossip_simulation.Node,
    ) -> None:
        now = self.fleet.clock.now()
        self.applied[node.vm].append((action.version, now))
        node.membership.set_catalogue(action.version, action.digest)

    @_carry_out.register
    def _announce(
        self,
        action: replication_actions.AnnounceRumour,
        node: gossip_simulation.Node,
    ) -> None:
        node.membership.announce(action.rumour)

    @_carry_out.register
    def _fault(
        self, action: replication_actions.Fault, node: gossip_simulation.Node
    ) -> None:
        self.faults.append((node.vm, action))

    def _perform(
        self,
        node: gossip_simulation.Node,
        wanted: list[replication_actions.ReplicationAction],
    ) -> None:
        for action in wanted:
            self._carry_out(action, node)

    def _read_store(self, node: gossip_simulation.Node) -> None:
        self.store.calls += 1
        if self.store.is_available:
            self.fleet.schedule(
                2 * self.fleet.delay_s, self._deliver_stored, node
            )

    def _renew_watch(self, node: gossip_simulation.Node) -> None:
        if self.store.watchers.get(node.vm) is node and node.running:
            self._read_store(node)
            self.fleet.schedule(self.store.watch_s, self._renew_watch, node)

    def _deliver_stored(self, node: gossip_simulation.Node) -> None:
        if node.running:
            replicator = self.replicators[node.vm]
            self._perform(
                node,
                replicator.receive_stored(
                    self.store.version, self.store.document
                ),
            )

    def _answer_fetch(
        self,
        target: gossip_simulation.Node,
        requester: gossip_simulation.Node,
        request: pb.FetchCatalogue,
    ) -> None:
        answer = self.replicators[target.vm].answer_fetch(request)
        size_bytes = answer.ByteSize() + request.ByteSize()
        self.fetched_bytes += size_bytes
        target.sent_bytes += size_bytes
        requester.received_bytes += size_bytes
        requester.calls += 1
        self.fleet.schedule(
            self.fleet.delay_s,
            self._deliver_answer,
            requester,
            target.vm,
            answer,
        )

    def _deliver_answer(
        self,
        node: gossip_simulation.Node,
        vm: str,
        answer: pb.CatalogueDocument,
    ) -> None:
        if node.running:
            self._perform(
                node, self.replicators[node.vm].receive_answer(vm, answer)
            )
