"""A simulated fleet whose VMs retry whenever they may, or save up for it."""

import random

from apricotlever import clock as clocks
from apricotlever.contracts import retry_allowance
from soak import retry_checks

RATIO = 0.2
WINDOW_S = retry_checks.WINDOW_S
STEP_S = 0.05
DURATION_S = 60.0
SERVICE = "service"
#: Callers' requests a second, for each VM.
REQUESTS_PER_S = 4.0
#: Probability of each event in a step.
EVENT_PROBABILITY = 0.03
#: How long a VM is down or paused, and for how long a process that has begun
#: doesn't know the size of the fleet, in seconds, at most.
MAX_AWAY_S = 3.0
MAX_UNKNOWN_S = 1.0


class _Vm:
    """One VM; its process may be another one later."""

    def __init__(self, name):
        self.name = name
        self.allowance = None
        self.started_at = 0.0
        self.away_until = 0.0
        self.size_known_at = 0.0
        #: Whether it retries only when it is about to end.
        self.saves = False
        self.weight = 1.0
        self.retried_at = []


class RetryFleet:
    """Plays one seed.

    :param count: the number of VMs.
    """

    def __init__(self, count, seed):
        self._rng = random.Random(f"{count} {seed}")
        self._clock = clocks.ManualClock()
        self._min_retries = 40.0 + 2.0 * count
        self._vms = [_Vm(f"vm-{n}") for n in range(count)]
        for vm in self._vms:
            self._start(vm)
        self._sent = []
        self._retried = []
        #: Processes that lived through a window without any retry.
        self.starved = []

    def run(self):
        """Play, and return the window that came closest to the limit."""
        until = self._clock.now() + DURATION_S
        while self._clock.now() < until:
            self._clock.advance(STEP_S)
            self._send_requests()
            if self._rng.random() < EVENT_PROBABILITY:
                self._rng.choice(
                    (self._kill, self._pause, self._move, self._kill_all)
                )()
            for vm in self._vms:
                self._step(vm)
        return retry_checks.worst_window(
            self._sent, self._retried, RATIO, self._min_retries
        )

    def _start(self, vm):
        vm.allowance = retry_allowance.RetryAllowance(
            self._clock, RATIO, self._min_retries, WINDOW_S
        )
        now = vm.started_at = self._clock.now()
        vm.size_known_at = now + self._rng.uniform(0.0, MAX_UNKNOWN_S)
        vm.saves = self._rng.random() < 0.5
        vm.retried_at = [now]

    def _step(self, vm):
        now = self._clock.now()
        if now < vm.away_until:
            return
        if vm.allowance is None:
            self._start(vm)
        if now >= vm.size_known_at:
            vm.allowance.set_fleet_size(len(self._vms))
        if not vm.saves:
            self._spend(vm)
        elif self._rng.random() < 0.002:
            vm.saves = False

    def _spend(self, vm):
        now = self._clock.now()
        while vm.allowance.try_acquire(SERVICE):
            self._retried.append(now)
            vm.retried_at.append(now)
        if now - vm.retried_at[-1] > 1.5 * WINDOW_S and not vm.saves:
            self.starved.append(vm.name)

    def _send_requests(self):
        rate = REQUESTS_PER_S * len(self._vms) * STEP_S
        for _ in range(int(rate + self._rng.random())):
            self._sent.append(self._clock.now())
            vm = self._rng.choices(
                self._vms, [each.weight for each in self._vms]
            )[0]
            if vm.allowance is not None and vm.away_until <= self._clock.now():
                vm.allowance.record_request(SERVICE)

    def _kill(self):
        self._kill_one(self._rng.choice(self._vms))

    def _kill_one(self, vm):
        now = self._clock.now()
        if vm.allowance is None or now < vm.away_until:
            return
        self._spend(vm)
        vm.allowance = None
        vm.away_until = now + self._rng.uniform(0.0, MAX_AWAY_S)

    def _kill_all(self):
        for vm in self._vms:
            self._kill_one(vm)

    def _pause(self):
        vm = self._rng.choice(self._vms)
        vm.away_until = self._clock.now() + self._rng.uniform(0.0, MAX_AWAY_S)

    def _move(self):
        """Callers move between VMs, all at once."""
        for vm in self._vms:
            vm.weight = self._rng.choice((0.01, 0.3, 1.0, 5.0))
