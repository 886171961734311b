"""Grants the slots of a service's runners to the calls of all VMs.

A slot is room for one call at a runner. A lease is the use of a slot by one
call, identified by the process of the VM that sends the call and by a number
that is unique there. The keeper of a service, the VM that all others ask,
records all leases, so it knows which runner has a free slot, while load
figures from status records are older than a short call lasts.
"""

import heapq
import itertools
import typing

from .. import clock as clocks

from . import slot_requests

#: Seconds for which a runner counts as full that has rejected a call although
#: the ledger shows a free slot. Calls that the ledger does not know occupy the
#: slot; by then a short one has ended.
REJECTED_S = 0.05
#: Seconds for which a new keeper counts the calls in flight that status
#: records report. Two reports of each VM arrive in this time, and the calls
#: that another keeper placed before mostly end.
TAKEOVER_S = 1.0
#: Part by which runners in the asking VM's data centre are preferred. Learned
#: speeds of equal runners differ by about as much.
LOCAL_PREFERENCE = 0.1
#: Upper limit of the runners that are compared for one call, which bounds the
#: time of a decision. Runners with free slots take turns in being compared.
MAX_COMPARED = 32
#: Upper limit of the calls that wait for a slot of one service.
MAX_WAITING = 256
#: Number of waiting calls that are passed over for a free slot, as they
#: exclude its runner, before the slot stays free until the next event.
MAX_PASSED_OVER = 8


class _Runner:
    """A runner with the number of its slots in use.

    :param slots: None once the runner is no longer listed.
    """

    __slots__ = ("slots", "used", "full_until")

    def __init__(self, slots: slot_requests.Slots) -> None:
        self.slots: slot_requests.Slots | None = slots
        self.used = 0
        self.full_until = float("-inf")


class _Call:
    """A call that has a lease or waits for one.

    :param wait_until: until when it waits.
    """

    __slots__ = (
        "process",
        "number",
        "request",
        "wait_until",
        "runner",
        "ended",
    )

    def __init__(
        self,
        process: str,
        number: int,
        request: slot_requests.Request,
        wait_until: float,
    ) -> None:
        self.process = process
        self.number = number
        self.request = request
        self.wait_until = wait_until
        self.runner: _Runner | None = None
        self.ended = False


class _Service:
    """The runners of a service that have free slots, and waiting calls.

    :param free: runners with a free slot; the one granted last is the last.
    :param waiting: a heap of rank, order of arrival and call.
    :param asked_at: when this keeper was last asked.
    :param reported_until: until when the reported calls count.
    """

    __slots__ = ("free", "waiting", "asked_at", "reported_until")

    def __init__(self) -> None:
        self.free: dict[_Runner, None] = {}
        self.waiting: list[tuple[int, int, _Call]] = []
        self.asked_at = float("-inf")
        self.reported_until = float("-inf")


