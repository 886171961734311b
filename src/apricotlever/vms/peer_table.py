"""Latest status records of the other VMs, and which of them are alive.

A VM is alive while its own records or an aggregator's reports of it arrive.
"""

import random
import typing

from .. import clock as clocks

from . import vm_records

#: Seconds of silence after which a VM does not count as alive and is no longer
#: given to callers: five records in a row are hardly lost by chance.
ALIVE_TIMEOUT_S = 1.1
#: Seconds of silence after which a VM does not count as alive if an aggregator
#: reports it: its records are less frequent, only every third aggregate has
#: the ages of all VMs, and the change to another aggregator takes some time.
ALIVE_TIMEOUT_AGGREGATED_S = 2.4
#: Mean seconds between two signs of life of a VM reported by an aggregator.
MEAN_INTERVAL_AGGREGATED_S = 0.8
#: Seconds after its last sign of life in which a VM still counts as a member.
MEMBER_TTL_S = 30.0
#: Most receivers of one record. In a larger fleet each record is sent to some
#: VMs, and successive records reach all VMs in turn.
FANOUT = 24
#: Most peer addresses in one record, so that it fits into a datagram.
MAX_KNOWN_ADDRESSES = 24


class _Peer:
    """A VM's latest status record and the time of its last sign of life."""

    __slots__ = ("record", "heard_at")

    def __init__(self, record: vm_records.VmRecord, heard_at: float) -> None:
        self.record = record
        self.heard_at = heard_at


