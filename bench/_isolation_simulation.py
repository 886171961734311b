"""Virtual fleet in which some VMs lose all their runners for a while.

Callers keep lists of addresses and connections; VMs have a processor that
works off its calls in order. Nothing here uses the product's code: the
simulation compares rules of the fleet before they are built.
"""

import heapq
import itertools
import random
import typing

CALLERS_PER_VM = 8
CALLS_PER_S = 0.5
CUT_AT_S = 12.0
CUT_S = 12.0
END_S = 28.0
#: First tries count from this many seconds after the cut.
JUDGED_AFTER_S = 3.0
#: When a VM knows that its cut has begun, and that it has ended, in seconds
#: after the fact.
DETECTION_S = (0.5, 2.0)
END_DETECTION_S = (0.3, 1.0)
#: How long a VM's news takes to the other VMs, in seconds.
NEWS_S = 0.3
LONG_KEPT_SHARE = 0.3
LONG_KEPT_FACTOR = 3.0
MAX_LISTED = 64
CALLS_PER_CONNECTION = 10
RETRY_AFTER_S = 1.0
DEADLINE_S = 3.0
#: Share of the calls sent before the cut is noticed that must not be repeated
#: and were sent on an open connection.
LOST_SHARE = 0.25
RUN_S = 0.3
FAILING_SHARE = 0.01
#: Time in which a VM without runners gives up a call before it knows, in s.
HOPELESS_S = 0.7
HOP_S = {True: 0.001, False: 0.01}
#: Processor cost, in calls that a VM serves by itself.
FORWARD_COST = 0.7
REFUSAL_COST = 0.1
MAX_QUEUE_S = 0.5
#: A helper takes no forwarded call while its own work waits longer than this.
MAX_HELPER_QUEUE_S = 0.15
BACKOFF_FACTOR = 2.0
MAX_BACKOFF_S = 3.2
HELPER_TRIES = 2
CALL_BYTES = 20_000
LOAD_BIN_S = 1.0


class Way:
    """What a fleet does about isolated VMs.

    :param leaves: whether isolated VMs leave the callers' lists.
    :param forwards: whether isolated VMs forward their calls to helpers.
    :param least_listed: share of the VMs below which the isolated ones stay
        on the lists.
    """

    __slots__ = ("leaves", "forwards", "least_listed")

    def __init__(
        self, leaves: bool, forwards: bool, least_listed: float = 0.0
    ) -> None:
        self.leaves = leaves
        self.forwards = forwards
        self.least_listed = least_listed


class Case:
    """One fleet, its cut and its limits.

    :param isolated: what is cut: "one", "half", "data_centre", "all_but_one".
    :param use: share of a VM's processor that its calls normally take.
    :param helper_limit: forwarded calls in progress at one helper.
    :param list_ttl_s: how long most callers keep a list.
    :param backoff_s: how long a VM doesn't ask a helper that has refused
        once; twice as long after each further refusal.
    """

    __slots__ = (
        "vms",
        "data_centres",
        "isolated",
        "use",
        "helper_limit",
        "backoff_s",
        "list_ttl_s",
    )

    def __init__(
        self,
        vms: int,
        data_centres: int,
        isolated: str,
        use: float = 0.1,
        helper_limit: int = 24,
        backoff_s: float = 0.2,
        list_ttl_s: float = 1.0,
    ) -> None:
        self.vms = vms
        self.data_centres = data_centres
        self.isolated = isolated
        self.use = use
        self.helper_limit = helper_limit
        self.backoff_s = backoff_s
        self.list_ttl_s = list_ttl_s

    def data_centre(self, vm: int) -> int:
        """The data centre of a VM."""
        return vm % self.data_centres

    def isolated_vms(self, rng: random.Random) -> list[int]:
        """Draw the VMs that are cut."""
        vms = range(self.vms)
        if self.isolated == "data_centre":
            return [vm for vm in vms if self.data_centre(vm) == 0]
        count = {
            "one": 1,
            "half": self.vms // 2,
            "all_but_one": self.vms - 1,
        }[self.isolated]
        return rng.sample(vms, count)


class Vm:
    """A VM: when it is cut, and what its processor has to do."""

    __slots__ = (
        "data_centre",
        "cut",
        "noticed_at",
        "back_at",
        "busy_until",
        "forwarded_until",
        "work",
        "refused_until",
        "backoffs_s",
    )

    def __init__(self, data_centre: int) -> None:
        self.data_centre = data_centre
        self.cut = False
        self.noticed_at = self.back_at = float("inf")
        self.busy_until = 0.0
        self.forwarded_until: list[float] = []
        #: Work in calls by time bin.
        self.work: dict[int, float] = {}
        #: Helper to the time before which it is not asked again, and how
        #: long that was.
        self.refused_until: dict[int, float] = {}
        self.backoffs_s: dict[int, float] = {}

    def cut_at(self, now: float) -> bool:
        """Whether no runner is reached."""
        return self.cut and CUT_AT_S <= now < CUT_AT_S + CUT_S

    def isolated_at(self, now: float) -> bool:
        """Whether the VM takes itself for isolated."""
        return self.noticed_at <= now < self.back_at

    def known_isolated_at(self, now: float) -> bool:
        """Whether the other VMs know it as isolated."""
        return self.isolated_at(now - NEWS_S)


