"""Finds a runner that takes the call of an attempt by its own word.

Runners that rest get none, and limited and fragile ones only as many as they
take (:mod:`.runner_limits`, :mod:`.fragile_runners`). For a
service whose slots are leased (:mod:`.slot_keepers`), the keeper is asked
first which runner has a free one.
"""

import asyncio
import typing

from .. import logs
from ..runners import model as models

from . import configuration_model
from . import fragile_runners
from . import messages
from . import runner_limits
from . import runners
from . import service_priorities
from . import slot_leases
from . import upstreams

#: ``Retry-After`` of a call that no runner has taken, in seconds, if there are
#: runners that may take it.
NO_RUNNER_RETRY_AFTER_S = 0.4
#: Part of the route's objective for which a call waits for a runner's rest to
#: end or for room at a limited runner, if no other runner can take it.
ROOM_WAIT_OBJECTIVE_SHARE = 0.25


#: The reason why a stream ends that has no runner of its version left.
VERSION_GONE = "version_gone"


class NoPlace(Exception):
    """No runner can take the call now.

    :param reason: why, for the log and the metrics.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Placement:
    """The runner of an attempt.

    :param query: describes the call for the router.
    :param room: what was taken of the runner's room for the call.
    """

    __slots__ = (
        "runner",
        "query",
        "room",
        "level",
        "slot",
        "rejected",
        "lacked_room",
    )

    def __init__(
        self,
        runner: runners.Runner,
        query: models.Query,
        room: "Room",
    ) -> None:
        self.runner = runner
        self.query = query
        self.room = room
        #: The call's level in the engine's queue; None without a prompt.
        self.level: service_priorities.QueueLevel | None = None
        #: The lease of a slot at a plain service's runner, if there is one.
        self.slot: slot_leases.SlotLease | None = None
        #: Whether the runner did not take the call.
        self.rejected = False
        #: Whether it did not for want of room.
        self.lacked_room = False


class Room:
    """The room for one call at a runner that may be limited or fragile.

    :param limit: the permit under its limit.
    :param fragile: the permit of its keeper, if it is fragile.
    """

    __slots__ = ("limit", "fragile")

    def __init__(
        self,
        limit: runner_limits.Permit,
        fragile: fragile_runners.FragilePermit,
    ) -> None:
        self.limit = limit
        self.fragile = fragile


class CallPlacement:
    """Finds runners for the attempts of one call.

    :param service: the service whose runners may run the call.
    :param customer: None for a call without one.
    """

    __slots__ = (
        "_call",
        "_customer",
        "_limits",
        "_origin",
        "_route",
        "_service",
        "_slot_call",
        "_statements",
        "_upstreams",
    )

    def __init__(
        self,
        upstreams_: upstreams.Upstreams,
        call: messages.CallerCall,
        route: configuration_model.Route,
        service: str,
        customer: configuration_model.Customer | None = None,
    ) -> None:
        self._upstreams = upstreams_
        self._limits = upstreams_.runner_limits
        self._statements = upstreams_.statements
        self._call = call
        self._customer = customer
        self._route = route
        self._service = service
        self._slot_call = slot_leases.SlotCall(call.request_id, service, route)
        #: Of the stream that the call continues; None while it has no part of
        #: a response.
        self._origin: models.StreamOrigin | None = None

    def continue_at(self, origin: models.StreamOrigin) -> None:
        """Place the next attempts where a stream goes on that has begun."""
        self._origin = origin
        if origin.service != self._service:
            self._service = origin.service
            self._slot_call = slot_leases.SlotCall(
                self._call.request_id, origin.service, self._route
            )

    def has_untried(self, tried: typing.Collection[str]) -> bool:
        """Whether there are runners for the call besides those tried."""
        return any(
            runner.runner_id not in tried for runner in self._available()
        )

    def _available(self) -> list[runners.Runner]:
        return self._upstreams.selection.available(self._service, self._origin)

    async def place(self, tried: frozenset[str], left_s: float) -> Placement:
        """Choose a runner, take room there and determine the level there.

        :param tried: runners that the call has already been sent to.
        :param left_s: seconds until the call's deadline.
        :raises NoPlace: if no runner can take the call now.
        """
        slots = self._upstreams.slots
        slot = await self._ask_for_slot(tried, left_s)
        try:
            placement = await self._find(
                tried, left_s, slot.runner if slot is not None else ""
            )
        except BaseException:
            slots.release(slot)
            raise
        slots.settle(slot, placement.runner.runner_id)
        placement.slot = slot
        placement.level = level = self._queue_level()
        placement.query.priority = level.level if level is not None else 0
        return placement

    def _queue_level(self) -> service_priorities.QueueLevel | None:
        prompt = self._call.prompt
        if prompt is None:
            return None
        level = self._upstreams.priorities.level(
            self._service, self._route, self._customer, prompt.tokens_in
        )
        if self._origin is None:
            return level
        return service_priorities.continued_level(self._customer, level)

    async def _ask_for_slot(
        self, tried: frozenset[str], left_s: float
    ) -> slot_leases.SlotLease | None:
        """Ask for a slot, unless no runner might use one for the call."""
        slots = self._upstreams.slots
        if not slots.grants_slots_of(self._service):
            return None
        excluded = tried | self._upstreams.selection.avoided(self._service)
        if not self.has_untried(excluded):
            return None
        return await slots.ask(self._slot_call, excluded, left_s)

    async def _find(
        self, tried: frozenset[str], left_s: float, granted: str
    ) -> Placement:
        """Find a runner that has room for the call.

        :param granted: the runner that the keeper of the service's slots has
            granted; "" for none.
        :raises NoPlace: if no runner can take the call now.
        """
        full: frozenset[str] = frozenset()
        while True:
            query = self._upstreams.query(
                self._call, self._route, self._service, tried, self._origin
            )
            runner = None
            if granted:
                runner = self._upstreams.selection.granted(query, granted)
                granted = ""
            if runner is None:
                runner = self._upstreams.selection.choose(query, full)
            if runner is None:
                return await self._wait_for_room(query, tried, left_s)
            room = await self._take_room(runner.runner_id, left_s)
            if room is not None:
                return Placement(runner, query, room)
            self._log_passed_over(runner)
            full |= {runner.runner_id}

    async def _take_room(
        self, runner: str, left_s: float, patience_s: float = 0.0
    ) -> Room | None:
        """Take room for the call at a runner.

        The keeper of a fragile one is asked last, as it counts the call as
        sent from then on.

        :param patience_s: how long the call can wait for its turn.
        :returns: None if there is no room.
        """
        permit = await self._limits.admit(runner, patience_s)
        if permit is None:
            return None
        try:
            if permit.wait_s:
                await asyncio.sleep(permit.wait_s)
            fragile = await self._limits.fragile.admit(runner, left_s)
        except asyncio.CancelledError:
            self._limits.refund(permit)
            raise
        if fragile is None:
            self._limits.refund(permit)
            return None
        return Room(permit, fragile)

    def refund(self, placement: Placement) -> None:
        """Give back the room of an attempt whose call was not sent."""
        self._refund(placement.room)

    def _refund(self, room: Room) -> None:
        self._limits.refund(room.limit)
        self._limits.fragile.end(room.fragile)

    def end(self, placement: Placement) -> None:
        """Give back the slot of an attempt that has ended."""
        self._limits.fragile.end(placement.room.fragile, placement.lacked_room)
        self._upstreams.slots.release(placement.slot, placement.rejected)

    def retry_after_s(self) -> float:
        """When a caller whose call no runner took should return, in seconds.

        A runner that is free for other calls may take it then, too; else the
        time is that of the first one to be available.
        """
        waits = self._waits(frozenset())
        if None in waits.values():
            return NO_RUNNER_RETRY_AFTER_S
        known = [wait_s for wait_s in waits.values() if wait_s is not None]
        if not known:
            return NO_RUNNER_RETRY_AFTER_S
        return self._limits.retry_after_s(self._service, waits, min(known))

    def _waits(self, tried: frozenset[str]) -> dict[str, float | None]:
        """Seconds until each runner of the service may take a call.

        The value is None for a runner that says nothing of the kind; those
        that leave are left out.
        """
        excluded = tried | self._statements.leavings.names
        return {
            runner.runner_id: self._statements.wait_s(runner.runner_id)
            for runner in self._available()
            if runner.runner_id not in excluded
        }

    async def _wait_for_room(
        self, query: models.Query, tried: frozenset[str], left_s: float
    ) -> Placement:
        """Wait for the first runner that takes a call soon.

        :raises NoPlace: if none does.
        """
        waits = {
            runner: wait_s
            for runner, wait_s in self._waits(tried).items()
            if wait_s is not None
        }
        if not waits:
            raise NoPlace(self._lack)
        patience_s = min(
            left_s, ROOM_WAIT_OBJECTIVE_SHARE * self._route.objective_s
        )
        name = min(waits, key=lambda runner: waits[runner])
        if waits[name] <= patience_s:
            placement = await self._take_turn(name, query, left_s, patience_s)
            if placement is not None:
                return placement
        logs.event(
            "runners_unavailable",
            request=self._call.request_id,
            service=self._service,
            passed_over=self._passed_over(),
        )
        raise NoPlace("runners_unavailable")

    @property
    def _lack(self) -> str:
        """Why there is no runner for the call."""
        if self._origin is not None and not self._available():
            return VERSION_GONE
        return "no_runner"

    async def _take_turn(
        self,
        name: str,
        query: models.Query,
        left_s: float,
        patience_s: float,
    ) -> Placement | None:
        """Wait for the end of a runner's rest, and for room there.

        :returns: None if there is no room in time.
        """
        wait_s = max(
            self._statements.rests.left_s.get(name, 0.0),
            self._limits.fragile.local.room_in_s(name),
        )
        await asyncio.sleep(wait_s)
        room = await self._take_room(name, left_s, patience_s - wait_s)
        if room is None:
            return None
        runner = self._upstreams.directory.get(name)
        if runner is None or runner.leaving:
            self._refund(room)
            return None
        return Placement(runner, query, room)

    def log_chosen(
        self,
        placement: Placement,
        parameters: messages.RunnerCallParameters,
        attempt: int,
    ) -> None:
        """Log the runner of an attempt, and why others were passed over.

        :param parameters: what the runner is told.
        :param attempt: number of the attempt, from 1 on.
        """
        runner = placement.runner
        level_cause = placement.level.cause if placement.level else None
        limit = self._limits.stated.reading(runner.runner_id)
        logs.event(
            "request_routed",
            request=self._call.request_id,
            service=self._service,
            runner=runner.runner_id,
            version=runner.version or None,
            resume_after=parameters.resume_after,
            resumes=self._call.resumes or None,
            in_flight=self._upstreams.in_flight.get(runner.runner_id, 0),
            revision=runner.revision,
            copy_from=parameters.copy_from,
            left_s=parameters.remaining_s,
            attempt=attempt,
            queue_level=parameters.priority if level_cause else None,
            level_cause=level_cause,
            limit_per_s=limit.limit_per_s if limit else None,
            limit_source=(limit.source or None) if limit else None,
            passed_over=self._passed_over() or None,
            slot_keeper=(
                placement.slot.keeper if placement.slot is not None else None
            ),
        )

    def _passed_over(self) -> str:
        """The service's runners that take no call now, with the causes."""
        causes = self._statements.causes(
            runner.runner_id for runner in self._available()
        )
        return ",".join(f"{name}={cause}" for name, cause in causes.items())

    def _log_passed_over(self, runner: runners.Runner) -> None:
        name = runner.runner_id
        fragile = self._limits.fragile.local
        keeper = fragile.keeper
        is_fragile = name in fragile.full_runners
        stated = fragile.stated if is_fragile else self._limits.stated
        reading = stated.reading(name)
        value = reading.limit_per_s if reading else None
        # Only the runner's keeper knows what is counted of it.
        is_counted = is_fragile and keeper.room(name) is not None
        logs.event(
            "runner_passed_over",
            request=self._call.request_id,
            runner=name,
            cause="fragile" if is_fragile else "limit",
            limit_per_s=None if is_fragile else value,
            rejections_per_s=value if is_fragile else None,
            age_s=stated.age_s(name),
            source=(reading.source or None) if reading else None,
            room_in_s=(fragile if is_fragile else self._limits).room_in_s(
                name
            ),
            running=keeper.running(name) if is_counted else None,
            room=keeper.room(name) if is_counted else None,
            rejections=(
                self._limits.fragile.heard_rejections.get(name, 0)
                if is_counted
                else None
            ),
        )
