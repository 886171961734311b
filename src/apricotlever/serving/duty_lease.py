"""The fleet's lease on its duties, and calls to the cloud API under it.

A duty is a task that one VM at a time performs for the fleet. That VM holds
the lease: an object in the store that it must renew before the lease's
duration ends. Each new holder gets a greater fencing number, which it sends
with its calls to the cloud API, so that late calls of a former holder can be
refused. The rules of the lease are in :mod:`~apricotlever.vms.leases`.
"""

import random
import typing

from .. import clock as clocks
from .. import logs
from ..vms import lease_objects
from ..vms import leases
from ..vms import rendezvous
from ..vms import vm_records

from . import client_channel
from . import connection_pool as pools
from . import dialects
from . import settings
from . import store

#: Kind of the lease's object in the store.
KIND = "leases"
#: Interval between two steps of the lease manager, in seconds.
TICK_S = 0.1
#: Duration of the lease as a multiple of the setting ``lease_s``, the bound
#: within which two holders must not alternate. The factor is more than 1, so
#: that a lease outlasts a short outage of the store.
LEASE_DURATION_FACTOR = 1.5
#: A field that each write changes, added to the fields of the lease. A store
#: may ignore a write that changes nothing, and keep the revision. Contenders
#: recognize a renewal by its new revision, and would then acquire a lease
#: that is still held.
RENEWAL_FIELD = "renewal"
#: Number of VMs that contend for a free lease; all others don't read it.
MAX_CONTENDERS = 2
#: Timeout of a call to the cloud API, in seconds.
CALL_TIMEOUT_S = 1.5
#: Number of consecutive failed store calls after which the holder surrenders
#: the lease, if other VMs reach the store. A single call may fail by chance.
MAX_FAILED_CALLS = 2
#: Time for which a VM announces that it surrendered the lease and does not
#: contend, as a multiple of the lease's duration. Holders that alternate
#: would be as bad as no holder.
SURRENDER_FACTOR = 2.0


def possible_holders(
    name: str, peers: typing.Sequence[vm_records.VmRecord]
) -> list[str]:
    """The other VMs that hold the lease, or would contend for a free one.

    :param name: the name of the lease.
    :param peers: the status records of the other live VMs.
    :returns: the names of the VMs.
    """
    holders = [p.vm for p in peers if p.lease]
    ready = [p.vm for p in peers if p.ready and not p.leaving]
    ranked = rendezvous.rank(name, ready)[:MAX_CONTENDERS]
    return list(dict.fromkeys([*holders, *ranked]))