class PeerTable:
    """The latest status record of each other VM, and peer addresses.

    It tells which VMs are alive, and to which addresses to send records.

    :param vm: name of this VM.
    :param address: where this VM receives messages of peers, ``host:port``.
    :param seeds: peer addresses from the settings; may be stale.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_hints",
        "_peers",
        "_rng",
        "_seeds",
        "_receiver_offset",
        "_vm",
        "is_aggregated",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        vm: str,
        address: str,
        seeds: typing.Iterable[str],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._vm = vm
        self._address = address
        self._seeds = frozenset(seeds) - {address}
        #: Time at which each address of a possible member was first noted.
        self._hints: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}
        #: Offset of the last record's receivers among all addresses. It starts
        #: at random, as VMs with the same offset would all send to the same
        #: receivers at once.
        self._receiver_offset = rng.randrange(FANOUT * FANOUT)
        #: Whether an aggregator reports the other VMs to this one.
        self.is_aggregated = False

    @property
    def address(self) -> str:
        """Where this VM receives messages of peers."""
        return self._address

    @property
    def mean_sign_of_life_interval_s(self) -> float:
        """Mean seconds between two signs of life of one peer."""
        if self.is_aggregated:
            return MEAN_INTERVAL_AGGREGATED_S
        return vm_records.RECORD_INTERVAL_S * self._sends_per_arrival

    @property
    def is_large(self) -> bool:
        """Whether there are more members than receivers of one record.

        The VMs of such a fleet use aggregators.
        """
        return len(self.member_addresses()) > FANOUT

    @property
    def _sends_per_arrival(self) -> float:
        """Records that a peer sends for each one received here.

        This is more than 1 if there are more members than receivers of one
        record.
        """
        return max(1.0, len(self._peers) / FANOUT)

    def set_seeds(self, seeds: typing.Iterable[str]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = frozenset(seeds) - {self._address}

    def hint(self, addresses: typing.Iterable[str]) -> None:
        """Note peer addresses at which there may be members."""
        now = self._clock.now()
        for address in addresses:
            if address != self._address:
                self._hints.setdefault(address, now)

    def receive_record(
        self, record: vm_records.VmRecord, age_s: float = 0.0
    ) -> vm_records.VmRecord | None:
        """Store a VM's status record if it is later than the known one.

        The peer addresses in the record are noted, too.

        :param record: the record.
        :param age_s: seconds since its VM sent it.
        :returns: the last record of the VM's former process if this record
            shows that the VM has restarted, else None.
        """
        known = self._peers.get(record.vm)
        if record.vm == self._vm:
            return None
        former = None
        if known is not None:
            old = known.record
            if not record.supersedes(old):
                return None
            former = old if old.incarnation != record.incarnation else None
        heard_at = self._clock.now() - age_s
        if known is not None and former is None:
            heard_at = max(heard_at, known.heard_at)
        self._peers[record.vm] = _Peer(record, heard_at)
        self.hint([record.peer_address])
        self.hint(record.known)
        return former

    def note_heard(self, vm: str, age_s: float) -> None:
        """Note a sign of life of a VM that an aggregator reports.

        :param age_s: seconds since that sign of life.
        """
        peer = self._peers.get(vm)
        if peer is not None:
            heard_at = self._clock.now() - age_s
            peer.heard_at = max(peer.heard_at, heard_at)

    def addresses(self, vms: typing.Iterable[str]) -> list[str]:
        """Peer addresses of the given VMs; unknown VMs are left out."""
        peers = map(self._peers.get, vms)
        return [peer.record.peer_address for peer in peers if peer is not None]

    def data_centre(self, vm: str) -> str:
        """Data centre of a VM; "" when the VM is not known."""
        peer = self._peers.get(vm)
        return peer.record.data_centre if peer is not None else ""

    def processes(self, vms: typing.Iterable[str]) -> list[str]:
        """Processes of the given VMs; unknown VMs are left out."""
        peers = map(self._peers.get, vms)
        return [peer.record.process for peer in peers if peer is not None]

    def silent_addresses(self) -> list[str]:
        """Addresses of possible members, without those of live VMs."""
        alive = {record.peer_address for record in self.alive()}
        return [a for a in self.member_addresses() if a not in alive]

    def receivers(self) -> list[str]:
        """Select the addresses to send this VM's next record to.

        In a large fleet they are some of the members; all come in turn.

        If receivers were drawn at random, some VMs of a large fleet would get
        no record of another one for so long that they considered it silent,
        and would reserve its part of each customer's limit.
        """
        member_addresses = self.member_addresses()
        if len(member_addresses) <= FANOUT:
            return member_addresses
        self._receiver_offset = (self._receiver_offset + FANOUT) % len(
            member_addresses
        )
        return (member_addresses + member_addresses)[
            self._receiver_offset : self._receiver_offset + FANOUT
        ]

    def is_member(self, host: str) -> bool:
        """Whether an IP address may belong to a member.

        All known addresses count. A member that is not among the receivers of
        the last record must not be refused.
        """
        return any(
            address.rpartition(":")[0] == host
            for address in self.member_addresses()
        )

    def member_addresses(self) -> list[str]:
        """Peer addresses of all possible members, sorted.

        These are the addresses of recent members, noted ones and the seeds.
        """
        now = self._clock.now()
        members = {
            peer.record.peer_address
            for peer in self._peers.values()
            if now - peer.heard_at < MEMBER_TTL_S
        }
        self._hints = {
            address: since
            for address, since in self._hints.items()
            if now - since < MEMBER_TTL_S
        }
        return sorted(members | set(self._hints) | self._seeds)

    def known(self) -> list[str]:
        """Peer addresses of live members to include in this VM's record.

        If there are too many for a record, some are chosen at random.
        """
        addresses = [record.peer_address for record in self.alive()]
        if len(addresses) <= MAX_KNOWN_ADDRESSES:
            return addresses
        return self._rng.sample(addresses, MAX_KNOWN_ADDRESSES)

    def alive(self) -> list[vm_records.VmRecord]:
        """Status records of the VMs that are alive, as heard from recently."""
        since = self._clock.now() - self._alive_timeout_s()
        return [p.record for p in self._peers.values() if p.heard_at > since]

    def members(self) -> list[vm_records.VmRecord]:
        """Status records of VMs that may be alive, even if they are silent.

        A VM that announced its departure and then fell silent has ended.
        """
        now = self._clock.now()
        alive_s = self._alive_timeout_s()
        return [
            peer.record
            for peer in self._peers.values()
            if now - peer.heard_at < MEMBER_TTL_S
            and not (peer.record.leaving and now - peer.heard_at > alive_s)
        ]

    def count_heard(self, within_s: float, ended_s: float) -> int:
        """Return the number of VMs heard from in some time, silent or not.

        :param within_s: that time, in seconds.
        :param ended_s: after so many seconds of silence a VM that announced
            its departure doesn't count.
        """
        now = self._clock.now()
        return sum(
            now - peer.heard_at
            < (min(within_s, ended_s) if peer.record.leaving else within_s)
            for peer in self._peers.values()
        )

    def mark_all_silent(self) -> None:
        """Treat all peers as silent, after a pause of this process."""
        long_ago = self._clock.now() - self._alive_timeout_s()
        for peer in self._peers.values():
            peer.heard_at = min(peer.heard_at, long_ago)

    def _alive_timeout_s(self) -> float:
        return (
            ALIVE_TIMEOUT_AGGREGATED_S
            if self.is_aggregated
            else ALIVE_TIMEOUT_S * self._sends_per_arrival
        )