class SlotLedger:
    """The leases that one VM has granted as a keeper.

    A lease ends when it is released, when its call must have ended, or when
    the process that holds it is no longer a member of the fleet.

    :param slowness: how slow a runner is relative to the others of its
        service; 1.0 is the median.
    :param reported: the number of calls in flight at a runner, as all VMs
        report it in their status records.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_expiries",
        "_grants",
        "_order",
        "_reported",
        "_runners",
        "_services",
        "_slowness",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        slowness: typing.Callable[[str], float] = lambda runner: 1.0,
        reported: typing.Callable[[str], int] = lambda runner: 0,
    ) -> None:
        self._clock = clock
        self._slowness = slowness
        self._reported = reported
        self._runners: dict[str, _Runner] = {}
        self._services: dict[str, _Service] = {}
        #: The calls by process and number.
        self._calls: dict[str, dict[int, _Call]] = {}
        #: A heap of when each call ends at the latest, and the call.
        self._expiries: list[tuple[float, int, _Call]] = []
        self._order = itertools.count()
        #: Grants to waiting calls that have not been taken yet.
        self._grants: list[slot_requests.Grant] = []

    def in_use(self, runner: str) -> int:
        """The number of leases at a runner."""
        known = self._runners.get(runner)
        return known.used if known else 0

    @property
    def call_count(self) -> int:
        """The number of calls that have a lease or wait for one."""
        return sum(len(calls) for calls in self._calls.values())

    def set_runners(
        self, listed: typing.Iterable[slot_requests.Slots]
    ) -> None:
        """Set the runners whose slots may be granted.

        Leases at other runners end as usual.
        """
        now = self._clock.now()
        slots_by_runner = {slots.runner: slots for slots in listed}
        for name, runner in list(self._runners.items()):
            if name in slots_by_runner:
                continue
            self._take_from_free(runner)
            runner.slots = None
            if not runner.used:
                del self._runners[name]
        for name, slots in slots_by_runner.items():
            runner = self._runners.setdefault(name, _Runner(slots))
            self._take_from_free(runner)
            runner.slots = slots
            self._services.setdefault(slots.service, _Service())
            self._update_free(runner)
        services = {slots.service for slots in slots_by_runner.values()}
        for name in [n for n in self._services if n not in services]:
            del self._services[name]
        for service in self._services.values():
            self._serve_waiting(service, now)

    def keep_processes(self, processes: typing.Container[str]) -> None:
        """End the leases of processes that are no longer members."""
        for process in [p for p in self._calls if p not in processes]:
            for call in list(self._calls[process].values()):
                self._end(call)
        self._expire(self._clock.now())

    def ask(
        self,
        process: str,
        number: int,
        request: slot_requests.Request,
        held: typing.Container[int] | None = None,
        in_place: bool = False,
    ) -> tuple[str | None, bool]:
        """Ask for a slot for a call.

        :param process: the asking VM's process.
        :param number: identifies the call there; later ones are greater.
        :param held: the calls of the process that have not ended, from which
            follows which releases were lost; None if unknown.
        :param in_place: whether this VM is asked in place of the keeper.
        :returns: the granted runner or None, and whether the call waits.
        """
        now = self._clock.now()
        if held is not None:
            for call in list(self._calls.get(process, {}).values()):
                if call.number < number and call.number not in held:
                    self._end(call)
        self._expire(now)
        service = self._services.get(request.service)
        if service is None:
            return None, False
        if in_place or now - service.asked_at > TAKEOVER_S:
            service.reported_until = now + TAKEOVER_S
        service.asked_at = now
        known = self._calls.get(process, {}).get(number)
        if known is not None:
            # The message was duplicated on its way.
            return _runner_name(known), known.runner is None
        call = _Call(process, number, request, now + request.wait_s)
        self._serve_waiting(service, now)
        runner = self._choose(service, request, now)
        if runner is not None:
            self._add(call, now)
            self._assign(call, runner)
            return _runner_name(call), False
        if len(service.waiting) >= MAX_WAITING:
            # Calls that have given up stay in the heap until a slot is free.
            service.waiting = [
                entry
                for entry in service.waiting
                if not entry[-1].ended and entry[-1].wait_until >= now
            ]
            heapq.heapify(service.waiting)
        if not request.wait_s or len(service.waiting) >= MAX_WAITING:
            return None, False
        self._add(call, now)
        heapq.heappush(
            service.waiting, (request.rank, next(self._order), call)
        )
        return None, True

    def release(
        self, process: str, number: int, rejected: bool = False
    ) -> None:
        """End a call's lease, or its wait for one.

        :param rejected: whether the runner rejected the call.
        """
        call = self._calls.get(process, {}).get(number)
        if call is None:
            return
        runner = call.runner
        if rejected and runner is not None and runner.slots is not None:
            if runner.used <= runner.slots.count:
                runner.full_until = self._clock.now() + REJECTED_S
        self._end(call)
        self._expire(self._clock.now())

    def move(
        self, process: str, number: int, runner: str, lease_s: float
    ) -> None:
        """Record which runner a VM has chosen itself for a call.

        The call occupies a slot there, or waits for one at the runner.

        :param lease_s: seconds until the call ends at the latest.
        """
        call = self._calls.get(process, {}).get(number)
        if call is not None:
            self._end(call)
        now = self._clock.now()
        target = self._runners.get(runner)
        if target is not None and target.slots is not None:
            request = slot_requests.Request(
                target.slots.service, (), "", 0, 0.0, lease_s
            )
            call = _Call(process, number, request, now)
            self._add(call, now)
            self._assign(call, target)
        self._expire(now)

    def take_grants(self) -> list[slot_requests.Grant]:
        """Return the grants to waiting calls since the last time."""
        grants, self._grants = self._grants, []
        return grants

    def _add(self, call: _Call, now: float) -> None:
        self._calls.setdefault(call.process, {})[call.number] = call
        heapq.heappush(
            self._expiries,
            (now + call.request.lease_s, next(self._order), call),
        )

    def _assign(self, call: _Call, runner: _Runner) -> None:
        call.runner = runner
        runner.used += 1
        self._take_from_free(runner)
        self._update_free(runner)

    def _end(self, call: _Call) -> None:
        """End a call, and grant its slot to a waiting one."""
        call.ended = True
        calls = self._calls[call.process]
        del calls[call.number]
        if not calls:
            del self._calls[call.process]
        runner = call.runner
        if runner is None:
            return
        runner.used -= 1
        if runner.slots is None:
            if not runner.used:
                self._forget_unlisted(runner)
            return
        self._update_free(runner)
        service = self._services[runner.slots.service]
        if service.waiting:
            self._serve_waiting(service, self._clock.now())

    def _forget_unlisted(self, runner: _Runner) -> None:
        for name, known in self._runners.items():
            if known is runner:
                del self._runners[name]
                return

    def _expire(self, now: float) -> None:
        """End the calls that must have ended."""
        while self._expiries and self._expiries[0][0] <= now:
            call = heapq.heappop(self._expiries)[-1]
            if not call.ended:
                self._end(call)

    def _choose(
        self, service: _Service, request: slot_requests.Request, now: float
    ) -> _Runner | None:
        """The runner with the most free slots in proportion to its speed."""
        counts_reported = now < service.reported_until
        best, best_score = None, 0.0
        for runner in itertools.islice(service.free, MAX_COMPARED):
            slots = runner.slots
            if slots is None or runner.full_until > now:
                continue
            if slots.runner in request.excluded:
                continue
            used = runner.used
            if counts_reported:
                # Reports soon include this keeper's leases as well, so the
                # two are not added up.
                used = max(used, self._reported(slots.runner))
            score = (slots.count - used) / self._slowness(slots.runner)
            if slots.data_centre == request.data_centre:
                score *= 1.0 + LOCAL_PREFERENCE
            if score > best_score:
                best, best_score = runner, score
        return best

    def _serve_waiting(self, service: _Service, now: float) -> None:
        """Grant free slots to waiting calls, the most urgent first."""
        passed_over = []
        while service.waiting and service.free:
            entry = heapq.heappop(service.waiting)
            call = entry[-1]
            if call.ended or call.wait_until < now:
                continue
            runner = self._choose(service, call.request, now)
            if runner is None:
                passed_over.append(entry)
                if len(passed_over) >= MAX_PASSED_OVER:
                    break
                continue
            self._assign(call, runner)
            assert runner.slots is not None
            self._grants.append(
                slot_requests.Grant(
                    call.process, call.number, runner.slots.runner
                )
            )
        for entry in passed_over:
            heapq.heappush(service.waiting, entry)

    def _take_from_free(self, runner: _Runner) -> None:
        if runner.slots is not None:
            service = self._services.get(runner.slots.service)
            if service is not None:
                service.free.pop(runner, None)

    def _update_free(self, runner: _Runner) -> None:
        """Keep a runner among the free ones of its service, or out."""
        assert runner.slots is not None
        free = self._services[runner.slots.service].free
        if runner.used < runner.slots.count:
            free.setdefault(runner)
        else:
            free.pop(runner, None)


def _runner_name(call: _Call) -> str | None:
    if call.runner is None or call.runner.slots is None:
        return None
    return call.runner.slots.runner
