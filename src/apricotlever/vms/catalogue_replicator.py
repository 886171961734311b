"""Replication of the accepted catalogue to every entry VM.

The platform's store orders the versions. A few watchers in each data centre,
picked by rendezvous hashing, hold a long-poll watch on the store. The other
VMs learn of a version from messages of peers. They apply the change if a
rumour carries it, and otherwise fetch it from a peer. The version in force at
a VM never decreases, whatever the VM receives. The replicator does no I/O: it
returns :mod:`actions <.replication_actions>` to its caller.
"""

import random
import typing

from .. import clock as clocks
from . import catalogue_deltas
from . import catalogue_versions
from . import fleet_view as fleet_view
from ..links import peer_pb2 as pb
from . import rendezvous
from . import replication_actions

Document = catalogue_deltas.Document
DocumentCheck = typing.Callable[[Document, int], str | None]

WATCHERS_PER_DATA_CENTRE = 2
FETCH_TIMEOUT_S = 1.0
FETCH_RETRY_S = 0.2
INITIAL_FETCH_PEERS = 3
WANTED_VERSION_TTL_S = 30.0
FAULT_REPEAT_INTERVAL_S = 60.0


STORE = "store"

Actions = list[replication_actions.ReplicationAction]


class CatalogueReplicator:
    """Decides when one VM fetches a catalogue and puts it in force.

    Its methods take what the store and the peers report, and return the
    actions that the caller has to take.

    :param vm: name of this VM.
    :param data_centre: data centre of this VM.
    :param check: describes the error in a document and version; returns None
        for a valid document.
    """

    __slots__ = (
        "_clock",
        "_rng",
        "_vm",
        "_data_centre",
        "_check",
        "_versions",
        "_view",
        "_watching",
        "_wanted",
        "_wanted_until",
        "_fetching",
        "_retry_at",
        "_rejected",
        "_reported",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        data_centre: str,
        check: DocumentCheck = lambda document, version: None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._data_centre = data_centre
        self._check = check
        self._versions = catalogue_versions.CatalogueVersions()
        self._view: fleet_view.FleetView | None = None
        self._watching = False
        self._wanted = 0
        self._wanted_until = float("-inf")
        # Deadline of each fetch in progress, by the VM that was asked.
        self._fetching: dict[str, float] = {}
        self._retry_at = float("-inf")
        # Versions of invalid documents, which are not fetched again.
        self._rejected: set[int] = set()
        self._reported: dict[tuple[type, int, str], float] = {}

    @property
    def in_force(self) -> catalogue_versions.CatalogueInForce:
        """The catalogue in force; its version is 0 before the first one."""
        return self._versions.in_force

    @property
    def watching(self) -> bool:
        """Whether this VM is one of those that watch the store themselves."""
        return self._watching

    def update_view(self, view: fleet_view.FleetView) -> Actions:
        """Set the view of the fleet, and decide whether to watch the store.

        :param view: determines the watchers and the peers to fetch from.
        :returns: the action that starts or stops watching, if this VM becomes
            a watcher or ceases to be one.
        """
        self._view = view
        names = view.serving_names(self._data_centre)
        key = f"watch/{self._data_centre}"
        watching = (
            self._vm in rendezvous.rank(key, names)[:WATCHERS_PER_DATA_CENTRE]
        )
        if watching == self._watching:
            return []
        self._watching = watching
        return [
            (
                replication_actions.StartWatching()
                if watching
                else replication_actions.StopWatching()
            )
        ]

    def tick(self) -> Actions:
        """Start the fetches from random peers that are due.

        Several peers are asked while there is no catalogue yet, and one while
        a newer version than the one in force is known.
        """
        now = self._clock.now()
        self._fetching = {
            vm: until for vm, until in self._fetching.items() if until > now
        }
        if self._fetching or now < self._retry_at:
            return []
        if self._versions.in_force.version == 0:
            return self._fetch(INITIAL_FETCH_PEERS)
        if self._is_behind() and now < self._wanted_until:
            return self._fetch(1)
        return []

    def peer_has_version(self, version: int, digest: int, via: str) -> Actions:
        """Handle a peer's message that names a catalogue version.

        A version newer than the one in force is fetched from that peer, unless
        a fetch is in progress or the version is known to be invalid. The
        version in force with another digest is reported as a fault.

        :param via: the VM that sent the message.
        """
        current = self._versions.in_force
        if version == current.version and digest != current.digest and version:
            return self._report_clash(version, via)
        if not self._is_newer(version):
            return []
        self._set_wanted(version)
        return [] if self._fetching else self._fetch_from([via])

    def receive_rumour(self, rumour: pb.Rumour, via: str) -> Actions:
        """Handle a rumour that announces a new catalogue version.

        If the rumour carries the change from the version in force here, the
        change is applied. Otherwise a newer version is fetched from ``via``.

        :param via: the VM that passed the rumour on, which may not have the
            version yet.
        """
        catalogue = rumour.catalogue
        current = self._versions.in_force
        delta = catalogue.delta
        fits = (delta.base_version, delta.base_digest) == (
            current.version,
            current.digest,
        )
        newer = self._is_newer(catalogue.version)
        if newer and delta.base_version and fits:
            return self._receive_document(delta, via)
        return self.peer_has_version(catalogue.version, catalogue.digest, via)

    def receive_answer(self, vm: str, answer: pb.CatalogueDocument) -> Actions:
        """Handle a peer's answer to a fetch.

        A newer version is put in force if its document is valid. If this VM
        is still behind, a later tick fetches again.

        :param vm: the peer.
        :param answer: the document, or the changes since the version that was
            in force when the peer was asked.
        """
        self._fetching.pop(vm, None)
        result = self._receive_document(answer, vm)
        if self._is_behind():
            self._retry_at = self._clock.now() + FETCH_RETRY_S
        elif self._versions.in_force.version == 0:
            self._retry_at = self._clock.now() + FETCH_TIMEOUT_S
        return result

    def fetch_failed(self, vm: str) -> None:
        """Note that a peer's fetch failed; a later tick asks a random peer.

        :param vm: the peer that was asked.
        """
        self._fetching.pop(vm, None)
        self._retry_at = self._clock.now() + FETCH_RETRY_S

    def receive_stored(
        self, version: int, document: Document | None
    ) -> Actions:
        """Handle the catalogue that a watcher has read from the store.

        A newer version is put in force if its document is valid. An older one,
        as after the restore of a backup, is reported as a fault.

        :param version: version of the object; 0 when there is none.
        :param document: content of the object; None when there is none.
        """
        current = self._versions.in_force
        if version < current.version or document is None:
            return (
                self._report_store_behind(version) if current.version else []
            )
        digest = catalogue_deltas.compute_digest(document)
        if version == current.version:
            return (
                []
                if digest == current.digest
                else self._report_clash(version, STORE)
            )
        return self._adopt(version, digest, document, STORE)

    def answer_fetch(self, request: pb.FetchCatalogue) -> pb.CatalogueDocument:
        """Answer a peer's fetch with the catalogue in force at this VM."""
        return self._versions.answer_fetch(request)

    def _is_newer(self, version: int) -> bool:
        return version > self._versions.in_force.version and (
            version not in self._rejected
        )

    def _is_behind(self) -> bool:
        return self._is_newer(self._wanted)

    def _set_wanted(self, version: int) -> None:
        # A wanted version expires, as all VMs that have it may be lost. As
        # long as a VM has it, the messages of that VM name it again.
        self._wanted = max(self._wanted, version)
        self._wanted_until = self._clock.now() + WANTED_VERSION_TTL_S

    def _receive_document(
        self, received: pb.CatalogueDocument, via: str
    ) -> Actions:
        current = self._versions.in_force
        if not self._is_newer(received.version):
            is_clash = received.version == current.version != 0
            if is_clash and received.digest != current.digest:
                return self._report_clash(received.version, via)
            return []
        self._set_wanted(received.version)
        try:
            document = self._versions.decode(received)
        except ValueError as error:
            detail = f"not readable: {error}"
            return self._report(
                replication_actions.Invalid(received.version, via, detail)
            )
        if document is None:
            return self._fetch_from([via])
        if catalogue_deltas.compute_digest(document) != received.digest:
            # The version stays wanted: a later tick fetches it from a random
            # peer.
            detail = "the document does not match its digest"
            return self._report(
                replication_actions.Invalid(received.version, via, detail)
            )
        return self._adopt(received.version, received.digest, document, via)

    def _adopt(
        self, version: int, digest: int, document: Document, source: str
    ) -> Actions:
        if not self._is_newer(version):
            return []
        error = self._check(document, version)
        if error is not None:
            # The invalid version is remembered, or it would be fetched again
            # and again.
            self._rejected.add(version)
            return self._report(
                replication_actions.Invalid(version, source, error)
            )
        rumour = self._versions.adopt(version, digest, document)
        result: Actions = [
            replication_actions.ApplyCatalogue(version, digest, document)
        ]
        if source == STORE or self._is_remote(source):
            result.append(replication_actions.AnnounceRumour(rumour))
        return result

    def _is_remote(self, vm: str) -> bool:
        if self._view is None:
            return False
        member = self._view.members.get(vm)
        return member is None or member.data_centre != self._data_centre

    def _fetch(self, count: int) -> Actions:
        if self._view is None:
            return []
        peers = [vm for vm in self._view.members if vm != self._vm]
        picked = self._rng.sample(peers, min(count, len(peers)))
        return self._fetch_from(picked)

    def _fetch_from(self, vms: list[str]) -> Actions:
        until = self._clock.now() + FETCH_TIMEOUT_S
        result: Actions = []
        for vm in vms:
            address = self._address_of(vm)
            if address:
                self._fetching[vm] = until
                result.append(
                    replication_actions.FetchFromPeer(
                        vm, address, self._fetch_request()
                    )
                )
        return result

    def _fetch_request(self) -> pb.FetchCatalogue:
        return pb.FetchCatalogue(
            have_version=self._versions.in_force.version,
            have_digest=self._versions.in_force.digest,
            vm=self._vm,
        )

    def _address_of(self, vm: str) -> str:
        if self._view is None:
            return ""
        known = dict(self._view.members)
        known.update(
            (gateway.vm, gateway)
            for summary in self._view.summaries.values()
            for gateway in summary.gateways
        )
        return known[vm].peers_address if vm in known else ""

    def _report_store_behind(self, version: int) -> Actions:
        detail = (
            f"the store holds version {version}, older than version "
            f"{self._versions.in_force.version} in force; that one stays"
        )
        return self._report(
            replication_actions.StoreBehind(version, STORE, detail)
        )

    def _report_clash(self, version: int, source: str) -> Actions:
        detail = f"{source} has another document as version {version}"
        return self._report(
            replication_actions.DigestClash(version, source, detail)
        )

    def _report(self, fault: replication_actions.Fault) -> Actions:
        key = (type(fault), fault.version, fault.source)
        now = self._clock.now()
        if (
            now
            < self._reported.get(key, float("-inf")) + FAULT_REPEAT_INTERVAL_S
        ):
            return []
        self._reported = {
            known: at
            for known, at in self._reported.items()
            if at + FAULT_REPEAT_INTERVAL_S > now
        }
        self._reported[key] = now
        return [fault]
