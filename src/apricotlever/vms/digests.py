"""What entry VMs tell each other several times a second, and whom they hear.

One small record of each VM goes to all others. It carries counters that only
have to be told often and may be lost at times; whoever is heard is alive.
The records carry the addresses that a VM knows, so a newcomer that reaches
one VM is soon known to all.
"""

import random
import typing

from .. import clock as clocks
from .. import shapes
from ..runners import culprits

#: Between two records, in seconds. Limits kept by counting overshoot by
#: what is let in meanwhile.
INTERVAL_S = 0.2
#: Records of which one carries all, the first of a process among them.
WHOLE_EVERY = 5
#: A VM is taken out of the answers to callers after this silence: five
#: records in a row are hardly lost by chance.
ALIVE_S = 1.1
#: The same where VMs are told of by an aggregator: their records come more
#: rarely, how long ago each was heard is told every third time, and it takes
#: a moment to use another aggregator.
ALIVE_SUMMED_S = 2.4
#: Mean seconds between two signs of life of a VM there.
BETWEEN_SUMMED_S = 0.8
#: A VM that was heard is still counted as a member, and told, for so long.
MEMBER_S = 30.0
#: Receivers of one record. In a fleet of more VMs each record goes to some,
#: to all in turn.
FANOUT = 24
#: Addresses in one record, so that it fits into a datagram.
MOST_KNOWN = 24


