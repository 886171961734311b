"""Duties that one VM does for the fleet, under a lease in the store."""

import random
import typing

from .. import clock as clocks
from .. import logs
from ..vms import lease_objects
from ..vms import leases
from ..vms import rendezvous
from ..vms import vm_records

from . import channels
from . import dialects
from . import pool as pools
from . import settings
from . import store

KIND = "leases"
TICK_S = 0.1
#: A lease lasts this many times the bound within which holders may not
#: alternate, so that it outlives a short outage of the store.
LEASE_BOUNDS = 1.5
#: A field beside the lease's own that each write changes. A store may take a
#: write that changes nothing for none and keep the revision; contenders, who
#: see a renewal by its new revision, would then take a living lease.
RENEWAL = "renewal"
#: VMs that contend for a free lease; all others read nothing.
CONTENDERS = 2
CALL_S = 1.5
#: Calls for the lease that fail in a row before a holder hands it over, if
#: others follow the store: one may fail by chance.
GIVE_UP_AFTER = 2
#: Durations of a lease for which a holder that handed it over says so, and
#: does not contend: holders that alternate would be as bad as none.
GAVE_UP_PART = 2.0


def candidates(
    name: str, peers: typing.Sequence[vm_records.VmRecord]
) -> list[str]:
    """Other VMs that hold a lease, or contend for it once it is free.

    :param name: of the lease.
    :param peers: records of the other living VMs.
    """
    holders = [p.vm for p in peers if p.lease]
    ready = [p.vm for p in peers if p.ready and not p.leaving]
    ranked = rendezvous.rank(name, ready)[:CONTENDERS]
    return list(dict.fromkeys([*holders, *ranked]))


class LeaseKeeper:
    """Drives one lease by calls to the store.

    :param name: of the duty.
    """

    __slots__ = (
        "_alive",
        "_clock",
        "_contends",
        "_duration_s",
        "_failed",
        "_gave_up",
        "_gave_up_until",
        "_held",
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
        bounds: settings.Bounds,
    ) -> None:
        self._name = name
        self._vm = vm
        self._store = store_
        self._held = False
        #: The other VMs that may hold the lease; None before the first look.
        self._alive: frozenset[str] | None = None
        self._contends = False
        self._renewals = 0
        self._clock = clock
        #: Calls that failed in a row.
        self._failed = 0
        self._gave_up = 0
        self._gave_up_until = leases.NEVER
        #: Whether another VM was heard that follows the store.
        self._others_follow = False
        self._duration_s = LEASE_BOUNDS * bounds.lease_s
        self._lease = leases.Lease(
            clock,
            rng,
            name,
            vm,
            incarnation,
            # Where nobody checks the number, a call that the holder before has
            # under way must have come before the next one's first.
            longest_order_s=0.0 if bounds.fencing_checked else CALL_S,
            duration_s=self._duration_s,
            durable=store_.durable,
        )

    @property
    def fencing(self) -> int | None:
        """The number to act with, None when this VM may not act."""
        return self._lease.may_order(TICK_S)

    @property
    def renewed(self) -> tuple[int, int] | None:
        """The lease's version and number while this VM holds it."""
        return self._lease.last_renewal

    @property
    def gave_up(self) -> int:
        """The number that this VM handed over lately, 0 for none."""
        recent = self._clock.now() < self._gave_up_until
        return self._gave_up if recent else 0

    def look(
        self, peers: typing.Sequence[vm_records.VmRecord], members: int
    ) -> None:
        """Decide whether to contend, by who is alive.

        A VM that hears less than half of the fleet gives the lease up: it
        would report and order by its own small part of the work.

        :param members: VMs that may be alive, this one included.
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
        if alive != self._alive:
            self._alive = alive
            ranked = rendezvous.rank(self._name, [*alive, self._vm])
            self._contends = self._vm in ranked[:CONTENDERS]
        hears = 2 * (len(peers) + 1) >= members
        wanted = self._lease.held or self._contends
        self._lease.want(hears and wanted and not self.gave_up)

    def leave(self) -> None:
        """Give the lease back, and say so: else others look much later."""
        if self._lease.held:
            self._give_up()
        self._lease.want(False)

    def fenced_off(self, fencing: int) -> None:
        """The platform has seen a higher number than the one just used."""
        self._lease.fencing_rejected(fencing + 1)

    async def step(self) -> None:
        """Make the call to the store that is due, if one is."""
        action = self._lease.tick()
        if action is not None:
            await self._carry_out(action)
        held = self.fencing is not None
        if held != self._held:
            self._held = held
            logs.event(
                "lease_taken" if held else "lease_lost",
                duty=self._name,
                fencing=self.fencing,
            )

    async def _carry_out(self, action: lease_objects.LeaseAction) -> None:
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
            self._failed = 0
        except store.Conflict:
            lease.conflict()
        except store.Unanswered as error:
            lease.ambiguous()
            self._note_failure(error)
        except store.StoreError as error:
            lease.failed()
            self._note_failure(error)

    def _note_failure(self, error: store.StoreError) -> None:
        """Hand the duty over if others can do what this VM can't.

        Else nobody would do it until this holder's time is over and the
        others', who count from when they saw its last renewal: nine seconds.
        """
        logs.event("lease_call_failed", duty=self._name, error=str(error))
        self._failed += 1
        if self._failed < GIVE_UP_AFTER or not self._others_follow:
            return
        if self._lease.held:
            self._give_up()

    def _give_up(self) -> None:
        now = self._clock.now()
        self._gave_up = self._lease.surrender()
        self._gave_up_until = now + GAVE_UP_PART * self._duration_s
        logs.event("lease_handed_over", duty=self._name, fencing=self._gave_up)

    async def _write(
        self, action: lease_objects.WriteLease
    ) -> store.StoredObject:
        self._renewals += 1
        value = {**action.value, RENEWAL: f"{self._vm}.{self._renewals}"}
        if action.expected_version is None:
            return await self._store.create(KIND, self._name, value)
        return await self._store.replace(
            KIND, self._name, value, action.expected_version
        )


def _without_renewal(spec: store.Json) -> store.Json:
    if not isinstance(spec, dict):
        return spec
    return {key: value for key, value in spec.items() if key != RENEWAL}


class CloudBusy(Exception):
    """The call had no effect, or none that is known."""


class Cloud:
    """Calls to the platform's cloud API, under a fencing number.

    :param vm: the holder's name.
    :param may_act: whether this VM may act under a number now.
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
        self._pool = pools.Pool(address.host, address.port)
        #: Calls made so far.
        self.calls = 0

    async def send(self, path: str, body: bytes, fencing: int) -> bool:
        """Send an order or a report.

        :returns: whether it was taken; if not, another holder has acted
            since, or what was ordered is not to be had.
        :raises CloudBusy: when it may be sent again.
        """
        headers = self._dialect.duty_headers(self._vm, fencing)
        request = pools.request_bytes("POST", path, self._host, body, headers)
        self.calls += 1
        try:
            # A connection may take so long to open that the lease is over.
            answer = await pools.call(
                self._pool,
                request,
                CALL_S,
                still=lambda: self._may_act(fencing),
            )
        except (channels.ChannelError, TimeoutError) as error:
            self._pool.close()
            raise CloudBusy(type(error).__name__) from error
        if answer.status == 409:
            return False
        if answer.status >= 400:
            raise CloudBusy(f"status {answer.status}")
        return True
