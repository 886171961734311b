"""Finds a runner for an attempt, and room there if the runner is limited."""

import asyncio

from .. import logs
from ..runners import model as models

from . import configuration_model
from . import messages
from . import runner_limits
from . import runners
from . import upstreams

#: Part of the route's objective for which a call waits for room at a limited
#: runner if no other runner can take it.
ROOM_WAIT_OBJECTIVE_SHARE = 0.25


class NoPlace(Exception):
    """No runner can take the call now.

    :param reason: why, for the log and the metrics.
    :param retry_after_s: when one may have room, in seconds; None if unknown.
    """

    def __init__(
        self, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class Placement:
    """The runner of an attempt.

    :param query: describes the call for the router.
    :param permit: the room at a limited runner.
    """

    __slots__ = ("runner", "query", "permit")

    def __init__(
        self,
        runner: runners.Runner,
        query: models.Query,
        permit: runner_limits.Permit,
    ) -> None:
        self.runner = runner
        self.query = query
        self.permit = permit


class CallPlacement:
    """Finds runners for the attempts of one call.

    :param service: the service whose runners may run the call.
    """

    __slots__ = ("_call", "_limits", "_route", "_service", "_upstreams")

    def __init__(
        self,
        upstreams_: upstreams.Upstreams,
        call: messages.CallerCall,
        route: configuration_model.Route,
        service: str,
    ) -> None:
        self._upstreams = upstreams_
        self._limits = upstreams_.runner_limits
        self._call = call
        self._route = route
        self._service = service

    async def place(self, tried: frozenset[str], left_s: float) -> Placement:
        """Choose a runner and take room there.

        :param tried: runners that the call has already been sent to.
        :param left_s: seconds until the call's deadline.
        :raises NoPlace: if no runner can take the call now.
        """
        full: frozenset[str] = frozenset()
        while True:
            query = self._upstreams.query(
                self._call, self._route, self._service, tried
            )
            runner = self._upstreams.choose(query, full)
            if runner is None:
                return await self._wait_for_room(query, tried, left_s)
            permit = await self._limits.admit(runner.runner_id)
            if permit is not None:
                return Placement(runner, query, permit)
            self._log_passed_over(runner)
            full |= {runner.runner_id}

    def refund(self, placement: Placement) -> None:
        """Give back the room of an attempt whose call was not sent."""
        self._limits.refund(placement.permit)

    async def _wait_for_room(
        self, query: models.Query, tried: frozenset[str], left_s: float
    ) -> Placement:
        """Wait for the first limited runner that has room soon.

        :raises NoPlace: if none has, with the time at which one may have.
        """
        limited = [
            runner.runner_id
            for runner in self._upstreams.directory.available_runners(
                self._service
            )
            if runner.runner_id not in tried
        ]
        patience_s = min(
            left_s, ROOM_WAIT_OBJECTIVE_SHARE * self._route.objective_s
        )
        soonest = self._limits.soonest_room(limited)
        if soonest is None:
            raise NoPlace("no_runner")
        name, room_in_s = soonest
        if room_in_s <= patience_s:
            permit = await self._limits.admit(name, patience_s)
            if permit is not None:
                return await self._wait_for_turn(permit, query)
            _, room_in_s = self._limits.soonest_room(limited) or soonest
        raise NoPlace(
            "runners_limited",
            self._limits.retry_after_s(self._service, limited, room_in_s),
        )

    async def _wait_for_turn(
        self, permit: runner_limits.Permit, query: models.Query
    ) -> Placement:
        try:
            await asyncio.sleep(permit.wait_s)
        except asyncio.CancelledError:
            self._limits.refund(permit)
            raise
        runner = self._upstreams.directory.get(permit.runner)
        if runner is None or runner.leaving:
            self._limits.refund(permit)
            raise NoPlace("no_runner")
        return Placement(runner, query, permit)

    def _log_passed_over(self, runner: runners.Runner) -> None:
        name = runner.runner_id
        reading = self._limits.stated.reading(name)
        logs.event(
            "runner_passed_over",
            request=self._call.request_id,
            runner=name,
            cause="limit",
            limit_per_s=reading.limit_per_s if reading else None,
            age_s=self._limits.stated.age_s(name),
            source=(reading.source or None) if reading else None,
            room_in_s=self._limits.room_in_s(name),
        )
