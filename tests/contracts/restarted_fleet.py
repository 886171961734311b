"""VMs with a limit in common that are killed and start again, simulated."""

import random

from apricotlever.catalogue import model as catalogue_model
from apricotlever import clock as clocks
from apricotlever.contracts import admission
from tests.contracts import naive

TICK_S = 0.1
#: Time from a process's start until it knows the other VMs, in seconds.
KNOWN_AFTER_S = 0.6
#: Time for which a killed VM is down, in seconds.
DOWN_S = 0.3
#: What callers ask of each VM, as a multiple of its equal share.
PRESSURE = 3.0


class _Vm:
    """One VM and its process."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.start_at = 0.0
        self.controller = None

    def kill(self):
        self.controller = None
        self.start_at = self.fleet.clock.now() + DOWN_S

    def tick(self):
        now = self.fleet.clock.now()
        if self.controller is None:
            if now < self.start_at:
                return
            self.controller = admission.AdmissionController(
                self.fleet.clock, self.fleet.rng, self.name
            )
            limits = catalogue_model.Limits(requests_per_s=self.fleet.rate)
            self.controller.configure(naive.catalogue(limits))
            self.controller.set_members([self.name])
            self.controller.set_pool("pool", 100_000, 0.0)
        if now - self.start_at >= KNOWN_AFTER_S:
            self.controller.set_members(self.fleet.names)
        self._take(self.controller.tick())
        share = self.fleet.rate / len(self.fleet.names)
        for _ in range(round(PRESSURE * share * TICK_S)):
            ticket = admission.Ticket(
                self.fleet.next_name(),
                "alfa",
                "desk",
                "desk",
                1.0,
                now,
                now + 60.0,
            )
            self._take(self.controller.offer(ticket))

    def _take(self, verdicts):
        for verdict in verdicts:
            if isinstance(verdict, admission.Admitted):
                self.fleet.admitted_at.append(self.fleet.clock.now())


class RestartedFleet:
    """Some VMs.

    :param rate: the requests a second that they admit together.
    """

    def __init__(self, count, rate):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(f"{count}")
        self.rate = float(rate)
        self.names = [f"vm-{n}" for n in range(count)]
        self.vms = [_Vm(self, name) for name in self.names]
        self.admitted_at = []
        self._number = 0

    def next_name(self):
        """A name for a request."""
        self._number += 1
        return f"r-{self._number}"

    def run(self, seconds):
        """Let callers press for some time."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for vm in self.vms:
                vm.tick()

    def choose(self, which, number):
        """The VMs that a kill meets."""
        if which == "all VMs":
            return self.vms
        if which == "VMs in turn":
            return [self.vms[number % len(self.vms)]]
        return self.rng.sample(self.vms, self.rng.randint(1, len(self.vms)))