class Caller:
    """A caller with its list of addresses and its kept connection."""

    __slots__ = ("listed", "kept_s", "list_until", "connected", "calls_left")

    def __init__(self, kept_s: float) -> None:
        self.kept_s = kept_s
        self.listed: list[int] = []
        self.list_until = 0.0
        self.connected: int | None = None
        self.calls_left = 0


class Try:
    """One call of a caller: its first try and, if that fails, one more."""

    __slots__ = ("caller", "began_at", "vm", "sent_at", "is_retry")

    def __init__(
        self, caller: Caller, began_at: float, is_retry: bool
    ) -> None:
        self.caller = caller
        self.began_at = self.sent_at = began_at
        self.is_retry = is_retry
        self.vm = 0


class FirstTry:
    """The outcome of a first try."""

    __slots__ = ("at", "isolated", "served", "delay_s")

    def __init__(
        self, at: float, isolated: bool, served: bool, delay_s: float
    ) -> None:
        self.at = at
        self.isolated = isolated
        self.served = served
        self.delay_s = delay_s


class Fleet:
    """Plays one case with one way and seed."""

    def __init__(self, case: Case, way: Way, seed: int) -> None:
        self._case = case
        self._way = way
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[
            tuple[float, int, typing.Callable[[float, Try], None], Try]
        ] = []
        self._call_s = case.use / (CALLERS_PER_VM * CALLS_PER_S)
        self.vms = [Vm(case.data_centre(vm)) for vm in range(case.vms)]
        for vm in case.isolated_vms(self._rng):
            self._cut(self.vms[vm])
        self.first_tries: list[FirstTry] = []
        #: Seconds from the first try to the response, of calls that were
        #: served by the first or second try, and those that weren't.
        self.delays_s: list[float] = []
        self.unserved = 0
        self.forwarded = 0
        self.helper_refusals = 0
        self.crossings = 0

    def run(self) -> None:
        """Play the case to its end."""
        for _ in range(CALLERS_PER_VM * self._case.vms):
            long_kept = self._rng.random() < LONG_KEPT_SHARE
            factor = LONG_KEPT_FACTOR if long_kept else 1.0
            caller = Caller(self._case.list_ttl_s * factor)
            self._plan_call(0.0, caller)
        while self._events:
            now, _, handle, call = heapq.heappop(self._events)
            handle(now, call)

    def peak_load(self) -> float:
        """Work of the busiest VM in a second, relative to a normal second."""
        normal = CALLERS_PER_VM * CALLS_PER_S * LOAD_BIN_S
        bins = range(int(CUT_AT_S / LOAD_BIN_S), int(END_S / LOAD_BIN_S))
        peak = max(vm.work.get(each, 0.0) for vm in self.vms for each in bins)
        return peak / normal

    def _cut(self, vm: Vm) -> None:
        vm.cut = True
        vm.noticed_at = CUT_AT_S + self._rng.uniform(*DETECTION_S)
        vm.back_at = CUT_AT_S + CUT_S + self._rng.uniform(*END_DETECTION_S)

    def _plan(
        self,
        at: float,
        handle: typing.Callable[[float, Try], None],
        call: Try,
    ) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), handle, call))

    def _plan_call(self, now: float, caller: Caller) -> None:
        at = now + self._rng.expovariate(CALLS_PER_S)
        if at < END_S:
            self._plan(at, self._begin, Try(caller, at, False))

    def _begin(self, now: float, call: Try) -> None:
        self._plan_call(now, call.caller)
        self._send(now, call)

    def _send(self, now: float, call: Try) -> None:
        call.sent_at = now
        call.vm = self._connect(now, call.caller)
        vm = self.vms[call.vm]
        if vm.busy_until - now > MAX_QUEUE_S:
            self._work(now, vm, REFUSAL_COST)
            self._fail(now, call)
        elif vm.isolated_at(now):
            self._at_isolated(now, call, vm)
        elif vm.cut_at(now):
            self._at_unaware(now, call, vm)
        else:
            queued_s = self._work(now, vm, 1.0)
            self._run_at_runner(now + queued_s, call)

    def _at_isolated(self, now: float, call: Try, vm: Vm) -> None:
        if self._way.forwards:
            self._forward(now, call)
        else:
            self._work(now, vm, REFUSAL_COST)
            self._fail(now, call)

    def _at_unaware(self, now: float, call: Try, vm: Vm) -> None:
        """A VM that is cut and doesn't know it yet."""
        self._work(now, vm, 1.0)
        if not self._way.forwards:
            self._fail(now + HOPELESS_S, call)
        elif self._rng.random() < LOST_SHARE:
            self._fail(call.sent_at + DEADLINE_S, call)
        else:
            self._plan(max(now, vm.noticed_at), self._forward, call)

    def _connect(self, now: float, caller: Caller) -> int:
        if now >= caller.list_until:
            caller.listed = self._lookup(now)
            caller.list_until = now + caller.kept_s
            if caller.connected not in caller.listed:
                caller.connected = None
        if caller.connected is None or not caller.calls_left:
            caller.connected = self._rng.choice(caller.listed)
            caller.calls_left = 1 + int(
                self._rng.expovariate(1.0 / CALLS_PER_CONNECTION)
            )
        caller.calls_left -= 1
        return caller.connected

    def _lookup(self, now: float) -> list[int]:
        everybody = list(range(len(self.vms)))
        listed = [
            vm for vm in everybody if not self.vms[vm].known_isolated_at(now)
        ]
        least = max(1.0, self._way.least_listed * len(everybody))
        if not self._way.leaves or len(listed) < least:
            listed = everybody
        return self._rng.sample(listed, min(MAX_LISTED, len(listed)))

    def _work(self, now: float, vm: Vm, calls: float) -> float:
        """Use the VM's processor; returns the time until it is done."""
        bin_ = int(now / LOAD_BIN_S)
        vm.work[bin_] = vm.work.get(bin_, 0.0) + calls
        vm.busy_until = max(vm.busy_until, now) + calls * self._call_s
        return vm.busy_until - now

    def _forward(self, now: float, call: Try) -> None:
        vm = self.vms[call.vm]
        for _ in range(HELPER_TRIES):
            helper = self._choose_helper(now, vm)
            if helper is None:
                break
            other = self.vms[helper]
            now += HOP_S[other.data_centre == vm.data_centre]
            if other.data_centre != vm.data_centre:
                self.crossings += 1
            if other.cut_at(now) and not other.isolated_at(now):
                self._plan(other.noticed_at, self._forward_again, call)
                return
            if self._takes(now, other):
                self.forwarded += 1
                vm.backoffs_s.pop(helper, None)
                self._work(now, vm, FORWARD_COST)
                queued_s = self._work(now, other, 1.0)
                until = self._run_at_runner(now + queued_s, call)
                heapq.heappush(other.forwarded_until, until)
                return
            self.helper_refusals += 1
            self._work(now, other, REFUSAL_COST)
            self._back_off(now, vm, helper)
        self._work(now, vm, REFUSAL_COST)
        self._fail(now, call)

    def _forward_again(self, now: float, call: Try) -> None:
        """The helper has found itself isolated; it has run nothing."""
        if now - call.sent_at < DEADLINE_S:
            self._forward(now, call)
        else:
            self._fail(call.sent_at + DEADLINE_S, call)

    def _choose_helper(self, now: float, vm: Vm) -> int | None:
        helpers = [
            number
            for number, other in enumerate(self.vms)
            if other is not vm
            and not other.known_isolated_at(now)
            and vm.refused_until.get(number, 0.0) <= now
        ]
        near = [
            number
            for number in helpers
            if self.vms[number].data_centre == vm.data_centre
        ]
        return self._rng.choice(near or helpers) if helpers else None

    def _back_off(self, now: float, vm: Vm, helper: int) -> None:
        backoff_s = vm.backoffs_s.get(helper, self._case.backoff_s)
        vm.refused_until[helper] = now + backoff_s
        vm.backoffs_s[helper] = min(MAX_BACKOFF_S, BACKOFF_FACTOR * backoff_s)

    def _takes(self, now: float, helper: Vm) -> bool:
        while helper.forwarded_until and helper.forwarded_until[0] <= now:
            heapq.heappop(helper.forwarded_until)
        return (
            not helper.isolated_at(now)
            and len(helper.forwarded_until) < self._case.helper_limit
            and helper.busy_until - now <= MAX_HELPER_QUEUE_S
        )

    def _run_at_runner(self, now: float, call: Try) -> float:
        """Run a call at a runner; returns when that ends."""
        ends_at = now + self._rng.expovariate(1.0 / RUN_S)
        if self._rng.random() < FAILING_SHARE:
            self._fail(ends_at, call)
        else:
            self._end(ends_at, call, True)
        return ends_at

    def _fail(self, at: float, call: Try) -> None:
        self._end(at, call, False)

    def _end(self, at: float, call: Try, served: bool) -> None:
        delay_s = at - call.began_at
        if not call.is_retry:
            isolated = self.vms[call.vm].cut
            self.first_tries.append(
                FirstTry(call.began_at, isolated, served, delay_s)
            )
            if not served:
                again = Try(call.caller, call.began_at, True)
                back_s = RETRY_AFTER_S * self._rng.uniform(1.0, 1.3)
                self._plan(at + back_s, self._send, again)
                return
        if not CUT_AT_S <= call.began_at < CUT_AT_S + CUT_S:
            return
        if served:
            self.delays_s.append(delay_s)
        else:
            self.unserved += 1
