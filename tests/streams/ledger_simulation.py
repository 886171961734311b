"""VMs that keep one record of versions while runners come and go."""

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.streams import version_ledger

SERVICE = "s"
LIFETIME_S = 30.0
STEP_S = 0.5
STEPS = 400
VERSIONS = ("v1", "v2", "v3")
#: A directory is taken for up to date for so long, in seconds.
MAX_LAG_S = 4.0


class _Vm:
    """One VM, whose view of the runners lags, and which may be suspended."""

    def __init__(self, clock, rng):
        self.ledger = version_ledger.VersionLedger(clock)
        self.ledger.set_lifetimes({SERVICE: LIFETIME_S})
        self.lag_s = rng.uniform(0.0, MAX_LAG_S)
        self.asleep_until = float("-inf")
        #: A read whose answer has not been used yet: record, revision, time.
        self.read = None


class _World:
    def __init__(self, rng):
        self.rng = rng
        self.clock = clocks.ManualClock()
        self.record, self.revision = {}, 0
        #: The versions that serve, with the time, in order.
        self.serving = [(self.clock.now(), frozenset({"v1"}))]
        self.vms = [_Vm(self.clock, rng) for _ in range(3)]
        #: When the last stream of each version ends.
        self.alive_until = {}
        self.begun = 0

    def step(self):
        rng, now = self.rng, self.clock.advance(STEP_S)
        if rng.random() < 0.05:
            versions = frozenset(v for v in VERSIONS if rng.random() < 0.5)
            self.serving.append((now, versions))
        for index, vm in enumerate(self.vms):
            if rng.random() < 0.01:
                self.vms[index] = vm = _Vm(self.clock, rng)
            elif rng.random() < 0.01:
                vm.asleep_until = now + rng.uniform(0.0, 60.0)
            if vm.asleep_until > now:
                continue
            if vm.asleep_until > float("-inf"):
                vm.asleep_until = float("-inf")
                vm.ledger.set_watching(False)
            self._drive(vm, now)
        for version, until in self.alive_until.items():
            assert until <= now or version in self.record, (version, now)

    def _drive(self, vm, now):
        seen = [v for at, v in self.serving if at <= now - vm.lag_s]
        present = seen[-1] if seen else frozenset()
        vm.ledger.observe({models.StreamOrigin(SERVICE, v) for v in present})
        vm.ledger.set_watching(True)
        if vm.read is not None:
            self._write(vm)
        elif self.rng.random() < 0.7:
            vm.read = (dict(self.record), self.revision, now)
        for version in present:
            origin = models.StreamOrigin(SERVICE, version)
            served = self._served_lately(version, now)
            if origin in vm.ledger.admitted and served:
                self.alive_until[version] = now + LIFETIME_S
                self.begun += 1

    def _served_lately(self, version, now):
        return version in self.serving[-1][1]

    def _write(self, vm):
        record, revision, asked_at = vm.read
        vm.read = None
        vm.ledger.read(SERVICE, record, asked_at)
        following = vm.ledger.next_record(
            SERVICE, record, self.rng.random() < 0.5
        )
        if following != record and revision == self.revision:
            self.record, self.revision = following, revision + 1
            vm.ledger.read(SERVICE, following, self.clock.now())


def play(rng):
    """Play one world.

    :returns: how often a stream was begun.
    :raises AssertionError: if a version with a living stream isn't recorded.
    """
    world = _World(rng)
    for _ in range(STEPS):
        world.step()
    return world.begun