class LeaseManager:
    """Acquires, renews and surrenders one lease by calls to the store.

    A VM contends for the lease if it is among the first
    :data:`MAX_CONTENDERS` of the live VMs in the order given by rendezvous
    hashing. A holder surrenders the lease, rather than letting it expire, when
    it stops or can't reach the store: it announces the fencing number that it
    no longer uses, and other VMs need not wait until the lease expires.

    :param name: the name of the lease.
    :param vm: this VM's name.
    :param incarnation: the incarnation of this process.
    :param bounds: determine the lease's duration, and whether the platform
        checks fencing numbers.
    """

    __slots__ = (
        "_other_candidates",
        "_clock",
        "_contends",
        "_duration_s",
        "_failed_calls",
        "_surrendered",
        "_surrendered_until",
        "_was_held",
        "_lease",
        "_name",
        "_others_follow",
        "_renewals",
        "_store",
        "_vm",
    )

    def __init__(
        self,
        name: str,
        vm: str,
        incarnation: int,
        clock: clocks.Clock,
        rng: random.Random,
        store_: store.Store,
        bounds: settings.FleetBounds,
    ) -> None:
        self._name = name
        self._vm = vm
        self._store = store_
        self._was_held = False
        #: The other VMs that may hold the lease; None until the first update.
        self._other_candidates: frozenset[str] | None = None
        self._contends = False
        self._renewals = 0
        self._clock = clock
        #: Number of consecutive failed calls to the store.
        self._failed_calls = 0
        self._surrendered = 0
        self._surrendered_until = leases.NEVER
        #: Whether another VM's status record says that it follows the store,
        #: and so reaches it.
        self._others_follow = False
        self._duration_s = LEASE_DURATION_FACTOR * bounds.lease_s
        self._lease = leases.Lease(
            clock,
            rng,
            name,
            vm,
            incarnation,
            # If the cloud does not check fencing numbers, a call in flight
            # from the previous holder must arrive before the first call of
            # the next holder.
            longest_order_s=0.0 if bounds.fencing_checked else CALL_TIMEOUT_S,
            duration_s=self._duration_s,
            durable=store_.durable,
        )

    @property
    def fencing(self) -> int | None:
        """The fencing number to send with a call to the cloud API now.

        The value is None if this VM must not act, as it does not hold the
        lease or the lease expires within :data:`TICK_S`.
        """
        return self._lease.may_order(TICK_S)

    @property
    def last_renewal(self) -> tuple[int, int] | None:
        """The object version and fencing number of this VM's last renewal.

        The value is None while this VM does not hold the lease. It is sent in
        this VM's status records, from which other VMs learn of the renewal.
        """
        return self._lease.last_renewal

    @property
    def surrendered_fencing(self) -> int:
        """The fencing number that this VM surrendered recently; 0 if none.

        It is sent in this VM's status records, so that another VM can acquire
        the lease at once.
        """
        is_recent = self._clock.now() < self._surrendered_until
        return self._surrendered if is_recent else 0

    def update_view(
        self, peers: typing.Sequence[vm_records.VmRecord], members: int
    ) -> None:
        """Decide whether to contend for the lease, from the live VMs.

        A VM that hears less than half of the fleet releases the lease: it
        would send reports and orders based on its own small part of the work.

        :param peers: the status records of the other live VMs.
        :param members: the number of VMs that may be alive, including this
            one and silent ones.
        """
        self._others_follow = any(p.follows for p in peers)
        for peer in peers:
            if peer.gave_up:
                self._lease.record_surrender(peer.gave_up)
            self._lease.observe_process(peer.vm, peer.incarnation)
            if peer.lease:
                self._lease.observe_renewal(
                    *peer.lease, peer.vm, peer.incarnation
                )
        alive = frozenset(
            p.vm for p in peers if p.ready and not p.leaving and not p.gave_up
        )
        if alive != self._other_candidates:
            self._other_candidates = alive
            ranked = rendezvous.rank(self._name, [*alive, self._vm])
            self._contends = self._vm in ranked[:MAX_CONTENDERS]
        hears_half = 2 * (len(peers) + 1) >= members
        wanted = self._lease.held or self._contends
        self._lease.want(
            hears_half and wanted and not self.surrendered_fencing
        )

    def release(self) -> None:
        """Surrender the lease, and stop contending for it, as this VM stops.

        Without the surrender, which this VM's status records announce, the
        other VMs would wait until the lease expires.
        """
        if self._lease.held:
            self._surrender()
        self._lease.want(False)

    def fencing_rejected(self, fencing: int) -> None:
        """Handle a call that the cloud API rejected by its fencing number.

        The cloud API has seen a greater number. This VM must not act until it
        holds the lease with a number that is high enough.

        :param fencing: the rejected number.
        """
        self._lease.fencing_rejected(fencing + 1)

    async def step(self) -> None:
        """Make the call to the store that is due for the lease, if any."""
        action = self._lease.tick()
        if action is not None:
            await self._execute(action)
        held = self.fencing is not None
        if held != self._was_held:
            self._was_held = held
            logs.event(
                "lease_taken" if held else "lease_lost",
                duty=self._name,
                fencing=self.fencing,
            )

    async def _execute(self, action: lease_objects.LeaseAction) -> None:
        lease = self._lease
        try:
            if isinstance(action, lease_objects.WriteLease):
                stored = await self._write(action)
                lease.written(stored.revision)
            else:
                found = await self._store.get(KIND, self._name)
                if found is None:
                    lease.read(None, None)
                else:
                    lease.read(found.revision, _without_renewal(found.spec))
            self._failed_calls = 0
        except store.Conflict:
            lease.conflict()
        except store.Unanswered as error:
            lease.ambiguous()
            self._handle_failure(error)
        except store.StoreError as error:
            lease.failed()
            self._handle_failure(error)

    def _handle_failure(self, error: store.StoreError) -> None:
        """Surrender the lease if other VMs reach the store and this one fails.

        Otherwise no VM would perform the duties for nine seconds, until the
        lease has expired for this holder and for the other VMs, which measure
        its duration from when they observed the last renewal.
        """
        logs.event("lease_call_failed", duty=self._name, error=str(error))
        self._failed_calls += 1
        if self._failed_calls < MAX_FAILED_CALLS or not self._others_follow:
            return
        if self._lease.held:
            self._surrender()

    def _surrender(self) -> None:
        now = self._clock.now()
        self._surrendered = self._lease.surrender()
        self._surrendered_until = now + SURRENDER_FACTOR * self._duration_s
        logs.event(
            "lease_handed_over", duty=self._name, fencing=self._surrendered
        )

    async def _write(
        self, action: lease_objects.WriteLease
    ) -> store.StoredObject:
        self._renewals += 1
        value = {**action.value, RENEWAL_FIELD: f"{self._vm}.{self._renewals}"}
        if action.expected_version is None:
            return await self._store.create(KIND, self._name, value)
        return await self._store.replace(
            KIND, self._name, value, action.expected_version
        )


