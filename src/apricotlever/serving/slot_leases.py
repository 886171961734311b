"""Calls that ask for the slots of plain services, and what they got."""

import asyncio
import typing

from .. import clock as clocks
from ..runners import slot_requests

from . import configuration_model
from . import limit_protocol
from . import runner_choice
from . import runners
from . import slot_protocol as protocols

#: Part of its route's objective for which a call waits for a slot, over all
#: of its attempts.
WAIT_OBJECTIVE_SHARE = 0.125


class SlotCall:
    """A call that asks for slots, over all of its attempts.

    :param request: the call's name in the log.
    :param route: the call's route.
    """

    __slots__ = ("request", "service", "route", "wait_left_s")

    def __init__(
        self, request: str, service: str, route: configuration_model.Route
    ) -> None:
        self.request = request
        self.service = service
        self.route = route
        #: How much longer the call may wait for a slot, in seconds.
        self.wait_left_s = WAIT_OBJECTIVE_SHARE * route.objective_s


class SlotLease:
    """The lease of a slot, or the request for one.

    :param call: the call that it is for.
    :param number: identifies the call among those of this VM's process.
    :param keeper: the VM that was asked.
    :param address: the keeper's address; None if the keeper is this VM.
    :param asked_at: when it was asked, by the VM's clock.
    :param left_s: seconds until the call ends at the latest.
    :param is_observed: whether the grant is only counted.
    """

    __slots__ = (
        "call",
        "number",
        "keeper",
        "address",
        "asked_at",
        "ends_at",
        "is_observed",
        "runner",
        "answer",
        "_decided",
    )

    def __init__(
        self,
        call: SlotCall,
        number: int,
        keeper: str,
        address: limit_protocol.Address | None,
        asked_at: float,
        left_s: float,
        is_observed: bool,
    ) -> None:
        self.call = call
        self.number = number
        self.keeper = keeper
        self.address = address
        self.asked_at = asked_at
        self.ends_at = asked_at + left_s
        self.is_observed = is_observed
        #: The runner whose slot is used; "" before a grant or a choice.
        self.runner = ""
        #: The keeper's last answer; None before the first one.
        self.answer: protocols.Answer | None = None
        #: The end of a wait for an answer; None while nothing waits.
        self._decided: asyncio.Future[None] | None = None

    def apply(self, answer: protocols.Answer, runner: str) -> bool:
        """Apply an answer of the keeper, and end the wait for it.

        :param runner: the granted runner, else "".
        :returns: whether it differs from the answer before.
        """
        if answer is self.answer:
            # The message was duplicated on its way.
            return False
        self.answer = answer
        if self.is_observed:
            return True
        if answer is protocols.Answer.GRANTED and not self.runner:
            self.runner = runner
        self._stop_waiting()
        return True

    async def wait(self, clock: clocks.Clock, wait_s: float) -> None:
        """Wait for the keeper's answer, and for a slot if none is free.

        :param wait_s: how long the call can wait for a slot.
        """
        if self.answer is None:
            objective_s = self.call.route.objective_s
            await self._wait(
                min(
                    limit_protocol.ANSWER_TIMEOUT_S,
                    WAIT_OBJECTIVE_SHARE * objective_s,
                )
            )
        if self.answer is protocols.Answer.WAITING:
            await self._wait(wait_s - (clock.now() - self.asked_at))

    async def _wait(self, seconds: float) -> None:
        if seconds <= 0.0:
            return
        loop = asyncio.get_running_loop()
        self._decided = loop.create_future()
        timer = loop.call_later(seconds, self._stop_waiting)
        try:
            await self._decided
        finally:
            timer.cancel()
            self._decided = None

    def _stop_waiting(self) -> None:
        if self._decided is not None and not self._decided.done():
            self._decided.set_result(None)


def plain_slots(
    listed: typing.Iterable[runners.Runner],
    configuration: configuration_model.Configuration,
    choice: runner_choice.RunnerChoice,
) -> list[slot_requests.Slots]:
    """The slots of the runners of services without an engine.

    Services are left out during a roll-out, in which each call is sent to one
    of two versions, and services of which a runner's slots are not known.
    """
    slots = []
    left_out = set()
    for runner in listed:
        service = configuration.services.get(runner.service)
        if service is None or service.engine is not None or runner.leaving:
            continue
        if not runner.concurrency or not choice.takes_regular_calls(runner):
            left_out.add(runner.service)
        slots.append(
            slot_requests.Slots(
                runner.runner_id,
                runner.service,
                runner.concurrency,
                runner.data_centre,
            )
        )
    return [each for each in slots if each.service not in left_out]
