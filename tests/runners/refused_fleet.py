"""Many VMs that choose among runners, some of which refuse connections."""

import random

from apricotlever import clock as clocks
from apricotlever.contracts import rejection_limit
from apricotlever.runners import model as models
from apricotlever.runners import refused_connections
from apricotlever.runners import routing

#: A report waits for an answer of another runner, which takes up to 0.2 s, and
#: passes in a record and two aggregates, each sent within a tenth of a second.
EXCHANGE_S = 0.1
EXCHANGES_LATE = 4
OBJECTIVE_S = 0.5
#: Time until a refused connection is noticed: two ways between data centres.
REFUSED_S = 0.002


class _Vm:
    """One VM: a router and, unless it decides as before, the reports."""

    def __init__(self, fleet, number):
        rng = random.Random(number)
        self.router = routing.Router(
            fleet.clock, rng, f"vm-{number}", "dc", "home_or_faster"
        )
        self.refused = refused_connections.RefusedConnections(fleet.clock)
        self.reaches = True

    def allows(self, name):
        """Whether the VM may send to a runner."""
        query = _query(frozenset(NAMES) - {name})
        return isinstance(self.router.choose(query), models.Route)


NAMES = [f"r-{number}" for number in range(45)]


def _query(excluded):
    return models.Query(
        "r", "s", "", excluded=excluded, wanted_first_token_s=OBJECTIVE_S
    )


class Fleet:
    """A fleet on a manual clock.

    :param reports: whether refused connections open circuits at once and are
        reported; otherwise they are failures like others.
    """

    def __init__(self, vms, rate, reports):
        self.clock = clocks.ManualClock(100.0)
        self.reports = reports
        self.rate = rate
        self.rng = random.Random(7)
        self.down = frozenset()
        self.vms = [_Vm(self, number) for number in range(vms)]
        self.failed = self.refused_calls = self.calls = 0
        self._told = []
        self.list_runners(NAMES)

    def list_runners(self, names):
        """Set the runners that the directory lists."""
        for vm in self.vms:
            vm.router.set_runners(
                models.Runner(n, n, "dc", "s", "", "", 1.0, 24) for n in names
            )

    def run(self, seconds, check=None):
        """Let the VMs send calls and exchange reports."""
        until = self.clock.now() + seconds
        exchange_at = self.clock.now()
        while self.clock.now() < until:
            self.clock.advance(self.rng.expovariate(self.rate))
            if self.clock.now() >= exchange_at:
                exchange_at += EXCHANGE_S
                self._exchange()
                if check is not None:
                    check()
            self._call(self.rng.choice(self.vms))

    def _exchange(self):
        counts = {}
        for vm in self.vms:
            for name in vm.refused.refused_here:
                counts[name] = counts.get(name, 0) + 1
        self._told.append(counts)
        if not self.reports or len(self._told) <= EXCHANGES_LATE:
            return
        heard = self._told.pop(0)
        for vm in self.vms:
            vm.refused.set_reports(heard)
            vm.router.set_reported(vm.refused.reported, vm.refused.confirmed)

    def _call(self, vm):
        self.calls += 1
        tried = frozenset()
        spent_s = 0.0
        limit = rejection_limit.RejectionLimit(OBJECTIVE_S, not self.reports)
        while not limit.exhausted:
            route = vm.router.choose(_query(tried))
            if isinstance(route, models.NoRunner):
                break
            name = route.runner.name
            if vm.reaches and name not in self.down:
                vm.router.request_started("x", name, _query(tried))
                vm.router.request_finished("x", models.Outcome.DONE)
                vm.refused.answered(name)
                return
            self.failed += 1
            tried |= {name}
            limit.unreachable(spent_s, spent_s + REFUSED_S)
            spent_s += REFUSED_S
            vm.refused.refused(name)
            if self.reports:
                vm.router.record_refused(name)
            else:
                vm.router.record_failure(name)
        self.refused_calls += 1