def _without_renewal(spec: store.Json) -> store.Json:
    if not isinstance(spec, dict):
        return spec
    return {key: value for key, value in spec.items() if key != RENEWAL_FIELD}


class CloudBusy(Exception):
    """The call to the cloud API had no effect, or its effect is unknown."""


class CloudClient:
    """Calls to the platform's cloud API by the holder of the lease.

    :param vm: this VM's name, sent as the holder of the lease.
    :param may_act: tells whether this VM may use a fencing number now.
    """

    __slots__ = ("_dialect", "_host", "_may_act", "_pool", "_vm", "calls")

    def __init__(
        self,
        vm: str,
        dialect: dialects.PlatformDialect,
        address: settings.Address,
        may_act: typing.Callable[[int], bool],
    ) -> None:
        self._may_act = may_act
        self._vm = vm
        self._dialect = dialect
        self._host = f"{address.host}:{address.port}"
        self._pool = pools.ConnectionPool(address.host, address.port)
        #: Number of calls made so far.
        self.calls = 0

    async def send(self, path: str, body: bytes, fencing: int) -> bool:
        """Send an order for runners or a usage report.

        :param path: the path of the HTTP request.
        :param fencing: the fencing number to send with it.
        :returns: whether it was accepted. If not, another holder has acted
            in the meantime, or the ordered capacity is unavailable.
        :raises CloudBusy: if the call may be repeated.
        """
        headers = self._dialect.lease_holder_headers(self._vm, fencing)
        request = pools.encode_request("POST", path, self._host, body, headers)
        self.calls += 1
        try:
            # The lease may expire while the connection opens, so it is
            # checked again just before the call is sent.
            answer = await pools.exchange(
                self._pool,
                request,
                CALL_TIMEOUT_S,
                still=lambda: self._may_act(fencing),
            )
        except (client_channel.ChannelError, TimeoutError) as error:
            self._pool.close_idle()
            raise CloudBusy(type(error).__name__) from error
        if answer.status == 409:
            return False
        if answer.status >= 400:
            raise CloudBusy(f"status {answer.status}")
        return True