class Digest:
    """One VM's record.

    Fields that are empty tell nothing; levels, failures and known addresses
    stand in one of :data:`WHOLE_EVERY` records only.

    :param vm: its name.
    :param incarnation: of its process, rises with each start.
    :param number: rises with each record.
    :param peer_address: where it hears the others, ``host:port``.
    :param caller_address: where it hears callers, ``host:port``.
    :param ready: whether it takes callers' calls.
    :param leaving: whether it is about to end.
    :param follows: whether it follows the store itself, with success.
    :param configuration: the version in force there.
    :param directory: the revision of its newest news of a runner.
    :param runners: a checksum of the runners that it believes to live.
    :param in_flight: its calls at each runner.
    :param pending: prompt tokens that wait for it at each runner.
    :param used: units it let in, by customer.
    :param levels: units left of each customer's limit, as it knows.
    :param usage: its counts for usage reports, by window and customer.
    :param work: tokens read for it, a runner's speed and the part of their
        objective that first answers took, by service.
    :param silent: runners from which it hears nothing.
    :param failures: its failed and all calls, by runner.
    :param reported: the newest window that is known to be reported.
    :param known: peer addresses of other members.
    :param crashes: what it tells of crashed runners; None for nothing.
    :param gave_up: the fencing number of the fleet's duties that it has just
        handed over, as it can't reach the store; 0 for none.
    :param lease: version and fencing number of the lease on the fleet's
        duties while it holds that.
    :param limits_port: where it is asked of limits; 0 for nowhere.
    :param aggregator: the VM that it wants to tell the others of it; "" for
        none, so that it tells them itself.
    :param hears: how many other VMs it hears.
    """

    __slots__ = (
        "vm",
        "incarnation",
        "number",
        "peer_address",
        "caller_address",
        "data_centre",
        "ready",
        "leaving",
        "follows",
        "configuration",
        "directory",
        "runners",
        "in_flight",
        "pending",
        "used",
        "levels",
        "usage",
        "work",
        "silent",
        "failures",
        "reported",
        "known",
        "crashes",
        "gave_up",
        "lease",
        "limits_port",
        "aggregator",
        "hears",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        number: int,
        peer_address: str,
        caller_address: str,
        data_centre: str,
        ready: bool = False,
        leaving: bool = False,
        follows: bool = False,
        configuration: int = 0,
        directory: int = 0,
        runners: int = 0,
        in_flight: dict[str, int] | None = None,
        pending: dict[str, int] | None = None,
        used: dict[str, float] | None = None,
        levels: dict[str, float] | None = None,
        usage: dict[int, dict[str, int]] | None = None,
        work: dict[str, tuple[int, float, float]] | None = None,
        silent: list[str] | None = None,
        failures: dict[str, tuple[int, int]] | None = None,
        reported: int = 0,
        known: list[str] | None = None,
        crashes: culprits.Told | None = None,
        gave_up: int = 0,
        lease: tuple[int, int] | None = None,
        limits_port: int = 0,
        aggregator: str = "",
        hears: int = 0,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.number = number
        self.peer_address = peer_address
        self.caller_address = caller_address
        self.data_centre = data_centre
        self.ready = ready
        self.leaving = leaving
        self.follows = follows
        self.configuration = configuration
        self.directory = directory
        self.runners = runners
        self.in_flight = in_flight or {}
        self.pending = pending or {}
        self.used = used or {}
        self.levels = levels or {}
        self.usage = usage or {}
        self.work = work or {}
        self.silent = silent or []
        self.failures = failures or {}
        self.reported = reported
        self.known = known or []
        self.crashes = crashes
        self.gave_up = gave_up
        self.lease = lease
        self.limits_port = limits_port
        self.aggregator = aggregator
        self.hears = hears

    @property
    def limits_address(self) -> tuple[str, int] | None:
        """Where it is asked of limits."""
        if not self.limits_port:
            return None
        return self.peer_address.rpartition(":")[0], self.limits_port

    @property
    def process(self) -> str:
        """Names the process and not only the VM."""
        return f"{self.vm}#{self.incarnation}"

    def rare(self) -> "Digest":
        """A copy without what is summed up where VMs are told of many."""
        copy = Digest(*self.to_record())
        copy.in_flight, copy.pending, copy.failures = {}, {}, {}
        copy.levels, copy.usage, copy.work = {}, {}, {}
        copy.silent, copy.known, copy.aggregator = [], [], ""
        copy.used = {}
        return copy

    def differs(self, other: "Digest", versions: bool) -> bool:
        """Whether it tells other things of its VM than another record.

        What any record changes, or is told in another way, does not count.

        :param versions: whether it counts how new its VM's knowledge is.
        """
        names = _LASTING + _VERSIONS if versions else _LASTING
        return any(
            getattr(self, name) != getattr(other, name) for name in names
        )

    def to_record(self) -> list[typing.Any]:
        """The fields in order."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def from_record(cls, record: typing.Any) -> "Digest":
        """The reverse of :meth:`to_record`.

        :raises shapes.Misshapen: when it is no such record.
        """
        return cls(*shapes.checked_record(_FIELDS, record))


#: Fields of which a change is news.
_LASTING = (
    "incarnation",
    "ready",
    "leaving",
    "follows",
    "reported",
    "gave_up",
    "lease",
    "limits_port",
)
_VERSIONS = ("configuration", "directory", "runners")
_TEXT_TO_COUNT = shapes.is_map(shapes.is_text, shapes.is_whole)
_TEXT_TO_UNITS = shapes.is_map(shapes.is_text, shapes.is_finite)
is_usage = shapes.is_map(shapes.is_whole, _TEXT_TO_COUNT)
is_work = shapes.is_map(
    shapes.is_text,
    shapes.is_row(shapes.is_whole, shapes.is_number, shapes.is_number),
)
#: What each field of a record has to be, in order. A record of another form
#: would fail where its figures are used, in a task that many calls need.
_FIELDS: tuple[tuple[str, shapes.Check], ...] = (
    ("vm", shapes.is_text),
    ("incarnation", shapes.is_whole),
    ("number", shapes.is_whole),
    ("peer_address", shapes.is_address),
    ("caller_address", shapes.is_any_text),
    ("data_centre", shapes.is_any_text),
    ("ready", shapes.is_flag),
    ("leaving", shapes.is_flag),
    ("follows", shapes.is_flag),
    ("configuration", shapes.is_whole),
    ("directory", shapes.is_whole),
    ("runners", shapes.is_whole),
    ("in_flight", _TEXT_TO_COUNT),
    ("pending", _TEXT_TO_COUNT),
    ("used", _TEXT_TO_UNITS),
    ("levels", _TEXT_TO_UNITS),
    ("usage", is_usage),
    ("work", is_work),
    ("silent", shapes.is_list(shapes.is_text)),
    (
        "failures",
        shapes.is_map(
            shapes.is_text, shapes.is_row(shapes.is_whole, shapes.is_whole)
        ),
    ),
    ("reported", shapes.is_whole),
    ("known", shapes.is_list(shapes.is_address)),
    ("crashes", shapes.is_none_or(culprits.is_told)),
    ("gave_up", shapes.is_whole),
    (
        "lease",
        shapes.is_none_or(shapes.is_row(shapes.is_whole, shapes.is_whole)),
    ),
    ("limits_port", shapes.is_whole),
    ("aggregator", shapes.is_any_text),
    ("hears", shapes.is_whole),
)


class _Peer:
    __slots__ = ("digest", "heard_at")

    def __init__(self, digest: Digest, heard_at: float) -> None:
        self.digest = digest
        self.heard_at = heard_at


class PeerTable:
    """The other VMs, by their latest records.

    :param vm: this VM's name.
    :param address: where this VM hears the others.
    :param seeds: peer addresses from the settings; may be stale.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_hints",
        "_peers",
        "_rng",
        "_seeds",
        "_turn",
        "_vm",
        "summed",
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
        #: Addresses heard of to when that was.
        self._hints: dict[str, float] = {}
        self._peers: dict[str, _Peer] = {}
        #: Where among all addresses the last record's receivers began. VMs
        #: that began alike would all tell the same ones at once.
        self._turn = rng.randrange(FANOUT * FANOUT)
        #: Whether this VM hears of the others by an aggregator.
        self.summed = False

    @property
    def address(self) -> str:
        """Where this VM hears the others."""
        return self._address

    @property
    def between_s(self) -> float:
        """Mean seconds between two signs of life of one peer."""
        if self.summed:
            return BETWEEN_SUMMED_S
        return INTERVAL_S * self._rounds

    @property
    def is_large(self) -> bool:
        """Whether there are more members than receivers of a record."""
        return len(self.everybody()) > FANOUT

    @property
    def _rounds(self) -> float:
        """Records that a peer sends for each one that comes here.

        With more members than receivers of a record that is more than one.
        """
        return max(1.0, len(self._peers) / FANOUT)

    def set_seeds(self, seeds: typing.Iterable[str]) -> None:
        """Take over changed settings."""
        self._seeds = frozenset(seeds) - {self._address}

    def hint(self, addresses: typing.Iterable[str]) -> None:
        """Addresses at which there may be members."""
        now = self._clock.now()
        for address in addresses:
            if address != self._address:
                self._hints.setdefault(address, now)

    def heard(self, digest: Digest, age_s: float = 0.0) -> Digest | None:
        """Take in a record.

        :param age_s: how long ago its VM told it.
        :returns: the last record of the VM's former process, if the VM has
            restarted since, else None.
        """
        known = self._peers.get(digest.vm)
        if digest.vm == self._vm:
            return None
        former = None
        if known is not None:
            old = known.digest
            if (digest.incarnation, digest.number) <= (
                old.incarnation,
                old.number,
            ):
                return None
            former = old if old.incarnation != digest.incarnation else None
        heard_at = self._clock.now() - age_s
        if known is not None and former is None:
            heard_at = max(heard_at, known.heard_at)
        self._peers[digest.vm] = _Peer(digest, heard_at)
        self.hint([digest.peer_address])
        self.hint(digest.known)
        return former

    def heard_of(self, vm: str, age_s: float) -> None:
        """An aggregator has heard a VM so long ago, in seconds."""
        peer = self._peers.get(vm)
        if peer is not None:
            heard_at = self._clock.now() - age_s
            peer.heard_at = max(peer.heard_at, heard_at)

    def addresses(self, vms: typing.Iterable[str]) -> list[str]:
        """Where VMs hear the others, of those that are known."""
        peers = map(self._peers.get, vms)
        return [peer.digest.peer_address for peer in peers if peer is not None]

    def data_centre(self, vm: str) -> str:
        """Where a VM is; "" when it is not known."""
        peer = self._peers.get(vm)
        return peer.digest.data_centre if peer is not None else ""

    def processes(self, vms: typing.Iterable[str]) -> list[str]:
        """The processes of VMs, of those that are known."""
        peers = map(self._peers.get, vms)
        return [peer.digest.process for peer in peers if peer is not None]

    def unheard(self) -> list[str]:
        """Addresses at which there may be members that are not heard."""
        alive = {digest.peer_address for digest in self.alive()}
        return [a for a in self.everybody() if a not in alive]

    def receivers(self) -> list[str]:
        """Addresses to which the next record goes; all come in turn.

        With receivers drawn at random some VMs of a large fleet would not hear
        of another one for so long that they take it for silent, and set its
        part of each customer's limit aside.
        """
        everybody = self.everybody()
        if len(everybody) <= FANOUT:
            return everybody
        self._turn = (self._turn + FANOUT) % len(everybody)
        return (everybody + everybody)[self._turn : self._turn + FANOUT]

    def is_member(self, host: str) -> bool:
        """Whether an IP number may be a member's.

        All that are known count: who is merely not among the receivers that
        were drawn last would else be turned away as a stranger.
        """
        return any(
            address.rpartition(":")[0] == host for address in self.everybody()
        )

    def everybody(self) -> list[str]:
        """Addresses at which there may be members."""
        now = self._clock.now()
        members = {
            peer.digest.peer_address
            for peer in self._peers.values()
            if now - peer.heard_at < MEMBER_S
        }
        self._hints = {
            address: since
            for address, since in self._hints.items()
            if now - since < MEMBER_S
        }
        return sorted(members | set(self._hints) | self._seeds)

    def known(self) -> list[str]:
        """Addresses of living members to tell others."""
        addresses = [digest.peer_address for digest in self.alive()]
        if len(addresses) <= MOST_KNOWN:
            return addresses
        return self._rng.sample(addresses, MOST_KNOWN)

    def alive(self) -> list[Digest]:
        """Records of the VMs that were heard just now."""
        since = self._clock.now() - self._alive_s()
        return [p.digest for p in self._peers.values() if p.heard_at > since]

    def members(self) -> list[Digest]:
        """Records of VMs that may be alive, heard or not.

        One that said that it leaves and fell silent has ended.
        """
        now = self._clock.now()
        alive_s = self._alive_s()
        return [
            peer.digest
            for peer in self._peers.values()
            if now - peer.heard_at < MEMBER_S
            and not (peer.digest.leaving and now - peer.heard_at > alive_s)
        ]

    def silence(self) -> None:
        """This VM stood still: nobody has been heard since."""
        long_ago = self._clock.now() - self._alive_s()
        for peer in self._peers.values():
            peer.heard_at = min(peer.heard_at, long_ago)

    def _alive_s(self) -> float:
        return ALIVE_SUMMED_S if self.summed else ALIVE_S * self._rounds
